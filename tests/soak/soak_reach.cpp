/** @file soak_reach.cpp Checks that the daemons can be reached by new connections. */

#include "soak/soak_reach.h"

#include "core/clock_func.h"
#include "soak/soak_client.h"

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds CallInterval{200};
    constexpr Duration CallTimeout{1'000};
    constexpr Duration ReachLimit{5'000}; ///< The time of contact (3 s) after a disturbance, and the time in which a change is in force (2 s).
    constexpr Duration ClosingRace{200}; ///< A request may cross the end of a connection that a stopping daemon closes.
    constexpr Duration StopWindow{4'000}; ///< Answers this long after a planned stop are counted as its costs.

} // namespace

SoakReach::SoakReach(boost::asio::io_context &loop, const SoakDaemons &soakDaemons, SoakChecks &soakChecks)
    : daemons(soakDaemons)
    , checks(soakChecks)
    , client(soakClientSettings(loop), counters)
    , timer(loop)
{
}

void SoakReach::start()
{
    const TimePoint now = steadyNow();
    this->lastRead = now;
    for (std::size_t i = 0; i < this->daemons.daemons.size(); ++i) {
        this->targets.push_back({i, SoakPort::Requests, now, {}, false});
        this->targets.push_back({i, SoakPort::Readiness, now, {}, false});
    }
    this->checks.onCallAnswered = [this](SoakSender sender, TimePoint sentAt, unsigned status) {
        this->countAnswer(sender, sentAt, status);
    };
    this->arm();
}

void SoakReach::stop()
{
    this->hasStopped = true;
    this->checks.onCallAnswered = {};
    this->timer.cancel();
}

std::optional<std::size_t> SoakReach::leader() const
{
    return this->lastLeader;
}

void SoakReach::onPlannedStop()
{
    ++this->costs.stops;
    this->plannedStopAt = steadyNow();
}

void SoakReach::onDisturbance()
{
    this->disturbedAt = steadyNow();
}

void SoakReach::onLinksDisturbed()
{
    this->linksDisturbedAt = steadyNow();
}

void SoakReach::arm()
{
    this->timer.expires_after(CallInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error || this->hasStopped) {
            return;
        }
        for (std::size_t i = 0; i < this->targets.size(); ++i) {
            this->checkTarget(this->targets[i]);
            this->call(i);
        }
        this->checkReads();
        this->arm();
    });
}

void SoakReach::call(std::size_t target)
{
    const Target &called = this->targets[target];
    HttpRequest request{"GET", "/config", {{"Host", "reach.example"}}, {}, {}};
    const HttpAddress address = soakAddressOf(this->daemons.addressOf(called.daemon, called.port));
    const TimePoint sentAt = steadyNow();
    this->client.send(address, std::move(request), {.timeout = CallTimeout, .freshConnection = true}, [this, target, sentAt](const HttpExchange &exchange) {
        if (this->hasStopped) {
            return;
        }
        this->onAnswer(this->targets[target], exchange);
        // A daemon that stops is not ready, so 503 is its answer there.
        const bool isNotReady = this->targets[target].port == SoakPort::Readiness && exchange.response.status == 503;
        if (isNotReady) {
            return;
        }
        const bool isEntry = !this->daemons.daemons[this->targets[target].daemon].hasDisk;
        this->checks.onCallEnded(isEntry ? SoakSender::Caller : SoakSender::Other, sentAt, CallTimeout, exchange);
    });
}

void SoakReach::onAnswer(Target &target, const HttpExchange &exchange)
{
    if (exchange.code != ResultCode::Ok) {
        target.lastOutcome = exchange.isConnectionRefused ? "refused" : exchange.bytesSent ? "silent" : "not connected";
        return;
    }
    target.lastOutcome = std::to_string(exchange.response.status) + " " + std::string(headerValue(exchange.response.headers, "Location"));
    target.lastAnswer = steadyNow();
    target.isReported = false;
    const bool isRead = this->daemons.daemons[target.daemon].hasDisk && target.port == SoakPort::Requests && exchange.response.status == 200;
    if (isRead) {
        ++this->reads;
        this->longestUnread = std::max(this->longestUnread, steadyNow() - this->lastRead);
        this->lastRead = steadyNow();
        this->lastLeader = target.daemon;
        this->isUnreadReported = false;
    }
}

