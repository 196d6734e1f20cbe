/** @file job_world.h Simulation for tests of the job shard: workers, daemons, an unreliable network and a leader with the job records. */

#pragma once

#include "job/job_shard_func.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding::JobWorld {

/** Settings of the simulation, including faults of network and clocks. */
struct WorldSettings {
    std::uint32_t workers = 6; ///< Number of workers; all are in one zone.
    std::uint32_t shards = 2; ///< Number of daemons.
    std::uint32_t lossPercent = 0; ///< Percentage of messages that are lost.
    std::uint32_t duplicatePercent = 0; ///< Percentage of messages that are delivered twice.
    std::int64_t maxDelayMs = 5; ///< Maximum message delay; differing delays reorder messages.
    bool drift = false; ///< Clocks run up to 0.45% fast or slow, so that any two differ by less than 1%.
    std::uint64_t seed = 1;
    Resources capacity{32000, 128000, 0}; ///< Capacity of each worker.
    ShardSettings shard;
};

/** Task on a simulated worker. */
struct FakeTask {
    TaskReport report;
    std::int64_t startedMs = 0; ///< Simulation time of the start.
    std::int64_t workMs = 0; ///< Remaining work.
    std::int64_t checkpointMs = 0; ///< Simulation time at which a requested checkpoint is written; 0 for none.
    Resources use; ///< Actual usage.
};

/** Simulated worker that follows the protocol rules of shardHandleReport(). */
struct FakeWorker {
    WorkerName name;
    bool alive = true;
    bool failsAll = false; ///< Whether every task on it fails.
    double clockRate = 1;
    std::uint64_t incarnation = 1;
    std::uint32_t owner = 0; ///< Index of the daemon to which it reports.
    std::uint64_t ownerEpoch = 1;
    std::uint64_t acknowledged = 0; ///< Number of the last answer handled.
    double leaseEnd = 0; ///< Expiry of the task lease, in worker time.
    double answeredAt = 0; ///< Time of the last answer, in worker time.
    std::int64_t nextReport = 0; ///< Simulation time of the next report.
    std::map<std::pair<std::string, std::uint64_t>, FakeTask> tasks; ///< Tasks by job and epoch.
    std::set<std::pair<std::string, std::uint64_t>> refusedStarts; ///< Ended attempts, which must not be started again.
};

/** Job in the records of the leader. */
struct FakeJob {
    BatchSpec spec;
    std::uint64_t epoch = 0; ///< Last epoch.
    int shard = -1; ///< Shard to which it is assigned, or -1.
    std::string checkpoint; ///< Checkpoint from which the next epoch resumes.
    std::int64_t workMs = 8000; ///< Work of one task.
    Resources use; ///< Actual usage of one task.
    bool fails = false; ///< Whether it fails on every worker.
    bool cancelled = false;
    int finishes = 0; ///< Number of committed finishes.
    bool failed = false; ///< Whether a permanent failure was committed.
    std::string reason; ///< Reason of the failure.
    std::set<std::uint32_t> finishedTasks;
    std::int64_t submittedMs = 0; ///< Simulation time of the submission.
    std::int64_t firstStartMs = -1; ///< Simulation time of the first start.
    int evictions = 0; ///< Number of committed evictions.
};

/** Simulated daemon. */
struct FakeDaemon {
    JobShard shard;
    bool alive = true;
    bool connected = true; ///< Whether it can reach the leader.
    bool drained = false; ///< Drain state of the zone as applied by this daemon.
    double clockRate = 1;
    std::uint64_t incarnation = 1;
    std::int64_t grantedMs = 0; ///< Simulation time at which the leader last granted the running lease.
    std::map<std::string, std::map<std::uint64_t, std::int64_t>>
        sent; ///< Time of each answer by worker and owner epoch, from which the ownership lease is derived.
    std::uint64_t answers = 0; ///< Last answer number.
    std::int64_t nextProbe = 0; ///< Simulation time of the next lease renewal.
    std::int64_t nextTick = 0; ///< Simulation time of the next shardTick().
};

/** Simulated cluster of workers, daemons and a leader. */
struct World {
    WorldSettings settings;
    Random random;
    std::int64_t now = 1'000'000; ///< Simulation time in milliseconds.
    std::vector<FakeWorker> workers;
    std::vector<std::unique_ptr<FakeDaemon>> daemons;
    std::map<JobId, FakeJob> jobs; ///< Job records of the leader.
    std::multimap<std::int64_t, std::function<void()>> messages; ///< Messages in flight, by time of arrival.
    bool assigning = true; ///< Whether the leader assigns waiting jobs.
    std::vector<std::string> violations; ///< Violated invariants.
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> startedOn; ///< Workers on which each attempt was started.
    std::set<std::pair<std::string, std::uint64_t>> reportedViolations; ///< Attempts whose violation is already recorded.
    std::vector<JobProposal> proposals; ///< Proposals that reached the catalog.
    std::vector<PlacementRecord> placements; ///< Placement decisions.
    std::vector<WorkerOutcome> outcomes; ///< Outcomes passed to membership.
    std::map<std::string, std::set<std::string>> failedJobs; ///< Failed jobs by worker since its last success, as membership counts them for quarantine.
    std::set<std::string> quarantined; ///< Workers in quarantine.

