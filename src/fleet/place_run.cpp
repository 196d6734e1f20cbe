/**
 * @file place_run.cpp Placement of single tasks by score.
 *
 * Long-running tasks reserve most of the CPU but use less than half of it. Short tasks need reserved capacity immediately. Wide and long batch
 * tasks use the spare capacity and interfere with the long-running tasks. Therefore short tasks are packed, while long-running tasks and tasks
 * that use spare capacity are spread. A spare image that interferes with almost all long-running images finds no worker without interference;
 * its tasks are allowed a limited amount of harm once their deadline is near. A job that makes no progress nevertheless gets one task at a time wherever
 * it does the least harm, since an accepted job must not wait for ever while most of the fleet is idle.
 *
 * Failures, slow tasks and suspects of crashes make some workers a worse choice, in two degrees. One that is a second choice, or preferred for suspects,
 * is taken if no other worker has room now, whatever the scores. One that is avoided, or reserved for suspects, is taken only if no other worker may run
 * the task, not even a busy one; so these states must end soon.
 */

#include "fleet/place_run.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Share of the CPU reserved by long-running tasks that counts as spare capacity. */
    constexpr std::int64_t LongRunningIdlePercent = 50;
    constexpr double MaxTailRatio = 0.54; ///< No interfering task is added if the tail latency would exceed this share of its target.
    constexpr double TargetViolationWeight = 4.0; ///< Slow responses of a long-running task cost more than delayed work in spare capacity.
    constexpr double MaxHarmRatio = 0.5; ///< Allowed harm of a task whose deadline is near, relative to its own CPU request.
    constexpr double NegligibleRise = 0.02; ///< A smaller rise of a tail latency does not rule out a worker.
    constexpr double RemoteDataPenalty = 4.0; ///< Remote data outweighs all packing considerations.
    constexpr double InterferencePenalty = 4.0; ///< A long-running task over its target loses four times its share.
    constexpr double SameStepPenalty = 0.3; ///< The loss of a host should affect few tasks of the same step.
    constexpr double OtherImagePenalty = 1.0; ///< For each other long-running image on the worker.
    constexpr double SameImageBonus = 1.0; ///< For a worker that already runs the image.
    constexpr double AddedSensitivityPenalty = 1.0; ///< For each unit by which the sensitivity of the worker rises.
    constexpr double SensitivityBonus = 0.4; ///< For each unit of the worker's sensitivity, if the task does not interfere with it.

    constexpr double SharedSuspicionPenalty = 10.0; ///< Of two suspects on one worker a crash does not tell which of them is the cause.
    constexpr double MixedRunPenalty = 0.5; ///< For each run beside which a task of a queue at risk is placed.
    constexpr double RiskyWorkerPenalty = 2.0; ///< For a worker with such tasks, if the task is of another queue.
    constexpr double RunAtRiskPenalty = 3.0; ///< For each run that is lost if a suspect crashes the worker.

    bool isLabelPresent(const StepSpec &step, const std::vector<std::string> &labels)
    {
        return step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
    }

    /** Returns the spare CPU that is not requested yet, so that tasks can use it without being slowed down. */
    std::int64_t availableSpareCpu(const PlacementCandidate &candidate)
    {
        const std::int64_t idleLongRunningCpu = candidate.longRunningCpu * LongRunningIdlePercent / 100;
        return candidate.capacity.cpuMillis - candidate.used.cpuMillis + idleLongRunningCpu - candidate.spareCpuRequested;
    }

    /** Returns the share of a worker's CPU that a task requests. */
    double cpuShareOf(const StepSpec &step, const PlacementCandidate &candidate)
    {
        return static_cast<double>(step.request.cpuMillis) / std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
    }

    /** Returns the slope of a spare image against a long-running image; a spare image without samples gets the slope of an unknown pair. */
    double
    slopeAgainst(const WorkerQuery &query, const std::vector<double> &slopes, const std::optional<std::size_t> &spareIndex, const std::string &longRunningImage)
    {
        return spareIndex ? slopes[*spareIndex] : interferenceSlope(query.interference, longRunningImage, query.step.image);
    }

    /**
     * Returns whether a task does more harm than it is worth. Both are measured in CPU: the request of the task, and the CPU of the long-running
     * tasks that it is expected to push over their targets.
     */
    bool exceedsHarmLimit(const WorkerQuery &query, const std::optional<std::size_t> &spareIndex, const PlacementCandidate &candidate)
    {
        const double share = cpuShareOf(query.step, candidate);
        double harmedMillis = 0;
        for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
            const double rise = slopeAgainst(query, *tasks.slopes, spareIndex, image) * share;
            if (tasks.highestTailRatio + rise > 1.0) {
                return true;
            }
            const double chance = probabilityOverTarget(tasks.expectedTailRatio + rise, tasks.tailDeviation) - tasks.chanceOverTarget;
            harmedMillis += TargetViolationWeight * chance * static_cast<double>(tasks.cpuMillis);
        }
        return harmedMillis > MaxHarmRatio * static_cast<double>(query.step.request.cpuMillis);
    }

    /** Returns the rise of the tail latencies on a worker caused by one more task; nothing if one of them would be too high. */
    std::optional<double> addedTailRatio(const WorkerQuery &query, const std::optional<std::size_t> &spareIndex, const PlacementCandidate &candidate)
    {
        const double share = cpuShareOf(query.step, candidate);
        if (query.harmTolerance == HarmTolerance::Limited && exceedsHarmLimit(query, spareIndex, candidate)) {
            return std::nullopt;
        }
        double sum = 0;
        for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
            const double rise = slopeAgainst(query, *tasks.slopes, spareIndex, image) * share;
            const bool isHarmful = rise > NegligibleRise && query.harmTolerance == HarmTolerance::None;
            // The load of a long-running task changes more slowly than it is polled, so a high tail latency persists for a while.
            if (isHarmful && (tasks.highestTailRatio + rise > MaxTailRatio || tasks.expectedTailRatio + rise > MaxTailRatio)) {
                return std::nullopt;
            }
            sum += rise * tasks.count;
        }
        return sum;
    }

    /** Returns the rise of a worker's sensitivity caused by one more long-running task. */
    double addedSensitivity(const WorkerQuery &query, const PlacementCandidate &candidate)
    {
        const std::vector<double> &own = slopesOf(query.slopes, query.step.image);
        double sum = 0;
        for (std::size_t i = 0; i < own.size(); ++i) {
            double present = 0;
            for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
                present = std::max(present, (*tasks.slopes)[i]);
            }
            sum += std::max(0.0, own[i] - present);
        }
        return own.empty() ? 0.0 : sum / static_cast<double>(own.size());
    }

    /**
     * Returns the score of a worker for a long-running task. Concentrating like images on few workers leaves the other workers to the spare tasks
     * that interfere with them.
     */
    double longRunningScore(const WorkerQuery &query, const PlacementCandidate &candidate, std::uint32_t tasksOnWorker)
    {
        double score = tasksOnWorker * SameStepPenalty + addedSensitivity(query, candidate) * AddedSensitivityPenalty;
        for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
            score += image == query.step.image ? 0.0 : OtherImagePenalty;
        }
        // Prefers workers that already run the image, so that empty workers remain for the next image.
        score += candidate.latencySensitiveTasks.contains(query.step.image) ? -SameImageBonus : 0.0;
        return score + expectedTailRatio(query.interference, query.step.image, candidate.spareCpuShares);
    }

    /** Returns the number of tasks of the step on a worker. */
    std::uint32_t countOnWorker(const WorkerQuery &query, const PlacementCandidate &candidate)
    {
        const auto found = query.spread.find(candidate.incarnation);
        return found == query.spread.end() ? 0 : found->second;
    }

    /** Returns why the query does not allow a worker to run one more task of the step, capacity aside; nothing if it does. */
    std::optional<HoldReason> ruledOutReason(const WorkerQuery &query, const PlacementCandidate &candidate)
    {
        if (!isEligible(query.step, query.service, candidate)) {
            return HoldReason::Ineligible;
        }
        if (candidate.incarnation == query.excluded) {
            return HoldReason::FailedThere;
        }
        if (candidate.isAvoided && !query.acceptsAvoided && (candidate.isIsolated || !query.acceptsSlow)) {
            return HoldReason::Avoided;
        }
        if (candidate.isReservedForSuspects && query.suspicion != CrashSuspicion::Strong && !query.acceptsAvoided) {
            return HoldReason::Reserved;
        }
        const bool isSpreadKept = query.step.maxPerWorker == 0 || countOnWorker(query, candidate) < query.step.maxPerWorker;
        return isSpreadKept ? std::nullopt : std::optional<HoldReason>(HoldReason::SameStep);
    }

    /** Returns whether the task of a query is placed on a worker only if no other one has room for it now. */
    bool isSecondChoiceFor(const WorkerQuery &query, const PlacementCandidate &candidate)
    {
        return candidate.isSecondChoice || (candidate.isPreferredForSuspects && query.suspicion != CrashSuspicion::Strong);
    }

    /** Returns of which resource a worker has too little for one more task of a step; nothing if it has enough of all. */
    std::optional<HoldReason> lackingResource(const StepSpec &step, const PlacementCandidate &candidate)
    {
        const Resources free = candidate.capacity - candidate.used;
        if (step.request.memoryMb > free.memoryMb) {
            return HoldReason::Memory;
        }
        if (step.request.accelerators > free.accelerators) {
            return HoldReason::Accelerators;
        }
        if (step.usesSpareCapacity) {
            // A worker that has shrunk below its reservations has no idle CPU, whatever they use.
            const bool hasSpareCpu = free.cpuMillis >= 0 && step.request.cpuMillis <= availableSpareCpu(candidate);
            return hasSpareCpu ? std::nullopt : std::optional<HoldReason>(HoldReason::SpareCpu);
        }
        return step.request.cpuMillis <= free.cpuMillis ? std::nullopt : std::optional<HoldReason>(HoldReason::Cpu);
    }

    /** Returns whether the task of a query ends before the capacity that is held on a worker is used. */
    bool endsBeforeHeldCapacityIsUsed(const WorkerQuery &query, const HeldCapacity &held)
    {
        return query.expectedEnd && *query.expectedEnd <= held.readyAt;
    }

    /** Returns whether the task of a query would take capacity that is held for another step. */
    bool takesHeldCapacity(const WorkerQuery &query, const PlacementCandidate &candidate)
    {
        // A long-running task that fits now is not delayed for another one that does not fit yet.
        if (!candidate.held || query.step.isLongRunning || endsBeforeHeldCapacityIsUsed(query, *candidate.held)) {
            return false;
        }
        return !fitsInto(reservedBy(query.step), candidate.held->beyond);
    }

    /** Returns how many further tasks of the step, up to a number, a worker could run if it ran nothing else. */
    std::int64_t placesWhenIdle(const WorkerQuery &query, const PlacementCandidate &candidate, std::int64_t most)
    {
        const auto placesOf = [most](std::int64_t capacity, std::int64_t request) {
            return request > 0 ? std::min(most, capacity / request) : most;
        };
        const Resources &capacity = candidate.capacity;
        const Resources &request = query.step.request;
        const std::int64_t left = query.step.maxPerWorker > 0 ? std::int64_t{query.step.maxPerWorker} - countOnWorker(query, candidate) : most;
        return std::min({left,
                         placesOf(capacity.cpuMillis, request.cpuMillis),
                         placesOf(capacity.memoryMb, request.memoryMb),
                         placesOf(capacity.accelerators, request.accelerators)});
    }

    /** Returns the part of the score that keeps tasks under which workers have crashed away from each other and from other tasks. */
    double crashRiskScore(const WorkerQuery &query, const PlacementCandidate &candidate)
    {
        const auto suspects = static_cast<double>(candidate.watchedSuspects);
        const auto runs = static_cast<double>(candidate.runs);
        switch (query.suspicion) {
        case CrashSuspicion::None:
            if (query.isQueueAtRisk) {
                return static_cast<double>(candidate.runs - candidate.runsAtRisk) * MixedRunPenalty;
            }
            return candidate.runsAtRisk > 0 ? RiskyWorkerPenalty : 0;
        case CrashSuspicion::Possible:
            return suspects * SharedSuspicionPenalty;
        case CrashSuspicion::Strong:
            return suspects * SharedSuspicionPenalty + runs * RunAtRiskPenalty;
        }
        return 0;
    }

    /** Returns the score of a worker, lower is better; nothing if the task must not run there. */
    std::optional<double>
    scoreOf(const WorkerQuery &query, const std::optional<std::size_t> &spareIndex, const PlacementCandidate &candidate, std::uint32_t tasksOnWorker)
    {
        const StepSpec &step = query.step;
        const double capacity = std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
        const double freeCpu = static_cast<double>(candidate.capacity.cpuMillis - candidate.used.cpuMillis) / capacity;
        double score = isDataRemote(step, candidate.rack) ? RemoteDataPenalty : 0.0;
        score += candidate.consecutiveFailures + crashRiskScore(query, candidate);
        if (step.usesSpareCapacity) {
            const auto addedTail = addedTailRatio(query, spareIndex, candidate);
            if (!addedTail) {
                return std::nullopt;
            }
            // Prefers sensitive workers as long as the task does not interfere, which leaves the other workers to tasks that do.
            return score + *addedTail * InterferencePenalty - candidate.sensitivity * SensitivityBonus
                - static_cast<double>(availableSpareCpu(candidate)) / capacity;
        }
        if (step.isLongRunning) {
            return score + longRunningScore(query, candidate, tasksOnWorker) - freeCpu;
        }
        return score + freeCpu;
    }

} // namespace

