/** @file fleet_names.h Names of the fleet's enumerators in logs and responses. */

#pragma once

#include "core/name_table.h"
#include "fleet/fleet_type.h"

namespace Filbertlanding {

constexpr auto JobFailureNames =
    makeNameTable<JobFailure>({{JobFailure::None, "none"}, {JobFailure::AttemptsUsedUp, "attempts_used_up"}, {JobFailure::CrashesWorkers, "crashes_workers"}});

} // namespace Filbertlanding
