/**
 * @file place_run.cpp Placement of single tasks by score.
 *
 * Load: lasting tasks reserve most of the processors but use less than half of them; short tasks need reserved room at once; wide long
 * tasks fill what is left and press on the lasting ones. So short tasks are packed, lasting tasks and tasks in spare room are spread. An image
 * in spare room that presses on almost all lasting ones finds no quiet place at all; its tasks may do some harm once their time runs out.
 */

#include "fleet/place_run.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Share of the processors that lasting tasks reserve on which tasks in spare room may count. */
    constexpr std::int64_t LastingIdlePercent = 50;
    constexpr double HighestTail = 0.54; ///< No task that presses on a lasting one is added above this share of the target.
    constexpr double HarmWeight = 4.0; ///< Slow answers to the users of a lasting task weigh more than work in spare room that waits.
    constexpr double LargestHarm = 0.5; ///< Harm that a task whose time runs out may do, as a share of its own processors.
    constexpr double NegligibleRise = 0.02; ///< A smaller rise of a tail is no reason against a place.
    constexpr double FarScore = 4.0; ///< Being away from the data weighs more than any packing.
    constexpr double PressureScore = 4.0; ///< A lasting task over its target loses four times its share.
    constexpr double SameStepScore = 0.3; ///< A host that is lost should take few tasks of the same step with it.
    constexpr double StrangeImageScore = 1.0; ///< For each other image of lasting tasks on the worker.
    constexpr double SameImageScore = 1.0; ///< For a worker that has the image already.
    constexpr double SensitivityScore = 1.0; ///< For each unit by which a worker becomes more sensitive.
    constexpr double SparingScore = 0.4; ///< For each unit of a worker's sensitivity, when a task leaves the others alone.

    bool hasLabel(const PlacementCandidate &candidate, const std::string &label)
    {
        return candidate.labels != nullptr && std::find(candidate.labels->begin(), candidate.labels->end(), label) != candidate.labels->end();
    }

    /** Processors that tasks in spare room may still take without being slowed. */
    std::int64_t availableSpareCpu(const PlacementCandidate &candidate)
    {
        const std::int64_t idleLasting = candidate.longRunningCpu * LastingIdlePercent / 100;
        return candidate.capacity.cpuMillis - candidate.used.cpuMillis + idleLasting - candidate.spareCpuRequested;
    }

    /** Share of a worker's processors that a task asks for. */
    double shareOf(const StepSpec &step, const PlacementCandidate &candidate)
    {
        return static_cast<double>(step.request.cpuMillis) / std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
    }

    /** Slope of a spare image against lasting tasks; one that was never seen has the slope of an unknown pair. */
    double slopeAt(const WorkerQuery &query, const std::vector<double> &slopes, const std::optional<std::size_t> &spare, const std::string &longRunningImage)
    {
        return spare ? slopes[*spare] : interferenceSlope(query.interference, longRunningImage, query.step.image);
    }

    /**
     * Returns whether a task in spare room does more harm than it is worth. Both are counted in processors: those that it asks for, and those of
     * the lasting tasks that it sends over their targets.
     */
    bool isHarmTooLarge(const WorkerQuery &query, const std::optional<std::size_t> &spare, const PlacementCandidate &candidate)
    {
        const double share = shareOf(query.step, candidate);
        double harmedMillis = 0;
        for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
            const double rise = slopeAt(query, *tasks.slopes, spare, image) * share;
            if (tasks.highestTailRatio + rise > 1.0) {
                return true;
            }
            const double before = expectedTailRatio(query.interference, image, candidate.spareCpuShares);
            const double chance = probabilityOverTarget(query.interference, image, before + rise) - probabilityOverTarget(query.interference, image, before);
            harmedMillis += HarmWeight * chance * static_cast<double>(tasks.cpuMillis);
        }
        return harmedMillis > LargestHarm * static_cast<double>(query.step.request.cpuMillis);
    }

    /** Returns how much the tails of the lasting tasks on a worker rise through one more task in spare room; nothing if one would be too high. */
    std::optional<double> pressureOf(const WorkerQuery &query, const std::optional<std::size_t> &spare, const PlacementCandidate &candidate)
    {
        const double share = shareOf(query.step, candidate);
        if (query.acceptsInterference && isHarmTooLarge(query, spare, candidate)) {
            return std::nullopt;
        }
        double sum = 0;
        for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
            const double rise = slopeAt(query, *tasks.slopes, spare, image) * share;
            const bool isHarmful = rise > NegligibleRise && !query.acceptsInterference;
            // The load of a lasting task swings more slowly than looks come, so a high tail stays for a while.
            if (isHarmful
                && (tasks.highestTailRatio + rise > HighestTail
                    || expectedTailRatio(query.interference, image, candidate.spareCpuShares) + rise > HighestTail)) {
                return std::nullopt;
            }
            sum += rise * tasks.count;
        }
        return sum;
    }

    /** Returns how much more sensitive a worker becomes through one more lasting task. */
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

    /** Returns the score of a worker for a lasting task: workers with few images, all alike, leave the others to what presses on these. */
    double lastingScore(const WorkerQuery &query, const PlacementCandidate &candidate, std::uint32_t alreadyThere)
    {
        double score = alreadyThere * SameStepScore + addedSensitivity(query, candidate) * SensitivityScore;
        for (const auto &[image, tasks] : candidate.latencySensitiveTasks) {
            score += image == query.step.image ? 0.0 : StrangeImageScore;
        }
        // Among like workers the fuller one, so that the next image finds empty ones.
        score += candidate.latencySensitiveTasks.contains(query.step.image) ? -SameImageScore : 0.0;
        return score + expectedTailRatio(query.interference, query.step.image, candidate.spareCpuShares);
    }

    /** Lower is better; nothing if the task must not run there. */
    std::optional<double>
    scoreOf(const WorkerQuery &query, const std::optional<std::size_t> &spare, const PlacementCandidate &candidate, std::uint32_t alreadyThere)
    {
        const StepSpec &step = query.step;
        const double capacity = std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
        const double freeCpu = static_cast<double>(candidate.capacity.cpuMillis - candidate.used.cpuMillis) / capacity;
        double score = isDataRemote(step, candidate.rack) ? FarScore : 0.0;
        score += candidate.consecutiveFailures;
        if (step.usesSpareCapacity) {
            const auto pressure = pressureOf(query, spare, candidate);
            if (!pressure) {
                return std::nullopt;
            }
            // Sensitive workers first, as long as the task does not press on them: the others are left for those that do.
            return score + *pressure * PressureScore - candidate.sensitivity * SparingScore - static_cast<double>(availableSpareCpu(candidate)) / capacity;
        }
        if (step.isLongRunning) {
            return score + lastingScore(query, candidate, alreadyThere) - freeCpu;
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
    return candidate.service == service && (step.requiredLabel.empty() || hasLabel(candidate, step.requiredLabel));
}

bool isDataRemote(const StepSpec &step, const std::string &rack)
{
    return !step.dataRack.empty() && step.dataRack != rack;
}

bool hasCapacityFor(const StepSpec &step, const PlacementCandidate &candidate)
{
    const Resources free = candidate.capacity - candidate.used;
    if (step.request.memoryMb > free.memoryMb || step.request.accelerators > free.accelerators) {
        return false;
    }
    if (!step.usesSpareCapacity) {
        return step.request.cpuMillis <= free.cpuMillis;
    }
    return step.request.cpuMillis <= availableSpareCpu(candidate);
}

std::optional<std::size_t> chooseWorker(const WorkerQuery &query, const std::vector<PlacementCandidate *> &candidates)
{
    const auto spare = spareImageIndex(query.slopes, query.step.image);
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = *candidates[i];
        if (candidate.incarnation == query.excluded || !isEligible(query.step, query.service, candidate) || !hasCapacityFor(query.step, candidate)) {
            continue;
        }
        const auto there = query.spread.find(candidate.incarnation);
        const std::uint32_t count = there == query.spread.end() ? 0 : there->second;
        if (query.step.maxPerWorker > 0 && count >= query.step.maxPerWorker) {
            continue;
        }
        const auto score = scoreOf(query, spare, candidate, count);
        if (score && (!best || *score < bestScore)) {
            best = i;
            bestScore = *score;
        }
    }
    return best;
}

void reserveCapacity(PlacementCandidate &candidate, const StepSpec &step, const SlopeTable &table)
{
    candidate.used.memoryMb += step.request.memoryMb;
    candidate.used.accelerators += step.request.accelerators;
    if (step.usesSpareCapacity) {
        candidate.spareCpuRequested += step.request.cpuMillis;
        candidate.spareCpuShares[step.image] += shareOf(step, candidate);
        return;
    }
    candidate.used.cpuMillis += step.request.cpuMillis;
    candidate.longRunningCpu += step.isLongRunning ? step.request.cpuMillis : 0;
    if (step.isLongRunning && step.latencyTarget.ms > 0) {
        LatencySensitiveTasks &tasks = candidate.latencySensitiveTasks[step.image];
        ++tasks.count;
        tasks.cpuMillis += step.request.cpuMillis;
        tasks.slopes = &slopesOf(table, step.image);
        updateSensitivity(candidate, table);
    }
}

} // namespace Filbertlanding
