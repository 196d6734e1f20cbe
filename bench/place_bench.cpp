/** @file place_bench.cpp Benchmarks of a placement decision and of a worker report. Targets: 200 us per placement, 60 us of processor time per worker and
 * second. */

#include "job/job_shard_func.h"

#include <benchmark/benchmark.h>

using namespace Filbertlanding;

namespace {

void placeAmong(benchmark::State &state)
{
    Random random{20261204};
    const auto count = static_cast<std::uint32_t>(state.range(0));
    std::vector<PlaceCandidate> workers(count);
    for (PlaceCandidate &worker : workers) {
        worker.capacity = {32000, 125000, 0};
        worker.used = {static_cast<std::int64_t>(random.below(30000)), static_cast<std::int64_t>(random.below(100000)), 0};
        worker.services = {{0, random.unit()}, {1, random.unit()}};
        worker.rack = static_cast<std::uint32_t>(random.below(count / 8 + 1));
        worker.tasks = 12;
    }
    InterferenceTable table;
    table.pairs.assign(2, std::vector<PairEstimate>(20, PairEstimate{0.4, 10, {}}));
    const std::vector<std::uint32_t> racks(count / 8 + 1, 12);
    PlaceRequest request;
    request.declared = request.size = {1000, 4000, 0};
    request.jobClass = 7;
    request.rackTasks = racks;
    request.totalTasks = count * 12;
    const auto &policy = *PlacePolicyRegistry::find("interference");
    for (auto _ : state) {
        benchmark::DoNotOptimize(policy(request, workers, table, PlaceSettings{}));
    }
}

/** Report of a worker that lists 19 running tasks, which corresponds to 5,000 tasks on 267 workers. */
void handleOneReport(benchmark::State &state)
{
    JobShard shard = makeJobShard({}, {1000}).value();
    TimePoint now{100'000};
    shardUpdateLeases(shard, now + Duration{1'000'000'000}, now + Duration{1'000'000'000}, now);
    WorkerReport report;
    report.worker = "worker-1";
    report.incarnation = 1;
    report.availabilityZone = "bole";
    report.rack = "r1";
    report.services = {{"quote-desk", 8, 0}};
    report.capacity = {320000, 1250000, 0};
    report.usage.used = {19000, 40000, 0};
    report.usage.latencies = {{"quote-desk", 12.0, 100}};
    for (int i = 0; i < 19; ++i) {
        const JobId id = "survey-2026-12-04-" + std::to_string(i);
        AssignedJob job;
        job.job = id;
        job.epoch = 1;
        job.spec = {"survey", "team-" + std::to_string(i), "slab", {1000, 2000, 0}, "", false, 1};
        shardAssign(shard, job, now);
        report.tasks.push_back({id, 1, TaskState::Running, 0.5, "", {1000, 2000, 0}, ""});
    }
    const WorkerAllowance allowance{now + Duration{1'000'000'000}, UINT32_MAX, false};
    WorkerReport first = report;
    first.tasks.clear();
    shardHandleReport(shard, first, allowance, now);
    shardTick(shard, now);
    shardHandleReport(shard, first, allowance, now);
    for (auto _ : state) {
        now = now + Duration{1000};
        benchmark::DoNotOptimize(shardHandleReport(shard, report, allowance, now));
    }
    state.counters["tasks"] = static_cast<double>(shard.tasks.size());
}

BENCHMARK(placeAmong)->Arg(65)->Arg(600)->Arg(2400)->Unit(benchmark::kMicrosecond);
BENCHMARK(handleOneReport)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
