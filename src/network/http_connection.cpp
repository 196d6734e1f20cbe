/** @file http_connection.cpp One HTTP/1.1 connection: its start and its ways to end. */

#include "network/http_connection.h"

#include "network/chrono_func.h"
#include "network/http_connection_internal.h"
#include "network/socket_options.h"

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;
    using SteadyClock = std::chrono::steady_clock;

} // namespace

ServedConnection::ServedConnection(HttpServerShared &serverShared,
                                   ConnectionTable &connectionTable,
                                   net::io_context &loop,
                                   Tcp::socket acceptedSocket,
                                   std::function<void(const std::shared_ptr<HttpConnection> &)> closedHook)
    : shared(serverShared)
    , table(connectionTable)
    , io(loop)
    , socket(std::move(acceptedSocket))
    , descriptor(serverShared.settings.descriptors)
    , onClosed(std::move(closedHook))
{
}

void ServedConnection::start()
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
    this->reader.readNext();
}

void ServedConnection::drain()
{
    if (this->closed || this->drainEnd) {
        return;
    }
    this->drainEnd = SteadyClock::now() + chronoOf(this->shared.settings.drainIdleTimeout);
    if (this->reader.state() == HttpReadState::Waiting && this->writer.outstanding() == 0) {
        this->reader.armIdleTimer();
    }
}

void ServedConnection::displace()
{
    if (this->closed) {
        return;
    }
    if (this->reader.state() == HttpReadState::Waiting) {
        this->inputEnded = true;
        this->writer.linger();
        return;
    }
    this->endWithError(ResultCode::QueueFull, resultCodeRow(ResultCode::QueueFull).httpStatus, "too many connections are open; the request was not run");
    this->table.setPhase(*this, ConnectionPhase::Closing);
}

void ServedConnection::close()
{
    if (this->closed) {
        return;
    }
    const auto self = this->shared_from_this();
    this->closed = true;
    Error ignored;
    this->socket.close(ignored);
    this->descriptor.end();
    this->reader.stop();
    this->writer.stop();
    this->onClosed(self);
}

bool ServedConnection::hasUnreadInput() const
{
    Error ignored;
    return this->socket.available(ignored) > 0;
}

void ServedConnection::endWithError(ResultCode code, unsigned status, std::string_view message)
{
    this->inputEnded = true;
    this->reader.pause();
    HttpResponse response = errorResponse(code, message);
    response.status = status;
    this->writer.addLast(std::move(response));
    this->updatePhase();
    this->writer.writeNext();
}

void ServedConnection::updatePhase()
{
    ConnectionPhase phase = ConnectionPhase::Busy;
    if (this->writer.outstanding() == 0) {
        phase = this->reader.state() == HttpReadState::Waiting ? ConnectionPhase::Idle : ConnectionPhase::Receiving;
    }
    if (phase != ConnectionTable::phaseOf(*this)) {
        this->table.setPhase(*this, phase);
    }
}

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
    return std::make_shared<ServedConnection>(shared, table, context, std::move(socket), std::move(closed));
}

} // namespace Filbertlanding
