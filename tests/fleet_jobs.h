/** @file fleet_jobs.h Jobs and helpers for the tests of the fleet scheduler. */

#pragma once

#include "fakes/fleet_simulation.h"

#include <string>
#include <vector>

namespace Filbertlanding {

inline const Resources SmallTask{2'000, 4'000, 0};

/** Returns a job of two identical steps, the second of which depends on the first. */
inline JobSpec twoStepJob(std::uint32_t tasks, Duration length)
{
    JobSpec spec = oneStepJob(tasks, SmallTask, length);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().dependsOn = {0};
    return spec;
}

/** Returns a job of long-running tasks with a latency target. */
inline JobSpec longRunningJob(std::uint32_t tasks, const std::string &image)
{
    JobSpec spec = oneStepJob(tasks, {6'000, 8'000, 0}, {400});
    spec.steps.front().isLongRunning = true;
    spec.steps.front().image = image;
    spec.steps.front().latencyTarget = {20};
    return spec;
}

/** Returns a job of tasks that use spare capacity. */
inline JobSpec spareCapacityJob(std::uint32_t tasks, const std::string &image, Duration length)
{
    JobSpec spec = oneStepJob(tasks, {3'500, 4'000, 0}, length);
    spec.steps.front().usesSpareCapacity = true;
    spec.steps.front().image = image;
    return spec;
}

/** Returns the first violations as one string, for failure messages. */
inline std::string firstViolations(const std::vector<std::string> &violations)
{
    std::string text;
    for (std::size_t i = 0; i < violations.size() && i < 5; ++i) {
        text += violations[i] + "\n";
    }
    return text;
}

} // namespace Filbertlanding
