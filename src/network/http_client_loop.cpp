/** @file http_client_loop.cpp Event loop of the HTTP client on Beast: pools of connections for each target. */

#include "network/http_client_loop.h"

#include "network/chrono_func.h"
#include "network/descriptor_pool.h"
#include "network/socket_options.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>

#include <deque>
#include <map>
#include <unordered_map>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    namespace http = boost::beast::http;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;

    using IdleHook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    struct Target;
    struct ClientConnection;

    /** A call on its loop. */
    struct Call : HttpCall {
        Call(net::io_context &io, HttpCall call)
            : HttpCall(std::move(call))
            , timer(io)
        {
        }

        net::steady_timer timer; ///< Runs until the deadline.
        std::weak_ptr<ClientConnection> connection; ///< Connection that is opened for it or carries it.
        bool bytesSent = false;
        bool isConnectionRefused = false;
        bool finished = false;
    };

    /** One connection. */
    struct ClientConnection {
        ClientConnection(net::io_context &io, Target &itsTarget, DescriptorPool *descriptors)
            : target(itsTarget)
            , socket(io)
            , descriptor(descriptors)
            , timer(io)
        {
        }

        Target &target;
        Tcp::socket socket;
        DescriptorUse descriptor;
        IdleHook idleHook; ///< Among all idle connections.
        net::steady_timer timer; ///< Bounds connecting, silence or idling, depending on the state.
        std::uint64_t round = 0; ///< Changes with each state, so that handlers of an earlier state do nothing.
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::optional<http::response_parser<http::string_body>> parser;
        std::shared_ptr<Call> call; ///< Call that it is opened for or carries.
        bool extra = false; ///< Opened beyond the pool for one call.
        bool isRetried = false; ///< Opened again after a first attempt found no descriptor.
        bool closed = false;
    };

    using IdleList = boost::intrusive::list<ClientConnection,
                                            boost::intrusive::member_hook<ClientConnection, IdleHook, &ClientConnection::idleHook>,
                                            boost::intrusive::constant_time_size<false>>;
    using ConnectionPointer = std::shared_ptr<ClientConnection>;
    using CallPointer = std::shared_ptr<Call>;

    /** Pool of one target. */
    struct Target {
        HttpAddress address;
        std::size_t connections = 0; ///< Connections of the pool: idle, busy or being opened.
        std::vector<ConnectionPointer> idle; ///< The most recently used one is last and is taken first.
        std::deque<CallPointer> waiting; ///< Calls that wait for a connection.
    };

    /** One event loop with the pools and calls that live on it. */
    class ClientLoop : public HttpClientLoop
    {
    public:
        ClientLoop(const HttpClientSettings &clientSettings, NetworkCounters &networkCounters, const std::function<void(const HttpAddress &)> &hook)
            : settings(clientSettings)
            , counters(networkCounters)
            , silentHook(hook)
            , ownIo(clientSettings.loop == nullptr ? std::make_unique<net::io_context>(1) : nullptr)
            , io(clientSettings.loop == nullptr ? *this->ownIo : *clientSettings.loop)
            , work(net::make_work_guard(this->io))
        {
            if (this->settings.descriptors != nullptr) {
                this->releaser = this->settings.descriptors->addReleaser([this](ConnectionPhase phase) {
                    return phase == ConnectionPhase::Idle && this->releaseIdle();
                });
            }
        }

        ClientLoop(const ClientLoop &) = delete;
        ClientLoop &operator=(const ClientLoop &) = delete;

        ~ClientLoop() override
        {
            this->endRelease();
        }

        void begin(HttpCall &&begun) override;
        void cancel(std::uint64_t number) override;
        void shutDown() override;

        net::io_context &context() override
        {
            return this->io;
        }

    private:
        void dispatch(Target &target, const CallPointer &call);
        void open(Target &target, const CallPointer &call, bool extra);
        void connect(const ConnectionPointer &connection);
        bool releaseIdle();
        void endRelease();
        void onConnected(const ConnectionPointer &connection, Error error);
        void onConnectFailed(const ConnectionPointer &connection);
        void startExchange(const ConnectionPointer &connection, const CallPointer &call);
        void onWritten(const ConnectionPointer &connection, std::uint64_t round, Error error, std::size_t bytes);
        void read(const ConnectionPointer &connection);
        void onRead(const ConnectionPointer &connection, std::uint64_t round, Error error);
        void onSilent(const ConnectionPointer &connection);
        void release(const ConnectionPointer &connection);
        void makeIdle(const ConnectionPointer &connection);
        bool isUsable(const ConnectionPointer &connection) const;
        void close(const ConnectionPointer &connection);
        void serveWaiting(Target &target);
        void onDeadline(const CallPointer &call);
        void finish(const CallPointer &call, ResultCode code, HttpResponse response = {});
        void endCall(const CallPointer &call, ResultCode unsentCode);
        template<class Function>
        void armTimer(const ConnectionPointer &connection, Duration timeout, Function function);

        const HttpClientSettings &settings;
        NetworkCounters &counters;
        const std::function<void(const HttpAddress &)> &silentHook;
        std::unique_ptr<net::io_context> ownIo; ///< Empty on a loop of the owner.
        net::io_context &io;
        std::optional<net::executor_work_guard<net::io_context::executor_type>> work;
        std::map<HttpAddress, Target> targets;
        std::unordered_map<std::uint64_t, CallPointer> calls;
        std::map<ClientConnection *, ConnectionPointer> openConnections; ///< All open connections.
        IdleList idleConnections; ///< Idle connections of all targets; the one that has been idle longest is first.
        std::optional<DescriptorPool::ReleaserId> releaser; ///< This client among the owners of the shared descriptors.
        bool stopping = false;
    };

    /** Runs a function after a time unless the connection has changed its state by then. */
    template<class Function>
    void ClientLoop::armTimer(const ConnectionPointer &connection, Duration timeout, Function function)
    {
        connection->timer.expires_after(chronoOf(timeout));
        connection->timer.async_wait([connection, round = connection->round, function](Error error) {
            if (!error && !connection->closed && connection->round == round) {
                function();
            }
        });
    }

    void ClientLoop::begin(HttpCall &&begun)
    {
        const auto call = std::make_shared<Call>(this->io, std::move(begun));
        ++this->counters.clientExchanges;
        this->calls.emplace(call->number, call);
        if (this->stopping) {
            this->finish(call, ResultCode::BrokenBeforeSend);
            return;
        }
        call->timer.expires_at(call->deadline);
        call->timer.async_wait([this, call](Error error) {
            if (!error) {
                this->onDeadline(call);
            }
        });
        Target &target = this->targets[call->target];
        target.address = call->target;
        this->dispatch(target, call);
    }

    void ClientLoop::dispatch(Target &target, const CallPointer &call)
    {
        if (call->options.freshConnection) {
            this->open(target, call, true);
            return;
        }
        while (!target.idle.empty()) {
            const ConnectionPointer connection = target.idle.back();
            target.idle.pop_back();
            if (this->isUsable(connection)) {
                this->startExchange(connection, call);
                return;
            }
            ++this->counters.clientStaleClosed;
            this->close(connection);
        }
        if (target.connections < this->settings.maxConnectionsPerTarget) {
            this->open(target, call, false);
            return;
        }
        if (target.waiting.size() >= this->settings.maxWaitingPerTarget) {
            this->finish(call, ResultCode::QueueFull);
            return;
        }
        target.waiting.push_back(call);
    }

    void ClientLoop::open(Target &target, const CallPointer &call, bool extra)
    {
        Error error;
        net::ip::make_address(target.address.address, error);
        if (error) {
            this->finish(call, ResultCode::ConnectFailed);
            return;
        }
        const auto connection = std::make_shared<ClientConnection>(this->io, target, this->settings.descriptors);
        connection->extra = extra;
        connection->call = call;
        call->connection = connection;
        target.connections += extra ? 0 : 1;
        this->openConnections.emplace(connection.get(), connection);
        ++this->counters.clientConnectsStarted;
        this->armTimer(connection, this->settings.connectTimeout, [this, connection] {
            this->onConnectFailed(connection);
        });
        this->connect(connection);
    }

    void ClientLoop::connect(const ConnectionPointer &connection)
    {
        const HttpAddress &address = connection->target.address;
        connection->socket.async_connect({net::ip::make_address(address.address), address.port}, [this, connection](Error error) {
            this->onConnected(connection, error);
        });
    }

    /** Closes the connection that has been idle longest. Returns false if there is none. */
    bool ClientLoop::releaseIdle()
    {
        if (this->idleConnections.empty()) {
            return false;
        }
        ++this->counters.clientIdleDisplaced;
        const ConnectionPointer connection = this->openConnections.at(&this->idleConnections.front());
        this->close(connection);
        return true;
    }

    void ClientLoop::endRelease()
    {
        if (this->releaser) {
            this->settings.descriptors->removeReleaser(*this->releaser);
            this->releaser.reset();
        }
    }

    void ClientLoop::onConnected(const ConnectionPointer &connection, Error error)
    {
        if (connection->closed) {
            return;
        }
        if (error == net::error::no_descriptors && !std::exchange(connection->isRetried, true) && releaseDescriptor(this->settings.descriptors)) {
            this->connect(connection);
            return;
        }
        if (error) {
            if (connection->call != nullptr) {
                connection->call->isConnectionRefused = error == net::error::connection_refused || error == net::error::connection_reset;
            }
            this->onConnectFailed(connection);
            return;
        }
        connection->timer.cancel();
        setConnectionOptions(connection->socket.native_handle(), this->settings.tcpUserTimeout, this->settings.keepAliveIdle);
        Error ignored;
        connection->socket.non_blocking(true, ignored);
        const CallPointer call = std::exchange(connection->call, nullptr);
        this->startExchange(connection, call);
    }

    void ClientLoop::onConnectFailed(const ConnectionPointer &connection)
    {
        ++this->counters.clientConnectsFailed;
        const CallPointer call = std::exchange(connection->call, nullptr);
        this->finish(call, ResultCode::ConnectFailed);
        this->close(connection);
    }

    void ClientLoop::startExchange(const ConnectionPointer &connection, const CallPointer &call)
    {
        ++connection->round;
        connection->idleHook.unlink();
        connection->call = call;
        call->connection = connection;
        auto &message = connection->request;
        message = {};
        message.version(11);
        message.method_string(call->request.method);
        message.target(call->request.target);
        for (const HttpHeader &header : call->request.headers) {
            message.insert(header.name, header.value);
        }
        if (message.count(http::field::host) == 0) {
            message.set(http::field::host, call->target.address + ":" + std::to_string(call->target.port));
        }
        message.body() = std::move(call->request.body);
        message.keep_alive(!connection->extra);
        message.prepare_payload();
        this->armTimer(connection, this->settings.silentTimeout, [this, connection] {
            this->onSilent(connection);
        });
        // Set before the write begins: from here on any end of the call must count as sent, until the write itself says that it took no byte.
        call->bytesSent = true;
        http::async_write(connection->socket, message, [this, connection, round = connection->round](Error error, std::size_t bytes) {
            this->onWritten(connection, round, error, bytes);
        });
    }

    void ClientLoop::onWritten(const ConnectionPointer &connection, std::uint64_t round, Error error, std::size_t bytes)
    {
        if (connection->closed || connection->round != round) {
            return;
        }
        if (!error) {
            this->read(connection);
            return;
        }
        const CallPointer call = std::exchange(connection->call, nullptr);
        // The kernel refused the very first byte, so none has left the process.
        call->bytesSent = bytes > 0;
        this->finish(call, bytes > 0 ? ResultCode::OutcomeUnknown : ResultCode::BrokenBeforeSend);
        this->close(connection);
    }

    void ClientLoop::read(const ConnectionPointer &connection)
    {
        connection->parser.emplace();
        connection->parser->header_limit(static_cast<std::uint32_t>(this->settings.maxHeaderBytes));
        connection->parser->body_limit(this->settings.maxBodyBytes);
        connection->parser->skip(connection->request.method() == http::verb::head);
        http::async_read(connection->socket, connection->buffer, *connection->parser, [this, connection, round = connection->round](Error error, std::size_t) {
            this->onRead(connection, round, error);
        });
    }

    void ClientLoop::onRead(const ConnectionPointer &connection, std::uint64_t round, Error error)
    {
        if (connection->closed || connection->round != round) {
            return;
        }
        if (error) {
            const CallPointer call = std::exchange(connection->call, nullptr);
            this->finish(call, ResultCode::OutcomeUnknown);
            this->close(connection);
            return;
        }
        if (connection->parser->get().result_int() < 200) {
            // An interim response; the real one follows.
            this->read(connection);
            return;
        }
        const bool reusable = connection->parser->keep_alive() && connection->buffer.size() == 0 && !connection->extra;
        auto message = connection->parser->release();
        connection->parser.reset();
        HttpResponse response;
        response.status = message.result_int();
        for (const auto &field : message) {
            response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        response.body = std::move(message.body());
        const CallPointer call = std::exchange(connection->call, nullptr);
        this->finish(call, ResultCode::Ok, std::move(response));
        if (reusable) {
            this->release(connection);
            return;
        }
        this->close(connection);
    }

    /** No byte of an answer came in time. Other connections to the target may have gone silent with this one, so idle ones are not trusted. */
    void ClientLoop::onSilent(const ConnectionPointer &connection)
    {
        if (connection->buffer.size() > 0 || (connection->parser && connection->parser->got_some())) {
            return;
        }
        ++this->counters.clientSilent;
        const auto suspects = std::exchange(connection->target.idle, {});
        for (const ConnectionPointer &suspect : suspects) {
            ++this->counters.clientStaleClosed;
            this->close(suspect);
        }
        if (this->silentHook) {
            this->silentHook(connection->target.address);
        }
    }

    void ClientLoop::release(const ConnectionPointer &connection)
    {
        ++connection->round;
        connection->timer.cancel();
        Target &target = connection->target;
        if (target.waiting.empty()) {
            this->makeIdle(connection);
            return;
        }
        if (!this->isUsable(connection)) {
            ++this->counters.clientStaleClosed;
            this->close(connection);
            return;
        }
        const CallPointer call = target.waiting.front();
        target.waiting.pop_front();
        this->startExchange(connection, call);
    }

    void ClientLoop::makeIdle(const ConnectionPointer &connection)
    {
        connection->target.idle.push_back(connection);
        this->idleConnections.push_back(*connection);
        const auto closeStale = [this, connection] {
            ++this->counters.clientStaleClosed;
            this->close(connection);
        };
        this->armTimer(connection, this->settings.idleTimeout, closeStale);
        connection->socket.async_wait(Tcp::socket::wait_read, [connection, round = connection->round, closeStale](Error) {
            if (!connection->closed && connection->round == round) {
                closeStale();
            }
        });
    }

    /** Returns whether nothing waits to be read: a late answer, or the end of the connection, makes it unusable. */
    bool ClientLoop::isUsable(const ConnectionPointer &connection) const
    {
        char byte = 0;
        Error error;
        connection->socket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, error);
        return error == net::error::would_block;
    }

    void ClientLoop::close(const ConnectionPointer &connection)
    {
        if (connection->closed) {
            return;
        }
        connection->closed = true;
        ++connection->round;
        connection->idleHook.unlink();
        connection->timer.cancel();
        Error ignored;
        connection->socket.close(ignored);
        connection->descriptor.end();
        Target &target = connection->target;
        std::erase(target.idle, connection);
        target.connections -= connection->extra ? 0 : 1;
        this->openConnections.erase(connection.get());
        this->serveWaiting(target);
    }

    void ClientLoop::serveWaiting(Target &target)
    {
        while (!this->stopping && !target.waiting.empty() && target.connections < this->settings.maxConnectionsPerTarget) {
            const CallPointer call = target.waiting.front();
            target.waiting.pop_front();
            this->open(target, call, false);
        }
    }

    void ClientLoop::onDeadline(const CallPointer &call)
    {
        this->endCall(call, ResultCode::DeadlineExpired);
    }

    /** Ends a call before its answer; its connection is closed, since an answer may still come on it. */
    void ClientLoop::endCall(const CallPointer &call, ResultCode unsentCode)
    {
        if (call->finished) {
            return;
        }
        std::erase(this->targets[call->target].waiting, call);
        const ConnectionPointer connection = call->connection.lock();
        this->finish(call, call->bytesSent ? ResultCode::OutcomeUnknown : unsentCode);
        if (connection != nullptr && connection->call == call) {
            connection->call.reset();
            this->close(connection);
        }
    }

    void ClientLoop::cancel(std::uint64_t number)
    {
        const auto found = this->calls.find(number);
        if (found == this->calls.end()) {
            return;
        }
        const CallPointer call = found->second;
        this->endCall(call, ResultCode::BrokenBeforeSend);
    }

    void ClientLoop::finish(const CallPointer &call, ResultCode code, HttpResponse response)
    {
        if (call == nullptr || call->finished) {
            return;
        }
        call->finished = true;
        call->timer.cancel();
        this->calls.erase(call->number);
        this->counters.clientOk += code == ResultCode::Ok ? 1 : 0;
        this->counters.clientOutcomeUnknown += code == ResultCode::OutcomeUnknown ? 1 : 0;
        this->counters.clientNotSent += call->bytesSent ? 0 : 1;
        const HttpDone done = std::exchange(call->done, nullptr);
        done({code, call->bytesSent, std::move(response), call->isConnectionRefused});
    }

    void ClientLoop::shutDown()
    {
        this->stopping = true;
        this->endRelease();
        const auto pending = this->calls;
        for (const auto &[number, call] : pending) {
            this->endCall(call, ResultCode::BrokenBeforeSend);
        }
        const auto remaining = this->openConnections;
        for (const auto &[address, connection] : remaining) {
            this->close(connection);
        }
        this->work.reset();
    }

} // namespace

std::unique_ptr<HttpClientLoop>
makeHttpClientLoop(const HttpClientSettings &settings, NetworkCounters &counters, const std::function<void(const HttpAddress &)> &silentHook)
{
    return std::make_unique<ClientLoop>(settings, counters, silentHook);
}

} // namespace Filbertlanding
