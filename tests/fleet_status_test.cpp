/** @file fleet_status_test.cpp Lines and metrics by which an operator sees why nothing leads, from real processes. */

#include "fleet_installation.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

std::string metricsOf(FleetInstallation &installation, const FleetProcess &daemon)
{
    return installation.exchange(daemon, FleetInstallation::MetricsPort, {"GET", "/metrics", {}, {}, {}}, {.timeout = {500}, .freshConnection = true})
        .response.body;
}

bool logs(const FleetInstallation &installation, const FleetProcess &daemon, const std::string &text)
{
    return eventually([&] {
        return installation.log(daemon).find(text) != std::string::npos;
    });
}

} // namespace

// Guards against a log from which nobody can tell which machines have to come back.
TEST_CASE("A voter without a quorum names the voters that are missing")
{
    FleetInstallation installation({.cores = 3, .entries = 1});
    REQUIRE(installation.startAll());
    FleetProcess &last = installation.cores[0];
    FleetProcess &second = installation.cores[1];
    FleetProcess &third = installation.cores[2];
    REQUIRE(installation.awaitLeader() != nullptr);
    CHECK(metricsOf(installation, last).find("filbertlanding_has_leader 1") != std::string::npos);
    CHECK(logs(installation, last, R"("voterNames":")" + last.address + "," + second.address + "," + third.address + "\""));

    second.process.reset();
    third.process.reset();
    CHECK(logs(installation, last, R"("heard":")" + last.address + R"(","missing":")" + second.address + "," + third.address + "\""));
    const std::string metrics = metricsOf(installation, last);
    CHECK(metrics.find("filbertlanding_has_leader 0") != std::string::npos);
    CHECK(metrics.find("filbertlanding_voters 3") != std::string::npos);

    SUBCASE("the end of the outage is logged")
    {
        installation.start(second);
        CHECK(logs(installation, last, R"("event":"quorum_found")"));
        CHECK(logs(installation, second, R"("event":"replication_state")"));
    }
    SUBCASE("a voter with an empty disk is told from one that is silent")
    {
        std::filesystem::path data = installation.settingsPath(second);
        data.replace_filename(second.name + "-data");
        std::filesystem::remove_all(data);
        std::string settings = installation.settingsText(second);
        settings.replace(settings.find(R"("firstStart":true)"), 17, R"("firstStart":false)");
        writeText(installation.settingsPath(second), settings);
        installation.start(second);
        CHECK(logs(installation, last, R"("otherDisk":")" + second.address + "\""));
    }
}
