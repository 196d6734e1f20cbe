/** @file placement_test.cpp Tests of placement: capacity with delayed reports, learned sizes, interference, scores. */

#include "job/place_func.h"
#include "job_world.h"
#include "test_seed.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Filbertlanding;
using namespace Filbertlanding::JobWorld;

namespace {

PlaceCandidate randomCandidate(Random &random)
{
    PlaceCandidate worker;
    worker.capacity = {32000, 125000, 1};
    worker.used = {static_cast<std::int64_t>(random.below(34000)), static_cast<std::int64_t>(random.below(130000)), 0};
    worker.declared = worker.used;
    worker.services = {{static_cast<ServiceIndex>(random.below(2)), random.unit()}};
    worker.rack = static_cast<std::uint32_t>(random.below(3));
    worker.tasks = 1;
    worker.slowdown = random.unit() * 0.3;
    worker.excluded = random.below(4) == 0 ? static_cast<std::uint8_t>(1 + random.below(4)) : 0;
    return worker;
}

} // namespace

TEST_CASE("No worker is given more than it holds")
{
    // Guards P1. The guarantee holds for the sizes charged at the time of placement. A class without measurements is charged 4 times its
    // declared size, so the actual usage stays within the capacity even if declared sizes are 4 times too small and reports late by seconds.
    const bool held = rc::check("late reports, declared sizes up to 4 times too small", []() {
        WorldSettings settings;
        settings.shards = 1;
        settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
        settings.maxDelayMs = 4500;
        settings.lossPercent = 10;
        World world(settings);
        for (int i = 0; i < 120; ++i) {
            const auto cpu = static_cast<std::int64_t>(200 + world.random.below(2500));
            const auto memory = static_cast<std::int64_t>(200 + world.random.below(12000));
            FakeJob &job = world.submit("job" + std::to_string(i), specOf("class" + std::to_string(i % 2), cpu, memory), 20'000);
            const std::int64_t factor = i % 2 == 0 ? 4 : 2;
            job.use = {cpu * factor, memory * factor, 0};
        }
        for (int i = 0; i < 3200; ++i) {
            const std::size_t decided = world.placements.size();
            world.run(25);
            const JobShard &shard = world.daemons[0]->shard;
            // A step handles reports before placements, so the charges are still those at the time of placement.
            for (std::size_t p = decided; p < world.placements.size(); ++p) {
                if (world.placements[p].chosen.empty()) {
                    continue;
                }
                const ShardWorker &worker = shard.workers[shard.workerIndex.at(world.placements[p].chosen)];
                Resources charged;
                for (const ShardTask *task : worker.tasks) {
                    charged = charged + task->charge;
                }
                RC_ASSERT(fitsInto(charged, worker.capacity));
            }
            for (const FakeWorker &worker : world.workers) {
                Resources used;
                for (const auto &[key, task] : worker.tasks) {
                    used = used + (isLiveTask(task) ? task.use : Resources{});
                }
                RC_ASSERT(fitsInto(used, settings.capacity));
            }
        }
        RC_ASSERT(world.violations.empty());
    });
    CHECK(held);
}

TEST_CASE("Learned sizes")
{
    SizeSettings settings;
    SizeEstimate estimate;
    const Resources declared{1000, 4000, 1};
    CHECK(learnedSize(estimate, declared, settings) == Resources{4000, 16000, 1});
    for (int i = 0; i < 100; ++i) {
        learnSize(estimate, declared, {i % 10 == 0 ? 2000 : 500, 2000, 1}, settings);
    }
    const Resources learned = learnedSize(estimate, declared, settings);
    // The mean is 650, but one task in ten uses 2000.
    CHECK(learned.cpuMillis >= 2000);
    CHECK(learned.cpuMillis < 3000);
    CHECK(learned.memoryMb >= 2000);
    CHECK(learned.memoryMb < 3000);
}

TEST_CASE("Interference is learned per pair, even if classes share workers")
{
    // Guards against an estimate that attributes the interference of one class to another class on the same worker.
    InterferenceTable table;
    Random random{testSeed()};
    for (int i = 0; i < 400; ++i) {
        const std::vector<ClassShare> shares{{0, 0.5 * random.unit()}, {1, 0.5 * random.unit()}};
        const double noise = 0.1 * (random.unit() - 0.5);
        learnInterference(table, 0, shares, 2.0 * shares[0].share + 0.1 * shares[1].share + noise, {i * 1000});
    }
    CHECK(expectedSlowdown(table, 0, 0) == doctest::Approx(2.0).epsilon(0.15));
    CHECK(expectedSlowdown(table, 0, 1) < 0.3);
    CHECK(slowdownConfidence(table, 0, 0) > 0.8);
    CHECK(expectedSlowdown(table, 0, 7) == table.settings.prior);
    CHECK(slowdownConfidence(table, 0, 7) == 0);

    SUBCASE("the estimate follows a change of load")
    {
        for (int i = 0; i < 200; ++i) {
            const std::vector<ClassShare> shares{{0, 0.4}};
            learnInterference(table, 0, shares, 0.04, {400'000 + i * 1000});
        }
        CHECK(expectedSlowdown(table, 0, 0) < 0.3);
    }
}

TEST_CASE("The choice equals that of an exhaustive search")
{
    // Guards against an optimised loop that skips an eligible worker or chooses an excluded one. The check computes scores independently.
    const auto *policy = PlacePolicyRegistry::find("interference");
    REQUIRE(policy != nullptr);
    REQUIRE(PlacePolicyRegistry::find("first-fit") != nullptr);
    const bool held = rc::check("small sets of workers", [policy]() {
        Random random{*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)};
        InterferenceTable table;
        table.pairs = {{{1.5, 10, {}}, {0.1, 10, {}}}, {{0.0, 10, {}}, {2.0, 10, {}}}};
        std::vector<PlaceCandidate> workers;
        for (std::uint64_t i = 0, count = random.below(9); i < count; ++i) {
            workers.push_back(randomCandidate(random));
        }
        const std::vector<std::uint32_t> racks{5, 1, 3};
        const std::vector<std::uint32_t> failedOn{1};
        PlaceRequest request;
        request.declared = request.size = {static_cast<std::int64_t>(random.below(6000)), static_cast<std::int64_t>(random.below(20000)), 0};
        request.jobClass = static_cast<ClassIndex>(random.below(2));
        request.rackTasks = racks;
        request.totalTasks = 9;
        request.failedOn = failedOn;
        PlaceSettings settings;
        settings.latencyWeight = random.unit();
        const PlaceResult result = (*policy)(request, workers, table, settings);
        double best = 1e9;
        std::uint32_t possible = 0;
        for (std::uint32_t i = 0; i < workers.size(); ++i) {
            const PlaceCandidate &worker = workers[i];
            const double share = static_cast<double>(request.size.cpuMillis) / 32000.0;
            const double added = table.pairs[worker.services[0].service][request.jobClass].slowdown * share * (0.2 + 0.8 * worker.services[0].load);
            const bool fits = worker.used.cpuMillis + request.size.cpuMillis <= 28800 && worker.used.memoryMb + request.size.memoryMb <= 112500;
            if (worker.excluded != 0 || !fits || i == 1 || worker.slowdown + added > 1.0 - 0.75 * settings.latencyWeight) {
                continue;
            }
            ++possible;
            const double load = std::max(static_cast<double>(worker.used.cpuMillis + request.size.cpuMillis) / 32000.0,
                                         static_cast<double>(worker.used.memoryMb + request.size.memoryMb) / 125000.0);
            best = std::min(best,
                            settings.latencyWeight * added * (1 + 4 * (worker.slowdown + added)) + (1 - settings.latencyWeight) * 0.25 * load * load
                                + 0.1 * racks[worker.rack] / 9.0);
        }
        RC_ASSERT(result.candidates == possible);
        RC_ASSERT((result.chosen >= 0) == (possible > 0));
        RC_ASSERT(possible == 0 || std::abs(result.firstScore - best) < 1e-9);
        std::uint32_t counted = result.candidates;
        for (const std::uint32_t excluded : result.excluded) {
            counted += excluded;
        }
        RC_ASSERT(counted == workers.size());
    });
    CHECK(held);
}
