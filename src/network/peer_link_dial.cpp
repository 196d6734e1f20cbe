/** @file peer_link_dial.cpp Links that a daemon opens to its peers: dialing with backoff, and the answers that come on them. */

#include "network/chrono_func.h"
#include "network/descriptor_pool.h"
#include "network/peer_link_internal.h"

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;

} // namespace

/** One configured peer. */
struct DialedLinks::Peer {
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
    FrameStreamPointer dialed; ///< Connection to the peer, from the start of its handshake.
    bool removed = false; ///< Not configured any more.
};

DialedLinks::DialedLinks(PeerLinkShared &linkShared, PeerRequests &peerRequests, std::function<void(const DaemonName &)> onPeerRemoved)
    : shared(linkShared)
    , requests(peerRequests)
    , peerRemoved(std::move(onPeerRemoved))
    , random{stableHash(linkShared.settings.self)}
{
}

void DialedLinks::listPeers(const std::vector<PeerAddress> &addresses)
{
    const std::lock_guard lock(this->sendMutex);
    std::map<DaemonName, FrameStreamPointer> next;
    for (const PeerAddress &peer : addresses) {
        const auto found = this->sendStreams.find(peer.name);
        next[peer.name] = found == this->sendStreams.end() ? nullptr : found->second;
    }
    next.erase(this->shared.settings.self);
    this->sendStreams.swap(next);
}

void DialedLinks::replacePeers(const std::vector<PeerAddress> &addresses)
{
    if (this->shared.stopped) {
        return;
    }
    std::map<DaemonName, PeerAddress> wanted;
    for (const PeerAddress &address : addresses) {
        if (address.name != this->shared.settings.self) {
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
            this->addPeer(address);
        }
    }
}

void DialedLinks::addPeer(const PeerAddress &address)
{
    const auto peer = std::make_shared<Peer>(this->shared.io, address);
    peer->backoff = this->shared.settings.backoffMin;
    this->peers[address.name] = peer;
    this->dial(peer);
}

void DialedLinks::removePeer(const PeerPointer &peer)
{
    peer->removed = true;
    peer->timer.cancel();
    Error ignored;
    peer->socket.close(ignored);
    this->peers.erase(peer->address.name);
    const FrameStreamPointer dialed = peer->dialed;
    if (dialed != nullptr) {
        dialed->close(ResultCode::ConnectionClosed);
    }
    this->peerRemoved(peer->address.name);
}

void DialedLinks::removeAll()
{
    const auto present = this->peers;
    for (const auto &[name, peer] : present) {
        this->removePeer(peer);
    }
}

bool DialedLinks::isConfigured(const DaemonName &name) const
{
    return this->peers.contains(name);
}

void DialedLinks::dial(const PeerPointer &peer)
{
    if (peer->removed) {
        return;
    }
    Error error;
    const auto address = net::ip::make_address(peer->address.address, error);
    if (error) {
        this->shared.reportRefusal(peer->address.name, ResultCode::BadAddress);
        return;
    }
    peer->socket = Tcp::socket(this->shared.io);
    peer->timer.expires_after(chronoOf(this->shared.settings.connectTimeout));
    peer->timer.async_wait([peer](Error timerError) {
        if (!timerError) {
            Error ignored;
            peer->socket.close(ignored);
        }
    });
    if (this->shared.settings.dialsFromAddress) {
        this->bindOwnAddress(peer->socket);
    }
    peer->socket.async_connect({address, peer->address.port}, [this, peer](Error connectError) {
        this->onConnected(peer, connectError);
    });
}

void DialedLinks::bindOwnAddress(Tcp::socket &socket)
{
    Error error;
    const auto own = net::ip::make_address(this->shared.settings.address, error);
    const Tcp::endpoint endpoint(own, 0);
    socket.open(endpoint.protocol(), error);
    socket.bind(endpoint, error);
    if (error) {
        this->shared.reportRefusal(this->shared.settings.self, ResultCode::BadAddress);
    }
}

