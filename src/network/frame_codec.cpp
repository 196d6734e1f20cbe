/** @file frame_codec.cpp Layout of frames and datagrams, and their keyed hash. */

#include "network/frame_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace Filbertlanding {

namespace {

    template<class Number>
    void appendNumber(std::string &out, Number value)
    {
        for (int shift = (static_cast<int>(sizeof(Number)) - 1) * 8; shift >= 0; shift -= 8) {
            out.push_back(static_cast<char>(static_cast<std::uint8_t>(value >> shift)));
        }
    }

    /** Reads big-endian numbers and texts; never reads past the end. */
    struct ByteReader {
        std::span<const std::uint8_t> rest; ///< Bytes not read yet.

        /** Reads a number; false if too few bytes remain. */
        template<class Number>
        bool number(Number &value)
        {
            if (this->rest.size() < sizeof(Number)) {
                return false;
            }
            std::uint64_t bits = 0;
            for (std::size_t i = 0; i < sizeof(Number); ++i) {
                bits = (bits << 8) | this->rest[i];
            }
            value = static_cast<Number>(bits);
            this->rest = this->rest.subspan(sizeof(Number));
            return true;
        }

        /** Reads a text of this many bytes; false if too few remain. */
        bool text(std::string &value, std::size_t size)
        {
            if (this->rest.size() < size) {
                return false;
            }
            value.assign(this->rest.begin(), this->rest.begin() + static_cast<std::ptrdiff_t>(size));
            this->rest = this->rest.subspan(size);
            return true;
        }
    };

    std::span<const std::uint8_t> bytesOf(std::string_view text)
    {
        return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
    }

    void appendMac(std::string &out, std::size_t begin, const FrameKey &key)
    {
        const FrameMac mac = computeMac(key, bytesOf(std::string_view(out).substr(begin)));
        out.append(reinterpret_cast<const char *>(mac.data()), mac.size());
    }

    /** Compares in constant time, so that the time taken tells nothing about the right value. */
    bool macMatches(std::span<const std::uint8_t> signedBytes, std::span<const std::uint8_t> mac, const FrameKey &key)
    {
        const FrameMac expected = computeMac(key, signedBytes);
        return mac.size() == expected.size() && CRYPTO_memcmp(mac.data(), expected.data(), expected.size()) == 0;
    }

    bool isNameLengthValid(std::size_t size)
    {
        return size > 0 && size <= MaxPeerNameBytes;
    }

    bool readShortName(ByteReader &reader, std::string &name)
    {
        std::uint8_t size = 0;
        return reader.number(size) && isNameLengthValid(size) && reader.text(name, size);
    }

} // namespace

FrameMac computeMac(std::span<const std::uint8_t> key, std::span<const std::uint8_t> bytes)
{
    FrameMac mac{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes.data(), bytes.size(), mac.data(), &size);
    return mac;
}

FrameKey deriveKey(std::string_view secret, std::string_view label)
{
    return computeMac(bytesOf(secret), bytesOf(label));
}

ResultCode encodeFrame(const Frame &frame, const FrameKey &key, std::string &out)
{
    if (frame.payload.size() > MaxFramePayload) {
        return ResultCode::FrameTooLarge;
    }
    out.reserve(out.size() + FrameOverheadBytes + frame.payload.size());
    appendNumber(out, static_cast<std::uint32_t>(FrameHeaderBytes + frame.payload.size() + sizeof(FrameMac)));
    const std::size_t begin = out.size();
    appendNumber(out, FrameFormatVersion);
    appendNumber(out, frame.kind);
    appendNumber(out, static_cast<std::uint8_t>(frame.flow));
    appendNumber(out, frame.correlation);
    appendNumber(out, frame.sequence);
    out.append(frame.payload);
    appendMac(out, begin, key);
    return ResultCode::Ok;
}