    explicit World(const WorldSettings &given);
    TimePoint daemonTime(const FakeDaemon &daemon) const
    {
        return {static_cast<std::int64_t>(static_cast<double>(this->now) * daemon.clockRate)};
    }
    double workerTime(const FakeWorker &worker) const
    {
        return static_cast<double>(this->now) * worker.clockRate;
    }
    FakeJob &submit(const JobId &id, const BatchSpec &spec, std::int64_t workMs);
    void run(std::int64_t ms);
    void send(const std::function<void()> &message);
    void startDaemon(std::uint32_t index, bool restart);
    void killDaemon(std::uint32_t index)
    {
        this->daemons[index]->alive = false;
    }
    void restartWorker(FakeWorker &worker);
    void cancel(const std::vector<JobId> &ids);
    void drain(bool drained, Duration limit = {600'000}, std::int64_t spare = 1'000'000);
    std::uint32_t liveCopies(const std::string &job) const;
    bool allEnded() const;

private:
    void step();
    void stepWorker(FakeWorker &worker);
    void sendReport(FakeWorker &worker);
    void receiveReport(std::uint32_t daemon, std::uint64_t incarnation, const WorkerReport &report, double sentAt);
    void receiveAnswer(std::uint32_t worker, std::uint64_t incarnation, const ReportAnswer &answer, double sentAt);
    void handleCommand(FakeWorker &worker, const TaskCommand &command);
    void checkStart(FakeDaemon &daemon, const TaskCommand &command);
    void stepDaemon(std::uint32_t index);
    void sendActions(std::uint32_t index);
    void applyProposal(std::uint32_t from, std::uint64_t incarnation, const JobProposal &proposal);
    ResultCode commit(const JobProposal &proposal);
    void sendRevocation(int shard, const JobId &job, std::uint64_t epoch);
    void assignWaiting();
    AssignedJob assignmentOf(const JobId &id, const FakeJob &job, bool assignedBeforeRestart) const;
    void checkInvariants();
};

inline World::World(const WorldSettings &given)
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

inline void World::startDaemon(std::uint32_t index, bool restart)
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

inline AssignedJob World::assignmentOf(const JobId &id, const FakeJob &job, bool assignedBeforeRestart) const
{
    AssignedJob assigned{id, job.epoch, job.spec, job.checkpoint, {}, static_cast<std::uint32_t>(job.evictions), {}, assignedBeforeRestart};
    for (std::uint32_t task = 0; task < job.spec.taskCount; ++task) {
        if (!job.finishedTasks.contains(task)) {
            assigned.tasks.push_back({task, 1});
        }
    }
    return assigned;
}

inline FakeJob &World::submit(const JobId &id, const BatchSpec &spec, std::int64_t workMs)
{
    FakeJob &job = this->jobs[id];
    job.spec = spec;
    job.workMs = workMs;
    job.use = spec.declared;
    job.submittedMs = this->now;
    return job;
}

inline void World::send(const std::function<void()> &message)
{
    const std::uint64_t copies = this->random.below(100) < this->settings.duplicatePercent ? 2 : 1;
    for (std::uint64_t i = 0; i < copies; ++i) {
        if (this->random.below(100) >= this->settings.lossPercent) {
            const auto delay = static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(this->settings.maxDelayMs) + 1));
            this->messages.emplace(this->now + 1 + delay, message);
        }
    }
}

inline void World::run(std::int64_t ms)
{
    for (const std::int64_t end = this->now + ms; this->now < end;) {
        this->now += 25;
        this->step();
    }
}

inline void World::step()
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

inline bool isLiveTask(const FakeTask &task)
{
    return task.report.state <= TaskState::Throttled;
}

