/** @file worker_report_test.cpp Tests of status reports that no worker can have sent. */

#include "fleetd/worker_report_check.h"

#include "platform/platform_adapter.h"

#include <doctest/doctest.h>

#include <limits>

using namespace Filbertlanding;

namespace {

const WallTime Now{1'700'000'010'000};
const std::vector<ZoneName> Zones{"z1", "z2"};

FleetWorkerReport soundReport()
{
    FleetWorkerReport report;
    report.profile.worker = "i-1";
    report.profile.startedAtMs = 1'700'000'000'000;
    report.profile.address = "10.0.0.9:8080";
    report.profile.availabilityZone = "z1";
    report.profile.service = "s1";
    report.profile.labels = {"a", "r1-3"};
    report.profile.capacity = {16'000, 32'768, 0};
    report.sequence = 4;
    return report;
}

/** Returns a state with a manifest of one service and one registered worker. */
FleetState soundState()
{
    FleetState state;
    FleetManifest manifest;
    manifest.version = 1;
    manifest.services.push_back({"s1", true, false});
    applyFleetCommand(state, PutManifest{manifest});
    applyFleetCommand(state, RegisterWorker{soundReport().profile});
    return state;
}

bool isRefused(const FleetWorkerReport &report, const FleetState &state)
{
    const auto error = findReportError(report, state, Zones, Now);
    CHECK((!error || !error->message.empty()));
    return error.has_value();
}

/** Checks that a sound report is refused once one of its fields is out of line. */
void checkOddReports(const FleetWorkerReport &sound, const FleetState &state)
{
    const std::vector<std::string> addresses{"10.0.0.9:99999",
                                             "10.0.0.9:65536",
                                             "10.0.0.9:0",
                                             "10.0.0.9:-1",
                                             "10.0.0.9:4294967297",
                                             "10.0.0.9:http",
                                             "10.0.0.9",
                                             "10.0.0.9:",
                                             ":8080",
                                             "999.1.1.1:80",
                                             "0.0.0.0:80",
                                             "255.255.255.255:80",
                                             "224.0.0.1:80",
                                             "host.example:80"};
    REQUIRE(!isRefused(sound, state));
    for (const std::string &address : addresses) {
        FleetWorkerReport report = sound;
        report.profile.address = address;
        CHECK_MESSAGE(isRefused(report, state), address);
    }
    std::vector<FleetWorkerReport> reports(6, sound);
    reports[0].profile.service = "spooler";
    reports[1].profile.availabilityZone = "z9";
    // No later incarnation could take its place.
    reports[2].profile.startedAtMs = 9'000'000'000'000'000;
    // Each of these would fill the replicated state.
    reports[3].profile.labels.assign(100'000, "label");
    reports[4].profile.labels = {std::string(1'000'000, 'x')};
    reports[5].profile.worker = std::string(1'000, 'x');
    for (const FleetWorkerReport &report : reports) {
        CHECK(isRefused(report, state));
    }
}

} // namespace

TEST_CASE("A report that names no worker to use does not reach the replicated state")
{
    // Guards against an entry of another writer that is registered as a worker, or that replaces a sound worker, whose tasks then run twice.
    const FleetState state = soundState();
    FleetWorkerReport report = soundReport();

    SUBCASE("sound reports are accepted")
    {
        CHECK(!isRefused(report, state));
        report.profile.startedAtMs += 5'000;
        report.profile.address = "10.0.0.10:8080";
        CHECK(!isRefused(report, state));
        report.profile.worker = "i-2";
        CHECK(!isRefused(report, state));
        CHECK(!isRefused(report, FleetState()));
    }

    SUBCASE("under a name of its own")
    {
        report.profile.worker = "another";
        checkOddReports(report, state);
    }

    SUBCASE("under the name of a sound worker, with a later start")
    {
        report.profile.startedAtMs += 5'000;
        checkOddReports(report, state);
    }

    SUBCASE("it gives another address, zone or service for a registered process")
    {
        report.profile.address = "10.0.0.10:8080";
        CHECK(isRefused(report, state));
        report = soundReport();
        report.profile.availabilityZone = "z2";
        CHECK(isRefused(report, state));
    }

    SUBCASE("a registered process may still say that it drains once its service has left the manifest")
    {
        FleetState later = state;
        FleetManifest manifest;
        manifest.version = 2;
        manifest.services.push_back({"s2", true, false});
        applyFleetCommand(later, PutManifest{manifest});
        report.profile.isDraining = true;
        CHECK(!isRefused(report, later));
    }
}

TEST_CASE("Before the first manifest a report with another service does not replace a worker")
{
    // Guards against a sound worker that counts as ended because of a service that no manifest will name.
    FleetState state = soundState();
    state.manifest = {};
    FleetWorkerReport restarted = soundReport();
    restarted.profile.startedAtMs += 1'000;
    CHECK_FALSE(isRefused(restarted, state));
    FleetWorkerReport other = soundReport();
    other.profile.worker = "i-2";
    other.profile.service = "s2";
    CHECK_FALSE(isRefused(other, state));
    restarted.profile.service = "s2";
    CHECK(isRefused(restarted, state));
    FleetManifest manifest;
    manifest.version = 1;
    manifest.services.push_back({"s2", true, false});
    applyFleetCommand(state, PutManifest{manifest});
    CHECK_FALSE(isRefused(restarted, state));
}

TEST_CASE("A sequence number out of line does not hide that a worker drains")
{
    // Guards against tasks that are started on a draining worker because a report of another writer had a higher sequence number.
    const FleetState state = soundState();
    FleetScheduler scheduler = startScheduler({}, state, 1, 0, TimePoint{1'000}, Now);
    FleetWorkerReport report = soundReport();
    report.sequence = std::numeric_limits<std::uint64_t>::max();
    CHECK(!handleWorkerReport(scheduler, state, report, TimePoint{1'000}).isStale);
    report.sequence = 5;
    CHECK(handleWorkerReport(scheduler, state, report, TimePoint{1'000}).isStale);
    report.profile.isDraining = true;
    const ReportOutcome outcome = handleWorkerReport(scheduler, state, report, TimePoint{1'000});
    REQUIRE(outcome.command);
    CHECK(std::get<RegisterWorker>(*outcome.command).profile.isDraining);
}

TEST_CASE("A run list with fields out of range is not used")
{
    WorkerOrder order;
    order.kind = OrderKind::Poll;
    const auto parse = [&order](const std::string &running, const std::string &ended) {
        const std::string body = R"({"clockMs":5,"born":1,"running":[)" + running + R"(],"endedRuns":[)" + ended + "]}";
        return parsePlatformOrderResponse(order, {ResultCode::Ok, true, {200, {}, body}});
    };

    SUBCASE("numbers of runs and of ends")
    {
        CHECK(parse(R"(["a.0.0.1",2,"",50])", R"([1,"a.0.0.2",1,"done",""])").hasLists);
        CHECK(!parse(R"(["a.0.0.1",-1,"",50])", "").hasLists);
        CHECK(!parse(R"(["a.0.0.1",4294967296,"",50])", "").hasLists);
        CHECK(!parse("", R"([-1,"a.0.0.2",1,"done",""])").hasLists);
        CHECK(!parse("", R"([1,"a.0.0.2",1e400,"done",""])").hasLists);
    }

    SUBCASE("rough figures are limited")
    {
        const OrderResponse response = parse(R"(["a.0.0.1",2,"",1e300,-1e300])", "");
        REQUIRE(response.running.size() == 1);
        CHECK(response.running.front().percent == 100);
        CHECK(response.running.front().measurement == 0);
    }
}
