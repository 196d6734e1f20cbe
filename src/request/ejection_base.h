/** @file ejection_base.h Outlier ejection of the workers of one service. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "request/slot.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace Filbertlanding {

/** Settings of outlier ejection. */
struct EjectionSettings {
    std::uint32_t consecutiveFailures = 5; ///< Failures in a row that eject a worker.
    Duration baseEjectionTime{10'000}; ///< Length of the first ejection; each further one doubles it.
    Duration maxEjectionTime{300'000}; ///< Longest ejection.
};

/** State of one worker. */
struct EjectionRecord {
    std::uint32_t failures = 0; ///< Failures in a row.
    std::uint32_t ejectionCount = 0; ///< Ejections since the worker last passed probation.
    TimePoint ejectedUntil; ///< End of the ejection.
    bool ejected = false; ///< Ejected now.
    bool probation = false; ///< One success ends it, one failure ejects again.
};

/** State of all workers of a service. */
struct EjectionState {
    EjectionSettings settings; ///< Settings.
    std::unordered_map<WorkerName, EjectionRecord> workers; ///< Workers with a failure or an ejection.
    std::uint32_t workerCount = 0; ///< Workers of the service.
    std::uint32_t ejectedCount = 0; ///< Workers that are ejected now.
};

/** Records the outcome of a request. @return The worker's record after it. */
EjectionRecord recordOutcome(EjectionState &state, const WorkerName &worker, bool succeeded, TimePoint now);

/** Ends ejections whose time is over; those workers go on probation. */
void ejectionTick(EjectionState &state, TimePoint now);

/** Sets the number of workers of the service. When it shrinks, ejections that end first are ended early to keep the cap of a third. */
void setWorkerCount(EjectionState &state, std::uint32_t workerCount, TimePoint now);

/** Forgets a worker that is gone. */
void removeWorker(EjectionState &state, const WorkerName &worker);

/** Ejection shared by the request threads; keeps the flags in the worker entries. */
class Ejection
{
public:
    explicit Ejection(const EjectionSettings &settings = {});

    /** Records the outcome of a request and updates the entry. */
    void record(WorkerEntry &entry, bool succeeded, TimePoint now);

    /** Ends ejections whose time is over and updates all entries of the service. Called by the control thread each second. */
    void tick(const std::vector<std::shared_ptr<WorkerEntry>> &entries, TimePoint now);

private:
    EjectionState state; ///< All workers.
    std::mutex mutex; ///< Guards the state.
};

} // namespace Filbertlanding
