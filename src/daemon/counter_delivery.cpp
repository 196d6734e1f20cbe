/** @file counter_delivery.cpp Brings the outcome counters to the other daemons and into the log. */

#include "daemon/counter_delivery.h"

#include "core/clock_func.h"
#include "daemon/peer_codec.h"
#include "daemon/propose_func.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration DeliverTimeout{10'000}; ///< Time for a delivery, over elections.
    constexpr Duration CollectTimeout{1000}; ///< Time that a voter has to say which counters it holds.

    void keepCounters(Daemon &daemon, const CounterSnapshot &snapshot)
    {
        std::string &kept = daemon.controlState.counters[{snapshot.daemon, snapshot.incarnation}][snapshot.service];
        const auto before = decodeCounts(kept);
        auto now = decodeCounts(snapshot.counters);
        if (!now) {
            return;
        }
        if (before) {
            mergeCounts(*now, *before);
        }
        kept = encodeCounts(*now);
    }

    void proposeFinal(Daemon &daemon, const ServiceName &service, const std::string &counters, std::function<void(bool)> done)
    {
        FinalCounters command;
        command.service = service;
        command.daemon = daemon.settings.daemon;
        command.incarnation = daemon.incarnation;
        command.revision = ++daemon.controlState.finalRevision;
        command.counters = counters;
        proposeUntil(
            daemon, command, steadyNow() + DeliverTimeout, [&daemon, service, counters, done = std::move(done)](const CommandResult &result, std::uint64_t) {
                const bool delivered = result.code == ResultCode::Ok;
                if (delivered) {
                    daemon.controlState.finalDelivered[service] = counters;
                }
                logLine(LogArea::Report, LogLevel::Info, "final-counters", {{"service", service}, {"code", resultCodeRow(result.code).name}});
                done(delivered);
            });
    }

} // namespace

void sendCounters(Daemon &daemon)
{
    for (const auto &[service, counts] : daemon.outcomes->snapshot()) {
        CounterSnapshot snapshot{daemon.settings.daemon, daemon.incarnation, service, encodeCounts(counts)};
        std::string &kept = daemon.controlState.counters[{snapshot.daemon, snapshot.incarnation}][service];
        if (kept == snapshot.counters) {
            continue;
        }
        kept = snapshot.counters;
        const std::string payload = encodePeerMessage(snapshot);
        for (const VoterId &voter : daemon.controlState.replication.membership.voters) {
            if (voter.daemon != daemon.settings.daemon && daemon.peers != nullptr) {
                daemon.peers->sendOneWay(voter.daemon, static_cast<std::uint8_t>(PeerKind::CounterSnapshot), payload);
            }
        }
    }
}

void receiveCounters(Daemon &daemon, const DaemonName &peer, const std::string &payload)
{
    auto snapshot = decodePeerMessage<CounterSnapshot>(payload);
    if (!snapshot || snapshot->daemon != peer) {
        return;
    }
    daemon.control.post([&daemon, snapshot = std::move(*snapshot)] {
        keepCounters(daemon, snapshot);
    });
}

void answerReportQuery(Daemon &daemon, const PeerReply &reply)
{
    daemon.control.post([&daemon, reply] {
        CounterSnapshots answer;
        for (const auto &[key, services] : daemon.controlState.counters) {
            for (const auto &[service, counters] : services) {
                answer.snapshots.push_back({key.first, key.second, service, counters});
            }
        }
        reply(encodePeerMessage(answer));
    });
}