SlopeTable makeSlopeTable(const PairInterference &interference)
{
    SlopeTable table;
    table.spareImages.assign(interference.spareImages.begin(), interference.spareImages.end());
    const auto rowOf = [&](const std::string &longRunningImage) {
        std::vector<double> row;
        for (const std::string &spareImage : table.spareImages) {
            row.push_back(interferenceSlope(interference, longRunningImage, spareImage));
        }
        return row;
    };
    for (const auto &[image, model] : interference.models) {
        table.byLongRunningImage[image] = rowOf(image);
    }
    table.unknown = rowOf({});
    table.fittedAt = interference.fittedAt;
    return table;
}

const std::vector<double> &slopesOf(const SlopeTable &table, const std::string &longRunningImage)
{
    const auto found = table.byLongRunningImage.find(longRunningImage);
    return found == table.byLongRunningImage.end() ? table.unknown : found->second;
}

std::optional<std::size_t> spareImageIndex(const SlopeTable &table, const std::string &spareImage)
{
    const auto found = std::lower_bound(table.spareImages.begin(), table.spareImages.end(), spareImage);
    if (found == table.spareImages.end() || *found != spareImage) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - table.spareImages.begin());
}

void updateExpectedTails(PlacementCandidate &candidate, const PairInterference &interference)
{
    for (auto &[image, tasks] : candidate.latencySensitiveTasks) {
        tasks.expectedTailRatio = expectedTailRatio(interference, image, candidate.spareCpuShares);
        tasks.tailDeviation = tailDeviation(interference, image);
        tasks.chanceOverTarget = probabilityOverTarget(tasks.expectedTailRatio, tasks.tailDeviation);
    }
}

