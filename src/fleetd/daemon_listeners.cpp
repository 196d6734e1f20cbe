/** @file daemon_listeners.cpp The HTTP listeners of a daemon. */

#include "fleetd/daemon_listeners.h"

#include "runtime/log_func.h"
#include "settings/fleet_settings.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr int AttemptsPerLine = 50; ///< Failures of an endpoint are logged once in this many attempts, which is every 10 s.

} // namespace

bool mayComeFree(const std::error_code &error)
{
    return error == std::errc::address_in_use || error == std::errc::address_not_available || error == std::errc::too_many_files_open
        || error == std::errc::too_many_files_open_in_system || error == std::errc::not_enough_memory || error == std::errc::no_buffer_space;
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

DaemonListeners::DaemonListeners(boost::asio::io_context &loop, NetworkCounters &networkCounters, DescriptorPool &descriptorPool)
    : io(loop)
    , network(networkCounters)
    , descriptors(descriptorPool)
{
}

HttpServerSettings DaemonListeners::serverSettings(const DaemonListener &listener) const
{
    const auto parts = splitAddress(listener.endpoint);
    HttpServerSettings server;
    server.loop = &this->io;
    server.address = parts->first;
    server.port = parts->second;
    server.maxBodyBytes = listener.maxBodyBytes;
    server.maxConnections = this->maxConnections(listener);
    server.descriptors = &this->descriptors;
    server.idleTimeout = {15'000};
    return server;
}

std::size_t DaemonListeners::maxConnections(const DaemonListener &listener) const
{
    const DescriptorShares &shares = this->descriptors.shares();
    return listener.share == ListenerShare::Main ? shares.main : shares.auxiliary;
}

void DaemonListeners::applyShares()
{
    for (const Entry &entry : this->entries) {
        if (entry.server != nullptr) {
            entry.server->setMaxConnections(this->maxConnections(entry.listener));
        }
    }
}

void DaemonListeners::add(DaemonListener listener)
{
    if (splitAddress(listener.endpoint)) {
        this->entries.push_back({std::move(listener), {}, nullptr, nullptr});
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
    auto shortageLog = std::make_unique<ShortageLog>(this->io, entry.listener.endpoint);
    HttpServerSettings settings = this->serverSettings(entry.listener);
    settings.onShortage = [log = shortageLog.get()](ShortageEvent event) {
        log->record(event);
    };
    auto server = std::make_unique<HttpServer>(std::move(settings), entry.listener.handler, this->network);
    const std::error_code error = server->start();
    entry.attempts.record(entry.listener.endpoint, error, !entry.listener.isRequired || mayComeFree(error));
    if (!error) {
        shortageLog->setSummary([source = server.get()] {
            return source->connectionSummary();
        });
        entry.shortageLog = std::move(shortageLog);
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

bool DaemonListeners::isAccepting() const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [](const Entry &entry) {
        return entry.server == nullptr || !entry.listener.isRequired || entry.server->isAccepting();
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
