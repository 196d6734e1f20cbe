/** @file worker_registry.cpp Worker reports, ownership leases and the life cycle of workers. */

#include "membership/worker_registry_func.h"

#include "core/random.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t OverdueIntervals = 3; ///< Number of report intervals without a report after which a worker is suspect.

    void applyEvent(WorkerRegistry &registry, WorkerRecord &record, WorkerEvent event)
    {
        const WorkerState before = record.lifeCycle.state();
        const WorkerState after = record.lifeCycle.process(event);
        if (before != after) {
            registry.changes.push_back({record.lastReport.worker, before, after});
        }
    }

    /** Applies leaving and quarantine to the life cycle, after the worker became healthy or after one of them changed. */
    void updateLifeCycle(WorkerRegistry &registry, WorkerRecord &record)
    {
        const bool leaving = record.lastReport.leaving || record.leavingByIntent;
        applyEvent(registry, record, leaving ? WorkerEvent::LeaveAnnounced : WorkerEvent::LeaveWithdrawn);
        if (record.health.quarantined) {
            applyEvent(registry, record, WorkerEvent::QuarantineStarted);
        }
    }

    ReportAnswer makeAnswer(const WorkerRegistry &registry, const WorkerReport &report, ResultCode code, const DaemonEndpoint &owner)
    {
        ReportAnswer answer;
        answer.code = code;
        answer.ownerEpoch = report.ownerEpoch;
        answer.ownerIncarnation = registry.settings.incarnation;
        answer.ownerAddress = owner.address;
        answer.ownerPort = owner.port;
        answer.reportInterval = registry.settings.reportInterval;
        answer.ownerLease = registry.settings.ownerLease;
        answer.taskLease = registry.settings.taskLease;
        return answer;
    }

    /** Releases an owner epoch permanently. */
    void releaseEpoch(WorkerRegistry &registry, WorkerRecord &record, std::uint64_t epoch, TimePoint now)
    {
        record.releasedEpoch = std::max(record.releasedEpoch, epoch);
        record.owned = false;
        record.leaseEnd = TimePoint{};
        record.sent = {};
        record.handedOverAt = now;
        applyEvent(registry, record, WorkerEvent::HandedOver);
    }

    /** Returns the daemon that should own the worker. */
    DaemonEndpoint nextOwner(const WorkerRegistry &registry, const WorkerReport &report)
    {
        const std::string_view exclude = registry.stopping ? std::string_view(registry.settings.self.name) : std::string_view();
        const auto preferred = preferredOwner(registry.liveDaemons, report.worker, report.availabilityZone, exclude);
        return preferred.value_or(registry.settings.self);
    }

    /** Resets the record for a new owner epoch. */
    void resetForNewEpoch(WorkerRegistry &registry, WorkerRecord &record, TimePoint now)
    {
        // A worker that returns immediately could not reach its preferred owner, so the next handover is delayed for longer.
        const bool returnedImmediately = record.releasedEpoch != 0 && now - record.handedOverAt < registry.settings.ownerLease * 3;
        const Duration doubledDelay = std::min(record.handOverDelay * 2, registry.settings.maxHandOverDelay);
        record.handOverDelay = returnedImmediately ? doubledDelay : registry.settings.handOverAfter;
        record.acquiredAt = now;
        record.owned = false;
        record.leaseEnd = TimePoint{};
        record.sent = {};
    }

    bool shouldHandOver(const WorkerRegistry &registry, const WorkerRecord &record, const DaemonEndpoint &owner, TimePoint now)
    {
        if (owner.name == registry.settings.self.name) {
            return false;
        }
        if (registry.stopping) {
            return true;
        }
        return record.batchTasks == 0 && now - record.acquiredAt >= record.handOverDelay;
    }

    /** Handles the acknowledgement of an answer. The lease starts when the answer was sent. */
    void acknowledge(WorkerRegistry &registry, WorkerRecord &record, std::uint64_t number, TimePoint now)
    {
        if (number == 0) {
            return;
        }
        const auto found = std::find_if(record.sent.begin(), record.sent.end(), [number](const SentAnswer &sent) {
            return sent.number == number;
        });
        if (found == record.sent.end()) {
            return;
        }
        record.leaseEnd = std::max(record.leaseEnd, found->sentAt + found->lease);
        if (now >= record.leaseEnd) {
            return;
        }
        record.owned = true;
        applyEvent(registry, record, WorkerEvent::Reported);
    }

    /** Stores a report in the record. The amount of work in flight of earlier epochs can only decrease, so the lowest count is kept. */
    void storeReport(WorkerRecord &record, const WorkerReport &report, bool sameEpoch)
    {
        const std::vector<ServiceSlots> before = std::move(record.lastReport.services);
        record.lastReport = report;
        record.lastReport.tasks.clear();
        if (!sameEpoch) {
            return;
        }
        for (ServiceSlots &service : record.lastReport.services) {
            const auto previous = std::find_if(before.begin(), before.end(), [&](const ServiceSlots &entry) {
                return entry.service == service.service;
            });
            if (previous != before.end()) {
                service.earlierInFlight = std::min(service.earlierInFlight, previous->earlierInFlight);
            }
        }
    }

    void recordSentAnswer(WorkerRecord &record, std::uint64_t number, Duration lease, TimePoint now)
    {
        record.sent[record.nextSent] = {number, now, lease};
        record.nextSent = (record.nextSent + 1) % SentAnswerCapacity;
    }

    void tickWorker(WorkerRegistry &registry, WorkerRecord &record, TimePoint now)
    {
        if (endQuarantineIfDue(record.health, now)) {
            --registry.quarantined;
            applyEvent(registry, record, WorkerEvent::QuarantineEnded);
        }
        const bool neverOwned = !record.owned && now - record.lastReportAt >= registry.settings.ownerLease;
        if (neverOwned || (record.owned && now >= record.leaseEnd)) {
            record.owned = false;
            applyEvent(registry, record, WorkerEvent::LeaseEnded);
            return;
        }
        if (now - record.lastReportAt >= registry.settings.reportInterval * OverdueIntervals) {
            applyEvent(registry, record, WorkerEvent::ReportOverdue);
        }
    }

} // namespace

