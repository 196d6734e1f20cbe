/** @file replica_health.cpp Names of the conditions of a replica. */

#include "runtime/replica_health.h"

#include "core/name_table.h"

namespace Filbertlanding {

namespace {

    constexpr auto ConditionNames = makeNameTable<ReplicaCondition>({
        {ReplicaCondition::Opening, "opening"},
        {ReplicaCondition::Running, "running"},
        {ReplicaCondition::Silent, "silent"},
        {ReplicaCondition::Failed, "failed"},
    });

} // namespace

std::string_view replicaConditionName(ReplicaCondition condition)
{
    return ConditionNames.nameOf(condition);
}

} // namespace Filbertlanding
