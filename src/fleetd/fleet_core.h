/**
 * @file fleet_core.h Part of a daemon with a data folder: replicates the fleet state and, as leader, schedules tasks and handles requests.
 * Everything except the replication thread runs on the daemon's event loop.
 */

#pragma once

#include "fleet/fleet_scheduler_func.h"
#include "fleet/held_tasks.h"
#include "fleet/job_admission.h"
#include "fleetd/account_report.h"
#include "fleetd/caller_access.h"
#include "fleetd/core_status_log.h"
#include "fleetd/fleet_message.h"
#include "fleetd/fleet_peers.h"
#include "fleetd/held_calls.h"
#include "fleetd/leader_finder.h"
#include "fleetd/leader_handover.h"
#include "fleetd/loop_time.h"
#include "fleetd/protocol_adapter.h"
#include "network/descriptor_pool.h"
#include "network/http_client.h"
#include "network/http_server.h"
#include "network/peer_link.h"
#include "runtime/histogram.h"
#include "runtime/replication_driver.h"
#include "settings/fleet_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Receives the outcome of a caller's request. */
using CallerResponseHandler = std::function<void(RelayOutcome outcome, ApiResponse response)>;

/** Metrics of a core daemon. */
struct FleetCoreCounters {
    std::uint64_t jobsAccepted = 0;
    std::uint64_t jobsRefused = 0; ///< Refused for want of memory or CPU, or because of the rate, limit or backlog of their account.
    std::uint64_t ordersSent = 0;
    std::uint64_t ordersUnanswered = 0;
    std::uint64_t entriesApplied = 0;
    std::uint64_t leaderships = 0;
    std::uint64_t workerCrashes = 0; ///< Crashes of workers that count for the tasks on them.
    std::uint64_t runsCrashed = 0; ///< Runs lost in them.
    std::uint64_t jobsGivenUp = 0; ///< Jobs with a task that crashes its workers.
    std::array<std::uint64_t, RunNoticeKindNames.rows.size()> runNotices{}; ///< By RunNoticeKind.
    Histogram firstStart; ///< Time from acceptance of a job to its first task start.
    Histogram jobTime; ///< Time from acceptance of a job to its end.
    Histogram commitTime; ///< Time from the proposal of a log entry to its application.
};

/** Maintains the replicated state, runs the scheduler while leading, and handles requests to the leader. */
class FleetCore
{
public:
    FleetCore(boost::asio::io_context &loop,
              const FleetDaemonSettings &daemonSettings,
              const ProtocolAdapter &protocolAdapter,
              NetworkCounters &networkCounters,
              DescriptorPool &descriptors,
              LoopTimes &loopTimes);
    FleetCore(const FleetCore &) = delete;
    FleetCore &operator=(const FleetCore &) = delete;
    ~FleetCore();

    /** Starts replication, which opens the data folder in the background. The peer links must already be started. */
    void start(PeerLinks &links);

    /** Processes a replication message that another daemon has sent. */
    void receiveReplication(const DaemonName &sender, const std::string &payload);

    /** Returns what this daemon knows about the leader. */
    LeaderInfo leaderInfo() const;

    /** Handles a request of a caller. The outcome is NotLeader unless this daemon is the leader. */
    void handleCallerRequest(const JobApiRequest &request, CallerResponseHandler done);

    /** Handles a request of a worker or an operator. */
    void handleControlRequest(const HttpRequest &request, HttpRespond respond);

    /** Discards the scheduler's state after an error in it; a new scheduler starts from the replicated state. */
    void restartScheduler(std::string_view reason);

    /** Returns whether the replica takes part. */
    ReplicaHealth replicaHealth() const;

    /** Tells that the event loop runs. To be called regularly: a core that does not hear it gives up its leadership. */
    void confirmAlive();

    /**
     * Tells whether workers and operators can reach this daemon. To be called regularly: a leader that cannot serve hands its leadership
     * over if another voter can serve.
     */
    void setServing(bool canServe);

    /** Takes over the contacts of the settings, which have changed. */
    void reloadContacts();

    /**
     * Hands the leadership over, if there is one, and goes on as a follower.
     * @param limit Time until `replaced` is called in any case.
     * @param replaced Called once another leader is known, or if there is no other voter.
     */
    void beginStop(Duration limit, std::function<void()> replaced);

