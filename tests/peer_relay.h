/** @file peer_relay.h A relay for TCP and UDP on loopback that can delay, cut and silence the links between daemons. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <memory>

namespace Filbertlanding {

/** What a link of the relay does. */
enum class LinkMode : std::uint8_t {
    Open, ///< Passes everything on.
    Cut, ///< Connections are closed and refused, datagrams are dropped.
    Silent, ///< Takes everything and passes nothing on; connections that were open meanwhile stay silent for good.
};

/** Relays any number of links; runs on a thread of its own. */
class PeerRelay
{
public:
    PeerRelay();
    PeerRelay(const PeerRelay &) = delete;
    PeerRelay &operator=(const PeerRelay &) = delete;
    ~PeerRelay();

    /** Adds a link that listens on the first two ports and passes on to the other two, all on loopback. Returns its number; throws if a port is taken. */
    std::size_t addLink(std::uint16_t tcpPort, std::uint16_t udpPort, std::uint16_t targetTcpPort, std::uint16_t targetUdpPort);

    /** Changes what a link does. Has taken effect on return. */
    void setMode(std::size_t link, LinkMode mode);

    /** Sets the time by which a link delays each piece of a stream and each datagram. Has taken effect on return. */
    void setDelay(std::size_t link, Duration delay);

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace Filbertlanding
