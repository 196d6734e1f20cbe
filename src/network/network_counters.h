/** @file network_counters.h Counters of the network adapters, for operators and for the control budget. */

#pragma once

#include <atomic>
#include <cstdint>

namespace Filbertlanding {

/** Counters of all network adapters of one process. All grow only, but for those named as current numbers. */
struct NetworkCounters {
    using Count = std::atomic<std::uint64_t>;

    Count httpConnectionsAccepted{0}; ///< Connections that the HTTP server accepted.
    Count httpConnectionsOpen{0}; ///< Current number of connections of the HTTP server.
    Count httpConnectionsRefused{0}; ///< Connections closed at once, since too many were open and all were busy.
    Count httpConnectionsDisplaced{0}; ///< Connections without a request under way that were closed for new ones, since too many were open.
    Count httpAcceptsFailed{0}; ///< Failed accepts, for example for want of file descriptors; no connection is accepted for a while after one.
    Count httpRequests{0}; ///< Whole requests that were given to the handler.
    Count httpResponses{0}; ///< Responses that were written whole.
    Count httpMalformed{0}; ///< Requests refused because they were malformed or too large.
    Count httpSlowSenders{0}; ///< Connections closed because a request took too long to arrive.
    Count httpEarlyDisconnects{0}; ///< Connections that the caller closed with answers outstanding.
    Count httpResponsesDropped{0}; ///< Responses whose connection had gone.
    Count httpDuplicateResponses{0}; ///< Second calls of a respond function, which were ignored.

    Count clientConnectsStarted{0}; ///< Connections that the HTTP client began to open.
    Count clientConnectsFailed{0}; ///< Connections that could not be opened.
    Count clientExchanges{0}; ///< Requests that the HTTP client was given.
    Count clientOk{0}; ///< Exchanges with a whole response.
    Count clientOutcomeUnknown{0}; ///< Exchanges that broke or timed out after a byte may have been sent.
    Count clientNotSent{0}; ///< Exchanges that ended before any byte was sent.
    Count clientStaleClosed{0}; ///< Idle connections closed since they were readable, at EOF or suspect.
    Count clientIdleDisplaced{0}; ///< Idle connections closed for other connections of the process, since too many descriptors were in use.
    Count clientSilent{0}; ///< Times that a connection gave no byte of an answer within the bound.

    Count peerBytesSent{0}; ///< Bytes written to peer links, without TCP/IP headers.
    Count peerBytesReceived{0}; ///< Bytes read from peer links, without TCP/IP headers.
    Count peerFramesSent{0}; ///< Frames written to peer links.
    Count peerFramesReceived{0}; ///< Frames read from peer links.
    Count peerLinksOpened{0}; ///< Links that this process opened and that completed the handshake.
    Count peerLinksAccepted{0}; ///< Links of peers that completed the handshake.
    Count peerLinksRefused{0}; ///< Handshakes refused: wrong key, unknown peer, unsupported version or malformed.
    Count peerHandshakesDisplaced{0}; ///< Connections closed in the handshake for new ones, since too many were open.
    Count peerAcceptsFailed{0}; ///< Failed accepts of peers, for example for want of file descriptors.
    Count peerLinksSilent{0}; ///< Links replaced because no byte arrived within the bound.
    Count peerSendDropped{0}; ///< Messages refused since the send queue of the link was full.
    Count peerRequestTimeouts{0}; ///< Requests to peers that were not answered in time.

    Count udpBytesSent{0}; ///< Bytes of datagrams sent, without UDP/IP headers.
    Count udpBytesReceived{0}; ///< Bytes of datagrams received, without UDP/IP headers.
    Count udpRefused{0}; ///< Datagrams dropped: wrong key, unknown sender or malformed.
    Count udpOld{0}; ///< Datagrams dropped because a newer one of the sender had arrived.

    /** Returns the bytes that the control traffic of this process took so far, both ways, without headers of IP, TCP and UDP. */
    std::uint64_t controlBytes() const
    {
        return this->peerBytesSent + this->peerBytesReceived + this->udpBytesSent + this->udpBytesReceived;
    }
};

} // namespace Filbertlanding
