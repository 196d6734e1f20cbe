/** @file shard_capacity.h Room for batch tasks on the daemons' workers, for the assigner and the drain plan. */

#pragma once

#include "catalog/assign_type.h"
#include "catalog/catalog_base.h"

namespace Filbertlanding {

/** Room of one daemon during one round. */
struct ShardCapacity {
    const ShardLoad *load = nullptr; ///< Its load summary.
    Resources usable; ///< Room for urgent tasks.
    Resources reserved; ///< Part of it that only urgent tasks may use.
};

/** Returns the product of an amount and a number of tasks. */
Resources multiply(const Resources &amount, std::int64_t count);

/** Returns the need of the tasks of an assignment that have not finished. */
Resources remainingDemand(const JobRecord &job, const JobAssignment &assignment);

/**
 * Returns the rooms of all daemons that may get tasks: alive, with a running lease, and not in a drained zone.
 * Assignments that a load summary does not know yet are subtracted; otherwise two rounds would fill the same room twice.
 */
std::vector<ShardCapacity> availableCapacities(const Catalog &catalog, const std::vector<ShardLoad> &shards, std::int64_t reservedPercent);

/** Returns how many tasks of a size a daemon can take; 0 when no worker has room for one. */
std::int64_t tasksThatFit(const ShardCapacity &capacity, const Resources &size, bool urgent);

/** Returns the daemon that can take most tasks of a size, or nullptr; the first by order among equals. */
ShardCapacity *findShardWithMostCapacity(std::vector<ShardCapacity> &capacities, const Resources &size, bool urgent);

/** Takes room away. */
void reserveCapacity(ShardCapacity &capacity, const Resources &amount);

/** Returns why no announced worker could hold a task, naming the resource; empty when one could or none is announced. */
std::string describeUnplaceable(const std::vector<ShardLoad> &shards, const Resources &size);

} // namespace Filbertlanding
