/** @file job_world.cpp The daemons, the network and the leader of the simulation for tests of the job shard. */

#include "job_world.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Filbertlanding::JobWorld {

World::World(const WorldSettings &given)
    : settings(given)
    , random{given.seed}
{
    const auto randomClockRate = [this]() {
        return this->settings.drift ? 0.9955 + 0.009 * this->random.unit() : 1.0;
    };
    for (std::uint32_t i = 0; i < given.workers; ++i) {
        FakeWorker worker;
        worker.name = "w" + std::to_string(i);
        worker.clockRate = randomClockRate();
        worker.owner = i % given.shards;
        worker.nextReport = this->now + static_cast<std::int64_t>(this->random.below(1000));
        worker.answeredAt = this->workerTime(worker);
        this->workers.push_back(worker);
    }
    for (std::uint32_t i = 0; i < given.shards; ++i) {
        this->daemons.push_back(std::make_unique<FakeDaemon>());
        this->daemons[i]->clockRate = randomClockRate();
        this->startDaemon(i, false);
    }
}

void World::startDaemon(std::uint32_t index, bool restart)
{
    FakeDaemon &daemon = *this->daemons[index];
    ++daemon.incarnation;
    daemon.alive = true;
    daemon.sent.clear();
    ShardSettings shard = this->settings.shard;
    shard.daemonIncarnation = daemon.incarnation;
    daemon.shard = makeJobShard(shard, this->daemonTime(daemon)).value();
    daemon.nextProbe = this->now + 300;
    daemon.nextTick = this->now;
    if (daemon.drained) {
        shardUpdateZone(daemon.shard, "zone", true, {600'000}, 0, this->daemonTime(daemon));
    }
    if (!restart) {
        return;
    }
    for (const auto &[id, job] : this->jobs) {
        if (job.shard == static_cast<int>(index)) {
            shardAssign(daemon.shard, this->assignmentOf(id, job, true), this->daemonTime(daemon));
        }
    }
}

AssignedJob World::assignmentOf(const JobId &id, const FakeJob &job, bool assignedBeforeRestart) const
{
    AssignedJob assigned{id, job.epoch, job.spec, job.checkpoint, {}, static_cast<std::uint32_t>(job.evictions), {}, assignedBeforeRestart};
    for (std::uint32_t task = 0; task < job.spec.taskCount; ++task) {
        if (!job.finishedTasks.contains(task)) {
            assigned.tasks.push_back({task, 1});
        }
    }
    return assigned;
}

FakeJob &World::submit(const JobId &id, const BatchSpec &spec, std::int64_t workMs)
{
    FakeJob &job = this->jobs[id];
    job.spec = spec;
    job.workMs = workMs;
    job.use = spec.declared;
    job.submittedMs = this->now;
    return job;
}

void World::send(const std::function<void()> &message)
{
    const std::uint64_t copies = this->random.below(100) < this->settings.duplicatePercent ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i) {
        if (this->random.below(100) >= this->settings.lossPercent) {
            const auto delay = static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(this->settings.maxDelayMs) + 1));
            this->messages.emplace(this->now + 1 + delay, message);
        }
    }
}

void World::run(std::int64_t ms)
{
    for (const std::int64_t end = this->now + ms; this->now < end;) {
        this->now += 25;
        this->step();
    }
}

void World::step()
{
    while (!this->messages.empty() && this->messages.begin()->first <= this->now) {
        auto first = this->messages.extract(this->messages.begin());
        first.mapped()();
    }
    for (FakeWorker &worker : this->workers) {
        this->stepWorker(worker);
    }
    for (std::uint32_t i = 0; i < this->daemons.size(); ++i) {
        this->stepDaemon(i);
    }
    this->assignWaiting();
    this->checkInvariants();
}

void World::receiveReport(std::uint32_t index, std::uint64_t incarnation, const WorkerReport &report, double sentAt)
{
    FakeDaemon &daemon = *this->daemons[index];
    if (!daemon.alive || daemon.incarnation != incarnation) {
        return;
    }
    // Ownership as granted by membership: 5 s from the answer that the report acknowledges, within this incarnation and owner epoch.
    auto &sent = daemon.sent[report.worker + "/" + std::to_string(report.incarnation) + "/" + std::to_string(report.ownerEpoch)];
    const auto acknowledged = sent.find(report.acknowledged);
    const std::int64_t ownedUntil = acknowledged == sent.end() ? 0 : acknowledged->second + 5000;
    const TimePoint time = this->daemonTime(daemon);
    ReportAnswer answer;
    answer.number = ++daemon.answers + (daemon.incarnation << 32U);
    answer.ownerEpoch = report.ownerEpoch;
    const WorkerAllowance allowance{{ownedUntil}, this->quarantined.contains(report.worker) ? 0 : UINT32_MAX, false};
    ShardAnswer commands = shardHandleReport(daemon.shard, report, allowance, time);
    answer.taskLease = commands.taskLease;
    answer.commands = std::move(commands.commands);
    sent[answer.number] = time.ms;
    for (const TaskCommand &command : answer.commands) {
        this->checkStart(daemon, command);
    }
    this->sendActions(index);
    const auto worker = static_cast<std::uint32_t>(std::stoul(report.worker.substr(1)));
    const std::uint64_t workerIncarnation = report.incarnation;
    this->send([this, worker, workerIncarnation, answer, sentAt]() {
        this->receiveAnswer(worker, workerIncarnation, answer, sentAt);
    });
}

