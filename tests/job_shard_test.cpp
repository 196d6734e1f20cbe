/** @file job_shard_test.cpp Tests of the job shard with lost, duplicate and delayed messages, crashes and drains. */

#include "job/job_shard_func.h"
#include "job_world.h"
#include "test_seed.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Filbertlanding;
using namespace Filbertlanding::JobWorld;

namespace {

/** Injects one random fault. */
void injectRandomFault(World &world)
{
    Random &random = world.random;
    const auto daemonIndex = static_cast<std::uint32_t>(random.below(world.daemons.size()));
    FakeDaemon &daemon = *world.daemons[daemonIndex];
    FakeWorker &worker = world.workers[random.below(world.workers.size())];
    switch (random.below(7)) {
    case 0:
        worker.alive = false;
        break;
    case 1:
        if (!worker.alive) {
            world.restartWorker(worker);
        }
        break;
    case 2:
        daemon.alive = false;
        break;
    case 3:
        world.startDaemon(daemonIndex, true);
        break;
    case 4:
        daemon.connected = !daemon.connected;
        break;
    case 5:
        // The worker leaves its owner, as after a connection timeout.
        worker.answeredAt -= 6000;
        break;
    default:
        world.drain(!daemon.drained, {5000}, 4000);
        break;
    }
}

void clearFaults(World &world)
{
    world.settings.lossPercent = 0;
    world.settings.duplicatePercent = 0;
    world.settings.maxDelayMs = 5;
    world.drain(false);
    for (std::uint32_t i = 0; i < world.daemons.size(); ++i) {
        world.daemons[i]->connected = true;
        if (!world.daemons[i]->alive) {
            world.startDaemon(i, true);
        }
    }
    for (FakeWorker &worker : world.workers) {
        if (!worker.alive) {
            world.restartWorker(worker);
        }
    }
}

std::string firstViolation(const World &world)
{
    return world.violations.empty() ? std::string{} : world.violations.front();
}

} // namespace

TEST_CASE("Life cycle of an attempt")
{
    SUBCASE("every state is restored from its id")
    {
        // Guards against a change of the transition table that changes the MSM state ids.
        for (const auto &row : AttemptStateNames.rows) {
            CHECK(nextAttemptState(row.value, AttemptEvent::CommandSent) == (row.value == AttemptState::Assigned ? AttemptState::Starting : row.value));
        }
        CHECK(nextAttemptState(AttemptState::Starting, AttemptEvent::ReportedRunning) == AttemptState::Running);
        CHECK(nextAttemptState(AttemptState::Running, AttemptEvent::ThrottleRequested) == AttemptState::Throttled);
        CHECK(nextAttemptState(AttemptState::Throttled, AttemptEvent::CheckpointRequested) == AttemptState::Checkpointing);
        CHECK(nextAttemptState(AttemptState::Checkpointing, AttemptEvent::Stopped) == AttemptState::Evicted);
        CHECK(nextAttemptState(AttemptState::Checkpointing, AttemptEvent::Succeeded) == AttemptState::Finished);
        CHECK(nextAttemptState(AttemptState::Throttled, AttemptEvent::ReportedFailed) == AttemptState::Failed);
        CHECK(nextAttemptState(AttemptState::Checkpointing, AttemptEvent::LeaseExpired) == AttemptState::Lost);
    }

    SUBCASE("nothing leaves a terminal state")
    {
        // Guards against a late report that reactivates an ended attempt.
        for (const auto &row : AttemptStateNames.rows) {
            for (int event = 0; isTerminal(row.value) && event <= static_cast<int>(AttemptEvent::LeaseExpired); ++event) {
                CHECK(nextAttemptState(row.value, static_cast<AttemptEvent>(event)) == row.value);
            }
        }
    }

    SUBCASE("the record of a running task stays below 1 KB")
    {
        CHECK(sizeof(ShardTask) + sizeof(TaskKey) + 64 < 1024);
    }
}

