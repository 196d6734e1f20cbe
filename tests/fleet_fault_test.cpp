/** @file fleet_fault_test.cpp Property tests of the fleet scheduler under crashes, restarts, partitions, lost and late orders, and leader changes. */

#include "fleet_jobs.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Filbertlanding;

namespace {

/** Returns settings of links and log derived from a seed. */
FleetSimulationSettings randomSettings(std::uint64_t seed)
{
    FleetSimulationSettings settings;
    settings.seed = seed;
    settings.lostResponsePercent = static_cast<int>(seed % 3) * 5;
    settings.lateOrderPercent = static_cast<int>(seed / 3 % 3) * 5;
    settings.maxResponseDelay = {static_cast<std::int64_t>(seed % 5) * 900};
    settings.commitDelay = {15 + static_cast<std::int64_t>(seed % 7) * 150};
    return settings;
}

/** Submits jobs with random worker crashes, partitions, leader changes and cancellations, then heals all faults and waits for the jobs. */
void runRandomFaults(FleetSimulation &simulation)
{
    simulation.run({100});
    for (int i = 0; i < 60; ++i) {
        JobSpec spec =
            twoStepJob(1 + static_cast<std::uint32_t>(simulation.random.below(6)), {200 + static_cast<std::int64_t>(simulation.random.below(2'000))});
        spec.steps.front().isCheckpointed = simulation.random.below(2) == 0;
        spec.steps.front().maxPerWorker = static_cast<std::uint32_t>(simulation.random.below(3));
        simulation.submit("job" + std::to_string(i), spec);
        const WorkerName worker = "w" + std::to_string(simulation.random.below(12));
        switch (simulation.random.below(12)) {
        case 0:
            simulation.crash(worker, true);
            break;
        case 1:
            simulation.setPartitioned(worker, true);
            break;
        case 2:
            simulation.setPartitioned(worker, false);
            break;
        case 3:
            simulation.changeLeader({static_cast<std::int64_t>(simulation.random.below(1'500))});
            break;
        case 4:
            simulation.isolateLeader({static_cast<std::int64_t>(simulation.random.below(600))}, {700});
            break;
        case 5:
            simulation.cancel("job" + std::to_string(simulation.random.below(static_cast<std::uint64_t>(i) + 1)));
            break;
        default:
            break;
        }
        simulation.run({static_cast<std::int64_t>(simulation.random.below(800))});
    }
    for (int i = 0; i < 12; ++i) {
        simulation.setPartitioned("w" + std::to_string(i), false);
    }
    simulation.setMaxResponseDelay({0});
    simulation.run({60'000});
}

/** Submits short jobs while random workers restart, some of them during a partition, then heals all faults and waits for the jobs. */
void runRandomRestarts(FleetSimulation &simulation)
{
    simulation.run({100});
    std::map<WorkerName, TimePoint> partitionedUntil;
    for (int i = 0; i < 80; ++i) {
        simulation.submit(
            "job" + std::to_string(i),
            twoStepJob(1 + static_cast<std::uint32_t>(simulation.random.below(8)), {50 + static_cast<std::int64_t>(simulation.random.below(600))}));
        const WorkerName worker = "w" + std::to_string(simulation.random.below(12));
        if (simulation.random.below(2) == 0) {
            const bool isPartitionedFirst = simulation.random.below(2) == 0;
            simulation.setPartitioned(worker, isPartitionedFirst);
            simulation.crash(worker, true);
            partitionedUntil[worker] = simulation.now + Duration{static_cast<std::int64_t>(simulation.random.below(2'500))};
        }
        simulation.run({static_cast<std::int64_t>(simulation.random.below(500))});
        for (const auto &[name, until] : partitionedUntil) {
            simulation.setPartitioned(name, simulation.now < until);
        }
    }
    for (const auto &[name, until] : partitionedUntil) {
        simulation.setPartitioned(name, false);
    }
    simulation.setMaxResponseDelay({0});
    simulation.run({40'000});
}

/** Returns whether every submitted job has ended or has been removed. */
bool haveAllEnded(const FleetSimulation &simulation)
{
    return std::all_of(simulation.outcomes.begin(), simulation.outcomes.end(), [&simulation](const auto &item) {
        const auto job = findJobStatus(simulation.state, item.first);
        return !job || hasEnded(job->state);
    });
}

} // namespace

TEST_CASE("A start order in flight during a restart of its worker never runs concurrently with another run")
{
    // Guards against a late execution of a start order by the next incarnation with the same name: with a slow log the leader learns of the new
    // incarnation after it has sent the start order, but before the response timeout.
    for (const std::uint64_t seed : {195, 276, 526, 592, 710, 754}) {
        const FleetSimulationSettings settings = randomSettings(seed);
        FleetSimulation simulation(settings);
        runRandomFaults(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), "seed " << seed << ": " << firstViolations(simulation.violations));
    }
}

TEST_CASE("No end is lost when workers restart with the same name")
{
    // Guards against a poll addressed to an earlier incarnation that makes the next one discard its own ends, and against runs that the next
    // incarnation has executed and that are started again elsewhere. Found by the soak test, seed 131.
    const bool held = rc::check("random restarts", []() {
        FleetSimulationSettings settings = randomSettings(*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000));
        settings.restartTime = {*rc::gen::element<std::int64_t>(0, 1'000)};
        FleetSimulation simulation(settings);
        runRandomRestarts(simulation);
        RC_ASSERT(firstViolations(simulation.violations) == "");
        RC_ASSERT(haveAllEnded(simulation));
    });
    CHECK(held);
}

TEST_CASE("A worker that restarts immediately is never told to discard ends of its new incarnation")
{
    // Guards against a poll addressed to the previous incarnation that makes the new one discard an uncommitted end.
    SUBCASE("between a poll response and the next poll, with a slow log")
    {
        FleetSimulation simulation(randomSettings(238874756));
        runRandomRestarts(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }

    SUBCASE("with crashes, partitions and leader changes")
    {
        FleetSimulation simulation(randomSettings(359913236));
        runRandomFaults(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }

    SUBCASE("it is not assumed dead while it runs under a lease granted on the clock of its previous incarnation")
    {
        FleetSimulation simulation(randomSettings(412184905));
        runRandomFaults(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }

    SUBCASE("it is not assumed dead before the end of a lease granted on the clock of its previous incarnation")
    {
        // The leader tracks the leases that it grants on the clock of an incarnation, but a poll for the previous one has granted a longer lease.
        // The leader sends orders every 20 ms, so start orders are in flight at some of these offsets.
        for (std::int64_t offset = 0; offset <= 40; offset += 5) {
            FleetSimulation simulation({});
            simulation.run({20'000});
            simulation.submit("first", oneStepJob(150, SmallTask, {300}));
            simulation.run({offset});
            simulation.crash("w0", true);
            simulation.run({1'000});
            simulation.submit("second", longRunningJob(36, "watch"));
            simulation.run({1'000});
            simulation.setPartitioned("w0", true);
            simulation.run({20'000});
            CHECK_MESSAGE(simulation.violations.empty(), "offset " << offset << ": " << firstViolations(simulation.violations));
        }
    }

    SUBCASE("for consecutive seeds")
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            FleetSimulation simulation(randomSettings(seed));
            runRandomRestarts(simulation);
            CHECK_MESSAGE(simulation.violations.empty(), "seed " << seed << ": " << firstViolations(simulation.violations));
        }
    }
}

TEST_CASE("No guarantee is violated under random faults")
{
    // Checks single execution, step order, capacity, spread and cancellation under crashes, partitions, lost responses, late orders and leader changes.
    const bool held = rc::check("random faults", []() {
        FleetSimulation simulation(randomSettings(*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)));
        runRandomFaults(simulation);
        RC_ASSERT(firstViolations(simulation.violations) == "");
        RC_ASSERT(haveAllEnded(simulation));
    });
    CHECK(held);
}

TEST_CASE("A gang whose worker has crashed runs again although it needs several tasks on a worker")
{
    // Guards against a gang that waits for ever, because each of its own tasks keeps the others away from the worker it is placed on.
    FleetSimulationSettings settings;
    settings.workers = 4;
    FleetSimulation simulation(settings);
    simulation.run({100});
    JobSpec gang = oneStepJob(8, SmallTask, {2'000});
    gang.steps.front().isGang = true;
    simulation.submit("gang", gang);
    simulation.run({500});
    const auto busy = std::find_if(simulation.workers.begin(), simulation.workers.end(), [](const auto &item) {
        return !item.second->running.empty();
    });
    REQUIRE(busy != simulation.workers.end());
    simulation.crash(WorkerName(busy->first), true);
    simulation.run({20'000});
    CHECK(simulation.outcomes.at("gang").state == FleetJobState::Completed);
    CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
}

TEST_CASE("A clock that steps forward does not remove jobs that have just ended")
{
    // Guards against an ended job that is answered as unknown, and runs again when its submission is resent.
    constexpr Duration Step{3'600'000};
    constexpr int Submissions = 2'000;
    FleetSimulation simulation({});
    simulation.run({100});
    FleetState &state = simulation.state;
    const QueueConfig queue = state.manifest.queues.front();
    const WallTime before{1'800'000'000'000};
    const WallTime after{before.ms + Step.ms};
    const JobSpec spec = oneStepJob(1, SmallTask, {100});
    applyFleetCommand(state, SubmitFleetJob{"ended", queue.host, queue.pathPrefix, before, spec});
    applyFleetCommand(state, CancelFleetJob{"ended", before});
    for (int i = 0; i < Submissions; ++i) {
        applyFleetCommand(state, SubmitFleetJob{"job" + std::to_string(i), queue.host, queue.pathPrefix, after, spec});
    }
    CHECK(findJobStatus(state, "ended"));
}
