/**
 * @file fleet_core.h A daemon with a disk: replicates the state of the fleet and, as the leader, schedules and answers calls.
 * Everything but the replication thread runs on the event loop of the daemon.
 */

#pragma once

#include "fleet/fleet_scheduler_func.h"
#include "fleetd/fleet_edge.h"
#include "fleetd/fleet_message.h"
#include "network/http_client.h"
#include "network/http_server.h"
#include "network/peer_link.h"
#include "runtime/histogram.h"
#include "runtime/replication_driver.h"
#include "settings/fleet_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Takes the outcome of a caller's call. */
using CallerResponseHandler = std::function<void(RelayOutcome outcome, ApiResponse answer)>;

/** Counters of a core daemon, for its metrics. */
struct FleetCoreCounters {
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsRefused = 0; ///< For want of room for open jobs.
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersUnanswered = 0;
    std::uint64_t entriesApplied = 0;
    std::uint64_t leaderships = 0;
    Histogram firstStart; ///< From acceptance to the first start.
    Histogram jobTime; ///< From acceptance to the end.
    Histogram commitTime; ///< From proposal to application.
};

/** The replicated state, the scheduler of the leader, and the calls that it answers. */
class FleetCore
{
public:
    FleetCore(boost::asio::io_context &loop,
              const FleetDaemonSettings &daemonSettings,
              const ProtocolAdapter &protocolAdapter,
              NetworkCounters &networkCounters);
    FleetCore(const FleetCore &) = delete;
    FleetCore &operator=(const FleetCore &) = delete;
    ~FleetCore();

    /** Opens the data folder and starts to replicate. Peer links must be set before. */
    ResultCode start(PeerLinks &links);

    /** Hands over a message of another replica. */
    void receiveReplication(const std::string &payload);

    /** Returns what this daemon knows of the leader. */
    LeaderInfo leaderInfo() const;

    /** Handles a caller's call; the outcome is NotLeader unless this daemon leads. */
    void handleCallerRequest(const JobApiRequest &call, CallerResponseHandler done);

    /** Handles a call of a worker or an operator. */
    void handleControlRequest(const HttpRequest &request, HttpRespond respond);

    /** Gives up what the scheduler knows, after an error in its work; a new one starts from the replicated state. */
    void restartScheduler(std::string_view reason);

    /** Gives up the lead and stops. */
    void stop();

    /** Returns the metrics as text. */
    std::string metrics() const;

    /** Called when the process has to end, with the reason. */
    std::function<void(ResultCode)> failed;

private:
    /** Commands that were proposed together, with those who wait for them. */
    struct Batch {
        std::uint64_t number = 0; ///< Number of the proposal.
        std::uint64_t index = 0; ///< Its place in the log; 0 until that is known.
        std::vector<std::function<void(bool)>> callbacks;
        TimePoint proposedAt;
    };

    void onApplied(const std::vector<LogEntry> &entries);
    void applyEntry(const LogEntry &entry);
    bool applyCommand(const FleetCommand &command);
    void completeBatches(std::uint64_t index);
    void onInstalled(Snapshot snapshot);
    void onStatus(ReplicationStatus next);
    void beginLeadershipIfReady();
    void endLeadership(std::string_view reason);
    void propose(FleetCommand command, std::function<void(bool)> done = {});
    void flush();
    void executeActions(SchedulerActions actions);
    void sendOrder(WorkerOrder order);
    void runScheduler();
    void armTick();
    void waitForTick();
    void advanceTick();
    void logChange(const FleetCommand &command, const FleetChange &change) const;
    void countChange(const FleetCommand &command, const FleetChange &change, bool wasQueued);

    void submitJob(const JobApiRequest &call, const QueueConfig &queue, const JobId &id, CallerResponseHandler done);
    void cancelJob(const JobId &id, CallerResponseHandler done);
    ApiResponse showJob(const JobId &id) const;

    void dispatchControlRequest(const ControlRequest &call, std::function<void(ApiResponse)> done);
    void handleReport(const WorkerReportRequest &call, std::function<void(ApiResponse)> done);
    void putManifest(const PutManifestRequest &call, std::function<void(ApiResponse)> done);
    void getManifest(std::function<void(ApiResponse)> done);
    void proposeAndAnswer(FleetCommand command, std::function<void(ApiResponse)> done);
    std::string controlAddressOf(const DaemonName &daemon) const;
    bool isLeading() const;

    boost::asio::io_context &io;
    const FleetDaemonSettings &settings;
    const ProtocolAdapter &adapter;
    HttpClient client;
    PeerLinks *peers = nullptr;
    ReplicationDriver replication;
    ReplicationStatus status;
    FleetState state;
    std::uint64_t appliedIndex = 0;
    std::uint64_t appliedTerm = 0;
    std::uint64_t lastLeaderTerm = 0; ///< Term of the last lead.
    std::uint64_t ordersInLastTerm = 0; ///< Orders given in that term.
    std::optional<FleetScheduler> scheduler; ///< Only while this daemon leads and has applied everything of earlier leaders.
    std::multiset<JobId> pendingJobs; ///< Jobs on their way to the log.
    std::size_t pendingBytes = 0; ///< Their memory.
    std::vector<FleetCommand> outbox; ///< Commands for the next entry.
    std::vector<std::function<void(bool)>> outboxCallbacks; ///< Who waits for them.
    std::uint64_t lastBatch = 0; ///< Number of the last proposal.
    std::deque<Batch> inFlight; ///< Entries that were proposed and not applied, in order.
    std::multimap<std::uint64_t, std::function<void()>> pendingReads; ///< Reads that wait for an index to be applied.
    boost::asio::steady_timer tickTimer;
    FleetCoreCounters counters;
    bool isTickAdvanced = false; ///< The tick comes early, because answers wait to be worked on.
    bool isStopping = false;
};

} // namespace Filbertlanding
