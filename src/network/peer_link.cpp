/** @file peer_link.cpp Links to all peers of a daemon: listening, dialing with backoff, requests and answers. */

#include "network/peer_link.h"

#include "core/clock_func.h"
#include "core/random.h"
#include "network/chrono_func.h"
#include "network/descriptor_pool.h"
#include "network/frame_stream.h"
#include "network/handshake_table.h"
#include "network/listen_socket.h"
#include "network/peer_request.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;
    using StreamPointer = std::shared_ptr<FrameStream>;

    /** One configured peer; used on the link thread only. */
    struct Peer {
        Peer(net::io_context &io, PeerAddress peerAddress)
            : address(std::move(peerAddress))
            , socket(io)
            , timer(io)
        {
        }

        PeerAddress address;
        Tcp::socket socket; ///< Socket that is being connected.
        net::steady_timer timer; ///< Wait before the next try, or bound on the connect.
        Duration backoff; ///< Next wait.
        StreamPointer dialed; ///< Connection that this daemon opened, from the start of its handshake.
        StreamPointer accepted; ///< Open connection that the peer opened.
        bool removed = false; ///< Not configured any more.
    };

    using PeerPointer = std::shared_ptr<Peer>;

} // namespace

/** Everything runs on the link thread, but for the functions marked as callable from any thread. */
struct PeerLinks::Core : std::enable_shared_from_this<PeerLinks::Core> {
    Core(PeerLinkSettings linkSettings, PeerHandler peerHandler, NetworkCounters &networkCounters)
        : settings(std::move(linkSettings))
        , handler(std::move(peerHandler))
        , counters(networkCounters)
        , random{stableHash(this->settings.self)}
        , ownIo(this->settings.loop == nullptr ? std::make_unique<net::io_context>(1) : nullptr)
        , io(this->settings.loop == nullptr ? *this->ownIo : *this->settings.loop)
        , handshakes(this->settings, networkCounters)
    {
    }

    std::error_code listen();
    void onAccepted(Tcp::socket socket);
    void onAcceptedClosed(const StreamPointer &stream, ResultCode reason);
    void replacePeers(const std::vector<PeerAddress> &addresses);
    void removePeer(const PeerPointer &peer);
    void dial(const PeerPointer &peer);
    void bindOwnAddress(Tcp::socket &socket);
    void onDialed(const PeerPointer &peer, Error error);
    void onDialedOpen(const PeerPointer &peer);
    void onDialedClosed(const PeerPointer &peer, const StreamPointer &stream, ResultCode reason, bool wasOpen);
    void dialLater(const PeerPointer &peer);
    FrameStreamHooks hooksFor(const PeerPointer &dialedPeer, const std::shared_ptr<std::weak_ptr<FrameStream>> &self);
    void onFrame(const StreamPointer &stream, Frame &&frame);
    void beginRequest(const DaemonName &peer, Frame frame, TimePoint deadline, PeerAnswerCallback callback);
    void armRequestTimer();
    void reportRefusal(const DaemonName &peer, ResultCode code);
    void shutDown();
    void stop();

    StreamPointer sendStream(const DaemonName &peer, ResultCode &code) const; ///< From any thread.
    void setSendStream(const DaemonName &peer, const StreamPointer &stream); ///< From any thread.

    PeerLinkSettings settings;
    PeerHandler handler;
    NetworkCounters &counters;
    Random random; ///< Spreads the tries of several daemons.
    std::unique_ptr<net::io_context> ownIo; ///< Empty on a loop of the owner. Declared before everything that uses it, so that it is destroyed later.
    net::io_context &io;
    std::function<void(const DaemonName &, bool)> linkHook;
    std::function<void(const DaemonName &, ResultCode)> refusalHook;
    std::optional<net::executor_work_guard<net::io_context::executor_type>> work;
    std::optional<Listener> listener;
    std::map<DaemonName, PeerPointer> peers;
    std::set<StreamPointer> acceptedStreams; ///< All accepted connections, with or without a complete handshake.
    HandshakeTable handshakes; ///< Accepted connections without a complete handshake.
    PeerRequestTable requests;
    net::steady_timer requestTimer{io}; ///< Runs until the earliest deadline of a request.
    std::atomic<std::uint64_t> nextCorrelation{1};
    std::atomic<bool> stopped{false};
    std::uint16_t port = 0;
    std::thread thread;

