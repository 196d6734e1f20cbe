/** @file eviction_test.cpp Tests of throttling, victim selection, the eviction budget and drains. */

#include "job/evict_func.h"
#include "job/eviction_budget.h"
#include "job/throttle_state.h"
#include "job_world.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;
using namespace Filbertlanding::JobWorld;

namespace {

std::uint32_t countCommitted(const World &world, EvictReason reason)
{
    std::set<std::pair<JobId, std::uint64_t>> keys;
    for (const JobProposal &proposal : world.proposals) {
        if (proposal.kind == ProposalKind::Evict && proposal.reason == reason) {
            keys.insert({proposal.job, proposal.epoch});
        }
    }
    return static_cast<std::uint32_t>(keys.size());
}

} // namespace

TEST_CASE("Throttling has hysteresis and takes one step at a time")
{
    ThrottleSettings settings;
    ThrottleState state;
    const WorkerPressure over{1.4, 0.5, 0.5};
    const WorkerPressure between{0.8, 0.5, 0.5};
    const WorkerPressure under{0.2, 0.5, 0.5};
    std::int64_t ms = 10'000;
    const auto next = [&](const WorkerPressure &pressure, bool throttled, bool canThrottle) {
        ms += 1000;
        return nextThrottleAction(state, pressure, throttled, canThrottle, settings, {ms});
    };
    // A single outlier, or a measurement that oscillates around the limit, triggers no step.
    for (int i = 0; i < 10; ++i) {
        CHECK(next(over, false, true) == ThrottleAction::None);
        CHECK(next(between, false, true) == ThrottleAction::None);
    }
    CHECK(next(over, false, true) == ThrottleAction::None);
    CHECK(next(over, false, true) == ThrottleAction::Throttle);
    recordThrottleStep(state, {ms});
    // A measurement from before the step took effect does not trigger the next step.
    CHECK(next(over, true, false) == ThrottleAction::None);
    CHECK(next(over, true, false) == ThrottleAction::None);
    CHECK(next(over, true, false) == ThrottleAction::Evict);
    recordThrottleStep(state, {ms});
    ms += 5000;
    CHECK(next(under, true, true) == ThrottleAction::None);
    CHECK(next(under, true, true) == ThrottleAction::None);
    CHECK(next(under, true, true) == ThrottleAction::Unthrottle);
    // Throttling releases no memory, so memory overload leads to an eviction.
    state = {};
    CHECK(next({0.1, 0.5, 1.2}, false, true) == ThrottleAction::None);
    CHECK(next({0.1, 0.5, 1.2}, false, true) == ThrottleAction::Evict);
}

