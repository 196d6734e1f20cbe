/** @file soak_replica_checks.cpp Checks that no fault of a disk or a limit outlasts its cause. */

#include "soak/soak_replica_checks.h"

#include "core/clock_func.h"
#include "soak/soak_client.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds Interval{100};
    constexpr Duration StartTime{1'000}; ///< Until a process that has started serves its ports.
    constexpr Duration RecoveryTime{1'000}; ///< From the end of a fault until the replica runs.
    constexpr Duration CatchUpTime{4'200}; ///< A loss counts for 4 s after the core is back.
    constexpr Duration ReadTime{12'000}; ///< In which the manifest can be read with no more than the tolerated loss.
    constexpr std::size_t ToleratedLoss = 1;
    constexpr Duration MetricsTimeout{1'000};
    constexpr Duration AnswerTimeout{5'000};
    constexpr std::string_view RunningMetric = "filbertlanding_replica{condition=\"running\"} 1";

    bool isRunningUndisturbed(const SoakDaemon &daemon)
    {
        const bool isStopping = daemon.lastTermination >= daemon.startedAt;
        return daemon.process != nullptr && !daemon.isSuspended && !daemon.isDiskImpaired && !isStopping;
    }

} // namespace

SoakReplicaChecks::SoakReplicaChecks(boost::asio::io_context &loop, const SoakDaemons &soakDaemons, const SoakLoopWatch &loopWatch, SoakChecks &soakChecks)
    : daemons(soakDaemons)
    , watch(loopWatch)
    , checks(soakChecks)
    , client(soakClientSettings(loop), counters)
    , timer(loop)
{
}

void SoakReplicaChecks::start()
{
    this->startedAt = steadyNow();
    this->calmSince = this->startedAt;
    this->lastRead = this->startedAt;
    this->cores.resize(this->daemons.controlAddresses().size());
    this->arm();
}

void SoakReplicaChecks::arm()
{
    this->timer.expires_after(Interval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (std::size_t i = 0; i < this->cores.size(); ++i) {
            this->update(i);
            this->readMetrics(i);
            this->readManifest(i);
        }
        this->checkReads();
        this->arm();
    });
}

void SoakReplicaChecks::update(std::size_t core)
{
    const SoakDaemon &daemon = this->daemons.daemons[core];
    const TimePoint soundSince = std::max({daemon.diskSoundSince, daemon.startedAt + StartTime, this->startedAt});
    if (this->cores[core].soundSince != soundSince) {
        this->cores[core] = {soundSince, {}, false, this->cores[core].cutReportedFor};
    }
}

void SoakReplicaChecks::readMetrics(std::size_t core)
{
    const TimePoint sentAt = steadyNow();
    const TimePoint soundSince = this->cores[core].soundSince;
    if (!isRunningUndisturbed(this->daemons.daemons[core]) || sentAt < soundSince || this->cores[core].runningSince) {
        return;
    }
    const HttpAddress address = soakAddressOf(this->daemons.addressOf(core, SoakPort::Metrics));
    HttpRequest request{"GET", "/metrics", {{"Host", "metrics.example"}}, {}, {}};
    this->client.send(address, std::move(request), {.timeout = MetricsTimeout}, [this, core, sentAt, soundSince](const HttpExchange &exchange) {
        this->update(core);
        if (isRunningUndisturbed(this->daemons.daemons[core]) && this->cores[core].soundSince == soundSince) {
            this->onMetrics(core, sentAt, exchange);
        }
    });
}

void SoakReplicaChecks::onMetrics(std::size_t core, TimePoint sentAt, const HttpExchange &exchange)
{
    Core &read = this->cores[core];
    const Duration time = sentAt - read.soundSince;
    const bool isAnswered = exchange.code == ResultCode::Ok;
    if (isAnswered && exchange.response.body.find(RunningMetric) != std::string::npos) {
        this->recoveries += read.runningSince ? 0 : 1;
        this->longestRecovery = read.runningSince ? this->longestRecovery : std::max(this->longestRecovery, time);
        read.runningSince = std::min(read.runningSince.value_or(sentAt), sentAt);
        return;
    }
    const LoopStandstill standstill = this->watch.longestSince(read.soundSince);
    const bool wasRunning = read.runningSince && *read.runningSince < sentAt;
    if (wasRunning || time <= RecoveryTime + (standstill.until - standstill.from) || std::exchange(read.isReported, true)) {
        return;
    }
    this->checks.addViolation("the replica of " + this->daemons.daemons[core].name + (isAnswered ? " does not run " : " does not answer ")
                              + std::to_string(time.ms) + " ms after its disk and its limits are sound; " + this->watch.describeSince(read.soundSince));
}

void SoakReplicaChecks::readManifest(std::size_t core)
{
    const TimePoint sentAt = steadyNow();
    if (this->daemons.daemons[core].process == nullptr || sentAt - this->daemons.daemons[core].startedAt < StartTime) {
        return;
    }
    const HttpAddress address = soakAddressOf(this->daemons.addressOf(core, SoakPort::Requests));
    HttpRequest request{"GET", "/config", {{"Host", "replica.example"}}, {}, {}};
    this->client.send(address, std::move(request), {.timeout = AnswerTimeout}, [this, core, sentAt](const HttpExchange &exchange) {
        this->onManifest(core, sentAt, exchange);
    });
}

void SoakReplicaChecks::onManifest(std::size_t core, TimePoint sentAt, const HttpExchange &exchange)
{
    if (exchange.code == ResultCode::Ok) {
        this->lastRead = exchange.response.status == 200 ? std::max(this->lastRead, sentAt) : this->lastRead;
        return;
    }
    const SoakDaemon &daemon = this->daemons.daemons[core];
    const bool isSameProcess = daemon.process != nullptr && daemon.startedAt < sentAt && daemon.lastKill < sentAt;
    const bool isExcused = daemon.isShortOfDescriptors || daemon.lastTermination >= daemon.startedAt;
    // One violation for each process: an exit by itself cuts many calls.
    if (!exchange.bytesSent || !isSameProcess || isExcused || std::exchange(this->cores[core].cutReportedFor, daemon.startedAt) == daemon.startedAt) {
        return;
    }
    this->checks.addViolation("a call to " + daemon.name + " got no answer within " + std::to_string((steadyNow() - sentAt).ms) + " ms; "
                              + this->watch.describeSince(sentAt));
}

void SoakReplicaChecks::checkReads()
{
    const TimePoint now = steadyNow();
    const auto isImpaired = [now](const SoakDaemon &daemon) {
        const TimePoint soundSince = std::max(daemon.diskSoundSince, daemon.startedAt);
        return daemon.hasDisk && (!isRunningUndisturbed(daemon) || now - soundSince < CatchUpTime);
    };
    const auto impaired = std::count_if(this->daemons.daemons.begin(), this->daemons.daemons.end(), isImpaired);
    if (static_cast<std::size_t>(impaired) > ToleratedLoss) {
        this->calmSince = now;
        this->isUnreadReported = false;
        return;
    }
    const TimePoint from = std::max(this->calmSince, this->lastRead);
    const LoopStandstill standstill = this->watch.longestSince(from);
    this->longestUnread = std::max(this->longestUnread, now - from);
    if (now - from <= ReadTime + (standstill.until - standstill.from) || std::exchange(this->isUnreadReported, true)) {
        return;
    }
    this->checks.addViolation("no read of the manifest is served for " + std::to_string((now - from).ms) + " ms although at most one core is impaired; "
                              + this->watch.describeSince(from));
}

} // namespace Filbertlanding
