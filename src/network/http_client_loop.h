/** @file http_client_loop.h One event loop of the HTTP client; used by the client only. */

#pragma once

#include "network/http_client.h"

#include <chrono>
#include <functional>
#include <memory>

namespace boost::asio { // NOLINT(readability-identifier-naming): the name is Boost's
class io_context;
} // namespace boost::asio

namespace Filbertlanding {

/** One request from HttpClient::send() until its outcome. */
struct HttpCall {
    std::uint64_t number = 0;
    HttpAddress target;
    HttpRequest request;
    HttpSendOptions options;
    HttpDone done;
    std::chrono::steady_clock::time_point deadline; ///< Counts from the moment of send(), not from when the loop takes the call.
};

/** An event loop with the pools and calls that live on it. All calls but context() are made on the thread that runs it. */
class HttpClientLoop
{
public:
    HttpClientLoop() = default;
    HttpClientLoop(const HttpClientLoop &) = delete;
    HttpClientLoop &operator=(const HttpClientLoop &) = delete;
    virtual ~HttpClientLoop() = default;

    /** Begins a call. */
    virtual void begin(HttpCall &&call) = 0;

    /** Ends a call early, unless it has ended. */
    virtual void cancel(std::uint64_t number) = 0;

    /** Ends all calls, closes all connections and lets the loop run out of work. */
    virtual void shutDown() = 0;

    /** Returns the loop itself: the one of the settings, or its own. */
    virtual boost::asio::io_context &context() = 0;
};

/** Makes a loop; the arguments must outlive it. */
std::unique_ptr<HttpClientLoop>
makeHttpClientLoop(const HttpClientSettings &settings, NetworkCounters &counters, const std::function<void(const HttpAddress &)> &silentHook);

} // namespace Filbertlanding
