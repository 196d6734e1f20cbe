/** @file lease_view.cpp Freshness and running leases as the daemon that requests them sees them. */

#include "replication/lease_view.h"

namespace Filbertlanding {

namespace {

    bool isWithin(const LeaseView &view, Duration lease, std::uint64_t appliedIndex, TimePoint now)
    {
        return view.leaseStart && now < *view.leaseStart + lease && appliedIndex >= view.requiredIndex;
    }

} // namespace

std::uint64_t startProbe(LeaseView &view, TimePoint now)
{
    // An answer that is older than the running lease renews nothing.
    std::erase_if(view.probes, [&view, now](const auto &probe) {
        return now - probe.second >= view.runningLease;
    });
    ++view.lastProbe;
    view.probes[view.lastProbe] = now;
    return view.lastProbe;
}

void probeAnswered(LeaseView &view, std::uint64_t probe, std::uint64_t commitIndex)
{
    const auto found = view.probes.find(probe);
    if (found == view.probes.end()) {
        return;
    }
    view.leaseStart = found->second;
    view.requiredIndex = std::max(view.requiredIndex, commitIndex);
    // Answers to older probes would only shorten the lease.
    view.probes.erase(view.probes.begin(), std::next(found));
}

bool isFresh(const LeaseView &view, std::uint64_t appliedIndex, TimePoint now)
{
    return isWithin(view, view.freshnessLease, appliedIndex, now);
}

bool isRunning(const LeaseView &view, std::uint64_t appliedIndex, TimePoint now)
{
    return isWithin(view, view.runningLease, appliedIndex, now);
}

TimePoint runningLeaseEnd(const LeaseView &view)
{
    return view.leaseStart ? *view.leaseStart + view.runningLease : TimePoint{};
}

} // namespace Filbertlanding
