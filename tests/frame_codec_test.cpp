/** @file frame_codec_test.cpp Property-based tests of the frames and datagrams between daemons. */

#include "network/frame_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Filbertlanding;

namespace {

const FrameKey Key = deriveKey("the key of this test", "frames");
const FrameKey OtherKey = deriveKey("another key", "frames");

std::span<const std::uint8_t> bytesOf(const std::string &text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

Frame anyFrame()
{
    Frame frame;
    frame.kind = *rc::gen::arbitrary<std::uint8_t>();
    frame.flow = *rc::gen::element(FrameFlow::OneWay, FrameFlow::Request, FrameFlow::Answer, FrameFlow::Link);
    frame.correlation = *rc::gen::arbitrary<std::uint64_t>();
    frame.sequence = *rc::gen::arbitrary<std::uint64_t>();
    frame.payload = *rc::gen::arbitrary<std::string>();
    return frame;
}

std::string encoded(const Frame &frame)
{
    std::string bytes;
    RC_ASSERT(encodeFrame(frame, Key, bytes) == ResultCode::Ok);
    return bytes;
}

Datagram anyDatagram()
{
    Datagram datagram;
    datagram.sender = *rc::gen::resize(40, rc::gen::nonEmpty<std::string>());
    datagram.receiver = *rc::gen::resize(40, rc::gen::nonEmpty<std::string>());
    datagram.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    datagram.sequence = *rc::gen::arbitrary<std::uint64_t>();
    datagram.payload = *rc::gen::arbitrary<std::string>();
    return datagram;
}

/** Changes, removes or inserts bytes, so that the result differs from the input. */
std::string damaged(std::string bytes)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
        break;
    case 1:
        bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
        break;
    default:
        bytes.insert(at, 1, static_cast<char>(bytes[at] + 1));
        break;
    }
    return bytes;
}

} // namespace

TEST_CASE("Frames between daemons")
{
    SUBCASE("a frame comes back whole, with whatever follows it left alone")
    {
        CHECK(rc::check([] {
            const Frame frame = anyFrame();
            const std::string bytes = encoded(frame);
            const FrameDecode result = decodeFrame(bytesOf(bytes + "the next frame"), Key, frame.sequence);
            RC_ASSERT(result.code == ResultCode::Ok);
            RC_ASSERT(result.consumed == bytes.size());
            RC_ASSERT(result.frame == frame);
        }));
    }

    SUBCASE("a frame cut off anywhere is waited for, never taken")
    {
        CHECK(rc::check([] {
            const Frame frame = anyFrame();
            const std::string bytes = encoded(frame);
            const std::string part = bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size()));
            RC_ASSERT(decodeFrame(bytesOf(part), Key, frame.sequence).code == ResultCode::Pending);
        }));
    }

    SUBCASE("damaged bytes never yield a frame")
    {
        // Guards against a forged or damaged message that a daemon acts on.
        CHECK(rc::check([] {
            const Frame frame = anyFrame();
            const FrameDecode result = decodeFrame(bytesOf(damaged(encoded(frame))), Key, frame.sequence);
            RC_ASSERT(result.code != ResultCode::Ok);
            RC_ASSERT(result.consumed == 0U);
            RC_ASSERT(result.frame == Frame{});
        }));
    }

    SUBCASE("arbitrary bytes never yield a frame")
    {
        CHECK(rc::check([](const std::vector<std::uint8_t> &bytes, std::uint64_t sequence) {
            RC_ASSERT(decodeFrame(bytes, Key, sequence).code != ResultCode::Ok);
            RC_ASSERT(decodeDatagram(bytes, Key).code != ResultCode::Ok);
        }));
    }

    SUBCASE("another key, or a repeated, lost or reordered frame, is refused")
    {
        // Guards against a recorded frame that is sent again on the same link.
        CHECK(rc::check([] {
            const Frame frame = anyFrame();
            const std::string bytes = encoded(frame);
            RC_ASSERT(decodeFrame(bytesOf(bytes), OtherKey, frame.sequence).code == ResultCode::BadPeerKey);
            const auto other = *rc::gen::distinctFrom(frame.sequence);
            RC_ASSERT(decodeFrame(bytesOf(bytes), Key, other).code == ResultCode::FrameCorrupt);
        }));
    }

    SUBCASE("the length bound is exact in both directions")
    {
        Frame frame;
        frame.payload.assign(MaxFramePayload, 'x');
        std::string bytes;
        REQUIRE(encodeFrame(frame, Key, bytes) == ResultCode::Ok);
        CHECK(bytes.size() == FrameLengthBytes + MaxFrameBytes);
        CHECK(decodeFrame(bytesOf(bytes), Key, 0).frame == frame);

        frame.payload.push_back('x');
        std::string none;
        CHECK(encodeFrame(frame, Key, none) == ResultCode::FrameTooLarge);
        CHECK(none.empty());

        // Guards against memory that is set aside for a length that somebody else has chosen.
        const std::string tooLong{"\x00\x40\x00\x01", 4};
        CHECK(decodeFrame(bytesOf(tooLong), Key, 0).code == ResultCode::FrameTooLarge);
        const std::string tooShort{"\x00\x00\x00\x05", 4};
        CHECK(decodeFrame(bytesOf(tooShort), Key, 0).code == ResultCode::FrameCorrupt);
        CHECK(decodeFrame(bytesOf(bytes), Key, 0, 4096).code == ResultCode::FrameTooLarge);
    }
}

TEST_CASE("Datagrams between daemons")
{
    SUBCASE("a datagram comes back whole and a damaged one is refused")
    {
        CHECK(rc::check([] {
            const Datagram datagram = anyDatagram();
            const auto bytes = encodeDatagram(datagram, Key);
            RC_ASSERT(bytes.has_value());
            const DatagramDecode result = decodeDatagram(bytesOf(*bytes), Key);
            RC_ASSERT(result.code == ResultCode::Ok);
            RC_ASSERT(result.datagram == datagram);
            RC_ASSERT(decodeDatagram(bytesOf(damaged(*bytes)), Key).code != ResultCode::Ok);
            RC_ASSERT(decodeDatagram(bytesOf(*bytes), OtherKey).code == ResultCode::BadPeerKey);
        }));
    }

    SUBCASE("the payload and the names are bounded")
    {
        Datagram datagram{"a", "b", 1, 1, std::string(MaxDatagramPayload, 'x')};
        const auto bytes = encodeDatagram(datagram, Key);
        REQUIRE(bytes);
        CHECK(decodeDatagram(bytesOf(*bytes), Key).datagram == datagram);
        datagram.payload.push_back('x');
        CHECK_FALSE(encodeDatagram(datagram, Key));
        CHECK_FALSE(encodeDatagram({std::string(MaxPeerNameBytes + 1, 'a'), "b", 1, 1, {}}, Key));
        CHECK_FALSE(encodeDatagram({"", "b", 1, 1, {}}, Key));
    }

    SUBCASE("a datagram is taken only if it is newer than every one before it")
    {
        // Guards against a load summary that an overtaken or repeated datagram sets back.
        CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &stream) {
            DatagramOrder order;
            std::optional<std::pair<std::uint8_t, std::uint8_t>> newest;
            for (const auto &next : stream) {
                const bool taken = acceptDatagram(order, {"a", "b", next.first, next.second, {}});
                RC_ASSERT(taken == (!newest || next > *newest));
                newest = taken ? next : newest;
            }
        }));
    }
}
