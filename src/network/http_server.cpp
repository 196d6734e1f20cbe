/** @file http_server.cpp Acceptor, event loops and graceful stop of the HTTP server. */

#include "network/http_server.h"

#include "network/descriptor_pool.h"
#include "network/http_connection.h"
#include "network/listen_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <mutex>
#include <thread>
#include <unordered_set>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;
    using ConnectionPointer = std::shared_ptr<HttpConnection>;

    constexpr std::size_t ClosingDivisor = 8; ///< Beyond the limit, this part of it may wait for the other side to close.

    /** One event loop with its thread and the connections that live on it. */
    struct ServerLoop {
        explicit ServerLoop(net::io_context *ownersLoop)
            : ownIo(ownersLoop == nullptr ? std::make_unique<net::io_context>(1) : nullptr)
            , io(ownersLoop == nullptr ? *this->ownIo : *ownersLoop)
        {
        }

        std::unique_ptr<net::io_context> ownIo; ///< Empty on a loop of the owner.
        net::io_context &io; ///< Event loop; run by one thread only.
        std::unordered_set<ConnectionPointer> connections; ///< Open connections; touched on the thread only.
        ConnectionTable table; ///< The same connections by phase; touched on the thread only.
        bool stopping = false; ///< Set by stop(); touched on the thread only.
        std::optional<net::executor_work_guard<net::io_context::executor_type>> work; ///< Keeps the loop running.
        std::thread thread; ///< Runs the loop.
    };

} // namespace

/** Acceptor, loops and the state of the graceful stop. */
struct HttpServer::Core : std::enable_shared_from_this<HttpServer::Core> {
    Core(HttpServerSettings settings, HttpHandler handler, NetworkCounters &counters)
        : shared{std::move(settings), std::move(handler), counters, {}, {}}
    {
    }

    std::error_code listen();
    void run();
    void handOver(Tcp::socket socket);
    void adopt(ServerLoop &loop, Tcp::socket socket);
    bool makeRoom(ServerLoop &loop);
    bool releaseOne(ConnectionPhase phase);
    void onListenerClosed();
    void onClosed(ServerLoop &loop, const ConnectionPointer &connection);
    void beginDrain();
    void checkStopped();
    void stop();

    std::vector<std::unique_ptr<ServerLoop>> loops; ///< Declared first, so that everything that uses them is destroyed earlier.
    HttpServerShared shared;
    std::optional<Listener> listener; ///< Used on the first loop.
    std::atomic<std::size_t> open{0}; ///< Accepted connections that have not closed.
    std::atomic<bool> listening{false}; ///< Whether the listener is open or one of its handlers has not ended.
    std::mutex stopMutex; ///< Guards stopped.
    std::function<void()> stopped; ///< Told when the graceful stop is complete.
    std::optional<DescriptorPool::ReleaserId> releaser; ///< This server among the owners of the shared descriptors.
    std::size_t nextLoop = 0; ///< Loop of the next connection; used on the first loop.
    std::uint16_t port = 0;
    bool running = false;
};

std::error_code HttpServer::Core::listen()
{
    ListenerHooks hooks;
    hooks.accepted = [this](Tcp::socket socket) {
        this->handOver(std::move(socket));
    };
    hooks.acceptFailed = [this] {
        ++this->shared.counters.httpAcceptsFailed;
        this->shared.settings.onShortage(ShortageEvent::AcceptFailed);
    };
    hooks.makeRoom = [this] {
        return releaseDescriptor(this->shared.settings.descriptors);
    };
    hooks.closed = [this] {
        this->onListenerClosed();
    };
    this->port = this->shared.settings.port;
    // Connections that were accepted in this turn have not been read, so their phase is not known yet; most of the open ones must be older.
    const std::size_t acceptsPerTurn = std::clamp<std::size_t>(this->shared.settings.maxConnections / ClosingDivisor, 1, MaxAcceptsPerTurn);
    this->listener.emplace(this->loops.front()->io, std::move(hooks), acceptsPerTurn);
    return this->listener->open(this->shared.settings.address, this->port);
}

