/** @file fleet_takeover_test.cpp What a scheduler must not assume of orders and proposals of the one before it. */

#include "fleet_jobs.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

constexpr Duration LeaseTime{7'000}; ///< As the daemon sets it where workers cap leases at 10 s.
constexpr Duration RecoveryTime{25'000};

FleetSimulationSettings daemonSettings()
{
    FleetSimulationSettings settings;
    settings.scheduler.taskLease = LeaseTime;
    return settings;
}

/** Lets another leader take over while a worker is cut off. */
void loseLeaderAndWorker(FleetSimulation &simulation)
{
    simulation.setPartitioned("w0", true);
    simulation.changeLeader({100});
    simulation.run(RecoveryTime);
}

std::uint64_t countNotices(const FleetSimulation &simulation, RunNoticeKind kind)
{
    const auto found = simulation.runNotices.find(kind);
    return found == simulation.runNotices.end() ? 0 : found->second;
}

} // namespace

TEST_CASE("A new leader starts no task again while it runs under a lease on the clock of an earlier process")
{
    // Guards against two runs of a task: an order for the previous process of a worker has given the present one a longer lease than orders contain.
    // The leader sends orders every 20 ms, so start orders are in flight at some of these offsets.
    constexpr std::int64_t LongestOffset = 40;
    constexpr std::int64_t OffsetStep = 5;

    SUBCASE("the present process is registered, and its tasks have just started")
    {
        for (std::int64_t offset = 0; offset <= LongestOffset; offset += OffsetStep) {
            FleetSimulation simulation(daemonSettings());
            simulation.run({20'000});
            simulation.submit("first", oneStepJob(150, SmallTask, {300}));
            simulation.run({offset});
            simulation.crash("w0", true);
            simulation.run({1'000});
            simulation.submit("second", longRunningJob(36, "watch"));
            simulation.run({300});
            loseLeaderAndWorker(simulation);
            CHECK_MESSAGE(simulation.violations.empty(), "offset " << offset << ": " << firstViolations(simulation.violations));
        }
    }

    SUBCASE("the present process is unknown, and has executed start orders")
    {
        for (std::int64_t offset = 0; offset <= LongestOffset; offset += OffsetStep) {
            FleetSimulation simulation(daemonSettings());
            simulation.run({20'000});
            simulation.submit("first", oneStepJob(150, SmallTask, {20'000}));
            simulation.run({offset});
            simulation.delayNextReport("w0", {60'000});
            simulation.crash("w0", true);
            simulation.run({20});
            loseLeaderAndWorker(simulation);
            CHECK_MESSAGE(simulation.violations.empty(), "offset " << offset << ": " << firstViolations(simulation.violations));
        }
    }
}

TEST_CASE("A new leader starts the tasks of a silent worker elsewhere, and says why")
{
    FleetSimulation simulation(daemonSettings());
    simulation.run({100});
    simulation.submit("lasting", longRunningJob(12, "watch"));

    SUBCASE("tasks that have run for long, once the lease has expired")
    {
        simulation.run({15'000});
        simulation.crash("w0", false);
        simulation.changeLeader({100});
        simulation.run({100 + LeaseTime.ms + 500});
    }

    SUBCASE("tasks that have just started, once the longest lease has expired")
    {
        simulation.run({1'000});
        simulation.crash("w0", false);
        simulation.changeLeader({100});
        simulation.run({100 + LeaseTime.ms + 500});
        CHECK(countNotices(simulation, RunNoticeKind::LeaseExpired) == 0);
        simulation.run({3'500});
    }
    CHECK(countNotices(simulation, RunNoticeKind::LeaseExpired) > 0);
    CHECK(countNotices(simulation, RunNoticeKind::DoneUnassigned) == 0);
    CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
}

TEST_CASE("A scheduler that starts anew within a term counts only the ends that it has proposed itself")
{
    // Guards against a completed task that runs again: its worker is told to discard the end before the log has it, and the next leader never learns of it.
    FleetSimulationSettings settings = daemonSettings();
    settings.commitDelay = {400}; // Longer than a daemon waits before it starts a new scheduler.
    for (std::int64_t offset = 0; offset < 1'000; offset += 50) {
        CAPTURE(offset);
        FleetSimulation simulation(settings);
        simulation.run({3'000});
        for (int i = 0; i < 20; ++i) {
            simulation.submit("job" + std::to_string(i), oneStepJob(12, SmallTask, {500 + i * 70}));
        }
        simulation.run({1'500 + offset});
        simulation.restartScheduler();
        simulation.run(RecoveryTime);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }
}
