/** @file fleet_descriptors_test.cpp Fleet daemons, as real processes, whose descriptors are taken by connections that do not speak. */

#include "core/clock_func.h"
#include "fleet_installation.h"
#include "raw_socket.h"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <thread>

using namespace Filbertlanding;

namespace {

constexpr int DaemonDescriptors = 300;
constexpr int SilentConnections = 340; ///< More than the daemon has descriptors.
constexpr int CallsToAnswer = 10;
constexpr suseconds_t AnswerLimitUs = 900'000; ///< Bound on each step of a call.
constexpr Duration ReadyLimit{8'000};

/** Allows this process as many descriptors as it may have. */
void raiseOwnLimit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

RawSocket connectTo(const std::string &address, std::uint16_t port)
{
    RawSocket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval limit{.tv_sec = 0, .tv_usec = AnswerLimitUs};
    socket.setTimeLimit(limit);
    sockaddr_in endpoint = RawSocket::loopback(port);
    ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    if (!socket.connect(endpoint)) {
        socket.close();
    }
    return socket;
}

/** Opens connections that each send a text, which may be empty. */
std::vector<RawSocket> connectMany(const FleetProcess &daemon, std::uint16_t port, int count, std::string_view text = {})
{
    std::vector<RawSocket> sockets;
    for (int i = 0; i < count; ++i) {
        sockets.push_back(connectTo(daemon.address, port));
        if (sockets.back().isOpen()) {
            sockets.back().sendAll(text);
        }
    }
    return sockets;
}

/** Returns whether one call is answered in time. */
bool isAnswered(const FleetProcess &daemon, std::uint16_t port)
{
    const RawSocket socket = connectTo(daemon.address, port);
    return socket.isOpen() && socket.sendAll("GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n") && socket.readSome().starts_with("HTTP/1.1 ");
}

/** Returns how many of several calls are answered in time. */
int countAnswered(const FleetProcess &daemon, std::uint16_t port)
{
    int answered = 0;
    for (int i = 0; i < CallsToAnswer; ++i) {
        answered += isAnswered(daemon, port) ? 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return answered;
}

/** Kills the entry and starts another process in its place. Returns whether that reaches the leader in time. */
bool entryComesBack(FleetInstallation &installation)
{
    installation.restart(installation.entry);
    return eventually(
        [&installation] {
            return isAnswered(installation.entry, FleetInstallation::ReadinessPort) && installation.isReady(installation.entry);
        },
        ReadyLimit);
}

/** Opens connections and, whenever the daemon closes one, another in its place, until it goes out of scope. */
class ReconnectingHost
{
public:
    ReconnectingHost(const FleetProcess &daemon, std::uint16_t port)
    {
        for (int i = 0; i < Threads; ++i) {
            this->threads.emplace_back([this, &daemon, port] {
                this->run(daemon, port);
            });
        }
    }
    ReconnectingHost(const ReconnectingHost &) = delete;
    ReconnectingHost &operator=(const ReconnectingHost &) = delete;
    ~ReconnectingHost()
    {
        this->isStopped = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    std::atomic<int> opened{0}; ///< Connections so far.

private:
    static constexpr int Threads = 4;
    static constexpr int ConnectionsOfThread = SilentConnections / Threads;

    void run(const FleetProcess &daemon, std::uint16_t port)
    {
        std::array<std::optional<RawSocket>, ConnectionsOfThread> sockets;
        while (!this->isStopped) {
            for (auto &socket : sockets) {
                if (!this->isStopped && (!socket || !socket->isOpen() || socket->hasEnded())) {
                    socket.emplace(connectTo(daemon.address, port));
                    this->opened += socket->isOpen() ? 1 : 0;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    std::atomic<bool> isStopped{false};
    std::vector<std::thread> threads;
};

} // namespace

TEST_CASE("Connections that do not speak do not shut out those that do")
{
    // Guards against a leader or an entry whose descriptors are all held, so that no call is answered and others still send callers to it.
    raiseOwnLimit();
    FleetInstallation installation;
    installation.descriptorLimit = DaemonDescriptors;
    REQUIRE(installation.startAll());

    SUBCASE("the control port of the leader")
    {
        constexpr auto Port = FleetInstallation::ControlPort;

        SUBCASE("silent connections")
        {
            const auto silent = connectMany(installation.core, Port, SilentConnections);
            CHECK(countAnswered(installation.core, Port) == CallsToAnswer);
            CHECK(countAnswered(installation.core, FleetInstallation::ReadinessPort) == CallsToAnswer);
            CHECK(countAnswered(installation.core, FleetInstallation::MetricsPort) == CallsToAnswer);
            CHECK(entryComesBack(installation));
            CHECK(countAnswered(installation.entry, FleetInstallation::CallerPort) == CallsToAnswer);
        }
        SUBCASE("half requests")
        {
            const auto silent = connectMany(installation.core, Port, SilentConnections, "POST /unknown HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
            CHECK(countAnswered(installation.core, Port) == CallsToAnswer);
        }
        SUBCASE("connections that are kept after one request")
        {
            const auto silent = connectMany(installation.core, Port, SilentConnections, "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n");
            CHECK(countAnswered(installation.core, Port) == CallsToAnswer);
        }
        SUBCASE("a host that opens a new connection for each one that is closed")
        {
            const ReconnectingHost host(installation.core, Port);
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
            CHECK(countAnswered(installation.core, Port) == CallsToAnswer);
            CHECK(countAnswered(installation.core, FleetInstallation::ReadinessPort) == CallsToAnswer);
            CHECK(host.opened > 1'000);
        }
        CHECK(installation.countEvents(installation.core, "lead_ends") == 0);
    }

    SUBCASE("the callers' port of an entry")
    {
        constexpr auto Port = FleetInstallation::CallerPort;

        SUBCASE("silent connections")
        {
            const auto silent = connectMany(installation.entry, Port, SilentConnections);
            CHECK(countAnswered(installation.entry, Port) == CallsToAnswer);
            CHECK(countAnswered(installation.entry, FleetInstallation::ReadinessPort) == CallsToAnswer);
            CHECK(installation.isReady(installation.entry));
        }
        SUBCASE("half requests")
        {
            const auto silent = connectMany(installation.entry, Port, SilentConnections, "GET /unknown HTTP/1.1\r\nHos");
            CHECK(countAnswered(installation.entry, Port) == CallsToAnswer);
        }
        SUBCASE("a core that restarts meanwhile is found again")
        {
            const auto silent = connectMany(installation.entry, Port, SilentConnections);
            installation.restart(installation.core);
            CHECK(eventually(
                [&installation] {
                    return isAnswered(installation.entry, FleetInstallation::ReadinessPort) && installation.isReady(installation.entry);
                },
                ReadyLimit));
        }
    }

    SUBCASE("the readiness port")
    {
        const auto silent = connectMany(installation.core, FleetInstallation::ReadinessPort, SilentConnections);
        CHECK(countAnswered(installation.core, FleetInstallation::ReadinessPort) == CallsToAnswer);
        CHECK(countAnswered(installation.core, FleetInstallation::ControlPort) == CallsToAnswer);
    }

    SUBCASE("the port for peer links")
    {
        constexpr auto Port = FleetInstallation::PeerPort;

        SUBCASE("silent connections")
        {
            const auto silent = connectMany(installation.core, Port, SilentConnections);
            CHECK(countAnswered(installation.core, FleetInstallation::ControlPort) == CallsToAnswer);
            CHECK(entryComesBack(installation));
        }
        SUBCASE("a host that opens a new connection for each one that is closed")
        {
            const ReconnectingHost host(installation.core, Port);
            CHECK(entryComesBack(installation));
            CHECK(countAnswered(installation.core, FleetInstallation::ControlPort) == CallsToAnswer);
        }
    }
}
