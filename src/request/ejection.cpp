/** @file ejection.cpp Outlier ejection of the workers of one service. */

#include "request/ejection_base.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::uint32_t EjectionCapDivisor = 3; ///< At most a third of the workers are ejected, since the others have to take over their load.

    void eject(EjectionState &state, EjectionRecord &record, TimePoint now)
    {
        constexpr std::uint32_t MaxDoublings = 20;
        const std::int64_t factor = std::int64_t{1} << std::min(record.ejectionCount, MaxDoublings);
        record.ejectedUntil = now + std::min(state.settings.baseEjectionTime * factor, state.settings.maxEjectionTime);
        record.ejected = true;
        record.probation = false;
        record.failures = 0;
        ++record.ejectionCount;
        ++state.ejectedCount;
    }

    void endEjection(EjectionState &state, EjectionRecord &record)
    {
        record.ejected = false;
        record.probation = true;
        --state.ejectedCount;
    }

    void applyRecord(WorkerEntry &entry, const EjectionRecord &record)
    {
        entry.ejectedUntilMs.store(record.ejected ? record.ejectedUntil.ms : 0, std::memory_order_relaxed);
        entry.probation.store(record.probation, std::memory_order_relaxed);
    }

} // namespace

EjectionRecord recordOutcome(EjectionState &state, const WorkerName &worker, bool succeeded, TimePoint now)
{
    const auto found = state.workers.find(worker);
    if (found == state.workers.end() && succeeded) {
        return {};
    }
    EjectionRecord &record = found == state.workers.end() ? state.workers[worker] : found->second;
    if (record.ejected) {
        // The request was sent before the ejection, so its outcome carries no new information.
        return record;
    }
    if (succeeded) {
        state.workers.erase(worker);
        return {};
    }
    ++record.failures;
    const bool due = record.probation || record.failures >= state.settings.consecutiveFailures;
    const bool allowed = (state.ejectedCount + 1) * EjectionCapDivisor <= state.workerCount;
    if (due && allowed) {
        eject(state, record, now);
    }
    return record;
}

void ejectionTick(EjectionState &state, TimePoint now)
{
    for (auto &[name, record] : state.workers) {
        if (record.ejected && now >= record.ejectedUntil) {
            endEjection(state, record);
        }
    }
}

void setWorkerCount(EjectionState &state, std::uint32_t workerCount, TimePoint now)
{
    state.workerCount = workerCount;
    ejectionTick(state, now);
    while (state.ejectedCount * EjectionCapDivisor > workerCount) {
        EjectionRecord *first = nullptr;
        for (auto &[name, record] : state.workers) {
            if (record.ejected && (first == nullptr || record.ejectedUntil < first->ejectedUntil)) {
                first = &record;
            }
        }
        endEjection(state, *first);
    }
}

void removeWorker(EjectionState &state, const WorkerName &worker)
{
    const auto found = state.workers.find(worker);
    if (found == state.workers.end()) {
        return;
    }
    state.ejectedCount -= found->second.ejected ? 1 : 0;
    state.workers.erase(found);
}

Ejection::Ejection(const EjectionSettings &settings)
{
    this->state.settings = settings;
}

void Ejection::record(WorkerEntry &entry, bool succeeded, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    applyRecord(entry, recordOutcome(this->state, entry.worker, succeeded, now));
}

void Ejection::tick(const std::vector<std::shared_ptr<WorkerEntry>> &entries, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    std::unordered_map<WorkerName, WorkerEntry *> present;
    for (const auto &entry : entries) {
        present.emplace(entry->worker, entry.get());
    }
    std::vector<WorkerName> removed;
    for (const auto &[name, record] : this->state.workers) {
        if (!present.contains(name)) {
            removed.push_back(name);
        }
    }
    for (const WorkerName &name : removed) {
        removeWorker(this->state, name);
    }
    setWorkerCount(this->state, static_cast<std::uint32_t>(entries.size()), now);
    for (const auto &[name, record] : this->state.workers) {
        applyRecord(*present.at(name), record);
    }
}

} // namespace Filbertlanding
