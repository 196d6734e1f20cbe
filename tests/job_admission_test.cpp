/** @file job_admission_test.cpp Refusals at the door for want of room. */

#include "fleet/job_admission.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace Filbertlanding;

namespace {

JobSpec jobOf(std::uint32_t tasks, std::size_t payload)
{
    JobSpec spec;
    spec.payload.assign(payload, 'x');
    StepSpec step;
    step.taskCount = tasks;
    spec.steps.push_back(step);
    return spec;
}

} // namespace

TEST_CASE("Open jobs have a bound in memory")
{
    // Guards against a backlog that takes a replica's memory, since everything that is accepted must be kept until it has run.
    constexpr std::size_t Bound = 1'000'000;
    std::size_t open = 0;
    std::size_t accepted = 0;
    const JobSpec spec = jobOf(20, 200);
    while (canAdmitJob({open, estimateJobMemory(spec), Bound})) {
        open += estimateJobMemory(spec);
        ++accepted;
    }
    CHECK(open <= Bound);
    CHECK(accepted > 50);

    SUBCASE("a smaller job may still find room")
    {
        CHECK(canAdmitJob({Bound - estimateJobMemory(jobOf(1, 10)), estimateJobMemory(jobOf(1, 10)), Bound}));
    }

    SUBCASE("room comes back when a job has ended")
    {
        CHECK(canAdmitJob({open - estimateJobMemory(spec), estimateJobMemory(spec), Bound}));
    }

    SUBCASE("a job that is larger than the bound is refused, also when nothing is open")
    {
        CHECK_FALSE(canAdmitJob({0, estimateJobMemory(jobOf(100'000, 10)), Bound}));
    }

    SUBCASE("callers that were refused do not come back together")
    {
        std::set<std::int64_t> times;
        for (int i = 0; i < 200; ++i) {
            times.insert(retryDelayAfterRefusal("job" + std::to_string(i)).ms / 1'000);
        }
        CHECK(times.size() >= 5);
        CHECK(*times.begin() >= 1);
    }
}
