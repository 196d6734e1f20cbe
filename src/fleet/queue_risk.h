/**
 * @file queue_risk.h Queues whose tasks have recently crashed workers just after they had started.
 *
 * A task that crashes its worker is only found after some crashes, and the first one hits whatever runs beside it. Where one caller has submitted such
 * tasks, more are likely to follow from the same queue. While that lasts, its tasks share a few workers among themselves. This only changes which
 * workers are preferred, so little is lost if the suspicion is wrong.
 */

#pragma once

#include "core/clock_type.h"

#include <map>
#include <string>
#include <utility>

namespace Filbertlanding {

/** Host and path prefix of a queue. */
using QueueKey = std::pair<std::string, std::string>;

/** Crashes of workers just after a task of a queue had started. */
struct QueueRisk {
    unsigned crashes = 0;
    TimePoint lastAt;
};

using QueueRisks = std::map<QueueKey, QueueRisk>;

/** Counts the crash of a worker just after a task of a queue had started. Crashes at the same time count once, since they may have a common cause. */
void addQueueCrash(QueueRisks &risks, const QueueKey &queue, TimePoint now);

/** Returns whether the tasks of a queue should be kept away from those of others. */
bool isAtRisk(const QueueRisks &risks, const QueueKey &queue, TimePoint now);

} // namespace Filbertlanding
