/** @file fleet_daemon.cpp Wires up the listeners, the peer links, the request relay and the core. */

#include "fleetd/fleet_daemon.h"

#include "core/clock_func.h"
#include "runtime/log_func.h"
#include "runtime/process_signals.h"
#include "runtime/run_loop.h"

namespace Filbertlanding {

namespace {

    constexpr Duration MaxLeaderConfirmationAge{1'500}; ///< A relay is ready while the last confirmation of the leader is at most this old.
    constexpr std::chrono::milliseconds ReloadInterval{2'000}; ///< The settings file is also checked for changes periodically, without SIGHUP.
    constexpr std::size_t MaxCallerBodyBytes = std::size_t{1024} * 1024; ///< Maximum body size of a caller's request.
    constexpr std::size_t MaxControlBodyBytes = std::size_t{4} * 1024 * 1024; ///< Maximum body size of a request of a worker or an operator.
    constexpr std::chrono::milliseconds DiskFailureExitDelay{2'000}; ///< Delay between a disk failure and the exit of the process.
    constexpr Duration StopMargin{1'500}; ///< The process exits this long before the end of the grace period, when it would be killed.

    std::vector<std::string> addressesOf(const std::vector<std::string> &contacts)
    {
        std::vector<std::string> addresses;
        for (const std::string &contact : contacts) {
            if (const auto parts = splitAddress(contact)) {
                addresses.push_back(parts->first);
            }
        }
        return addresses;
    }

    PeerLinkSettings linkSettings(const FleetDaemonSettings &settings, boost::asio::io_context &loop)
    {
        PeerLinkSettings link;
        link.self = settings.address;
        link.address = settings.address;
        link.port = static_cast<std::uint16_t>(settings.peerListenPort > 0 ? settings.peerListenPort : settings.peerPort);
        link.dialsFromAddress = settings.peerFromOwnAddress;
        link.key = settings.peerKey;
        link.loop = &loop;
        link.acceptsUnlisted = true;
        link.connectTimeout = {700};
        link.heartbeatInterval = {400};
        link.silentTimeout = {1'300};
        link.backoffMin = {50};
        link.backoffMax = {400};
        return link;
    }

    RelayedResponse toRelayedResponse(RelayOutcome outcome, HttpResponse &&response)
    {
        RelayedResponse relayed;
        relayed.outcome = outcome;
        relayed.status = response.status;
        relayed.body = std::move(response.body);
        for (HttpHeader &header : response.headers) {
            relayed.headers.emplace_back(std::move(header.name), std::move(header.value));
        }
        return relayed;
    }

} // namespace

FleetDaemon::FleetDaemon(FleetDaemonSettings validatedSettings, ProtocolAdapter protocolAdapter, SettingsReload settingsReload)
    : settings(std::move(validatedSettings))
    , adapter(std::move(protocolAdapter))
    , readSettings(std::move(settingsReload))
    , signals(this->io)
    , reloadTimer(this->io)
    , stopTimer(this->io)
    , loadMonitor(this->io, this->network)
    , finder(this->io, static_cast<std::uint16_t>(this->settings.peerPort))
    , relay(this->io, this->adapter)
{
}

FleetDaemon::~FleetDaemon() = default;

ResultCode FleetDaemon::run()
{
    this->armSignals();
    const ResultCode started = this->start();
    if (started != ResultCode::Ok) {
        return started;
    }
    unblockControlSignals();
    runLoop(this->io, [this](std::string_view error) {
        logLine(LogArea::Daemon, LogLevel::Error, "handler_failed", {{"error", error}});
        if (this->core != nullptr) {
            // The scheduler may be partially modified. The replicated state is consistent, because a command that cannot be applied exits the process.
            this->core->restartScheduler("an event handler threw an exception");
        }
    });
    // The handlers are removed with the daemon. A signal after that would end the process before its log is written.
    blockControlSignals();
    return this->result;
}

ResultCode FleetDaemon::start()
{
    this->peers = std::make_unique<PeerLinks>(
        linkSettings(this->settings, this->io),
        [this](const DaemonName &peer, std::uint8_t kind, const std::string &payload, PeerReply reply) {
            this->onPeerMessage(peer, kind, payload, std::move(reply));
        },
        this->network);
    this->peers->setLinkHook([](const DaemonName &peer, bool open) {
        logLine(LogArea::Peer, LogLevel::Info, open ? "link_opened" : "link_closed", {{"peer", peer}});
    });
    if (const std::error_code error = this->peers->start()) {
        logLine(LogArea::Peer, LogLevel::Error, "listen_failed", {{"port", this->settings.peerPort}, {"error", error.message()}});
        return ResultCode::BadAddress;
    }
    this->peers->setPeers({});
    if (!this->settings.dataFolder.empty()) {
        this->core = std::make_unique<FleetCore>(this->io, this->settings, this->adapter, this->network, this->loadMonitor.loopTimes());
        this->core->onFatalError = [this](ResultCode code) {
            this->onCoreFailed(code);
        };
    }
    this->relay.start(*this->peers, this->finder);
    this->finder.leaderFound = [this] {
        this->relay.onLeaderFound();
    };
    if (this->core == nullptr) {
        this->finder.start(*this->peers, addressesOf(this->settings.contacts));
    } else {
        std::vector<PeerAddress> addresses;
        for (const std::string &address : addressesOf(this->settings.contacts)) {
            addresses.push_back({address, address, static_cast<std::uint16_t>(this->settings.peerPort)});
        }
        this->peers->setPeers(std::move(addresses));
        const ResultCode code = this->core->start(*this->peers);
        if (code != ResultCode::Ok) {
            return code;
        }
    }
    const ResultCode listening = this->startListeners();
    if (listening != ResultCode::Ok) {
        return listening;
    }
    this->armReload();
    this->loadMonitor.start();
    logLine(
        LogArea::Daemon, LogLevel::Info, "started", {{"daemon", this->settings.daemon}, {"address", this->settings.address}, {"voter", this->core != nullptr}});
    return ResultCode::Ok;
}

std::error_code FleetDaemon::listen(const std::string &endpoint, HttpHandler handler, std::size_t maxBodyBytes)
{
    const auto parts = splitAddress(endpoint);
    if (!parts) {
        return {};
    }
    HttpServerSettings server;
    server.loop = &this->io;
    server.address = parts->first;
    server.port = parts->second;
    server.maxBodyBytes = maxBodyBytes;
    server.maxConnections = 3'500;
    server.idleTimeout = {15'000};
    this->servers.push_back(std::make_unique<HttpServer>(server, std::move(handler), this->network));
    const std::error_code error = this->servers.back()->start();
    if (error) {
        logLine(LogArea::Daemon, LogLevel::Error, "listen_failed", {{"endpoint", endpoint}, {"error", error.message()}});
    }
    return error;
}

ResultCode FleetDaemon::startListeners()
{
    const auto callers = [this](HttpRequest &&request, HttpRespond respond) {
        this->relay.handleRequest(std::move(request), std::move(respond));
    };
    const auto readiness = [this](HttpRequest &&, const HttpRespond &respond) {
        this->answerReadiness(respond);
    };
    const auto control = [this](HttpRequest &&request, HttpRespond respond) {
        this->core->handleControlRequest(request, std::move(respond));
    };
    const auto metricsHandler = [this](HttpRequest &&, const HttpRespond &respond) {
        respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics()});
    };
    const bool failed = (this->core == nullptr && this->listen(this->settings.listenCallers, callers, MaxCallerBodyBytes))
        || this->listen(this->settings.listenReadiness, readiness, MaxCallerBodyBytes)
        || (this->core != nullptr && this->listen(this->settings.listenControl, control, MaxControlBodyBytes))
        || this->listen(this->settings.listenMetrics, metricsHandler, MaxCallerBodyBytes);
    return failed ? ResultCode::BadAddress : ResultCode::Ok;
}

void FleetDaemon::onPeerMessage(const DaemonName &peer, std::uint8_t kind, const std::string &payload, PeerReply reply)
{
    switch (static_cast<FleetMessageKind>(kind)) {
    case FleetMessageKind::Replication:
        if (this->core != nullptr) {
            this->core->receiveReplication(payload);
        }
        return;
    case FleetMessageKind::FindLeader:
        if (reply) {
            reply(encodeFleetMessage(this->core != nullptr ? this->core->leaderInfo() : LeaderInfo()));
        }
        return;
    case FleetMessageKind::RelayedRequest:
        if (reply) {
            this->onRelayedRequest(payload, std::move(reply));
        }
        return;
    }
    logLine(LogArea::Peer, LogLevel::Warn, "message_unknown", {{"peer", peer}, {"kind", static_cast<int>(kind)}});
}

void FleetDaemon::onRelayedRequest(const std::string &payload, PeerReply reply)
{
    auto relayed = decodeFleetMessage<RelayedRequest>(payload);
    if (!relayed || this->core == nullptr) {
        reply(encodeFleetMessage(RelayedResponse()));
        return;
    }
    HttpRequest request;
    request.method = std::move(relayed->method);
    request.target = std::move(relayed->target);
    request.body = std::move(relayed->body);
    for (auto &[name, value] : relayed->headers) {
        request.headers.push_back({std::move(name), std::move(value)});
    }
    this->core->handleCallerRequest(
        this->adapter.parseJobRequest(request), [this, reply = std::move(reply)](RelayOutcome outcome, const ApiResponse &apiResponse) {
            HttpResponse response = outcome == RelayOutcome::Answered ? this->adapter.serializeResponse(apiResponse) : HttpResponse();
            reply(encodeFleetMessage(toRelayedResponse(outcome, std::move(response))));
        });
}

bool FleetDaemon::isReady() const
{
    if (this->isStopping) {
        return false;
    }
    return this->core != nullptr || (!this->finder.leader().empty() && steadyNow() - this->finder.confirmedAt() < MaxLeaderConfirmationAge);
}

void FleetDaemon::answerReadiness(const HttpRespond &respond) const
{
    respond({this->isReady() ? 200U : 503U, {}, ""});
}

std::string FleetDaemon::metrics() const
{
    std::string text;
    this->loadMonitor.appendMetrics(text);
    if (this->core != nullptr) {
        this->core->appendMetrics(text);
        return text;
    }
    const CallerRelayCounters &count = this->relay.counters();
    appendMetric(text, "filbertlanding_calls_received_total", count.received);
    appendMetric(text, "filbertlanding_calls_answered_total", count.answered);
    appendMetric(text, "filbertlanding_calls_refused_total", count.refused);
    appendMetric(text, "filbertlanding_calls_unknown_total", count.unknown);
    count.responseTime.appendText(text, "filbertlanding_call_seconds");
    return text;
}

/** Registers the signals once: while none is registered, the default action would end the process. */
void FleetDaemon::armSignals()
{
    for (const int signal : ControlSignals) {
        this->signals.add(signal);
    }
    this->waitForSignal();
}

void FleetDaemon::waitForSignal()
{
    this->signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error) {
            return;
        }
        this->waitForSignal();
        if (signal == SIGHUP) {
            this->reload();
        } else {
            this->beginStop();
        }
    });
}

void FleetDaemon::armReload()
{
    this->reloadTimer.expires_after(ReloadInterval);
    this->reloadTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->reload();
            this->armReload();
        }
    });
}

