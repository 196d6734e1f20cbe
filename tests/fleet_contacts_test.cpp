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

TEST_CASE("Two of three voters elect a leader although one of them knows the other neither from its log nor from its contacts")
{
    // Guards against a vote that cannot be answered: nothing leads for ever although a majority is there.
    FleetInstallation installation({.cores = 4, .entries = 1});
    for (std::size_t i = 0; i < 3; ++i) {
        installation.start(installation.cores[i]);
    }
    FleetProcess *leader = installation.awaitLeader();
    REQUIRE(leader != nullptr);
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    const auto at = static_cast<std::size_t>(leader - installation.cores.data());
    FleetProcess &behind = installation.cores[(at + 1) % 3];
    FleetProcess &replaced = installation.cores[(at + 2) % 3];
    FleetProcess &newcomer = installation.cores[3];
    boost::json::object settings = boost::json::parse(installation.settingsText(newcomer)).as_object();
    settings["firstStart"] = false;
    settings["contacts"] = {endpointOf(*leader, FleetInstallation::ControlPort),
                            endpointOf(behind, FleetInstallation::ControlPort),
                            endpointOf(newcomer, FleetInstallation::ControlPort)};
    writeText(installation.settingsPath(newcomer), boost::json::serialize(settings));

    behind.process.reset();
    installation.start(newcomer);
    const auto votes = [&](const FleetProcess &daemon) {
        const std::string log = installation.log(*leader);
        const std::string names = log.substr(log.rfind("\"voterNames\":"));
        return names.substr(0, names.find("joiningNames")).find(daemon.address + (&daemon == &newcomer ? "\"" : ",")) != std::string::npos;
    };
    // Later the leader would take the silent voter for the one to replace.
    const bool isInTime = eventually(
        [&] {
            return votes(newcomer) && !votes(replaced);
        },
        {3'000});
    REQUIRE(isInTime);
    REQUIRE(votes(behind));
    leader->process.reset();
    replaced.process.reset();
    installation.start(behind);
    CHECK(eventually(
        [&] {
            return installation.leader() != nullptr;
        },
        {16'000}));
}
