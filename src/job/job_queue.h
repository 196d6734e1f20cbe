/** @file job_queue.h Queue of tasks waiting for a worker: urgent tasks first, then weighted fair sharing among teams within quotas. */

#pragma once

#include "core/names_type.h"
#include "job/job_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Filbertlanding {

/** Waiting tasks of one job. Tasks are taken from the front of the range. */
struct QueueEntry {
    JobId job;
    std::uint64_t epoch = 0; ///< Epoch of the assignment.
    TaskSpan tasks; ///< Waiting tasks.
};

/** Queue and resource use of one team. */
struct TeamQueue {
    TeamName team;
    double weight = 1; ///< Weight in fair sharing.
    std::int64_t quotaCpuMillis = 0; ///< Limit on the processors of its running tasks in this shard; 0 for no limit.
    std::int64_t runningCpuMillis = 0; ///< Processors charged to its running tasks.
    std::deque<QueueEntry> urgent; ///< Urgent tasks, oldest first.
    std::deque<QueueEntry> normal; ///< Other tasks, oldest first.
};

/** Task queue of a shard. */
struct JobQueue {
    std::vector<TeamQueue> teams; ///< By team index.
    std::unordered_map<TeamName, std::uint32_t> teamIndex; ///< Index of each team in teams.
    std::uint64_t visited = 0; ///< Entries examined by cancellations; lets tests verify that a burst takes a single pass.
};

/** Result of placing the task at the front of an entry. */
enum class QueueOutcome : std::uint8_t {
    Placed, ///< The task was placed.
    NoWorker, ///< No worker has enough capacity; other tasks of the team may still be placed.
    Dropped, ///< The entry is obsolete and is removed.
    Stop, ///< Ends the pass.
};

/** Tries to place the front task of an entry of the given team. */
using TryPlaceCallback = std::function<QueueOutcome(const QueueEntry &entry, std::uint32_t team)>;

/** Returns the index of a team, adding the team if necessary. */
std::uint32_t internTeam(JobQueue &queue, const TeamName &team);

/** Adds tasks. @param front Whether to insert before the other tasks of the team, as for tasks that already ran. */
void enqueueTasks(JobQueue &queue, std::uint32_t team, QueueEntry entry, bool urgent, bool front);

/** Removes all entries of the given jobs in a single pass. @return Number of entries removed. */
std::size_t removeJobs(JobQueue &queue, const std::unordered_set<JobId> &jobs);

/** Tries to place waiting tasks, urgent ones first, each time from the team with the lowest weighted use. Limits the unplaced entries per team. */
void serveQueue(JobQueue &queue, const TryPlaceCallback &tryPlace);

/** Returns the number of waiting tasks. */
std::size_t queuedTasks(const JobQueue &queue);

} // namespace Filbertlanding
