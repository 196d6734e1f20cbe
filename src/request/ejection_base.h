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

/** Configuration of outlier ejection. */
struct EjectionSettings {
    std::uint32_t consecutiveFailures = 5; ///< Number of consecutive failures that ejects a worker.
    Duration baseEjectionTime{10'000}; ///< Duration of the first ejection; doubles with each further ejection.
    Duration maxEjectionTime{300'000}; ///< Upper bound of the duration.
};

/** Ejection state of one worker. */
struct EjectionRecord {
    std::uint32_t failures = 0; ///< Consecutive failures.
    std::uint32_t ejectionCount = 0; ///< Ejections since the worker last passed probation.
    TimePoint ejectedUntil; ///< End of the current ejection.
    bool ejected = false;
    bool probation = false; ///< The next success ends the probation; the next failure ejects the worker again.
};

/** Ejection state of all workers of a service. */
struct EjectionState {
    EjectionSettings settings;
    std::unordered_map<WorkerName, EjectionRecord> workers; ///< Workers with a recent failure, an ejection or a probation.
    std::uint32_t workerCount = 0; ///< Number of workers of the service.
    std::uint32_t ejectedCount = 0; ///< Number of currently ejected workers.
};

/** Records the outcome of a request. @return The worker's updated record. */
EjectionRecord recordOutcome(EjectionState &state, const WorkerName &worker, bool succeeded, TimePoint now);

/** Ends ejections that have expired and puts their workers on probation. */
void ejectionTick(EjectionState &state, TimePoint now);

/**
 * Sets the number of workers of the service. At most a third of them may be ejected;
 * if more are, the ejections that expire first are ended early.
 */
void setWorkerCount(EjectionState &state, std::uint32_t workerCount, TimePoint now);

/** Removes the record of a worker that no longer offers the service. */
void removeWorker(EjectionState &state, const WorkerName &worker);

/** Thread-safe ejection for the request threads. Publishes the ejection state in the worker entries. */
class Ejection
{
public:
    explicit Ejection(const EjectionSettings &settings = {});

    /** Records the outcome of a request and updates the worker's entry. */
    void record(WorkerEntry &entry, bool succeeded, TimePoint now);

    /** Ends expired ejections and updates all entries of the service. Called by the control thread every second. */
    void tick(const std::vector<std::shared_ptr<WorkerEntry>> &entries, TimePoint now);

private:
    EjectionState state;
    std::mutex mutex; ///< Guards the state.
};

} // namespace Filbertlanding
