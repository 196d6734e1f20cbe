/** @file fleet_overload_test.cpp Tests of who uses the CPU when long-running tasks reserve most of the fleet. */

#include "fleet/fleet_load.h"
#include "fleet_jobs.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

TEST_CASE("The load of a fleet names who uses and who waits for its CPU")
{
    // Guards against jobs that wait for CPU with nothing in the log that says whether long-running, late or useless work has it.
    FleetSimulation simulation(FleetSimulationSettings{});
    simulation.run({100});
    JobSpec watch = longRunningJob(24, "image0");
    watch.steps.front().maxPerWorker = 2;
    simulation.submit("watch", watch);
    simulation.run({2'000});
    simulation.submit("full", oneStepJob(12, {20'000, 1'000, 0}, {60'000}));
    simulation.run({200});
    simulation.submit("waiting", oneStepJob(2, {8'000, 1'000, 0}, {1'000}));
    simulation.run({200});
    const auto of = [](const FleetLoad &load, DeadlineStatus status) {
        return load.byStatus[static_cast<std::size_t>(status)];
    };
    const FleetLoad load = measureFleetLoad(simulation.leaderScheduler(), simulation.state, simulation.now);
    CHECK(load.workers == 12);
    CHECK(load.capacityCpuMillis == 12 * 32'000);
    CHECK(load.longRunning.runningCpuMillis == 24 * 6'000);
    CHECK(of(load, DeadlineStatus::OnTime).runningCpuMillis == load.capacityCpuMillis - load.longRunning.runningCpuMillis - load.freeCpuMillis);
    CHECK(of(load, DeadlineStatus::OnTime).waitingTasks == 2);
    CHECK(of(load, DeadlineStatus::OnTime).waitingCpuMillis == 16'000);
    CHECK(load.fittingCpuMillis == 0);

    simulation.run({4'000});
    const FleetLoad later = measureFleetLoad(simulation.leaderScheduler(), simulation.state, simulation.now);
    CHECK(of(later, DeadlineStatus::Late).waitingTasks + of(later, DeadlineStatus::Expired).waitingTasks == 2);
}