void HttpServer::Core::run()
{
    this->running = true;
    this->listening = true;
    if (this->shared.settings.descriptors != nullptr) {
        this->releaser = this->shared.settings.descriptors->addReleaser([this](ConnectionPhase phase) {
            return this->releaseOne(phase);
        });
    }
    for (const auto &loop : this->loops) {
        loop->work.emplace(loop->io.get_executor());
    }
    this->listener->start();
    if (this->shared.settings.loop != nullptr) {
        return;
    }
    for (const auto &loop : this->loops) {
        loop->thread = std::thread([target = loop.get()] {
            target->io.run();
        });
    }
}

void HttpServer::Core::handOver(Tcp::socket socket)
{
    ServerLoop &loop = *this->loops[this->nextLoop];
    this->nextLoop = (this->nextLoop + 1) % this->loops.size();
    ++this->open;
    if (this->shared.settings.loop != nullptr) {
        this->adopt(loop, std::move(socket));
        return;
    }
    net::post(loop.io, [this, &loop, moved = std::make_shared<Tcp::socket>(std::move(socket))] {
        this->adopt(loop, std::move(*moved));
    });
}

/** Makes the connection of a socket, on the thread of its loop. */
void HttpServer::Core::adopt(ServerLoop &loop, Tcp::socket socket)
{
    if (!this->makeRoom(loop) || !makeDescriptorRoom(this->shared.settings.descriptors)) {
        ++this->shared.counters.httpConnectionsRefused;
        this->shared.settings.onShortage(ShortageEvent::Refused);
        --this->open;
        this->checkStopped();
        return;
    }
    Error ignored;
    const bool isIpv6 = socket.local_endpoint(ignored).address().is_v6();
    const RemoteAddress remote = remoteAddressOf(socket.native_handle());
    const auto connection =
        makeHttpConnection(this->shared, loop.table, loop.io, socket.release(ignored), isIpv6, [this, &loop](const ConnectionPointer &closed) {
            this->onClosed(loop, closed);
        });
    ++this->shared.counters.httpConnectionsAccepted;
    ++this->shared.counters.httpConnectionsOpen;
    loop.table.add(*connection, remote);
    loop.connections.insert(connection);
    if (loop.stopping) {
        connection->close();
        return;
    }
    connection->start();
}

/** Ends a connection if there are too many for another one. Returns false if no room can be made. */
bool HttpServer::Core::makeRoom(ServerLoop &loop)
{
    const std::size_t limit = std::max<std::size_t>(1, this->shared.settings.maxConnections / this->loops.size());
    ConnectionTable &table = loop.table;
    if (table.size() - table.countOf(ConnectionPhase::Closing) >= limit) {
        TrackedConnection *displaced = table.leastValuable();
        if (displaced == nullptr) {
            return false;
        }
        ++this->shared.counters.httpConnectionsDisplaced;
        static_cast<HttpConnection *>(displaced)->displace();
        this->shared.settings.onShortage(ShortageEvent::Displaced);
    }
    if (table.size() < limit + limit / ClosingDivisor + 1) {
        return true;
    }
    TrackedConnection *closing = table.oldest(ConnectionPhase::Closing);
    if (closing == nullptr) {
        return false;
    }
    static_cast<HttpConnection *>(closing)->close();
    return true;
}

/** Closes a connection of a phase at once, for the sake of another user of the descriptors. */
bool HttpServer::Core::releaseOne(ConnectionPhase phase)
{
    ConnectionTable &table = this->loops.front()->table;
    TrackedConnection *found = phase == ConnectionPhase::Closing ? table.oldest(phase) : table.leastValuable(phase);
    if (found == nullptr) {
        return false;
    }
    if (phase != ConnectionPhase::Closing) {
        ++this->shared.counters.httpConnectionsDisplaced;
        this->shared.settings.onShortage(ShortageEvent::Displaced);
    }
    static_cast<HttpConnection *>(found)->close();
    return true;
}

void HttpServer::Core::onListenerClosed()
{
    this->listening = false;
    this->checkStopped();
}

