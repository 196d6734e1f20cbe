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
    constexpr std::chrono::milliseconds ListenRetryInterval{200}; ///< Interval of the attempts to open an endpoint that is taken.
    constexpr std::size_t MaxCallerBodyBytes = std::size_t{1024} * 1024; ///< Maximum body size of a caller's request.
    constexpr std::size_t MaxControlBodyBytes = std::size_t{4} * 1024 * 1024; ///< Maximum body size of a request of a worker or an operator.
    constexpr Duration LingerTime{200}; ///< A core that stops sends calls to the new leader for this time before it closes its ports.
    constexpr Duration DrainTime{1'500}; ///< Longer than a call waits, and than idle connections are kept for a call that is under way.
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

    PeerLinkSettings linkSettings(const FleetDaemonSettings &settings, boost::asio::io_context &loop, DescriptorPool &descriptors)
    {
        PeerLinkSettings link;
        link.maxHandshakes = descriptors.shares().handshakes;
        link.descriptors = &descriptors;
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
    , descriptors(processDescriptorLimit())
    , signals(this->io)
    , startTimer(this->io)
    , reloadTimer(this->io)
    , stopTimer(this->io)
    , drainTimer(this->io)
    , loadMonitor(this->io, this->network, this->descriptors)
    , finder(this->io, static_cast<std::uint16_t>(this->settings.peerPort))
    , relay(this->io, this->adapter)
    , linkShortage(this->io, "peer")
    , listeners(this->io, this->network, this->descriptors)
{
}

FleetDaemon::~FleetDaemon() = default;

ResultCode FleetDaemon::run()
{
    this->armSignals();
    this->prepare();
    this->continueStart();
    unblockControlSignals();
    runLoop(this->io, [this](std::string_view error) {
        logLine(LogArea::Daemon, LogLevel::Error, "handler_failed", {{"error", error}});
        if (this->core != nullptr) {
            // The scheduler may be partially modified. The replicated state is consistent, because a command that cannot be applied restarts the replica.
            this->core->restartScheduler("an event handler threw an exception");
        }
    });
    // The handlers are removed with the daemon. A signal after that would end the process before its log is written.
    blockControlSignals();
    return this->result;
}

void FleetDaemon::prepare()
{
    PeerLinkSettings link = linkSettings(this->settings, this->io, this->descriptors);
    link.onShortage = [this](ShortageEvent event) {
        this->linkShortage.record(event);
    };
    this->peers = std::make_unique<PeerLinks>(
        std::move(link),
        [this](const DaemonName &peer, std::uint8_t kind, const std::string &payload, PeerReply reply) {
            this->onPeerMessage(peer, kind, payload, std::move(reply));
        },
        this->network);
    this->peers->setLinkHook([](const DaemonName &peer, bool open) {
        logLine(LogArea::Peer, LogLevel::Info, open ? "link_opened" : "link_closed", {{"peer", peer}});
    });
    this->linkShortage.setSummary([this] {
        return this->peers->handshakeSummary();
    });
    if (!this->settings.dataFolder.empty()) {
        this->core = std::make_unique<FleetCore>(this->io, this->settings, this->adapter, this->network, this->descriptors, this->loadMonitor.loopTimes());
        this->core->replicaOpened = [this] {
            this->onReplicaOpened();
        };
    }
    const auto readiness = [this](HttpRequest &&, const HttpRespond &respond) {
        this->answerReadiness(respond);
    };
    const auto metricsHandler = [this](HttpRequest &&, const HttpRespond &respond) {
        respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics()});
    };
    this->listeners.add({this->settings.listenReadiness, readiness, MaxCallerBodyBytes, ListenerShare::Auxiliary});
    this->listeners.add({this->settings.listenMetrics, metricsHandler, MaxCallerBodyBytes, ListenerShare::Auxiliary, false});
    this->armReload();
    this->loadMonitor.sampled = [this] {
        this->followDescriptorLimit();
        this->updateServing();
    };
    this->loadMonitor.start();
}

