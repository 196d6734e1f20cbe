/** @file assign_func.h The leader's choice of daemons for batch jobs. */

#pragma once

#include "catalog/assign_type.h"
#include "catalog/catalog_base.h"

namespace Filbertlanding {

/**
 * Proposes assignments. The leader applies one round before it asks for the next one. Urgent jobs go first, then teams by fair share within their quotas.
 * @return Commands to propose in this order: evictions of jobs whose daemon lost its running lease, failures of jobs
 *         that fit no worker, and assignments.
 */
std::vector<LogCommand> assignJobs(const Catalog &catalog, const AssignInput &input);

/**
 * Chooses the running jobs of drained zones to evict now, under the eviction budget of each service and the spare
 * capacity of the other zones. After the drain limit of a zone all its remaining jobs are forced out.
 */
std::vector<DrainOrder> planDrain(const Catalog &catalog, const DrainInput &input);

} // namespace Filbertlanding
