/** @file daemon_listeners.h The HTTP listeners of a daemon, which are opened as soon as their endpoints are free. */

#pragma once

#include "fleetd/shortage_log.h"
#include "network/descriptor_pool.h"
#include "network/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace Filbertlanding {

/** Part of the descriptors that the connections of a listener may take. */
enum class ListenerShare {
    Main, ///< For callers, or for workers and operators.
    Auxiliary, ///< For readiness checks or metrics.
};

/** One listener. */
struct DaemonListener {
    std::string endpoint; ///< IP address and port; empty for none.
    HttpHandler handler; ///< Handles the requests.
    std::size_t maxBodyBytes = 0; ///< Maximum body size of a request.
    ListenerShare share = ListenerShare::Main; ///< Bounds the connections.
    bool isRequired = true; ///< Whether the daemon is only ready with it.
};

/** Returns whether an endpoint that cannot be opened now may come free later, such as a port that a predecessor still has. */
bool mayComeFree(const std::error_code &error);

/** Logs the attempts to open an endpoint: the first failure, further ones once in a while, and the success after them. */
class ListenAttempts
{
public:
    /** Takes the outcome of an attempt. */
    void record(const std::string &endpoint, const std::error_code &error, bool isRetried);

private:
    int failures = 0;
};

/** Opens listeners, and keeps those open that are. */
class DaemonListeners
{
public:
    DaemonListeners(boost::asio::io_context &loop, NetworkCounters &networkCounters, DescriptorPool &descriptorPool);

    /** Adds a listener, which open() opens. Does nothing if it has no endpoint. */
    void add(DaemonListener listener);

    /** Tries to open each listener that is not open yet. Returns the first error of a required one that does not come free, or no error. */
    std::error_code open();

    /** Takes over the shares of the descriptors, which have changed. */
    void applyShares();

    /** Returns whether all listeners that were added are open. */
    bool areAllOpen() const;

    /** Returns whether all required listeners that were added are open. */
    bool areRequiredOpen() const;

    /** Returns whether the open required listeners accept connections; false once accepts of one have failed for MaxAcceptFailureTime without a success. */
    bool isAccepting() const;

    /**
     * Closes the open listeners; connections end after their requests.
     * @param drained Called once all connections have ended.
     */
    void stopAccepting(std::function<void()> drained);

private:
    struct Entry {
        DaemonListener listener;
        ListenAttempts attempts;
        std::unique_ptr<ShortageLog> shortageLog; ///< Null until it is open.
        std::unique_ptr<HttpServer> server; ///< Null until it is open.
    };

    std::error_code open(Entry &entry);
    HttpServerSettings serverSettings(const DaemonListener &listener) const;
    std::size_t maxConnections(const DaemonListener &listener) const;

    boost::asio::io_context &io;
    NetworkCounters &network;
    DescriptorPool &descriptors;
    std::vector<Entry> entries;
};

} // namespace Filbertlanding