TEST_CASE("The cheapest victim is evicted first and no job is evicted without limit")
{
    EvictSettings settings;
    const TimePoint now{1'000'000};
    std::vector<Victim> victims(3);
    victims[0] = {0, false, true, {400'000}, {600'000}, 0.2};
    victims[1] = {0, false, true, {990'000}, {10'000}, 0.2};
    victims[2] = {0, true, true, {999'000}, {1000}, 0.2};
    CHECK(chooseVictim(victims, settings, now) == 1);
    victims[1].evictions = 1;
    CHECK(chooseVictim(victims, settings, now) == 0);
    victims[0].evictions = settings.maxEvictions;
    CHECK(chooseVictim(victims, settings, now) == -1);
    // The cooldown doubles: 60 s after the first eviction, 120 s after the second.
    Victim victim{2, false, true, now, {0}, 1};
    CHECK_FALSE(mayEvict(victim, settings, now + Duration{119'999}));
    CHECK(mayEvict(victim, settings, now + Duration{120'000}));
    settings.limitEvictionsPerJob = false;
    CHECK(mayEvict(victim, settings, now));
}

TEST_CASE("The eviction budget is a sliding window for each service")
{
    EvictionBudget budget;
    budget.settings.perWindow = 2;
    for (const std::int64_t ms : {0, 30'000}) {
        CHECK(hasEvictionBudget(budget, 3, {ms}));
        recordEviction(budget, 3, {ms});
    }
    CHECK_FALSE(hasEvictionBudget(budget, 3, {59'999}));
    CHECK(hasEvictionBudget(budget, 1, {59'999}));
    CHECK(hasEvictionBudget(budget, 3, {60'000}));
    recordEviction(budget, 3, {60'000});
    CHECK_FALSE(hasEvictionBudget(budget, 3, {89'999}));
    budget.settings.enabled = false;
    CHECK(hasEvictionBudget(budget, 3, {89'999}));
}

TEST_CASE("Eviction limits are set per service, and the placement policy per shard")
{
    // Guards against a configured maxEvictionsPerMinute or policy that has no effect.
    ShardSettings settings;
    auto shard = makeJobShard(settings, {0});
    REQUIRE(shard);
    shardSetEvictionLimit(*shard, "surveys", 1);
    const auto surveys = static_cast<ServiceIndex>(shard->services.intern("surveys"));
    const auto other = static_cast<ServiceIndex>(shard->services.intern("quote-desk"));
    for (const ServiceIndex service : {surveys, other}) {
        CHECK(hasEvictionBudget(shard->budget, service, {0}));
        recordEviction(shard->budget, service, {0});
    }
    CHECK_FALSE(hasEvictionBudget(shard->budget, surveys, {1}));
    CHECK(hasEvictionBudget(shard->budget, other, {1}));

    SUBCASE("an unknown policy leaves the current one in place")
    {
        const auto *before = shard->policy;
        CHECK(shardSetPolicy(*shard, "first-fit", 0.1));
        CHECK(shard->policy != before);
        CHECK_FALSE(shardSetPolicy(*shard, "no-such-policy", 0.1));
        CHECK(shard->policy != nullptr);
    }
}

TEST_CASE("Usage that grows after the start is throttled, then evicted, within the budget")
{
    // The capacity guarantee holds for the sizes charged at placement. If the class uses more afterwards, the worker is brought back under
    // its capacity step by step, and evicted jobs resume from their checkpoints.
    WorldSettings settings;
    settings.shards = 1;
    settings.workers = 4;
    World world(settings);
    for (int i = 0; i < 40; ++i) {
        world.submit("job" + std::to_string(i), specOf("survey", 2000, 4000), 120'000);
    }
    world.run(40'000);
    for (FakeWorker &worker : world.workers) {
        for (auto &[key, task] : worker.tasks) {
            task.use.memoryMb = 16'000;
        }
    }
    for (auto &[id, job] : world.jobs) {
        job.use.memoryMb = 16'000;
    }
    std::uint32_t last = 0;
    for (int i = 0; i < 10; ++i) {
        world.run(60'000);
        const std::uint32_t evicted = countCommitted(world, EvictReason::Interference);
        CHECK(evicted - last <= settings.shard.budget.perWindow + 1); // An eviction of the previous window may be committed in this one.
        last = evicted;
    }
    CHECK(last > 0);
    world.run(600'000);
    CHECK(world.violations.empty());
    for (const auto &[id, job] : world.jobs) {
        CHECK(job.finishes == 1);
        CHECK(job.evictions <= 3);
    }
}

TEST_CASE("A drain evicts in waves and ends at its limit")
{
    WorldSettings settings;
    settings.shards = 1;
    World world(settings);
    for (int i = 0; i < 20; ++i) {
        world.submit("job" + std::to_string(i), specOf("survey", 1000, 1000), 900'000);
    }
    world.run(30'000);
    const auto running = [&world]() {
        std::uint32_t count = 0;
        for (const auto &[id, job] : world.jobs) {
            count += world.liveCopies(id);
        }
        return count;
    };
    REQUIRE(running() == 20);

    SUBCASE("without spare capacity in other zones nothing is evicted before the limit")
    {
        world.drain(true, {60'000}, 0);
        world.run(55'000);
        CHECK(running() == 20);
        world.run(10'000);
        CHECK(running() == 0);
    }

    SUBCASE("with spare capacity the eviction budget limits the rate")
    {
        world.drain(true, {600'000}, 1'000'000);
        world.run(30'000);
        CHECK(running() == 20 - settings.shard.budget.perWindow);
        world.run(60'000);
        CHECK(running() == 20 - 2 * settings.shard.budget.perWindow);
    }
    CHECK(world.violations.empty());
}
