/** @file daemon_func.cpp Starts and ends the daemon. */

#include "daemon/daemon_func.h"

#include "core/clock_func.h"
#include "daemon/apply_state.h"
#include "daemon/counter_delivery.h"
#include "daemon/drain_restriction.h"
#include "daemon/http_service.h"
#include "daemon/key_file.h"
#include "daemon/lease_driver.h"
#include "daemon/ledger_path.h"
#include "daemon/peer_codec.h"
#include "daemon/peer_service.h"
#include "daemon/propose_func.h"
#include "daemon/request_service.h"
#include "daemon/worker_service.h"
#include "job/job_shard_func.h"
#include "membership/worker_registry_func.h"
#include "runtime/log_func.h"
#include "settings/settings_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration WorkerTickInterval{200}; ///< As the shard of batch jobs asks for.
    constexpr Duration ServiceTickInterval{50}; ///< A request is refused at most this long after its deadline.
    constexpr Duration AssignInterval{250}; ///< A waiting job is assigned within this time.
    constexpr Duration CounterInterval{1000}; ///< Design section 4.4.

    std::unique_ptr<const RequestView> emptyView()
    {
        auto view = std::make_unique<RequestView>();
        view->table = std::make_unique<const RoutingTable>();
        return view;
    }

    RegistrySettings registrySettings(const Daemon &daemon)
    {
        RegistrySettings settings;
        settings.self = {
            daemon.settings.daemon, daemon.settings.availabilityZone, daemon.settings.httpAddress, static_cast<std::uint16_t>(daemon.settings.httpPort)};
        settings.incarnation = daemon.incarnation;
        settings.reportInterval = {daemon.settings.reportIntervalMs};
        settings.ownerLease = {daemon.settings.ownerLeaseMs};
        settings.taskLease = {daemon.settings.taskLeaseMs};
        return settings;
    }

    void makeControlState(Daemon &daemon)
    {
        ControlState &state = daemon.controlState;
        const TimePoint now = steadyNow();
        state.registry = makeWorkerRegistry(registrySettings(daemon));
        state.lease.freshnessLease = {daemon.settings.freshnessLeaseMs};
        state.lease.runningLease = {daemon.settings.runningLeaseMs};
        ShardSettings shard;
        shard.taskLease = {daemon.settings.taskLeaseMs};
        shard.daemonIncarnation = daemon.incarnation;
        state.shard = *makeJobShard(shard, now);
        for (const PeerSettings &peer : daemon.settings.peers) {
            state.peers[peer.daemon].settings = peer;
        }
    }

    ReplicationHooks replicationHooks(Daemon &daemon)
    {
        ReplicationHooks hooks;
        hooks.send = [&daemon](const DaemonName &to, const RaftMessage &message) {
            if (daemon.peers != nullptr) {
                daemon.peers->sendOneWay(to, static_cast<std::uint8_t>(PeerKind::Raft), encodePeerMessage(message));
            }
        };
        hooks.install = [&daemon](Snapshot snapshot) {
            daemon.control.post([&daemon, snapshot = std::move(snapshot)] {
                installSnapshot(daemon, snapshot);
            });
        };
        hooks.apply = [&daemon](std::vector<LogEntry> entries) {
            daemon.control.post([&daemon, entries = std::move(entries)] {
                applyEntries(daemon, entries);
            });
        };
        hooks.statusChanged = [&daemon](ReplicationStatus status) {
            daemon.control.post([&daemon, status = std::move(status)]() mutable {
                replicationStatusChanged(daemon, std::move(status));
            });
        };
        hooks.snapshotWanted = [&daemon](std::uint64_t) {
            daemon.control.post([&daemon] {
                takeSnapshot(daemon);
            });
        };
        hooks.synced = [&daemon](std::int64_t microseconds) {
            daemon.timings.record(TimedStep::DiskSync, microseconds);
        };
        hooks.failed = [&daemon](ResultCode code) {
            logLine(LogArea::Replication, LogLevel::Error, "disk-failed", {{"code", resultCodeRow(code).name}});
            daemon.stopped(code);
        };
        return hooks;
    }

    StartResult failed(ResultCode code, std::string message)
    {
        return {code, std::move(message)};
    }

    StartResult startPeers(Daemon &daemon)
    {
        if (daemon.settings.peers.empty()) {
            return {};
        }
        PeerLinkSettings links;
        links.self = daemon.settings.daemon;
        links.address = daemon.settings.peerAddress;
        links.port = static_cast<std::uint16_t>(daemon.settings.peerTcpPort);
        links.key = daemon.peerKey;
        const auto handler = [&daemon](const DaemonName &peer, std::uint8_t kind, const std::string &payload, const PeerReply &reply) {
            handlePeerMessage(daemon, peer, kind, payload, reply);
        };
        daemon.peers = std::make_unique<PeerLinks>(links, handler, daemon.network);
        daemon.peers->setLinkHook([](const DaemonName &peer, bool open) {
            logLine(LogArea::Peer, LogLevel::Info, open ? "link-open" : "link-closed", {{"peer", peer}});
        });
        UdpHeartbeatSettings udp;
        udp.self = daemon.settings.daemon;
        udp.address = daemon.settings.peerAddress;
        udp.port = static_cast<std::uint16_t>(daemon.settings.peerUdpPort);
        udp.key = daemon.peerKey;
        udp.incarnation = daemon.incarnation;
        daemon.heartbeats = std::make_unique<UdpHeartbeat>(
            udp,
            [&daemon](const DaemonName &peer, std::uint64_t incarnation, const std::string &payload) {
                handleHeartbeat(daemon, peer, incarnation, payload);
            },
            daemon.network);
        std::vector<PeerAddress> tcp;
        std::vector<PeerAddress> datagrams;
        for (const PeerSettings &peer : daemon.settings.peers) {
            tcp.push_back({peer.daemon, peer.address, peer.tcpPort});
            datagrams.push_back({peer.daemon, peer.address, peer.udpPort});
        }
        daemon.peers->setPeers(tcp);
        daemon.heartbeats->setPeers(datagrams);
        return {};
    }

    StartResult openPeers(Daemon &daemon)
    {
        if (daemon.peers == nullptr) {
            return {};
        }
        if (const std::error_code error = daemon.peers->start()) {
            return failed(ResultCode::BadAddress, "cannot listen for peers: " + error.message());
        }
        if (const std::error_code error = daemon.heartbeats->start()) {
            return failed(ResultCode::BadAddress, "cannot listen for heartbeats: " + error.message());
        }
        return {};
    }

    StartResult startHttp(Daemon &daemon)
    {
        HttpServerSettings settings;
        settings.address = daemon.settings.httpAddress;
        settings.port = static_cast<std::uint16_t>(daemon.settings.httpPort);
        settings.threads = static_cast<unsigned>(daemon.settings.requestThreads);
        settings.maxBodyBytes = static_cast<std::size_t>(daemon.settings.maxBodyBytes);
        settings.maxConnections = static_cast<std::size_t>(daemon.settings.maxConnections);
        const auto handler = [&daemon](HttpRequest &&request, HttpRespond respond) {
            handleHttp(daemon, std::move(request), std::move(respond));
        };
        daemon.http = std::make_unique<HttpServer>(settings, handler, daemon.network);
        if (const std::error_code error = daemon.http->start()) {
            return failed(ResultCode::BadAddress, "cannot listen for callers: " + error.message());
        }
        return {};
    }

    /** Membership before the first log entry: every daemon derives the same one from its settings. */
    Membership bootstrapMembership(const Settings &settings)
    {
        Membership membership;
        const auto add = [&membership](const DaemonName &daemon, bool voter) {
            if (voter) {
                membership.voters.push_back({daemon, FirstIncarnation});
            } else {
                membership.learners.push_back({daemon, 0});
            }
        };
        add(settings.daemon, isVoter(settings));
        for (const PeerSettings &peer : settings.peers) {
            add(peer.daemon, peer.voter);
        }
        std::sort(membership.voters.begin(), membership.voters.end());
        std::sort(membership.learners.begin(), membership.learners.end());
        return membership;
    }

    ReplicationConfig replicationConfig(const Settings &settings, bool firstStart)
    {
        ReplicationConfig config;
        RaftSettings &result = config.raft;
        result.self = {settings.daemon, 0};
        result.bootstrap = bootstrapMembership(settings);
        result.electionTimeoutMin = {settings.electionTimeoutMinMs};
        result.electionTimeoutMax = {settings.electionTimeoutMaxMs};
        result.heartbeatInterval = {settings.raftHeartbeatMs};
        result.snapshotEvery = static_cast<std::uint64_t>(settings.snapshotEvery);
        result.seed = stableHash(settings.daemon) ^ static_cast<std::uint64_t>(wallNow().ms);
        for (const PeerSettings &peer : settings.peers) {
            if (peer.voter && peer.availabilityZone == settings.availabilityZone) {
                result.zoneVoters.push_back(peer.daemon);
            }
        }
        config.dataFolder = settings.dataFolder;
        // With peers, an empty folder may be a lost disk; only the operator knows that it is not.
        config.votesAtOnce = firstStart || settings.peers.empty();
        return config;
    }

    void startLedger(Daemon &daemon, ReplicationStart &start)
    {
        LedgerSettings settings;
        settings.instance = daemon.incarnation;
        settings.self = {daemon.settings.daemon, start.incarnation};
        // A folder made after the first start stands for a lost disk: until its age reaches the retention, a record that
        // is not there may have been lost with the old one. Such folders are numbered by their time of creation.
        const std::int64_t age = wallNow().ms - static_cast<std::int64_t>(start.incarnation);
        const Duration missing{start.incarnation == FirstIncarnation ? 0 : std::max<std::int64_t>(settings.retention.ms - age, 0)};
        settings.complete = missing.ms == 0;
        daemon.ledger.start(settings, missing, std::move(start.ledger), start.ledgerRecords, ledgerHooks(daemon));
    }

    void startTimers(Daemon &daemon)
    {
        daemon.control.every(WorkerTickInterval, [&daemon] {
            const TimePoint now = steadyNow();
            updateShardLeases(daemon, now);
            updateShardZones(daemon, now);
            workerTick(daemon, now);
            proposalTick(daemon, now);
        });
        daemon.control.every(ServiceTickInterval, [&daemon] {
            serviceTick(daemon, steadyNow());
        });
        daemon.control.every(AssignInterval, [&daemon] {
            assignTick(daemon, steadyNow());
        });
        daemon.control.every(Duration{daemon.settings.probeIntervalMs}, [&daemon] {
            const TimePoint now = steadyNow();
            sendProbe(daemon);
            sendHeartbeats(daemon, now);
            publishView(daemon);
        });
        daemon.control.every(CounterInterval, [&daemon] {
            const TimePoint now = steadyNow();
            announceLife(daemon, now);
            restrictionTick(daemon, now);
            sendCounters(daemon);
            deliverFinalCounters(daemon, now);
        });
    }

} // namespace

