/** @file daemon_base.h State of the daemon. */

#pragma once

#include "catalog/catalog_base.h"
#include "catalog/catalog_func.h"
#include "daemon/control_loop.h"
#include "daemon/daemon_life_cycle.h"
#include "daemon/ledger_driver.h"
#include "daemon/peer_message_type.h"
#include "daemon/request_view_type.h"
#include "daemon/timing_metrics.h"
#include "job/job_shard_base.h"
#include "membership/worker_registry_base.h"
#include "network/http_client.h"
#include "network/http_server.h"
#include "network/peer_link.h"
#include "network/udp_heartbeat.h"
#include "replication/lease_grants.h"
#include "replication/lease_view.h"
#include "request/rcu_pointer.h"
#include "request/route_entries.h"
#include "runtime/replication_driver.h"
#include "settings/settings_type.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Filbertlanding {

/** Called with the result of a command and its log index. */
using ProposeDone = std::function<void(CommandResult result, std::uint64_t index)>;

/** A proposal of this daemon, as leader, that waits until its entry is applied. */
struct PendingProposal {
    std::uint64_t term = 0; ///< Term of the entry.
    TimePoint proposedAt; ///< When it was proposed.
    ProposeDone done; ///< Takes the result.
};

/** What the leader knows about another daemon. */
struct DaemonLoad {
    ZoneName availabilityZone; ///< Its zone.
    std::uint64_t incarnation = 0; ///< Its start number.
    std::uint64_t version = 0; ///< Configuration version that it has in force.
    std::uint64_t appliedIndex = 0; ///< Log index that its load accounts for.
    TimePoint probedAt; ///< Last probe.
    ShardSummary load; ///< Its batch load.
};

/** A probe that waits for a quorum round. */
struct WaitingProbe {
    ProbeRequest probe; ///< The probe.
    std::function<void(ProbeAnswer)> reply; ///< Takes the answer.
};

/** Duties of the leader. */
struct LeaderState {
    bool active = false; ///< This daemon leads.
    std::uint64_t term = 0; ///< Term that it leads.
    LeaseGrants grants; ///< Running leases that it granted.
    std::map<DaemonName, DaemonLoad> daemons; ///< Daemons that have probed it.
    std::size_t openProposals = 0; ///< Assignments that have not been answered.
    TimePoint assignedAt; ///< Last round of assignments.
    std::optional<std::uint64_t> idleIndex; ///< Applied index at the last round, if that round had nothing to assign.
};

/** What is known of a peer from its heartbeats. */
struct PeerState {
    PeerSettings settings; ///< As configured.
    std::optional<Heartbeat> heartbeat; ///< Latest heartbeat.
    std::uint64_t incarnation = 0; ///< Its start number.
    TimePoint heardAt; ///< When the latest heartbeat came.
};

/** State of the control thread. No other thread touches it. */
struct ControlState {
    Catalog catalog; ///< Replicated state.
    Configuration configuration; ///< Configuration in force here: the accepted one with the kept restrictions.
    std::vector<ChangeFiles> restrictions; ///< Restrictive changes that wait for a quorum.
    std::unique_ptr<Journal> restrictionJournal; ///< Keeps them; empty without a disk.
    bool restrictionProposed = false; ///< One of them is being proposed.
    std::uint64_t appliedIndex = 0; ///< Last entry applied here.
    bool configured = false; ///< Some state has been applied.
    ReplicationStatus replication; ///< State of the replicated log.
    std::map<std::uint64_t, PendingProposal> proposals; ///< By index.
    LeaseView lease; ///< Leases held from the leader.
    LeaderState leader; ///< Duties as leader.
    std::vector<WaitingProbe> waitingProbes; ///< Probes for which no quorum round has started.
    std::map<DaemonName, PeerState> peers; ///< Peers.
    WorkerRegistry registry; ///< Workers that report here.
    JobShard shard; ///< Batch jobs assigned here.
    std::map<JobId, std::set<std::uint64_t>> assignedEpochs; ///< Epochs of jobs that the shard was given.
    std::map<ZoneName, TimePoint> drainedSince; ///< Drained zones, and when the drain was applied here.
    std::map<ZoneName, TimePoint> returnedAt; ///< Zones that returned, and when.
    std::int64_t spareCpuMillis = 0; ///< Free processors of the zones in service, as the leader said.
    RouteEntries routes; ///< Entries of the routing table.
    std::map<ServiceName, std::shared_ptr<ServiceRuntime>> services; ///< Shared state of the services.
    std::uint64_t viewVersion = 0; ///< Configuration version of the published view.
    std::map<std::pair<DaemonName, std::uint64_t>, std::map<ServiceName, std::string>> counters; ///< Latest counters of all daemons.
    std::map<ServiceName, std::string> finalDelivered; ///< Final counters that were accepted.
    std::set<ServiceName> finalOpen; ///< Services whose delivery is under way.
    std::uint64_t finalRevision = 0; ///< Revision of the latest delivery.
    bool lifeProposed = false; ///< A DaemonLife command is under way.
    bool lifeAccepted = false; ///< The start of this incarnation is in the log.
    DaemonLifeCycle lifeCycle; ///< State of the daemon.
};

/** The daemon. Members from `control` on are each safe to use as their own pages say. */
struct Daemon {
    explicit Daemon(Settings checked);
    ~Daemon();

    const Settings settings; ///< Settings.
    std::string operatorKey; ///< Key of operators.
    std::string peerKey; ///< Key of peers; empty without peers.
    std::uint64_t incarnation = 0; ///< Start number of this process: calendar time in ms.
    NetworkCounters network; ///< Counters of the network adapters.
    TimingMetrics timings; ///< Durations of watched steps.
    std::unique_ptr<OutcomeCounters> outcomes; ///< Outcomes of requests received here.
    RcuPointer<RequestView> view; ///< What request threads know.
    std::atomic<TicketId> lastTicket{0}; ///< Number of the latest ticket.
    std::atomic<std::uint64_t> lastRequest{0}; ///< Number of the latest request that came without an id.
    std::atomic<DaemonState> state{DaemonState::Starting}; ///< State, for request threads.
    OpenSubmissions openSubmissions; ///< Non-repeatable sends that wait for the ledger.
    ControlState controlState; ///< State of the control thread.
    ControlLoop control; ///< The control thread.
    ReplicationDriver replication; ///< The replicated log.
    LedgerDriver ledger; ///< The ledger of non-repeatable requests.
    std::unique_ptr<HttpClient> client; ///< Connections to workers.
    std::unique_ptr<PeerLinks> peers; ///< Links to other daemons.
    std::unique_ptr<UdpHeartbeat> heartbeats; ///< Heartbeats of other daemons.
    std::unique_ptr<HttpServer> http; ///< Callers, workers and operators.
    std::function<void(ResultCode)> stopped; ///< Called once when the daemon has stopped or must stop.
};

} // namespace Filbertlanding
