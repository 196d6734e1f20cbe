/** @file fleet_job_start_test.cpp Tests of when a job counts as started: once a worker has begun one of its tasks, and not when that is decided. */

#include "fleet_jobs.h"

#include <doctest/doctest.h>

#include <utility>

using namespace Filbertlanding;

namespace {

constexpr Duration MaxAge{2'000}; ///< Time within which the number of waiting jobs must be right.

/** A fleet whose workers can refuse all starts as unhealthy. */
struct RefusingFleet {
    FleetSimulation simulation;

    explicit RefusingFleet(int workers, FleetSimulationSettings settings = {})
        : simulation(withWorkers(std::move(settings), workers))
    {
        this->simulation.run({500});
    }

    static FleetSimulationSettings withWorkers(FleetSimulationSettings settings, int workers)
    {
        settings.workers = workers;
        return settings;
    }

    void setRefusing(bool isRefusing)
    {
        for (const auto &[name, worker] : this->simulation.workers) {
            worker->refusesStarts = isRefusing;
        }
    }

    std::uint64_t countWaiting() const
    {
        return countQueuedJobs(this->simulation.state, this->simulation.state.manifest.queues.front());
    }
};

} // namespace

TEST_CASE("A job waits until a worker has started one of its tasks")
{
    // Guards against jobs that count as started while the only worker with room refuses their tasks (review case 9).
    constexpr std::uint64_t Jobs = 8;
    RefusingFleet fleet(2);
    FleetSimulation &simulation = fleet.simulation;
    fleet.setRefusing(true);
    for (std::uint64_t i = 0; i < Jobs; ++i) {
        simulation.submit("job" + std::to_string(i), oneStepJob(1, SmallTask, {60'000}));
    }
    simulation.run({6'000});
    REQUIRE(simulation.startedRuns == 0);
    CHECK(fleet.countWaiting() == Jobs);

    SUBCASE("also under the next leader")
    {
        simulation.changeLeader({700});
        simulation.run({6'000});
        CHECK(fleet.countWaiting() == Jobs);
    }

    SUBCASE("also on a core that starts again from a snapshot")
    {
        FleetState restored;
        REQUIRE(decodeFleetState(encodeFleetState(simulation.state), restored) == ResultCode::Ok);
        CHECK(countQueuedJobs(restored, restored.manifest.queues.front()) == Jobs);
    }

    SUBCASE("and no longer once the workers accept starts again")
    {
        fleet.setRefusing(false);
        simulation.run(MaxAge + MaxAge);
        CHECK(simulation.startedRuns == Jobs);
        CHECK(fleet.countWaiting() == 0);

        SUBCASE("nor under the next leader")
        {
            simulation.changeLeader({700});
            simulation.run({3'000});
            CHECK(fleet.countWaiting() == 0);
        }

        SUBCASE("nor when the tasks are lost, and the workers that come back refuse them")
        {
            simulation.crash("w0", true);
            simulation.crash("w1", true);
            simulation.run({3'000});
            fleet.setRefusing(true);
            simulation.changeLeader({700});
            simulation.run({12'000});
            CHECK(fleet.countWaiting() == 0);
        }
    }
    CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
}

TEST_CASE("A start order without an answer counts once the worker is known to have executed it")
{
    // Guards against a job that runs and is counted as waiting for good, since the answer to its start was lost.
    FleetSimulationSettings settings;
    settings.lostResponsePercent = 60;
    RefusingFleet fleet(4, settings);
    for (int i = 0; i < 6; ++i) {
        fleet.simulation.submit("job" + std::to_string(i), oneStepJob(1, SmallTask, {60'000}));
    }
    fleet.simulation.run({15'000});
    CHECK(fleet.countWaiting() == 0);
    CHECK_MESSAGE(fleet.simulation.violations.empty(), firstViolations(fleet.simulation.violations));
}

TEST_CASE("A gang has started once all of its tasks are there")
{
    // Guards against a gang that counts as started while one of its tasks is refused.
    RefusingFleet fleet(2);
    FleetSimulation &simulation = fleet.simulation;
    simulation.workers.at("w1")->refusesStarts = true;
    JobSpec gang = oneStepJob(2, {20'000, 4'000, 0}, {60'000});
    gang.steps.front().isGang = true;
    simulation.submit("gang", gang);
    simulation.run({5'000});
    CHECK(simulation.startedRuns > 0);
    CHECK(fleet.countWaiting() == 1);

    SUBCASE("and then no longer waits")
    {
        simulation.workers.at("w1")->refusesStarts = false;
        simulation.run({8'000});
        CHECK(fleet.countWaiting() == 0);
    }
    CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
}

TEST_CASE("A short job that ends before its start is recorded is counted once")
{
    RefusingFleet fleet(2);
    fleet.simulation.submit("short", oneStepJob(1, SmallTask, {5}));
    fleet.simulation.run({1'000});
    CHECK(fleet.simulation.outcomes.at("short").state == FleetJobState::Completed);
    CHECK(fleet.countWaiting() == 0);
}