void DialedLinks::onConnected(const PeerPointer &peer, Error error)
{
    peer->timer.cancel();
    if (peer->removed) {
        return;
    }
    if (error || !peer->socket.is_open()) {
        if (error == net::error::no_descriptors) {
            releaseDescriptor(this->shared.settings.descriptors);
        }
        this->dialLater(peer);
        return;
    }
    const auto self = std::make_shared<std::weak_ptr<FrameStream>>();
    peer->dialed = this->shared.makeStream(peer->socket, peer->address.name, this->hooksFor(peer, self));
    *self = peer->dialed;
    const FrameStreamPointer stream = peer->dialed;
    stream->start();
}

FrameStreamHooks DialedLinks::hooksFor(const PeerPointer &peer, const FrameStreamHandle &self)
{
    FrameStreamHooks hooks;
    const auto wasOpen = std::make_shared<bool>(false);
    hooks.isKnownPeer = [this](const DaemonName &name) {
        return this->shared.settings.acceptsUnlisted || this->isConfigured(name);
    };
    hooks.received = [this, self](Frame &&frame) {
        if (const FrameStreamPointer stream = self->lock()) {
            this->onFrame(stream, std::move(frame));
        }
    };
    hooks.beforeSend = [this](const Frame &frame) {
        // A request that has ended is not sent any more, since its sender was told that no byte left.
        return frame.flow != FrameFlow::Request || this->requests.table().markSent(frame.correlation);
    };
    hooks.opened = [this, peer, wasOpen] {
        *wasOpen = true;
        this->onOpen(peer);
    };
    hooks.closed = [this, peer, self, wasOpen](ResultCode reason) {
        const FrameStreamPointer stream = self->lock();
        this->shared.noteClosed(stream->peer(), reason, *wasOpen);
        this->onClosed(peer, stream, reason, *wasOpen);
    };
    return hooks;
}

void DialedLinks::onOpen(const PeerPointer &peer)
{
    ++this->shared.counters.peerLinksOpened;
    peer->backoff = this->shared.settings.backoffMin;
    this->setSendStream(peer->address.name, peer->dialed);
    if (this->shared.linkHook) {
        this->shared.linkHook(peer->address.name, true);
    }
}

void DialedLinks::onClosed(const PeerPointer &peer, const FrameStreamPointer &stream, ResultCode reason, bool wasOpen)
{
    peer->dialed.reset();
    this->setSendStream(peer->address.name, nullptr);
    this->requests.table().endAllOf(stream.get());
    if (wasOpen && this->shared.linkHook) {
        this->shared.linkHook(peer->address.name, false);
    }
    if (this->shared.stopped || peer->removed) {
        return;
    }
    // A silent link says nothing about the peer, so a new one is tried without a wait.
    if (wasOpen && reason == ResultCode::Timeout) {
        this->dial(peer);
        return;
    }
    this->dialLater(peer);
}

void DialedLinks::onFrame(const FrameStreamPointer &stream, Frame &&frame)
{
    if (frame.flow != FrameFlow::Answer) {
        stream->close(ResultCode::FrameCorrupt);
        return;
    }
    // An answer after the time limit finds nobody.
    this->requests.table().answer(frame.correlation, stream.get(), std::move(frame.payload));
}

void DialedLinks::dialLater(const PeerPointer &peer)
{
    if (this->shared.stopped || peer->removed) {
        return;
    }
    const std::int64_t half = std::max<std::int64_t>(1, peer->backoff.ms / 2);
    const std::int64_t wait = half + static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(2 * half)));
    peer->backoff = std::min(peer->backoff * 2, this->shared.settings.backoffMax);
    peer->timer.expires_after(std::chrono::milliseconds(wait));
    peer->timer.async_wait([this, peer](Error error) {
        if (!error) {
            this->dial(peer);
        }
    });
}

FrameStreamPointer DialedLinks::sendStream(const DaemonName &peer, ResultCode &code) const
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

void DialedLinks::setSendStream(const DaemonName &peer, const FrameStreamPointer &stream)
{
    const std::lock_guard lock(this->sendMutex);
    const auto found = this->sendStreams.find(peer);
    if (found != this->sendStreams.end()) {
        found->second = stream;
    }
}

} // namespace Filbertlanding
