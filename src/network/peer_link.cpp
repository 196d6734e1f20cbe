/** @file peer_link.cpp Links to all peers of a daemon: what their parts share, start and stop, messages and requests from any thread. */

#include "network/peer_link.h"

#include "core/clock_func.h"
#include "network/peer_link_internal.h"

#include <boost/asio/post.hpp>

#include <thread>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;

} // namespace

PeerLinkShared::PeerLinkShared(PeerLinkSettings linkSettings, PeerHandler peerHandler, NetworkCounters &networkCounters)
    : settings(std::move(linkSettings))
    , handler(std::move(peerHandler))
    , counters(networkCounters)
    , ownIo(this->settings.loop == nullptr ? std::make_unique<net::io_context>(1) : nullptr)
    , io(this->settings.loop == nullptr ? *this->ownIo : *this->settings.loop)
{
}

FrameStreamPointer PeerLinkShared::makeStream(net::ip::tcp::socket &socket, const DaemonName &dialedPeer, FrameStreamHooks hooks)
{
    boost::system::error_code ignored;
    const bool isIpv6 = socket.local_endpoint(ignored).address().is_v6();
    return makeFrameStream(this->settings, this->counters, this->io, socket.release(ignored), isIpv6, dialedPeer, std::move(hooks));
}

void PeerLinkShared::noteClosed(const DaemonName &peer, ResultCode reason, bool wasOpen)
{
    this->counters.peerLinksSilent += wasOpen && reason == ResultCode::Timeout ? 1 : 0;
    if (!wasOpen && reason != ResultCode::ConnectionClosed) {
        this->reportRefusal(peer, reason);
    }
}

void PeerLinkShared::reportRefusal(const DaemonName &peer, ResultCode code)
{
    ++this->counters.peerLinksRefused;
    if (this->refusalHook) {
        this->refusalHook(peer, code);
    }
}

/** Everything runs on the link thread, but for what is marked as callable from any thread. */
struct PeerLinks::Core {
    Core(PeerLinkSettings linkSettings, PeerHandler peerHandler, NetworkCounters &networkCounters)
        : shared(std::move(linkSettings), std::move(peerHandler), networkCounters)
    {
    }

    void shutDown();
    void stop(); ///< From any thread but the link thread.

    PeerLinkShared shared;
    std::optional<net::executor_work_guard<net::io_context::executor_type>> work;
    PeerRequests requests{shared};
    DialedLinks dialed{shared, requests, [this](const DaemonName &peer) {
                           this->accepted.closePeer(peer);
                       }};
    AcceptedLinks accepted{shared, [this](const DaemonName &peer) {
                               return this->dialed.isConfigured(peer);
                           }};
    std::thread thread;
};

void PeerLinks::Core::shutDown()
{
    this->accepted.stopListening();
    this->dialed.removeAll();
    this->accepted.closeAll();
    this->requests.stop();
    this->work.reset();
}

void PeerLinks::Core::stop()
{
    if (this->shared.stopped.exchange(true)) {
        return;
    }
    if (this->shared.settings.loop != nullptr) {
        this->shutDown();
        return;
    }
    if (!this->thread.joinable()) {
        return;
    }
    net::post(this->shared.io, [this] {
        this->shutDown();
    });
    this->thread.join();
    // Requests that came in while the thread ended get their outcome here.
    this->shared.io.restart();
    this->shared.io.poll();
}

PeerLinks::PeerLinks(PeerLinkSettings settings, PeerHandler handler, NetworkCounters &counters)
    : core(std::make_shared<Core>(std::move(settings), std::move(handler), counters))
{
    this->core->shared.owner = this->core;
}

PeerLinks::~PeerLinks()
{
    this->stop();
}

void PeerLinks::setLinkHook(std::function<void(const DaemonName &peer, bool open)> hook)
{
    this->core->shared.linkHook = std::move(hook);
}

void PeerLinks::setRefusalHook(std::function<void(const DaemonName &peer, ResultCode code)> hook)
{
    this->core->shared.refusalHook = std::move(hook);
}

void PeerLinks::setMaxHandshakes(std::size_t limit)
{
    this->core->shared.settings.maxHandshakes = limit;
}

ConnectionSummary PeerLinks::handshakeSummary() const
{
    return this->core->accepted.handshakeSummary();
}

std::error_code PeerLinks::start()
{
    Core &state = *this->core;
    const PeerLinkSettings &settings = state.shared.settings;
    // An empty key would let anybody in, and a longer name would be cut off on the wire.
    if (settings.key.empty() || settings.self.empty() || settings.self.size() > MaxPeerNameBytes) {
        return ResultCode::ConflictingSettings;
    }
    if (const std::error_code error = state.accepted.listen()) {
        return error;
    }
    state.work.emplace(state.shared.io.get_executor());
    state.accepted.start();
    if (settings.loop != nullptr) {
        return {};
    }
    state.thread = std::thread([&state] {
        state.shared.io.run();
    });
    return {};
}

std::uint16_t PeerLinks::port() const
{
    return this->core->accepted.port();
}

void PeerLinks::setPeers(std::vector<PeerAddress> peers)
{
    Core &state = *this->core;
    state.dialed.listPeers(peers);
    net::post(state.shared.io, [&state, addresses = std::move(peers)] {
        state.dialed.replacePeers(addresses);
    });
}

ResultCode PeerLinks::sendOneWay(const DaemonName &peer, std::uint8_t kind, std::string payload)
{
    ResultCode code = ResultCode::Ok;
    const FrameStreamPointer stream = this->core->dialed.sendStream(peer, code);
    if (stream == nullptr) {
        return code;
    }
    return stream->push({kind, FrameFlow::OneWay, 0, 0, std::move(payload)});
}

void PeerLinks::sendRequest(const DaemonName &peer, std::uint8_t kind, std::string payload, Duration timeout, PeerAnswerCallback callback)
{
    Core &state = *this->core;
    if (state.shared.stopped) {
        callback({ResultCode::ConnectionClosed, false, {}});
        return;
    }
    Frame frame{kind, FrameFlow::Request, state.requests.nextCorrelation(), 0, std::move(payload)};
    net::post(state.shared.io, [&state, peer, moved = std::move(frame), deadline = steadyNow() + timeout, done = std::move(callback)]() mutable {
        ResultCode code = ResultCode::Ok;
        const FrameStreamPointer stream = state.dialed.sendStream(peer, code);
        state.requests.begin(stream, code, std::move(moved), deadline, std::move(done));
    });
}

bool PeerLinks::isOpen(const DaemonName &peer) const
{
    ResultCode code = ResultCode::Ok;
    return this->core->dialed.sendStream(peer, code) != nullptr;
}

void PeerLinks::stop()
{
    this->core->stop();
}

} // namespace Filbertlanding
