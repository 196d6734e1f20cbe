/** @file report_test.cpp Tests of the outcome counters and the final report. */

#include "catalog/catalog_func.h"
#include "core/random.h"
#include "report/final_report.h"
#include "report/outcome_counters.h"
#include "test_seed.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace Filbertlanding;

namespace {

const std::vector<ResultCode> Codes{
    ResultCode::Ok, ResultCode::WorkerFailed, ResultCode::QueueFull, ResultCode::DeadlineExpired, ResultCode::OutcomeUnknown, ResultCode::BadRequest};

OutcomeCounts drawCounts()
{
    Random random{*rc::gen::arbitrary<std::uint64_t>()};
    OutcomeCounts counts;
    for (auto i = random.below(6); i > 0; --i) {
        const TeamName team = random.below(2) == 0 ? "field" : "office";
        const auto code = Codes[random.below(Codes.size())];
        counts.received[{team, "bole"}] = 1 + random.below(9);
        counts.outcomes[{team, "bole", code}] = 1 + random.below(9);
        counts.latency["bole"].counts[random.below(4)] = 1 + random.below(9);
        counts.examples[code] = {std::to_string(random.below(9))};
    }
    return counts;
}

OutcomeCounts merged(OutcomeCounts left, const OutcomeCounts &right)
{
    mergeCounts(left, right);
    return left;
}

/** A catalog with one open service and running daemons. */
Catalog openCatalog(const std::vector<DaemonName> &daemons)
{
    Catalog catalog;
    const std::string text = R"({"services": {"quote-desk": {}}, "teams": {"field": {}}})";
    applyCommand(catalog, ChangeFiles{ChangeKind::Put, {{"base", text}}, 0, "open", "abebe", {}}, 1);
    for (const auto &daemon : daemons) {
        applyCommand(catalog, DaemonLifeCycleEvent{daemon, 1, true}, catalog.appliedIndex + 1);
    }
    return catalog;
}

void apply(Catalog &catalog, const LogCommand &command)
{
    REQUIRE(applyCommand(catalog, command, catalog.appliedIndex + 1).code == ResultCode::Ok);
}

} // namespace