inline void World::stepWorker(FakeWorker &worker)
{
    if (!worker.alive) {
        return;
    }
    for (auto &[key, task] : worker.tasks) {
        if (!isLiveTask(task)) {
            continue;
        }
        if (this->workerTime(worker) >= worker.leaseEnd) {
            task.report.state = TaskState::Stopped;
        } else if (worker.failsAll || this->jobs[key.first.substr(0, key.first.find('#'))].fails) {
            task.report.state = TaskState::Failed;
            task.report.result = "exit code 1";
        } else if (task.checkpointMs != 0 && this->now >= task.checkpointMs) {
            task.report.state = TaskState::Checkpointed;
            task.report.checkpoint = std::to_string(task.workMs) + "/" + key.first + "/" + std::to_string(key.second);
        } else {
            task.workMs -= task.report.state == TaskState::Throttled ? 12 : 25;
            task.report.state = task.report.state == TaskState::Starting ? TaskState::Running : task.report.state;
            task.report.used = task.use;
            if (task.workMs <= 0) {
                task.report.state = TaskState::Finished;
                task.report.result = "done";
            }
        }
    }
    if (this->now >= worker.nextReport) {
        worker.nextReport = this->now + 1000;
        this->sendReport(worker);
    }
}

inline void World::sendReport(FakeWorker &worker)
{
    constexpr double OwnerLeaseMs = 5000;
    if (this->workerTime(worker) - worker.answeredAt > OwnerLeaseMs) {
        worker.owner = (worker.owner + 1) % static_cast<std::uint32_t>(this->daemons.size());
        ++worker.ownerEpoch;
        worker.acknowledged = 0;
        worker.answeredAt = this->workerTime(worker);
    }
    WorkerReport report;
    report.worker = worker.name;
    report.incarnation = worker.incarnation;
    report.availabilityZone = "zone";
    report.rack = "rack" + worker.name.substr(1, 1);
    report.capacity = this->settings.capacity;
    report.ownerEpoch = worker.ownerEpoch;
    report.acknowledged = worker.acknowledged;
    for (const auto &[key, task] : worker.tasks) {
        report.tasks.push_back(task.report);
        report.usage.used = report.usage.used + (isLiveTask(task) ? task.report.used : Resources{});
    }
    const double sentAt = this->workerTime(worker);
    const std::uint32_t owner = worker.owner;
    const std::uint64_t incarnation = this->daemons[owner]->incarnation;
    this->send([this, owner, incarnation, report, sentAt]() {
        this->receiveReport(owner, incarnation, report, sentAt);
    });
}

inline void World::receiveReport(std::uint32_t index, std::uint64_t incarnation, const WorkerReport &report, double sentAt)
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

inline void World::checkStart(FakeDaemon &daemon, const TaskCommand &command)
{
    if (command.kind != TaskCommandKind::Start) {
        return;
    }
    const JobId id = command.job.substr(0, command.job.find('#'));
    if (this->daemonTime(daemon) >= daemon.shard.freshUntil) {
        this->violations.push_back("start without a freshness lease: " + command.job);
    }
    if (daemon.drained) {
        this->violations.push_back("start in a drained zone: " + command.job);
    }
    if (this->jobs[id].cancelled) {
        this->violations.push_back("start of a cancelled job: " + command.job);
    }
}

inline void World::receiveAnswer(std::uint32_t index, std::uint64_t incarnation, const ReportAnswer &answer, double sentAt)
{
    FakeWorker &worker = this->workers[index];
    const bool current = worker.alive && worker.incarnation == incarnation && answer.ownerEpoch == worker.ownerEpoch;
    if (!current || answer.number <= worker.acknowledged) {
        return;
    }
    worker.acknowledged = answer.number;
    worker.answeredAt = this->workerTime(worker);
    const double lease = sentAt + static_cast<double>(answer.taskLease.ms);
    if (answer.taskLease.ms > 0) {
        // An expired lease stops the tasks, even if a late answer would have renewed it.
        this->stepWorker(worker);
        worker.leaseEnd = std::max(worker.leaseEnd, lease);
    }
    for (const TaskCommand &command : answer.commands) {
        if (command.kind != TaskCommandKind::Start || this->workerTime(worker) < lease) {
            this->handleCommand(worker, command);
        }
    }
}

inline void World::handleCommand(FakeWorker &worker, const TaskCommand &command)
{
    const std::pair key{command.job, command.epoch};
    const auto found = worker.tasks.find(key);
    if (command.kind == TaskCommandKind::Start) {
        if (found != worker.tasks.end() || worker.refusedStarts.contains(key)) {
            return;
        }
        const FakeJob &job = this->jobs[command.job.substr(0, command.job.find('#'))];
        FakeTask task;
        task.report.job = command.job;
        task.report.epoch = command.epoch;
        task.startedMs = this->now;
        task.workMs = command.checkpoint.empty() ? job.workMs : std::stoll(command.checkpoint);
        task.use = job.use;
        worker.tasks[key] = task;
        this->jobs[command.job.substr(0, command.job.find('#'))].firstStartMs = job.firstStartMs < 0 ? this->now : job.firstStartMs;
        this->startedOn[key].insert(worker.name);
        return;
    }
    if (command.kind == TaskCommandKind::Forget) {
        worker.tasks.erase(key);
        worker.refusedStarts.insert(key);
        return;
    }
    if (found == worker.tasks.end()) {
        if (!worker.refusedStarts.contains(key)) {
            FakeTask ended;
            ended.report.job = command.job;
            ended.report.epoch = command.epoch;
            ended.report.state = TaskState::Stopped;
            worker.tasks[key] = ended;
        }
        return;
    }
    FakeTask &task = found->second;
    if (!isLiveTask(task)) {
        return;
    }
    if (command.kind == TaskCommandKind::Stop) {
        task.report.state = TaskState::Stopped;
    } else if (command.kind == TaskCommandKind::Checkpoint) {
        task.checkpointMs = task.checkpointMs == 0 ? this->now + 400 : task.checkpointMs;
    } else {
        task.report.state = command.kind == TaskCommandKind::Throttle ? TaskState::Throttled : TaskState::Running;
    }
}

