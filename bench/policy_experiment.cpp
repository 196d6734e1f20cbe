/**
 * @file policy_experiment.cpp Compares the first-fit baseline with throttling, eviction budget and learned placement on the same seeds.
 * A simulation in a single loop: batch tasks slow down the requests of simulated workers by factors that the shard does not know.
 */

#include "job/job_shard_func.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>

using namespace Filbertlanding;

namespace {

constexpr int WorkerCount = 24;
constexpr int Seconds = 600;
/** Slowdown caused by each class at full use; the last class interferes strongly in one scenario only. */
constexpr double TrueSlowdown[4] = {0.1, 0.3, 0.6, 3.0};

struct Scenario {
    const char *name;
    bool bursts;
    double sizeFactor;
    int reportDelaySeconds;
    bool strongPair;
    bool drain;
    int faultyWorkers;
};

struct Variant {
    const char *name;
    const char *policy;
    bool control;
    bool budget;
    Duration drainLimit;
};

struct Result {
    std::vector<double> latencies;
    double work = 0;
    double drainWork = 0;
    int evictions = 0;
    int startsOnFaultyWorkers = 0;
};

struct ModelTask {
    TaskReport report;
    int jobClass = 0;
    double remainingWork = 0;
    Resources use;
};

struct ModelJob {
    AssignedJob assigned;
    int jobClass = 0;
    double remainingWork = 120;
    bool isWaiting = true;
};

struct Model {
    Scenario scenario;
    Random random;
    JobShard shard;
    std::vector<std::map<JobId, ModelTask>> tasks{WorkerCount};
    std::map<JobId, ModelJob> jobs;
    std::vector<std::vector<WorkerReport>> history{WorkerCount};
    Result result;
};

void apply(Model &model, int worker, const ShardAnswer &answer)
{
    for (const TaskCommand &command : answer.commands) {
        auto &tasks = model.tasks[static_cast<std::size_t>(worker)];
        const auto found = tasks.find(command.job);
        if (command.kind == TaskCommandKind::Start && found == tasks.end()) {
            ModelTask task;
            ModelJob &job = model.jobs[command.job];
            task.report.job = command.job;
            task.report.epoch = command.epoch;
            task.jobClass = job.jobClass;
            task.remainingWork = job.remainingWork;
            const auto &declared = job.assigned.spec.declared;
            task.use = {static_cast<std::int64_t>(static_cast<double>(declared.cpuMillis) * model.scenario.sizeFactor),
                        static_cast<std::int64_t>(static_cast<double>(declared.memoryMb) * model.scenario.sizeFactor),
                        0};
            tasks[command.job] = task;
            model.result.startsOnFaultyWorkers += worker < model.scenario.faultyWorkers ? 1 : 0;
        } else if (found != tasks.end() && command.kind == TaskCommandKind::Forget) {
            tasks.erase(found);
        } else if (found != tasks.end() && found->second.report.state <= TaskState::Throttled) {
            TaskState &state = found->second.report.state;
            state = command.kind == TaskCommandKind::Throttle ? TaskState::Throttled : state;
            state = command.kind == TaskCommandKind::Unthrottle ? TaskState::Running : state;
            if (command.kind == TaskCommandKind::Checkpoint) {
                state = TaskState::Checkpointed;
                found->second.report.checkpoint = "checkpoint";
                model.jobs[command.job].remainingWork = found->second.remainingWork;
            }
        }
    }
}

void runWorker(Model &model, int index, int second, TimePoint now)
{
    auto &tasks = model.tasks[static_cast<std::size_t>(index)];
    WorkerReport report;
    report.worker = "w" + std::to_string(index);
    report.incarnation = 1;
    report.availabilityZone = index < WorkerCount / 3 ? "bole" : "piassa";
    report.rack = "r" + std::to_string(index / 8);
    report.services = {{"quote-desk", 8, 0}};
    report.capacity = {32000, 125000, 0};
    const double load = 0.5 + 0.3 * std::sin(second / 60.0) + (model.scenario.bursts && second % 120 < 15 ? 0.2 : 0.0);
    report.inFlight = static_cast<std::uint32_t>(8 * load);
    report.usage.used = {static_cast<std::int64_t>(8000 * load), 16000, 0};
    report.usage.age = {model.scenario.reportDelaySeconds * 1000};
    double cpu = static_cast<double>(report.usage.used.cpuMillis);
    double slowdown = 0;
    const double noise = model.scenario.bursts && second % 90 < 20 ? 2.5 : 1.0;
    for (auto &[id, task] : tasks) {
        if (task.report.state > TaskState::Throttled) {
            continue;
        }
        const double part = task.report.state == TaskState::Throttled ? 0.4 : 1.0;
        const double use = static_cast<double>(task.use.cpuMillis) * part * (task.jobClass == 2 ? noise : 1.0);
        task.report.used = {static_cast<std::int64_t>(use), task.use.memoryMb, 0};
        report.usage.used = report.usage.used + task.report.used;
        cpu += use;
        const double pair = task.jobClass == 3 && !model.scenario.strongPair ? 0.2 : TrueSlowdown[task.jobClass];
        slowdown += pair * use / 32000 * load;
    }
    const double overload = std::max(1.0, cpu / 32000);
    for (auto &[id, task] : tasks) {
        if (task.report.state > TaskState::Throttled) {
            continue;
        }
        const double done = std::min(task.remainingWork, (task.report.state == TaskState::Throttled ? 0.4 : 1.0) / overload);
        task.report.state = task.report.state == TaskState::Starting ? TaskState::Running : task.report.state;
        if (index < model.scenario.faultyWorkers) {
            task.report.state = TaskState::Failed;
            continue;
        }
        task.remainingWork -= done;
        model.result.work += done;
        model.result.drainWork += second >= 200 && second < 400 ? done : 0;
        if (task.remainingWork <= 0) {
            task.report.state = TaskState::Finished;
        }
    }
    std::vector<double> sample;
    for (int i = 0; i < 40; ++i) {
        const double base = 8.0 - 3.0 * std::log(1.0 - model.random.unit());
        sample.push_back(base * (1.0 + slowdown) * overload * overload);
    }
    model.result.latencies.insert(model.result.latencies.end(), sample.begin(), sample.end());
    std::sort(sample.begin(), sample.end());
    report.usage.latencies = {{"quote-desk", sample[static_cast<std::size_t>(35)], 40}};
    for (const auto &[id, task] : tasks) {
        report.tasks.push_back(task.report);
    }
    auto &history = model.history[static_cast<std::size_t>(index)];
    history.push_back(report);
    WorkerReport delayed = report;
    // Task states are reported without delay, usage with a delay.
    delayed.usage = history[static_cast<std::size_t>(std::max(0, second - model.scenario.reportDelaySeconds))].usage;
    apply(model, index, shardHandleReport(model.shard, delayed, {now + Duration{5000}, UINT32_MAX, false}, now));
}

void handleProposals(Model &model, TimePoint now)
{
    for (const JobProposal &proposal : takeActions(model.shard).proposals) {
        const auto job = model.jobs.find(proposal.job);
        if (job == model.jobs.end() || job->second.assigned.epoch != proposal.epoch) {
            shardProposalAnswered(model.shard, proposal, ResultCode::StaleEpoch, now);
            continue;
        }
        shardProposalAnswered(model.shard, proposal, ResultCode::Ok, now);
        if (proposal.kind != ProposalKind::Evict) {
            model.jobs.erase(job);
            continue;
        }
        model.result.evictions += proposal.reason == EvictReason::TaskFailed ? 0 : 1;
        AssignedJob &assigned = job->second.assigned;
        ++assigned.epoch;
        ++assigned.evictions;
        assigned.checkpoint = proposal.checkpoint;
        shardAssign(model.shard, assigned, now);
    }
}

Result runModel(const Scenario &scenario, const Variant &variant, double weight, std::uint64_t seed)
{
    ShardSettings settings;
    settings.placePolicy = variant.policy;
    settings.controlPressure = variant.control;
    settings.budget.enabled = variant.budget;
    settings.evict.limitEvictionsPerJob = variant.budget;
    settings.place.latencyWeight = weight;
    Model model{scenario,
                {seed},
                makeJobShard(settings, {0}).value(),
                std::vector<std::map<JobId, ModelTask>>(WorkerCount),
                {},
                std::vector<std::vector<WorkerReport>>(WorkerCount),
                {}};
    int submitted = 0;
    for (int second = 0; second < Seconds; ++second) {
        const TimePoint now{1'000'000 + second * 1000};
        shardUpdateLeases(model.shard, now + Duration{3000}, now + Duration{30000}, now);
        while (model.jobs.size() < 300) {
            const JobId id = "job" + std::to_string(submitted++);
            ModelJob &job = model.jobs[id];
            job.jobClass = static_cast<int>(model.random.below(4));
            job.assigned.job = id;
            job.assigned.epoch = 1;
            job.assigned.spec = {"survey", "team", "class" + std::to_string(job.jobClass), {1500, 5000, 0}, "", false, 1};
            shardAssign(model.shard, job.assigned, now);
        }
        if (scenario.drain && (second == 200 || second == 300)) {
            shardUpdateZone(model.shard, "bole", second == 200, variant.drainLimit, 100'000, now);
        }
        shardTick(model.shard, now);
        handleProposals(model, now);
        for (int i = 0; i < WorkerCount; ++i) {
            runWorker(model, i, second, now);
        }
        handleProposals(model, now);
    }
    std::sort(model.result.latencies.begin(), model.result.latencies.end());
    return std::move(model.result);
}

} // namespace

int main()
{
    const Scenario scenarios[] = {{"bursts", true, 1, 1, false, false, 0},
                                  {"sizes x4", false, 4, 1, false, false, 0},
                                  {"late 8 s", true, 1, 8, false, false, 0},
                                  {"strong pair", false, 1, 2, true, false, 0},
                                  {"zone drain", false, 1, 1, false, true, 0},
                                  {"bad worker", false, 1, 1, false, false, 1}};
    const Variant variants[] = {{"naive", "first-fit", false, false, {0}},
                                {"ours", "interference", true, true, {60'000}},
                                {"no budget", "interference", true, false, {60'000}},
                                {"limit 0", "interference", true, true, {0}}};
    std::printf("| scenario | latency weight | variant | p99 ms | p99.9 ms | batch work | evictions | work 200-400 s | starts on bad worker |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|\n");
    for (const Scenario &scenario : scenarios) {
        for (const double weight : {0.9, 0.1}) {
            for (const Variant &variant : variants) {
                double p99 = 0, p999 = 0, work = 0, evictions = 0, drainWork = 0, bad = 0;
                for (const std::uint64_t seed : {1, 2, 3}) {
                    const Result result = runModel(scenario, variant, weight, seed);
                    const auto count = static_cast<double>(result.latencies.size());
                    p99 += result.latencies[static_cast<std::size_t>(count * 0.99)] / 3;
                    p999 += result.latencies[static_cast<std::size_t>(count * 0.999)] / 3;
                    work += result.work / 3;
                    evictions += result.evictions / 3.0;
                    drainWork += result.drainWork / 3;
                    bad += result.startsOnFaultyWorkers / 3.0;
                }
                std::printf("| %s | %.1f | %s | %.1f | %.1f | %.0f | %.1f | %.0f | %.1f |\n",
                            scenario.name,
                            weight,
                            variant.name,
                            p99,
                            p999,
                            work,
                            evictions,
                            drainWork,
                            bad);
            }
        }
    }
    return EXIT_SUCCESS;
}
