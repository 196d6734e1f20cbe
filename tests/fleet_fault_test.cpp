/** @file fleet_fault_test.cpp Promises of the fleet scheduler under random faults: crashes, new lives, cuts, lost and late orders, changes of the leader. */

#include "fleet_jobs.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Filbertlanding;

namespace {

/** Returns settings of links, log and leader that a seed draws. */
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

/** Submits jobs while workers crash and are cut off, leaders change, and jobs are cancelled; then lets everything heal and end. */
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

/** Submits short jobs while workers crash at once or behind a cut and begin new lives under their names; then lets everything heal and end. */
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

/** Returns whether every job that was submitted has ended, or is not known any more. */
bool haveAllEnded(const FleetSimulation &simulation)
{
    return std::all_of(simulation.outcomes.begin(), simulation.outcomes.end(), [&simulation](const auto &item) {
        const FleetJob *job = findJob(simulation.state, item.first);
        return job == nullptr || hasEnded(job->state);
    });
}

} // namespace

TEST_CASE("A start that was on its way when its worker began a new life never runs beside another one")
{
    // Guards against a start that the next life under the same name carries out late: with a slow log the leader hears of the new life
    // after the start has gone out, and before its time for an answer is over.
    for (const std::uint64_t seed : {195, 276, 526, 592, 710, 754}) {
        const FleetSimulationSettings settings = randomSettings(seed);
        FleetSimulation simulation(settings);
        runRandomFaults(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), "seed " << seed << ": " << firstViolations(simulation.violations));
    }
}

TEST_CASE("No end is forgotten when workers begin new lives under their names")
{
    // Guards against a look meant for an earlier life that lets the next one forget its own ends, and against runs that the next life
    // carried out and that are begun again elsewhere. Found by the soak, seed 131.
    const bool held = rc::check("rebirths at random", []() {
        FleetSimulationSettings settings = randomSettings(*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000));
        settings.restartTime = {*rc::gen::element<std::int64_t>(0, 1'000)};
        FleetSimulation simulation(settings);
        runRandomRestarts(simulation);
        RC_ASSERT(firstViolations(simulation.violations) == "");
        RC_ASSERT(haveAllEnded(simulation));
    });
    CHECK(held);
}

TEST_CASE("A worker that begins a new life at once is told to forget nothing of it")
{
    // Guards against a look that was meant for the life before: it let the new one forget an end that was not in the log.
    SUBCASE("between an answered look and the next one, while the log is slow")
    {
        FleetSimulation simulation(randomSettings(238874756));
        runRandomRestarts(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }

    SUBCASE("among crashes, cuts and changes of the leader")
    {
        FleetSimulation simulation(randomSettings(359913236));
        runRandomFaults(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }

    SUBCASE("or to hold a lease that was named on the clock of the life before, and be given up while it runs on")
    {
        FleetSimulation simulation(randomSettings(412184905));
        runRandomFaults(simulation);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }

    SUBCASE("or given up early, although the lease was named on the clock of the life before")
    {
        // The leader counts the leases that it names on the clock of a life, but a look for the life before has given a longer one.
        // The leader gives its orders each 20 ms, so at one of these moments starts are on their way.
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

    SUBCASE("whatever the seed")
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            FleetSimulation simulation(randomSettings(seed));
            runRandomRestarts(simulation);
            CHECK_MESSAGE(simulation.violations.empty(), "seed " << seed << ": " << firstViolations(simulation.violations));
        }
    }
}

TEST_CASE("No promise is broken under random faults")
{
    // Guards run-once, order of steps, room, spread and cancelling against crashes, cuts, lost answers, late orders and changes of the leader.
    const bool held = rc::check("faults at random", []() {
        FleetSimulation simulation(randomSettings(*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)));
        runRandomFaults(simulation);
        RC_ASSERT(firstViolations(simulation.violations) == "");
        RC_ASSERT(haveAllEnded(simulation));
    });
    CHECK(held);
}
