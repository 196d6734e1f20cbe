/** @file frame_stream.h One TCP connection between daemons: handshake, frames both ways, heartbeats; used by the peer links only. */

#pragma once

#include "network/connection_table.h"
#include "network/frame_codec.h"
#include "network/peer_link.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

/** What a connection asks and tells its owner; all on the link thread. */
struct FrameStreamHooks {
    std::function<bool(const DaemonName &)> isKnownPeer; ///< Whether a daemon of this name is configured.
    std::function<void()> opened; ///< The handshake is complete.
    std::function<void(Frame &&)> received; ///< A frame that is not of the link itself.
    std::function<bool(const Frame &)> beforeSend; ///< Told before a frame is sent; false drops it, since nobody waits for it any more.
    std::function<void(ResultCode)> closed; ///< Told once: Timeout when silent, BadPeerKey, UnknownPeer, ... or ConnectionClosed.
};

/** One connection. But for push() all calls are made on the link thread. */
class FrameStream : public TrackedConnection
{
public:
    /** Begins the handshake. */
    virtual void start() = 0;

    /** Queues a frame; from any thread. Returns Ok, QueueFull, FrameTooLarge or ConnectionClosed. */
    virtual ResultCode push(Frame frame) = 0;

    /** Closes at once; the hook closed is called unless it was before. */
    virtual void close(ResultCode reason) = 0;

    /** Returns the name of the other daemon; empty until an accepted connection has shown it. */
    virtual const DaemonName &peer() const = 0;

    /** Returns whether the handshake is complete and the connection open. */
    virtual bool isOpen() const = 0;
};

/**
 * Makes the connection of a connected socket.
 * @param nativeSocket File descriptor, which the connection then owns.
 * @param dialedPeer Name of the peer that was connected to; empty for an accepted connection.
 */
std::shared_ptr<FrameStream> makeFrameStream(const PeerLinkSettings &settings,
                                             NetworkCounters &counters,
                                             boost::asio::io_context &context,
                                             int nativeSocket,
                                             bool isIpv6,
                                             const DaemonName &dialedPeer,
                                             FrameStreamHooks hooks);

} // namespace Filbertlanding
