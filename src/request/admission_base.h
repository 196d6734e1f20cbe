/** @file admission_base.h Admission control of one service: bounded queue, weighted fair queueing between teams, adaptive concurrency limit. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "core/result_code.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace Filbertlanding {

using TicketId = std::uint64_t; ///< Identifies a request in admission control. Chosen by the caller; unique among waiting and running requests.

/** Weight and quota of one team. */
struct TeamShare {
    double weight = 1; ///< Share of the service relative to other teams; must be positive.
    std::uint32_t quota = UINT32_MAX; ///< Maximum number of concurrently running requests.
};

/** Configuration of admission control. */
struct AdmissionSettings {
    std::uint32_t maxQueueLength = 200; ///< Maximum number of waiting requests of all teams.
    std::uint32_t minLimit = 4; ///< Lower bound of the concurrency limit.
    std::uint32_t maxLimit = 1000; ///< Upper bound of the concurrency limit.
    std::uint32_t initialLimit = 64; ///< Concurrency limit before any latency has been measured.
    double tolerance = 2; ///< The limit is reduced when the recent latency exceeds this multiple of the baseline.
    std::map<TeamName, TeamShare, std::less<>> teams; ///< Configured teams. If empty, any team is accepted with weight 1.
};

/** Adaptive concurrency limit derived from measured latency. */
struct ConcurrencyLimit {
    double limit = 0; ///< Maximum number of concurrently running requests.
    double baselineMs = 0; ///< Slow moving average of the latency, in milliseconds; 0 while unknown.
    double recentMs = 0; ///< Fast moving average of the latency, in milliseconds.
    std::uint32_t samples = 0; ///< Samples since the last adjustment.
};

/**
 * Adds the latency of a finished request and adjusts the limit after every 16th sample.
 * @param saturated Concurrency was close enough to the limit for the limit to be raised.
 */
void addLatencySample(ConcurrencyLimit &limit, const AdmissionSettings &settings, double latencyMs, bool saturated);

/** A request submitted to admission control. */
struct AdmissionRequest {
    TicketId ticket = 0;
    TeamName team;
    TimePoint deadline;
};

/** A refused request. It has been removed from the queue and will not run. */
struct AdmissionRefusal {
    TicketId ticket = 0;
    ResultCode code = ResultCode::QueueFull; ///< Reason of the refusal.
    Duration retryAfter; ///< Suggested delay before the caller retries.
};

/** Result of an admission step: requests to start, then requests to refuse. A request in neither list waits. */
struct AdmissionResult {
    std::vector<TicketId> run; ///< Requests to start now.
    std::vector<AdmissionRefusal> refused; ///< Requests to refuse now.
};

/** Queue and counters of one team. */
struct AdmissionQueue {
    std::set<std::pair<TimePoint, TicketId>> waiting; ///< Waiting requests, earliest deadline first.
    double virtualTime = 0; ///< Number of started requests, divided by the team's weight.
    std::uint32_t running = 0; ///< Number of running requests.
};

/** State of admission control. */
struct AdmissionState {
    AdmissionSettings settings;
    ConcurrencyLimit concurrency;
    std::map<TeamName, AdmissionQueue, std::less<>> teams; ///< Teams with waiting or running requests, or with a virtual time to keep.
    std::map<TicketId, std::pair<TeamName, TimePoint>> waiting; ///< Team and deadline of each waiting request.
    std::map<TicketId, std::pair<TeamName, TimePoint>> running; ///< Team and start time of each running request.
    double virtualTime = 0; ///< Virtual time of the most recently started request.
};

/** Creates a state without requests. */
AdmissionState makeAdmission(const AdmissionSettings &settings);

/** Starts, enqueues or refuses a new request. */
AdmissionResult admit(AdmissionState &state, const AdmissionRequest &request, TimePoint now);

/**
 * Removes a running request that has ended and starts waiting ones.
 * @param measured The duration reflects the latency of the workers; false after a refusal or a broken connection.
 */
AdmissionResult finishRequest(AdmissionState &state, TicketId ticket, bool measured, TimePoint now);

/** Refuses waiting requests whose deadline has passed and starts waiting requests while there is capacity. */
AdmissionResult admissionTick(AdmissionState &state, TimePoint now);

/** Removes a waiting request whose caller disconnected. @return Whether the request was waiting; if so, it will not run. */
bool cancelWaiting(AdmissionState &state, TicketId ticket);

/** Refuses all waiting requests, when a service closes or the daemon stops. */
AdmissionResult refuseWaiting(AdmissionState &state, ResultCode code);

/** Replaces the settings and keeps waiting and running requests. */
AdmissionResult changeSettings(AdmissionState &state, const AdmissionSettings &settings, TimePoint now);

/** Returns the expected queueing time of a request that arrives now, in milliseconds; 0 while no latency is known. */
double expectedQueueMs(const AdmissionState &state);

/** Thread-safe admission control for the request threads. Each call holds the mutex for one step. */
class Admission
{
public:
    explicit Admission(const AdmissionSettings &settings);

    AdmissionResult admit(const AdmissionRequest &request, TimePoint now);
    AdmissionResult finish(TicketId ticket, bool measured, TimePoint now);
    AdmissionResult tick(TimePoint now);
    bool cancelWaiting(TicketId ticket);
    AdmissionResult refuseWaiting(ResultCode code);
    AdmissionResult changeSettings(const AdmissionSettings &settings, TimePoint now);

    /** Returns the number of waiting requests. */
    std::size_t waitingCount();

private:
    AdmissionState state;
    std::mutex mutex; ///< Guards the state.
};

} // namespace Filbertlanding
