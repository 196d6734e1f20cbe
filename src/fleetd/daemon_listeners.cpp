/** @file daemon_listeners.cpp The HTTP listeners of a daemon. */

#include "fleetd/daemon_listeners.h"

#include "runtime/log_func.h"
#include "settings/fleet_settings.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr int AttemptsPerLine = 50; ///< Failures of an endpoint are logged once in this many attempts, which is every 10 s.

    HttpServerSettings serverSettings(const DaemonListener &listener, boost::asio::io_context &loop)
    {
        HttpServerSettings server;
        const auto parts = splitAddress(listener.endpoint);
        server.loop = &loop;
        server.address = parts->first;
        server.port = parts->second;
        server.maxBodyBytes = listener.maxBodyBytes;
        server.maxConnections = 3'500;
        server.idleTimeout = {15'000};
        return server;
    }

} // namespace

bool mayComeFree(const std::error_code &error)
{
    return error == std::errc::address_in_use || error == std::errc::address_not_available || error == std::errc::too_many_files_open
        || error == std::errc::too_many_files_open_in_system;
}

void ListenAttempts::record(const std::string &endpoint, const std::error_code &error, bool isRetried)
{
    if (!error) {
        if (this->failures > 0) {
            logLine(LogArea::Daemon, LogLevel::Info, "listen_opened", {{"endpoint", endpoint}, {"failures", this->failures}});
        }
        return;
    }
    if (this->failures % AttemptsPerLine == 0) {
        logLine(LogArea::Daemon,
                LogLevel::Error,
                "listen_failed",
                {{"endpoint", endpoint}, {"error", error.message()}, {"failures", this->failures + 1}, {"retried", isRetried}});
    }
    ++this->failures;
}

DaemonListeners::DaemonListeners(boost::asio::io_context &loop, NetworkCounters &networkCounters)
    : io(loop)
    , network(networkCounters)
{
}

void DaemonListeners::add(DaemonListener listener)
{
    if (splitAddress(listener.endpoint)) {
        this->entries.push_back({std::move(listener), {}, nullptr});
    }
}

std::error_code DaemonListeners::open()
{
    std::error_code first;
    for (Entry &entry : this->entries) {
        const std::error_code error = this->open(entry);
        if (error && !first && entry.listener.isRequired && !mayComeFree(error)) {
            first = error;
        }
    }
    return first;
}

std::error_code DaemonListeners::open(Entry &entry)
{
    if (entry.server != nullptr) {
        return {};
    }
    auto server = std::make_unique<HttpServer>(serverSettings(entry.listener, this->io), entry.listener.handler, this->network);
    const std::error_code error = server->start();
    entry.attempts.record(entry.listener.endpoint, error, !entry.listener.isRequired || mayComeFree(error));
    if (!error) {
        entry.server = std::move(server);
    }
    return error;
}

bool DaemonListeners::areAllOpen() const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [](const Entry &entry) {
        return entry.server != nullptr;
    });
}

bool DaemonListeners::areRequiredOpen() const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [](const Entry &entry) {
        return entry.server != nullptr || !entry.listener.isRequired;
    });
}

void DaemonListeners::stopAccepting(std::function<void()> drained)
{
    const auto remaining = std::make_shared<std::size_t>(1); // The servers, and this function while it runs.
    const auto onStopped = [remaining, drained = std::move(drained)] {
        if (--*remaining == 0) {
            drained();
        }
    };
    for (const Entry &entry : this->entries) {
        if (entry.server != nullptr) {
            ++*remaining;
            entry.server->stopAccepting(onStopped);
        }
    }
    onStopped();
}

} // namespace Filbertlanding