FrameDecode decodeFrame(std::span<const std::uint8_t> bytes, const FrameKey &key, std::uint64_t sequence, std::size_t maxBytes)
{
    FrameDecode result;
    ByteReader reader{bytes};
    std::uint32_t length = 0;
    if (!reader.number(length)) {
        return result;
    }
    if (length > maxBytes) {
        result.code = ResultCode::FrameTooLarge;
        return result;
    }
    if (length < FrameHeaderBytes + sizeof(FrameMac)) {
        result.code = ResultCode::FrameCorrupt;
        return result;
    }
    if (!reader.rest.empty() && reader.rest[0] != FrameFormatVersion) {
        result.code = ResultCode::VersionUnsupported;
        return result;
    }
    if (reader.rest.size() < length) {
        return result;
    }
    const auto signedBytes = reader.rest.first(length - sizeof(FrameMac));
    if (!macMatches(signedBytes, reader.rest.subspan(signedBytes.size(), sizeof(FrameMac)), key)) {
        result.code = ResultCode::BadPeerKey;
        return result;
    }
    reader.rest = signedBytes.subspan(1);
    std::uint8_t flow = 0;
    Frame &frame = result.frame;
    reader.number(frame.kind);
    reader.number(flow);
    reader.number(frame.correlation);
    reader.number(frame.sequence);
    if (flow > static_cast<std::uint8_t>(FrameFlow::Link) || frame.sequence != sequence) {
        return {ResultCode::FrameCorrupt, 0, {}};
    }
    frame.flow = static_cast<FrameFlow>(flow);
    reader.text(frame.payload, reader.rest.size());
    result.code = ResultCode::Ok;
    result.consumed = FrameLengthBytes + length;
    return result;
}

std::optional<std::string> encodeDatagram(const Datagram &datagram, const FrameKey &key)
{
    if (datagram.payload.size() > MaxDatagramPayload || !isNameLengthValid(datagram.sender.size()) || !isNameLengthValid(datagram.receiver.size())) {
        return std::nullopt;
    }
    std::string out;
    appendNumber(out, FrameFormatVersion);
    appendNumber(out, static_cast<std::uint8_t>(datagram.sender.size()));
    out.append(datagram.sender);
    appendNumber(out, static_cast<std::uint8_t>(datagram.receiver.size()));
    out.append(datagram.receiver);
    appendNumber(out, datagram.incarnation);
    appendNumber(out, datagram.sequence);
    out.append(datagram.payload);
    appendMac(out, 0, key);
    return out;
}

DatagramDecode decodeDatagram(std::span<const std::uint8_t> bytes, const FrameKey &key)
{
    constexpr std::size_t Smallest = 1 + 2 + 2 + 8 + 8 + sizeof(FrameMac);
    constexpr std::size_t Largest = 1 + 2 * (1 + MaxPeerNameBytes) + 8 + 8 + MaxDatagramPayload + sizeof(FrameMac);
    if (bytes.size() < Smallest) {
        return {ResultCode::FrameCorrupt, {}};
    }
    if (bytes.size() > Largest) {
        return {ResultCode::FrameTooLarge, {}};
    }
    if (bytes[0] != FrameFormatVersion) {
        return {ResultCode::VersionUnsupported, {}};
    }
    const auto signedBytes = bytes.first(bytes.size() - sizeof(FrameMac));
    if (!macMatches(signedBytes, bytes.last(sizeof(FrameMac)), key)) {
        return {ResultCode::BadPeerKey, {}};
    }
    ByteReader reader{signedBytes.subspan(1)};
    DatagramDecode result;
    Datagram &datagram = result.datagram;
    const bool headerRead = readShortName(reader, datagram.sender) && readShortName(reader, datagram.receiver) && reader.number(datagram.incarnation)
        && reader.number(datagram.sequence);
    if (!headerRead) {
        return {ResultCode::FrameCorrupt, {}};
    }
    if (reader.rest.size() > MaxDatagramPayload) {
        return {ResultCode::FrameTooLarge, {}};
    }
    reader.text(datagram.payload, reader.rest.size());
    result.code = ResultCode::Ok;
    return result;
}

bool acceptDatagram(DatagramOrder &order, const Datagram &datagram)
{
    const bool newer =
        !order.seen || datagram.incarnation > order.incarnation || (datagram.incarnation == order.incarnation && datagram.sequence > order.sequence);
    if (newer) {
        order = {datagram.incarnation, datagram.sequence, true};
    }
    return newer;
}

} // namespace Filbertlanding
