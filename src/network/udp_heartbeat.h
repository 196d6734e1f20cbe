/** @file udp_heartbeat.h Authenticated datagrams between daemons, for heartbeats with a load summary. */

#pragma once

#include "core/names_type.h"
#include "core/result_code.h"
#include "network/network_counters.h"
#include "network/peer_link.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace Filbertlanding {

/** Settings of the heartbeat socket. */
struct UdpHeartbeatSettings {
    DaemonName self; ///< Name of this daemon.
    std::string address = "127.0.0.1"; ///< IP number to bind.
    std::uint16_t port = 0; ///< UDP port; 0 takes a free one.
    std::string key; ///< Shared secret of the installation; must not be empty.
    std::uint64_t incarnation = 0; ///< Must grow with each start of this daemon, for example the calendar time in milliseconds.
};

/** Takes the payload of a datagram that is authentic and newer than all before of its sender; called on the socket's thread. */
using UdpHandler = std::function<void(const DaemonName &peer, std::uint64_t incarnation, std::string payload)>;

/**
 * Sends and receives datagrams. A datagram is bound to its sender and receiver by the key; a repeated or overtaken one is dropped.
 * A daemon that has just started has no memory of sequence numbers, so it would take one recorded datagram as new until the next real one.
 */
class UdpHeartbeat
{
public:
    UdpHeartbeat(UdpHeartbeatSettings settings, UdpHandler handler, NetworkCounters &counters);
    UdpHeartbeat(const UdpHeartbeat &) = delete;
    UdpHeartbeat &operator=(const UdpHeartbeat &) = delete;
    /** Calls stop(). */
    ~UdpHeartbeat();

    /** Binds and starts the thread. Returns BadAddress, ConflictingSettings or the error of the system. */
    std::error_code start();

    /** Returns the bound UDP port. */
    std::uint16_t port() const;

    /** Replaces the set of peers; only these are sent to and accepted. */
    void setPeers(const std::vector<PeerAddress> &peers);

    /** Sends a payload to one peer. Returns Ok once it is handed to the thread, or FrameTooLarge or UnknownPeer. */
    ResultCode send(const DaemonName &peer, std::string payload);

    /** Closes the socket and joins the thread. */
    void stop();

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace Filbertlanding
