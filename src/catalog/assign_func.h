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

} // namespace Filbertlanding
