/** @file worker_registry_func.h Handles worker reports, ownership leases and the life cycle of workers. */

#pragma once

#include "membership/worker_registry_base.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/** Makes an empty registry. */
WorkerRegistry makeWorkerRegistry(const RegistrySettings &settings);

/**
 * Handles a report and makes the answer, without commands; the job shard fills those in.
 * The time must be read before the answer is sent, since the lease is counted from it (design 4.3).
 * The routing entries must be updated before the answer is sent, since an answer that names another owner gives the worker up.
 * @return Ok with a number, NotOwner with the daemon to report to, or StaleOwner for an old owner epoch.
 */
ReportAnswer handleReport(WorkerRegistry &registry, const WorkerReport &report, TimePoint now);

/** Ends leases that are over, marks overdue workers, ends quarantines and drops workers that are gone for long. */
void registryTick(WorkerRegistry &registry, TimePoint now);

/** Returns whether this daemon holds the ownership lease of a worker at this time. */
bool ownsWorker(const WorkerRegistry &registry, const WorkerName &worker, TimePoint now);

/** Returns whether an owned worker may get new work at this time: healthy, or quarantined for requests only. */
bool takesRequests(const WorkerRecord &record, TimePoint now);

/** Returns how many batch tasks a worker may run at this time; 0 unless it is owned and healthy. */
std::uint32_t allowedBatchTasks(const WorkerRecord &record, TimePoint now);

/** Returns the record of a worker, or nullptr. */
const WorkerRecord *findWorker(const WorkerRegistry &registry, const WorkerName &worker);

/** Replaces the set of daemons that are alive and not stopping. This daemon is added if it is missing. */
void setLiveDaemons(WorkerRegistry &registry, std::vector<DaemonEndpoint> daemons);

/** Replaces the set of workers that operators have set to leaving. Takes effect at once. */
void setLeavingWorkers(WorkerRegistry &registry, std::set<WorkerName> workers);

/** Sets the number of batch tasks that this daemon has on a worker. While it has some, the worker is handed over only for a planned stop. */
void setBatchTasks(WorkerRegistry &registry, const WorkerName &worker, std::uint32_t count);

/** Starts the hand-over of all workers, for a planned stop. Each worker is handed over in the answer to its next report. */
void startHandOver(WorkerRegistry &registry);

/** Records the end of a batch task on a worker; may quarantine it, but never more than a third of the workers, at least one. */
void recordWorkerOutcome(WorkerRegistry &registry, const WorkerName &worker, const JobId &job, bool succeeded, TimePoint now);

/** Returns the changes of state since the last call. */
std::vector<WorkerChange> takeChanges(WorkerRegistry &registry);

/**
 * Returns the preferred owner of a worker: the highest rendezvous hash among the daemons of its zone, or among all if the zone has none.
 * @param exclude Daemon that is left out, or empty.
 */
std::optional<DaemonEndpoint>
preferredOwner(const std::vector<DaemonEndpoint> &daemons, const WorkerName &worker, const ZoneName &zone, std::string_view exclude = {});

} // namespace Filbertlanding
