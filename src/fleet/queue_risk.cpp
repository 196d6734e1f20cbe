/** @file queue_risk.cpp Queues whose tasks have recently crashed workers. */

#include "fleet/queue_risk.h"

namespace Filbertlanding {

namespace {

    constexpr unsigned MinCrashes = 2; ///< A single crash just after a start is often a coincidence.
    constexpr Duration Memory{15'000}; ///< Time without a further crash after which the earlier ones no longer count.
    constexpr Duration SameTime{20}; ///< Crashes closer than this count once.

} // namespace

void addQueueCrash(QueueRisks &risks, const QueueKey &queue, TimePoint now)
{
    QueueRisk &risk = risks[queue];
    if (risk.crashes > 0 && now - risk.lastAt < SameTime) {
        return;
    }
    risk.crashes = now - risk.lastAt < Memory ? risk.crashes + 1 : 1;
    risk.lastAt = now;
}

bool isAtRisk(const QueueRisks &risks, const QueueKey &queue, TimePoint now)
{
    const auto found = risks.find(queue);
    return found != risks.end() && found->second.crashes >= MinCrashes && now - found->second.lastAt < Memory;
}

} // namespace Filbertlanding