void FleetDaemon::reload()
{
    const auto next = this->readSettings ? this->readSettings() : std::nullopt;
    if (!next) {
        return;
    }
    logLine(LogArea::Daemon, LogLevel::Info, "settings_reloaded", {{"contacts", next->contacts.size()}});
    this->settings.contacts = next->contacts;
    if (this->core == nullptr) {
        this->finder.setContacts(addressesOf(this->settings.contacts));
    }
}

void FleetDaemon::beginStop()
{
    if (this->isStopping) {
        return;
    }
    this->isStopping = true;
    logLine(LogArea::Daemon, LogLevel::Info, "stopping", {{"graceMs", this->settings.stopGraceMs}});
    if (this->core != nullptr) {
        this->finishRun(ResultCode::Ok);
        return;
    }
    // The load balancer sends new connections until two readiness checks have failed.
    const Duration grace{this->settings.stopGraceMs - StopMargin.ms};
    this->stopTimer.expires_after(std::chrono::milliseconds(grace.ms / 2));
    this->stopTimer.async_wait([this, grace](const boost::system::error_code &) {
        for (const auto &server : this->servers) {
            server->stopAccepting([] {});
        }
        this->stopTimer.expires_after(std::chrono::milliseconds(grace.ms / 2));
        this->stopTimer.async_wait([this](const boost::system::error_code &) {
            this->finishRun(ResultCode::Ok);
        });
    });
}

void FleetDaemon::onCoreFailed(ResultCode code)
{
    if (this->isStopping) {
        return;
    }
    this->isStopping = true;
    this->core->stop();
    // Write errors often last for seconds; exiting immediately would cause a restart loop in the meantime.
    this->stopTimer.expires_after(DiskFailureExitDelay);
    this->stopTimer.async_wait([this, code](const boost::system::error_code &) {
        this->finishRun(code);
    });
}

void FleetDaemon::finishRun(ResultCode code)
{
    this->result = code;
    logLine(LogArea::Daemon, LogLevel::Info, "ended", {{"code", resultCodeRow(code).name}});
    this->finder.stop();
    this->reloadTimer.cancel();
    this->loadMonitor.stop();
    if (this->core != nullptr) {
        this->core->stop();
    }
    this->io.stop();
}

} // namespace Filbertlanding