/** Opens what is not open yet, and tries again later as long as an endpoint is taken. */
void FleetDaemon::continueStart()
{
    if (this->isStopping) {
        return;
    }
    try {
        const ResultCode code = this->openEndpoints();
        if (code != ResultCode::Ok) {
            this->finishRun(code);
            return;
        }
    } catch (const std::exception &error) {
        // Memory or a thread is lacking, which may pass; the parts that are open stay open.
        logLine(LogArea::Daemon, LogLevel::Error, "start_failed", {{"error", error.what()}});
    }
    const bool hasAllParts = this->areLinksOpen && (this->core == nullptr || this->isReplicaRunning());
    if (!this->isStarted && hasAllParts && this->listeners.areRequiredOpen()) {
        this->isStarted = true;
        logLine(LogArea::Daemon,
                LogLevel::Info,
                "started",
                {{"daemon", this->settings.daemon}, {"address", this->settings.address}, {"voter", this->core != nullptr}});
    }
    if (this->isStarted && this->listeners.areAllOpen()) {
        return;
    }
    this->startTimer.expires_after(ListenRetryInterval);
    this->startTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->continueStart();
        }
    });
}

ResultCode FleetDaemon::openEndpoints()
{
    if (!this->areLinksOpen) {
        const ResultCode code = this->openLinks();
        if (code != ResultCode::Ok) {
            return code;
        }
    }
    if (this->areLinksOpen && this->core != nullptr && !this->isCoreStarted) {
        const ResultCode code = this->startCore();
        if (code != ResultCode::Ok) {
            return code;
        }
    }
    return this->listeners.open() ? ResultCode::BadAddress : ResultCode::Ok;
}

/** Opens the port for peer links, and then all that needs it. Returns Ok also if the port may come free later. */
ResultCode FleetDaemon::openLinks()
{
    const std::error_code error = this->isPeerPortOpen ? std::error_code() : this->peers->start();
    const int port = linkSettings(this->settings, this->io, this->descriptors).port;
    this->linkAttempts.record(this->settings.address + ":" + std::to_string(port), error, mayComeFree(error));
    if (error) {
        return mayComeFree(error) ? ResultCode::Ok : ResultCode::BadAddress;
    }
    this->isPeerPortOpen = true;
    this->peers->setPeers({});
    this->relay.start(*this->peers, this->finder);
    this->finder.leaderFound = [this] {
        this->relay.onLeaderFound();
    };
    if (this->core != nullptr) {
        this->areLinksOpen = true;
        return ResultCode::Ok;
    }
    this->finder.start(*this->peers, addressesOf(this->settings.contacts));
    const auto callers = [this](HttpRequest &&request, HttpRespond respond) {
        this->relay.handleRequest(std::move(request), std::move(respond));
    };
    this->listeners.add({this->settings.listenCallers, callers, MaxCallerBodyBytes});
    this->areLinksOpen = true; // Last, since all of it is repeated if memory is lacking.
    return ResultCode::Ok;
}

/** Starts the core, which opens its data folder in the background. */
ResultCode FleetDaemon::startCore()
{
    std::vector<PeerAddress> addresses;
    for (const std::string &address : addressesOf(this->settings.contacts)) {
        addresses.push_back({address, address, static_cast<std::uint16_t>(this->settings.peerPort)});
    }
    this->peers->setPeers(std::move(addresses));
    if (!this->isControlAdded) {
        const auto control = [this](HttpRequest &&request, HttpRespond respond) {
            this->core->handleControlRequest(request, std::move(respond));
        };
        this->listeners.add({this->settings.listenControl, control, MaxControlBodyBytes});
        this->isControlAdded = true;
    }
    // Before replication starts, so that it knows whether this daemon can serve before it may become a candidate.
    if (this->listeners.open()) {
        return ResultCode::BadAddress;
    }
    const ControlSignalBlock blockInThreads;
    this->core->start(*this->peers);
    this->isCoreStarted = true;
    this->updateServing();
    return ResultCode::Ok;
}