bool SoakReach::isUndisturbed(const SoakDaemon &daemon) const
{
    return daemon.process != nullptr && !daemon.isSuspended && !daemon.isPortTaken && !daemon.isShortOfDescriptors && daemon.upSince
        && steadyNow() - *daemon.upSince > ReachLimit;
}

void SoakReach::checkTarget(Target &target)
{
    const SoakDaemon &daemon = this->daemons.daemons[target.daemon];
    if (!this->isUndisturbed(daemon) || steadyNow() - target.lastAnswer <= ReachLimit || std::exchange(target.isReported, true)) {
        return;
    }
    this->checks.addViolation("a daemon that runs answers no new connection at " + this->daemons.addressOf(target.daemon, target.port) + " (" + daemon.name
                              + ") for " + std::to_string((steadyNow() - target.lastAnswer).ms) + " ms, last " + target.lastOutcome);
}

void SoakReach::checkReads()
{
    std::size_t cores = 0;
    std::size_t undisturbed = 0;
    for (const SoakDaemon &daemon : this->daemons.daemons) {
        cores += daemon.hasDisk ? 1 : 0;
        const bool hasSoundDisk = daemon.hasDisk && !daemon.isDiskImpaired && steadyNow() - daemon.diskSoundSince > ReachLimit;
        undisturbed += hasSoundDisk && this->isUndisturbed(daemon) ? 1 : 0;
    }
    const Duration unread = steadyNow() - std::max(this->lastRead, this->linksDisturbedAt);
    if (undisturbed * 2 <= cores || unread <= ReachLimit || std::exchange(this->isUnreadReported, true)) {
        return;
    }
    this->checks.addViolation("no read of the configuration is answered for " + std::to_string(unread.ms) + " ms although " + std::to_string(undisturbed)
                              + " of " + std::to_string(cores) + " cores are undisturbed:" + this->describeCores());
}

std::string SoakReach::describeCores() const
{
    std::string text;
    for (const Target &target : this->targets) {
        const SoakDaemon &daemon = this->daemons.daemons[target.daemon];
        if (daemon.hasDisk && target.port == SoakPort::Requests) {
            text += " " + daemon.name + (daemon.isPortTaken ? " (port taken): " : ": ") + target.lastOutcome + ";";
        }
    }
    return text;
}

void SoakReach::countAnswer(SoakSender sender, TimePoint sentAt, unsigned status)
{
    const TimePoint now = steadyNow();
    const bool isAfterStop = this->plannedStopAt <= now && sentAt <= this->plannedStopAt + StopWindow;
    const bool isDisturbed = this->disturbedAt + ReachLimit >= sentAt;
    if (this->costs.stops == 0 || !isAfterStop || isDisturbed) {
        return;
    }
    if (status == 503) {
        ++(sender == SoakSender::Caller ? this->costs.unavailable : this->costs.unavailableAtCores);
    }
    this->costs.timedOut += status == 504 ? 1 : 0;
    if (status == 0) {
        ++(now - sentAt < ClosingRace ? this->costs.cutEarly : this->costs.cut);
    }
}

void SoakReach::checkPlannedStops()
{
    if (this->costs.unavailable + this->costs.unavailableAtCores + this->costs.timedOut + this->costs.cut > 0) {
        this->checks.addViolation("planned stops of the leader cost callers " + std::to_string(this->costs.unavailable) + " and others "
                                  + std::to_string(this->costs.unavailableAtCores) + " answers 503, " + std::to_string(this->costs.timedOut)
                                  + " answers 504, and " + std::to_string(this->costs.cut) + " answers that were cut");
    }
}

} // namespace Filbertlanding
