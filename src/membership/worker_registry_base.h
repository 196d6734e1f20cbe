/** @file worker_registry_base.h A daemon's record of the workers that report to it. */

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

/** Settings of a daemon's worker registry. */
struct RegistrySettings {
    DaemonEndpoint self; ///< This daemon.
    std::uint64_t incarnation = 0; ///< Different for each start of the daemon process.
    Duration reportInterval{1000}; ///< Time between two reports of a worker; 5 s at 2,400 workers.
    Duration ownerLease{5000}; ///< Length of the ownership lease; the daemon raises it to three report intervals.
    Duration taskLease{6000}; ///< Length of the task leases.
    Duration handOverAfter{30'000}; ///< Time that a worker is kept before it is handed to its preferred owner.
    Duration maxHandOverDelay{600'000}; ///< Bound of handOverAfter, which doubles each time that a worker comes straight back.
    Duration goneRecordRetention{60'000}; ///< A gone worker's record is dropped after this time.
    QuarantineSettings quarantine; ///< Limits of the quarantine.
};

/** An answer that has been sent and may still be acknowledged. */
struct SentAnswer {
    std::uint64_t number = 0; ///< Number of the answer; 0 for an unused place.
    TimePoint sentAt; ///< When it was sent.
    Duration lease; ///< Lease that it granted.
};

/** Number of answers that are remembered for each worker. An older answer that is acknowledged grants nothing. */
constexpr std::size_t SentAnswerCapacity = 8;

/** One worker. */
struct WorkerRecord {
    WorkerReport lastReport; ///< The latest report, without tasks.
    WorkerLifeCycle lifeCycle; ///< Its state.
    WorkerHealth health; ///< Quarantine.
    TimePoint lastReportAt; ///< When the latest report came.
    TimePoint acquiredAt; ///< When the current owner epoch was first seen.
    TimePoint leaseEnd; ///< The daemon owns the worker before this time.
    TimePoint handedOverAt; ///< When it was last handed to another daemon.
    Duration handOverDelay; ///< Current delay before a hand-over.
    std::uint64_t releasedEpoch = 0; ///< Owner epochs up to this one are given up and never owned again.
    std::array<SentAnswer, SentAnswerCapacity> sent; ///< The latest answers under the current owner epoch.
    std::size_t nextSent = 0; ///< Place in sent that is used next.
    std::uint32_t batchTasks = 0; ///< Batch tasks that this daemon has on the worker.
    bool owned = false; ///< A lease has been acknowledged under the current owner epoch.
    bool leavingByIntent = false; ///< Operators have set the worker to leaving.
};

/** A change of a worker's state, for log lines and the routing table. */
struct WorkerChange {
    WorkerName worker; ///< The worker.
    WorkerState before = WorkerState::Announced; ///< State before.
    WorkerState after = WorkerState::Announced; ///< State after.
};

/** The registry. Functions are in worker_registry_func.h. */
struct WorkerRegistry {
    RegistrySettings settings; ///< Settings.
    std::unordered_map<WorkerName, WorkerRecord> workers; ///< Workers that report or have reported here.
    std::vector<DaemonEndpoint> liveDaemons; ///< Daemons that are alive and not stopping, with this one.
    std::set<WorkerName> leavingByIntent; ///< Workers that operators have set to leaving.
    std::uint64_t lastNumber = 0; ///< Number of the latest answer to any worker.
    std::uint32_t quarantined = 0; ///< Workers in quarantine.
    bool stopping = false; ///< The daemon hands over all workers.
    std::vector<WorkerChange> changes; ///< Changes since takeChanges.
};

} // namespace Filbertlanding
