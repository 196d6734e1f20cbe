/** @file fleet_contacts_test.cpp Changed contacts in the settings of a core daemon, as a real process. */

#include "core/clock_func.h"
#include "fleet_installation.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace Filbertlanding;

namespace {

constexpr Duration ReadyLimit{10'000};
constexpr std::chrono::milliseconds ReadyInterval{50};

bool becomesReady(FleetInstallation &installation, const FleetProcess &daemon)
{
    const TimePoint end = steadyNow() + ReadyLimit;
    while (!installation.isReady(daemon)) {
        if (steadyNow() >= end) {
            return false;
        }
        std::this_thread::sleep_for(ReadyInterval);
    }
    return true;
}

} // namespace

TEST_CASE("Other contacts at a restart do not change the voters of the installation")
{
    // Guards against a majority of other daemons than before, which loses accepted jobs and confirmed manifests.
    FleetInstallation installation;
    REQUIRE(installation.startAll());
    REQUIRE(installation.log(installation.core).find(R"("voters":1)") != std::string::npos);

    boost::json::object settings = boost::json::parse(installation.settingsText(installation.core)).as_object();
    settings["firstStart"] = false;
    settings["contacts"].as_array().emplace_back("127.0.0.2:8101");
    settings["contacts"].as_array().emplace_back("127.0.0.3:8101");
    writeText(installation.settingsPath(installation.core), boost::json::serialize(settings));
    installation.restart(installation.core);
    CHECK(becomesReady(installation, installation.core));
    CHECK(installation.log(installation.core).find(R"("voters":3)") == std::string::npos);
}
