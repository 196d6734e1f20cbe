/** @file fleet_limits_test.cpp Recurring work of a fleet daemon after an error, such as a lack of memory, in one of its rounds. */

#include "fleetd/daemon_listeners.h"
#include "fleetd/load_monitor.h"
#include "fleetd/settings_file.h"
#include "network/descriptor_pool.h"
#include "network/listen_socket.h"
#include "network/network_counters.h"
#include "runtime/run_loop.h"

#include "raw_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <new>

using namespace Filbertlanding;

namespace {

/** Runs a loop for a time, and goes on after errors like a daemon. */
void runFor(boost::asio::io_context &loop, std::chrono::milliseconds time)
{
    boost::asio::steady_timer end(loop, time);
    end.async_wait([&loop](const boost::system::error_code &) {
        loop.stop();
    });
    loop.restart();
    runLoop(loop, [](std::string_view) {});
}

} // namespace

TEST_CASE("The measurement of the event loop goes on after an error in one round")
{
    // Guards against a core that never leads again, since its replica is no longer told that the event loop runs.
    boost::asio::io_context loop;
    const NetworkCounters counters;
    const DescriptorPool descriptors(256);
    LoadMonitor monitor(loop, counters, descriptors);
    int rounds = 0;
    monitor.sampled = [&rounds] {
        if (++rounds == 1) {
            throw std::bad_alloc();
        }
    };
    monitor.start();
    runFor(loop, std::chrono::milliseconds(600));
    CHECK(rounds > 1);
}
