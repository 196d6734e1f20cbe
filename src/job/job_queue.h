/** @file job_queue.h Queue of tasks that wait for a worker: urgent first, then fair share among teams within quotas. */

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

/** Tasks that wait. A range of tasks is one entry, from whose front tasks are taken. */
struct QueueEntry {
    JobId job; ///< The job.
    std::uint64_t epoch = 0; ///< Epoch of its assignment.
    TaskSpan tasks; ///< The tasks.
};

/** Queue and use of one team. */
struct TeamQueue {
    TeamName team; ///< The team.
    double weight = 1; ///< Its share relative to the others.
    std::int64_t quotaCpuMillis = 0; ///< Bound on its running tasks in this shard; 0 for no bound.
    std::int64_t runningCpuMillis = 0; ///< Sizes of its running tasks.
    std::deque<QueueEntry> urgent; ///< Urgent tasks, oldest first.
    std::deque<QueueEntry> normal; ///< The others, oldest first.
};

/** Queue of a shard. */
struct JobQueue {
    std::vector<TeamQueue> teams; ///< By team index.
    std::unordered_map<TeamName, std::uint32_t> teamIndex; ///< Index of a team.
    std::uint64_t visited = 0; ///< Entries looked at by cancellations, to show that a burst is one pass.
};

/** Outcome of an attempt to place the task at the front of an entry. */
enum class QueueOutcome : std::uint8_t {
    Placed, ///< Took it.
    NoWorker, ///< No worker fits; others of the team may.
    Dropped, ///< The entry is obsolete.
    Stop, ///< Enough for this pass.
};

/** Called with an entry, whose front task is offered, and the index of its team. */
using TryPlaceCallback = std::function<QueueOutcome(const QueueEntry &entry, std::uint32_t team)>;

/** Returns the index of a team, which is added when it is new. */
std::uint32_t internTeam(JobQueue &queue, const TeamName &team);

/** Adds tasks. @param front Whether they go before the others of the team, as tasks that ran before do. */
void enqueueTasks(JobQueue &queue, std::uint32_t team, QueueEntry entry, bool urgent, bool front);

/** Removes all entries of the given jobs in one pass over the queue. @return Number of entries removed. */
std::size_t removeJobs(JobQueue &queue, const std::unordered_set<JobId> &jobs);

/** Offers waiting tasks: urgent ones first, each time from the team with the smallest share in use; at most a few misses for each team. */
void serveQueue(JobQueue &queue, const TryPlaceCallback &tryPlace);

/** Returns the number of waiting tasks. */
std::size_t queuedTasks(const JobQueue &queue);

} // namespace Filbertlanding
