/** @file peer_handshake.cpp Challenge handshake of a link between daemons. */

#include "network/peer_handshake.h"

#include "core/bounded_archive.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    using NameBytes = std::array<char, MaxPeerNameBytes>; ///< Name padded with zero bytes: no length that a sender could choose.

    /** Payload of every frame of the handshake. */
    struct HandshakeBody {
        NameBytes dialer{};
        NameBytes acceptor{};
        HandshakeNonce dialerNonce{};
        HandshakeNonce acceptorNonce{};

        bool operator==(const HandshakeBody &) const = default;

        template<class Archive>
        void serialize(Archive &archive)
        {
            archive(this->dialer, this->acceptor, this->dialerNonce, this->acceptorNonce);
        }
    };

    NameBytes padded(const DaemonName &name)
    {
        NameBytes bytes{};
        std::copy_n(name.begin(), std::min(name.size(), bytes.size()), bytes.begin());
        return bytes;
    }

    DaemonName unpadded(const NameBytes &bytes)
    {
        return {bytes.begin(), std::find(bytes.begin(), bytes.end(), '\0')};
    }

    std::string encodeBody(const HandshakeBody &body)
    {
        return encodeBounded(body);
    }

    std::optional<HandshakeBody> decodeBody(const std::string &payload)
    {
        return decodeBounded<HandshakeBody>(payload);
    }

    HandshakeBody bodyOf(const Handshake &handshake)
    {
        const DaemonName &dialer = handshake.dialer ? handshake.self : handshake.peer;
        const DaemonName &acceptor = handshake.dialer ? handshake.peer : handshake.self;
        return {padded(dialer), padded(acceptor), handshake.dialerNonce, handshake.acceptorNonce};
    }

    Frame makeFrame(LinkFrameKind kind, const Handshake &handshake)
    {
        return {static_cast<std::uint8_t>(kind), FrameFlow::Link, 0, 0, encodeBody(bodyOf(handshake))};
    }

    HandshakeStep takeHello(Handshake &handshake, const HandshakeBody &body, const std::function<bool(const DaemonName &)> &isKnownPeer)
    {
        if (unpadded(body.acceptor) != handshake.self) {
            return {ResultCode::ConflictingSettings, {}};
        }
        const DaemonName peer = unpadded(body.dialer);
        if (peer == handshake.self || !isKnownPeer(peer)) {
            return {ResultCode::UnknownPeer, {}};
        }
        handshake.peer = peer;
        handshake.dialerNonce = body.dialerNonce;
        handshake.expected = LinkFrameKind::Proof;
        return {ResultCode::Pending, makeFrame(LinkFrameKind::Challenge, handshake)};
    }

    HandshakeStep takeChallenge(Handshake &handshake, const HandshakeBody &body)
    {
        handshake.acceptorNonce = body.acceptorNonce;
        if (body != bodyOf(handshake)) {
            return {ResultCode::FrameCorrupt, {}};
        }
        handshake.expected = LinkFrameKind::Welcome;
        return {ResultCode::Pending, makeFrame(LinkFrameKind::Proof, handshake)};
    }

    LinkKeys keysFor(const Handshake &handshake, const std::string &label)
    {
        const FrameKey fromDialer = deriveKey(handshake.secret, label + " from dialer");
        const FrameKey fromAcceptor = deriveKey(handshake.secret, label + " from acceptor");
        return handshake.dialer ? LinkKeys{fromDialer, fromAcceptor} : LinkKeys{fromAcceptor, fromDialer};
    }

} // namespace

Frame beginHandshake(Handshake &handshake, const HandshakeNonce &ownNonce)
{
    handshake.dialer = true;
    handshake.dialerNonce = ownNonce;
    handshake.expected = LinkFrameKind::Challenge;
    return makeFrame(LinkFrameKind::Hello, handshake);
}

void awaitHandshake(Handshake &handshake, const HandshakeNonce &ownNonce)
{
    handshake.dialer = false;
    handshake.acceptorNonce = ownNonce;
    handshake.expected = LinkFrameKind::Hello;
}

HandshakeStep handshakeStep(Handshake &handshake, const Frame &frame, const std::function<bool(const DaemonName &)> &isKnownPeer)
{
    const auto body = decodeBody(frame.payload);
    if (frame.flow != FrameFlow::Link || frame.kind != static_cast<std::uint8_t>(handshake.expected) || !body) {
        return {ResultCode::FrameCorrupt, {}};
    }
    if (handshake.expected == LinkFrameKind::Hello) {
        return takeHello(handshake, *body, isKnownPeer);
    }
    if (handshake.expected == LinkFrameKind::Challenge) {
        return takeChallenge(handshake, *body);
    }
    // Proof and Welcome repeat both names and both nonces, so a recorded one does not fit.
    if (*body != bodyOf(handshake)) {
        return {ResultCode::FrameCorrupt, {}};
    }
    if (handshake.dialer) {
        return {ResultCode::Ok, {}};
    }
    return {ResultCode::Ok, makeFrame(LinkFrameKind::Welcome, handshake)};
}

LinkKeys handshakeKeys(const Handshake &handshake)
{
    return keysFor(handshake, "handshake");
}

LinkKeys sessionKeys(const Handshake &handshake)
{
    return keysFor(handshake, "session " + encodeBody(bodyOf(handshake)));
}

} // namespace Filbertlanding
