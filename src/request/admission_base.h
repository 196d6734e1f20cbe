/** @file admission_base.h Admission control of one service: bounded queue, fair share of teams, adaptive concurrency limit. */

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

using TicketId = std::uint64_t; ///< Number of a request in admission control, chosen by the caller and unique while it is inside.

/** Settings of one team. */
struct TeamShare {
    double weight = 1; ///< Share of the service relative to other teams; above 0.
    std::uint32_t quota = UINT32_MAX; ///< Requests that may run at once.
};

/** Settings of admission control. */
struct AdmissionSettings {
    std::uint32_t maxQueueLength = 200; ///< Longest queue.
    std::uint32_t minLimit = 4; ///< Least concurrency limit.
    std::uint32_t maxLimit = 1000; ///< Greatest concurrency limit.
    std::uint32_t initialLimit = 64; ///< Concurrency limit at the start.
    double tolerance = 2; ///< The limit shrinks when the recent latency is above this multiple of the usual one.
    std::map<TeamName, TeamShare, std::less<>> teams; ///< Teams; empty to accept any team with weight 1.
};

/** Concurrency limit from measured latency. */
struct ConcurrencyLimit {
    double limit = 0; ///< Requests that may run at once.
    double baselineMs = 0; ///< Slowly moving latency, in milliseconds; 0 while unknown.
    double recentMs = 0; ///< Fast moving latency, in milliseconds.
    std::uint32_t samples = 0; ///< Samples since the last adjustment.
};

/** Adds the latency of a finished request and adjusts the limit after every 16th. @param saturated The limit was in use. */
void addLatencySample(ConcurrencyLimit &limit, const AdmissionSettings &settings, double latencyMs, bool saturated);

/** A request that asks for admission. */
struct AdmissionRequest {
    TicketId ticket = 0; ///< Its number.
    TeamName team; ///< Its team.
    TimePoint deadline; ///< Its deadline.
};

/** A request that is refused. It is in no queue any more and will not run. */
struct AdmissionRefusal {
    TicketId ticket = 0; ///< Its number.
    ResultCode code = ResultCode::QueueFull; ///< Why.
    Duration retryAfter; ///< When a resend makes sense.
};

/** Result of an admission step: what to run and what to refuse, in this order. Requests in neither list wait. */
struct AdmissionResult {
    std::vector<TicketId> run; ///< Requests to run now.
    std::vector<AdmissionRefusal> refused; ///< Requests to refuse now.
};

/** Queue and counts of one team. */
struct AdmissionQueue {
    std::set<std::pair<TimePoint, TicketId>> waiting; ///< Waiting requests, earliest deadline first.
    double virtualTime = 0; ///< Requests started, divided by the weight.
    std::uint32_t running = 0; ///< Requests running.
};

/** State of admission control. */
struct AdmissionState {
    AdmissionSettings settings; ///< Settings.
    ConcurrencyLimit concurrency; ///< Limit.
    std::map<TeamName, AdmissionQueue, std::less<>> teams; ///< Teams that have waiting or running requests, or a virtual time.
    std::map<TicketId, std::pair<TeamName, TimePoint>> waiting; ///< Team and deadline of each waiting request.
    std::map<TicketId, std::pair<TeamName, TimePoint>> running; ///< Team and start of each running request.
    double virtualTime = 0; ///< Virtual time of the last start.
};

/** Makes an empty state. */
AdmissionState makeAdmission(const AdmissionSettings &settings);

/** A request asks for admission. */
AdmissionResult admit(AdmissionState &state, const AdmissionRequest &request, TimePoint now);

/** A running request has ended. @param measured Its time says something about the workers (not a refusal or broken connection). */
AdmissionResult finishRequest(AdmissionState &state, TicketId ticket, bool measured, TimePoint now);

/** Time has passed: refuses waiting requests whose deadline is over. */
AdmissionResult admissionTick(AdmissionState &state, TimePoint now);

/** The caller went away. @return Whether the request was waiting; it is removed and will not run. */
bool cancelWaiting(AdmissionState &state, TicketId ticket);

/** Refuses all waiting requests, for a service that closes or a daemon that stops. */
AdmissionResult refuseWaiting(AdmissionState &state, ResultCode code);

/** Replaces the settings; waiting and running requests stay. */
AdmissionResult changeSettings(AdmissionState &state, const AdmissionSettings &settings, TimePoint now);

/** Returns the expected time in the queue of a request that comes now, in milliseconds; 0 while no latency is known. */
double expectedQueueMs(const AdmissionState &state);

/** Admission control shared by the request threads. Each call holds a mutex for one step. */
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
    AdmissionState state; ///< The state.
    std::mutex mutex; ///< Guards the state.
};

} // namespace Filbertlanding
