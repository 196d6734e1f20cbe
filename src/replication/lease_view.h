/** @file lease_view.h Freshness and running leases as the daemon that requests them sees them. */

#pragma once

#include "replication/lease_grants.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Filbertlanding {

/** Requester side of the freshness and running leases. */
struct LeaseView {
    Duration freshnessLease = FreshnessLease;
    Duration runningLease = RunningLease;
    std::map<std::uint64_t, TimePoint> probes; ///< Probes without an answer and the moment before each was sent.
    std::uint64_t lastProbe = 0; ///< Number of the last probe.
    std::optional<TimePoint> leaseStart; ///< Moment before the newest answered probe was sent.
    std::uint64_t requiredIndex = 0; ///< Commit index named by the answer to that probe.
};

/** Starts a probe and returns its number. Call it before the probe is sent. */
std::uint64_t startProbe(LeaseView &view, TimePoint now);

/** Takes the answer to a probe; answers to unknown or older probes change nothing. */
void probeAnswered(LeaseView &view, std::uint64_t probe, std::uint64_t commitIndex);

/** Returns whether new batch tasks may start now. Check it at the moment of the action. */
bool isFresh(const LeaseView &view, std::uint64_t appliedIndex, TimePoint now);

/** Returns whether task leases may be renewed now. Check it at the moment of the action. */
bool isRunning(const LeaseView &view, std::uint64_t appliedIndex, TimePoint now);

/** Returns the end of the running lease on the own clock; task leases never go beyond it. */
TimePoint runningLeaseEnd(const LeaseView &view);

} // namespace Filbertlanding
