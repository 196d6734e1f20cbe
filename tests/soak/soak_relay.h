/** @file soak_relay.h A relay for TCP in front of daemons and workers that can hold, delay, reset and silence connections. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <memory>
#include <string>

namespace boost::asio { // NOLINT(readability-identifier-naming): the name is Boost's
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

/** Passes connections on to another port of the same address. Sides are known by their IP addresses. All calls are made on its loop. */
class SoakRelay
{
public:
    explicit SoakRelay(boost::asio::io_context &loop);
    SoakRelay(const SoakRelay &) = delete;
    SoakRelay &operator=(const SoakRelay &) = delete;
    ~SoakRelay();

    /** Listens on a port and passes connections on to another port of the address. Throws if the port is taken. */
    void listen(const std::string &address, std::uint16_t port, std::uint16_t targetPort);

    /** Holds what one side sends to the other, as a network does that is cut one way, or passes it on again. */
    void setBlocked(const std::string &from, const std::string &to, bool isBlocked);

    /** Delays each piece that one side receives. */
    void setDelay(const std::string &to, Duration latency);

    /** Closes all connections to a port, or with port 0 all connections from or to an address. */
    void resetConnections(const std::string &address, std::uint16_t port = 0);

    /** Passes nothing on any more on the open connections from or to an address; new ones work. */
    void blackhole(const std::string &address);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace Filbertlanding
