/** @file http_connection.h One connection of the HTTP server; used by the server only. */

#pragma once

#include "network/connection_table.h"
#include "network/http_server.h"

#include <atomic>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

/** What the connections need of their server. */
struct HttpServerShared {
    HttpServerSettings settings; ///< Bounds and times.
    HttpHandler handler; ///< Handles the requests.
    NetworkCounters &counters; ///< Counters of the process.
    std::weak_ptr<void> owner; ///< Keeps the event loops alive while a response is outstanding.
    std::atomic<bool> draining{false}; ///< Set by stopAccepting().
};

/** One connection; all calls are made on the thread of its event loop. */
class HttpConnection : public TrackedConnection
{
public:
    /** Begins to read. */
    virtual void start() = 0;

    /** Ends the connection once everything that has begun to arrive is answered. */
    virtual void drain() = 0;

    /** Ends a connection without a whole request in an orderly way, since it has to give room to another one. */
    virtual void displace() = 0;

    /** Closes at once. */
    virtual void close() = 0;
};

/**
 * Makes the connection of an accepted socket.
 * @param table Connections of this loop, to which the connection tells its phases; adding and removing it is up to the caller.
 * @param context Event loop that the connection lives on.
 * @param nativeSocket File descriptor, which the connection then owns.
 * @param isIpv6 Whether the socket is of the IPv6 family.
 * @param closed Told once when the connection has closed.
 */
std::shared_ptr<HttpConnection> makeHttpConnection(HttpServerShared &shared,
                                                   ConnectionTable &table,
                                                   boost::asio::io_context &context,
                                                   int nativeSocket,
                                                   bool isIpv6,
                                                   std::function<void(const std::shared_ptr<HttpConnection> &)> closed);

} // namespace Filbertlanding
