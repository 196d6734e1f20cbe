/** @file fakes_test.cpp Tests that the fake worker keeps the rules by which tests judge the scheduler. */

#include "fakes/fake_worker.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace Filbertlanding;

namespace {

TaskCommand startOf(const JobId &job, std::uint64_t epoch, const std::string &checkpoint = {})
{
    return {TaskCommandKind::Start, job, epoch, {"quote-desk", "team", "survey", {1000, 100, 0}, {1000, 100, 0}, {}}, checkpoint};
}

} // namespace

TEST_CASE("Fake tasks keep leases and epochs")
{
    std::vector<std::string> events;
    FakeTasks tasks({.meanLength = Duration{10'000}}, [&](const char *event, const TaskReport &task, const std::string &reason) {
        events.push_back(std::string(event) + " " + task.job + " " + std::to_string(task.epoch) + (reason.empty() ? "" : " " + reason));
    });
    tasks.command(startOf("a", 1), false, TimePoint{0});
    REQUIRE(events.empty()); // No lease, no start.
    tasks.renewLease(TimePoint{6000});
    tasks.command(startOf("a", 1), false, TimePoint{0});
    tasks.command(startOf("a", 1), false, TimePoint{0});
    REQUIRE(events == std::vector<std::string>{"taskStarted a 1"});

    SUBCASE("a task stops when its lease ends")
    {
        tasks.advance(0, TimePoint{5999});
        CHECK(tasks.liveCount() == 1);
        tasks.advance(0, TimePoint{6000});
        CHECK(events.back() == "taskStopped a 1 lease");
        CHECK(tasks.liveCount() == 0);
    }

    SUBCASE("it resumes from its checkpoint, and an ended attempt never starts again")
    {
        tasks.advance(0, TimePoint{2000});
        tasks.command({TaskCommandKind::Checkpoint, "a", 1, {}, {}}, false, TimePoint{2000});
        const auto reports = tasks.takeReports(1);
        REQUIRE(reports.size() == 1);
        CHECK(reports.front().state == TaskState::Checkpointed);
        tasks.command(startOf("a", 1), false, TimePoint{2000});
        tasks.command({TaskCommandKind::Forget, "a", 1, {}, {}}, false, TimePoint{2000});
        tasks.command(startOf("a", 1), false, TimePoint{2000});
        CHECK(tasks.liveCount() == 0);
        tasks.command(startOf("a", 2, reports.front().checkpoint), false, TimePoint{2000});
        CHECK(tasks.takeReports(2).front().progress == doctest::Approx(reports.front().progress));
        tasks.command(startOf("b", 1, reports.front().checkpoint), false, TimePoint{2000});
        CHECK(events.back() == "taskFailed b 1 the checkpoint is of another job");
    }

    SUBCASE("two epochs of a job never run beside each other")
    {
        tasks.command(startOf("a", 3), false, TimePoint{10});
        tasks.command(startOf("a", 2), false, TimePoint{20});
        CHECK(events == std::vector<std::string>{"taskStarted a 1", "taskStopped a 1 later epoch", "taskStarted a 3"});
        CHECK(tasks.liveCount() == 1);
    }

    SUBCASE("a stop that overtakes its start wins")
    {
        tasks.command({TaskCommandKind::Stop, "c", 1, {}, {}}, false, TimePoint{10});
        tasks.command(startOf("c", 1), false, TimePoint{20});
        CHECK(tasks.liveCount() == 1);
        CHECK(tasks.takeReports(1).back().state == TaskState::Stopped);
    }

    SUBCASE("a change is reported until a report with it is answered, an end until Forget")
    {
        CHECK(tasks.takeReports(1).size() == 1);
        CHECK(tasks.takeReports(2).size() == 1);
        tasks.reportAnswered(1);
        CHECK(tasks.takeReports(3).empty());
        tasks.command({TaskCommandKind::Stop, "a", 1, {}, {}}, false, TimePoint{10});
        tasks.takeReports(4);
        tasks.reportAnswered(4);
        CHECK(tasks.takeReports(5).size() == 1);
        tasks.command({TaskCommandKind::Forget, "a", 1, {}, {}}, false, TimePoint{10});
        CHECK(tasks.takeReports(6).empty());
    }
}

TEST_CASE("A fake worker reports, takes commands and refuses other owner epochs")
{
    NetworkCounters counters;
    EventLoop loop;
    LedgerFile ledger;
    HttpClient client({}, counters);
    std::promise<WorkerReport> firstReport;
    std::promise<std::string> taskReport;
    std::atomic<int> reports{0};
    std::atomic<bool> finished{false};
    // Stands in for a daemon: grants a long lease and starts one task.
    HttpServer daemon(
        {.threads = 1},
        [&](HttpRequest &&request, const HttpRespond &respond) {
            const auto report = boost::json::parse(request.body);
            const auto epoch = report.at("ownerEpoch").to_number<std::uint64_t>();
            if (++reports == 1) {
                WorkerReport seen;
                seen.worker = std::string(report.at("worker").as_string());
                seen.port = report.at("port").to_number<std::uint16_t>();
                seen.ownerEpoch = epoch;
                firstReport.set_value(seen);
            }
            if (report.at("tasks").as_array().size() == 1 && report.at("tasks").at(0).at("state") == "finished") {
                if (!finished.exchange(true)) {
                    taskReport.set_value(std::string(report.at("tasks").at(0).at("job").as_string()));
                }
                respond(errorResponse(ResultCode::Draining));
                return;
            }
            const std::string command = R"({"kind":"start","job":"j1","epoch":1,"checkpoint":"","spec":{"service":"quote-desk","team":"t",)"
                                        R"("jobClass":"survey","declared":{"cpuMillis":1,"memoryMb":1,"accelerators":0},)"
                                        R"("limit":{"cpuMillis":1,"memoryMb":1,"accelerators":0},"payload":""}})";
            respond(
                {200,
                 {},
                 R"({"code":0,"number":)" + std::to_string(reports) + R"(,"ownerEpoch":)" + std::to_string(epoch)
                     + R"(,"ownerIncarnation":7,"ownerAddress":"","ownerPort":0,"reportIntervalMs":20,"ownerLeaseMs":60000,"taskLeaseMs":60000,"commands":[)"
                     + command + "]}"});
        },
        counters);
    REQUIRE_FALSE(daemon.start());
    FakeWorkerSettings settings;
    settings.name = "w1";
    settings.zone = "bole";
    settings.incarnation = 3;
    settings.services = {{"quote-desk", 2, 0}};
    settings.daemons = {{"127.0.0.1", daemon.port()}};
    settings.serviceMs = 1;
    settings.tasks.meanLength = Duration{10};
    FakeWorker worker(settings, loop, client, ledger, counters);
    REQUIRE_FALSE(worker.start());
    std::thread runner([&] {
        loop.run();
    });

    const WorkerReport first = firstReport.get_future().get();
    CHECK(first.worker == "w1");
    CHECK(first.ownerEpoch == (3ULL << 16) + 1);
    const auto ask = [&](const std::string &path, const std::string &epoch, const std::string &body) {
        std::promise<HttpResponse> promise;
        client.send({"127.0.0.1", first.port}, {"POST", path, {{"Owner-Epoch", epoch}}, body, {}}, {.timeout = Duration{20'000}}, [&](HttpExchange exchange) {
            promise.set_value(std::move(exchange.response));
        });
        return promise.get_future().get();
    };
    const std::string quote = R"({"id":"q1","quantity":2,"unitPriceCents":100})";
    const std::string epoch = std::to_string(first.ownerEpoch);
    const HttpResponse answer = ask("/requests/quote-desk", epoch, quote);
    CHECK(answer.status == 200);
    CHECK(boost::json::parse(answer.body).at("totalCents") == 230);
    // Guards against a worker that serves an owner whose lease has passed to another daemon.
    CHECK(ask("/requests/quote-desk", std::to_string(first.ownerEpoch - 1), quote).status == resultCodeRow(ResultCode::StaleOwner).httpStatus);
    CHECK(ask("/requests/quote-desk", "", quote).status == resultCodeRow(ResultCode::MissingField).httpStatus);
    CHECK(ask("/requests/other", epoch, quote).status == resultCodeRow(ResultCode::ServiceUnknown).httpStatus);
    CHECK(taskReport.get_future().get() == "j1");
    CHECK(ask("/mode", epoch, R"({"mode":"fail"})").status == 200);
    CHECK(ask("/requests/quote-desk", epoch, quote).status == resultCodeRow(ResultCode::WorkerFailed).httpStatus);

    loop.stop();
    runner.join();
    client.stop();
    worker.stop();
    daemon.stop();
}