void HttpServer::Core::onClosed(ServerLoop &loop, const ConnectionPointer &connection)
{
    loop.table.remove(*connection);
    loop.connections.erase(connection);
    --this->shared.counters.httpConnectionsOpen;
    --this->open;
    this->checkStopped();
}

/** Runs on the first loop. Connections that the kernel has completed are accepted first, since closing the listener would reset them. */
void HttpServer::Core::beginDrain()
{
    if (!this->listener->isOpen()) {
        this->checkStopped();
        return;
    }
    this->listener->acceptWaiting();
    this->listener->close();
    for (const auto &loop : this->loops) {
        net::post(loop->io, [target = loop.get()] {
            const auto connections = target->connections;
            for (const ConnectionPointer &connection : connections) {
                connection->drain();
            }
        });
    }
}

void HttpServer::Core::checkStopped()
{
    if (!this->shared.draining || this->listening || this->open > 0) {
        return;
    }
    std::function<void()> callback;
    {
        const std::lock_guard lock(this->stopMutex);
        callback.swap(this->stopped);
    }
    if (callback) {
        callback();
    }
}

void HttpServer::Core::stop()
{
    if (!this->running) {
        return;
    }
    this->running = false;
    this->shared.draining = true;
    if (this->releaser) {
        this->shared.settings.descriptors->removeReleaser(*this->releaser);
        this->releaser.reset();
    }
    net::post(this->loops.front()->io, [this] {
        this->listener->close();
    });
    for (const auto &loop : this->loops) {
        net::post(loop->io, [target = loop.get()] {
            target->stopping = true;
            const auto connections = target->connections;
            for (const ConnectionPointer &connection : connections) {
                connection->close();
            }
            target->work.reset();
        });
    }
    if (this->shared.settings.loop != nullptr) {
        return;
    }
    for (const auto &loop : this->loops) {
        loop->thread.join();
    }
    // A loop may have ended before another one handed it a connection; this closes such connections.
    for (const auto &loop : this->loops) {
        loop->io.restart();
        loop->io.poll();
    }
}

HttpServer::HttpServer(HttpServerSettings settings, HttpHandler handler, NetworkCounters &counters)
    : core(std::make_shared<Core>(std::move(settings), std::move(handler), counters))
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

std::error_code HttpServer::start()
{
    Core &state = *this->core;
    if (state.running || !state.loops.empty()) {
        return ResultCode::Internal;
    }
    const unsigned count = state.shared.settings.loop != nullptr ? 1U : std::max(1U, state.shared.settings.threads);
    for (unsigned i = 0; i < count; ++i) {
        state.loops.push_back(std::make_unique<ServerLoop>(state.shared.settings.loop));
    }
    if (const std::error_code error = state.listen()) {
        return error;
    }
    state.shared.owner = this->core;
    state.run();
    return {};
}

std::uint16_t HttpServer::port() const
{
    return this->core->port;
}

ConnectionSummary HttpServer::connectionSummary() const
{
    const ConnectionTable &table = this->core->loops.front()->table;
    return {.open = table.size(),
            .limit = this->core->shared.settings.maxConnections,
            .silent = table.countOf(ConnectionPhase::Silent),
            .busy = table.countOf(ConnectionPhase::Busy),
            .busiest = table.busiestAddress()};
}

void HttpServer::setMaxConnections(std::size_t limit)
{
    this->core->shared.settings.maxConnections = limit;
}

bool HttpServer::isAccepting() const
{
    return this->core->listener->isAccepting();
}

void HttpServer::stopAccepting(std::function<void()> stopped)
{
    Core &state = *this->core;
    {
        const std::lock_guard lock(state.stopMutex);
        state.stopped = std::move(stopped);
    }
    state.shared.draining = true;
    if (!state.running) {
        state.checkStopped();
        return;
    }
    net::post(state.loops.front()->io, [&state] {
        state.beginDrain();
    });
}

void HttpServer::stop()
{
    this->core->stop();
}

} // namespace Filbertlanding