WorkerRegistry makeWorkerRegistry(const RegistrySettings &settings)
{
    WorkerRegistry registry;
    registry.settings = settings;
    // A lease shorter than three report intervals would end whenever a single report is lost.
    registry.settings.ownerLease = std::max(settings.ownerLease, settings.reportInterval * 3);
    registry.liveDaemons = {settings.self};
    return registry;
}

ReportAnswer handleReport(WorkerRegistry &registry, const WorkerReport &report, TimePoint now)
{
    const auto [it, isNew] = registry.workers.try_emplace(report.worker);
    WorkerRecord &record = it->second;
    if (isNew) {
        record.lastReport.worker = report.worker;
        record.leavingByIntent = registry.leavingByIntent.contains(report.worker);
    }
    const WorkerReport &last = record.lastReport;
    const auto reported = std::tie(report.incarnation, report.ownerEpoch);
    const auto known = std::tie(last.incarnation, last.ownerEpoch);
    if (!isNew && reported < known) {
        return makeAnswer(registry, report, ResultCode::StaleOwner, registry.settings.self);
    }
    record.lastReportAt = now;
    const DaemonEndpoint owner = nextOwner(registry, report);
    if (report.ownerEpoch <= record.releasedEpoch) {
        return makeAnswer(registry, report, ResultCode::NotOwner, owner);
    }
    const bool sameEpoch = !isNew && reported == known;
    if (!sameEpoch) {
        resetForNewEpoch(registry, record, now);
    }
    const bool outOfOrder = sameEpoch && report.sequence < last.sequence;
    if (!outOfOrder) {
        storeReport(record, report, sameEpoch);
    }
    const bool otherProcess = report.acknowledged != 0 && report.ownerIncarnation != registry.settings.incarnation;
    if (otherProcess) {
        // An earlier process of this daemon owned the epoch, and this process does not know which requests it sent.
        releaseEpoch(registry, record, report.ownerEpoch, now);
        return makeAnswer(registry, report, ResultCode::NotOwner, registry.stopping ? owner : registry.settings.self);
    }
    acknowledge(registry, record, report.acknowledged, now);
    if (shouldHandOver(registry, record, owner, now)) {
        releaseEpoch(registry, record, report.ownerEpoch, now);
        return makeAnswer(registry, report, ResultCode::NotOwner, owner);
    }
    updateLifeCycle(registry, record);
    ReportAnswer answer = makeAnswer(registry, report, ResultCode::Ok, registry.settings.self);
    answer.number = ++registry.lastNumber;
    recordSentAnswer(record, answer.number, answer.ownerLease, now);
    return answer;
}

