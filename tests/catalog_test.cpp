/** @file catalog_test.cpp Tests of the replicated state. */

#include "catalog/operation_table.h"
#include "catalog_fixture.h"
#include "core/random.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

using namespace Filbertlanding;

namespace {

/** A catalog with something of everything, for the encoding. */
Catalog makeFullCatalog()
{
    CatalogFixture fixture;
    fixture.apply(DaemonLifeCycleEvent{"bole-1", 1, true});
    fixture.change("bad", 1, R"({"teams": 1})");
    fixture.change("late", 0, "{}");
    fixture.submit("j1", 4);
    fixture.submit("j2");
    fixture.submit("j3");
    fixture.assign("j1", 1, {0, 3});
    fixture.apply(FinishTasks{"j1", 1, {{0, 1}, {2, 3}}, "half"});
    fixture.apply(EvictJob{"j1", 1, "checkpoint", EvictCause::Eviction});
    fixture.assign("j1", 2, {1, 2}, 1);
    fixture.assign("j2", 1, {0, 1});
    fixture.apply(EvictJob{"j2", 1, "more", EvictCause::Eviction});
    fixture.apply(FailJob{"j3", 0, ResultCode::FitsNoWorker, "memoryMb"});
    fixture.change("drain", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}, "services": {"survey": {"state": "closed"}}})");
    fixture.apply(FinalCounters{"survey", "bole-1", 1, 1, "counts"});
    fixture.apply(DaemonLifeCycleEvent{"bole-1", 2, true});
    fixture.apply(AcceptGap{"quote-desk", "bole-1", 1, "gap", "abebe", {7}});
    return fixture.catalog;
}

} // namespace

TEST_CASE("Two operators change the configuration at the same version")
{
    CatalogFixture fixture;
    const auto won = fixture.change("drain-bole", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}})", 100);
    const auto lost = fixture.change("close-survey", 1, R"({"services": {"survey": {"state": "closed"}}})", 100);

    SUBCASE("exactly one change is accepted and the other operator learns which")
    {
        CHECK(won.code == ResultCode::Ok);
        CHECK(won.version == 2);
        CHECK(lost.code == ResultCode::VersionConflict);
        CHECK(lost.winner == "drain-bole");
        CHECK(lost.winnerOperator == "abebe");
        CHECK(lost.winnerFiles == std::vector<std::string>{"file-drain-bole"});
        CHECK(fixture.catalog.intent.configuration.services.at("survey").state == ServiceState::Open);
        CHECK(fixture.catalog.intent.history.back().drained == std::vector<ZoneName>{"bole"});
    }

    SUBCASE("a resend gets the first answer, also after a restart from a snapshot and after later changes")
    {
        // Guards against a change that is applied twice, or refused on the resend although it was accepted.
        fixture.change("later", 2, "{}");
        fixture.restoreFromSnapshot();
        CHECK(fixture.change("drain-bole", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}})", 999) == won);
        CHECK(fixture.change("close-survey", 1, R"({"services": {"survey": {"state": "closed"}}})", 999) == lost);
        CHECK(fixture.catalog.intent.version == 3);
        CHECK(fixture.change("drain-bole", 3, "{}").code == ResultCode::OperationIdReused);
    }

    SUBCASE("an invalid change or sync changes nothing and names file and pointer")
    {
        const auto before = fixture.catalog.intent;
        const auto sync = fixture.apply(ChangeFiles{ChangeKind::Sync, {{"a", "{}"}, {"b", R"({"teams": {"field": {"weight": 0}}})"}}, 2, "sync", "abebe", {}});
        CHECK(sync.code == ResultCode::IntentInvalid);
        REQUIRE(sync.errors.size() == 1);
        CHECK(sync.errors[0].file == "b");
        CHECK(sync.errors[0].pointer == "/teams/field/weight");
        CHECK(fixture.apply(ChangeFiles{ChangeKind::Remove, {{"file-base", ""}, {"no-such", ""}}, 2, "remove", "abebe", {}}).code == ResultCode::NotFound);
        CHECK(fixture.catalog.intent == before);

        const auto accepted = fixture.apply(ChangeFiles{ChangeKind::Sync, {{"only", BaseFile}}, 2, "sync-2", "abebe", {}});
        CHECK(accepted.code == ResultCode::Ok);
        CHECK(fixture.catalog.intent.files == std::map<std::string, std::string>{{"only", BaseFile}});
        CHECK(fixture.catalog.intent.history.back().returned == std::vector<ZoneName>{"bole"});
    }
}