void updateSensitivity(PlacementCandidate &candidate, const SlopeTable &table)
{
    double sum = 0;
    for (std::size_t i = 0; i < table.spareImages.size(); ++i) {
        double highest = 0;
        for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
            highest = std::max(highest, (*tasks.slopes)[i]);
        }
        sum += highest;
    }
    candidate.sensitivity = table.spareImages.empty() ? 0.0 : sum / static_cast<double>(table.spareImages.size());
}

bool isEligible(const StepSpec &step, const ServiceName &service, const PlacementCandidate &candidate)
{
    return candidate.service == service && (candidate.labels == nullptr ? step.requiredLabel.empty() : isLabelPresent(step, *candidate.labels));
}

bool isEligible(const StepSpec &step, const ServiceName &service, const WorkerProfile &profile)
{
    return profile.service == service && isLabelPresent(step, profile.labels);
}

bool isDataRemote(const StepSpec &step, const std::string &rack)
{
    return !step.dataRack.empty() && step.dataRack != rack;
}

Resources reservedBy(const StepSpec &step)
{
    return {step.usesSpareCapacity ? 0 : step.request.cpuMillis, step.request.memoryMb, step.request.accelerators};
}

bool isAllowed(const WorkerQuery &query, const PlacementCandidate &candidate)
{
    return !ruledOutReason(query, candidate);
}

