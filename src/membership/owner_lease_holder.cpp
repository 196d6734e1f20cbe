/** @file owner_lease_holder.cpp The worker's side of the ownership lease. */

#include "membership/owner_lease_holder.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr int EpochBitsPerIncarnation = 16; ///< Owner epochs of a later incarnation are higher than all of an earlier one.
    constexpr std::int64_t ReportsWithoutAnswer = 2; ///< A daemon that has never answered is left after this many report intervals.

    /** Starts the next owner epoch with a daemon. The caller has made sure that the earlier owner's lease is over. */
    void startEpoch(OwnerLeaseHolder &holder, const DaemonEndpoint &target, TimePoint now)
    {
        holder.target = target;
        ++holder.ownerEpoch;
        holder.acknowledged = 0;
        holder.ownerIncarnation = 0;
        holder.nextReportAt = now;
        // Nothing is granted yet, so the next daemon may be tried without waiting for a whole lease.
        holder.grantedUntil = now + holder.reportInterval * ReportsWithoutAnswer;
    }

    /** Returns the daemon of the list after the current one. */
    DaemonEndpoint takeNextDaemon(OwnerLeaseHolder &holder)
    {
        const auto &daemons = holder.settings.daemons;
        if (daemons.empty()) {
            return holder.target;
        }
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            const DaemonEndpoint &next = daemons[holder.nextDaemon % daemons.size()];
            ++holder.nextDaemon;
            const bool isCurrent = next.address == holder.target.address && next.port == holder.target.port;
            if (!isCurrent) {
                return next;
            }
        }
        return holder.target;
    }

    /** Returns the daemon that an answer names, with its name if it is in the list. */
    DaemonEndpoint namedDaemon(const OwnerLeaseHolder &holder, const ReportAnswer &answer)
    {
        for (const DaemonEndpoint &daemon : holder.settings.daemons) {
            if (daemon.address == answer.ownerAddress && daemon.port == answer.ownerPort) {
                return daemon;
            }
        }
        return {.name = {}, .availabilityZone = holder.target.availabilityZone, .address = answer.ownerAddress, .port = answer.ownerPort};
    }

} // namespace

OwnerLeaseHolder makeLeaseHolder(const LeaseHolderSettings &settings, TimePoint now)
{
    OwnerLeaseHolder holder;
    holder.settings = settings;
    holder.reportInterval = settings.reportInterval;
    holder.ownerLease = settings.ownerLease;
    holder.ownerEpoch = settings.incarnation << EpochBitsPerIncarnation;
    const TimePoint firstReportAt = now + settings.quietAfterStart;
    startEpoch(holder, takeNextDaemon(holder), firstReportAt);
    return holder;
}

LeaseHolderAction leaseHolderTick(OwnerLeaseHolder &holder, TimePoint now)
{
    LeaseHolderAction action;
    if (now >= holder.grantedUntil) {
        startEpoch(holder, takeNextDaemon(holder), now);
        action.ownerChanged = true;
    }
    if (now >= holder.nextReportAt) {
        holder.nextReportAt = now + holder.reportInterval;
        action.report = true;
    }
    return action;
}

bool leaseHolderAnswer(OwnerLeaseHolder &holder, const ReportAnswer &answer, TimePoint now)
{
    if (answer.ownerEpoch != holder.ownerEpoch) {
        return false;
    }
    if (answer.code == ResultCode::NotOwner) {
        // The daemon has given up this epoch for good before it answered, so the worker need not wait for the lease to end.
        startEpoch(holder, namedDaemon(holder, answer), now);
        return false;
    }
    if (answer.code != ResultCode::Ok || answer.number == 0) {
        return false;
    }
    const bool otherProcess = holder.acknowledged != 0 && holder.ownerIncarnation != answer.ownerIncarnation;
    if (otherProcess) {
        // A daemon that restarted does not know what its earlier process sent; a new epoch makes this count as earlier work.
        startEpoch(holder, holder.target, now);
        return false;
    }
    holder.acknowledged = std::max(holder.acknowledged, answer.number);
    holder.ownerIncarnation = answer.ownerIncarnation;
    holder.ownerLease = std::max(holder.ownerLease, answer.ownerLease);
    holder.grantedUntil = std::max(holder.grantedUntil, now + withDrift(answer.ownerLease));
    if (answer.reportInterval.ms > 0) {
        holder.reportInterval = answer.reportInterval;
        holder.nextReportAt = std::min(holder.nextReportAt, now + answer.reportInterval);
    }
    return true;
}

void fillReport(OwnerLeaseHolder &holder, WorkerReport &report)
{
    ++holder.sequence;
    report.incarnation = holder.settings.incarnation;
    report.sequence = holder.sequence;
    report.ownerEpoch = holder.ownerEpoch;
    report.acknowledged = holder.acknowledged;
    report.ownerIncarnation = holder.ownerIncarnation;
}

bool acceptsOwnerEpoch(const OwnerLeaseHolder &holder, std::uint64_t ownerEpoch, TimePoint now)
{
    return ownerEpoch == holder.ownerEpoch && now < holder.grantedUntil;
}

} // namespace Filbertlanding
