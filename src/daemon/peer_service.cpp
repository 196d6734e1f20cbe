/** @file peer_service.cpp Messages and heartbeats of other daemons. */

#include "daemon/peer_service.h"

#include "core/clock_func.h"
#include "daemon/apply_state.h"
#include "daemon/counter_delivery.h"
#include "daemon/lease_driver.h"
#include "daemon/ledger_path.h"
#include "daemon/peer_codec.h"
#include "daemon/propose_func.h"
#include "daemon/request_service.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    void handleRaft(Daemon &daemon, const DaemonName &peer, const std::string &payload)
    {
        auto message = decodePeerMessage<RaftMessage>(payload);
        // A daemon speaks for itself only, whatever identity the message names.
        if (message && message->from.daemon == peer) {
            daemon.replication.receive(std::move(*message));
        }
    }

    void handleForward(Daemon &daemon, const std::string &payload, const PeerReply &reply)
    {
        auto request = decodePeerMessage<ForwardedRequest>(payload);
        if (request) {
            serveForwarded(daemon, std::move(*request), [reply](const ForwardedAnswer &answer) {
                reply(encodePeerMessage(answer));
            });
        }
    }

    void handleLedgerSubmit(Daemon &daemon, const std::string &payload, const PeerReply &reply)
    {
        auto request = decodePeerMessage<ForwardedRequest>(payload);
        if (request) {
            submitForPeer(daemon, std::move(*request), [reply](const ForwardedAnswer &answer) {
                reply(encodePeerMessage(answer));
            });
        }
    }

    void handlePropose(Daemon &daemon, const std::string &payload, const PeerReply &reply)
    {
        auto request = decodePeerMessage<ProposeRequest>(payload);
        if (!request) {
            return;
        }
        daemon.control.post([&daemon, reply, command = std::move(request->command)]() mutable {
            proposeForPeer(daemon, std::move(command), [reply](const ProposeAnswer &answer) {
                reply(encodePeerMessage(answer));
            });
        });
    }

    void handleProbe(Daemon &daemon, const DaemonName &peer, const std::string &payload, const PeerReply &reply)
    {
        auto probe = decodePeerMessage<ProbeRequest>(payload);
        if (!probe || probe->daemon != peer) {
            return;
        }
        daemon.control.post([&daemon, reply, probe = std::move(*probe)] {
            answerProbe(daemon, probe, [reply](const ProbeAnswer &answer) {
                reply(encodePeerMessage(answer));
            });
        });
    }

} // namespace

void handlePeerMessage(Daemon &daemon, const DaemonName &peer, std::uint8_t kind, const std::string &payload, const PeerReply &reply)
{
    const auto peerKind = static_cast<PeerKind>(kind);
    switch (peerKind) {
    case PeerKind::Raft:
        handleRaft(daemon, peer, payload);
        return;
    case PeerKind::Forward:
        handleForward(daemon, payload, reply);
        return;
    case PeerKind::Propose:
        handlePropose(daemon, payload, reply);
        return;
    case PeerKind::Probe:
        handleProbe(daemon, peer, payload, reply);
        return;
    case PeerKind::LedgerSubmission:
        handleLedgerSubmit(daemon, payload, reply);
        return;
    case PeerKind::LedgerRecord:
    case PeerKind::LedgerQuery:
    case PeerKind::LedgerOutcome:
        handleLedgerMessage(daemon, peerKind, payload, reply);
        return;
    case PeerKind::CounterSnapshot:
        receiveCounters(daemon, peer, payload);
        return;
    case PeerKind::ReportQuery:
        answerReportQuery(daemon, reply);
        return;
    }
    logLine(LogArea::Peer, LogLevel::Warn, "unknown-message", {{"peer", peer}, {"kind", kind}});
}

void handleHeartbeat(Daemon &daemon, const DaemonName &peer, std::uint64_t incarnation, const std::string &payload)
{
    auto heartbeat = decodePeerMessage<Heartbeat>(payload);
    if (!heartbeat) {
        return;
    }
    daemon.control.post([&daemon, peer, incarnation, heartbeat = std::move(*heartbeat)]() mutable {
        const auto found = daemon.controlState.peers.find(peer);
        if (found == daemon.controlState.peers.end()) {
            return;
        }
        PeerState &state = found->second;
        state.heartbeat = std::move(heartbeat);
        state.incarnation = incarnation;
        state.heardAt = steadyNow();
        PeerSummary summary{peer, state.settings.availabilityZone, state.heartbeat->drained, state.heartbeat->stopping, state.heardAt, {}};
        for (const HeartbeatService &service : state.heartbeat->services) {
            summary.services.push_back({service.service, service.slots, service.inUse, service.quantileMs});
        }
        updatePeerEntries(daemon.controlState.routes, summary);
    });
}

void sendHeartbeats(Daemon &daemon, TimePoint now)
{
    if (daemon.heartbeats == nullptr) {
        return;
    }
    const ControlState &state = daemon.controlState;
    Heartbeat heartbeat;
    heartbeat.stopping = daemon.state == DaemonState::Draining || daemon.state == DaemonState::Finishing;
    heartbeat.drained = isOwnZoneDrained(daemon);
    heartbeat.version = state.catalog.intent.version;
    heartbeat.workers = static_cast<std::uint32_t>(state.registry.workers.size());
    for (const PeerServiceLoad &load : summarizeLoad(state.routes, now)) {
        heartbeat.services.push_back({load.service, load.slots, load.inUse, load.quantileMs});
    }
    const std::string payload = encodePeerMessage(heartbeat);
    for (const auto &[name, peer] : state.peers) {
        daemon.heartbeats->send(name, payload);
    }
}

} // namespace Filbertlanding
