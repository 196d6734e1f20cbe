/** @file fleet_place_test.cpp Places and the order of service under load: what callers get. */

#include "fleet/pair_interference.h"
#include "fleet/service_order.h"
#include "fleet_jobs.h"
#include "test_seed.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

TEST_CASE("Tasks in spare room are kept off lasting tasks that they press on")
{
    // Load: two lasting images and two images in spare room; each of the latter presses on one of the former and leaves the other alone.
    // Guards the gain over one common pace: lasting tasks under their targets and the work in spare room done.
    FleetWorldSettings settings;
    settings.pressure[{"quiet", "heavy"}] = 6.0;
    settings.pressure[{"firm", "other"}] = 6.0;
    FleetWorld world(settings);
    world.run({100});
    for (int i = 0; i < 6; ++i) {
        world.submit("quiet" + std::to_string(i), lastingJob(4, "quiet"));
        world.submit("firm" + std::to_string(i), lastingJob(4, "firm"));
    }
    world.run({2'000});
    for (int i = 0; i < 40; ++i) {
        world.submit("heavy" + std::to_string(i), fillingJob(4, "heavy", {1'500}));
        world.submit("other" + std::to_string(i), fillingJob(4, "other", {1'500}));
        world.run({500});
    }
    world.run({10'000});
    std::uint64_t over = 0;
    for (const auto &[image, ms] : world.overTargetMs) {
        over += ms;
    }
    std::size_t inTime = 0;
    for (const auto &[id, outcome] : world.outcomes) {
        inTime += outcome.endedAt && *outcome.endedAt - outcome.submittedAt <= outcome.objective ? 1 : 0;
    }
    CHECK(static_cast<double>(over) < 0.05 * static_cast<double>(world.lastingMs));
    CHECK(inTime >= 72);
}

TEST_CASE("Tasks that press on all lasting tasks are done before their time is over")
{
    // Load: lasting tasks of one image on every worker, and jobs in spare room that press on them a little above what is placed without need.
    // Guards against jobs of an image without a quiet place, which waited until their results were worth nothing.
    FleetWorldSettings settings;
    settings.pressure[{"quiet", "pressing"}] = 2.0;
    FleetWorld world(settings);
    world.run({100});
    world.submit("watch", lastingJob(60, "quiet"));
    world.run({2'000});
    constexpr int Jobs = 20;
    for (int i = 0; i < Jobs; ++i) {
        world.submit("pressing" + std::to_string(i), fillingJob(4, "pressing", {1'500}));
        world.run({1'000});
    }
    world.run({10'000});
    int useful = 0;
    for (int i = 0; i < Jobs; ++i) {
        const ModelOutcome &outcome = world.outcomes.at("pressing" + std::to_string(i));
        useful += outcome.endedAt && *outcome.endedAt - outcome.submittedAt <= outcome.objective * 3 ? 1 : 0;
    }
    CHECK(useful == Jobs);
    CHECK(static_cast<double>(world.overTargetMs["quiet"]) < 0.05 * static_cast<double>(world.lastingMs));
}

TEST_CASE("Who is served first when not everything fits")
{
    // Guards the order of service of service_order.cpp: short jobs in time, lasting tasks, late jobs, jobs that nobody waits for.
    const TimePoint now{100'000};
    const auto stepOf = [now](JobNumber job, Duration age, Duration objective, Duration chain) {
        ReadyStep step;
        step.job = job;
        step.acceptedAt = now - age;
        step.objectiveDeadline = step.acceptedAt + objective;
        step.remainingCriticalPath = chain;
        step.valueDensity = 0.1;
        return step;
    };
    ReadyStep lasting = stepOf(1, {5'000}, {3'000}, {400});
    lasting.isLongRunning = true;
    const ReadyStep relaxed = stepOf(2, {0}, {9'000}, {1'000});
    const ReadyStep urgent = stepOf(3, {1'000}, {2'500}, {1'000});
    const ReadyStep late = stepOf(4, {3'000}, {2'500}, {1'000});
    const ReadyStep hopeless = stepOf(5, {30'000}, {2'500}, {1'000});
    ReadyStep small = stepOf(6, {0}, {9'100}, {1'000});
    small.valueDensity = 1.0;
    std::vector<ReadyStep> steps{hopeless, late, lasting, relaxed, urgent, small};
    sortByServiceOrder(steps, now);
    std::vector<JobNumber> order;
    order.reserve(steps.size());
    for (const ReadyStep &step : steps) {
        order.push_back(step.job);
    }
    CHECK(order == std::vector<JobNumber>{3, 6, 2, 1, 4, 5});
    CHECK(deadlineStatus(late, now) == DeadlineStatus::Late);
    CHECK(deadlineStatus(hopeless, now) == DeadlineStatus::Expired);
}

TEST_CASE("Slopes of pairs are told apart")
{
    PairInterference model;
    Random random{testSeed()};
    TimePoint now{1'000};
    for (int i = 0; i < 400; ++i) {
        const SpareCpuShares shares{{"a", random.unit() * 0.4}, {"b", random.unit() * 0.4}};
        addTailSample(model, "lasting", 0.4 + 5.0 * shares.at("a") + 0.1 * (random.unit() - 0.5), shares);
        now = now + Duration{50};
        refitInterference(model, now);
    }
    CHECK(interferenceSlope(model, "lasting", "a") > 4.0);
    CHECK(interferenceSlope(model, "lasting", "b") < 0.5);
    CHECK(expectedTailRatio(model, "lasting", {}) < 0.6);
}