TEST_CASE("Outcome counts")
{
    SUBCASE("the merge is commutative, associative and idempotent, and a difference restores the later state")
    {
        // Guards against counts that grow because a snapshot arrived twice or out of order.
        CHECK(rc::check([] {
            const auto a = drawCounts();
            const auto b = drawCounts();
            const auto c = drawCounts();
            RC_ASSERT(merged(a, b) == merged(b, a));
            RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
            RC_ASSERT(merged(a, a) == a);
            const auto later = merged(a, b);
            RC_ASSERT(merged(a, changedSince(a, later)) == later);
            RC_ASSERT(decodeCounts(encodeCounts(a)) == a);
        }));
    }

    SUBCASE("damaged bytes never crash the decoder")
    {
        OutcomeCounts counts;
        counts.received[{"field", "bole"}] = 3;
        counts.outcomes[{"field", "bole", ResultCode::QueueFull}] = 3;
        counts.latency["bole"].counts[7] = 1;
        counts.examples[ResultCode::QueueFull] = {"r1"};
        Random random{testSeed()};
        int refused = 0;
        for (int i = 0; i < 10'000; ++i) {
            auto bytes = encodeCounts(counts);
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
            bytes.resize(bytes.size() - random.below(2) * random.below(bytes.size()));
            refused += decodeCounts(bytes) ? 0 : 1;
        }
        CHECK(refused > 2'000);
    }

    SUBCASE("every latency lies in a bucket whose bound is at most an eighth above it")
    {
        for (std::uint64_t us = 0; us < 200'000'000; us += 1 + us / 50) {
            const auto bound = latencyBucketBound(latencyBucket(us));
            REQUIRE(bound >= us);
            REQUIRE(bound <= us + us / 8);
        }
        LatencyHistogram histogram;
        for (std::uint64_t us = 1; us <= 1000; ++us) {
            ++histogram.counts[latencyBucket(us)];
        }
        CHECK(latencyPercentile(histogram, 50) >= 500);
        CHECK(latencyPercentile(histogram, 50) <= 563);
        CHECK(latencyPercentile(histogram, 99) >= 990);
        CHECK(latencyPercentile({}, 99) == 0);
    }
}

TEST_CASE("Counters that several threads increment")
{
    // Guards against lost increments, and against a snapshot with more outcomes than receipts.
    // More threads than shards, and one series that all of them use, so that threads meet in one counter.
    constexpr int Threads = 8;
    constexpr int Requests = 20'000;
    OutcomeCounters counters("bole");
    std::atomic<bool> isDone{false};
    std::atomic<int> wrongSnapshots{0};
    std::thread reader([&] {
        while (!isDone.load()) {
            for (const auto &[service, counts] : counters.snapshot()) {
                std::map<TeamName, std::uint64_t> outcomes;
                for (const auto &[key, count] : counts.outcomes) {
                    outcomes[key.team] += count;
                }
                for (const auto &[team, count] : outcomes) {
                    const auto received = counts.received.find({team, "bole"});
                    wrongSnapshots += received == counts.received.end() || received->second < count ? 1 : 0;
                }
            }
        }
    });
    std::vector<std::thread> threads;
    threads.reserve(Threads);
    for (int number = 0; number < Threads; ++number) {
        threads.emplace_back([&counters, number] {
            for (int i = 0; i < Requests; ++i) {
                auto &series = counters.series("quote-desk", i % 2 == 0 ? "hot" : "team-" + std::to_string(i % 1020 / 2));
                counters.countReceived(series);
                counters.countOutcome(series, Codes[static_cast<std::size_t>(i) % 3], 100, std::to_string(number));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    isDone = true;
    reader.join();
    CHECK(wrongSnapshots == 0);
    const auto counts = counters.snapshot().at("quote-desk");
    std::uint64_t received = 0;
    std::uint64_t outcomes = 0;
    for (const auto &[key, count] : counts.received) {
        received += count;
    }
    for (const auto &[key, count] : counts.outcomes) {
        outcomes += count;
    }
    CHECK(received == Threads * Requests);
    CHECK(outcomes == Threads * Requests);
    CHECK(counts.received.size() == 511);
    CHECK(counts.latency.at("bole").counts[latencyBucket(100)] > 0);
    CHECK(counts.examples.at(ResultCode::QueueFull).size() <= MaxExamples);

    SUBCASE("names beyond the limit are counted together")
    {
        for (std::size_t i = 0; i < MaxSeries + 100; ++i) {
            counters.countReceived(counters.series("other-service", std::to_string(i)));
        }
        const auto other = counters.snapshot().at("other-service");
        std::uint64_t sum = 0;
        for (const auto &[key, count] : other.received) {
            sum += count;
        }
        CHECK(sum == MaxSeries + 100);
        CHECK(other.received.contains({"(other)", "bole"}));
    }
}

TEST_CASE("The final report of a closed service")
{
    auto catalog = openCatalog({"bole-1", "piassa-1"});

    SUBCASE("it balances against the list of outcomes, in total and for each team and zone")
    {
        Random random{testSeed()};
        std::map<ResultCode, std::uint64_t> expected;
        std::map<DaemonName, OutcomeCounts> counts;
        for (const auto *daemon : {"bole-1", "piassa-1"}) {
            OutcomeCounters counters(std::string(daemon).substr(0, std::string(daemon).find('-')));
            for (int i = 0; i < 500; ++i) {
                const auto code = Codes[random.below(Codes.size())];
                auto &series = counters.series("quote-desk", random.below(2) == 0 ? "field" : "office");
                counters.countReceived(series);
                counters.countOutcome(series, code, 10, std::to_string(i));
                ++expected[code];
            }
            counts[daemon] = counters.snapshot().at("quote-desk");
        }
        apply(catalog, SubmitJob{"s1", "j1", {"quote-desk", "field", "", {}, 0, false, 1}});
        apply(catalog, SubmitJob{"s2", "j2", {"quote-desk", "field", "", {}, 0, false, 1}});
        apply(catalog, SubmitJob{"s3", "j3", {"quote-desk", "field", "", {}, 0, false, 1}});
        apply(catalog, AssignJob{"j1", 1, "bole-1", "bole", {0, 1}, 0});
        apply(catalog, EvictJob{"j1", 1, "c", EvictCause::Eviction});
        apply(catalog, AssignJob{"j1", 2, "piassa-1", "piassa", {0, 1}, 1});
        apply(catalog, FailJob{"j2", 0, ResultCode::FitsNoWorker, "memoryMb does not fit"});
        apply(catalog, CancelJob{"j3"});
        const std::string drain = R"({"availabilityZones": {"bole": {"state": "drained"}}})";
        apply(catalog, ChangeFiles{ChangeKind::Put, {{"90-drain", drain}}, 1, "drain", "abebe", {1796362221123}});
        const std::string close = R"({"services": {"quote-desk": {"state": "closed"}}})";
        apply(catalog, ChangeFiles{ChangeKind::Put, {{"95-close", close}}, 2, "close", "abebe", {}});
        apply(catalog, ChangeFiles{ChangeKind::Put, {{"99", "{}"}}, 3, "after", "abebe", {}});
        apply(catalog, FinalCounters{"quote-desk", "bole-1", 1, 1, encodeCounts(counts["bole-1"])});

        auto report = buildReport(catalog, "quote-desk", {});
        CHECK_FALSE(report.final);
        CHECK(report.missing == std::vector<DaemonIncarnation>{{"piassa-1", 1}});
        CHECK(report.total.unfinished == 1);
        CHECK(report.difference == 0);

        apply(catalog, FinishTasks{"j1", 2, {{0, 1}}, "done"});
        apply(catalog, FinalCounters{"quote-desk", "piassa-1", 1, 1, encodeCounts(counts["piassa-1"])});
        report = buildReport(catalog, "quote-desk", {});
        CHECK(report.final);
        CHECK(report.difference == 0);
        CHECK(report.total.received == 1003);
        CHECK(report.total.answered == expected[ResultCode::Ok] + expected[ResultCode::WorkerFailed]);
        CHECK(report.total.refused == expected[ResultCode::QueueFull] + expected[ResultCode::DeadlineExpired] + expected[ResultCode::BadRequest]);
        CHECK(report.total.unknown == expected[ResultCode::OutcomeUnknown]);
        CHECK(report.total.finished == 1);
        CHECK(report.total.failed == 1);
        CHECK(report.total.cancelled == 1);
        CHECK(report.total.evicted == 1);
        CHECK(report.total.resumed == 1);
        for (const auto &rows : {report.teams, report.zones}) {
            ReportRow sum;
            for (const auto &[name, row] : rows) {
                CHECK(row.received == row.answered + row.finished + row.failed + row.refused + row.cancelled + row.unknown);
                sum.received += row.received;
            }
            CHECK(sum.received == report.total.received);
        }
        for (const auto &row : report.refusals) {
            CHECK(row.count == expected[row.code]);
            CHECK(row.examples.size() == MaxExamples);
        }
        std::vector<OperationId> changes;
        for (const auto &change : report.changes) {
            changes.push_back(change.operation);
        }
        CHECK(changes == std::vector<OperationId>{"open", "drain", "close"});
        const auto text = reportAsText(report);
        CHECK(text.find("2026-12-04T05:30:21.123Z") != std::string::npos);
        CHECK(text.find("memoryMb does not fit") != std::string::npos);
        CHECK(text.find("drained bole") != std::string::npos);
        const auto json = boost::json::parse(reportAsJson(report));
        CHECK(json.at("total").at("received").to_number<std::uint64_t>() == 1003);
        CHECK(json.at("final").as_bool());
    }

    SUBCASE("requests in flight on a daemon that died are unknown, and its gap is accepted by name")
    {
        OutcomeCounts counts;
        counts.received[{"field", "bole"}] = 10;
        counts.outcomes[{"field", "bole", ResultCode::Ok}] = 7;
        const LiveCounts live{{{"bole-1", 1}, counts}};
        CHECK(buildReport(catalog, "quote-desk", live).total.unfinished == 3);
        apply(catalog, DaemonLifeCycleEvent{"bole-1", 2, true});
        auto report = buildReport(catalog, "quote-desk", live);
        CHECK(report.total.unknown == 3);
        CHECK(report.total.unfinished == 0);
        CHECK(report.missing == std::vector<DaemonIncarnation>{{"bole-1", 1}, {"bole-1", 2}, {"piassa-1", 1}});
        apply(catalog, AcceptGap{"quote-desk", "bole-1", 1, "gap", "abebe", {5}});
        report = buildReport(catalog, "quote-desk", live);
        REQUIRE(report.gaps.size() == 1);
        CHECK(report.gaps[0].incarnation == DaemonIncarnation{"bole-1", 1});
        CHECK(report.missing.size() == 2);
    }

    SUBCASE("counts that do not balance are reported by how much; damaged counts are missing")
    {
        OutcomeCounts counts;
        counts.received[{"field", "bole"}] = 10;
        counts.outcomes[{"field", "bole", ResultCode::Ok}] = 12;
        apply(catalog, FinalCounters{"quote-desk", "bole-1", 1, 1, encodeCounts(counts)});
        apply(catalog, FinalCounters{"quote-desk", "piassa-1", 1, 1, "damaged"});
        const auto report = buildReport(catalog, "quote-desk", {});
        CHECK(report.difference == -2);
        CHECK(reportAsText(report).find("is -2") != std::string::npos);
        CHECK(report.damaged == std::vector<DaemonIncarnation>{{"piassa-1", 1}});
    }
}

TEST_CASE("Latencies that were not measured")
{
    // Guards against a report that shows 0 us as the latency of a team, whose latencies are not kept.
    FinalReport report;
    report.service = "quote-desk";
    report.teams["estimates"].received = 1;
    const std::string text = reportAsText(report);
    const std::size_t start = text.find("  estimates ");
    const std::string line = text.substr(start, text.find('\n', start) - start);
    CHECK(std::count(line.begin(), line.end(), '-') == 3);
    CHECK(reportAsJson(report).find("p50Us") == std::string::npos);
}
