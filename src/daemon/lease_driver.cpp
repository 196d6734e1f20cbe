/** @file lease_driver.cpp Probes that renew the leases, and the assignment of jobs by the leader. */

#include "daemon/lease_driver.h"

#include "catalog/assign_func.h"
#include "core/clock_func.h"
#include "daemon/apply_state.h"
#include "daemon/peer_codec.h"
#include "daemon/propose_func.h"
#include "job/job_shard_func.h"
#include "replication/raft_func.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration DaemonAliveFor{2500}; ///< Five probe intervals; a daemon that is silent for longer gets no new job.
    constexpr Duration RampAfterReturn{30'000}; ///< Time over which a zone that returned gets its full share again.
    /**
     * Probes that arrive within this time share one quorum round. A round sends a message to each daemon, so one for each probe would make the
     * leader's traffic grow with the square of the number of daemons. It is the heartbeat interval, which a round replaces, and well below the
     * freshness lease.
     */
    constexpr Duration ProbeGather{200};
    constexpr Duration AssignRetry{2000}; ///< A round whose proposals are not answered in this time is made again.
    /**
     * Time until the next round when the last one had nothing to assign and no entry has been applied since. A round looks at every job record.
     * It bounds how late a job that waits for room learns of a new worker or an ended lease, and is well below the 7.8 s of urgent work.
     */
    constexpr Duration IdleRounds{1000};

    /** Summarizes the batch load of the own shard. */
    ShardSummary summarizeShard(const JobShard &shard, TimePoint now)
    {
        ShardSummary summary;
        for (std::size_t i = 0; i < shard.workers.size(); ++i) {
            const ShardWorker &worker = shard.workers[i];
            if (worker.ownedUntil <= now || worker.leaving || worker.allowedTasks == 0) {
                continue;
            }
            const Resources free = shard.candidates[i].capacity - shard.candidates[i].used;
            summary.workers += 1;
            summary.capacity = summary.capacity + worker.capacity;
            // Without the ramp after a return, which the leader applies to the sum; only the largest piece is what is released now.
            summary.free = summary.free + worker.capacity - shard.candidates[i].used;
            if (free.cpuMillis > summary.largestFree.cpuMillis) {
                summary.largestFree = free;
            }
            if (std::find(summary.shapes.begin(), summary.shapes.end(), worker.capacity) == summary.shapes.end()) {
                summary.shapes.push_back(worker.capacity);
            }
        }
        summary.runningTasks = static_cast<std::uint32_t>(shard.tasks.size());
        summary.queuedTasks = static_cast<std::uint32_t>(queuedTasks(shard.queue));
        return summary;
    }

    void probeAnsweredHere(Daemon &daemon, std::uint64_t number, const ProbeAnswer &answer)
    {
        if (answer.code != ResultCode::Ok) {
            return;
        }
        ControlState &state = daemon.controlState;
        const TimePoint now = steadyNow();
        probeAnswered(state.lease, number, answer.commitIndex);
        state.spareCpuMillis = answer.spareCpuMillis;
        updateShardLeases(daemon, now);
    }

    double rampUp(const Daemon &daemon, const ZoneName &zone, TimePoint now)
    {
        const auto returned = daemon.controlState.returnedAt.find(zone);
        if (returned == daemon.controlState.returnedAt.end()) {
            return 1.0;
        }
        const double part = static_cast<double>((now - returned->second).ms) / static_cast<double>(RampAfterReturn.ms);
        return std::clamp(part, 0.05, 1.0);
    }

    /** Free processors of the zones in service that one daemon of a drained zone may fill; several such daemons share them. */
    std::int64_t spareCpuMillis(const Daemon &daemon, TimePoint now)
    {
        const ControlState &state = daemon.controlState;
        std::int64_t spare = 0;
        std::int64_t drained = 0;
        for (const auto &[name, load] : state.leader.daemons) {
            if (now - load.probedAt >= DaemonAliveFor) {
                continue;
            }
            if (state.catalog.intent.configuration.isDrained(load.availabilityZone)) {
                drained += load.load.runningTasks > 0 ? 1 : 0;
                continue;
            }
            const double held = 1.0 - rampUp(daemon, load.availabilityZone, now);
            const auto released = load.load.free.cpuMillis - static_cast<std::int64_t>(held * static_cast<double>(load.load.capacity.cpuMillis));
            spare += std::max<std::int64_t>(released, 0);
        }
        return spare / std::max<std::int64_t>(drained, 1);
    }

    AssignInput assignInput(const Daemon &daemon, TimePoint now)
    {
        const ControlState &state = daemon.controlState;
        AssignInput input;
        input.allShardsKnown = state.leader.daemons.size() == daemon.settings.peers.size() + 1;
        for (const auto &[name, load] : state.leader.daemons) {
            ShardLoad shard;
            shard.daemon = name;
            shard.zone = load.availabilityZone;
            shard.appliedIndex = load.appliedIndex;
            shard.alive = now - load.probedAt < DaemonAliveFor;
            shard.mayReassign = mayReassign(state.leader.grants, name, now);
            shard.batchCapacity = load.load.capacity;
            shard.freeBatch = load.load.free;
            shard.largestFreeWorker = load.load.largestFree;
            shard.workerShapes = load.load.shapes;
            shard.rampUp = rampUp(daemon, load.availabilityZone, now);
            input.shards.push_back(std::move(shard));
        }
        // A daemon that this leader has never heard from may still run jobs until the leases of the earlier leader have ended.
        for (const auto &[job, record] : state.catalog.jobs.jobs) {
            for (const JobAssignment &assignment : record.assignments) {
                if (state.leader.daemons.contains(assignment.daemon)) {
                    continue;
                }
                const bool known = std::any_of(input.shards.begin(), input.shards.end(), [&assignment](const ShardLoad &shard) {
                    return shard.daemon == assignment.daemon;
                });
                if (!known) {
                    ShardLoad shard;
                    shard.daemon = assignment.daemon;
                    shard.zone = assignment.zone;
                    shard.mayReassign = mayReassign(state.leader.grants, assignment.daemon, now);
                    input.shards.push_back(std::move(shard));
                }
            }
        }
        return input;
    }

    void logAssignment(const LogCommand &command)
    {
        if (const auto *assign = std::get_if<AssignJob>(&command)) {
            logLine(LogArea::Place,
                    LogLevel::Info,
                    "assign",
                    {{"job", assign->job},
                     {"epoch", assign->epoch},
                     {"daemon", assign->daemon},
                     {"availabilityZone", assign->zone},
                     {"resumeFrom", assign->resumeFrom}});
        } else if (const auto *evict = std::get_if<EvictJob>(&command)) {
            logLine(LogArea::Place, LogLevel::Info, "reassign", {{"job", evict->job}, {"epoch", evict->epoch}, {"cause", "running lease ended"}});
        } else if (const auto *fail = std::get_if<FailJob>(&command)) {
            logLine(LogArea::Place, LogLevel::Info, "refuse-job", {{"job", fail->job}, {"code", resultCodeRow(fail->code).name}, {"reason", fail->reason}});
        }
    }

    ProbeRequest makeProbe(const Daemon &daemon, TimePoint now)
    {
        const ControlState &state = daemon.controlState;
        ProbeRequest probe;
        probe.daemon = daemon.settings.daemon;
        probe.availabilityZone = daemon.settings.availabilityZone;
        probe.incarnation = daemon.incarnation;
        probe.appliedIndex = state.appliedIndex;
        probe.version = state.catalog.intent.version;
        probe.load = summarizeShard(state.shard, now);
        return probe;
    }

    void grantProbe(Daemon &daemon, const ProbeRequest &probe, const ReadReady &ready, const std::function<void(ProbeAnswer)> &reply)
    {
        LeaderState &leader = daemon.controlState.leader;
        ProbeAnswer answer;
        answer.code = leader.active ? ready.code : ResultCode::NotLeader;
        if (answer.code == ResultCode::Ok) {
            const TimePoint now = steadyNow();
            leader.daemons[probe.daemon] = {probe.availabilityZone, probe.incarnation, probe.version, probe.appliedIndex, now, probe.load};
            grantLease(leader.grants, probe.daemon, now);
            answer.commitIndex = ready.index;
            answer.spareCpuMillis = spareCpuMillis(daemon, now);
        }
        reply(answer);
    }

    /** Starts one quorum round for all probes that wait. */
    void startProbeRound(Daemon &daemon)
    {
        // A probe that arrives from here on is not in the list, so the round starts after each of its probes.
        auto probes = std::make_shared<std::vector<WaitingProbe>>(std::exchange(daemon.controlState.waitingProbes, {}));
        daemon.replication.read([&daemon, probes](const ReadReady &ready) {
            daemon.control.post([&daemon, probes, ready] {
                for (const WaitingProbe &waiting : *probes) {
                    grantProbe(daemon, waiting.probe, ready, waiting.reply);
                }
            });
        });
    }

} // namespace

