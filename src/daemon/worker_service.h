/** @file worker_service.h Reports of workers. All functions run on the control thread. */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

/** Handles a report and returns the answer with the commands for its tasks. */
ReportAnswer serveReport(Daemon &daemon, const WorkerReport &report);

/** Lets time pass: leases, life cycles, and batch jobs. */
void workerTick(Daemon &daemon, TimePoint now);

/** Carries out what the shard of batch jobs wants: proposals, log lines, quarantine, early reports. */
void carryOutShard(Daemon &daemon, TimePoint now);

} // namespace Filbertlanding