    mutable std::mutex sendMutex; ///< Guards sendStreams.
    std::map<DaemonName, StreamPointer> sendStreams; ///< For each configured peer its open connection, or null.
};

std::error_code PeerLinks::Core::listen()
{
    ListenerHooks hooks;
    hooks.accepted = [this](Tcp::socket socket) {
        this->onAccepted(std::move(socket));
    };
    hooks.acceptFailed = [this] {
        this->handshakes.onAcceptFailed();
    };
    hooks.makeRoom = [this] {
        return releaseDescriptor(this->settings.descriptors);
    };
    this->port = this->settings.port;
    this->listener.emplace(this->io, std::move(hooks));
    return this->listener->open(this->settings.address, this->port);
}

void PeerLinks::Core::onAccepted(Tcp::socket socket)
{
    if (!this->handshakes.makeRoom()) {
        ++this->counters.peerLinksRefused;
        return;
    }
    const RemoteAddress remote = remoteAddressOf(socket.native_handle());
    Error ignored;
    const bool isIpv6 = socket.local_endpoint(ignored).address().is_v6();
    const auto self = std::make_shared<std::weak_ptr<FrameStream>>();
    const StreamPointer stream = makeFrameStream(this->settings, this->counters, this->io, socket.release(ignored), isIpv6, {}, this->hooksFor(nullptr, self));
    *self = stream;
    this->acceptedStreams.insert(stream);
    this->handshakes.add(*stream, remote);
    stream->start();
}

/** Makes the hooks of a connection; dialedPeer is null for an accepted one. */
FrameStreamHooks PeerLinks::Core::hooksFor(const PeerPointer &dialedPeer, const std::shared_ptr<std::weak_ptr<FrameStream>> &self)
{
    FrameStreamHooks hooks;
    const auto wasOpen = std::make_shared<bool>(false);
    hooks.isKnownPeer = [this](const DaemonName &name) {
        return this->settings.acceptsUnlisted || this->peers.contains(name);
    };
    hooks.received = [this, self](Frame &&frame) {
        if (const StreamPointer stream = self->lock()) {
            this->onFrame(stream, std::move(frame));
        }
    };
    hooks.beforeSend = [this](const Frame &frame) {
        // A request that has ended is not sent any more, since its sender was told that no byte left.
        return frame.flow != FrameFlow::Request || this->requests.markSent(frame.correlation);
    };
    hooks.opened = [this, dialedPeer, self, wasOpen] {
        *wasOpen = true;
        if (dialedPeer != nullptr) {
            this->onDialedOpen(dialedPeer);
            return;
        }
        const StreamPointer stream = self->lock();
        this->handshakes.remove(*stream);
        ++this->counters.peerLinksAccepted;
        const auto found = this->peers.find(stream->peer());
        if (found == this->peers.end()) {
            return;
        }
        const PeerPointer peer = found->second;
        // The peer opened a new connection, so it has given up the one before.
        const StreamPointer earlier = std::exchange(peer->accepted, stream);
        if (earlier != nullptr) {
            earlier->close(ResultCode::ConnectionClosed);
        }
    };
    hooks.closed = [this, dialedPeer, self, wasOpen](ResultCode reason) {
        const StreamPointer stream = self->lock();
        this->counters.peerLinksSilent += *wasOpen && reason == ResultCode::Timeout ? 1 : 0;
        if (!*wasOpen && reason != ResultCode::ConnectionClosed) {
            this->reportRefusal(stream->peer(), reason);
        }
        if (dialedPeer != nullptr) {
            this->onDialedClosed(dialedPeer, stream, reason, *wasOpen);
            return;
        }
        this->onAcceptedClosed(stream, reason);
    };
    return hooks;
}

void PeerLinks::Core::onAcceptedClosed(const StreamPointer &stream, ResultCode)
{
    this->handshakes.remove(*stream);
    this->acceptedStreams.erase(stream);
    const auto found = this->peers.find(stream->peer());
    if (found != this->peers.end() && found->second->accepted == stream) {
        found->second->accepted.reset();
    }
}

