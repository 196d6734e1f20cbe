/** @file http_client.h Asynchronous HTTP/1.1 client with persistent connections to each target. */

#pragma once

#include "core/clock_type.h"
#include "network/http_type.h"
#include "network/network_counters.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio { // NOLINT(readability-identifier-naming): the name is Boost's
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

class DescriptorPool;

/** Settings of the HTTP client. */
struct HttpClientSettings {
    unsigned threads = 1; ///< Event loops; all connections to one target live on the same one.
    boost::asio::io_context *loop = nullptr; ///< Event loop of the owner to run on instead of threads of the client; all calls are then made on it.
    DescriptorPool *descriptors = nullptr; ///< Descriptors that are shared with other users on the loop of the owner; null for none.
    std::size_t maxConnectionsPerTarget = 60; ///< Connections to one target, idle, busy or being opened.
    std::size_t maxWaitingPerTarget = 1024; ///< Requests that wait for a connection to one target.
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; ///< Largest body of a response.
    std::size_t maxHeaderBytes = std::size_t{16} * 1024; ///< Largest headers of a response.
    Duration connectTimeout{1'000}; ///< Time to open a connection.
    Duration silentTimeout{2'000}; ///< Time without a byte of the answer after which the silent hook is told.
    Duration idleTimeout{60'000}; ///< An idle connection is closed after this time.
    Duration tcpUserTimeout{5'000}; ///< Time that sent bytes may stay unacknowledged before the kernel breaks the connection.
    Duration keepAliveIdle{5'000}; ///< Idle time before the kernel sends a keep-alive probe; rounded to seconds.
};

/** Outcome of one request. */
struct HttpExchange {
    /**
     * Ok: a whole response has arrived, with any status. ConnectFailed: no connection. BrokenBeforeSend: broken or cancelled unsent.
     * DeadlineExpired: the time was over unsent. QueueFull: too many requests wait for a connection. OutcomeUnknown: a byte may have been
     * sent and no whole response arrived.
     */
    ResultCode code = ResultCode::Internal;
    bool bytesSent = false; ///< False only if certainly no byte of the request has left the process.
    HttpResponse response; ///< Response; empty unless the code is Ok.
    bool isConnectionRefused = false; ///< ConnectFailed: the host has answered that no process listens; otherwise it has not answered in time.
};

/** Takes the outcome of a request; called exactly once, on a thread of the client; must not block. */
using HttpDone = std::function<void(HttpExchange)>;

/** How one request is sent. */
struct HttpSendOptions {
    Duration timeout{10'000}; ///< Time for everything: waiting, connecting, sending and the answer.
    bool freshConnection = false; ///< Opens a new connection, beyond the bound if need be, and closes it afterwards; for probes.
};

/** Client with a bounded pool of connections for each target; one request at a time on a connection. */
class HttpClient
{
public:
    HttpClient(HttpClientSettings settings, NetworkCounters &counters);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    /** Calls stop(). */
    ~HttpClient();

    /**
     * Sets the hook that is told about a target when a request on a connection to it had no byte of an answer for silentTimeout.
     * The request goes on until its own time is over; idle connections to the target are closed, so that the next request
     * opens a new one. To be set before the first send; called on a thread of the client.
     */
    void setSilentHook(std::function<void(const HttpAddress &)> hook);

    /**
     * Sends a request. May be called from any thread.
     * @return Number of the request, for cancel().
     */
    std::uint64_t send(const HttpAddress &target, HttpRequest request, HttpSendOptions options, HttpDone done);

    /** Ends a request early; its connection is closed if it was in use. The outcome is BrokenBeforeSend or OutcomeUnknown. */
    void cancel(std::uint64_t number);

    /** Ends all requests and joins the threads; must not be called on a thread of the client. */
    void stop();

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace Filbertlanding