void FleetDaemon::onPeerMessage(const DaemonName &peer, std::uint8_t kind, const std::string &payload, PeerReply reply)
{
    switch (static_cast<FleetMessageKind>(kind)) {
    case FleetMessageKind::Replication:
        if (this->isCoreStarted) {
            this->core->receiveReplication(peer, payload);
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

bool FleetDaemon::isReplicaRunning() const
{
    return this->core->replicaHealth().condition == ReplicaCondition::Running;
}

void FleetDaemon::onReplicaOpened()
{
    if (!this->isStarted) {
        this->continueStart();
    }
}

bool FleetDaemon::isReady() const
{
    if (this->isStopping || !this->isStarted) {
        return false;
    }
    if (this->core != nullptr) {
        return this->isReplicaRunning();
    }
    return !this->finder.leader().empty() && steadyNow() - this->finder.confirmedAt() < MaxLeaderConfirmationAge;
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
            this->armReload(); // First, so that an exception below ends this round only.
            this->reload();
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
    if (this->core == nullptr && this->areLinksOpen) {
        this->finder.setContacts(addressesOf(this->settings.contacts));
    }
    if (this->isCoreStarted) {
        this->core->reloadContacts();
    }
}

/** Takes over a limit on descriptors that has changed since the start, so that a low one lasts no longer than its cause. */
void FleetDaemon::followDescriptorLimit()
{
    const std::size_t limit = processDescriptorLimit();
    if (limit == this->descriptors.limit()) {
        return;
    }
    logLine(LogArea::Daemon, LogLevel::Info, "descriptor_limit_changed", {{"limit", limit}, {"before", this->descriptors.limit()}});
    this->descriptors.setLimit(limit);
    this->listeners.applyShares();
    this->peers->setMaxHandshakes(this->descriptors.shares().handshakes);
}

/** Tells the core whether this daemon could carry out the duties of a leader. */
void FleetDaemon::updateServing()
{
    if (this->isCoreStarted) {
        this->core->confirmAlive();
        this->core->setServing(this->listeners.areRequiredOpen() && (this->isStopping || this->listeners.isAccepting()));
    }
}

void FleetDaemon::beginStop()
{
    if (this->isStopping) {
        return;
    }
    this->isStopping = true;
    logLine(LogArea::Daemon, LogLevel::Info, "stopping", {{"graceMs", this->settings.stopGraceMs}});
    const Duration grace{this->settings.stopGraceMs - StopMargin.ms};
    this->stopEnd = steadyNow() + grace;
    if (this->isCoreStarted) {
        this->stopCore();
        return;
    }
    // An entry serves callers as soon as its peer links are open, also while another port is taken.
    if (this->core != nullptr || !this->areLinksOpen) {
        this->finishRun(ResultCode::Ok);
        return;
    }
    // The load balancer sends new connections until two readiness checks have failed.
    this->stopTimer.expires_after(std::chrono::milliseconds(grace.ms / 2));
    this->stopTimer.async_wait([this, grace](const boost::system::error_code &) {
        this->listeners.stopAccepting([] {});
        this->stopTimer.expires_after(std::chrono::milliseconds(grace.ms / 2));
        this->stopTimer.async_wait([this](const boost::system::error_code &) {
            this->finishRun(ResultCode::Ok);
        });
    });
}

/** Hands the leadership over, answers what is under way, and ends the process. */
void FleetDaemon::stopCore()
{
    const Duration left = std::max(Duration{0}, this->stopEnd - steadyNow());
    this->core->beginStop({left.ms / 2}, [this] {
        this->drainTimer.expires_after(std::chrono::milliseconds(LingerTime.ms));
        this->drainTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->drainConnections();
            }
        });
    });
    this->stopTimer.expires_after(std::chrono::milliseconds(left.ms));
    this->waitForStopEnd();
}

void FleetDaemon::waitForStopEnd()
{
    this->stopTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->finishRun(ResultCode::Ok);
        }
    });
}

void FleetDaemon::drainConnections()
{
    logLine(LogArea::Daemon, LogLevel::Info, "draining", {{"connections", this->network.httpConnectionsOpen.load()}});
    this->listeners.stopAccepting([this] {
        this->finishRun(ResultCode::Ok);
    });
    const Duration left = std::clamp(this->stopEnd - steadyNow(), Duration{0}, DrainTime);
    this->stopTimer.expires_after(std::chrono::milliseconds(left.ms));
    this->waitForStopEnd();
}

void FleetDaemon::finishRun(ResultCode code)
{
    this->result = code;
    this->finder.stop();
    this->startTimer.cancel();
    this->reloadTimer.cancel();
    this->loadMonitor.stop();
    if (this->core != nullptr) {
        this->core->stop();
    }
    this->io.stop();
}

bool FleetDaemon::hasStopped() const
{
    return this->core == nullptr || this->core->hasStopped();
}

} // namespace Filbertlanding