void PeerLinks::Core::reportRefusal(const DaemonName &peer, ResultCode code)
{
    ++this->counters.peerLinksRefused;
    if (this->refusalHook) {
        this->refusalHook(peer, code);
    }
}

void PeerLinks::Core::replacePeers(const std::vector<PeerAddress> &addresses)
{
    if (this->stopped) {
        return;
    }
    std::map<DaemonName, PeerAddress> wanted;
    for (const PeerAddress &address : addresses) {
        if (address.name != this->settings.self) {
            wanted[address.name] = address;
        }
    }
    const auto present = this->peers;
    for (const auto &[name, peer] : present) {
        const auto found = wanted.find(name);
        const bool same = found != wanted.end() && found->second.address == peer->address.address && found->second.port == peer->address.port;
        if (!same) {
            this->removePeer(peer);
        }
    }
    for (const auto &[name, address] : wanted) {
        if (!this->peers.contains(name)) {
            const auto peer = std::make_shared<Peer>(this->io, address);
            peer->backoff = this->settings.backoffMin;
            this->peers[name] = peer;
            this->dial(peer);
        }
    }
}

void PeerLinks::Core::removePeer(const PeerPointer &peer)
{
    peer->removed = true;
    peer->timer.cancel();
    Error ignored;
    peer->socket.close(ignored);
    this->peers.erase(peer->address.name);
    const StreamPointer dialed = peer->dialed;
    if (dialed != nullptr) {
        dialed->close(ResultCode::ConnectionClosed);
    }
    const auto streams = this->acceptedStreams;
    for (const StreamPointer &stream : streams) {
        if (stream->peer() == peer->address.name) {
            stream->close(ResultCode::ConnectionClosed);
        }
    }
}

void PeerLinks::Core::dial(const PeerPointer &peer)
{
    if (peer->removed) {
        return;
    }
    Error error;
    const auto address = net::ip::make_address(peer->address.address, error);
    if (error) {
        this->reportRefusal(peer->address.name, ResultCode::BadAddress);
        return;
    }
    peer->socket = Tcp::socket(this->io);
    peer->timer.expires_after(chronoOf(this->settings.connectTimeout));
    peer->timer.async_wait([peer](Error timerError) {
        if (!timerError) {
            Error ignored;
            peer->socket.close(ignored);
        }
    });
    if (this->settings.dialsFromAddress) {
        this->bindOwnAddress(peer->socket);
    }
    peer->socket.async_connect({address, peer->address.port}, [this, peer](Error connectError) {
        this->onDialed(peer, connectError);
    });
}

void PeerLinks::Core::bindOwnAddress(Tcp::socket &socket)
{
    Error error;
    const auto own = net::ip::make_address(this->settings.address, error);
    const Tcp::endpoint endpoint(own, 0);
    socket.open(endpoint.protocol(), error);
    socket.bind(endpoint, error);
    if (error) {
        this->reportRefusal(this->settings.self, ResultCode::BadAddress);
    }
}

void PeerLinks::Core::onDialed(const PeerPointer &peer, Error error)
{
    peer->timer.cancel();
    if (peer->removed) {
        return;
    }
    if (error || !peer->socket.is_open()) {
        if (error == net::error::no_descriptors) {
            releaseDescriptor(this->settings.descriptors);
        }
        this->dialLater(peer);
        return;
    }
    Error ignored;
    const bool isIpv6 = peer->socket.local_endpoint(ignored).address().is_v6();
    const auto self = std::make_shared<std::weak_ptr<FrameStream>>();
    peer->dialed =
        makeFrameStream(this->settings, this->counters, this->io, peer->socket.release(ignored), isIpv6, peer->address.name, this->hooksFor(peer, self));
    *self = peer->dialed;
    const StreamPointer stream = peer->dialed;
    stream->start();
}

void PeerLinks::Core::onDialedOpen(const PeerPointer &peer)
{
    ++this->counters.peerLinksOpened;
    peer->backoff = this->settings.backoffMin;
    this->setSendStream(peer->address.name, peer->dialed);
    if (this->linkHook) {
        this->linkHook(peer->address.name, true);
    }
}

