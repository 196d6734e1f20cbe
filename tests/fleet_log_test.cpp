/** @file fleet_log_test.cpp Fleet daemons, as real processes, whose log cannot be written. */

#include "fleet_installation.h"

#include <doctest/doctest.h>

#include <csignal>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace Filbertlanding;

namespace {

constexpr int PipeBytes = 4'096;
constexpr int CallsThatLog = 200; ///< Their lines are longer than the pipe.

} // namespace

// Guards against a daemon that does not end at SIGTERM, and is killed, since nobody reads its log.
TEST_CASE("A daemon whose log nobody reads serves calls, and ends in time")
{
    FleetInstallation installation;
    FleetProcess &core = installation.core;
    REQUIRE(::mkfifo(installation.logPath(core).c_str(), 0600) == 0);
    const int pipe = ::open(installation.logPath(core).c_str(), O_RDWR | O_CLOEXEC);
    REQUIRE(pipe >= 0);
    REQUIRE(::fcntl(pipe, F_SETPIPE_SZ, PipeBytes) >= 0);
    REQUIRE(installation.startAll());
    for (int i = 0; i < CallsThatLog; ++i) {
        REQUIRE(installation.get(core, FleetInstallation::ControlPort, "/unknown/" + std::to_string(i)) == 404);
    }

    core.process->signal(SIGTERM);
    CHECK(core.process->waitForEnd({FleetShape().stopGraceMs}) == std::optional<int>(0));
    ::close(pipe);
}
