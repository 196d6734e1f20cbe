/** @file shard_capacity.cpp Room for batch tasks on the daemons' workers. */

#include "catalog/shard_capacity.h"

#include <algorithm>
#include <limits>

namespace Filbertlanding {

namespace {

    Resources scale(const Resources &amount, double factor)
    {
        const auto part = [factor](std::int64_t value) {
            return static_cast<std::int64_t>(static_cast<double>(value) * factor);
        };
        return {part(amount.cpuMillis), part(amount.memoryMb), part(amount.accelerators)};
    }

    std::int64_t divide(std::int64_t capacity, std::int64_t size)
    {
        return size <= 0 ? std::numeric_limits<std::int64_t>::max() : std::max<std::int64_t>(capacity, 0) / size;
    }

    std::string describeResource(const std::vector<ShardLoad> &shards, const Resources &size, std::int64_t Resources::*resource, const std::string &name)
    {
        std::int64_t largest = 0;
        for (const auto &shard : shards) {
            for (const auto &shape : shard.workerShapes) {
                largest = std::max(largest, shape.*resource);
            }
        }
        if (size.*resource <= largest) {
            return {};
        }
        return name + " does not fit: a task needs " + std::to_string(size.*resource) + ", the largest worker has " + std::to_string(largest);
    }

} // namespace

Resources multiply(const Resources &amount, std::int64_t count)
{
    return {amount.cpuMillis * count, amount.memoryMb * count, amount.accelerators * count};
}

Resources remainingDemand(const JobRecord &job, const JobAssignment &assignment)
{
    TaskRanges rest{assignment.tasks};
    for (const auto &range : job.finished) {
        removeRange(rest, range);
    }
    return multiply(job.spec.size, static_cast<std::int64_t>(countTasks(rest)));
}

std::vector<ShardCapacity> availableCapacities(const Catalog &catalog, const std::vector<ShardLoad> &shards, std::int64_t reservedPercent)
{
    const auto &configuration = catalog.intent.configuration;
    std::vector<ShardCapacity> capacities;
    for (const auto &shard : shards) {
        if (!shard.alive || shard.mayReassign || configuration.isDrained(shard.zone)) {
            continue;
        }
        // While load ramps up, the part of the capacity that is not released yet counts as used.
        const auto unreleased = scale(shard.batchCapacity, 1.0 - std::clamp(shard.rampUp, 0.0, 1.0));
        const auto reserved = scale(shard.batchCapacity, static_cast<double>(std::clamp<std::int64_t>(reservedPercent, 0, 100)) / 100.0);
        capacities.push_back({&shard, shard.freeBatch - unreleased, reserved});
    }
    for (const auto &[id, job] : catalog.jobs.jobs) {
        for (const auto &assignment : job.assignments) {
            for (auto &capacity : capacities) {
                if (capacity.load->daemon == assignment.daemon && assignment.assignedAt > capacity.load->appliedIndex) {
                    reserveCapacity(capacity, remainingDemand(job, assignment));
                }
            }
        }
    }
    return capacities;
}

std::int64_t tasksThatFit(const ShardCapacity &capacity, const Resources &size, bool urgent)
{
    if (!fitsInto(size, capacity.load->largestFreeWorker)) {
        return 0;
    }
    const auto available = urgent ? capacity.usable : capacity.usable - capacity.reserved;
    return std::min(
        {divide(available.cpuMillis, size.cpuMillis), divide(available.memoryMb, size.memoryMb), divide(available.accelerators, size.accelerators)});
}

ShardCapacity *findShardWithMostCapacity(std::vector<ShardCapacity> &capacities, const Resources &size, bool urgent)
{
    ShardCapacity *best = nullptr;
    std::int64_t mostTasks = 0;
    for (auto &capacity : capacities) {
        const auto count = tasksThatFit(capacity, size, urgent);
        if (count > mostTasks) {
            best = &capacity;
            mostTasks = count;
        }
    }
    return best;
}

void reserveCapacity(ShardCapacity &capacity, const Resources &amount)
{
    capacity.usable = capacity.usable - amount;
}

std::string describeUnplaceable(const std::vector<ShardLoad> &shards, const Resources &size)
{
    bool isAnyAnnounced = false;
    for (const auto &shard : shards) {
        for (const auto &shape : shard.workerShapes) {
            isAnyAnnounced = true;
            if (fitsInto(size, shape)) {
                return {};
            }
        }
    }
    if (!isAnyAnnounced) {
        return {};
    }
    for (const auto &text : {describeResource(shards, size, &Resources::cpuMillis, "cpuMillis"),
                             describeResource(shards, size, &Resources::memoryMb, "memoryMb"),
                             describeResource(shards, size, &Resources::accelerators, "accelerators")}) {
        if (!text.empty()) {
            return text;
        }
    }
    return "cpuMillis, memoryMb and accelerators do not fit together: no worker has enough of all of them";
}

} // namespace Filbertlanding