void World::stepDaemon(std::uint32_t index)
{
    FakeDaemon &daemon = *this->daemons[index];
    if (!daemon.alive) {
        return;
    }
    const TimePoint time = this->daemonTime(daemon);
    if (this->now >= daemon.nextProbe && daemon.connected) {
        daemon.nextProbe = this->now + 500;
        daemon.grantedMs = this->now;
        shardUpdateLeases(daemon.shard, time + Duration{3000}, time + Duration{30000}, time);
    }
    if (this->now >= daemon.nextTick) {
        daemon.nextTick = this->now + 200;
        shardTick(daemon.shard, time);
        this->sendActions(index);
    }
}

void World::sendActions(std::uint32_t index)
{
    FakeDaemon &daemon = *this->daemons[index];
    ShardActions actions = takeActions(daemon.shard);
    this->placements.insert(this->placements.end(), actions.placements.begin(), actions.placements.end());
    for (const WorkerName &name : actions.polls) {
        FakeWorker &worker = this->workers[std::stoul(name.substr(1))];
        worker.nextReport = std::min(worker.nextReport, this->now + 5);
    }
    for (const WorkerOutcome &outcome : actions.outcomes) {
        this->outcomes.push_back(outcome);
        auto &failed = this->failedJobs[outcome.worker];
        if (outcome.succeeded) {
            failed.clear();
        } else if (failed.insert(outcome.job).second && failed.size() >= 3) {
            this->quarantined.insert(outcome.worker);
        }
    }
    for (const JobProposal &proposal : actions.proposals) {
        const std::uint64_t incarnation = daemon.incarnation;
        if (daemon.connected) {
            this->send([this, index, incarnation, proposal]() {
                this->applyProposal(index, incarnation, proposal);
            });
        }
    }
}

void World::applyProposal(std::uint32_t from, std::uint64_t incarnation, const JobProposal &proposal)
{
    this->proposals.push_back(proposal);
    const ResultCode code = this->commit(proposal);
    this->send([this, from, incarnation, proposal, code]() {
        FakeDaemon &daemon = *this->daemons[from];
        if (daemon.alive && daemon.incarnation == incarnation && daemon.connected) {
            shardProposalAnswered(daemon.shard, proposal, code, this->daemonTime(daemon));
        }
    });
}

ResultCode World::commit(const JobProposal &proposal)
{
    FakeJob &job = this->jobs[proposal.job];
    if (job.cancelled) {
        return ResultCode::JobCancelled;
    }
    if (job.shard < 0 || job.epoch != proposal.epoch) {
        return ResultCode::StaleEpoch;
    }
    const int shard = job.shard;
    if (proposal.kind == ProposalKind::Finish) {
        for (const TaskSpan &span : proposal.finished) {
            for (std::uint32_t i = 0; i < span.count; ++i) {
                job.finishedTasks.insert(span.first + i);
            }
        }
        if (job.finishedTasks.size() < job.spec.taskCount) {
            return ResultCode::Ok;
        }
        ++job.finishes;
    } else if (proposal.kind == ProposalKind::Fail) {
        job.failed = true;
        job.reason = proposal.result;
    } else {
        job.checkpoint = proposal.checkpoint;
        ++job.evictions;
    }
    job.shard = -1;
    this->sendRevocation(shard, proposal.job, proposal.epoch);
    return ResultCode::Ok;
}

void World::sendRevocation(int shard, const JobId &job, std::uint64_t epoch)
{
    const std::uint64_t incarnation = this->daemons[static_cast<std::size_t>(shard)]->incarnation;
    this->messages.emplace(this->now + 20, [this, shard, job, epoch, incarnation]() {
        FakeDaemon &daemon = *this->daemons[static_cast<std::size_t>(shard)];
        if (daemon.alive && daemon.incarnation == incarnation) {
            shardRevoke(daemon.shard, job, epoch, this->daemonTime(daemon));
        }
    });
}

void World::assignWaiting()
{
    // The running lease of a daemon that does not renew it expires 30 s plus drift and margin after the last grant.
    for (auto &[id, job] : this->jobs) {
        if (job.shard >= 0 && this->now - this->daemons[static_cast<std::size_t>(job.shard)]->grantedMs > withDrift({30'000}).ms) {
            this->sendRevocation(job.shard, id, job.epoch);
            job.shard = -1;
        }
        if (job.shard >= 0 || job.finishes > 0 || job.failed || job.cancelled || !this->assigning) {
            continue;
        }
        const auto chosen = static_cast<std::uint32_t>(this->random.below(this->daemons.size()));
        FakeDaemon &daemon = *this->daemons[chosen];
        if (!daemon.alive || !daemon.connected || daemon.drained || this->now - daemon.grantedMs > 3000) {
            continue;
        }
        ++job.epoch;
        job.shard = static_cast<int>(chosen);
        shardAssign(daemon.shard, this->assignmentOf(id, job, false), this->daemonTime(daemon));
    }
}

void World::cancel(const std::vector<JobId> &ids)
{
    for (const JobId &id : ids) {
        this->jobs[id].cancelled = true;
        this->jobs[id].shard = -1;
    }
    for (auto &daemon : this->daemons) {
        shardCancel(daemon->shard, ids, this->daemonTime(*daemon));
    }
}

void World::drain(bool drained, Duration limit, std::int64_t spare)
{
    for (auto &daemon : this->daemons) {
        daemon->drained = drained;
        shardUpdateZone(daemon->shard, "zone", drained, limit, spare, this->daemonTime(*daemon));
    }
}

} // namespace Filbertlanding::JobWorld
