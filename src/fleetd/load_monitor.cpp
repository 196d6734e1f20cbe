/** @file load_monitor.cpp Periodic measurement of the event loop's delay and of the connections of a daemon. */

#include "fleetd/load_monitor.h"

#include "core/clock_func.h"
#include "runtime/log_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration SampleInterval{100};
    constexpr Duration LineInterval{5'000};

} // namespace

LoadMonitor::LoadMonitor(boost::asio::io_context &loop, const NetworkCounters &networkCounters, const DescriptorPool &descriptorPool)
    : counters(networkCounters)
    , descriptors(descriptorPool)
    , timer(loop)
{
}

void LoadMonitor::start()
{
    this->nextLine = steadyNow() + LineInterval;
    this->armTimer();
}

void LoadMonitor::stop()
{
    this->timer.cancel();
}

void LoadMonitor::armTimer()
{
    this->expectedAt = steadyNow() + SampleInterval;
    this->timer.expires_after(std::chrono::milliseconds(SampleInterval.ms));
    this->timer.async_wait(KeptHandler(this->timerMemory, [this](const boost::system::error_code &error) {
        if (!error) {
            this->onTimer();
        }
    }));
}

void LoadMonitor::onTimer()
{
    const TimePoint now = steadyNow();
    const Duration delay = std::max(Duration{0}, now - this->expectedAt);
    this->loopDelay.record(delay);
    this->maxDelay = std::max(this->maxDelay, delay);
    this->armTimer(); // First, so that an exception below ends this round only.
    if (now >= this->nextLine) {
        this->logLoad();
        if (this->times != this->timesAtLastLine) {
            this->logLoopTimes();
        }
        this->nextLine = now + LineInterval;
    }
    if (this->sampled) {
        this->sampled();
    }
}

void LoadMonitor::logLoad()
{
    const std::uint64_t accepted = this->counters.httpConnectionsAccepted;
    logLine(LogArea::Daemon,
            LogLevel::Info,
            "load",
            {{"connections", this->counters.httpConnectionsOpen.load()},
             {"accepted", accepted - this->acceptedAtLastLine},
             {"displaced", this->counters.httpConnectionsDisplaced.load()},
             {"refused", this->counters.httpConnectionsRefused.load()},
             {"acceptFailures", this->counters.httpAcceptsFailed.load()},
             {"requests", this->counters.httpRequests.load()},
             {"maxLoopDelayMs", this->maxDelay.ms}});
    this->acceptedAtLastLine = accepted;
    this->maxDelay = {};
}

LoopTimes &LoadMonitor::loopTimes()
{
    return this->times;
}

void LoadMonitor::logLoopTimes()
{
    const auto spentMs = [this](LoopPart part) {
        const auto index = static_cast<std::size_t>(part);
        return (this->times[index] - this->timesAtLastLine[index]) / 1000;
    };
    logLine(LogArea::Daemon,
            LogLevel::Info,
            "loop_time",
            {{"schedulerTickMs", spentMs(LoopPart::SchedulerTick)},
             {"appliedEntriesMs", spentMs(LoopPart::AppliedEntries)},
             {"orderResponsesMs", spentMs(LoopPart::OrderResponses)},
             {"controlRequestsMs", spentMs(LoopPart::ControlRequests)},
             {"callerRequestsMs", spentMs(LoopPart::CallerRequests)},
             {"snapshotsMs", spentMs(LoopPart::Snapshots)}});
    this->timesAtLastLine = this->times;
}

void LoadMonitor::appendMetrics(std::string &text) const
{
    appendMetric(text, "filbertlanding_http_connections", this->counters.httpConnectionsOpen);
    appendMetric(text, "filbertlanding_http_connections_accepted_total", this->counters.httpConnectionsAccepted);
    appendMetric(text, "filbertlanding_http_connections_refused_total", this->counters.httpConnectionsRefused);
    appendMetric(text, "filbertlanding_http_connections_displaced_total", this->counters.httpConnectionsDisplaced);
    appendMetric(text, "filbertlanding_http_accepts_failed_total", this->counters.httpAcceptsFailed);
    appendMetric(text, "filbertlanding_peer_handshakes_displaced_total", this->counters.peerHandshakesDisplaced);
    appendMetric(text, "filbertlanding_peer_accepts_failed_total", this->counters.peerAcceptsFailed);
    appendMetric(text, "filbertlanding_worker_connections_displaced_total", this->counters.clientIdleDisplaced);
    appendMetric(text, "filbertlanding_open_connections", this->descriptors.open());
    appendMetric(text, "filbertlanding_connection_limit", this->descriptors.shares().connections);
    appendMetric(text, "filbertlanding_descriptor_limit", this->descriptors.limit());
    appendMetric(text, "filbertlanding_http_requests_total", this->counters.httpRequests);
    for (const auto &row : LoopPartNames.rows) {
        appendMetric(text, "filbertlanding_loop_microseconds_total{part=\"" + std::string(row.name) + "\"}", this->times[static_cast<std::size_t>(row.value)]);
    }
    this->loopDelay.appendText(text, "filbertlanding_loop_delay_seconds");
}

} // namespace Filbertlanding