void registryTick(WorkerRegistry &registry, TimePoint now)
{
    for (auto it = registry.workers.begin(); it != registry.workers.end();) {
        WorkerRecord &record = it->second;
        tickWorker(registry, record, now);
        const bool gone = record.lifeCycle.state() == WorkerState::Gone;
        const bool expired = gone && !record.health.quarantined && now - record.lastReportAt >= registry.settings.goneRecordRetention;
        it = expired ? registry.workers.erase(it) : std::next(it);
    }
}

bool ownsWorker(const WorkerRegistry &registry, const WorkerName &worker, TimePoint now)
{
    const WorkerRecord *record = findWorker(registry, worker);
    return record != nullptr && record->owned && now < record->leaseEnd;
}

bool takesRequests(const WorkerRecord &record, TimePoint now)
{
    const WorkerState state = record.lifeCycle.state();
    const bool usable = state == WorkerState::Healthy || state == WorkerState::Quarantined;
    return usable && record.owned && now < record.leaseEnd;
}

std::uint32_t allowedBatchTasks(const WorkerRecord &record, TimePoint now)
{
    const bool usable = record.lifeCycle.state() == WorkerState::Healthy && record.owned && now < record.leaseEnd;
    return usable ? allowedTasks(record.health) : 0;
}

const WorkerRecord *findWorker(const WorkerRegistry &registry, const WorkerName &worker)
{
    const auto found = registry.workers.find(worker);
    return found == registry.workers.end() ? nullptr : &found->second;
}

void setLiveDaemons(WorkerRegistry &registry, std::vector<DaemonEndpoint> daemons)
{
    const bool hasSelf = std::any_of(daemons.begin(), daemons.end(), [&](const DaemonEndpoint &daemon) {
        return daemon.name == registry.settings.self.name;
    });
    if (!hasSelf) {
        daemons.push_back(registry.settings.self);
    }
    registry.liveDaemons = std::move(daemons);
}

void setLeavingWorkers(WorkerRegistry &registry, std::set<WorkerName> workers)
{
    registry.leavingByIntent = std::move(workers);
    for (auto &[name, record] : registry.workers) {
        record.leavingByIntent = registry.leavingByIntent.contains(name);
        updateLifeCycle(registry, record);
    }
}

void setBatchTasks(WorkerRegistry &registry, const WorkerName &worker, std::uint32_t count)
{
    const auto found = registry.workers.find(worker);
    if (found != registry.workers.end()) {
        found->second.batchTasks = count;
    }
}

void startHandOver(WorkerRegistry &registry)
{
    registry.stopping = true;
}

void recordWorkerOutcome(WorkerRegistry &registry, const WorkerName &worker, const JobId &job, bool succeeded, TimePoint now)
{
    const auto found = registry.workers.find(worker);
    if (found == registry.workers.end()) {
        return;
    }
    WorkerRecord &record = found->second;
    if (!recordTaskOutcome(record.health, registry.settings.quarantine, job, succeeded, now)) {
        return;
    }
    const std::size_t allowed = std::max<std::size_t>(1, registry.workers.size() / 3);
    if (registry.quarantined >= allowed) {
        return;
    }
    startQuarantine(record.health, registry.settings.quarantine, now);
    ++registry.quarantined;
    applyEvent(registry, record, WorkerEvent::QuarantineStarted);
}

std::vector<WorkerChange> takeChanges(WorkerRegistry &registry)
{
    return std::exchange(registry.changes, {});
}

std::optional<DaemonEndpoint>
preferredOwner(const std::vector<DaemonEndpoint> &daemons, const WorkerName &worker, const ZoneName &zone, std::string_view exclude)
{
    const DaemonEndpoint *best = nullptr;
    auto bestRank = std::make_tuple(false, std::uint64_t{0});
    for (const DaemonEndpoint &daemon : daemons) {
        if (daemon.name == exclude) {
            continue;
        }
        // Daemons of the worker's zone have precedence over all others.
        const auto rank = std::make_tuple(daemon.availabilityZone == zone, stableHash(daemon.name + '/' + worker));
        if (best == nullptr || rank > bestRank) {
            best = &daemon;
            bestRank = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

} // namespace Filbertlanding
