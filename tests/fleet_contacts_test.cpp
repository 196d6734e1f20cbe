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

namespace {

/** Four cores of which three vote, and the parts that they play. */
struct MissedAddition {
    FleetInstallation installation{{.cores = 4, .entries = 1}};
    FleetProcess *leader = nullptr;
    FleetProcess *behind = nullptr; ///< Voter that is down while the newcomer is added.
    FleetProcess *replaced = nullptr; ///< Voter for which the newcomer stands in.
    FleetProcess &newcomer = installation.cores[3];

    /** Returns whether the last membership in the leader's log has a daemon as voter. */
    bool votes(const FleetProcess &daemon) const
    {
        const std::string log = this->installation.log(*this->leader);
        const std::string names = log.substr(log.rfind("\"voterNames\":"));
        const std::string last = &daemon == &this->newcomer ? "\"" : ",";
        return names.substr(0, names.find("joiningNames")).find(daemon.address + last) != std::string::npos;
    }

    /** Lets the newcomer take the place of a voter while another one is down. Returns false if that other one is removed first, for its silence. */
    bool prepare()
    {
        for (std::size_t i = 0; i < 3; ++i) {
            this->installation.start(this->installation.cores[i]);
        }
        this->leader = this->installation.awaitLeader();
        REQUIRE(this->leader != nullptr);
        std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
        const auto at = static_cast<std::size_t>(this->leader - this->installation.cores.data());
        this->behind = &this->installation.cores[(at + 1) % 3];
        this->replaced = &this->installation.cores[(at + 2) % 3];
        boost::json::object settings = boost::json::parse(this->installation.settingsText(this->newcomer)).as_object();
        settings["firstStart"] = false;
        settings["contacts"] = {endpointOf(*this->leader, FleetInstallation::ControlPort),
                                endpointOf(*this->behind, FleetInstallation::ControlPort),
                                endpointOf(this->newcomer, FleetInstallation::ControlPort)};
        writeText(this->installation.settingsPath(this->newcomer), boost::json::serialize(settings));
        this->installation.start(this->newcomer);
        const auto hasJoined = [this] {
            return this->installation.log(*this->leader).find(this->newcomer.address) != std::string::npos;
        };
        const bool isKnown = eventually(hasJoined, {3'000});
        this->behind->process.reset();
        const auto isReplaced = [this] {
            return this->votes(this->newcomer) && !this->votes(*this->replaced);
        };
        return isKnown && eventually(isReplaced, {3'000}) && this->votes(*this->behind);
    }
};

} // namespace

TEST_CASE("Two of three voters elect a leader although one of them knows the other neither from its log nor from its contacts")
{
    // Guards against a vote that cannot be answered: nothing leads for ever although a majority is there.
    constexpr int MaxAttempts = 6;
    std::unique_ptr<MissedAddition> scene;
    bool isPrepared = false;
    for (int attempt = 0; attempt < MaxAttempts && !isPrepared; ++attempt) {
        scene.reset();
        scene = std::make_unique<MissedAddition>();
        isPrepared = scene->prepare();
    }
    REQUIRE(isPrepared);
    scene->leader->process.reset();
    scene->replaced->process.reset();
    scene->installation.start(*scene->behind);
    CHECK(eventually(
        [&scene] {
            return scene->installation.leader() != nullptr;
        },
        {16'000}));
}
