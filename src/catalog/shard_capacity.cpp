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

    std::int64_t divide(std::int64_t room, std::int64_t size)
    {
        return size <= 0 ? std::numeric_limits<std::int64_t>::max() : std::max<std::int64_t>(room, 0) / size;
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

Resources remainingNeed(const JobRecord &job, const JobAssignment &assignment)
{
    TaskRanges rest{assignment.tasks};
    for (const auto &range : job.finished) {
        removeRange(rest, range);
    }
    return multiply(job.spec.size, static_cast<std::int64_t>(countTasks(rest)));
}

std::vector<ShardRoom> makeRooms(const Catalog &catalog, const std::vector<ShardLoad> &shards, std::int64_t reservedPercent)
{
    const auto &configuration = catalog.intent.configuration;
    std::vector<ShardRoom> rooms;
    for (const auto &shard : shards) {
        if (!shard.alive || shard.mayReassign || configuration.isDrained(shard.zone)) {
            continue;
        }
        // While load ramps up, the part of the capacity that is not released yet counts as used.
        const auto held = scale(shard.batchCapacity, 1.0 - std::clamp(shard.rampUp, 0.0, 1.0));
        const auto reserved = scale(shard.batchCapacity, static_cast<double>(std::clamp<std::int64_t>(reservedPercent, 0, 100)) / 100.0);
        rooms.push_back({&shard, shard.freeBatch - held, reserved});
    }
    for (const auto &[id, job] : catalog.jobs.jobs) {
        for (const auto &assignment : job.assignments) {
            for (auto &room : rooms) {
                if (room.load->daemon == assignment.daemon && assignment.assignedAt > room.load->appliedIndex) {
                    takeRoom(room, remainingNeed(job, assignment));
                }
            }
        }
    }
    return rooms;
}

std::int64_t tasksThatFit(const ShardRoom &room, const Resources &size, bool urgent)
{
    if (!fitsInto(size, room.load->largestFreeWorker)) {
        return 0;
    }
    const auto available = urgent ? room.usable : room.usable - room.reserved;
    return std::min(
        {divide(available.cpuMillis, size.cpuMillis), divide(available.memoryMb, size.memoryMb), divide(available.accelerators, size.accelerators)});
}

ShardRoom *findRoomiest(std::vector<ShardRoom> &rooms, const Resources &size, bool urgent)
{
    ShardRoom *best = nullptr;
    std::int64_t most = 0;
    for (auto &room : rooms) {
        const auto count = tasksThatFit(room, size, urgent);
        if (count > most) {
            best = &room;
            most = count;
        }
    }
    return best;
}

void takeRoom(ShardRoom &room, const Resources &amount)
{
    room.usable = room.usable - amount;
}

std::string describeMisfit(const std::vector<ShardLoad> &shards, const Resources &size)
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
