/** @file fleet_redirect_test.cpp Calls at a core whose replica does not run, from real processes. */

#include "fleet_installation.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>

using namespace Filbertlanding;

namespace {

constexpr Duration FindLimit{2'000}; ///< Shorter than a data folder in use was tried before the process ended.

const std::string Report = R"({"service":"s1","address":"10.0.0.9:8080","zone":"zone-1","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,)"
                           R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":[],"clockMs":482113,"seq":4,"born":1700000000000})";

/** Holds the data folder of a core as another process would, until it goes out of scope. */
class HeldDataFolder
{
public:
    explicit HeldDataFolder(const std::filesystem::path &folder)
        : file(::open((folder / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600))
        , isHeld(this->file >= 0 && ::flock(this->file, LOCK_EX | LOCK_NB) == 0)
    {
    }
    HeldDataFolder(const HeldDataFolder &) = delete;
    HeldDataFolder &operator=(const HeldDataFolder &) = delete;
    ~HeldDataFolder()
    {
        ::close(this->file);
    }

private:
    int file;

public:
    const bool isHeld;
};

/** Returns where a core sends a call; empty if it does not redirect it. */
std::string redirectOf(FleetInstallation &installation, const FleetProcess &core, HttpRequest request)
{
    const HttpExchange outcome = installation.exchange(core, FleetInstallation::ControlPort, std::move(request), {.timeout = {900}, .freshConnection = true});
    if (outcome.code != ResultCode::Ok || outcome.response.status != 307) {
        return {};
    }
    const auto &headers = outcome.response.headers;
    const auto location = std::find_if(headers.begin(), headers.end(), [](const HttpHeader &header) {
        return header.name == "Location" || header.name == "location";
    });
    return location == headers.end() ? std::string() : location->value;
}

} // namespace

// Guards against operators and workers at a core without a replica that are told that nothing leads, although a leader is there.
TEST_CASE("A core whose data folder cannot be opened sends calls to the leader")
{
    FleetInstallation installation({.cores = 3, .entries = 1});
    REQUIRE(installation.startAll());
    REQUIRE(installation.awaitLeader() != nullptr);
    FleetProcess &core = installation.cores[2];
    core.process.reset();
    const HeldDataFolder held(installation.dataPath(core));
    REQUIRE(held.isHeld);
    const FleetProcess *leader = installation.awaitLeader();
    REQUIRE(leader != nullptr);
    const std::string control = "http://" + endpointOf(*leader, FleetInstallation::ControlPort);
    installation.start(core);

    CHECK(eventually(
        [&] {
            return redirectOf(installation, core, {"GET", "/config", {}, {}, {}}) == control + "/config";
        },
        FindLimit));
    CHECK(redirectOf(installation, core, {"PUT", "/instances/i-1", {{"Content-Type", "application/json"}}, Report, {}}) == control + "/instances/i-1");
}
