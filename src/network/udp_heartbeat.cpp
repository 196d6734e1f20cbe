/** @file udp_heartbeat.cpp Authenticated datagrams between daemons. */

#include "network/udp_heartbeat.h"

#include "network/frame_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <map>
#include <mutex>
#include <thread>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Udp = net::ip::udp;
    using Error = boost::system::error_code;

    constexpr std::size_t ReceiveBytes = 2048; ///< Larger than any datagram of the format; a longer one is cut off and then refused.

    /** One configured peer. */
    struct UdpPeer {
        Udp::endpoint endpoint; ///< Where it receives.
        DatagramOrder order; ///< Newest datagram of it.
    };

} // namespace

struct UdpHeartbeat::Core {
    Core(UdpHeartbeatSettings heartbeatSettings, UdpHandler udpHandler, NetworkCounters &networkCounters)
        : settings(std::move(heartbeatSettings))
        , handler(std::move(udpHandler))
        , counters(networkCounters)
        , key(deriveKey(this->settings.key, "datagrams"))
    {
    }

    std::error_code bind();
    void receive();
    void onDatagram(std::size_t size);

    net::io_context io{1};
    UdpHeartbeatSettings settings;
    UdpHandler handler;
    NetworkCounters &counters;
    FrameKey key;
    Udp::socket socket{io};
    Udp::endpoint sender;
    std::array<std::uint8_t, ReceiveBytes> buffer{};
    std::thread thread;
    std::uint16_t port = 0;
    std::mutex mutex; ///< Guards the members below.
    std::map<DaemonName, UdpPeer> peers;
    std::uint64_t nextSequence = 1;
};

std::error_code UdpHeartbeat::Core::bind()
{
    Error error;
    const auto address = net::ip::make_address(this->settings.address, error);
    if (error) {
        return ResultCode::BadAddress;
    }
    const Udp::endpoint endpoint(address, this->settings.port);
    this->socket.open(endpoint.protocol(), error);
    if (!error) {
        this->socket.bind(endpoint, error);
    }
    if (!error) {
        this->socket.non_blocking(true, error);
    }
    if (error) {
        return {error.value(), std::system_category()};
    }
    this->port = this->socket.local_endpoint(error).port();
    return {};
}

void UdpHeartbeat::Core::receive()
{
    this->socket.async_receive_from(net::buffer(this->buffer), this->sender, [this](Error error, std::size_t size) {
        if (!this->socket.is_open()) {
            return;
        }
        // An error here reports an earlier datagram that nobody took; the socket itself works on.
        if (!error) {
            this->onDatagram(size);
        }
        this->receive();
    });
}

void UdpHeartbeat::Core::onDatagram(std::size_t size)
{
    this->counters.udpBytesReceived += size;
    DatagramDecode result = decodeDatagram(std::span(this->buffer).first(size), this->key);
    if (result.code != ResultCode::Ok || result.datagram.receiver != this->settings.self) {
        ++this->counters.udpRefused;
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->peers.find(result.datagram.sender);
        if (found == this->peers.end()) {
            ++this->counters.udpRefused;
            return;
        }
        if (!acceptDatagram(found->second.order, result.datagram)) {
            ++this->counters.udpOld;
            return;
        }
    }
    this->handler(result.datagram.sender, result.datagram.incarnation, std::move(result.datagram.payload));
}

UdpHeartbeat::UdpHeartbeat(UdpHeartbeatSettings settings, UdpHandler handler, NetworkCounters &counters)
    : core(std::make_shared<Core>(std::move(settings), std::move(handler), counters))
{
}

UdpHeartbeat::~UdpHeartbeat()
{
    this->stop();
}

std::error_code UdpHeartbeat::start()
{
    Core &state = *this->core;
    if (state.settings.key.empty() || state.settings.self.empty() || state.settings.self.size() > MaxPeerNameBytes) {
        return ResultCode::ConflictingSettings;
    }
    if (const std::error_code error = state.bind()) {
        return error;
    }
    state.receive();
    state.thread = std::thread([&state] {
        state.io.run();
    });
    return {};
}

std::uint16_t UdpHeartbeat::port() const
{
    return this->core->port;
}

void UdpHeartbeat::setPeers(const std::vector<PeerAddress> &peers)
{
    Core &state = *this->core;
    const std::lock_guard lock(state.mutex);
    std::map<DaemonName, UdpPeer> next;
    for (const PeerAddress &peer : peers) {
        Error error;
        const auto address = net::ip::make_address(peer.address, error);
        const auto known = state.peers.find(peer.name);
        if (!error && peer.name != state.settings.self) {
            next[peer.name] = {{address, peer.port}, known == state.peers.end() ? DatagramOrder{} : known->second.order};
        }
    }
    state.peers.swap(next);
}

ResultCode UdpHeartbeat::send(const DaemonName &peer, std::string payload)
{
    Core &state = *this->core;
    Datagram datagram{state.settings.self, peer, state.settings.incarnation, 0, std::move(payload)};
    const std::lock_guard lock(state.mutex);
    const auto found = state.peers.find(peer);
    if (found == state.peers.end()) {
        return ResultCode::UnknownPeer;
    }
    datagram.sequence = state.nextSequence++;
    auto bytes = encodeDatagram(datagram, state.key);
    if (!bytes) {
        return ResultCode::FrameTooLarge;
    }
    net::post(state.io, [&state, endpoint = found->second.endpoint, moved = std::move(*bytes)] {
        Error ignored;
        // A datagram that cannot be sent at once is lost like any other; the next one replaces it.
        state.counters.udpBytesSent += state.socket.send_to(net::buffer(moved), endpoint, 0, ignored);
    });
    return ResultCode::Ok;
}

void UdpHeartbeat::stop()
{
    Core &state = *this->core;
    if (!state.thread.joinable()) {
        return;
    }
    net::post(state.io, [&state] {
        Error ignored;
        state.socket.close(ignored);
    });
    state.thread.join();
}

} // namespace Filbertlanding