void updateShardLeases(Daemon &daemon, TimePoint now)
{
    ControlState &state = daemon.controlState;
    const bool fresh = isFresh(state.lease, state.appliedIndex, now) && state.lease.leaseStart;
    const TimePoint freshUntil = fresh ? *state.lease.leaseStart + state.lease.freshnessLease : TimePoint{0};
    const TimePoint runningUntil = isRunning(state.lease, state.appliedIndex, now) ? runningLeaseEnd(state.lease) : TimePoint{0};
    shardUpdateLeases(state.shard, freshUntil, runningUntil, now);
}

void sendProbe(Daemon &daemon)
{
    ControlState &state = daemon.controlState;
    const ReplicationStatus &status = state.replication;
    if (status.leader.empty()) {
        return;
    }
    const TimePoint now = steadyNow();
    const ProbeRequest probe = makeProbe(daemon, now);
    const std::uint64_t number = startProbe(state.lease, now);
    if (status.role == RaftRole::Leader) {
        answerProbe(daemon, probe, [&daemon, number](const ProbeAnswer &answer) {
            probeAnsweredHere(daemon, number, answer);
        });
        return;
    }
    if (daemon.peers == nullptr) {
        return;
    }
    const auto kind = static_cast<std::uint8_t>(PeerKind::Probe);
    daemon.peers->sendRequest(
        status.leader, kind, encodePeerMessage(probe), Duration{daemon.settings.freshnessLeaseMs}, [&daemon, number](PeerAnswer peerAnswer) {
            daemon.control.post([&daemon, number, peerAnswer = std::move(peerAnswer)] {
                const auto answer = decodePeerMessage<ProbeAnswer>(peerAnswer.payload);
                if (peerAnswer.code == ResultCode::Ok && answer) {
                    probeAnsweredHere(daemon, number, *answer);
                }
            });
        });
}

