/** @file peer_link.h TCP links between daemons: framed, authenticated, with heartbeats and reconnection (design section 10). */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "core/result_code.h"
#include "network/connection_shortage.h"
#include "network/network_counters.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace boost::asio { // NOLINT(readability-identifier-naming): the name is Boost's
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

class DescriptorPool;

/** One configured peer. */
struct PeerAddress {
    DaemonName name; ///< Name of the daemon.
    std::string address; ///< IP number.
    std::uint16_t port = 0; ///< TCP port of its peer listener, or UDP port of its heartbeat socket.
};

/** Settings of the links of one daemon. */
struct PeerLinkSettings {
    DaemonName self; ///< Name of this daemon; at most 64 bytes.
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0; ///< TCP port to listen on; 0 takes a free one.
    bool dialsFromAddress = false; ///< Links to peers leave from the address, so that what stands between can tell the daemons of one host apart.
    std::string key; ///< Shared secret of the installation; must not be empty.
    std::size_t maxQueuedBytes = std::size_t{16} * 1024 * 1024; ///< Bytes that wait to be sent on one link.
    std::size_t maxQueuedMessages = 4096; ///< Messages that wait to be sent on one link.
    std::size_t maxHandshakes = 512; ///< Accepted connections that have not completed the handshake; all hosts dial a new leader at the same moment.
    DescriptorPool *descriptors = nullptr; ///< Descriptors that are shared with other users on the loop of the owner; null for none.
    Duration connectTimeout{2'000}; ///< Time to connect, and time to complete the handshake.
    Duration heartbeatInterval{1'000}; ///< A heartbeat is sent when nothing else was for this time.
    Duration silentTimeout{3'500}; ///< Time without a received byte after which a link is replaced.
    Duration backoffMin{100}; ///< Wait before the first new try to connect; doubles with each failure, with random variation.
    Duration backoffMax{3'000}; ///< Longest wait before a new try.
    bool acceptsUnlisted = false; ///< Also daemons that are no configured peers may open links, if they have the key; they get answers on them.
    std::function<void(ShortageEvent)> onShortage = [](ShortageEvent) {}; ///< Told that handshakes or descriptors are short, on the link thread.
    boost::asio::io_context *loop = nullptr; ///< Event loop of the owner to run on instead of an own thread; all calls are then made on it.
};

/** Outcome of a request to a peer. */
struct PeerAnswer {
    ResultCode code = ResultCode::Internal; ///< Ok, Timeout, ConnectionClosed, QueueFull, UnknownPeer or FrameTooLarge.
    bool bytesSent = false; ///< False only if certainly no byte of the request has left the process.
    std::string payload; ///< Payload of the answer.
};

using PeerAnswerCallback = std::function<void(PeerAnswer)>; ///< Called exactly once, on the link thread; after stop() on the calling thread.
using PeerReply =
    std::function<void(std::string payload)>; ///< Sends the answer of a request; from any thread, the first call counts. Empty for a one-way message.

/** Takes a message from a peer; called on the link thread in the order of sending for each peer; must not block. */
using PeerHandler = std::function<void(const DaemonName &peer, std::uint8_t kind, std::string payload, PeerReply reply)>;

/**
 * Links of one daemon to all its configured peers. A daemon sends its own messages and requests on the link that it opened; on links
 * that peers opened it receives, and sends only answers and heartbeats. So no two daemons have to agree on which of two links to keep.
 * A message to a peer without an open link is refused at once and not kept for later.
 */
class PeerLinks
{
public:
    PeerLinks(PeerLinkSettings settings, PeerHandler handler, NetworkCounters &counters);
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;
    /** Calls stop(). */
    ~PeerLinks();

    /** Sets the hook that is told when the link to a peer opens or closes. To be set before start(); called on the link thread. */
    void setLinkHook(std::function<void(const DaemonName &peer, bool open)> hook);

    /**
     * Sets the hook that is told when a handshake failed, for the log of the daemon. To be set before start(); called on the link thread.
     * The peer is empty when it has not shown a valid name; the code is BadPeerKey, UnknownPeer, VersionUnsupported, FrameCorrupt, FrameTooLarge,
     * ConflictingSettings (the address belongs to another daemon) or Timeout.
     */
    void setRefusalHook(std::function<void(const DaemonName &peer, ResultCode code)> hook);

    /** Changes PeerLinkSettings::maxHandshakes; only on the link thread. */
    void setMaxHandshakes(std::size_t limit);

    /** Returns the connections in the handshake in brief; only on the link thread. */
    ConnectionSummary handshakeSummary() const;

    /** Binds, listens and starts the thread. Returns BadAddress, ConflictingSettings or the error of the system. */
    std::error_code start();

    /** Returns the TCP port that the links are accepted on. */
    std::uint16_t port() const;

    /** Replaces the set of peers; links to and from peers that are not in it any more are closed. May be called before and after start(). */
    void setPeers(std::vector<PeerAddress> peers);

    /** Sends a message without an answer. Returns Ok once it is queued, or QueueFull, ConnectionClosed, UnknownPeer or FrameTooLarge. */
    ResultCode sendOneWay(const DaemonName &peer, std::uint8_t kind, std::string payload);

    /** Sends a request. */
    void sendRequest(const DaemonName &peer, std::uint8_t kind, std::string payload, Duration timeout, PeerAnswerCallback callback);

    /** Returns whether the link to this peer is open. */
    bool isOpen(const DaemonName &peer) const;

    /** Closes all links and joins the thread; must not be called on the link thread. */
    void stop();

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace Filbertlanding
