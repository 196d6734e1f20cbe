/** @file owner_lease_grantor.h The worker's side of the ownership lease. The worker grants the lease and selects the daemon that it reports to. */

#pragma once

#include "membership/worker_type.h"

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Configuration of a worker's lease grantor. */
struct LeaseGrantorSettings {
    std::uint64_t incarnation = 0; ///< Increases with each restart of the worker; must be below 2^37.
    std::vector<DaemonEndpoint> daemons; ///< Daemons of the worker's availability zone, in the order in which they are tried.
    Duration reportInterval{1000}; ///< Report interval until the first answer sets it.
    Duration ownerLease{5000}; ///< Initial upper bound of the ownership lease; answers can raise it.
    /**
     * Delay between the start of the process and its first report. An earlier process of this worker may have granted a lease
     * just before it ended. A worker that starts for the first time may set it to 0.
     */
    Duration startupReportDelay = withDrift(Duration{5000});
};

/** State of the worker's side of the ownership lease. */
struct OwnerLeaseGrantor {
    LeaseGrantorSettings settings;
    DaemonEndpoint target; ///< Daemon that the worker reports to.
    std::size_t nextDaemonIndex = 0; ///< Index in settings.daemons of the daemon to try next, modulo the size.
    std::uint64_t ownerEpoch = 0; ///< Current owner epoch. Work with another epoch is refused.
    std::uint64_t acknowledged = 0; ///< Highest answer number received under this epoch.
    std::uint64_t ownerIncarnation = 0; ///< Incarnation of the daemon process that sent that answer.
    std::uint64_t sequence = 0; ///< Sequence number of the latest report.
    Duration reportInterval; ///< Time between two reports.
    Duration ownerLease; ///< Longest ownership lease in any answer.
    TimePoint nextReportAt; ///< When the next report is due.
    TimePoint grantedUntil; ///< The owner may hold a lease until this time, including clock drift.
};

/** Actions that the worker has to take. */
struct LeaseGrantorAction {
    bool report = false; ///< Send a report to the target, completed by fillReport().
    bool ownerChanged = false; ///< The owner epoch has increased; requests in flight now belong to an earlier epoch.
};

/** Creates the state of a worker that starts now. */
OwnerLeaseGrantor makeLeaseGrantor(const LeaseGrantorSettings &settings, TimePoint now);

/** Returns whether a report is due. Changes the owner if the granted lease has ended without a new answer. */
LeaseGrantorAction leaseGrantorTick(OwnerLeaseGrantor &grantor, TimePoint now);

/**
 * Handles an answer to a report. An answer of an earlier epoch is ignored.
 * @return Whether the answer is from the current owner, so that its commands are to be executed.
 */
bool leaseGrantorAnswer(OwnerLeaseGrantor &grantor, const ReportAnswer &answer, TimePoint now);

/** Sets the incarnation, sequence number, owner epoch and acknowledged answer of a report. */
void fillReport(OwnerLeaseGrantor &grantor, WorkerReport &report);

/** Returns whether to accept work with this owner epoch: it must be the current epoch, and its owner may still hold a lease. */
bool acceptsOwnerEpoch(const OwnerLeaseGrantor &grantor, std::uint64_t ownerEpoch, TimePoint now);

} // namespace Filbertlanding