void deliverFinalCounters(Daemon &daemon, TimePoint)
{
    ControlState &state = daemon.controlState;
    if (!state.lifeAccepted) {
        return;
    }
    const auto counts = daemon.outcomes->snapshot();
    for (const auto &[service, config] : state.catalog.intent.configuration.services) {
        const auto runtime = state.services.find(service);
        const bool idle = runtime == state.services.end() || runtime->second->inFlight == 0;
        if (config.state != ServiceState::Closed || !idle || state.finalOpen.contains(service)) {
            state.finalDelivered.erase(config.state == ServiceState::Open ? service : ServiceName());
            continue;
        }
        const auto found = counts.find(service);
        const std::string encoded = encodeCounts(found == counts.end() ? OutcomeCounts() : found->second);
        const auto delivered = state.finalDelivered.find(service);
        if (delivered != state.finalDelivered.end() && delivered->second == encoded) {
            continue;
        }
        state.finalOpen.insert(service);
        proposeFinal(daemon, service, encoded, [&daemon, service = service](bool) {
            daemon.controlState.finalOpen.erase(service);
        });
    }
}

void deliverAllCounters(Daemon &daemon, std::function<void(bool delivered)> done)
{
    const auto counts = daemon.outcomes->snapshot();
    const auto open = std::make_shared<std::size_t>(1);
    const auto all = std::make_shared<bool>(true);
    const auto finished = [&daemon, open, all, done = std::move(done)](bool delivered) {
        *all = *all && delivered;
        *open -= 1;
        if (*open > 0) {
            return;
        }
        if (!*all) {
            done(false);
            return;
        }
        // Only a daemon whose counters are all in the log may be taken off the list of those that are awaited.
        const DaemonLifeCycleEvent life{daemon.settings.daemon, daemon.incarnation, false};
        proposeUntil(daemon, life, steadyNow() + DeliverTimeout, [done](const CommandResult &result, std::uint64_t) {
            done(result.code == ResultCode::Ok);
        });
    };
    for (const auto &[service, record] : daemon.controlState.catalog.services.services) {
        *open += 1;
        const auto found = counts.find(service);
        proposeFinal(daemon, service, encodeCounts(found == counts.end() ? OutcomeCounts() : found->second), finished);
    }
    finished(true);
}

void announceLife(Daemon &daemon, TimePoint now)
{
    ControlState &state = daemon.controlState;
    if (state.lifeAccepted || state.lifeProposed) {
        return;
    }
    state.lifeProposed = true;
    const DaemonLifeCycleEvent life{daemon.settings.daemon, daemon.incarnation, true};
    proposeUntil(daemon, life, now + DeliverTimeout, [&daemon](const CommandResult &result, std::uint64_t) {
        daemon.controlState.lifeProposed = false;
        daemon.controlState.lifeAccepted = result.code == ResultCode::Ok;
    });
}

std::map<DaemonIncarnation, OutcomeCounts> liveCounts(const Daemon &daemon, const ServiceName &service)
{
    std::map<DaemonIncarnation, OutcomeCounts> live;
    for (const auto &[key, services] : daemon.controlState.counters) {
        const auto found = services.find(service);
        const auto counts = found == services.end() ? std::nullopt : decodeCounts(found->second);
        if (counts) {
            live[{key.first, key.second}] = *counts;
        }
    }
    return live;
}

void collectCounters(Daemon &daemon, std::function<void()> done)
{
    sendCounters(daemon);
    const auto open = std::make_shared<std::size_t>(1);
    const auto finished = [open, done = std::move(done)] {
        *open -= 1;
        if (*open == 0) {
            done();
        }
    };
    for (const VoterId &voter : daemon.controlState.replication.membership.voters) {
        if (voter.daemon == daemon.settings.daemon || daemon.peers == nullptr) {
            continue;
        }
        *open += 1;
        daemon.peers->sendRequest(voter.daemon, static_cast<std::uint8_t>(PeerKind::ReportQuery), {}, CollectTimeout, [&daemon, finished](PeerAnswer answer) {
            daemon.control.post([&daemon, finished, answer = std::move(answer)] {
                const auto snapshots = decodePeerMessage<CounterSnapshots>(answer.payload);
                if (answer.code == ResultCode::Ok && snapshots) {
                    for (const CounterSnapshot &snapshot : snapshots->snapshots) {
                        keepCounters(daemon, snapshot);
                    }
                }
                finished();
            });
        });
    }
    finished();
}

} // namespace Filbertlanding