TEST_CASE("Operation ids are bounded by age, count and memory")
{
    OperationTable table;
    CommandResult result;
    for (std::uint64_t i = 1; i <= MaxOperations + 5; ++i) {
        recordResult(table, std::to_string(i), i, i, result);
    }
    CHECK(table.records.size() == MaxOperations);
    CHECK_FALSE(findResult(table, "5", 5));
    CHECK(findResult(table, "6", 6));
    recordResult(table, "late", 0, MaxOperationAge + 100, result);
    CHECK_FALSE(findResult(table, "99", 99));
    CHECK(findResult(table, "100", 100));
    result.message = std::string(MaxOperationBytes / 2, 'x');
    recordResult(table, "large-1", 0, MaxOperationAge + 101, result);
    recordResult(table, "large-2", 0, MaxOperationAge + 102, result);
    CHECK(table.records.size() == 1);
    CHECK(table.bytes <= MaxOperationBytes);
}

TEST_CASE("The life of a survey")
{
    CatalogFixture fixture;
    REQUIRE(fixture.submit("j1").code == ResultCode::Ok);

    SUBCASE("a resend of the submission through another daemon gets the id of the first job")
    {
        auto resend = fixture.submit("j2");
        CHECK(resend.job == "j2");
        resend = fixture.apply(SubmitJob{"submit-j1", "other", {"survey", "field", "slab", {1000, 100, 0}, 0, false, 1}});
        CHECK(resend.code == ResultCode::Ok);
        CHECK(resend.job == "j1");
        CHECK(fixture.catalog.jobs.jobs.size() == 2);
    }

    SUBCASE("a resent command is answered like the first one")
    {
        CHECK(fixture.assign("j1", 1, {0, 1}) == ResultCode::Ok);
        CHECK(fixture.assign("j1", 1, {0, 1}) == ResultCode::Ok);
        CHECK(fixture.assign("j1", 1, {0, 1}, 0, "bole-2") == ResultCode::StaleEpoch);
        CHECK(fixture.apply(FinishTasks{"j1", 1, {{0, 1}}, "done"}).code == ResultCode::Ok);
        CHECK(fixture.apply(FinishTasks{"j1", 1, {{0, 1}}, "done"}).code == ResultCode::Ok);
        CHECK(fixture.apply(FinishTasks{"j1", 2, {{0, 1}}, "other"}).code == ResultCode::JobFinished);
        CHECK(fixture.catalog.jobs.jobs.at("j1").result == "done");
        CHECK(fixture.apply(CancelJob{"j1"}).code == ResultCode::JobFinished);
    }

    SUBCASE("when a daemon dies, the job resumes from its last committed checkpoint")
    {
        fixture.assign("j1", 1, {0, 1});
        fixture.apply(CheckpointJob{"j1", 1, "half way"});
        fixture.apply(EvictJob{"j1", 1, "", EvictCause::LeaseEnded});
        CHECK(fixture.assign("j1", 2, {0, 1}, 1) == ResultCode::Ok);
        CHECK(fixture.catalog.jobs.jobs.at("j1").assignments[0].resumeCheckpoint == "half way");
        CHECK(fixture.catalog.jobs.jobs.at("j1").evictions == 0);
    }

    SUBCASE("nothing is assigned into a drained zone, even by a leader with an old view")
    {
        fixture.change("drain", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}})");
        CHECK(fixture.assign("j1", 1, {0, 1}) == ResultCode::ZoneDrained);
        CHECK(fixture.assign("j1", 1, {0, 1}, 0, "piassa-1") == ResultCode::Ok);
    }

    SUBCASE("submissions are checked against the configuration and the bounds")
    {
        const JobSpec good{"survey", "field", "slab", {1, 1, 0}, 0, false, 1};
        int number = 0;
        const auto submit = [&fixture, &number](const JobSpec &spec) {
            const auto name = "x" + std::to_string(++number);
            return fixture.apply(SubmitJob{name, name, spec}).code;
        };
        const auto with = [&good](auto change) {
            auto spec = good;
            change(spec);
            return spec;
        };
        CHECK(submit(good) == ResultCode::Ok);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.service = "none";
              }))
              == ResultCode::ServiceUnknown);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.team = "none";
              }))
              == ResultCode::TeamUnknown);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.taskCount = MaxTasksPerJob + 1;
              }))
              == ResultCode::OutOfRange);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.size.memoryMb = -1;
              }))
              == ResultCode::OutOfRange);
        fixture.change("close", 1, R"({"services": {"survey": {"state": "closed"}}})");
        CHECK(submit(good) == ResultCode::ServiceClosed);
    }

    SUBCASE("records of ended jobs are dropped, but stay in the tally")
    {
        const auto total = MaxTerminalJobs + 10;
        for (std::size_t i = 0; i < total; ++i) {
            const auto id = "n" + std::to_string(i);
            fixture.submit(id);
            fixture.apply(CancelJob{id});
        }
        CHECK(fixture.catalog.jobs.jobs.size() == MaxTerminalJobs + 1);
        CHECK_FALSE(fixture.catalog.jobs.jobs.contains("n9"));
        CHECK(fixture.catalog.jobs.tallies.at({"survey", "field", ""}) == JobTally{total + 1, 0, 0, total, 0, 0});
    }
}

