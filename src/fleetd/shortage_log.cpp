/** @file shortage_log.cpp Log lines about a listener that is short of connections or descriptors. */

#include "fleetd/shortage_log.h"

#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds LineInterval{10'000};

} // namespace

ShortageLog::ShortageLog(boost::asio::io_context &loop, std::string endpoint)
    : listener(std::move(endpoint))
    , timer(loop)
{
}

void ShortageLog::setSummary(std::function<ConnectionSummary()> function)
{
    this->summary = std::move(function);
}

void ShortageLog::record(ShortageEvent event)
{
    switch (event) {
    case ShortageEvent::Displaced:
        ++this->counts.displaced;
        break;
    case ShortageEvent::Refused:
        ++this->counts.refused;
        break;
    case ShortageEvent::AcceptFailed:
        ++this->counts.acceptsFailed;
        break;
    }
    if (!this->isShort) {
        this->isShort = true;
        this->logShortage();
        this->armTimer();
    }
}

void ShortageLog::armTimer()
{
    this->timer.expires_after(LineInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->onTimer();
        }
    });
}

void ShortageLog::onTimer()
{
    if (this->counts == Counts()) {
        this->isShort = false;
        logLine(LogArea::Daemon, LogLevel::Info, "connections_suffice", {{"endpoint", this->listener}});
        return;
    }
    this->logShortage();
    this->armTimer();
}

void ShortageLog::logShortage()
{
    const ConnectionSummary connections = this->summary ? this->summary() : ConnectionSummary();
    logLine(LogArea::Daemon,
            LogLevel::Warn,
            "connections_short",
            {{"endpoint", this->listener},
             {"open", connections.open},
             {"limit", connections.limit},
             {"silent", connections.silent},
             {"busy", connections.busy},
             {"closed", this->counts.displaced},
             {"refused", this->counts.refused},
             {"acceptFailures", this->counts.acceptsFailed},
             {"busiestAddress", connections.busiest.address},
             {"ofBusiest", connections.busiest.connections}});
    this->counts = {};
}

} // namespace Filbertlanding