inline void World::stepDaemon(std::uint32_t index)
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

inline void World::sendActions(std::uint32_t index)
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

inline void World::applyProposal(std::uint32_t from, std::uint64_t incarnation, const JobProposal &proposal)
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

inline ResultCode World::commit(const JobProposal &proposal)
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

inline void World::sendRevocation(int shard, const JobId &job, std::uint64_t epoch)
{
    const std::uint64_t incarnation = this->daemons[static_cast<std::size_t>(shard)]->incarnation;
    this->messages.emplace(this->now + 20, [this, shard, job, epoch, incarnation]() {
        FakeDaemon &daemon = *this->daemons[static_cast<std::size_t>(shard)];
        if (daemon.alive && daemon.incarnation == incarnation) {
            shardRevoke(daemon.shard, job, epoch, this->daemonTime(daemon));
        }
    });
}

inline void World::assignWaiting()
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

inline void World::cancel(const std::vector<JobId> &ids)
{
    for (const JobId &id : ids) {
        this->jobs[id].cancelled = true;
        this->jobs[id].shard = -1;
    }
    for (auto &daemon : this->daemons) {
        shardCancel(daemon->shard, ids, this->daemonTime(*daemon));
    }
}

inline void World::drain(bool drained, Duration limit, std::int64_t spare)
{
    for (auto &daemon : this->daemons) {
        daemon->drained = drained;
        shardUpdateZone(daemon->shard, "zone", drained, limit, spare, this->daemonTime(*daemon));
    }
}

inline void World::restartWorker(FakeWorker &worker)
{
    worker.alive = true;
    ++worker.incarnation;
    ++worker.ownerEpoch;
    worker.acknowledged = 0;
    worker.leaseEnd = 0;
    worker.tasks.clear();
    worker.refusedStarts.clear();
    worker.answeredAt = this->workerTime(worker);
    worker.nextReport = this->now;
}

inline std::uint32_t World::liveCopies(const std::string &job) const
{
    std::uint32_t copies = 0;
    for (const FakeWorker &worker : this->workers) {
        for (const auto &[key, task] : worker.tasks) {
            const bool same = key.first == job || key.first.starts_with(job + "@");
            copies += worker.alive && same && isLiveTask(task) && this->workerTime(worker) < worker.leaseEnd ? 1 : 0;
        }
    }
    return copies;
}

inline void World::checkInvariants()
{
    std::map<std::string, std::uint32_t> copies;
    for (const FakeWorker &worker : this->workers) {
        for (const auto &[key, task] : worker.tasks) {
            if (worker.alive && isLiveTask(task) && this->workerTime(worker) < worker.leaseEnd) {
                ++copies[key.first.substr(0, key.first.find('@'))];
            }
        }
    }
    for (const auto &[job, count] : copies) {
        if (count > 1) {
            this->violations.push_back(job + " runs on " + std::to_string(count) + " workers at " + std::to_string(this->now));
        }
    }
    for (const auto &[key, names] : this->startedOn) {
        if (names.size() > 1 && this->reportedViolations.insert(key).second) {
            this->violations.push_back(key.first + " epoch " + std::to_string(key.second) + " was started on two workers");
        }
    }
    for (const auto &[id, job] : this->jobs) {
        if (job.finishes > 1) {
            this->violations.push_back(id + " finished twice");
        }
    }
}

inline bool World::allEnded() const
{
    return std::all_of(this->jobs.begin(), this->jobs.end(), [](const auto &entry) {
        const FakeJob &job = entry.second;
        return job.finishes > 0 || job.failed || job.cancelled;
    });
}

/** Returns the specification of a job with one task. */
inline BatchSpec specOf(const std::string &jobClass, std::int64_t cpuMillis, std::int64_t memoryMb)
{
    BatchSpec spec;
    spec.service = "survey";
    spec.team = "team";
    spec.jobClass = jobClass;
    spec.declared = {cpuMillis, memoryMb, 0};
    return spec;
}

} // namespace Filbertlanding::JobWorld
