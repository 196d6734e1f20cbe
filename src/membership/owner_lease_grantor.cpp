/** @file owner_lease_grantor.cpp The worker's side of the ownership lease. */

#include "membership/owner_lease_grantor.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr int EpochBitsPerIncarnation = 16; ///< Number of low bits, so that epochs of a later incarnation are higher than those of earlier ones.
    constexpr std::int64_t UnansweredReportLimit = 2; ///< Number of report intervals after which a daemon that has never answered is replaced.

    /** Starts the next owner epoch with a daemon. The lease of the earlier owner must have ended. */
    void startOwnerEpoch(OwnerLeaseGrantor &grantor, const DaemonEndpoint &target, TimePoint now)
    {
        grantor.target = target;
        ++grantor.ownerEpoch;
        grantor.acknowledged = 0;
        grantor.ownerIncarnation = 0;
        grantor.nextReportAt = now;
        // No lease has been granted yet, so the next daemon may be tried without waiting for a full lease.
        grantor.grantedUntil = now + grantor.reportInterval * UnansweredReportLimit;
    }

    /** Returns the next daemon in the list that is not the current one, or the current one if there is no other. */
    DaemonEndpoint selectNextDaemon(OwnerLeaseGrantor &grantor)
    {
        const auto &daemons = grantor.settings.daemons;
        if (daemons.empty()) {
            return grantor.target;
        }
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const DaemonEndpoint &next = daemons[grantor.nextDaemonIndex % daemons.size()];
            ++grantor.nextDaemonIndex;
            const bool isCurrent = next.address == grantor.target.address && next.port == grantor.target.port;
            if (!isCurrent) {
                return next;
            }
        }
        return grantor.target;
    }

    /** Returns the daemon to which an answer redirects. Its name is empty if it is not in the list. */
    DaemonEndpoint findNamedDaemon(const OwnerLeaseGrantor &grantor, const ReportAnswer &answer)
    {
        for (const DaemonEndpoint &daemon : grantor.settings.daemons) {
            if (daemon.address == answer.ownerAddress && daemon.port == answer.ownerPort) {
                return daemon;
            }
        }
        return {.name = {}, .availabilityZone = grantor.target.availabilityZone, .address = answer.ownerAddress, .port = answer.ownerPort};
    }

} // namespace

OwnerLeaseGrantor makeLeaseGrantor(const LeaseGrantorSettings &settings, TimePoint now)
{
    OwnerLeaseGrantor grantor;
    grantor.settings = settings;
    grantor.reportInterval = settings.reportInterval;
    grantor.ownerLease = settings.ownerLease;
    grantor.ownerEpoch = settings.incarnation << EpochBitsPerIncarnation;
    const TimePoint firstReportAt = now + settings.startupReportDelay;
    startOwnerEpoch(grantor, selectNextDaemon(grantor), firstReportAt);
    return grantor;
}

LeaseGrantorAction leaseGrantorTick(OwnerLeaseGrantor &grantor, TimePoint now)
{
    LeaseGrantorAction action;
    if (now >= grantor.grantedUntil) {
        startOwnerEpoch(grantor, selectNextDaemon(grantor), now);
        action.ownerChanged = true;
    }
    if (now >= grantor.nextReportAt) {
        grantor.nextReportAt = now + grantor.reportInterval;
        action.report = true;
    }
    return action;
}

bool leaseGrantorAnswer(OwnerLeaseGrantor &grantor, const ReportAnswer &answer, TimePoint now)
{
    if (answer.ownerEpoch != grantor.ownerEpoch) {
        return false;
    }
    if (answer.code == ResultCode::NotOwner) {
        // The daemon released this epoch permanently before it answered, so there is no need to wait for the end of the lease.
        startOwnerEpoch(grantor, findNamedDaemon(grantor, answer), now);
        return false;
    }
    if (answer.code != ResultCode::Ok || answer.number == 0) {
        return false;
    }
    const bool otherProcess = grantor.acknowledged != 0 && grantor.ownerIncarnation != answer.ownerIncarnation;
    if (otherProcess) {
        // A restarted daemon does not know which requests its earlier process sent. A new epoch counts them as work of an earlier owner.
        startOwnerEpoch(grantor, grantor.target, now);
        return false;
    }
    grantor.acknowledged = std::max(grantor.acknowledged, answer.number);
    grantor.ownerIncarnation = answer.ownerIncarnation;
    grantor.ownerLease = std::max(grantor.ownerLease, answer.ownerLease);
    grantor.grantedUntil = std::max(grantor.grantedUntil, now + withDrift(answer.ownerLease));
    if (answer.reportInterval.ms > 0) {
        grantor.reportInterval = answer.reportInterval;
        grantor.nextReportAt = std::min(grantor.nextReportAt, now + answer.reportInterval);
    }
    return true;
}

void fillReport(OwnerLeaseGrantor &grantor, WorkerReport &report)
{
    ++grantor.sequence;
    report.incarnation = grantor.settings.incarnation;
    report.sequence = grantor.sequence;
    report.ownerEpoch = grantor.ownerEpoch;
    report.acknowledged = grantor.acknowledged;
    report.ownerIncarnation = grantor.ownerIncarnation;
}

bool acceptsOwnerEpoch(const OwnerLeaseGrantor &grantor, std::uint64_t ownerEpoch, TimePoint now)
{
    return ownerEpoch == grantor.ownerEpoch && now < grantor.grantedUntil;
}

} // namespace Filbertlanding
