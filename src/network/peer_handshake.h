/** @file peer_handshake.h Challenge handshake of a link between daemons, as a state machine without a socket. */

#pragma once

#include "network/frame_codec.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Filbertlanding {

using HandshakeNonce = std::array<std::uint8_t, 32>; ///< Random number of one side, new for each link.

/** Kinds of frames with the flow Link. */
enum class LinkFrameKind : std::uint8_t {
    Hello = 0, ///< From the side that connects: both names and its nonce.
    Challenge = 1, ///< Answer: the same with the nonce of the accepting side.
    Proof = 2, ///< The side that connects repeats everything under its key.
    Welcome = 3, ///< The accepting side has checked the proof; session keys are used from here on.
    Heartbeat = 4, ///< Sent on an open link when nothing else was.
};

/** Keys of the two directions as one side uses them. */
struct LinkKeys {
    FrameKey send; ///< For frames that this side sends.
    FrameKey receive; ///< For frames that this side receives.
};

/** State of one side. */
struct Handshake {
    bool dialer = false; ///< Whether this side opened the connection.
    DaemonName self; ///< This daemon.
    DaemonName peer; ///< The other daemon; known from the start to the dialer only.
    std::string secret; ///< Shared key of the installation.
    HandshakeNonce dialerNonce{}; ///< Nonce of the dialer.
    HandshakeNonce acceptorNonce{}; ///< Nonce of the accepting side.
    LinkFrameKind expected = LinkFrameKind::Hello; ///< Frame that must come next.
};

/** What a frame of the handshake leads to. */
struct HandshakeStep {
    ResultCode code = ResultCode::FrameCorrupt; ///< Ok when complete, Pending when more must come, UnknownPeer, FrameCorrupt or ConflictingSettings.
    std::optional<Frame> reply; ///< Frame to send with the handshake keys; its sequence number is left to the sender.
};

/** Begins the dialer's side. Returns the first frame to send. */
Frame beginHandshake(Handshake &handshake, const HandshakeNonce &ownNonce);

/** Begins the accepting side, which sends nothing yet. */
void awaitHandshake(Handshake &handshake, const HandshakeNonce &ownNonce);

/**
 * Takes a frame whose keyed hash was right.
 * @param isKnownPeer Says whether a daemon of this name is configured.
 */
HandshakeStep handshakeStep(Handshake &handshake, const Frame &frame, const std::function<bool(const DaemonName &)> &isKnownPeer);

/** Keys of the handshake itself, one for each direction, so that a frame cannot be sent back to its sender. */
LinkKeys handshakeKeys(const Handshake &handshake);

/** Keys after the handshake, derived from both names and both nonces, so that no frame of another link is accepted. */
LinkKeys sessionKeys(const Handshake &handshake);

} // namespace Filbertlanding
