/** @file http_connection_write.cpp Writes the responses of an HTTP/1.1 connection in order on Beast, and ends its sending side. */

#include "network/chrono_func.h"
#include "network/http_connection_internal.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    namespace http = boost::beast::http;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;

} // namespace

/** What is being written. */
struct HttpResponseWriter::Output {
    std::optional<http::response<http::string_body>> response;
};

HttpResponseWriter::HttpResponseWriter(ServedConnection &itsConnection)
    : connection(itsConnection)
    , timer(itsConnection.io)
    , output(std::make_unique<Output>())
{
}

HttpResponseWriter::~HttpResponseWriter() = default;

std::size_t HttpResponseWriter::outstanding() const
{
    return this->slots.size();
}

std::uint64_t HttpResponseWriter::addRequest(bool headOnly, bool closeAfter)
{
    this->slots.push_back({.ready = false, .headOnly = headOnly, .closeAfter = closeAfter, .interim = false, .response = {}});
    return this->firstSlot + this->slots.size() - 1;
}

void HttpResponseWriter::addContinue()
{
    this->slots.push_back({.ready = true, .headOnly = false, .closeAfter = false, .interim = true, .response = {}});
}

void HttpResponseWriter::addLast(HttpResponse response)
{
    this->slots.push_back({.ready = true, .headOnly = false, .closeAfter = true, .interim = false, .response = std::move(response)});
}

void HttpResponseWriter::respond(std::uint64_t number, HttpResponse response)
{
    if (this->connection.closed || number < this->firstSlot || number - this->firstSlot >= this->slots.size()) {
        ++this->connection.shared.counters.httpResponsesDropped;
        return;
    }
    Slot &slot = this->slots[number - this->firstSlot];
    slot.response = std::move(response);
    slot.ready = true;
    this->writeNext();
}

/** Returns whether the connection ends with the response in front. */
bool HttpResponseWriter::endsWithFrontSlot() const
{
    if (this->slots.front().closeAfter) {
        return true;
    }
    const HttpReadState readState = this->connection.reader.state();
    const bool hasBegunRequest = readState == HttpReadState::Header || readState == HttpReadState::Body || this->connection.reader.hasBufferedInput();
    if (this->slots.size() > 1 || hasBegunRequest) {
        return false;
    }
    if (this->connection.inputEnded) {
        return true;
    }
    if (!this->connection.drainEnd) {
        return false;
    }
    // A request that waits in the socket is in flight for its caller; it is answered, but a busy caller cannot hold up the stop for ever.
    return !this->connection.hasUnreadInput() || std::chrono::steady_clock::now() >= *this->connection.drainEnd;
}

void HttpResponseWriter::writeNext()
{
    if (this->connection.closed || this->output->response || this->slots.empty() || !this->slots.front().ready) {
        return;
    }
    Slot &slot = this->slots.front();
    if (slot.interim) {
        this->writeContinue();
        return;
    }
    const bool last = this->endsWithFrontSlot();
    this->connection.inputEnded = this->connection.inputEnded || (last && !slot.closeAfter);
    this->fillOutput(slot, last);
    this->armTimer(this->connection.shared.settings.writeTimeout);
    http::async_write(this->connection.socket, *this->output->response, [this, self = this->connection.shared_from_this(), last](Error error, std::size_t) {
        this->onWritten(error, last);
    });
}

void HttpResponseWriter::fillOutput(Slot &slot, bool last)
{
    auto &response = this->output->response.emplace(static_cast<http::status>(slot.response.status), 11);
    for (const HttpHeader &header : slot.response.headers) {
        response.insert(header.name, header.value);
    }
    response.keep_alive(!last);
    response.content_length(slot.response.body.size());
    if (!slot.headOnly) {
        response.body() = std::move(slot.response.body);
    }
}

/** Closes the connection after a time. */
void HttpResponseWriter::armTimer(Duration timeout)
{
    this->timer.expires_after(chronoOf(timeout));
    this->timer.async_wait([self = this->connection.shared_from_this()](Error error) {
        if (!error) {
            self->close();
        }
    });
}

void HttpResponseWriter::writeContinue()
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    this->output->response.emplace();
    net::async_write(this->connection.socket, net::buffer(Continue), [this, self = this->connection.shared_from_this()](Error error, std::size_t) {
        this->onWritten(error, false);
    });
}

void HttpResponseWriter::onWritten(Error error, bool last)
{
    if (this->connection.closed) {
        return;
    }
    this->timer.cancel();
    this->output->response.reset();
    if (error) {
        ++this->connection.shared.counters.httpResponsesDropped;
        this->connection.close();
        return;
    }
    this->connection.shared.counters.httpResponses += this->slots.front().interim ? 0 : 1;
    this->slots.pop_front();
    ++this->firstSlot;
    if (last) {
        this->linger();
        return;
    }
    HttpRequestReader &reader = this->connection.reader;
    if (reader.state() == HttpReadState::Paused) {
        reader.readNext();
    } else if (reader.state() == HttpReadState::Waiting && this->slots.empty()) {
        reader.armIdleTimer();
    }
    this->connection.updatePhase();
    this->writeNext();
}

void HttpResponseWriter::linger()
{
    if (this->connection.peerClosed) {
        this->connection.close();
        return;
    }
    Error error;
    this->connection.socket.shutdown(Tcp::socket::shutdown_send, error);
    if (error) {
        this->connection.close();
        return;
    }
    this->connection.table.setPhase(this->connection, ConnectionPhase::Closing);
    this->discarded.resize(4096);
    this->armTimer(this->connection.shared.settings.lingerTimeout);
    this->discardInput();
}

void HttpResponseWriter::discardInput()
{
    this->connection.socket.async_read_some(net::buffer(this->discarded), [this, self = this->connection.shared_from_this()](Error error, std::size_t) {
        if (error) {
            self->close();
            return;
        }
        if (!self->closed) {
            this->discardInput();
        }
    });
}

void HttpResponseWriter::stop()
{
    this->timer.cancel();
}

} // namespace Filbertlanding
