/**
 * @file place_run.cpp Placement of single tasks by score.
 *
 * Load: lasting tasks reserve most of the processors but use less than half of them; short tasks need reserved room at once; wide long
 * tasks fill what is left and press on the lasting ones. So short tasks are packed, lasting tasks and tasks in spare room are spread.
 */

#include "fleet/place_run.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Share of the processors that lasting tasks reserve on which tasks in spare room may count. */
    constexpr std::int64_t LastingIdlePercent = 50;

    bool hasLabel(const PlaceCandidate &candidate, const std::string &label)
    {
        return candidate.labels != nullptr && std::find(candidate.labels->begin(), candidate.labels->end(), label) != candidate.labels->end();
    }

    /** Processors that tasks in spare room may still take without being slowed. */
    std::int64_t spareLeft(const PlaceCandidate &candidate)
    {
        const std::int64_t idleLasting = candidate.lastingCpu * LastingIdlePercent / 100;
        return candidate.capacity.cpuMillis - candidate.used.cpuMillis + idleLasting - candidate.spareUsed;
    }

    /** Lower is better. */
    double scoreOf(const StepSpec &step, const PlaceCandidate &candidate, std::uint32_t alreadyThere)
    {
        const double capacity = std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
        const double freeCpu = static_cast<double>(candidate.capacity.cpuMillis - candidate.used.cpuMillis) / capacity;
        double score = 0;
        if (!step.dataRack.empty() && step.dataRack != candidate.rack) {
            score += 4;
        }
        score += candidate.recentFailures * 1.0;
        if (step.fillsSpare) {
            score -= static_cast<double>(spareLeft(candidate)) / capacity;
            score += candidate.targetTasks * 0.05;
        } else if (step.isLasting) {
            // A host or rack that is lost should take few tasks of the same step with it.
            score += alreadyThere * 2.0 - freeCpu;
        } else {
            score += freeCpu;
            score += candidate.isPressed ? 0.5 : 0;
        }
        return score;
    }

} // namespace

bool isEligible(const StepSpec &step, const ServiceName &service, const PlaceCandidate &candidate)
{
    return candidate.service == service && (step.requiredLabel.empty() || hasLabel(candidate, step.requiredLabel));
}

bool hasRoomFor(const StepSpec &step, const PlaceCandidate &candidate)
{
    const Resources free = candidate.capacity - candidate.used;
    if (step.request.memoryMb > free.memoryMb || step.request.accelerators > free.accelerators) {
        return false;
    }
    if (!step.fillsSpare) {
        return step.request.cpuMillis <= free.cpuMillis;
    }
    return !candidate.isPressed && step.request.cpuMillis <= spareLeft(candidate);
}

std::optional<std::size_t>
choosePlace(const StepSpec &step, const ServiceName &service, const std::vector<PlaceCandidate> &candidates, const StepSpread &spread, LifeNumber excluded)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlaceCandidate &candidate = candidates[i];
        if (candidate.life == excluded || !isEligible(step, service, candidate) || !hasRoomFor(step, candidate)) {
            continue;
        }
        const auto there = spread.find(candidate.life);
        const std::uint32_t count = there == spread.end() ? 0 : there->second;
        if (step.maxPerWorker > 0 && count >= step.maxPerWorker) {
            continue;
        }
        const double score = scoreOf(step, candidate, count);
        if (!best || score < bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

void takeRoom(PlaceCandidate &candidate, const StepSpec &step)
{
    candidate.used.memoryMb += step.request.memoryMb;
    candidate.used.accelerators += step.request.accelerators;
    if (step.fillsSpare) {
        candidate.spareUsed += step.request.cpuMillis;
        return;
    }
    candidate.used.cpuMillis += step.request.cpuMillis;
    candidate.lastingCpu += step.isLasting ? step.request.cpuMillis : 0;
    candidate.targetTasks += step.isLasting && step.latencyTarget.ms > 0 ? 1 : 0;
}

} // namespace Filbertlanding