TEST_CASE("A job never runs on two workers at once and finishes exactly once")
{
    // Guards P2 and P3 under combinations of all simulated faults: loss, duplication, delay, reordering, clock drift, crashed workers and
    // daemons, restarts, partitions, owner changes, drains. After the faults every job must still end, so that none is stuck.
    const bool held = rc::check("faults in any combination", []() {
        WorldSettings settings;
        settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000'000);
        settings.lossPercent = *rc::gen::element<std::uint32_t>(0, 10, 40);
        settings.duplicatePercent = *rc::gen::element<std::uint32_t>(0, 30);
        settings.maxDelayMs = *rc::gen::element<std::int64_t>(5, 700, 4000);
        settings.drift = true;
        World world(settings);
        for (int i = 0; i < 12; ++i) {
            BatchSpec spec = specOf("class" + std::to_string(i % 3), 1500, 2000);
            spec.urgent = i % 5 == 0;
            spec.taskCount = i % 4 == 3 ? 6 : 1;
            world.submit("job" + std::to_string(i), spec, 3000 + 2500 * i);
        }
        for (int i = 0; i < 40; ++i) {
            world.run(static_cast<std::int64_t>(500 + world.random.below(3500)));
            if (world.random.below(3) == 0) {
                injectRandomFault(world);
            }
        }
        clearFaults(world);
        world.run(240'000);
        RC_ASSERT(firstViolation(world) == std::string{});
        RC_ASSERT(world.allEnded());
    });
    CHECK(held);
}

TEST_CASE("An evicted job resumes exactly once, whenever the daemon is killed")
{
    // Guards P3: the daemon is killed at each point between the checkpoint request, the commit and the resume.
    for (std::int64_t killAfter = 0; killAfter <= 4000; killAfter += 50) {
        CAPTURE(killAfter);
        WorldSettings settings;
        settings.workers = 3;
        settings.shards = 1;
        settings.seed = testSeed();
        World world(settings);
        world.submit("survey", specOf("survey", 4000, 8000), 20'000);
        world.run(12'000);
        REQUIRE(world.liveCopies("survey") == 1);
        world.drain(true, {0});
        world.run(killAfter / 2);
        world.drain(false);
        world.run(killAfter - killAfter / 2);
        world.killDaemon(0);
        world.run(300);
        world.startDaemon(0, true);
        world.run(90'000);
        const FakeJob &job = world.jobs["survey"];
        CHECK(firstViolation(world) == "");
        CHECK(job.finishes == 1);
        // Every epoch but the last ended with exactly one committed eviction, so no checkpoint was resumed twice.
        CHECK(job.epoch == static_cast<std::uint64_t>(job.evictions) + 1);
        const std::size_t resumes = world.startedOn.size();
        CHECK(resumes <= job.epoch);
    }
}

TEST_CASE("Nothing starts without freshness or in a drained zone")
{
    WorldSettings settings;
    settings.shards = 1;
    World world(settings);
    world.run(3000);

    SUBCASE("a daemon that has lost the leader starts nothing after 3 s, and its running tasks end with the running lease")
    {
        // Guards P4: a partitioned daemon cannot learn of a drain.
        world.submit("early", specOf("survey", 1000, 1000), 60'000);
        world.run(3000);
        CHECK(world.liveCopies("early") == 1);
        world.submit("late", specOf("survey", 1000, 1000), 60'000);
        world.run(50);
        world.daemons[0]->connected = false;
        world.daemons[0]->shard.freshUntil = world.daemonTime(*world.daemons[0]);
        world.run(25'000);
        CHECK(world.liveCopies("late") == 0);
        CHECK(world.liveCopies("early") == 1);
        world.run(6000);
        CHECK(world.liveCopies("early") == 0);
        CHECK(firstViolation(world) == "");
    }

    SUBCASE("a drain also stops tasks that are placed but not sent, and the job starts after the zone returns to service")
    {
        world.submit("survey", specOf("survey", 1000, 1000), 5000);
        world.run(250);
        world.drain(true);
        world.run(10'000);
        CHECK(world.startedOn.empty());
        CHECK(firstViolation(world) == "");
        world.drain(false);
        world.run(40'000);
        CHECK(world.jobs["survey"].finishes == 1);
    }

    SUBCASE("load returns gradually: after a quarter of the ramp, at most a quarter of the workers' capacity is used")
    {
        world.drain(true);
        world.run(1000);
        for (int i = 0; i < 40; ++i) {
            world.submit("survey" + std::to_string(i), specOf("survey", 2000, 1000), 200'000);
        }
        world.drain(false);
        world.run(7500);
        std::int64_t placed = 0;
        for (const auto &worker : world.workers) {
            placed += static_cast<std::int64_t>(worker.tasks.size()) * 2000;
        }
        CHECK(placed <= 6 * 32000 / 4);
        world.run(40'000);
        CHECK(world.startedOn.size() > 20);
    }
}

TEST_CASE("Cancelled jobs")
{
    // Guards against a burst of cancellations that takes one queue pass per job, and against a start after the cancellation.
    WorldSettings settings;
    settings.shards = 1;
    World world(settings);
    std::vector<JobId> ids;
    for (int i = 0; i < 1000; ++i) {
        ids.push_back("job" + std::to_string(i));
        world.submit(ids.back(), specOf("survey", 4000, 4000), 100'000);
    }
    world.run(2500);
    const std::uint64_t before = world.daemons[0]->shard.queue.visited;
    const std::size_t queued = queuedTasks(world.daemons[0]->shard.queue);
    CHECK(queued > 900);
    world.cancel(ids);
    CHECK(world.daemons[0]->shard.queue.visited - before == queued);
    CHECK(queuedTasks(world.daemons[0]->shard.queue) == 0);
    world.run(15'000);
    CHECK(firstViolation(world) == "");
    for (const JobId &id : ids) {
        CHECK(world.liveCopies(id) == 0);
    }
    CHECK(world.daemons[0]->shard.tasks.empty());
}

TEST_CASE("Faulty workers and faulty jobs")
{
    WorldSettings settings;
    settings.shards = 1;
    World world(settings);

    SUBCASE("a worker on which every task fails does not attract all jobs")
    {
        // Guards against a worker that fails tasks quickly, therefore always appears empty and attracts every job.
        world.workers[2].failsAll = true;
        for (int i = 0; i < 300; ++i) {
            world.submit("job" + std::to_string(i), specOf("survey", 3000, 3000), 4000);
            world.run(500);
        }
        world.run(60'000);
        CHECK(world.quarantined.size() == 1);
        CHECK(world.quarantined.contains("w2"));
        std::size_t wasted = 0;
        for (const auto &[key, names] : world.startedOn) {
            wasted += names.contains("w2") ? 1 : 0;
        }
        // The first placement pass may place as many tasks on it as fit.
        CHECK(wasted <= 32000 / 12000 + 3);
        for (const auto &[id, job] : world.jobs) {
            CHECK(job.finishes == 1);
        }
    }

    SUBCASE("a job that fails on 3 different healthy workers fails permanently with its reason")
    {
        // Guards against a job that is retried forever.
        world.submit("bad", specOf("broken", 1000, 1000), 4000).fails = true;
        for (int i = 0; i < 12; ++i) {
            world.submit("good" + std::to_string(i), specOf("survey", 1000, 1000), 2000);
        }
        world.run(60'000);
        CHECK(world.jobs["bad"].failed);
        CHECK(world.jobs["bad"].reason == "exit code 1");
        std::set<std::string> tried;
        for (const auto &[key, names] : world.startedOn) {
            if (key.first == "bad") {
                tried.insert(names.begin(), names.end());
            }
        }
        CHECK(tried.size() == 3);
        CHECK(world.quarantined.empty());
    }

    SUBCASE("the resource that no worker has enough of is reported")
    {
        const std::vector<Resources> capacities{{32000, 1000, 0}, {1000, 128000, 1}};
        CHECK(findInsufficientResource(capacities, {40000, 10, 0}) == "cpuMillis");
        CHECK(findInsufficientResource(capacities, {10, 10, 2}) == "accelerators");
        CHECK(findInsufficientResource(capacities, {20000, 64000, 0}) == "combination");
        CHECK_FALSE(findInsufficientResource(capacities, {20000, 500, 0}));
    }
}

TEST_CASE("Urgent tasks start within 7.8 s on a full shard")
{
    // Guards the bound of design 1.5, even if the reserved share is used up by other urgent tasks.
    WorldSettings settings;
    settings.shards = 1;
    settings.maxDelayMs = 100;
    World world(settings);
    for (int i = 0; i < 200; ++i) {
        world.submit("normal" + std::to_string(i), specOf("survey", 2000, 4000), 900'000);
    }
    world.run(60'000);
    for (int i = 0; i < 12; ++i) {
        BatchSpec spec = specOf("survey", 2000, 4000);
        spec.urgent = true;
        world.submit("urgent" + std::to_string(i), spec, 60'000);
    }
    world.run(7800);
    for (int i = 0; i < 12; ++i) {
        const FakeJob &job = world.jobs["urgent" + std::to_string(i)];
        CHECK(job.firstStartMs >= 0);
        CHECK(job.firstStartMs - job.submittedMs <= 7800);
    }
    CHECK(firstViolation(world) == "");
}

TEST_CASE("Teams share capacity by weight and within quotas")
{
    // Guards against a team that monopolises the shard with many jobs.
    WorldSettings settings;
    settings.shards = 1;
    World world(settings);
    for (auto &daemon : world.daemons) {
        shardUpdateTeam(daemon->shard, "small", 1, 0);
        shardUpdateTeam(daemon->shard, "large", 3, 0);
        shardUpdateTeam(daemon->shard, "bounded", 10, 8000);
    }
    for (int i = 0; i < 300; ++i) {
        BatchSpec spec = specOf("survey", 500, 500);
        spec.team = i % 3 == 0 ? "small" : (i % 3 == 1 ? "large" : "bounded");
        world.submit("job" + std::to_string(i), spec, 900'000);
    }
    world.run(5000);
    std::map<std::string, std::int64_t> running;
    for (const TeamQueue &team : world.daemons[0]->shard.queue.teams) {
        running[team.team] = team.runningCpuMillis;
    }
    CHECK(running["bounded"] <= 8000);
    CHECK(running["bounded"] > 0);
    CHECK(running["large"] == doctest::Approx(3 * running["small"]).epsilon(0.1));
}