void answerProbe(Daemon &daemon, const ProbeRequest &probe, std::function<void(ProbeAnswer)> reply)
{
    std::vector<WaitingProbe> &waiting = daemon.controlState.waitingProbes;
    waiting.push_back({probe, std::move(reply)});
    if (waiting.size() > 1) {
        return;
    }
    daemon.control.after(ProbeGather, [&daemon] {
        startProbeRound(daemon);
    });
}

void replicationStatusChanged(Daemon &daemon, ReplicationStatus status)
{
    ControlState &state = daemon.controlState;
    const bool newRole = status.role != state.replication.role || status.leader != state.replication.leader;
    const bool newMembership = status.membership != state.replication.membership;
    state.replication = std::move(status);
    LeaderState &leader = state.leader;
    const bool leads = state.replication.role == RaftRole::Leader;
    if (leads && (!leader.active || leader.term != state.replication.term)) {
        leader = LeaderState();
        leader.term = state.replication.term;
        leader.grants = startLeaseGrants(state.replication.leaderSince, Duration{daemon.settings.runningLeaseMs});
    }
    leader.active = leads;
    if (newMembership) {
        publishView(daemon);
    }
    if (newRole) {
        logLine(LogArea::Replication,
                LogLevel::Info,
                "role",
                {{"role", roleName(state.replication.role)}, {"term", state.replication.term}, {"leader", state.replication.leader}});
    }
}

void assignTick(Daemon &daemon, TimePoint now)
{
    ControlState &state = daemon.controlState;
    LeaderState &leader = state.leader;
    if (!leader.active) {
        return;
    }
    const bool roundOpen = leader.openProposals > 0 && now - leader.assignedAt < AssignRetry;
    if (roundOpen) {
        return;
    }
    if (leader.idleIndex == state.appliedIndex && now - leader.assignedAt < IdleRounds) {
        return;
    }
    const StepTimer timer(daemon.timings, TimedStep::Assignment);
    const std::vector<LogCommand> commands = assignJobs(state.catalog, assignInput(daemon, now));
    leader.openProposals = commands.size();
    leader.assignedAt = now;
    leader.idleIndex = commands.empty() ? std::optional(state.appliedIndex) : std::nullopt;
    for (const LogCommand &command : commands) {
        logAssignment(command);
        proposeCommand(daemon, command, [&daemon](const CommandResult &, std::uint64_t) {
            std::size_t &open = daemon.controlState.leader.openProposals;
            open -= open > 0 ? 1 : 0;
        });
    }
}

} // namespace Filbertlanding
