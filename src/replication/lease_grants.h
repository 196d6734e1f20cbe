/** @file lease_grants.h Running leases as the Raft leader grants them. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <map>

namespace Filbertlanding {

constexpr Duration FreshnessLease{3000}; ///< Time for which a daemon may start new batch tasks after a probe.
constexpr Duration RunningLease{30000}; ///< Time for which a daemon may renew the task leases of its jobs after a probe.

/** Grantor side of the running leases; kept by the leader for one term. */
struct LeaseGrants {
    Duration lease = RunningLease;
    TimePoint termStart; ///< Grants by earlier leaders are unknown, so every lease counts at least from here.
    std::map<DaemonName, TimePoint> granted; ///< Moment of the last answer to each daemon.
};

/** Starts the table of a new leader. */
LeaseGrants startLeaseGrants(TimePoint termStart, Duration lease = RunningLease);

/** Records a grant. Call it with the moment of the answer, after the quorum round and before the answer is sent. */
void grantLease(LeaseGrants &grants, const DaemonName &daemon, TimePoint now);

/** Returns whether every lease that the daemon could hold has ended, with the allowed clock drift. */
bool mayReassign(const LeaseGrants &grants, const DaemonName &daemon, TimePoint now);

} // namespace Filbertlanding
