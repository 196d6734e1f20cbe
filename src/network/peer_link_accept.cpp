/** @file peer_link_accept.cpp Links that peers open: listening, handshakes, requests of peers and the answers to them. */

#include "network/descriptor_pool.h"
#include "network/peer_link_internal.h"

namespace Filbertlanding {

AcceptedLinks::AcceptedLinks(PeerLinkShared &linkShared, std::function<bool(const DaemonName &)> isConfiguredPeer)
    : shared(linkShared)
    , isConfigured(std::move(isConfiguredPeer))
    , handshakes(linkShared.settings, linkShared.counters)
{
}

std::error_code AcceptedLinks::listen()
{
    ListenerHooks hooks;
    hooks.accepted = [this](boost::asio::ip::tcp::socket socket) {
        this->onAccepted(std::move(socket));
    };
    hooks.acceptFailed = [this] {
        this->handshakes.onAcceptFailed();
    };
    hooks.makeRoom = [this] {
        return releaseDescriptor(this->shared.settings.descriptors);
    };
    this->listenPort = this->shared.settings.port;
    this->listener.emplace(this->shared.io, std::move(hooks));
    return this->listener->open(this->shared.settings.address, this->listenPort);
}

void AcceptedLinks::start()
{
    this->listener->start();
}

std::uint16_t AcceptedLinks::port() const
{
    return this->listenPort;
}

ConnectionSummary AcceptedLinks::handshakeSummary() const
{
    return this->handshakes.summary();
}

void AcceptedLinks::onAccepted(boost::asio::ip::tcp::socket socket)
{
    if (!this->handshakes.makeRoom()) {
        ++this->shared.counters.peerLinksRefused;
        return;
    }
    const RemoteAddress remote = remoteAddressOf(socket.native_handle());
    const auto self = std::make_shared<std::weak_ptr<FrameStream>>();
    const FrameStreamPointer stream = this->shared.makeStream(socket, {}, this->hooksFor(self));
    *self = stream;
    this->streams.insert(stream);
    this->handshakes.add(*stream, remote);
    stream->start();
}

FrameStreamHooks AcceptedLinks::hooksFor(const FrameStreamHandle &self)
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
    hooks.beforeSend = [](const Frame &) {
        return true;
    };
    hooks.opened = [this, self, wasOpen] {
        *wasOpen = true;
        this->onOpen(self->lock());
    };
    hooks.closed = [this, self, wasOpen](ResultCode reason) {
        const FrameStreamPointer stream = self->lock();
        this->shared.noteClosed(stream->peer(), reason, *wasOpen);
        this->onClosed(stream);
    };
    return hooks;
}

void AcceptedLinks::onOpen(const FrameStreamPointer &stream)
{
    this->handshakes.remove(*stream);
    ++this->shared.counters.peerLinksAccepted;
    if (!this->isConfigured(stream->peer())) {
        return;
    }
    // The peer opened a new connection, so it has given up the one before.
    const FrameStreamPointer earlier = std::exchange(this->openStreams[stream->peer()], stream);
    if (earlier != nullptr) {
        earlier->close(ResultCode::ConnectionClosed);
    }
}

void AcceptedLinks::onClosed(const FrameStreamPointer &stream)
{
    this->handshakes.remove(*stream);
    this->streams.erase(stream);
    const auto found = this->openStreams.find(stream->peer());
    if (found != this->openStreams.end() && found->second == stream) {
        this->openStreams.erase(found);
    }
}

void AcceptedLinks::onFrame(const FrameStreamPointer &stream, Frame &&frame)
{
    if (frame.flow == FrameFlow::Answer || !this->streams.contains(stream)) {
        stream->close(ResultCode::FrameCorrupt);
        return;
    }
    PeerReply reply = frame.flow == FrameFlow::OneWay ? PeerReply() : this->makeReply(stream, frame);
    this->shared.handler(stream->peer(), frame.kind, std::move(frame.payload), std::move(reply));
}

PeerReply AcceptedLinks::makeReply(const FrameStreamPointer &stream, const Frame &frame)
{
    const auto used = std::make_shared<std::atomic<bool>>(false);
    return [weak = std::weak_ptr(stream), used, kind = frame.kind, correlation = frame.correlation, owner = this->shared.owner](std::string payload) {
        const auto alive = owner.lock();
        const FrameStreamPointer target = weak.lock();
        if (!used->exchange(true) && alive != nullptr && target != nullptr) {
            target->push({kind, FrameFlow::Answer, correlation, 0, std::move(payload)});
        }
    };
}

void AcceptedLinks::closePeer(const DaemonName &peer)
{
    this->openStreams.erase(peer);
    const auto present = this->streams;
    for (const FrameStreamPointer &stream : present) {
        if (stream->peer() == peer) {
            stream->close(ResultCode::ConnectionClosed);
        }
    }
}

void AcceptedLinks::stopListening()
{
    this->handshakes.stop();
    if (this->listener) {
        this->listener->close();
    }
}

void AcceptedLinks::closeAll()
{
    const auto present = this->streams;
    for (const FrameStreamPointer &stream : present) {
        stream->close(ResultCode::ConnectionClosed);
    }
}

} // namespace Filbertlanding