bool hasCapacityFor(const StepSpec &step, const PlacementCandidate &candidate)
{
    return !lackingResource(step, candidate);
}

std::optional<HoldReason> candidateHoldReason(const WorkerQuery &query, const PlacementCandidate &candidate)
{
    if (const auto ruledOut = ruledOutReason(query, candidate)) {
        return ruledOut;
    }
    if (const auto lacking = lackingResource(query.step, candidate)) {
        return lacking;
    }
    if (query.step.usesSpareCapacity && !addedTailRatio(query, spareImageIndex(query.slopes, query.step.image), candidate)) {
        return HoldReason::Interference;
    }
    return takesHeldCapacity(query, candidate) ? std::optional<HoldReason>(HoldReason::CapacityHeld) : std::nullopt;
}

std::optional<std::size_t> chooseWorker(const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates)
{
    const auto spareIndex = spareImageIndex(query.slopes, query.step.image);
    std::optional<std::size_t> best;
    double bestScore = 0;
    bool isBestSecond = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = *candidates[i];
        if (!isAllowed(query, candidate) || !hasCapacityFor(query.step, candidate) || takesHeldCapacity(query, candidate)) {
            continue;
        }
        const auto score = scoreOf(query, spareIndex, candidate, countOnWorker(query, candidate));
        const bool isSecond = isSecondChoiceFor(query, candidate);
        if (score && (!best || (isSecond == isBestSecond ? *score < bestScore : isBestSecond))) {
            best = i;
            bestScore = *score;
            isBestSecond = isSecond;
        }
    }
    return best;
}

