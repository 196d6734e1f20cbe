/** @file worker_registry_base.h Registry of the workers that report to a daemon. */

#pragma once

#include "membership/worker_health.h"
#include "membership/worker_life_cycle.h"
#include "membership/worker_type.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Filbertlanding {

/** Configuration of a worker registry. */
struct RegistrySettings {
    DaemonEndpoint self; ///< This daemon.
    std::uint64_t incarnation = 0; ///< Incarnation of the daemon process; different for each start.
    Duration reportInterval{1000}; ///< Time between two reports of a worker; 5 s with 2,400 workers.
    Duration ownerLease{5000}; ///< Duration of the ownership lease; raised to at least three report intervals.
    Duration taskLease{6000}; ///< Duration of the task leases.
    Duration handOverAfter{30'000}; ///< Time after which a worker is handed over to its preferred owner.
    Duration maxHandOverDelay{600'000}; ///< Upper bound of the delay, which doubles each time a worker returns immediately after a handover.
    Duration goneRecordRetention{60'000}; ///< Time after the last report when the record of a gone worker is removed.
    QuarantineSettings quarantine;
};

/** An answer that has been sent and may still be acknowledged. */
struct SentAnswer {
    std::uint64_t number = 0; ///< Number of the answer; 0 if the entry is unused.
    TimePoint sentAt;
    Duration lease; ///< Duration of the lease that takes effect with the acknowledgement.
};

/** Number of sent answers kept for each worker. The acknowledgement of an older answer grants no lease. */
constexpr std::size_t SentAnswerCapacity = 8;

/** Record of one worker. */
struct WorkerRecord {
    WorkerReport lastReport; ///< Latest report, without tasks.
    WorkerLifeCycle lifeCycle;
    WorkerHealth health;
    TimePoint lastReportAt; ///< When the latest report was received.
    TimePoint acquiredAt; ///< When the current owner epoch was first seen.
    TimePoint leaseEnd; ///< End of the ownership lease.
    TimePoint handedOverAt; ///< When the worker was last handed over to another daemon.
    Duration handOverDelay; ///< Current delay before a handover.
    std::uint64_t releasedEpoch = 0; ///< Owner epochs up to this one have been released and are never owned again.
    std::array<SentAnswer, SentAnswerCapacity> sent; ///< Ring buffer of the latest answers under the current owner epoch.
    std::size_t nextSent = 0; ///< Index in sent of the entry to overwrite next.
    std::uint32_t batchTasks = 0; ///< Number of batch tasks of this daemon on the worker.
    bool owned = false; ///< A lease has been acknowledged under the current owner epoch.
    bool leavingByIntent = false; ///< Operators have set the worker to leaving.
};

/** State change of a worker, for log lines and the routing table. */
struct WorkerChange {
    WorkerName worker;
    WorkerState before = WorkerState::Announced;
    WorkerState after = WorkerState::Announced;
};

/** Worker registry of a daemon. Functions are in worker_registry_func.h. */
struct WorkerRegistry {
    RegistrySettings settings;
    std::unordered_map<WorkerName, WorkerRecord> workers; ///< Workers that report or have recently reported to this daemon.
    std::vector<DaemonEndpoint> liveDaemons; ///< Daemons that are alive and not shutting down, including this one.
    std::set<WorkerName> leavingByIntent; ///< Workers that operators have set to leaving.
    std::uint64_t lastNumber = 0; ///< Number of the latest answer to any worker.
    std::uint32_t quarantined = 0; ///< Number of workers in quarantine.
    bool stopping = false; ///< The daemon is shutting down and hands over all workers.
    std::vector<WorkerChange> changes; ///< Changes since the last call of takeChanges().
};

} // namespace Filbertlanding
