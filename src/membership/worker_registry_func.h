/** @file worker_registry_func.h Worker reports, ownership leases and the life cycle of workers. */

#pragma once

#include "membership/worker_registry_base.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/** Creates an empty registry. */
WorkerRegistry makeWorkerRegistry(const RegistrySettings &settings);

/**
 * Handles a report and creates the answer. The job shard adds the commands for tasks.
 * `now` must be read before the answer is sent, since the lease starts at that time (design 4.3).
 * The routing entries must be updated before the answer is sent, since an answer that redirects the worker releases it.
 * @return Ok with a number, NotOwner with the daemon to report to, or StaleOwner for an old owner epoch.
 */
ReportAnswer handleReport(WorkerRegistry &registry, const WorkerReport &report, TimePoint now);

/** Ends expired leases and quarantines, marks workers with overdue reports as suspect, and removes records of workers that are gone. */
void registryTick(WorkerRegistry &registry, TimePoint now);

/** Returns whether this daemon holds the ownership lease of a worker at the given time. */
bool ownsWorker(const WorkerRegistry &registry, const WorkerName &worker, TimePoint now);

/** Returns whether a worker may get new requests at the given time: it must be owned, and healthy or quarantined. */
bool takesRequests(const WorkerRecord &record, TimePoint now);

/** Returns how many batch tasks a worker may run at the given time; 0 unless it is owned and healthy. */
std::uint32_t allowedBatchTasks(const WorkerRecord &record, TimePoint now);

/** Returns the record of a worker, or nullptr. */
const WorkerRecord *findWorker(const WorkerRegistry &registry, const WorkerName &worker);

/** Replaces the set of daemons that are alive and not shutting down. This daemon is added if it is missing. */
void setLiveDaemons(WorkerRegistry &registry, std::vector<DaemonEndpoint> daemons);

/** Replaces the set of workers that operators have set to leaving. Takes effect immediately. */
void setLeavingWorkers(WorkerRegistry &registry, std::set<WorkerName> workers);

/** Sets the number of batch tasks of this daemon on a worker. A worker with batch tasks is handed over only for a planned stop of the daemon. */
void setBatchTasks(WorkerRegistry &registry, const WorkerName &worker, std::uint32_t count);

/** Starts the handover of all workers, for a planned stop. Each worker is handed over in the answer to its next report. */
void startHandOver(WorkerRegistry &registry);

/** Records the end of a batch task on a worker and may quarantine the worker. At most a third of the workers are quarantined, but one is always allowed. */
void recordWorkerOutcome(WorkerRegistry &registry, const WorkerName &worker, const JobId &job, bool succeeded, TimePoint now);

/** Returns and clears the state changes since the last call. */
std::vector<WorkerChange> takeChanges(WorkerRegistry &registry);

/**
 * Returns the preferred owner of a worker: the daemon of its zone with the highest rendezvous hash, or of all zones if its zone has no daemon.
 * @param exclude Name of a daemon to skip, or empty.
 */
std::optional<DaemonEndpoint>
preferredOwner(const std::vector<DaemonEndpoint> &daemons, const WorkerName &worker, const ZoneName &zone, std::string_view exclude = {});

} // namespace Filbertlanding