void PeerLinks::Core::onDialedClosed(const PeerPointer &peer, const StreamPointer &stream, ResultCode reason, bool wasOpen)
{
    peer->dialed.reset();
    this->setSendStream(peer->address.name, nullptr);
    this->requests.endAllOf(stream.get());
    if (wasOpen && this->linkHook) {
        this->linkHook(peer->address.name, false);
    }
    if (this->stopped || peer->removed) {
        return;
    }
    // A silent link says nothing about the peer, so a new one is tried without a wait.
    if (wasOpen && reason == ResultCode::Timeout) {
        this->dial(peer);
        return;
    }
    this->dialLater(peer);
}

void PeerLinks::Core::dialLater(const PeerPointer &peer)
{
    if (this->stopped || peer->removed) {
        return;
    }
    const std::int64_t half = std::max<std::int64_t>(1, peer->backoff.ms / 2);
    const std::int64_t wait = half + static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(2 * half)));
    peer->backoff = std::min(peer->backoff * 2, this->settings.backoffMax);
    peer->timer.expires_after(std::chrono::milliseconds(wait));
    peer->timer.async_wait([this, peer](Error error) {
        if (!error) {
            this->dial(peer);
        }
    });
}

void PeerLinks::Core::onFrame(const StreamPointer &stream, Frame &&frame)
{
    const bool accepted = this->acceptedStreams.contains(stream);
    if (frame.flow == FrameFlow::Answer && !accepted) {
        // An answer after the time limit finds nobody.
        this->requests.answer(frame.correlation, stream.get(), std::move(frame.payload));
        return;
    }
    if (frame.flow == FrameFlow::Answer || !accepted) {
        stream->close(ResultCode::FrameCorrupt);
        return;
    }
    if (frame.flow == FrameFlow::OneWay) {
        this->handler(stream->peer(), frame.kind, std::move(frame.payload), {});
        return;
    }
    const auto used = std::make_shared<std::atomic<bool>>(false);
    PeerReply reply =
        [weak = std::weak_ptr(stream), used, kind = frame.kind, correlation = frame.correlation, owner = this->weak_from_this()](std::string payload) {
            const auto alive = owner.lock();
            const StreamPointer target = weak.lock();
            if (!used->exchange(true) && alive != nullptr && target != nullptr) {
                target->push({kind, FrameFlow::Answer, correlation, 0, std::move(payload)});
            }
        };
    this->handler(stream->peer(), frame.kind, std::move(frame.payload), std::move(reply));
}

void PeerLinks::Core::beginRequest(const DaemonName &peer, Frame frame, TimePoint deadline, PeerAnswerCallback callback)
{
    ResultCode code = ResultCode::Ok;
    const StreamPointer stream = this->sendStream(peer, code);
    const std::uint64_t correlation = frame.correlation;
    this->requests.add(correlation, stream.get(), deadline, std::move(callback));
    if (stream != nullptr) {
        code = stream->push(std::move(frame));
    }
    if (code != ResultCode::Ok) {
        this->requests.end(correlation, code);
        return;
    }
    if (this->requests.nextDeadline() == deadline) {
        this->armRequestTimer();
    }
}

void PeerLinks::Core::armRequestTimer()
{
    const auto next = this->requests.nextDeadline();
    if (!next) {
        return;
    }
    const Duration wait = std::max(Duration{1}, *next - steadyNow());
    this->requestTimer.expires_after(chronoOf(wait));
    this->requestTimer.async_wait([this](Error error) {
        if (!error) {
            this->counters.peerRequestTimeouts += this->requests.expire(steadyNow());
            this->armRequestTimer();
        }
    });
}

StreamPointer PeerLinks::Core::sendStream(const DaemonName &peer, ResultCode &code) const
{
    const std::lock_guard lock(this->sendMutex);
    const auto found = this->sendStreams.find(peer);
    if (found == this->sendStreams.end()) {
        code = ResultCode::UnknownPeer;
        return nullptr;
    }
    code = found->second == nullptr ? ResultCode::ConnectionClosed : ResultCode::Ok;
    return found->second;
}

void PeerLinks::Core::setSendStream(const DaemonName &peer, const StreamPointer &stream)
{
    const std::lock_guard lock(this->sendMutex);
    const auto found = this->sendStreams.find(peer);
    if (found != this->sendStreams.end()) {
        found->second = stream;
    }
}

