/** @file soak_relay.h TCP relay in front of daemons and workers that can block, delay, reset and blackhole connections. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio { // NOLINT(readability-identifier-naming): the name is Boost's
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

/** Forwards connections to another port of the same address. Peers are identified by IP address. Must only be used on its event loop. */
class SoakRelay
{
public:
    explicit SoakRelay(boost::asio::io_context &loop);
    SoakRelay(const SoakRelay &) = delete;
    SoakRelay &operator=(const SoakRelay &) = delete;
    ~SoakRelay();

    /** Listens on a port and forwards connections to another port of the address. Throws if the port is in use. */
    void listen(const std::string &address, std::uint16_t port, std::uint16_t targetPort);

    /** Blocks or unblocks the traffic in one direction, as in a one-way network partition. */
    void setBlocked(const std::string &from, const std::string &to, bool isBlocked);

    /** Delays each chunk of data sent to an address. */
    void setDelay(const std::string &to, Duration latency);

    /** Closes all connections to a port of an address, or with port 0 all connections from or to the address. */
    void resetConnections(const std::string &address, std::uint16_t port = 0);

    /** Stops forwarding on open connections, chosen as for resetConnections(), without closing them; new connections work. */
    void blackhole(const std::string &address, std::uint16_t port = 0);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace Filbertlanding
