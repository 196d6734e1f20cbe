/** @file http_connection_read.cpp Reads the pipelined requests of an HTTP/1.1 connection on Beast. */

#include "network/chrono_func.h"
#include "network/http_connection_internal.h"
#include "network/http_message.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    namespace http = boost::beast::http;
    using Error = boost::system::error_code;

    constexpr std::size_t ReadAheadBytes = std::size_t{64} * 1024;

} // namespace

/** What has arrived of the requests. */
struct HttpRequestReader::Input {
    explicit Input(std::size_t maxBytes)
        : buffer(maxBytes)
    {
    }

    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
};

HttpRequestReader::HttpRequestReader(ServedConnection &itsConnection)
    : connection(itsConnection)
    , timer(itsConnection.io)
    , input(std::make_unique<Input>(itsConnection.shared.settings.maxHeaderBytes + ReadAheadBytes))
{
}

HttpRequestReader::~HttpRequestReader() = default;

HttpReadState HttpRequestReader::state() const
{
    return this->readState;
}

bool HttpRequestReader::hasBufferedInput() const
{
    return this->input->buffer.size() > 0;
}

void HttpRequestReader::pause()
{
    this->readState = HttpReadState::Paused;
    this->timer.cancel();
}

void HttpRequestReader::stop()
{
    this->timer.cancel();
}

void HttpRequestReader::readNext()
{
    const std::size_t outstanding = this->connection.writer.outstanding();
    if (this->connection.closed || this->connection.inputEnded || outstanding >= this->connection.shared.settings.maxPipelined) {
        this->readState = HttpReadState::Paused;
        return;
    }
    if (this->hasBufferedInput()) {
        this->startHeader();
        return;
    }
    if (this->connection.drainEnd && outstanding > 0) {
        this->readState = HttpReadState::Paused;
        return;
    }
    this->waitForRequest();
}

void HttpRequestReader::waitForRequest()
{
    this->readState = HttpReadState::Waiting;
    this->armIdleTimer();
    this->connection.socket.async_wait(net::ip::tcp::socket::wait_read, [this, self = this->connection.shared_from_this()](Error error) {
        if (self->closed || self->inputEnded || this->readState != HttpReadState::Waiting) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        this->startHeader();
    });
}

void HttpRequestReader::startHeader()
{
    const HttpServerSettings &settings = this->connection.shared.settings;
    this->readState = HttpReadState::Header;
    this->connection.updatePhase();
    auto &parser = this->input->parser.emplace();
    parser.header_limit(static_cast<std::uint32_t>(settings.maxHeaderBytes));
    parser.body_limit(settings.maxBodyBytes);
    this->armTimer(settings.headerTimeout);
    http::async_read_header(this->connection.socket, this->input->buffer, parser, [this, self = this->connection.shared_from_this()](Error error, std::size_t) {
        this->onHeader(error);
    });
}

void HttpRequestReader::onHeader(Error error)
{
    if (this->connection.closed || this->connection.inputEnded) {
        return;
    }
    if (error) {
        this->onReadError(error);
        return;
    }
    auto &parser = *this->input->parser;
    if (!isFramingAcceptable(parser.get())) {
        this->refuse(ResultCode::BadRequest, 400, "the transfer encoding is not supported");
        return;
    }
    this->readState = HttpReadState::Body;
    this->armTimer(this->connection.shared.settings.bodyTimeout);
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        this->connection.writer.addContinue();
        this->connection.writer.writeNext();
    }
    http::async_read(this->connection.socket, this->input->buffer, parser, [this, self = this->connection.shared_from_this()](Error bodyError, std::size_t) {
        this->onRequest(bodyError);
    });
}

void HttpRequestReader::onRequest(Error error)
{
    if (this->connection.closed || this->connection.inputEnded) {
        return;
    }
    if (error) {
        this->onReadError(error);
        return;
    }
    this->timer.cancel();
    ++this->timerRound;
    this->readState = HttpReadState::Paused;
    this->takeRequest();
    this->readNext();
}

void HttpRequestReader::takeRequest()
{
    auto message = this->input->parser->release();
    this->input->parser.reset();
    const bool closeAfter = !message.keep_alive();
    this->connection.inputEnded = closeAfter;
    const std::uint64_t number = this->connection.writer.addRequest(message.method() == http::verb::head, closeAfter);
    this->connection.updatePhase();
    ++this->connection.shared.counters.httpRequests;
    this->callHandler(makeHttpRequest(std::move(message), this->connection.remote), number);
}

void HttpRequestReader::callHandler(HttpRequest &&request, std::uint64_t number)
{
    const HttpRespond respond = makeResponder(this->connection.shared, this->connection.weak_from_this(), number);
    try {
        this->connection.shared.handler(std::move(request), respond);
    } catch (const std::exception &exception) {
        respond(errorResponse(ResultCode::Internal, exception.what()));
    }
}

void HttpRequestReader::onReadError(Error error)
{
    if (error == http::error::end_of_stream) {
        this->onEndOfStream();
        return;
    }
    if (error.category() != http::make_error_code(http::error::bad_method).category()) {
        this->connection.shared.counters.httpEarlyDisconnects += this->connection.writer.outstanding() == 0 ? 0 : 1;
        this->connection.close();
        return;
    }
    const bool tooLarge = error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow;
    this->connection.peerClosed = error == http::error::partial_message;
    if (tooLarge) {
        this->refuse(ResultCode::TooLarge, resultCodeRow(ResultCode::TooLarge).httpStatus, {});
        return;
    }
    this->refuse(ResultCode::BadRequest, 400, error.message());
}

void HttpRequestReader::onEndOfStream()
{
    this->connection.inputEnded = true;
    this->connection.peerClosed = true;
    if (this->connection.writer.outstanding() == 0) {
        this->connection.close();
        return;
    }
    // The caller may have closed only its sending side, so the answers are still written.
    ++this->connection.shared.counters.httpEarlyDisconnects;
}

/** Answers input that is no request, and ends the connection with that. */
void HttpRequestReader::refuse(ResultCode code, unsigned status, std::string_view message)
{
    ++this->connection.shared.counters.httpMalformed;
    this->connection.endWithError(code, status, message);
}

void HttpRequestReader::armIdleTimer()
{
    const HttpServerSettings &settings = this->connection.shared.settings;
    this->armTimer(this->connection.drainEnd ? settings.drainIdleTimeout : settings.idleTimeout);
}

void HttpRequestReader::armTimer(Duration timeout)
{
    const std::uint64_t round = ++this->timerRound;
    this->timer.expires_after(chronoOf(timeout));
    this->timer.async_wait([this, self = this->connection.shared_from_this(), round](Error error) {
        if (!error && round == this->timerRound && !self->closed && !self->inputEnded) {
            this->onTimeout();
        }
    });
}

void HttpRequestReader::onTimeout()
{
    if (this->readState == HttpReadState::Waiting) {
        if (this->connection.writer.outstanding() == 0) {
            this->connection.inputEnded = true;
            this->connection.writer.linger();
        }
        return;
    }
    ++this->connection.shared.counters.httpSlowSenders;
    constexpr unsigned RequestTimeoutStatus = 408;
    this->refuse(ResultCode::Timeout, RequestTimeoutStatus, "the request took too long to arrive");
}

} // namespace Filbertlanding
