/** @file soak_connections.cpp Callers that use their open connections until the process is gone. */

#include "soak/soak_connections.h"

#include "core/clock_func.h"
#include "soak/soak_client.h"

#include <boost/asio/steady_timer.hpp>

namespace Filbertlanding {

namespace {

    constexpr int ConnectionsPerEntry = 6;
    constexpr std::uint64_t PauseRangeMs = 60; ///< Between an answer and the next request.
    constexpr Duration ReconnectPause{50};
    constexpr Duration Deadline{3'000}; ///< That the request states.
    constexpr Duration Timeout{4'000}; ///< Time for an answer, which may say that the deadline has expired.
    constexpr Duration RouteVisibilityLimit{2'000}; ///< A route is served at all entries this long after its manifest was acknowledged.
    constexpr Duration StopTime{7'000}; ///< From SIGTERM until the process is gone and its exit is noticed.
    constexpr Duration ServingTime{2'000}; ///< From SIGTERM; no connection is closed sooner.
    constexpr Duration ClosingRace{200}; ///< A request may cross the end of a connection that a stopping daemon closes.

} // namespace

SoakConnections::SoakConnections(boost::asio::io_context &loop,
                                 std::uint64_t seed,
                                 const SoakDaemons &soakDaemons,
                                 const SoakManifests &soakManifests,
                                 const SoakLoopWatch &loopWatch,
                                 SoakChecks &soakChecks)
    : io(loop)
    , daemons(soakDaemons)
    , manifests(soakManifests)
    , watch(loopWatch)
    , checks(soakChecks)
    , client(soakClientSettings(loop), counters)
    , random{seed ^ 0xc0ecULL}
{
}

void SoakConnections::start()
{
    for (std::size_t i = 0; i < this->daemons.daemons.size(); ++i) {
        for (int connection = 0; !this->daemons.daemons[i].hasDisk && connection < ConnectionsPerEntry; ++connection) {
            this->sendNextAfter(i, Duration{static_cast<std::int64_t>(this->random.below(PauseRangeMs))});
        }
    }
}

void SoakConnections::stop()
{
    this->hasStopped = true;
}

void SoakConnections::sendNextAfter(std::size_t entry, Duration pause)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->io, std::chrono::milliseconds(pause.ms));
    timer->async_wait([this, entry, timer](const boost::system::error_code &) {
        if (!this->hasStopped) {
            this->sendNext(entry);
        }
    });
}

void SoakConnections::sendNext(std::size_t entry)
{
    const TimePoint sentAt = steadyNow();
    const auto route = this->manifests.drawConfirmedRoute(this->random, sentAt - RouteVisibilityLimit);
    if (!route) {
        this->sendNextAfter(entry, ReconnectPause);
        return;
    }
    HttpRequest request{"GET", *route + "0123456789abcdef", {}, {}, {}};
    request.headers.push_back({"Host", std::string(SoakManifests::QueueHost)});
    request.headers.push_back({"X-Deadline-Ms", std::to_string(Deadline.ms)});
    const HttpAddress target = soakAddressOf(this->daemons.addressOf(entry, SoakPort::Requests));
    this->client.send(target, std::move(request), {.timeout = Timeout}, [this, entry, sentAt, path = *route](const HttpExchange &exchange) {
        if (this->hasStopped) {
            return;
        }
        this->onExchange(entry, path, sentAt, exchange);
        const bool isAnswered = exchange.code == ResultCode::Ok;
        this->sendNextAfter(entry, isAnswered ? Duration{static_cast<std::int64_t>(this->random.below(PauseRangeMs))} : ReconnectPause);
    });
}

void SoakConnections::onExchange(std::size_t entry, const std::string &path, TimePoint sentAt, const HttpExchange &exchange)
{
    const SoakDaemon &daemon = this->daemons.daemons[entry];
    this->checks.onCallEnded(SoakSender::Caller, sentAt, Timeout, exchange);
    if (exchange.code == ResultCode::Ok) {
        ++this->answered;
        if (exchange.response.status == 404) {
            this->checks.addViolation("a confirmed route is not served: " + path + " at " + daemon.name);
        }
        return;
    }
    if (!exchange.bytesSent) {
        return;
    }
    const Duration waited = steadyNow() - sentAt;
    if (this->mayBeLost(daemon, sentAt, waited)) {
        ++this->excused;
        return;
    }
    this->checks.addViolation("a request got no answer: " + path + " at " + daemon.name + ", " + (waited < Timeout ? "connection ended" : "silent") + " after "
                              + std::to_string(waited.ms) + " ms; " + this->watch.describeSince(sentAt));
}

bool SoakConnections::mayBeLost(const SoakDaemon &entry, TimePoint sentAt, Duration waited) const
{
    const bool isSlow = entry.isSuspended || entry.lastSlowDown >= sentAt;
    if (entry.lastKill >= sentAt) {
        return true;
    }
    if (waited >= Timeout) {
        return isSlow;
    }
    if (isSlow) {
        return entry.lastTermination + StopTime >= sentAt;
    }
    // A stopping daemon serves for half of its grace period before it closes connections.
    const bool mayClose = entry.lastTermination + ServingTime <= sentAt + waited && entry.lastTermination + StopTime >= sentAt;
    return mayClose && waited < ClosingRace;
}

} // namespace Filbertlanding
