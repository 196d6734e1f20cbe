/**
 * @file fleet_place_bench.cpp Duration of one placement pass of the fleet scheduler with most tasks waiting, of like jobs, of jobs that all differ, and of
 * jobs of many accounts.
 */

#include "fakes/fleet_simulation.h"

#include <benchmark/benchmark.h>

using namespace Filbertlanding;

namespace {

/** Returns a simulation with long-running tasks and many waiting jobs that use spare capacity. */
std::unique_ptr<FleetSimulation> makeSimulation(int workers, int waitingTasks)
{
    FleetSimulationSettings settings;
    settings.workers = workers;
    settings.interference[{"l0", "s0"}] = 6.0;
    settings.interference[{"l1", "s1"}] = 6.0;
    auto simulation = std::make_unique<FleetSimulation>(settings);
    simulation->run({100});
    for (int i = 0; i < workers; ++i) {
        JobSpec longRunning = oneStepJob(4, {6'000, 8'000, 0}, {400});
        longRunning.steps.front().isLongRunning = true;
        longRunning.steps.front().image = "l" + std::to_string(i % 5);
        longRunning.steps.front().latencyTarget = {20};
        simulation->submit("service" + std::to_string(i), longRunning);
    }
    simulation->run({3'000});
    constexpr int TasksPerJob = 20;
    for (int i = 0; i < waitingTasks / TasksPerJob; ++i) {
        JobSpec batch = oneStepJob(TasksPerJob, {3'500, 4'000, 0}, {60'000});
        batch.steps.front().usesSpareCapacity = true;
        batch.steps.front().image = "s" + std::to_string(i % 9);
        simulation->submit("batch" + std::to_string(i), batch);
    }
    simulation->run({5'000});
    return simulation;
}

/** Returns a request that differs by up to 60 percent from the mean, independently in CPU and memory. */
Resources varied(Random &random, std::int64_t cpuMillis, std::int64_t memoryMb)
{
    const auto factor = [&random] {
        return 0.4 + 1.2 * random.unit();
    };
    return {static_cast<std::int64_t>(static_cast<double>(cpuMillis) * factor()), static_cast<std::int64_t>(static_cast<double>(memoryMb) * factor()), 0};
}

/** Returns a simulation with more work than fits, in which each job has requests of its own and many images interfere. */
std::unique_ptr<FleetSimulation> makeMixedSimulation(int workers, int waitingTasks)
{
    constexpr int LongRunningImages = 10;
    constexpr int SpareImages = 18;
    constexpr int TasksPerJob = 20;
    FleetSimulationSettings settings;
    settings.workers = workers;
    Random random{1};
    for (int i = 0; i < LongRunningImages; ++i) {
        for (int j = 0; j < SpareImages; ++j) {
            settings.interference[{"l" + std::to_string(i), "s" + std::to_string(j)}] = 5.0 * random.unit();
        }
    }
    auto simulation = std::make_unique<FleetSimulation>(settings);
    simulation->run({100});
    for (int i = 0; i < workers / 3; ++i) {
        JobSpec longRunning = oneStepJob(14, varied(random, 6'400, 13'000), {400});
        longRunning.steps.front().isLongRunning = true;
        longRunning.steps.front().image = "l" + std::to_string(random.below(LongRunningImages));
        longRunning.steps.front().latencyTarget = {45};
        simulation->submit("service" + std::to_string(i), longRunning);
    }
    simulation->run({3'000});
    for (int i = 0; i < waitingTasks / TasksPerJob; ++i) {
        JobSpec batch = oneStepJob(TasksPerJob, varied(random, 3'500, 6'400), {60'000});
        batch.steps.front().usesSpareCapacity = i % 2 == 0;
        batch.steps.front().image = i % 2 == 0 ? "s" + std::to_string(random.below(SpareImages)) : std::string();
        simulation->submit("batch" + std::to_string(i), batch);
    }
    simulation->run({5'000});
    return simulation;
}

/** Returns a simulation with full workers, in which a number of the accounts has jobs waiting. */
std::unique_ptr<FleetSimulation> makeAccountSimulation(int workers, int accounts, int waitingAccounts)
{
    constexpr int WaitingJobs = 1'000;
    FleetSimulationSettings settings;
    settings.workers = workers;
    auto simulation = std::make_unique<FleetSimulation>(settings);
    simulation->run({100});
    std::vector<AccountTerms> terms;
    terms.reserve(static_cast<std::size_t>(accounts));
    for (int i = 0; i < accounts; ++i) {
        terms.push_back({"a" + std::to_string(i), 1, {}});
    }
    simulation->setAccounts(terms);
    simulation->run({100});
    simulation->submit("full", oneStepJob(static_cast<std::uint32_t>(workers), {32'000, 1'000, 0}, {600'000}), 1.0, "a0");
    simulation->run({3'000});
    for (int i = 0; i < WaitingJobs; ++i) {
        simulation->submit("job" + std::to_string(i), oneStepJob(20, {2'000, 4'000, 0}, {60'000}), 1.0, "a" + std::to_string(i % waitingAccounts));
    }
    simulation->run({500});
    return simulation;
}

/** Measures ticks 1 ms apart. A large fleet makes a pass in only some of them, unless each tick is to make one. */
void runPlacementPasses(benchmark::State &state, const std::unique_ptr<FleetSimulation> &simulation, bool isPassInEachTick = false)
{
    FleetScheduler scheduler = simulation->leaderScheduler();
    TimePoint now = simulation->now;
    for (auto _ : state) {
        now = now + Duration{1};
        scheduler.isPlacementDue = true;
        scheduler.nextPlacement = isPassInEachTick ? now : scheduler.nextPlacement;
        benchmark::DoNotOptimize(schedulerTick(scheduler, simulation->state, now, {1'700'000'000'000 + now.ms}, now + Duration{1'000}));
    }
}

void placementPass(benchmark::State &state)
{
    runPlacementPasses(state, makeSimulation(static_cast<int>(state.range(0)), static_cast<int>(state.range(1))));
}

void mixedPlacementPass(benchmark::State &state)
{
    runPlacementPasses(state, makeMixedSimulation(static_cast<int>(state.range(0)), static_cast<int>(state.range(1))));
}

void accountPlacementPass(benchmark::State &state)
{
    const auto accounts = static_cast<int>(state.range(1));
    runPlacementPasses(state, makeAccountSimulation(static_cast<int>(state.range(0)), accounts, accounts), true);
}

/** All but three of the accounts have no work, so that only their presence in the manifest can cost time. */
void idleAccountsPlacementPass(benchmark::State &state)
{
    const auto accounts = static_cast<int>(state.range(1));
    runPlacementPasses(state, makeAccountSimulation(static_cast<int>(state.range(0)), accounts, std::min(accounts, 3)), true);
}

} // namespace

BENCHMARK(accountPlacementPass)->ArgsProduct({{66, 490, 5'000}, {1, 20, 1'000}})->Unit(benchmark::kMillisecond);
BENCHMARK(idleAccountsPlacementPass)->ArgsProduct({{66, 490, 5'000}, {1, 20, 1'000}})->Unit(benchmark::kMillisecond);
BENCHMARK(mixedPlacementPass)->Args({66, 2'000})->Args({490, 28'000})->Unit(benchmark::kMillisecond);
BENCHMARK(placementPass)->Args({66, 2'000})->Args({490, 15'000})->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
