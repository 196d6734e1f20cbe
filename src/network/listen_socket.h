/** @file listen_socket.h Listening TCP sockets. Includes Asio, so include it only in source files. */

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock_type.h"
#include "core/handler_memory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace Filbertlanding {

constexpr std::size_t MaxAcceptsPerTurn = 256; ///< Leaves time for the other handlers of the loop.
constexpr Duration MaxAcceptFailureTime{1'000}; ///< After this time of failed accepts a listener does not count as accepting.

/** Hooks of a listener; called on its event loop. */
struct ListenerHooks {
    std::function<void(boost::asio::ip::tcp::socket)> accepted; ///< Takes an accepted connection.
    std::function<void()> acceptFailed = [] {}; ///< An accept failed, for example for want of file descriptors; it is tried again after a while.
    std::function<bool()> makeRoom = [] { ///< Closes a connection, since no descriptor is left. Returns whether it did; then the accept is tried again at once.
        return false;
    };
    std::function<void()> closed = [] {}; ///< The listener is closed and none of its handlers is left. Not called unless start() was.
};

/**
 * Accepts TCP connections on an event loop. Each turn of the loop accepts all connections that wait, up to a bound. With one a turn, a busy loop falls
 * behind callers that give up and connect again, and in the end accepts only connections whose callers have gone.
 */
class Listener
{
public:
    /** @param maxPerTurn Connections that are accepted in one turn of the loop. */
    Listener(boost::asio::io_context &loop, ListenerHooks listenerHooks, std::size_t maxPerTurn = MaxAcceptsPerTurn);

    /**
     * Opens, binds and listens.
     * @param address IP number.
     * @param port [in,out] TCP port; 0 takes a free one, which is returned here.
     * @return No error, BadAddress, or the error of the system.
     */
    std::error_code open(const std::string &address, std::uint16_t &port);

    /** Begins to accept; from then on all calls are made on the event loop. */
    void start();

    /** Accepts all connections that the kernel has completed. */
    void acceptWaiting();

    /** Closes the socket, which resets connections that were not accepted. */
    void close();

    /** Returns whether the socket is open. */
    bool isOpen() const;

    /** Returns whether accepts succeed; false once they have failed for MaxAcceptFailureTime without a success in between. */
    bool isAccepting() const;

private:
    void waitForConnections();
    void onReady();
    bool acceptTurn();
    bool acceptUpTo(std::size_t limit);
    bool hasWaiting();
    void retryLater();

    ListenerHooks hooks;
    std::size_t acceptsPerTurn;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer retryTimer;
    std::shared_ptr<HandlerMemory> waitMemory = std::make_shared<HandlerMemory>();
    std::shared_ptr<HandlerMemory> retryMemory = std::make_shared<HandlerMemory>();
    std::optional<TimePoint> failingSince; ///< Time of the first of the accepts that have failed in a row.
};

} // namespace Filbertlanding
