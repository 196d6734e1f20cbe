/** @file http_server.h HTTP/1.1 server for callers, workers and operators. */

#pragma once

#include "core/clock_type.h"
#include "network/connection_shortage.h"
#include "network/http_type.h"
#include "network/network_counters.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace boost::asio { // NOLINT(readability-identifier-naming): the name is Boost's
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

class DescriptorPool;

/** Settings of the HTTP server. */
struct HttpServerSettings {
    std::string address = "127.0.0.1"; ///< IP number to listen on.
    std::uint16_t port = 0; ///< TCP port; 0 takes a free one.
    unsigned threads = 2; ///< Request threads, each with its own event loop.
    boost::asio::io_context *loop = nullptr; ///< Event loop of the owner to run on instead of threads of the server; all calls are then made on it.
    std::size_t maxConnections = 4096; ///< Open connections; for a further one, one without a whole request is closed, or the new one if there is none.
    DescriptorPool *descriptors = nullptr; ///< Descriptors that are shared with other users on the loop of the owner; null for none.
    std::function<void(ShortageEvent)> onShortage = [](ShortageEvent) {}; ///< Told that connections or descriptors are short, on any request thread.
    std::size_t maxHeaderBytes = std::size_t{16} * 1024; ///< Largest request line and headers together.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; ///< Largest body.
    std::size_t maxPipelined = 32; ///< Requests of one connection that are handled at the same time; further ones wait in the socket.
    Duration headerTimeout{10'000}; ///< Time from the first byte of a request to the end of its headers.
    Duration bodyTimeout{30'000}; ///< Time from the end of the headers to the end of the body.
    Duration writeTimeout{30'000}; ///< Time to write one response.
    Duration idleTimeout{120'000}; ///< Time that a connection may stay open without a request.
    Duration drainIdleTimeout{1'000}; ///< After stopAccepting(): time that an idle connection is kept for a request that is under way.
    Duration lingerTimeout{2'000}; ///< Time that input is read and dropped after the last response, so that a reset does not destroy it.
};

/** Gives the response of one request. May be called from any thread; the first call counts. If all copies go away uncalled, the answer is Internal. */
using HttpRespond = std::function<void(HttpResponse)>;

/** Handles a request; called on the request thread of its connection and must not block. */
using HttpHandler = std::function<void(HttpRequest &&, HttpRespond respond)>;

/**
 * HTTP/1.1 server over several threads. One acceptor hands sockets to the threads in turn, so that a few
 * long-lived connections of a load balancer spread evenly; a connection stays on its thread.
 * Responses leave in the order of the requests of their connection.
 */
class HttpServer
{
public:
    HttpServer(HttpServerSettings settings, HttpHandler handler, NetworkCounters &counters);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /** Calls stop(). */
    ~HttpServer();

    /** Binds, listens and starts the threads. Returns BadAddress or the error of the system. */
    std::error_code start();

    /** Returns the TCP port that the server listens on. */
    std::uint16_t port() const;

    /** Returns the connections in brief; only on the loop of the owner. */
    ConnectionSummary connectionSummary() const;

    /** Changes HttpServerSettings::maxConnections; only for a server on the caller's event loop. */
    void setMaxConnections(std::size_t limit);

    /** Returns whether new connections can be accepted; only on the loop of the owner. */
    bool isAccepting() const;

    /**
     * Graceful stop: accepts what is already connected, closes the listener, answers every request that has begun to arrive with
     * `Connection: close` on the last one, and closes the connections.
     * @param stopped Called once on a request thread when the last connection has closed; must not destroy the server.
     */
    void stopAccepting(std::function<void()> stopped);

    /** Closes everything at once and joins the threads; must not be called on a request thread. */
    void stop();

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace Filbertlanding
