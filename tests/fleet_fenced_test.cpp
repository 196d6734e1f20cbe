/** @file fleet_fenced_test.cpp A core, as a real process, that starts its scheduler anew within a term. */

#include "fleet_installation.h"
#include "network/http_server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace Filbertlanding;

namespace {

constexpr int ExpectedLeaderships = 3;
constexpr std::chrono::seconds RestartLimit{10};

/** A worker that has seen the order of another leader, so that it rejects all orders of this one. */
class FencedWorker
{
public:
    explicit FencedWorker(const std::string &address)
        : server(
            {.address = address},
            [](HttpRequest &&, const HttpRespond &respond) {
                HttpResponse response;
                response.status = 409;
                response.body = R"({"clockMs":1000,"reason":"fence"})";
                respond(response);
            },
            counters)
    {
    }

    bool start()
    {
        return !this->server.start();
    }

    std::string report(const std::string &address) const
    {
        return R"({"service":"s1","address":")" + address + ":" + std::to_string(this->server.port())
            + R"(","zone":"zone-1","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
              R"("labels":[],"clockMs":1000,"seq":1,"born":1700000000000})";
    }

private:
    NetworkCounters counters;
    HttpServer server;
};

bool awaitEvents(const FleetInstallation &installation, const FleetProcess &daemon, const std::string &event, int count)
{
    const auto end = std::chrono::steady_clock::now() + RestartLimit;
    while (installation.countEvents(daemon, event) < count) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return true;
}

} // namespace

TEST_CASE("A core that a worker has fenced off leads again within its term")
{
    // Guards against a leader of the log without a scheduler: the next scheduler waits for the proposals of the one before.
    FleetInstallation installation;
    FleetProcess &core = installation.core;
    REQUIRE(installation.startAll());
    FencedWorker worker(core.address);
    REQUIRE(worker.start());
    HttpRequest report;
    report.method = "PUT";
    report.target = "/instances/w1";
    report.body = worker.report(core.address);
    REQUIRE(installation.exchange(core, FleetInstallation::ControlPort, report, {.timeout = {2'000}}).response.status == 200);

    CHECK(awaitEvents(installation, core, "fenced", ExpectedLeaderships));
    CHECK(awaitEvents(installation, core, "lead_begins", ExpectedLeaderships));
    CHECK(installation.countEvents(core, "role_changed") <= 2);
}