TEST_CASE("Final counters and gaps")
{
    CatalogFixture fixture;
    const auto &served = fixture.catalog.services.services;
    fixture.apply(DaemonLifeCycleEvent{"bole-1", 5, true});
    CHECK(fixture.apply(DaemonLifeCycleEvent{"bole-1", 4, true}).code == ResultCode::StaleEpoch);
    CHECK(fixture.apply(FinalCounters{"survey", "piassa-1", 1, 1, "x"}).code == ResultCode::NotFound);
    CHECK(fixture.apply(AcceptGap{"survey", "bole-1", 5, "gap-0", "abebe", {}}).code == ResultCode::GapNotFound);

    SUBCASE("a late duplicate does not replace newer counts")
    {
        CHECK(fixture.apply(FinalCounters{"survey", "bole-1", 5, 2, "new"}).code == ResultCode::Ok);
        CHECK(fixture.apply(FinalCounters{"survey", "bole-1", 5, 1, "old"}).code == ResultCode::StaleEpoch);
        CHECK(served.at("survey").served.at({"bole-1", 5}).counters == "new");
    }

    SUBCASE("a daemon that died is missing until its gap is accepted; a late resend of its start does not revive it")
    {
        fixture.apply(DaemonLifeCycleEvent{"bole-1", 6, true});
        CHECK(fixture.apply(AcceptGap{"survey", "bole-1", 5, "gap", "abebe", {3}}).code == ResultCode::Ok);
        CHECK(fixture.apply(AcceptGap{"survey", "bole-1", 7, "gap-7", "abebe", {3}}).code == ResultCode::GapNotFound);
        CHECK(served.at("survey").served.at({"bole-1", 5}).gapAccepted);
        fixture.apply(DaemonLifeCycleEvent{"bole-1", 6, false});
        fixture.apply(DaemonLifeCycleEvent{"bole-1", 6, true});
        CHECK_FALSE(fixture.catalog.services.daemons.at("bole-1").running);
    }

    SUBCASE("counts that were final at a close are awaited again when the service reopens")
    {
        fixture.change("close", 1, R"({"services": {"survey": {"state": "closed"}}})");
        fixture.apply(FinalCounters{"survey", "bole-1", 5, 1, "x"});
        CHECK(served.at("survey").closedVersion == 2);
        fixture.change("open", 2, R"({"services": {"survey": {"state": "open"}}})");
        CHECK_FALSE(served.at("survey").served.at({"bole-1", 5}).delivered);
        fixture.apply(FinalCounters{"survey", "bole-1", 5, 1, "x"});
        CHECK_FALSE(served.at("survey").served.at({"bole-1", 5}).delivered);
        fixture.apply(FinalCounters{"survey", "bole-1", 5, 2, "y"});
        CHECK(served.at("survey").served.at({"bole-1", 5}).delivered);
    }
}

