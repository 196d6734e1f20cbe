/** @file listen_socket.cpp Listening TCP sockets. */

#include "network/listen_socket.h"

#include "core/clock_func.h"
#include "core/result_code.h"

#include <poll.h>

#include <limits>

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;

    constexpr std::chrono::milliseconds AcceptRetryDelay{100}; ///< Wait after a failed accept.

    /** Binds and listens; stops at the first error. */
    void bindAndListen(Tcp::acceptor &acceptor, const Tcp::endpoint &endpoint, Error &error)
    {
        acceptor.open(endpoint.protocol(), error);
        if (error) {
            return;
        }
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        if (error) {
            return;
        }
        acceptor.bind(endpoint, error);
        if (error) {
            return;
        }
        acceptor.listen(net::socket_base::max_listen_connections, error);
        if (error) {
            return;
        }
        acceptor.non_blocking(true, error);
    }

    /** Returns whether an error concerns only the connection that would have been accepted next. */
    bool isOfConnection(const Error &error)
    {
        return error == net::error::connection_aborted || error == net::error::connection_reset;
    }

    bool isDescriptorShortage(const Error &error)
    {
        return error == net::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system;
    }

} // namespace

Listener::Listener(net::io_context &loop, ListenerHooks listenerHooks, std::size_t maxPerTurn)
    : hooks(std::move(listenerHooks))
    , acceptsPerTurn(maxPerTurn)
    , acceptor(loop)
    , retryTimer(loop)
{
}

std::error_code Listener::open(const std::string &address, std::uint16_t &port)
{
    Error error;
    const auto parsed = net::ip::make_address(address, error);
    if (error) {
        return ResultCode::BadAddress;
    }
    bindAndListen(this->acceptor, Tcp::endpoint(parsed, port), error);
    if (!error) {
        port = this->acceptor.local_endpoint(error).port();
    }
    return error ? std::error_code(error.value(), std::system_category()) : std::error_code();
}

void Listener::start()
{
    this->waitForConnections();
}

void Listener::waitForConnections()
{
    this->acceptor.async_wait(Tcp::acceptor::wait_read, KeptHandler(this->waitMemory, [this](Error) {
                                  this->onReady();
                              }));
}

void Listener::onReady()
{
    const bool hasFailed = this->isOpen() && !this->acceptTurn();
    if (!this->isOpen()) {
        this->hooks.closed();
        return;
    }
    if (hasFailed) {
        this->retryLater();
        this->hooks.acceptFailed();
        return;
    }
    this->waitForConnections();
}

/** Accepts connections of one turn. Returns false if an accept failed, or its connection could not be taken for want of memory. */
bool Listener::acceptTurn()
{
    try {
        return this->acceptUpTo(this->acceptsPerTurn);
    } catch (const std::exception &) {
        this->failingSince = this->failingSince.value_or(steadyNow());
        return false;
    }
}

/** Accepts connections until none waits or the limit is reached. Returns false if an accept failed. */
bool Listener::acceptUpTo(std::size_t limit)
{
    for (std::size_t count = 0; count < limit && this->isOpen(); ++count) {
        Error error;
        Tcp::socket socket(this->acceptor.get_executor());
        this->acceptor.accept(socket, error);
        if (error == net::error::would_block || error == net::error::try_again) {
            this->failingSince.reset();
            return true;
        }
        if (!error) {
            this->failingSince.reset();
            this->hooks.accepted(std::move(socket));
            continue;
        }
        // The kernel looks for a descriptor first, so the error does not say that a connection waits.
        if (isDescriptorShortage(error) && !this->hasWaiting()) {
            this->failingSince.reset();
            return true;
        }
        const bool canRetry = isOfConnection(error) || (isDescriptorShortage(error) && this->hooks.makeRoom());
        if (!canRetry) {
            this->failingSince = this->failingSince.value_or(steadyNow());
            return false;
        }
    }
    return true;
}

/** Returns whether a connection waits to be accepted. */
bool Listener::hasWaiting()
{
    pollfd waiting{.fd = this->acceptor.native_handle(), .events = POLLIN, .revents = 0};
    return ::poll(&waiting, 1, 0) > 0;
}

void Listener::retryLater()
{
    try {
        this->retryTimer.expires_after(AcceptRetryDelay);
        this->retryTimer.async_wait(KeptHandler(this->retryMemory, [this](Error) {
            this->onReady();
        }));
    } catch (const std::exception &) {
        // The loop's list of timers cannot grow. Waiting for the next connection needs no memory.
        this->waitForConnections();
    }
}

void Listener::acceptWaiting()
{
    this->acceptUpTo(std::numeric_limits<std::size_t>::max());
}

void Listener::close()
{
    Error ignored;
    this->acceptor.close(ignored);
    this->retryTimer.cancel();
}

bool Listener::isAccepting() const
{
    return !this->failingSince || steadyNow() - *this->failingSince < MaxAcceptFailureTime;
}

bool Listener::isOpen() const
{
    return this->acceptor.is_open();
}

} // namespace Filbertlanding
