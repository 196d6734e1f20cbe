/** @file fleet_place_bench.cpp Time of one placement pass of the fleet scheduler, with most of the tasks waiting. */

#include "fakes/fleet_world.h"

#include <benchmark/benchmark.h>

using namespace Filbertlanding;

namespace {

/** Returns a world with lasting tasks and many jobs in spare room that wait. */
std::unique_ptr<FleetWorld> makeWorld(int workers, int waitingTasks)
{
    FleetWorldSettings settings;
    settings.workers = workers;
    settings.pressure[{"l0", "s0"}] = 6.0;
    settings.pressure[{"l1", "s1"}] = 6.0;
    auto world = std::make_unique<FleetWorld>(settings);
    world->run({100});
    for (int i = 0; i < workers; ++i) {
        JobSpec lasting = oneStepJob(4, {6'000, 8'000, 0}, {400});
        lasting.steps.front().isLongRunning = true;
        lasting.steps.front().image = "l" + std::to_string(i % 5);
        lasting.steps.front().latencyTarget = {20};
        world->submit("lasting" + std::to_string(i), lasting);
    }
    world->run({3'000});
    constexpr int TasksOfJob = 20;
    for (int i = 0; i < waitingTasks / TasksOfJob; ++i) {
        JobSpec filling = oneStepJob(TasksOfJob, {3'500, 4'000, 0}, {60'000});
        filling.steps.front().usesSpareCapacity = true;
        filling.steps.front().image = "s" + std::to_string(i % 9);
        world->submit("filling" + std::to_string(i), filling);
    }
    world->run({5'000});
    return world;
}

void placementPass(benchmark::State &state)
{
    const auto world = makeWorld(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    FleetScheduler scheduler = world->leaderScheduler();
    TimePoint now = world->now;
    for (auto _ : state) {
        now = now + Duration{1};
        scheduler.placeDue = true;
        benchmark::DoNotOptimize(schedulerTick(scheduler, world->state, now, {1'700'000'000'000 + now.ms}, now + Duration{1'000}));
    }
}

} // namespace

BENCHMARK(placementPass)->Args({66, 2'000})->Args({490, 15'000})->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
