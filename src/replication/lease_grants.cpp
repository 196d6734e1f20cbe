/** @file lease_grants.cpp Running leases as the Raft leader grants them. */

#include "replication/lease_grants.h"

#include <algorithm>

namespace Filbertlanding {

LeaseGrants startLeaseGrants(TimePoint termStart, Duration lease)
{
    LeaseGrants grants;
    grants.lease = lease;
    grants.termStart = termStart;
    return grants;
}

void grantLease(LeaseGrants &grants, const DaemonName &daemon, TimePoint now)
{
    TimePoint &last = grants.granted.try_emplace(daemon, now).first->second;
    last = std::max(last, now);
}

bool mayReassign(const LeaseGrants &grants, const DaemonName &daemon, TimePoint now)
{
    const auto found = grants.granted.find(daemon);
    const TimePoint last = found == grants.granted.end() ? grants.termStart : std::max(grants.termStart, found->second);
    return now > last + withDrift(grants.lease);
}

} // namespace Filbertlanding
