/** @file process_checks.cpp Steps and checks that the tests of failures share. */

#include "process_checks.h"

#include "run_checks.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::uint64_t WorkerSlots = 8; ///< Slots of a worker for quote-desk, the default of fakeworker.

    /** Checks one list of breaches. */
    void checkNone(const std::vector<std::string> &breaches)
    {
        CHECK_MESSAGE(breaches.empty(), joinLines(breaches));
    }

} // namespace

void openService(ProcessCluster &cluster)
{
    const Reply reply = cluster.change(0, "PUT", "10-base.json", R"({"services": {"quote-desk": {"state": "open"}}, "teams": {"default": {"weight": 1}}})");
    REQUIRE_MESSAGE(reply.status == 200, reply.body);
    REQUIRE(eventually([&cluster] {
        for (std::size_t i = 0; i < cluster.daemons.size(); ++i) {
            const json::value state = cluster.status(i);
            if (state.is_null() || state.at("version").to_number<std::int64_t>() < 1) {
                return false;
            }
        }
        return true;
    }));
}

void checkGuarantees(const ProcessCluster &cluster, const std::string &callerName)
{
    const LedgerLines workers = cluster.workerLedgers();
    const LedgerLines caller = cluster.ledger(callerName);
    REQUIRE(countEvents(workers, "requestStarted") > 0);
    checkNone(findRepeatedRuns(workers, caller));
    checkNone(findFalseRefusals(workers, caller));
    checkNone(findOverlappingTasks(workers));
    checkNone(findOverfullWorkers(workers, WorkerSlots));
    checkNone(findUnfoundedAnswers(workers, caller));
}

json::value jobsOf(ProcessCluster &cluster, std::size_t daemon)
{
    const Reply reply = cluster.call(daemon, "GET", "/v1/jobs?service=quote-desk");
    return reply.status == 200 ? json::parse(reply.body) : json::value();
}

void checkJobsFinish(ProcessCluster &cluster, std::size_t daemon, const std::string &callerName)
{
    const bool finished = eventually([&] {
        const json::value jobs = jobsOf(cluster, daemon);
        if (jobs.is_null()) {
            return false;
        }
        const json::array &list = jobs.at("jobs").as_array();
        return !list.empty() && std::all_of(list.begin(), list.end(), [](const json::value &job) {
            return job.at("state") == "finished";
        });
    });
    const json::value jobs = jobsOf(cluster, daemon);
    CHECK_MESSAGE(finished, json::serialize(jobs));
    std::map<std::string, int> records;
    for (const json::value &job : jobs.at("jobs").as_array()) {
        records[std::string(job.at("job").as_string())] += 1;
        CHECK(job.at("finishedTasks") == 1);
    }
    std::uint64_t accepted = 0;
    std::uint64_t submitted = 0;
    for (const json::object &line : cluster.ledger(callerName)) {
        submitted += line.at("event") == "jobSent" && line.at("send") == 1 ? 1 : 0;
        if (line.at("event") == "jobConcluded" && line.at("status") == 201) {
            const json::value body = json::parse(line.at("body").as_string());
            CHECK(records[std::string(body.at("job").as_string())] == 1);
            accepted += 1;
        }
    }
    CHECK(accepted > 0);
    // A submission whose answer was lost may have been accepted; no submission may have made two jobs.
    CHECK(records.size() >= accepted);
    CHECK(records.size() <= submitted);
    std::map<std::string, int> results;
    for (const json::object &line : cluster.workerLedgers()) {
        results[std::string(line.at("event") == "taskFinished" ? line.at("job").as_string() : json::string())] += 1;
    }
    for (const auto &record : records) {
        CHECK_MESSAGE(results[record.first] >= 1, (record.first + " is finished and no worker finished it"));
    }
}

void checkReport(ProcessCluster &cluster, std::size_t daemon, const std::string &mayMiss, std::int64_t incarnation)
{
    const Reply closed = cluster.change(daemon, "PUT", "90-close.json", R"({"services": {"quote-desk": {"state": "closed"}}})");
    REQUIRE_MESSAGE(closed.status == 200, closed.body);
    json::value report;
    const bool settled = eventually([&] {
        const Reply reply = cluster.call(daemon, "GET", "/v1/report/quote-desk");
        report = reply.status == 200 ? json::parse(reply.body) : json::value();
        if (report.is_null() || !report.at("closed").as_bool()) {
            return false;
        }
        const json::array &missing = report.at("missing").as_array();
        return report.at("final").as_bool()
            || (missing.size() == 1 && missing[0].at("daemon").as_string() == mayMiss && missing[0].at("incarnation") == incarnation);
    });
    CHECK_MESSAGE(settled, json::serialize(report));
    if (!report.is_null() && report.at("final").as_bool()) {
        CHECK_MESSAGE(report.at("difference") == 0, json::serialize(report));
    }
}

std::vector<std::string> mixedLoad(int ratePerSecond, int count)
{
    return {"--rate", std::to_string(ratePerSecond), "--count", std::to_string(count), "--non-repeatable", "0.6", "--jobs", "0.04", "--timeout-ms", "1500"};
}

} // namespace Filbertlanding