    /** Ends the leadership and stops replication. A replication thread that hangs in a call to the disk goes on; hasStopped() tells. */
    void stop();

    /** Returns whether the replication thread has ended, so that this object may be destroyed. */
    bool hasStopped() const;

    /** Appends the metrics in Prometheus text format. */
    void appendMetrics(std::string &text) const;

    std::function<void()> replicaOpened; ///< Called each time the replica begins to take part.

private:
    /** Commands proposed in one log entry. */
    struct Batch {
        std::uint64_t number = 0; ///< Number of the proposal.
        std::uint64_t index = 0; ///< Log index of the entry; 0 until it is known.
        std::vector<std::function<void(bool)>> callbacks; ///< Called with whether the entry was applied; may be empty.
        TimePoint proposedAt;
    };

    /** A read of the manifest. */
    struct OpenRead {
        TimePoint startedAt;
        std::function<void(ApiResponse)> done;
    };

    /** A call of a caller that is allowed. */
    struct AuthorizedCall {
        QueueConfig queue;
        CallerAccess access;
    };

    /** A call of a worker or an operator. */
    struct ControlCall {
        ControlRequest request;
        std::string target; ///< Path, for a redirect.
        std::function<void(ApiResponse)> reply;
    };

    void onApplied(const std::vector<LogEntry> &entries);
    void applyEntry(const LogEntry &entry);
    bool applyCommand(const FleetCommand &command);
    FleetChange applyToState(const FleetCommand &command);
    void indexKeys();
    void completeBatches(std::uint64_t index);
    void onInstalled(Snapshot snapshot);
    void onStatus(ReplicationStatus next);
    ReplicationHooks replicationHooks();
    ReplicationConfig replicationConfig() const;
    void onReplicaOpened(ResultCode code);
    void onReplicaFailed(ResultCode code);
    void restartReplica(ResultCode reason);
    void continueRestart();
    void applyEntries(const std::vector<LogEntry> &entries);
    void leaveReplica(std::string_view reason);
    void checkReplica();
    bool isReplicaRunning() const;
    void finishRead(std::uint64_t number, const ApiResponse &response);
    void answerReads();
    void failReads();
    void takeSnapshot();
    std::vector<DaemonName> contactAddresses() const;
    void setRequiredPeers();
    void beginLeadershipIfReady();
    void findProposalsEnd();
    bool areProposalsApplied() const;
    void endLeadership(std::string_view reason);
    void leaveIfNotServing();
    void leaveIfReplaced();
    void beginHandover(std::string_view reason);
    void continueHandover();
    void transferLeadership();
    void armHandoverTimer();
    void continueStop();
    void propose(FleetCommand command, std::function<void(bool)> done = {});
    bool isLogFull() const;
    void flush();
    void proposeEntry();
    void executeActions(SchedulerActions actions);
    void sendOrder(WorkerOrder order);
    void handleOrderResponse(const WorkerOrder &order, const OrderResponse &response);
    void runScheduler();
    void armTick();
    void waitForTick();
    void advanceTick();
    void logChange(const FleetCommand &command, const FleetChange &change) const;
    void noteRun(const RunNotice &notice);
    void logHeldTasks();
    void logFleetLoad();
    void countChange(const FleetCommand &command, const FleetChange &change);

    MemoryUse memoryUse() const;
    void submitJob(const JobApiRequest &request, const AuthorizedCall &call, const JobId &id, CallerResponseHandler done);
    ApiResponse submissionResponse(const AuthorizedCall &call, const JobId &id) const;
    bool isVisibleJobPending(const AuthorizedCall &call, const JobId &id) const;
    std::optional<ApiResponse> findRefusalByMemory(const JobSpec &spec, const JobId &id) const;
    std::optional<ApiResponse> findSubmissionRefusal(const JobSpec &spec, const AuthorizedCall &call, const JobId &id);
    std::optional<ApiResponse> findRefusalByAccount(const JobSpec &spec, const AuthorizedCall &call, const JobId &id);
    void cancelJob(const AuthorizedCall &call, const JobId &id, CallerResponseHandler done);
    ApiResponse showJob(const AuthorizedCall &call, const JobId &id) const;