bool hasAlternative(const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates, std::uint32_t tasks)
{
    std::int64_t places = 0;
    for (const PlacementCandidate *candidate : candidates) {
        if (!candidate->isAvoided && !candidate->isReservedForSuspects && isAllowed(query, *candidate)) {
            places += placesWhenIdle(query, *candidate, tasks);
        }
        if (places >= static_cast<std::int64_t>(tasks)) {
            return true;
        }
    }
    return false;
}

void reserveCapacity(PlacementCandidate &candidate, const WorkerQuery &query)
{
    const StepSpec &step = query.step;
    ++candidate.runs;
    candidate.runsAtRisk += query.isQueueAtRisk ? 1 : 0;
    candidate.watchedSuspects += query.suspicion == CrashSuspicion::None ? 0 : 1;
    candidate.isAvoided = candidate.isAvoided || query.isIsolated;
    candidate.isIsolated = candidate.isIsolated || query.isIsolated;
    candidate.isSecondChoice = candidate.isSecondChoice || query.suspicion == CrashSuspicion::Strong;
    if (candidate.held && query.step.isLongRunning) {
        candidate.held.reset();
    } else if (candidate.held && !endsBeforeHeldCapacityIsUsed(query, *candidate.held)) {
        candidate.held->beyond = candidate.held->beyond - reservedBy(step);
    }
    candidate.used.memoryMb += step.request.memoryMb;
    candidate.used.accelerators += step.request.accelerators;
    if (step.usesSpareCapacity) {
        candidate.spareCpuRequested += step.request.cpuMillis;
        candidate.spareCpuShares[step.image] += cpuShareOf(step, candidate);
        updateExpectedTails(candidate, query.interference);
        return;
    }
    candidate.used.cpuMillis += step.request.cpuMillis;
    candidate.longRunningCpu += step.isLongRunning ? step.request.cpuMillis : 0;
    if (step.isLongRunning && step.latencyTarget.ms > 0) {
        LatencySensitiveTasks &tasks = candidate.latencySensitiveTasks[step.image];
        ++tasks.count;
        tasks.cpuMillis += step.request.cpuMillis;
        tasks.slopes = &slopesOf(query.slopes, step.image);
        updateExpectedTails(candidate, query.interference);
        updateSensitivity(candidate, query.slopes);
    }
}

} // namespace Filbertlanding