Daemon::Daemon(Settings checked)
    : settings(std::move(checked))
    , view(emptyView())
{
}

Daemon::~Daemon()
{
    endDaemon(*this);
}

StartResult startDaemon(Daemon &daemon, const StartOptions &options, std::function<void(ResultCode)> stopped)
{
    daemon.stopped = std::move(stopped);
    daemon.incarnation = static_cast<std::uint64_t>(wallNow().ms);
    daemon.outcomes = std::make_unique<OutcomeCounters>(daemon.settings.availabilityZone);
    makeControlState(daemon);
    HttpClientSettings client;
    client.maxConnectionsPerTarget = static_cast<std::size_t>(daemon.settings.workerConnections);
    daemon.client = std::make_unique<HttpClient>(client, daemon.network);
    if (const KeyFile key = readKeyFile(daemon.settings.peerKeyFile); !daemon.settings.peers.empty()) {
        if (key.code != ResultCode::Ok) {
            return failed(key.code, key.message);
        }
        daemon.peerKey = key.key;
    }
    startPeers(daemon);
    // The control thread must not touch the shared parts before all of them exist.
    ReplicationStart start = daemon.replication.start(replicationConfig(daemon.settings, options.firstStart), replicationHooks(daemon));
    if (start.code != ResultCode::Ok) {
        return failed(start.code, "cannot open the data folder " + daemon.settings.dataFolder);
    }
    if (!start.setAside.empty()) {
        logLine(LogArea::Daemon, LogLevel::Error, "data-set-aside", {{"folder", start.setAside}, {"incarnation", start.incarnation}});
    }
    const KeyFile operatorKey = openOperatorKey(daemon.settings);
    if (operatorKey.code != ResultCode::Ok) {
        return failed(operatorKey.code, operatorKey.message);
    }
    daemon.operatorKey = operatorKey.key;
    if (openRestrictions(daemon) != ResultCode::Ok) {
        return failed(ResultCode::DiskFailed, "cannot open the kept restrictions in the data folder " + daemon.settings.dataFolder);
    }
    startLedger(daemon, start);
    startTimers(daemon);
    daemon.control.start();
    if (StartResult result = openPeers(daemon); result.code != ResultCode::Ok) {
        return result;
    }
    return startHttp(daemon);
}

void endDaemon(Daemon &daemon)
{
    if (daemon.http != nullptr) {
        daemon.http->stop();
    }
    daemon.control.stop();
    if (daemon.peers != nullptr) {
        daemon.peers->stop();
        daemon.heartbeats->stop();
    }
    daemon.ledger.stop();
    daemon.replication.stop();
    if (daemon.client != nullptr) {
        daemon.client->stop();
    }
}

} // namespace Filbertlanding
