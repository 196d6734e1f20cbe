/** @file assign_jobs.cpp Proposes assignments of batch jobs to daemons. */

#include "catalog/assign_func.h"
#include "catalog/job_state.h"
#include "catalog/shard_capacity.h"

#include <algorithm>
#include <limits>

namespace Filbertlanding {

namespace {

    /** What a team uses and may use. */
    struct TeamUsage {
        Resources used;
        std::int64_t weight = 1;
        std::optional<std::int64_t> quotaCpuMillis;
        std::optional<std::int64_t> quotaMemoryMb;
        std::vector<const JobRecord *> waiting; ///< In the order in which they go, the next one last.
    };

    /** A piece of a job that can be assigned in one go. */
    struct TaskChunk {
        TaskRange tasks;
        std::uint64_t resumeFrom = 0;
    };

    /** State of one round. */
    struct Round {
        const Catalog &catalog;
        const AssignInput &input;
        std::vector<ShardCapacity> shards;
        std::map<TeamName, TeamUsage> teams;
        Resources total; ///< Capacity of the installation, for the dominant share.
        std::vector<LogCommand> commands;
        std::map<JobId, JobRecord> changed; ///< Jobs as they are after the commands of this round.

        bool isFull() const
        {
            return this->commands.size() >= this->input.maxCommands;
        }

        const JobRecord &latest(const JobRecord &job) const
        {
            const auto found = this->changed.find(job.id);
            return found == this->changed.end() ? job : found->second;
        }
    };

    /** Applies a command to the round's copy of a job, so that later commands of the round fit to it. */
    template<class Apply>
    void simulate(Round &round, const JobRecord &job, Apply apply)
    {
        // Only the record is copied: the transitions touch nothing else that a round reads.
        JobTable table;
        table.jobs[job.id] = round.latest(job);
        apply(table);
        round.changed[job.id] = std::move(table.jobs[job.id]);
    }

    void initializeTeams(Round &round)
    {
        for (const auto &[name, team] : round.catalog.intent.configuration.teams) {
            auto &use = round.teams[name];
            use.weight = std::max<std::int64_t>(team.weight, 1);
            use.quotaCpuMillis = team.quotaCpuMillis;
            use.quotaMemoryMb = team.quotaMemoryMb;
        }
    }

    /** Ends the epochs of daemons whose running lease has ended. */
    void endLostEpochs(Round &round)
    {
        std::set<DaemonName> lost;
        for (const auto &shard : round.input.shards) {
            if (shard.mayReassign) {
                lost.insert(shard.daemon);
            }
        }
        if (lost.empty()) {
            return;
        }
        for (const auto &[id, job] : round.catalog.jobs.jobs) {
            for (const auto &assignment : job.assignments) {
                if (!lost.contains(assignment.daemon) || round.isFull()) {
                    continue;
                }
                const EvictJob command{id, assignment.epoch, {}, EvictCause::LeaseEnded};
                round.commands.push_back(command);
                simulate(round, job, [&command](JobTable &table) {
                    applyEvict(table, command);
                });
            }
        }
    }

    void countUsage(Round &round)
    {
        for (const auto &[id, original] : round.catalog.jobs.jobs) {
            const auto &job = round.latest(original);
            if (isTerminal(job.state)) {
                continue;
            }
            auto &team = round.teams[job.spec.team];
            for (const auto &assignment : job.assignments) {
                team.used = team.used + remainingDemand(job, assignment);
            }
            if (!openTasks(job).empty()) {
                team.waiting.push_back(&original);
            }
        }
    }

    void sortWaiting(Round &round)
    {
        for (auto &[name, team] : round.teams) {
            std::sort(team.waiting.begin(), team.waiting.end(), [](const JobRecord *left, const JobRecord *right) {
                const auto key = [](const JobRecord *job) {
                    return std::make_tuple(!job->spec.urgent, -static_cast<std::int64_t>(job->spec.priority), job->submittedAt);
                };
                return key(left) > key(right);
            });
        }
    }

    /** Largest share of any resource of the installation that a team uses, divided by its weight. */
    double dominantShare(const Round &round, const TeamUsage &team)
    {
        const auto part = [](std::int64_t used, std::int64_t total) {
            return total <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
        };
        const double cpu = part(team.used.cpuMillis, round.total.cpuMillis);
        const double memory = part(team.used.memoryMb, round.total.memoryMb);
        const double accelerators = part(team.used.accelerators, round.total.accelerators);
        return std::max({cpu, memory, accelerators}) / static_cast<double>(team.weight);
    }

    /** Returns the team whose job goes next: urgent jobs before all others, then the smallest share. */
    TeamUsage *nextTeam(Round &round)
    {
        TeamUsage *best = nullptr;
        auto bestKey = std::make_pair(true, std::numeric_limits<double>::max());
        for (auto &[name, team] : round.teams) {
            if (team.waiting.empty()) {
                continue;
            }
            const auto key = std::make_pair(!team.waiting.back()->spec.urgent, dominantShare(round, team));
            if (best == nullptr || key < bestKey) {
                best = &team;
                bestKey = key;
            }
        }
        return best;
    }

