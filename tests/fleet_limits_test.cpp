/** @file fleet_limits_test.cpp Recurring work of a fleet daemon after an error, such as a lack of memory, in one of its rounds. */

#include "fleetd/daemon_listeners.h"
#include "fleetd/load_monitor.h"
#include "fleetd/settings_file.h"
#include "network/descriptor_pool.h"
#include "network/listen_socket.h"
#include "network/network_counters.h"
#include "runtime/log_func.h"
#include "runtime/run_loop.h"

#include "raw_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <new>
#include <vector>

using namespace Filbertlanding;

namespace {

thread_local bool isMemoryExhausted = false;

/** Lets each allocation of this thread fail until it goes out of scope. */
struct ExhaustedMemory {
    ExhaustedMemory()
    {
        isMemoryExhausted = true;
    }
    ExhaustedMemory(const ExhaustedMemory &) = delete;
    ExhaustedMemory &operator=(const ExhaustedMemory &) = delete;
    ~ExhaustedMemory()
    {
        isMemoryExhausted = false;
    }
};

} // namespace

void *operator new(std::size_t bytes)
{
    void *memory = isMemoryExhausted ? nullptr : std::malloc(bytes);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

// Not inlined, since GCC takes the call of free() in an inlined one for a mismatch with the allocation.
[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

/** Runs a loop for a time, and goes on after errors like a daemon. */
void runFor(boost::asio::io_context &loop, std::chrono::milliseconds time)
{
    boost::asio::steady_timer end(loop, time);
    end.async_wait([&loop](const boost::system::error_code &) {
        loop.stop();
    });
    loop.restart();
    runLoop(loop, [](std::string_view) {
        isMemoryExhausted = false;
    });
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

TEST_CASE("A listener goes on after an error with one connection")
{
    // Guards against a port that is open and accepts nothing any more.
    boost::asio::io_context loop;
    int accepted = 0;
    ListenerHooks hooks;
    hooks.accepted = [&accepted](const boost::asio::ip::tcp::socket &) {
        if (++accepted == 1) {
            throw std::bad_alloc();
        }
    };
    Listener listener(loop, std::move(hooks));
    std::uint16_t port = 0;
    REQUIRE(!listener.open("127.0.0.1", port));
    listener.start();
    const RawSocket first = RawSocket::connectTo(port);
    runFor(loop, std::chrono::milliseconds(100));
    CHECK(accepted == 1);
    const RawSocket second = RawSocket::connectTo(port);
    runFor(loop, std::chrono::milliseconds(400));
    CHECK(accepted == 2);
}

TEST_CASE("A listener goes on although its retry finds no memory")
{
    // Guards against a port that accepts nothing any more, once memory was short for a moment.
    boost::asio::io_context loop;
    int accepted = 0;
    ListenerHooks hooks;
    hooks.accepted = [&accepted](const boost::asio::ip::tcp::socket &) {
        if (++accepted == 1) {
            isMemoryExhausted = true;
            throw std::bad_alloc();
        }
    };
    hooks.acceptFailed = [] {
        isMemoryExhausted = false;
    };
    Listener listener(loop, std::move(hooks));
    std::uint16_t port = 0;
    REQUIRE(!listener.open("127.0.0.1", port));
    listener.start();
    const RawSocket first = RawSocket::connectTo(port);
    runFor(loop, std::chrono::milliseconds(100));
    CHECK(accepted == 1);
    const RawSocket second = RawSocket::connectTo(port);
    runFor(loop, std::chrono::milliseconds(400));
    CHECK(accepted == 2);
}

TEST_CASE("A settings file that cannot be read is no error of the daemon")
{
    // Guards against a leader that ends its leadership, and settings that are never read again, after one failed read.
    std::string pattern = (std::filesystem::temp_directory_path() / "filbertlanding-settings-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    const std::filesystem::path folder = pattern;
    const std::filesystem::path path = folder / "settings.json";
    std::filesystem::create_directory(path); // Reads of a folder fail as those of a bad disk do.
    CHECK(readSettingsFile(path.string()).isIncomplete);
    const auto reload = settingsReloadFrom(path.string(), {});
    CHECK(!reload().has_value());
    std::filesystem::remove_all(folder);
}

TEST_CASE("A port that could not be opened for want of memory is tried again")
{
    // Guards against a daemon that ends at its start because a limit was reached for a moment.
    CHECK(mayComeFree(std::make_error_code(std::errc::not_enough_memory)));
    CHECK(mayComeFree(std::make_error_code(std::errc::no_buffer_space)));
    CHECK(!mayComeFree(std::make_error_code(std::errc::permission_denied)));
}

TEST_CASE("Recurring waits are set also while there is no memory")
{
    // Guards against a port that accepts nothing any more, and a core that never leads again, once memory was short for a moment.
    boost::asio::io_context loop;
    std::vector<boost::asio::steady_timer> others;
    for (int i = 0; i < 3; ++i) { // The loop's list of timers has room for one more then.
        others.emplace_back(loop, std::chrono::hours(1)).async_wait([](const boost::system::error_code &) {});
    }
    Listener listener(loop, {});
    std::uint16_t port = 0;
    REQUIRE(!listener.open("127.0.0.1", port));
    const NetworkCounters counters;
    const DescriptorPool descriptors(256);
    LoadMonitor monitor(loop, counters, descriptors);
    bool hasFailed = false;
    try {
        const ExhaustedMemory exhausted;
        listener.start();
        monitor.start();
    } catch (const std::bad_alloc &) {
        hasFailed = true;
    }
    CHECK(!hasFailed);
}

TEST_CASE("A line for which there is no memory is left out")
{
    // Guards against work that ends halfway, since it could not be logged.
    REQUIRE(setLogLevel("info"));
    logLine(LogArea::Daemon, LogLevel::Info, "prepared", {});
    bool hasFailed = false;
    try {
        const ExhaustedMemory exhausted;
        logLine(LogArea::Daemon, LogLevel::Info, "an_event_with_a_name_that_needs_memory", {});
    } catch (const std::bad_alloc &) {
        hasFailed = true;
    }
    CHECK(!hasFailed);
}