TEST_CASE("Encoding")
{
    const auto catalog = makeFullCatalog();
    const auto snapshot = encodeCatalog(catalog);
    const std::vector<LogCommand> commands{ChangeFiles{ChangeKind::Sync, {{"a", "{}"}}, 3, "op", "abebe", {5}},
                                           SubmitJob{"op", "j", {"s", "t", "c", {1, 2, 3}, -4, true, 5}},
                                           AssignJob{"j", 1, "d", "z", {2, 3}, 4},
                                           CheckpointJob{"j", 1, "c"},
                                           EvictJob{"j", 1, "c", EvictCause::LeaseEnded},
                                           FinishTasks{"j", 1, {{1, 2}, {4, 9}}, "r"},
                                           FailJob{"j", 1, ResultCode::FitsNoWorker, "why"},
                                           CancelJob{"j"},
                                           DaemonLifeCycleEvent{"d", 1, false},
                                           FinalCounters{"s", "d", 1, 2, "c"},
                                           AcceptGap{"s", "d", 1, "op", "abebe", {6}}};

    SUBCASE("a snapshot and every command survive the round trip")
    {
        const auto decoded = decodeCatalog(snapshot);
        REQUIRE(decoded.code == ResultCode::Ok);
        CHECK(decoded.value == catalog);
        for (const auto &command : commands) {
            const auto bytes = encodeCommand(command);
            const auto again = decodeCommand(bytes);
            REQUIRE(again.code == ResultCode::Ok);
            CHECK(again.value.index() == command.index());
            CHECK(encodeCommand(again.value) == bytes);
        }
        CHECK(std::get<SubmitJob>(decodeCommand(encodeCommand(commands[1])).value).spec == std::get<SubmitJob>(commands[1]).spec);
    }

    SUBCASE("damaged bytes are refused or decode to something that can be encoded again")
    {
        // Guards against a crash, an endless allocation or an invalid enumerator from a hostile peer or a bad disk.
        Random random{testSeed()};
        int refused = 0;
        for (int round = 0; round < 20'000; ++round) {
            const bool isSnapshot = round % 4 == 0;
            auto bytes = isSnapshot ? snapshot : encodeCommand(commands[random.below(commands.size())]);
            for (auto damages = 1 + random.below(3); damages > 0; --damages) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(3) == 0 ? 0xff : random.next());
            }
            bytes.resize(random.below(3) == 0 ? random.below(bytes.size()) : bytes.size());
            if (isSnapshot) {
                const auto decoded = decodeCatalog(bytes);
                refused += decoded.code == ResultCode::Ok ? 0 : 1;
                const bool isStable = decoded.code != ResultCode::Ok || decodeCatalog(encodeCatalog(decoded.value)).value == decoded.value;
                REQUIRE(isStable);
            } else {
                const auto decoded = decodeCommand(bytes);
                refused += decoded.code == ResultCode::Ok ? 0 : 1;
                const bool isStable =
                    decoded.code != ResultCode::Ok || encodeCommand(decodeCommand(encodeCommand(decoded.value)).value) == encodeCommand(decoded.value);
                REQUIRE(isStable);
                Catalog target = catalog;
                applyCommand(target, decoded.value, catalog.appliedIndex + 1);
            }
        }
        CHECK(refused > 5'000);
    }

    SUBCASE("every truncation, a size that announces gigabytes, another version and an oversized command are refused")
    {
        for (std::size_t length = 0; length < snapshot.size(); ++length) {
            REQUIRE(decodeCatalog(std::string_view(snapshot).substr(0, length)).code == ResultCode::FrameCorrupt);
        }
        auto hostile = encodeCommand(commands[7]);
        hostile.replace(5, 4, "\xff\xff\xff\x7f");
        CHECK(decodeCommand(hostile).code == ResultCode::FrameCorrupt);
        CHECK(decodeCommand("\x02").code == ResultCode::VersionUnsupported);
        CHECK(decodeCommand(encodeCommand(commands[7]) + "x").code == ResultCode::FrameCorrupt);
        CHECK(decodeCommand(std::string(MaxCommandBytes + 1, '\x01')).code == ResultCode::TooLarge);
    }
}
