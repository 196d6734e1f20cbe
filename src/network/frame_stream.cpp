/** @file frame_stream.cpp One TCP connection between daemons. */

#include "network/frame_stream.h"

#include "network/chrono_func.h"
#include "network/descriptor_pool.h"
#include "network/peer_handshake.h"
#include "network/socket_options.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <openssl/rand.h>

#include <deque>
#include <mutex>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::size_t HandshakeFrameBytes = 1024; ///< Bound on frames of a link that is not authenticated.
    constexpr std::size_t WriteBatchBytes = std::size_t{256} * 1024; ///< Frames are sent together up to this size.
    constexpr std::size_t ReadChunkBytes = std::size_t{64} * 1024; ///< Bytes read at once.

    HandshakeNonce makeNonce()
    {
        HandshakeNonce nonce{};
        // Without random bytes a recorded handshake could be repeated, so the process must not go on.
        if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
            throw std::system_error(make_error_code(ResultCode::Internal), "no random bytes for a handshake");
        }
        return nonce;
    }

    class TcpFrameStream : public FrameStream, public std::enable_shared_from_this<TcpFrameStream>
    {
    public:
        TcpFrameStream(const PeerLinkSettings &linkSettings,
                       NetworkCounters &networkCounters,
                       net::io_context &context,
                       Tcp::socket connected,
                       const DaemonName &dialedPeer,
                       FrameStreamHooks streamHooks)
            : settings(linkSettings)
            , counters(networkCounters)
            , io(context)
            , socket(std::move(connected))
            , descriptor(linkSettings.descriptors)
            , tickTimer(context)
            , hooks(std::move(streamHooks))
            , chunk(HandshakeFrameBytes)
        {
            this->handshake.self = linkSettings.self;
            this->handshake.peer = dialedPeer;
            this->handshake.secret = linkSettings.key;
        }

        void start() override;
        ResultCode push(Frame frame) override;
        void close(ResultCode reason) override;

        bool hasUnreadInput() const override
        {
            Error ignored;
            return this->socket.available(ignored) > 0;
        }

        const DaemonName &peer() const override
        {
            return this->handshake.peer;
        }

        bool isOpen() const override
        {
            return this->open && !this->closed;
        }

    private:
        void sendNow(Frame frame);
        void flush();
        void write();
        void read();
        void onBytes(std::size_t count);
        bool takeFrame();
        void onFrame(Frame &&frame);
        void onHandshakeFrame(const Frame &frame);
        void tick();

        const PeerLinkSettings &settings;
        NetworkCounters &counters;
        net::io_context &io;
        Tcp::socket socket;
        DescriptorUse descriptor;
        net::steady_timer tickTimer;
        FrameStreamHooks hooks;
        Handshake handshake;
        LinkKeys keys{};
        std::uint64_t sendSequence = 0;
        std::uint64_t receiveSequence = 0;
        std::vector<char> chunk; ///< Small until the handshake is complete, since anyone can open a connection.
        std::string input; ///< Received bytes that have not made a frame yet.
        std::string output; ///< Bytes that wait until the write under way is done.
        std::string inWrite; ///< Bytes of the write under way.
        bool writing = false;
        bool open = false;
        bool closed = false;
        SteadyClock::time_point lastReceived;
        SteadyClock::time_point lastWritten;
        SteadyClock::time_point started;

        std::mutex queueMutex; ///< Guards the members below.
        std::deque<Frame> queue;
        std::size_t queuedBytes = 0;
        bool accepting = false; ///< Whether push() takes frames.
        bool flushPosted = false;
    };

    void TcpFrameStream::start()
    {
        setConnectionOptions(this->socket.native_handle(), this->settings.silentTimeout, this->settings.silentTimeout);
        this->started = SteadyClock::now();
        this->lastReceived = this->started;
        this->lastWritten = this->started;
        if (this->handshake.peer.empty()) {
            awaitHandshake(this->handshake, makeNonce());
            this->keys = handshakeKeys(this->handshake);
        } else {
            Frame hello = beginHandshake(this->handshake, makeNonce());
            this->keys = handshakeKeys(this->handshake);
            this->sendNow(std::move(hello));
        }
        this->read();
        this->tick();
    }

    ResultCode TcpFrameStream::push(Frame frame)
    {
        const std::size_t size = FrameOverheadBytes + frame.payload.size();
        if (frame.payload.size() > MaxFramePayload) {
            return ResultCode::FrameTooLarge;
        }
        const std::lock_guard lock(this->queueMutex);
        if (!this->accepting) {
            return ResultCode::ConnectionClosed;
        }
        if (this->queuedBytes + size > this->settings.maxQueuedBytes || this->queue.size() >= this->settings.maxQueuedMessages) {
            ++this->counters.peerSendDropped;
            return ResultCode::QueueFull;
        }
        this->queuedBytes += size;
        this->queue.push_back(std::move(frame));
        if (!this->flushPosted) {
            this->flushPosted = true;
            net::post(this->io, [weak = this->weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->flush();
                }
            });
        }
        return ResultCode::Ok;
    }

    /** Moves queued frames into the next write. They stay in the queue while a write is under way, so that the bound holds. */
    void TcpFrameStream::flush()
    {
        {
            const std::lock_guard lock(this->queueMutex);
            this->flushPosted = false;
        }
        while (!this->closed && !this->writing && this->output.size() < WriteBatchBytes) {
            Frame frame;
            {
                const std::lock_guard lock(this->queueMutex);
                if (this->queue.empty()) {
                    break;
                }
                frame = std::move(this->queue.front());
                this->queue.pop_front();
                this->queuedBytes -= FrameOverheadBytes + frame.payload.size();
            }
            if (this->hooks.beforeSend(frame)) {
                frame.sequence = this->sendSequence++;
                encodeFrame(frame, this->keys.send, this->output);
                ++this->counters.peerFramesSent;
            }
        }
        this->write();
    }

    /** Sends a frame of the link itself, ahead of the queue. */
    void TcpFrameStream::sendNow(Frame frame)
    {
        frame.sequence = this->sendSequence++;
        encodeFrame(frame, this->keys.send, this->output);
        ++this->counters.peerFramesSent;
        this->write();
    }

    void TcpFrameStream::write()
    {
        if (this->closed || this->writing || this->output.empty()) {
            return;
        }
        this->writing = true;
        this->lastWritten = SteadyClock::now();
        this->inWrite.swap(this->output);
        this->output.clear();
        net::async_write(this->socket, net::buffer(this->inWrite), [self = this->shared_from_this()](Error error, std::size_t bytes) {
            self->counters.peerBytesSent += bytes;
            self->writing = false;
            if (error) {
                self->close(ResultCode::ConnectionClosed);
                return;
            }
            self->lastWritten = SteadyClock::now();
            self->flush();
        });
    }

    void TcpFrameStream::read()
    {
        this->socket.async_read_some(net::buffer(this->chunk), [self = this->shared_from_this()](Error error, std::size_t bytes) {
            if (self->closed) {
                return;
            }
            if (error) {
                self->close(ResultCode::ConnectionClosed);
                return;
            }
            self->onBytes(bytes);
        });
    }

    void TcpFrameStream::onBytes(std::size_t count)
    {
        this->counters.peerBytesReceived += count;
        this->lastReceived = SteadyClock::now();
        this->input.append(this->chunk.data(), count);
        while (!this->closed && this->takeFrame()) {
        }
        if (!this->closed) {
            this->read();
        }
    }

    /** Takes the first frame of the input. Returns whether there was a whole one. */
    bool TcpFrameStream::takeFrame()
    {
        const std::span bytes(reinterpret_cast<const std::uint8_t *>(this->input.data()), this->input.size());
        FrameDecode result = decodeFrame(bytes, this->keys.receive, this->receiveSequence, this->open ? MaxFrameBytes : HandshakeFrameBytes);
        if (result.code == ResultCode::Pending) {
            return false;
        }
        if (result.code != ResultCode::Ok) {
            this->close(result.code);
            return false;
        }
        ++this->receiveSequence;
        ++this->counters.peerFramesReceived;
        this->input.erase(0, result.consumed);
        this->onFrame(std::move(result.frame));
        return true;
    }

    void TcpFrameStream::onFrame(Frame &&frame)
    {
        if (!this->open) {
            this->onHandshakeFrame(frame);
            return;
        }
        if (frame.flow != FrameFlow::Link) {
            this->hooks.received(std::move(frame));
            return;
        }
        if (frame.kind != static_cast<std::uint8_t>(LinkFrameKind::Heartbeat)) {
            this->close(ResultCode::FrameCorrupt);
        }
    }

    void TcpFrameStream::onHandshakeFrame(const Frame &frame)
    {
        HandshakeStep step = handshakeStep(this->handshake, frame, this->hooks.isKnownPeer);
        if (step.code != ResultCode::Ok && step.code != ResultCode::Pending) {
            this->close(step.code);
            return;
        }
        if (step.reply) {
            this->sendNow(std::move(*step.reply));
        }
        if (step.code == ResultCode::Pending) {
            return;
        }
        this->keys = sessionKeys(this->handshake);
        this->sendSequence = 0;
        this->receiveSequence = 0;
        this->open = true;
        this->chunk.resize(ReadChunkBytes);
        {
            const std::lock_guard lock(this->queueMutex);
            this->accepting = true;
        }
        this->hooks.opened();
    }

    /** Sends a heartbeat when due, and closes a connection on which nothing arrives or nothing can be written. */
    void TcpFrameStream::tick()
    {
        if (this->closed) {
            return;
        }
        const auto now = SteadyClock::now();
        const bool handshakeLate = !this->open && now - this->started > chronoOf(this->settings.connectTimeout);
        const bool silent = now - this->lastReceived > chronoOf(this->settings.silentTimeout);
        const bool writeStuck = this->writing && now - this->lastWritten > chronoOf(this->settings.silentTimeout);
        if (handshakeLate || silent || writeStuck) {
            this->close(ResultCode::Timeout);
            return;
        }
        if (this->open && !this->writing && now - this->lastWritten >= chronoOf(this->settings.heartbeatInterval)) {
            this->sendNow({static_cast<std::uint8_t>(LinkFrameKind::Heartbeat), FrameFlow::Link, 0, 0, {}});
        }
        this->tickTimer.expires_after(chronoOf(this->settings.heartbeatInterval / 4 + Duration{1}));
        this->tickTimer.async_wait([self = this->shared_from_this()](Error error) {
            if (!error) {
                self->tick();
            }
        });
    }

    void TcpFrameStream::close(ResultCode reason)
    {
        if (this->closed) {
            return;
        }
        const auto self = this->shared_from_this();
        this->closed = true;
        {
            const std::lock_guard lock(this->queueMutex);
            this->accepting = false;
            this->queue.clear();
            this->queuedBytes = 0;
        }
        Error ignored;
        this->socket.close(ignored);
        this->descriptor.end();
        this->tickTimer.cancel();
        this->hooks.closed(reason);
    }

} // namespace

std::shared_ptr<FrameStream> makeFrameStream(const PeerLinkSettings &settings,
                                             NetworkCounters &counters,
                                             net::io_context &context,
                                             int nativeSocket,
                                             bool isIpv6,
                                             const DaemonName &dialedPeer,
                                             FrameStreamHooks hooks)
{
    Tcp::socket socket(context);
    Error ignored;
    socket.assign(isIpv6 ? Tcp::v6() : Tcp::v4(), nativeSocket, ignored);
    return std::make_shared<TcpFrameStream>(settings, counters, context, std::move(socket), dialedPeer, std::move(hooks));
}

} // namespace Filbertlanding
