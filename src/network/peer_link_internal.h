/** @file peer_link_internal.h The parts of the links to peers. Not for other folders. Includes Asio, so include it only in source files. */

#pragma once

#include "core/random.h"
#include "network/frame_stream.h"
#include "network/handshake_table.h"
#include "network/listen_socket.h"
#include "network/peer_request.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>

namespace Filbertlanding {

using FrameStreamPointer = std::shared_ptr<FrameStream>;
using FrameStreamHandle = std::shared_ptr<std::weak_ptr<FrameStream>>; ///< Set after the hooks of a connection are made, which refer to it.

/** What the parts of the links share. But for the fields marked otherwise, used on the link thread. */
struct PeerLinkShared {
    PeerLinkShared(PeerLinkSettings linkSettings, PeerHandler peerHandler, NetworkCounters &networkCounters);

    /** Makes the connection of a connected socket; dialedPeer is empty for an accepted one. */
    FrameStreamPointer makeStream(boost::asio::ip::tcp::socket &socket, const DaemonName &dialedPeer, FrameStreamHooks hooks);

    /** Counts and reports a connection that has closed, when it was silent or its handshake failed. */
    void noteClosed(const DaemonName &peer, ResultCode reason, bool wasOpen);

    /** Counts and reports a link that did not come about. */
    void reportRefusal(const DaemonName &peer, ResultCode code);

    PeerLinkSettings settings;
    PeerHandler handler;
    NetworkCounters &counters;
    std::unique_ptr<boost::asio::io_context> ownIo; ///< Empty on a loop of the owner. Declared before everything that uses it, so that it is destroyed later.
    boost::asio::io_context &io;
    std::function<void(const DaemonName &, bool)> linkHook;
    std::function<void(const DaemonName &, ResultCode)> refusalHook;
    std::weak_ptr<void> owner; ///< Keeps the links alive while an answer is sent.
    std::atomic<bool> stopped{false}; ///< From any thread.
};

/** Requests to peers that wait for their answers, with the timer that ends them. But for nextCorrelation() all calls are made on the link thread. */
class PeerRequests
{
public:
    explicit PeerRequests(PeerLinkShared &linkShared);

    /** Returns the correlation id of a new request; from any thread. */
    std::uint64_t nextCorrelation();

    /**
     * Sends a request.
     * @param stream Link to send it on; null if there is none.
     * @param code Why there is no link, or Ok.
     */
    void begin(const FrameStreamPointer &stream, ResultCode code, Frame frame, TimePoint deadline, PeerAnswerCallback callback);

    /** Returns the requests. */
    PeerRequestTable &table();

    /** Stops the timer. */
    void stop();

private:
    void armTimer();

    PeerLinkShared &shared;
    PeerRequestTable waiting;
    boost::asio::steady_timer timer; ///< Runs until the earliest deadline of a request.
    std::atomic<std::uint64_t> correlation{1};
};

/** Connections that peers have opened. All calls are made on the link thread. */
class AcceptedLinks
{
public:
    /** @param isConfiguredPeer Returns whether a daemon of this name is a configured peer. */
    AcceptedLinks(PeerLinkShared &linkShared, std::function<bool(const DaemonName &)> isConfiguredPeer);

    /** Binds and listens. Returns BadAddress or the error of the system. */
    std::error_code listen();

    /** Begins to accept. */
    void start();

    /** Returns the TCP port that connections are accepted on. */
    std::uint16_t port() const;

    /** Returns the connections in the handshake in brief. */
    ConnectionSummary handshakeSummary() const;

    /** Closes the connections of a peer that is not configured any more. */
    void closePeer(const DaemonName &peer);

    /** Accepts no more connections, and gives up none for other users of the descriptors. */
    void stopListening();

    /** Closes all connections. */
    void closeAll();

private:
    void onAccepted(boost::asio::ip::tcp::socket socket);
    FrameStreamHooks hooksFor(const FrameStreamHandle &self);
    void onOpen(const FrameStreamPointer &stream);
    void onClosed(const FrameStreamPointer &stream);
    void onFrame(const FrameStreamPointer &stream, Frame &&frame);
    PeerReply makeReply(const FrameStreamPointer &stream, const Frame &frame);

    PeerLinkShared &shared;
    std::function<bool(const DaemonName &)> isConfigured;
    std::optional<Listener> listener;
    std::uint16_t listenPort = 0;
    std::map<DaemonName, FrameStreamPointer> openStreams; ///< The open connection of each configured peer that has one.
    std::set<FrameStreamPointer> streams; ///< All connections, with or without a complete handshake.
    HandshakeTable handshakes; ///< Connections without a complete handshake.
};

/** Connections that this daemon opens to its configured peers. But for the functions marked otherwise all calls are made on the link thread. */
class DialedLinks
{
public:
    /** @param onPeerRemoved Told that a peer is not configured any more, after the connection to it is closed. */
    DialedLinks(PeerLinkShared &linkShared, PeerRequests &peerRequests, std::function<void(const DaemonName &)> onPeerRemoved);

    /** Makes the peers known to sendStream(), those without an open connection too; from any thread. */
    void listPeers(const std::vector<PeerAddress> &addresses);

    /** Opens connections to new peers, and removes those that are not in the list any more. */
    void replacePeers(const std::vector<PeerAddress> &addresses);

    /** Removes all peers. */
    void removeAll();

    /** Returns whether a daemon is a configured peer. */
    bool isConfigured(const DaemonName &name) const;

    /**
     * Returns the open connection to a peer, or null; from any thread.
     * @param code [out] Ok, UnknownPeer or ConnectionClosed.
     */
    FrameStreamPointer sendStream(const DaemonName &peer, ResultCode &code) const;

private:
    struct Peer;
    using PeerPointer = std::shared_ptr<Peer>;

    void addPeer(const PeerAddress &address);
    void removePeer(const PeerPointer &peer);
    void dial(const PeerPointer &peer);
    void bindOwnAddress(boost::asio::ip::tcp::socket &socket);
    void onConnected(const PeerPointer &peer, boost::system::error_code error);
    FrameStreamHooks hooksFor(const PeerPointer &peer, const FrameStreamHandle &self);
    void onOpen(const PeerPointer &peer);
    void onClosed(const PeerPointer &peer, const FrameStreamPointer &stream, ResultCode reason, bool wasOpen);
    void onFrame(const FrameStreamPointer &stream, Frame &&frame);
    void dialLater(const PeerPointer &peer);
    void setSendStream(const DaemonName &peer, const FrameStreamPointer &stream);

    PeerLinkShared &shared;
    PeerRequests &requests;
    std::function<void(const DaemonName &)> peerRemoved;
    Random random; ///< Spreads the tries of several daemons.
    std::map<DaemonName, PeerPointer> peers;

    mutable std::mutex sendMutex; ///< Guards sendStreams.
    std::map<DaemonName, FrameStreamPointer> sendStreams; ///< For each configured peer its open connection, or null.
};

} // namespace Filbertlanding
