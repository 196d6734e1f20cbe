/** @file owner_lease_grantor.h The worker's side of the ownership lease: it grants the lease and chooses the daemon that it reports to. */

#pragma once

#include "membership/worker_type.h"

#include <cstdint>
#include <vector>

namespace Filbertlanding {

/** Settings of a worker. */
struct LeaseGrantorSettings {
    std::uint64_t incarnation = 0; ///< Higher after each restart of the worker, below 2^37.
    std::vector<DaemonEndpoint> daemons; ///< Daemons of the worker's zone, in the order in which they are tried.
    Duration reportInterval{1000}; ///< Interval until the first answer has set it.
    Duration ownerLease{5000}; ///< Longest ownership lease of the daemons; time without an answer until the next daemon is tried.
    /**
     * Time after the start without a report. An earlier process of this worker may have granted a lease just before it ended.
     * A worker that starts for the first time may set it to 0.
     */
    Duration startupReportDelay = withDrift(Duration{5000});
};

/** State of the worker's side. */
struct OwnerLeaseGrantor {
    LeaseGrantorSettings settings; ///< Settings.
    DaemonEndpoint target; ///< Daemon that the worker reports to.
    std::size_t nextDaemonIndex = 0; ///< Place in settings.daemons to try next.
    std::uint64_t ownerEpoch = 0; ///< Current owner epoch. Work with another epoch is refused.
    std::uint64_t acknowledged = 0; ///< Highest answer number under this epoch.
    std::uint64_t ownerIncarnation = 0; ///< Daemon process that sent it.
    std::uint64_t sequence = 0; ///< Number of the latest report.
    Duration reportInterval; ///< Time between two reports.
    Duration ownerLease; ///< Longest lease seen.
    TimePoint nextReportAt; ///< When the next report is due.
    TimePoint grantedUntil; ///< The owner may hold a lease until this time, drift included.
};

/** What the worker has to do now. */
struct LeaseGrantorAction {
    bool report = false; ///< Send a report to the target, with the holder's epoch and acknowledged number.
    bool ownerChanged = false; ///< The owner epoch has increased; what is in flight now belongs to an earlier epoch.
};

/** Makes the state of a worker that starts now. */
OwnerLeaseGrantor makeLeaseGrantor(const LeaseGrantorSettings &settings, TimePoint now);

/** Says whether a report is due, and changes the owner when the lease has ended without an answer. */
LeaseGrantorAction leaseGrantorTick(OwnerLeaseGrantor &grantor, TimePoint now);

/**
 * Takes an answer. An answer of an earlier epoch is ignored.
 * @return Whether the answer belongs to the current owner, so that its commands are to be carried out.
 */
bool leaseGrantorAnswer(OwnerLeaseGrantor &grantor, const ReportAnswer &answer, TimePoint now);

/** Fills in the report's incarnation, sequence number, epoch and acknowledged answer. */
void fillReport(OwnerLeaseGrantor &grantor, WorkerReport &report);

/** Returns whether work that carries this owner epoch is accepted: the current one, while its owner may hold a lease. */
bool acceptsOwnerEpoch(const OwnerLeaseGrantor &grantor, std::uint64_t ownerEpoch, TimePoint now);

} // namespace Filbertlanding
