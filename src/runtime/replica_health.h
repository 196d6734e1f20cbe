/** @file replica_health.h Whether a replica takes part in replication, for logs, metrics and readiness. */

#pragma once

#include "core/clock_type.h"
#include "core/result_code.h"

#include <cstdint>
#include <string_view>

namespace Filbertlanding {

/** Whether a replica takes part. */
enum class ReplicaCondition : std::uint8_t {
    Opening, ///< The data folder has not been opened since the process started.
    Running, ///< The replica takes part.
    Silent, ///< The replication thread does not answer, for example because a sync hangs.
    Failed, ///< The replica was stopped after an error, and its data folder is to be opened again.
};

/** Returns the last enumerator, for name tables. */
constexpr ReplicaCondition lastEnumerator(ReplicaCondition)
{
    return ReplicaCondition::Failed;
}

/** Returns the name of a condition as it stands in logs and metrics. */
std::string_view replicaConditionName(ReplicaCondition condition);

/** Condition of a replica, with the reason. */
struct ReplicaHealth {
    ReplicaCondition condition = ReplicaCondition::Opening;
    ResultCode code = ResultCode::Ok; ///< Why the replica does not run: the last error of its data folder, or why it was stopped; Ok if there was none.
    TimePoint since; ///< Since when the condition holds; for Silent, when the thread last answered.

    bool operator==(const ReplicaHealth &) const = default;
};

} // namespace Filbertlanding
