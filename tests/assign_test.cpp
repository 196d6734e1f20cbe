/** @file assign_test.cpp Tests of the leader's choice of daemons and of drain plans. */

#include "catalog/assign_func.h"
#include "catalog/catalog_func.h"
#include "core/random.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Filbertlanding;

namespace {

ResultCode apply(Catalog &catalog, const LogCommand &command)
{
    return applyCommand(catalog, command, catalog.appliedIndex + 1).code;
}

Catalog makeCatalog(const std::string &text)
{
    Catalog catalog;
    REQUIRE(apply(catalog, ChangeFiles{ChangeKind::Put, {{"base", text}}, 0, "base", "abebe", {}}) == ResultCode::Ok);
    return catalog;
}

void submit(Catalog &catalog, const JobId &id, const TeamName &team, std::int64_t cpuMillis, std::uint32_t tasks = 1, bool urgent = false)
{
    apply(catalog, SubmitJob{id, id, {"survey", team, "slab", {cpuMillis, 1, 0}, 0, urgent, tasks}});
}

ShardLoad makeShard(const DaemonName &daemon, std::int64_t cpuMillis)
{
    const Resources all{cpuMillis, 1'000'000, 0};
    ShardLoad shard;
    shard.daemon = daemon;
    shard.zone = daemon.substr(0, daemon.find('-'));
    shard.alive = true;
    shard.batchCapacity = all;
    shard.freeBatch = all;
    shard.largestFreeWorker = all;
    shard.workerShapes = {all};
    return shard;
}

std::map<DaemonName, std::int64_t> cpuByDaemon(const Catalog &catalog)
{
    std::map<DaemonName, std::int64_t> used;
    for (const auto &[id, job] : catalog.jobs.jobs) {
        for (const auto &assignment : job.assignments) {
            used[assignment.daemon] += job.spec.size.cpuMillis * assignment.tasks.count();
        }
    }
    return used;
}

std::map<TeamName, std::int64_t> cpuByTeam(const Catalog &catalog)
{
    std::map<TeamName, std::int64_t> used;
    for (const auto &[id, job] : catalog.jobs.jobs) {
        for (const auto &assignment : job.assignments) {
            used[job.spec.team] += job.spec.size.cpuMillis * assignment.tasks.count();
        }
    }
    return used;
}

constexpr const char *Teams = R"({"services": {"survey": {"maxEvictionsPerMinute": 2}},
    "teams": {"field": {}, "office": {"weight": 3}, "small": {"quotaCpuMillis": 2500}},
    "availabilityZones": {"kazanchis": {"state": "drained", "drainLimitMs": 1000}}})";

} // namespace

TEST_CASE("Random rounds of assignments")
{
    // Guards against overfull daemons, exceeded quotas, work in drained zones, and proposals that the catalog refuses.
    CHECK(rc::check([] {
        Random random{*rc::gen::arbitrary<std::uint64_t>()};
        auto catalog = makeCatalog(Teams);
        AssignInput input;
        for (const auto *daemon : {"bole-1", "piassa-1", "kazanchis-1"}) {
            input.shards.push_back(makeShard(daemon, static_cast<std::int64_t>(random.below(20'000))));
        }
        for (int round = 0; round < 4; ++round) {
            for (auto count = random.below(6); count > 0; --count) {
                const auto id = "j" + std::to_string(random.below(1000));
                const TeamName team = random.below(3) == 0 ? "field" : (random.below(2) == 0 ? "office" : "small");
                submit(catalog, id, team, static_cast<std::int64_t>(random.below(3000)), 1 + static_cast<std::uint32_t>(random.below(5)), random.below(3) == 0);
            }
            for (const auto &command : assignJobs(catalog, input)) {
                RC_ASSERT(apply(catalog, command) == ResultCode::Ok);
            }
            auto used = cpuByDaemon(catalog);
            for (const auto &shard : input.shards) {
                RC_ASSERT(used[shard.daemon] <= shard.batchCapacity.cpuMillis);
            }
            RC_ASSERT(used["kazanchis-1"] == 0);
            RC_ASSERT(cpuByTeam(catalog)["small"] <= 2500);
        }
    }));
}

TEST_CASE("Who goes first")
{
    auto catalog = makeCatalog(Teams);
    AssignInput input;
    input.shards = {makeShard("bole-1", 10'000)};
    const auto run = [&] {
        auto commands = assignJobs(catalog, input);
        for (const auto &command : commands) {
            REQUIRE(apply(catalog, command) == ResultCode::Ok);
        }
        return commands;
    };

    SUBCASE("urgent jobs go first, and only they use the reserved share")
    {
        submit(catalog, "a", "field", 1000, 20);
        run();
        CHECK(cpuByDaemon(catalog)["bole-1"] == 9000);
        submit(catalog, "b", "field", 1000, 5, true);
        run();
        CHECK(cpuByDaemon(catalog)["bole-1"] == 10'000);
        CHECK(catalog.jobs.jobs.at("b").assignments.size() == 1);
    }

    SUBCASE("teams share the room by their weights, although one asked first for everything")
    {
        input.reservedPercent = 0;
        input.shards = {makeShard("bole-1", 40'000)};
        submit(catalog, "a", "field", 100, 1000);
        submit(catalog, "b", "office", 100, 1000);
        run();
        auto used = cpuByTeam(catalog);
        CHECK(used["field"] + used["office"] == 40'000);
        CHECK(used["field"] >= 8000);
        CHECK(used["office"] >= 20'000);
    }

    SUBCASE("load ramps up after a zone's return")
    {
        input.shards[0].rampUp = 0.4;
        input.reservedPercent = 0;
        submit(catalog, "a", "field", 1000, 20);
        run();
        CHECK(cpuByDaemon(catalog)["bole-1"] == 4000);
    }

    SUBCASE("a job that fits no worker is failed once all daemons are known, naming the resource")
    {
        submit(catalog, "a", "field", 50'000);
        CHECK(run().empty());
        input.allShardsKnown = true;
        run();
        CHECK(catalog.jobs.jobs.at("a").reasonCode == ResultCode::FitsNoWorker);
        CHECK(catalog.jobs.jobs.at("a").reason == "cpuMillis does not fit: a task needs 50000, the largest worker has 10000");
    }

    SUBCASE("jobs of a dead daemon move only after its running lease has ended")
    {
        input.shards.push_back(makeShard("piassa-1", 10'000));
        input.shards[0].freeBatch.cpuMillis = 20'000;
        submit(catalog, "a", "field", 1000);
        run();
        REQUIRE(catalog.jobs.jobs.at("a").assignments.at(0).daemon == "bole-1");
        apply(catalog, CheckpointJob{"a", 1, "half"});
        input.shards[0].alive = false;
        CHECK(run().empty());
        input.shards[0].mayReassign = true;
        run();
        const auto &assignment = catalog.jobs.jobs.at("a").assignments.at(0);
        CHECK(assignment.epoch == 2);
        CHECK(assignment.daemon == "piassa-1");
        CHECK(assignment.resumeCheckpoint == "half");
    }
}