    std::int64_t tasksWithinQuota(const TeamUsage &team, const Resources &size)
    {
        auto taskLimit = std::numeric_limits<std::int64_t>::max();
        if (team.quotaCpuMillis && size.cpuMillis > 0) {
            taskLimit = std::min(taskLimit, (*team.quotaCpuMillis - team.used.cpuMillis) / size.cpuMillis);
        }
        if (team.quotaMemoryMb && size.memoryMb > 0) {
            taskLimit = std::min(taskLimit, (*team.quotaMemoryMb - team.used.memoryMb) / size.memoryMb);
        }
        return std::max<std::int64_t>(taskLimit, 0);
    }

    /** Returns the next open tasks of a job: those of a checkpoint first, so that its work is not lost. */
    TaskChunk nextChunk(const JobRecord &job)
    {
        const auto open = openTasks(job);
        for (const auto &checkpoint : job.checkpoints) {
            for (const auto &range : open) {
                const TaskRange common{std::max(range.first, checkpoint.tasks.first), std::min(range.end, checkpoint.tasks.end)};
                if (common.count() > 0) {
                    return {common, checkpoint.epoch};
                }
            }
        }
        // A fresh piece must not reach into the tasks of a checkpoint, which it would drop.
        TaskRange first = open.front();
        for (const auto &checkpoint : job.checkpoints) {
            if (checkpoint.tasks.first > first.first) {
                first.end = std::min(first.end, checkpoint.tasks.first);
            }
        }
        return {first, 0};
    }

    void assignChunk(Round &round, TeamUsage &team, const JobRecord &job, ShardCapacity &shard, TaskChunk chunk, std::int64_t count)
    {
        const auto &latest = round.latest(job);
        chunk.tasks.end = chunk.tasks.first + static_cast<std::uint32_t>(std::min<std::int64_t>(count, chunk.tasks.count()));
        const AssignJob command{job.id, latest.lastEpoch + 1, shard.load->daemon, shard.load->zone, chunk.tasks, chunk.resumeFrom};
        const auto demand = multiply(job.spec.size, chunk.tasks.count());
        reserveCapacity(shard, demand);
        team.used = team.used + demand;
        simulate(round, job, [&round, &command](JobTable &table) {
            applyAssign(table, round.catalog.intent.configuration, command, round.catalog.appliedIndex);
        });
        round.commands.push_back(command);
    }

    /** Returns how many teams share the room with a job: its own, and those whose next job is as urgent. */
    std::int64_t countCompetingTeams(const Round &round, const TeamUsage &own, bool urgent)
    {
        return 1 + std::count_if(round.teams.begin(), round.teams.end(), [&own, urgent](const auto &entry) {
                   const auto &waiting = entry.second.waiting;
                   return &entry.second != &own && !waiting.empty() && waiting.back()->spec.urgent == urgent;
               });
    }

    /**
     * Assigns one piece of a job. A job with many tasks gets no more than its part of a daemon's room in one turn, so
     * that it cannot take all the room before the other teams have had a turn.
     * @return Whether the job got tasks and still has open ones.
     */
    bool assignTurn(Round &round, TeamUsage &team, const JobRecord &job)
    {
        const auto &latest = round.latest(job);
        if (openTasks(latest).empty() || latest.assignments.size() >= MaxAssignmentsPerJob) {
            return false;
        }
        auto *shard = findShardWithMostCapacity(round.shards, job.spec.size, job.spec.urgent);
        if (shard == nullptr) {
            return false;
        }
        const auto competingTeams = countCompetingTeams(round, team, job.spec.urgent);
        const auto fit = tasksThatFit(*shard, job.spec.size, job.spec.urgent);
        const auto part = fit / competingTeams + (fit % competingTeams == 0 ? 0 : 1);
        const auto count = std::min(tasksWithinQuota(team, job.spec.size), part);
        if (count <= 0) {
            return false;
        }
        assignChunk(round, team, job, *shard, nextChunk(latest), count);
        return !openTasks(round.latest(job)).empty();
    }

    /** Fails a job that no announced worker could hold even when it is empty. Returns whether it did. */
    bool failOversized(Round &round, const JobRecord &job)
    {
        const auto &latest = round.latest(job);
        if (!round.input.allShardsKnown || !latest.assignments.empty()) {
            return false;
        }
        const auto reason = describeUnplaceable(round.input.shards, job.spec.size);
        if (reason.empty()) {
            return false;
        }
        round.commands.push_back(FailJob{job.id, latest.lastEpoch, ResultCode::FitsNoWorker, reason});
        return true;
    }

} // namespace

std::vector<LogCommand> assignJobs(const Catalog &catalog, const AssignInput &input)
{
    Round round{catalog, input, availableCapacities(catalog, input.shards, input.reservedPercent), {}, {}, {}, {}};
    for (const auto &shard : input.shards) {
        round.total = round.total + shard.batchCapacity;
    }
    initializeTeams(round);
    endLostEpochs(round);
    countUsage(round);
    sortWaiting(round);
    while (!round.isFull()) {
        auto *team = nextTeam(round);
        if (team == nullptr) {
            break;
        }
        const auto *job = team->waiting.back();
        team->waiting.pop_back();
        if (!failOversized(round, *job) && assignTurn(round, *team, *job)) {
            team->waiting.push_back(job);
        }
    }
    return std::move(round.commands);
}

} // namespace Filbertlanding
