/** @file frame_codec.h Encodes and decodes the frames and datagrams between daemons (design section 10). Pure functions over bytes. */

#pragma once

#include "core/names_type.h"
#include "core/result_code.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Filbertlanding {

using FrameMac = std::array<std::uint8_t, 32>; ///< HMAC-SHA256.
using FrameKey = std::array<std::uint8_t, 32>; ///< Key of one direction of one link, or of all datagrams.

constexpr std::uint8_t FrameFormatVersion = 2; ///< Version of the layout below and of the payloads; sizes in payloads had 64 bits in version 1.
constexpr std::size_t FrameLengthBytes = 4; ///< Length field, which does not count itself.
constexpr std::size_t FrameHeaderBytes = 1 + 1 + 1 + 8 + 8; ///< Version, kind, flow, correlation, sequence.
constexpr std::size_t FrameOverheadBytes = FrameLengthBytes + FrameHeaderBytes + sizeof(FrameMac); ///< Bytes of a frame without payload.
constexpr std::size_t MaxFrameBytes = std::size_t{4} * 1024 * 1024; ///< Largest value of the length field.
constexpr std::size_t MaxFramePayload = MaxFrameBytes - FrameHeaderBytes - sizeof(FrameMac); ///< Largest payload.
constexpr std::size_t MaxDatagramPayload = 1200; ///< Largest payload of a datagram, so that it is not fragmented.
constexpr std::size_t MaxPeerNameBytes = 64; ///< Longest name of a daemon on the wire.

/** What a frame is part of. */
enum class FrameFlow : std::uint8_t {
    OneWay = 0, ///< Has no answer.
    Request = 1, ///< Is answered by a frame with the same correlation.
    Answer = 2, ///< Answers a request.
    Link = 3, ///< Handshake and heartbeat of the link itself.
};

/** A frame. On the wire: u32 length, u8 version, u8 kind, u8 flow, u64 correlation, u64 sequence, payload, 32 bytes MAC; big endian. */
struct Frame {
    std::uint8_t kind = 0; ///< Meaning of the payload; chosen by the user of the link.
    FrameFlow flow = FrameFlow::OneWay; ///< What the frame is part of.
    std::uint64_t correlation = 0; ///< Connects an answer with its request.
    std::uint64_t sequence = 0; ///< Number of the frame on its link and direction, from 0 without gaps.
    std::string payload; ///< Bytes, at most MaxFramePayload.

    bool operator==(const Frame &) const = default;
};

/** Result of decoding the start of a byte stream. */
struct FrameDecode {
    ResultCode code = ResultCode::Pending; ///< Ok, Pending (more bytes are needed), FrameTooLarge, FrameCorrupt, VersionUnsupported or BadPeerKey.
    std::size_t consumed = 0; ///< Bytes that the frame took; 0 unless Ok.
    Frame frame; ///< The frame; empty unless Ok.
};

/** Returns HMAC-SHA256 of the bytes under a key of any length. */
FrameMac computeMac(std::span<const std::uint8_t> key, std::span<const std::uint8_t> bytes);

/** Returns the key for a purpose, derived from a shared secret: HMAC(secret, label). */
FrameKey deriveKey(std::string_view secret, std::string_view label);

/** Encodes a frame and appends it to out. Returns Ok, or FrameTooLarge and appends nothing. */
ResultCode encodeFrame(const Frame &frame, const FrameKey &key, std::string &out);

/**
 * Decodes the first frame of a byte stream. The length is checked against the bound before anything is kept or waited for.
 * @param sequence Number that the frame must have.
 * @param maxBytes Bound on the length field, for links that are not authenticated yet.
 */
FrameDecode decodeFrame(std::span<const std::uint8_t> bytes, const FrameKey &key, std::uint64_t sequence, std::size_t maxBytes = MaxFrameBytes);

/** A datagram. On the wire: u8 version, u8 and sender, u8 and receiver, u64 incarnation, u64 sequence, payload, 32 bytes MAC. */
struct Datagram {
    DaemonName sender; ///< Daemon that sent it.
    DaemonName receiver; ///< Daemon that it is meant for.
    std::uint64_t incarnation = 0; ///< Grows with each start of the sender.
    std::uint64_t sequence = 0; ///< Grows with each datagram of the incarnation.
    std::string payload; ///< At most MaxDatagramPayload bytes.

    bool operator==(const Datagram &) const = default;
};

/** Result of decoding a datagram. */
struct DatagramDecode {
    ResultCode code = ResultCode::FrameCorrupt; ///< Ok, FrameTooLarge, FrameCorrupt, VersionUnsupported or BadPeerKey.
    Datagram datagram; ///< Empty unless Ok.
};

/** Encodes a datagram. Returns nothing if the payload or a name is too long. */
std::optional<std::string> encodeDatagram(const Datagram &datagram, const FrameKey &key);

/** Decodes a whole datagram. */
DatagramDecode decodeDatagram(std::span<const std::uint8_t> bytes, const FrameKey &key);

/** Newest datagram seen of one sender. */
struct DatagramOrder {
    std::uint64_t incarnation = 0; ///< Incarnation of the newest datagram.
    std::uint64_t sequence = 0; ///< Its sequence number.
    bool seen = false; ///< Whether any has been seen.
};

/** Returns whether the datagram is newer than all before, and notes it if so. */
bool acceptDatagram(DatagramOrder &order, const Datagram &datagram);

} // namespace Filbertlanding