    void logNotLeading(const ControlRequest &request) const;
    void routeControlCall(const ControlCall &call, bool mayWait);
    void releaseHeldCalls();
    void dispatchControlRequest(const ControlRequest &request, std::function<void(ApiResponse)> done);
    void handleReport(const WorkerReportRequest &request, std::function<void(ApiResponse)> done);
    void putManifest(const PutManifestRequest &request, std::function<void(ApiResponse)> done);
    void getManifest(std::function<void(ApiResponse)> done);
    void proposeAndAnswer(FleetCommand command, std::function<void(ApiResponse)> done);
    std::string controlAddressOf(const DaemonName &daemon) const;
    bool isLeading() const;
    CoreActivity activity() const;
    void countReport(const ApiResponse &response);
    bool isOnlyVoter() const;
    bool isOtherLeaderKnown() const;
    bool isLeaderKnownToReplica() const;
    DaemonName otherLeader() const;
    std::set<DaemonName> linkedDaemons() const;
    void startLeaderFinder();

    boost::asio::io_context &io;
    const FleetDaemonSettings &settings;
    const ProtocolAdapter &adapter;
    HttpClient client;
    PeerLinks *peers = nullptr;
    RecentSenders recentSenders;
    ReplicationDriver replication;
    ReplicationStatus status;
    FleetState state;
    KeyIndex keyIndex; ///< Keys of the accounts of the manifest in the state.
    AccountRefusals accountRefusals;
    std::uint64_t appliedIndex = 0;
    std::uint64_t appliedTerm = 0;
    std::uint64_t lastLeaderTerm = 0; ///< Term in which this daemon last led.
    std::uint64_t ordersInLastTerm = 0; ///< Number of the last order issued in that term.
    std::optional<std::uint64_t> proposalsEnd; ///< Last log index when the last scheduler had ended; nothing until replication has answered.
    std::optional<FleetScheduler> scheduler; ///< Set while this daemon leads and has applied all entries of earlier leaders.
    std::optional<TimePoint> withoutSchedulerSince; ///< Set while there is no scheduler.
    WaitingSteps waitingSteps; ///< Ready steps of the present leadership.
    TimePoint nextLoadLine; ///< Earliest time of the next log line about the load.
    std::multimap<JobId, JobOrigin> pendingJobs; ///< Jobs that were proposed and are not applied yet.
    std::size_t pendingBytes = 0; ///< Memory of the pending jobs.
    std::vector<FleetCommand> outbox; ///< Commands of the next log entries.
    std::vector<std::function<void(bool)>> outboxCallbacks; ///< Completion callback of each of these commands; may be empty.
    std::uint64_t lastBatch = 0; ///< Number of the last proposal.
    std::deque<Batch> inFlight; ///< Proposed entries that are not applied yet, in log order.
    std::multimap<std::uint64_t, std::uint64_t> pendingReads; ///< Log index that must be applied, and the number of the read that waits for it.
    std::map<std::uint64_t, OpenRead> openReads; ///< Reads of the manifest without an answer, by their numbers.
    std::uint64_t lastRead = 0; ///< Number of the last read.
    bool isReplicaOpen = false; ///< The state below follows the replicated log.
    std::optional<ResultCode> restartReason; ///< Set until the replication thread has been told to begin anew.
    bool isReplicaSilent = false; ///< The replication thread does not answer.
    bool isThreadEnded = false;
    HeldCalls heldCalls; ///< Calls of workers and operators that wait for a leader.
    LeaderHandover handover;
    bool isServing = true; ///< Whether workers and operators can reach this daemon.
    TimePoint servingChangedAt;
    std::uint64_t loggedUnservedTerm = 0; ///< Last term whose log has a line that this daemon leads although it cannot serve.
    bool isStopBegun = false; ///< The daemon is stopping; it leads only until another one does.
    TimePoint stopDeadline;
    std::function<void()> onReplaced; ///< Set while a stop waits for another leader.
    boost::asio::steady_timer handoverTimer;
    boost::asio::steady_timer tickTimer;
    FleetCoreCounters counters;
    CoreStatusLog statusLog;
    LeaderFinder finder; ///< Asks the other daemons while the replica names no leader.
    LoopTimes &times;
    bool isTickAdvanced = false; ///< The next tick is scheduled early to process worker responses.
    bool isStopping = false;
};

} // namespace Filbertlanding
