/** @file http_connection.cpp One HTTP/1.1 connection on Beast: reads pipelined requests and writes their responses in order. */

#include "network/http_connection.h"

#include "network/chrono_func.h"
#include "network/descriptor_pool.h"
#include "network/http_message.h"
#include "network/socket_options.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <vector>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    namespace http = boost::beast::http;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;
    using SteadyClock = std::chrono::steady_clock;

    /** Place of one response in the order of its connection. */
    struct ResponseSlot {
        bool ready = false; ///< Whether the response is known.
        bool headOnly = false; ///< The request was HEAD: no body is sent.
        bool closeAfter = false; ///< The connection ends with this response.
        bool interim = false; ///< A 100 Continue, which is not a response of a request.
        HttpResponse response; ///< The response.
    };

    /** Where the reading side of a connection stands. */
    enum class ReadState {
        Paused, ///< Not reading: too many requests are outstanding, or nothing more may come.
        Waiting, ///< Waiting for the first byte of a request.
        Header, ///< A request has begun to arrive.
        Body, ///< The headers are complete.
    };

    /** One connection. All members are touched on the thread of its loop only. */
    class Connection : public HttpConnection, public std::enable_shared_from_this<Connection>
    {
    public:
        Connection(HttpServerShared &serverShared,
                   ConnectionTable &connectionTable,
                   net::io_context &loop,
                   Tcp::socket acceptedSocket,
                   std::function<void(const std::shared_ptr<HttpConnection> &)> closedHook)
            : shared(serverShared)
            , table(connectionTable)
            , io(loop)
            , socket(std::move(acceptedSocket))
            , descriptor(serverShared.settings.descriptors)
            , readTimer(loop)
            , writeTimer(loop)
            , onClosed(std::move(closedHook))
            , buffer(serverShared.settings.maxHeaderBytes + ReadAheadBytes)
        {
        }

        void start() override;
        void drain() override;
        void displace() override;
        void close() override;
        bool hasUnreadInput() const override;
        void respond(std::uint64_t number, HttpResponse response);

        net::io_context &context()
        {
            return this->io;
        }

    private:
        static constexpr std::size_t ReadAheadBytes = std::size_t{64} * 1024;

        void readNext();
        void waitForRequest();
        void startHeader();
        void onHeader(Error error);
        void onRequest(Error error);
        void onReadError(Error error);
        void refuse(ResultCode code, unsigned status, std::string_view message);
        void endWithError(ResultCode code, unsigned status, std::string_view message);
        void updatePhase();
        void takeRequest();
        void callHandler(HttpRequest &&request, std::uint64_t number);
        void armReadTimer(Duration timeout);
        void onReadTimeout();
        bool endsWithFrontSlot();
        void writeNext();
        void writeInterim();
        void onWritten(Error error, bool last);
        void linger();
        void discardInput();

        HttpServerShared &shared;
        ConnectionTable &table;
        net::io_context &io;
        Tcp::socket socket;
        DescriptorUse descriptor;
        net::steady_timer readTimer;
        net::steady_timer writeTimer;
        std::function<void(const std::shared_ptr<HttpConnection> &)> onClosed;
        boost::beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        std::optional<http::response<http::string_body>> writing;
        std::deque<ResponseSlot> slots; ///< Responses that have not been written, in the order of the requests.
        std::uint64_t firstSlot = 0; ///< Number of the first slot.
        ReadState readState = ReadState::Paused;
        std::uint64_t readTimerRound = 0; ///< Tells a timeout that was already under way from the current one.
        std::optional<SteadyClock::time_point> drainEnd; ///< After this time a draining connection takes no further request.
        std::string remote;
        std::vector<char> discarded;
        bool inputEnded = false; ///< No further request will be read.
        bool peerClosed = false; ///< The caller has closed its sending side.
        bool closed = false;
    };

    /** Gives one response to its connection exactly once, even when the handler forgets to. */
    class Responder
    {
    public:
        Responder(std::shared_ptr<void> serverOwner, HttpServerShared &serverShared, std::weak_ptr<Connection> itsConnection, std::uint64_t slotNumber)
            : owner(std::move(serverOwner))
            , shared(serverShared)
            , connection(std::move(itsConnection))
            , number(slotNumber)
        {
        }

        Responder(const Responder &) = delete;
        Responder &operator=(const Responder &) = delete;

        ~Responder()
        {
            if (!this->used) {
                this->give(errorResponse(ResultCode::Internal, "the request was dropped without an answer"));
            }
        }

        void give(HttpResponse response)
        {
            if (this->used.exchange(true)) {
                ++this->shared.counters.httpDuplicateResponses;
                return;
            }
            const auto target = this->connection.lock();
            if (target == nullptr) {
                ++this->shared.counters.httpResponsesDropped;
                return;
            }
            // The queued function holds a weak pointer, so that a loop that has stopped does not keep its connections alive.
            auto &dropped = this->shared.counters.httpResponsesDropped;
            net::dispatch(target->context(), [weak = this->connection, slot = this->number, answer = std::move(response), &dropped]() mutable {
                if (const auto alive = weak.lock()) {
                    alive->respond(slot, std::move(answer));
                } else {
                    ++dropped;
                }
            });
        }

    private:
        std::shared_ptr<void> owner; ///< Keeps the event loops alive.
        HttpServerShared &shared;
        std::weak_ptr<Connection> connection;
        std::uint64_t number;
        std::atomic<bool> used{false};
    };

    void Connection::start()
    {
        Error error;
        const auto endpoint = this->socket.remote_endpoint(error);
        if (!error) {
            this->remote = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        }
        setConnectionOptions(this->socket.native_handle(), this->shared.settings.writeTimeout, this->shared.settings.idleTimeout);
        if (this->shared.draining) {
            this->drainEnd = SteadyClock::now() + chronoOf(this->shared.settings.drainIdleTimeout);
        }
        this->readNext();
    }

    void Connection::drain()
    {
        if (this->closed || this->drainEnd) {
            return;
        }
        this->drainEnd = SteadyClock::now() + chronoOf(this->shared.settings.drainIdleTimeout);
        if (this->readState == ReadState::Waiting && this->slots.empty()) {
            this->armReadTimer(this->shared.settings.drainIdleTimeout);
        }
    }

    bool Connection::hasUnreadInput() const
    {
        Error ignored;
        return this->socket.available(ignored) > 0;
    }

    void Connection::displace()
    {
        if (this->closed) {
            return;
        }
        if (this->readState == ReadState::Waiting) {
            this->inputEnded = true;
            this->linger();
            return;
        }
        this->endWithError(ResultCode::QueueFull, resultCodeRow(ResultCode::QueueFull).httpStatus, "too many connections are open; the request was not run");
        this->table.setPhase(*this, ConnectionPhase::Closing);
    }

    /** Tells the table what the connection does, unless it is about to close. */
    void Connection::updatePhase()
    {
        ConnectionPhase phase = ConnectionPhase::Busy;
        if (this->slots.empty()) {
            phase = this->readState == ReadState::Waiting ? ConnectionPhase::Idle : ConnectionPhase::Receiving;
        }
        if (phase != ConnectionTable::phaseOf(*this)) {
            this->table.setPhase(*this, phase);
        }
    }

    void Connection::close()
    {
        if (this->closed) {
            return;
        }
        const auto self = this->shared_from_this();
        this->closed = true;
        Error ignored;
        this->socket.close(ignored);
        this->descriptor.end();
        this->readTimer.cancel();
        this->writeTimer.cancel();
        this->onClosed(self);
    }

    void Connection::readNext()
    {
        if (this->closed || this->inputEnded || this->slots.size() >= this->shared.settings.maxPipelined) {
            this->readState = ReadState::Paused;
            return;
        }
        if (this->buffer.size() > 0) {
            this->startHeader();
            return;
        }
        if (this->drainEnd && !this->slots.empty()) {
            this->readState = ReadState::Paused;
            return;
        }
        this->waitForRequest();
    }

    void Connection::waitForRequest()
    {
        this->readState = ReadState::Waiting;
        this->armReadTimer(this->drainEnd ? this->shared.settings.drainIdleTimeout : this->shared.settings.idleTimeout);
        this->socket.async_wait(Tcp::socket::wait_read, [self = this->shared_from_this()](Error error) {
            if (self->closed || self->inputEnded || self->readState != ReadState::Waiting) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            self->startHeader();
        });
    }

    void Connection::startHeader()
    {
        this->readState = ReadState::Header;
        this->updatePhase();
        this->parser.emplace();
        this->parser->header_limit(static_cast<std::uint32_t>(this->shared.settings.maxHeaderBytes));
        this->parser->body_limit(this->shared.settings.maxBodyBytes);
        this->armReadTimer(this->shared.settings.headerTimeout);
        http::async_read_header(this->socket, this->buffer, *this->parser, [self = this->shared_from_this()](Error error, std::size_t) {
            self->onHeader(error);
        });
    }

    void Connection::onHeader(Error error)
    {
        if (this->closed || this->inputEnded) {
            return;
        }
        if (error) {
            this->onReadError(error);
            return;
        }
        if (!isFramingAcceptable(this->parser->get())) {
            this->refuse(ResultCode::BadRequest, 400, "the transfer encoding is not supported");
            return;
        }
        this->readState = ReadState::Body;
        this->armReadTimer(this->shared.settings.bodyTimeout);
        if (boost::beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
            this->slots.push_back({.ready = true, .headOnly = false, .closeAfter = false, .interim = true, .response = {}});
            this->writeNext();
        }
        http::async_read(this->socket, this->buffer, *this->parser, [self = this->shared_from_this()](Error bodyError, std::size_t) {
            self->onRequest(bodyError);
        });
    }

    void Connection::onRequest(Error error)
    {
        if (this->closed || this->inputEnded) {
            return;
        }
        if (error) {
            this->onReadError(error);
            return;
        }
        this->readTimer.cancel();
        ++this->readTimerRound;
        this->readState = ReadState::Paused;
        this->takeRequest();
        this->readNext();
    }

    void Connection::takeRequest()
    {
        auto message = this->parser->release();
        this->parser.reset();
        ResponseSlot slot;
        slot.headOnly = message.method() == http::verb::head;
        slot.closeAfter = !message.keep_alive();
        this->inputEnded = slot.closeAfter;
        this->slots.push_back(std::move(slot));
        this->updatePhase();
        ++this->shared.counters.httpRequests;
        this->callHandler(makeHttpRequest(std::move(message), this->remote), this->firstSlot + this->slots.size() - 1);
    }

    void Connection::callHandler(HttpRequest &&request, std::uint64_t number)
    {
        const auto responder = std::make_shared<Responder>(this->shared.owner.lock(), this->shared, this->weak_from_this(), number);
        const HttpRespond respond = [responder](HttpResponse response) {
            responder->give(std::move(response));
        };
        try {
            this->shared.handler(std::move(request), respond);
        } catch (const std::exception &exception) {
            responder->give(errorResponse(ResultCode::Internal, exception.what()));
        }
    }

    void Connection::onReadError(Error error)
    {
        if (error == http::error::end_of_stream) {
            this->inputEnded = true;
            this->peerClosed = true;
            if (this->slots.empty()) {
                this->close();
                return;
            }
            // The caller may have closed only its sending side, so the answers are still written.
            ++this->shared.counters.httpEarlyDisconnects;
            return;
        }
        if (error.category() != http::make_error_code(http::error::bad_method).category()) {
            this->shared.counters.httpEarlyDisconnects += this->slots.empty() ? 0 : 1;
            this->close();
            return;
        }
        const bool tooLarge = error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow;
        this->peerClosed = error == http::error::partial_message;
        if (tooLarge) {
            this->refuse(ResultCode::TooLarge, resultCodeRow(ResultCode::TooLarge).httpStatus, {});
            return;
        }
        this->refuse(ResultCode::BadRequest, 400, error.message());
    }

    /** Answers input that is no request, after the answers before it, and ends the connection with that. */
    void Connection::refuse(ResultCode code, unsigned status, std::string_view message)
    {
        ++this->shared.counters.httpMalformed;
        this->endWithError(code, status, message);
    }

    void Connection::endWithError(ResultCode code, unsigned status, std::string_view message)
    {
        this->inputEnded = true;
        this->readState = ReadState::Paused;
        this->readTimer.cancel();
        ResponseSlot slot;
        slot.ready = true;
        slot.closeAfter = true;
        slot.response = errorResponse(code, message);
        slot.response.status = status;
        this->slots.push_back(std::move(slot));
        this->updatePhase();
        this->writeNext();
    }

    void Connection::armReadTimer(Duration timeout)
    {
        const std::uint64_t round = ++this->readTimerRound;
        this->readTimer.expires_after(chronoOf(timeout));
        this->readTimer.async_wait([self = this->shared_from_this(), round](Error error) {
            if (!error && round == self->readTimerRound && !self->closed && !self->inputEnded) {
                self->onReadTimeout();
            }
        });
    }

    void Connection::onReadTimeout()
    {
        if (this->readState == ReadState::Waiting) {
            if (this->slots.empty()) {
                this->inputEnded = true;
                this->linger();
            }
            return;
        }
        ++this->shared.counters.httpSlowSenders;
        constexpr unsigned RequestTimeoutStatus = 408;
        this->refuse(ResultCode::Timeout, RequestTimeoutStatus, "the request took too long to arrive");
    }

    void Connection::respond(std::uint64_t number, HttpResponse response)
    {
        if (this->closed || number < this->firstSlot || number - this->firstSlot >= this->slots.size()) {
            ++this->shared.counters.httpResponsesDropped;
            return;
        }
        ResponseSlot &slot = this->slots[number - this->firstSlot];
        slot.response = std::move(response);
        slot.ready = true;
        this->writeNext();
    }

    /** Returns whether the connection ends with the response in front. */
    bool Connection::endsWithFrontSlot()
    {
        const ResponseSlot &slot = this->slots.front();
        if (slot.closeAfter) {
            return true;
        }
        if (this->slots.size() > 1 || this->readState == ReadState::Header || this->readState == ReadState::Body || this->buffer.size() > 0) {
            return false;
        }
        if (this->inputEnded) {
            return true;
        }
        if (!this->drainEnd) {
            return false;
        }
        // A request that waits in the socket is in flight for its caller; it is answered, but a busy caller cannot hold up the stop for ever.
        Error ignored;
        return this->socket.available(ignored) == 0 || SteadyClock::now() >= *this->drainEnd;
    }

    void Connection::writeNext()
    {
        if (this->closed || this->writing || this->slots.empty() || !this->slots.front().ready) {
            return;
        }
        if (this->slots.front().interim) {
            this->writeInterim();
            return;
        }
        ResponseSlot &slot = this->slots.front();
        const bool last = this->endsWithFrontSlot();
        this->inputEnded = this->inputEnded || (last && !slot.closeAfter);
        this->writing.emplace(static_cast<http::status>(slot.response.status), 11);
        for (const HttpHeader &header : slot.response.headers) {
            this->writing->insert(header.name, header.value);
        }
        this->writing->keep_alive(!last);
        this->writing->content_length(slot.response.body.size());
        if (!slot.headOnly) {
            this->writing->body() = std::move(slot.response.body);
        }
        this->writeTimer.expires_after(chronoOf(this->shared.settings.writeTimeout));
        this->writeTimer.async_wait([self = this->shared_from_this()](Error error) {
            if (!error) {
                self->close();
            }
        });
        http::async_write(this->socket, *this->writing, [self = this->shared_from_this(), last](Error error, std::size_t) {
            self->onWritten(error, last);
        });
    }

    void Connection::writeInterim()
    {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        this->writing.emplace();
        net::async_write(this->socket, net::buffer(Continue), [self = this->shared_from_this()](Error error, std::size_t) {
            self->onWritten(error, false);
        });
    }

    void Connection::onWritten(Error error, bool last)
    {
        if (this->closed) {
            return;
        }
        this->writeTimer.cancel();
        this->writing.reset();
        if (error) {
            ++this->shared.counters.httpResponsesDropped;
            this->close();
            return;
        }
        this->shared.counters.httpResponses += this->slots.front().interim ? 0 : 1;
        this->slots.pop_front();
        ++this->firstSlot;
        if (last) {
            this->linger();
            return;
        }
        if (this->readState == ReadState::Paused) {
            this->readNext();
        } else if (this->readState == ReadState::Waiting && this->slots.empty()) {
            this->armReadTimer(this->drainEnd ? this->shared.settings.drainIdleTimeout : this->shared.settings.idleTimeout);
        }
        this->updatePhase();
        this->writeNext();
    }

    /** Ends the connection without a reset, which could destroy the last answer on its way: input is dropped until the caller closes. */
    void Connection::linger()
    {
        if (this->peerClosed) {
            this->close();
            return;
        }
        Error error;
        this->socket.shutdown(Tcp::socket::shutdown_send, error);
        if (error) {
            this->close();
            return;
        }
        this->table.setPhase(*this, ConnectionPhase::Closing);
        this->discarded.resize(4096);
        this->writeTimer.expires_after(chronoOf(this->shared.settings.lingerTimeout));
        this->writeTimer.async_wait([self = this->shared_from_this()](Error timerError) {
            if (!timerError) {
                self->close();
            }
        });
        this->discardInput();
    }

    void Connection::discardInput()
    {
        this->socket.async_read_some(net::buffer(this->discarded), [self = this->shared_from_this()](Error error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            if (!self->closed) {
                self->discardInput();
            }
        });
    }

} // namespace

std::shared_ptr<HttpConnection> makeHttpConnection(HttpServerShared &shared,
                                                   ConnectionTable &table,
                                                   net::io_context &context,
                                                   int nativeSocket,
                                                   bool isIpv6,
                                                   std::function<void(const std::shared_ptr<HttpConnection> &)> closed)
{
    Tcp::socket socket(context);
    Error ignored;
    socket.assign(isIpv6 ? Tcp::v6() : Tcp::v4(), nativeSocket, ignored);
    return std::make_shared<Connection>(shared, table, context, std::move(socket), std::move(closed));
}

} // namespace Filbertlanding
