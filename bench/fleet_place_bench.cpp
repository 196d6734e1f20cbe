/** @file fleet_place_bench.cpp Duration of one placement pass of the fleet scheduler with most tasks waiting. */

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

void placementPass(benchmark::State &state)
{
    const auto simulation = makeSimulation(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    FleetScheduler scheduler = simulation->leaderScheduler();
    TimePoint now = simulation->now;
    for (auto _ : state) {
        now = now + Duration{1};
        scheduler.isPlacementDue = true;
        benchmark::DoNotOptimize(schedulerTick(scheduler, simulation->state, now, {1'700'000'000'000 + now.ms}, now + Duration{1'000}));
    }
}

} // namespace

BENCHMARK(placementPass)->Args({66, 2'000})->Args({490, 15'000})->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
