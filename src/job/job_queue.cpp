/** @file job_queue.cpp Queue of tasks waiting for a worker. */

#include "job/job_queue.h"

#include <algorithm>
#include <numeric>

namespace Filbertlanding {

namespace {

    /** Entries of a team that may stay unplaced in one pass. Above 1, so that one large task does not block its team. */
    constexpr std::size_t MaxUnplacedPerTeam = 4;
    constexpr std::size_t MaxUnplacedUrgentPerTeam = 64; ///< Unplaced urgent tasks preempt others, so more of them are examined.

    /** State of a team in one pass. */
    struct TeamPass {
        std::vector<QueueEntry> unplaced; ///< Skipped entries, put back in order after the pass.
        bool done = false; ///< No further entries of the team are examined in this pass.
    };

    std::deque<QueueEntry> &entriesOf(TeamQueue &team, bool urgent)
    {
        return urgent ? team.urgent : team.normal;
    }

    double shareOf(const TeamQueue &team)
    {
        return static_cast<double>(team.runningCpuMillis) / std::max(team.weight, 1e-6);
    }

    std::optional<std::size_t> nextTeam(JobQueue &queue, std::vector<TeamPass> &passes, bool urgent)
    {
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < queue.teams.size(); ++i) {
            TeamQueue &team = queue.teams[i];
            if (passes[i].done || entriesOf(team, urgent).empty()) {
                continue;
            }
            if (!best || shareOf(team) < shareOf(queue.teams[*best])) {
                best = i;
            }
        }
        return best;
    }

    void takeFrontTask(std::deque<QueueEntry> &entries)
    {
        TaskSpan &tasks = entries.front().tasks;
        ++tasks.first;
        --tasks.count;
        if (tasks.count == 0) {
            entries.pop_front();
        }
    }

    void skipFrontEntry(std::deque<QueueEntry> &entries, TeamPass &pass, bool urgent)
    {
        pass.unplaced.push_back(std::move(entries.front()));
        entries.pop_front();
        pass.done = pass.unplaced.size() >= (urgent ? MaxUnplacedUrgentPerTeam : MaxUnplacedPerTeam);
    }

    bool servePriority(JobQueue &queue, const TryPlaceCallback &tryPlace, bool urgent)
    {
        std::vector<TeamPass> passes(queue.teams.size());
        bool stopped = false;
        while (!stopped) {
            const auto chosen = nextTeam(queue, passes, urgent);
            if (!chosen) {
                break;
            }
            auto &entries = entriesOf(queue.teams[*chosen], urgent);
            const QueueOutcome outcome = tryPlace(entries.front(), static_cast<std::uint32_t>(*chosen));
            switch (outcome) {
            case QueueOutcome::Placed:
                takeFrontTask(entries);
                break;
            case QueueOutcome::Dropped:
                entries.pop_front();
                break;
            case QueueOutcome::NoWorker:
                skipFrontEntry(entries, passes[*chosen], urgent);
                break;
            case QueueOutcome::Stop:
                stopped = true;
                break;
            }
        }
        for (std::size_t i = 0; i < passes.size(); ++i) {
            auto &entries = entriesOf(queue.teams[i], urgent);
            entries.insert(entries.begin(), std::make_move_iterator(passes[i].unplaced.begin()), std::make_move_iterator(passes[i].unplaced.end()));
        }
        return !stopped;
    }

    std::size_t removeFrom(std::deque<QueueEntry> &entries, const std::unordered_set<JobId> &jobs, std::uint64_t &visited)
    {
        visited += entries.size();
        return std::erase_if(entries, [&jobs](const QueueEntry &entry) {
            return jobs.contains(entry.job);
        });
    }

} // namespace

std::uint32_t internTeam(JobQueue &queue, const TeamName &team)
{
    const auto [position, added] = queue.teamIndex.try_emplace(team, static_cast<std::uint32_t>(queue.teams.size()));
    if (added) {
        queue.teams.emplace_back().team = team;
    }
    return position->second;
}

void enqueueTasks(JobQueue &queue, std::uint32_t team, QueueEntry entry, bool urgent, bool front)
{
    auto &entries = entriesOf(queue.teams[team], urgent);
    if (front) {
        entries.push_front(std::move(entry));
    } else {
        entries.push_back(std::move(entry));
    }
}

std::size_t removeJobs(JobQueue &queue, const std::unordered_set<JobId> &jobs)
{
    std::size_t removed = 0;
    for (TeamQueue &team : queue.teams) {
        removed += removeFrom(team.urgent, jobs, queue.visited);
        removed += removeFrom(team.normal, jobs, queue.visited);
    }
    return removed;
}

void serveQueue(JobQueue &queue, const TryPlaceCallback &tryPlace)
{
    if (servePriority(queue, tryPlace, true)) {
        servePriority(queue, tryPlace, false);
    }
}

std::size_t queuedTasks(const JobQueue &queue)
{
    const auto count = [](std::size_t sum, const QueueEntry &entry) {
        return sum + entry.tasks.count;
    };
    std::size_t total = 0;
    for (const TeamQueue &team : queue.teams) {
        total = std::accumulate(team.urgent.begin(), team.urgent.end(), total, count);
        total = std::accumulate(team.normal.begin(), team.normal.end(), total, count);
    }
    return total;
}

} // namespace Filbertlanding
