/** @file fleet_incarnation_test.cpp Tests of leaderships that begin with replaced and ended incarnations of workers. */

#include "fleet_jobs.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Filbertlanding;

namespace {

/** Returns the number of incarnations of a worker that may still have active runs. */
std::size_t countOpenIncarnations(const FleetState &state, const WorkerName &worker)
{
    return static_cast<std::size_t>(std::count_if(state.incarnations.begin(), state.incarnations.end(), [&worker](const auto &item) {
        return item.second.profile.worker == worker && !item.second.hasEnded;
    }));
}

/** Registers an incarnation of a worker and lets it crash before it has answered an order. Its address goes to another worker. */
void crashTwice(FleetSimulation &simulation, const WorkerName &worker)
{
    simulation.crash(worker, true);
    simulation.crash(worker, false);
    simulation.run({100});
    simulation.reuseAddress(worker);
}

} // namespace

TEST_CASE("A leader starts although a worker has crashed twice and its address has gone to another worker")
{
    // Guards against a leader that throws at its start, as does each of its successors, because the latest incarnation of a worker has ended before
    // it has accounted for the runs of the one that it replaced.
    FleetSimulation simulation({});
    simulation.run({100});
    simulation.submit("long", oneStepJob(24, SmallTask, {8'000}));

    SUBCASE("long after the tasks have started")
    {
        simulation.run({1'000});
        crashTwice(simulation, "w0");
        simulation.run({3'000});
    }

    SUBCASE("while it ends the latest incarnation")
    {
        simulation.run({1'000});
        crashTwice(simulation, "w0");
        simulation.run({15});
    }

    SUBCASE("while the start orders are under way")
    {
        simulation.run({40});
        crashTwice(simulation, "w0");
        simulation.run({500});
    }

    SUBCASE("three times in a row")
    {
        simulation.run({1'000});
        crashTwice(simulation, "w0");
        simulation.run({200});
        crashTwice(simulation, "w0");
        simulation.run({200});
        crashTwice(simulation, "w0");
        simulation.run({200});
    }
    simulation.changeLeader({700});
    simulation.run({1'000});
    simulation.submit("next", oneStepJob(24, SmallTask, {500}));
    simulation.run({2'000});
    CHECK(simulation.outcomes.at("next").state == FleetJobState::Completed);
    simulation.run({17'000});
    CHECK(simulation.outcomes.at("long").state == FleetJobState::Completed);
    CHECK(countOpenIncarnations(simulation.state, "w0") == 0);
    CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
}

namespace {

/** Returns a random command about a few workers, jobs, runs and incarnations, many of which do not exist. */
FleetCommand randomCommand(Random &random)
{
    constexpr std::uint64_t Few = 4;
    constexpr std::uint64_t Incarnations = 12;
    const auto few = [&random] {
        return static_cast<std::uint32_t>(random.below(Few));
    };
    const auto incarnation = [&random] {
        return static_cast<IncarnationNumber>(1 + random.below(Incarnations));
    };
    const TaskRef task{1 + random.below(Few), 0, few() % 2, few()};
    const WallTime wall{1'700'000'000'000 + static_cast<std::int64_t>(random.below(10'000))};
    switch (random.below(8)) {
    case 0:
    case 1: {
        WorkerProfile profile;
        profile.worker = "w" + std::to_string(few());
        profile.startedAtMs = static_cast<std::int64_t>(random.below(Few * 2));
        profile.service = "quote-desk";
        profile.address = "10.0.0.1:80";
        profile.capacity = {32'000, 125'000, 0};
        return RegisterWorker{profile};
    }
    case 2:
    case 3:
        return EndIncarnation{incarnation()};
    case 4:
        return SubmitFleetJob{"job" + std::to_string(few()), "host.example", "/surveys/", wall, twoStepJob(2, {500})};
    case 5:
        return StartRun{task, 1 + few(), incarnation()};
    case 6:
        return EndRun{task, 1 + few(), incarnation(), static_cast<RunOutcome>(random.below(7)), "", wall};
    default:
        return random.below(Few) == 0 ? FleetCommand(CancelFleetJob{"job" + std::to_string(few()), wall}) : FleetCommand(SetZoneDrained{"z0", few() == 0});
    }
}

/** Lets a leader start from the state and work for 40 s of simulated time, with workers that never answer. */
void leadAlone(FleetState state)
{
    constexpr std::int64_t TickMs = 500;
    FleetScheduler scheduler = startScheduler({}, state, 1, 0, TimePoint{10'000}, {1'700'000'000'000});
    for (std::int64_t ms = 0; ms < 40'000; ms += TickMs) {
        const TimePoint now{10'000 + ms};
        const WallTime wall{1'700'000'000'000 + ms};
        SchedulerActions actions = schedulerTick(scheduler, state, now, wall, now + Duration{1'000});
        for (const WorkerOrder &order : actions.orders) {
            SchedulerActions more = handleResponse(scheduler, state, order.number, OrderResponse(), now, wall);
            actions.propose.insert(actions.propose.end(), more.propose.begin(), more.propose.end());
        }
        for (const FleetCommand &command : actions.propose) {
            handleApplied(scheduler, state, command, applyFleetCommand(state, command), now, wall);
        }
    }
}

} // namespace

TEST_CASE("A leader starts from every state that the log can reach")
{
    // Guards against a replicated state that makes every leader throw, so that nothing is served any more and a restart does not help.
    const bool held = rc::check("random commands", []() {
        Random random{*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)};
        FleetState state = FleetSimulation({}).state;
        for (int i = 0; i < 120; ++i) {
            applyFleetCommand(state, randomCommand(random));
        }
        leadAlone(state);
        FleetState restored;
        RC_ASSERT(decodeFleetState(encodeFleetState(state), restored) == ResultCode::Ok);
        leadAlone(restored);
    });
    CHECK(held);
}
