/** @file drain_plan.cpp Chooses which jobs of drained zones to evict, and when to force them out. */

#include "catalog/assign_func.h"
#include "catalog/job_state.h"
#include "catalog/shard_capacity.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    struct Candidate {
        const JobRecord *job;
        const JobAssignment *assignment;
    };

    std::int64_t countRemaining(const Candidate &candidate)
    {
        TaskRanges rest{candidate.assignment->tasks};
        for (const auto &range : candidate.job->finished) {
            removeRange(rest, range);
        }
        return static_cast<std::int64_t>(countTasks(rest));
    }

    std::pair<JobId, std::uint64_t> keyOf(const Candidate &candidate)
    {
        return {candidate.job->id, candidate.assignment->epoch};
    }

    /** Running jobs of drained zones; urgent and important ones first, so that they resume first. */
    std::vector<Candidate> findCandidates(const Catalog &catalog)
    {
        std::vector<Candidate> candidates;
        for (const auto &[id, job] : catalog.jobs.jobs) {
            for (const auto &assignment : job.assignments) {
                if (catalog.intent.configuration.isDrained(assignment.zone)) {
                    candidates.push_back({&job, &assignment});
                }
            }
        }
        std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
            const auto key = [](const Candidate &candidate) {
                const auto &job = *candidate.job;
                return std::make_tuple(!job.spec.urgent, -static_cast<std::int64_t>(job.spec.priority), job.submittedAt, candidate.assignment->epoch);
            };
            return key(left) < key(right);
        });
        return candidates;
    }

    bool isOverLimit(const Catalog &catalog, const DrainInput &input, const ZoneName &zone)
    {
        const auto age = input.drainedFor.find(zone);
        const auto configured = catalog.intent.configuration.availabilityZones.find(zone);
        return age != input.drainedFor.end() && configured != catalog.intent.configuration.availabilityZones.end()
            && age->second.ms >= configured->second.drainLimit.ms;
    }

    /** Evictions that a service may still order in this minute. */
    std::int64_t budgetOf(const Catalog &catalog, const DrainInput &input, const ServiceName &service)
    {
        const auto configured = catalog.intent.configuration.services.find(service);
        const auto &services = catalog.intent.configuration.services;
        const auto limit = configured == services.end() ? ServiceConfig{}.maxEvictionsPerMinute : configured->second.maxEvictionsPerMinute;
        const auto recent = input.recentEvictions.find(service);
        return limit - (recent == input.recentEvictions.end() ? 0 : recent->second);
    }

    /** Takes room for a job out of the rooms of the other zones, over several daemons if need be. Returns whether it fits. */
    bool takeSpare(std::vector<ShardRoom> &rooms, const Candidate &candidate)
    {
        auto trial = rooms;
        const auto &size = candidate.job->spec.size;
        auto left = countRemaining(candidate);
        while (left > 0) {
            auto *room = findRoomiest(trial, size, candidate.job->spec.urgent);
            if (room == nullptr) {
                return false;
            }
            const auto count = std::min(left, tasksThatFit(*room, size, candidate.job->spec.urgent));
            takeRoom(*room, multiply(size, count));
            left -= count;
        }
        rooms = std::move(trial);
        return true;
    }

    /** Jobs whose eviction was ordered and that still run will need room soon. */
    void reserveForOrdered(const std::vector<Candidate> &candidates, const DrainInput &input, std::vector<ShardRoom> &rooms)
    {
        for (const auto &candidate : candidates) {
            if (input.ordered.contains(keyOf(candidate))) {
                takeSpare(rooms, candidate);
            }
        }
    }

} // namespace

std::vector<DrainOrder> planDrain(const Catalog &catalog, const DrainInput &input)
{
    constexpr std::int64_t NoReserve = 0;
    auto rooms = makeRooms(catalog, input.shards, NoReserve);
    const auto candidates = findCandidates(catalog);
    reserveForOrdered(candidates, input, rooms);
    std::map<ServiceName, std::int64_t> budgets;
    std::vector<DrainOrder> orders;
    for (const auto &candidate : candidates) {
        const auto &service = candidate.job->spec.service;
        const auto key = keyOf(candidate);
        // The limit is the operator's word: it outranks the budget and the spare capacity.
        if (isOverLimit(catalog, input, candidate.assignment->zone)) {
            if (!input.forced.contains(key)) {
                orders.push_back({key.first, key.second, candidate.assignment->daemon, true});
            }
            continue;
        }
        auto &budget = budgets.try_emplace(service, budgetOf(catalog, input, service)).first->second;
        if (input.ordered.contains(key) || budget <= 0 || !takeSpare(rooms, candidate)) {
            continue;
        }
        --budget;
        orders.push_back({key.first, key.second, candidate.assignment->daemon, false});
    }
    return orders;
}

} // namespace Filbertlanding