void PeerLinks::Core::shutDown()
{
    this->handshakes.stop();
    if (this->listener) {
        this->listener->close();
    }
    const auto present = this->peers;
    for (const auto &[name, peer] : present) {
        this->removePeer(peer);
    }
    const auto streams = this->acceptedStreams;
    for (const StreamPointer &stream : streams) {
        stream->close(ResultCode::ConnectionClosed);
    }
    this->requestTimer.cancel();
    this->work.reset();
}

void PeerLinks::Core::stop()
{
    if (this->stopped.exchange(true)) {
        return;
    }
    if (this->settings.loop != nullptr) {
        this->shutDown();
        return;
    }
    if (!this->thread.joinable()) {
        return;
    }
    net::post(this->io, [this] {
        this->shutDown();
    });
    this->thread.join();
    // Requests that came in while the thread ended get their outcome here.
    this->io.restart();
    this->io.poll();
}

PeerLinks::PeerLinks(PeerLinkSettings settings, PeerHandler handler, NetworkCounters &counters)
    : core(std::make_shared<Core>(std::move(settings), std::move(handler), counters))
{
}

PeerLinks::~PeerLinks()
{
    this->stop();
}

void PeerLinks::setLinkHook(std::function<void(const DaemonName &peer, bool open)> hook)
{
    this->core->linkHook = std::move(hook);
}

void PeerLinks::setRefusalHook(std::function<void(const DaemonName &peer, ResultCode code)> hook)
{
    this->core->refusalHook = std::move(hook);
}

ConnectionSummary PeerLinks::handshakeSummary() const
{
    return this->core->handshakes.summary();
}

std::error_code PeerLinks::start()
{
    Core &state = *this->core;
    // An empty key would let anybody in, and a longer name would be cut off on the wire.
    if (state.settings.key.empty() || state.settings.self.empty() || state.settings.self.size() > MaxPeerNameBytes) {
        return ResultCode::ConflictingSettings;
    }
    if (const std::error_code error = state.listen()) {
        return error;
    }
    state.work.emplace(state.io.get_executor());
    state.listener->start();
    if (state.settings.loop != nullptr) {
        return {};
    }
    state.thread = std::thread([&state] {
        state.io.run();
    });
    return {};
}

std::uint16_t PeerLinks::port() const
{
    return this->core->port;
}

void PeerLinks::setPeers(std::vector<PeerAddress> peers)
{
    Core &state = *this->core;
    {
        const std::lock_guard lock(state.sendMutex);
        std::map<DaemonName, StreamPointer> next;
        for (const PeerAddress &peer : peers) {
            const auto found = state.sendStreams.find(peer.name);
            next[peer.name] = found == state.sendStreams.end() ? nullptr : found->second;
        }
        next.erase(state.settings.self);
        state.sendStreams.swap(next);
    }
    net::post(state.io, [&state, addresses = std::move(peers)] {
        state.replacePeers(addresses);
    });
}

ResultCode PeerLinks::sendOneWay(const DaemonName &peer, std::uint8_t kind, std::string payload)
{
    ResultCode code = ResultCode::Ok;
    const StreamPointer stream = this->core->sendStream(peer, code);
    if (stream == nullptr) {
        return code;
    }
    return stream->push({kind, FrameFlow::OneWay, 0, 0, std::move(payload)});
}

void PeerLinks::sendRequest(const DaemonName &peer, std::uint8_t kind, std::string payload, Duration timeout, PeerAnswerCallback callback)
{
    Core &state = *this->core;
    if (state.stopped) {
        callback({ResultCode::ConnectionClosed, false, {}});
        return;
    }
    Frame frame{kind, FrameFlow::Request, state.nextCorrelation++, 0, std::move(payload)};
    net::post(state.io, [&state, peer, moved = std::move(frame), deadline = steadyNow() + timeout, done = std::move(callback)]() mutable {
        state.beginRequest(peer, std::move(moved), deadline, std::move(done));
    });
}

bool PeerLinks::isOpen(const DaemonName &peer) const
{
    ResultCode code = ResultCode::Ok;
    return this->core->sendStream(peer, code) != nullptr;
}

void PeerLinks::stop()
{
    this->core->stop();
}

} // namespace Filbertlanding
