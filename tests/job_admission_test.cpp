/** @file job_admission_test.cpp Tests of admission control by the memory of open jobs. */

#include "fleet/job_admission.h"
#include "fleet/long_running_admission.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace Filbertlanding;

namespace {

JobSpec makeJob(std::uint32_t tasks, std::size_t payload)
{
    JobSpec spec;
    spec.payload.assign(payload, 'x');
    StepSpec step;
    step.taskCount = tasks;
    spec.steps.push_back(step);
    return spec;
}

} // namespace

TEST_CASE("The memory of all that callers make a replica hold is limited")
{
    // Guards against ended jobs and cancellations of unknown jobs that exhaust the memory of a replica, since they must be known for as long as promised.
    const MemoryLimits limits{.openJobs = 1'000'000, .endedJobs = 100'000};
    const std::size_t jobBytes = estimateJobMemory(makeJob(20, 200));
    MemoryUse use;
    CHECK(findMemoryRefusal(use, limits, jobBytes) == AdmissionRefusal::None);

    SUBCASE("of submissions that are not applied yet")
    {
        use.pendingJobs = limits.openJobs - jobBytes + 1;
        CHECK(findMemoryRefusal(use, limits, jobBytes) == AdmissionRefusal::OpenJobs);
        CHECK(mayRememberMore(use, limits));
    }

    SUBCASE("of jobs whose runs have not ended")
    {
        use.state.jobs = limits.openJobs - jobBytes + 1;
        CHECK(findMemoryRefusal(use, limits, jobBytes) == AdmissionRefusal::OpenJobs);
    }

    SUBCASE("of ended jobs")
    {
        use.state.endedJobs = limits.endedJobs;
        CHECK(findMemoryRefusal(use, limits, jobBytes) == AdmissionRefusal::EndedJobs);
        CHECK_FALSE(mayRememberMore(use, limits));
    }

    SUBCASE("of cancellations, together with the ended jobs")
    {
        use.state.endedJobs = limits.endedJobs / 2;
        use.state.cancellations = limits.endedJobs / 2;
        CHECK(findMemoryRefusal(use, limits, jobBytes) == AdmissionRefusal::EndedJobs);
        CHECK_FALSE(mayRememberMore(use, limits));
    }
}

TEST_CASE("What a caller sends counts for the memory of its job")
{
    // Guards against memory that a caller can use without a limit: long lists and texts in a job of few tasks.
    const JobSpec plain = makeJob(1, 0);
    const std::size_t plainBytes = estimateJobMemory(plain);
    constexpr std::size_t Length = 10'000;
    JobSpec spec = plain;

    SUBCASE("the payload")
    {
        spec.payload.assign(Length, 'x');
    }

    SUBCASE("the dependencies of a step")
    {
        spec.steps.front().dependsOn.assign(Length, 0);
    }

    SUBCASE("the texts of a step")
    {
        spec.steps.front().image.assign(Length, 'x');
    }
    CHECK(estimateJobMemory(spec) >= plainBytes + Length);
}

TEST_CASE("The memory of open jobs is limited")
{
    // Guards against a backlog that exhausts the memory of a replica, since every accepted job is kept until it has run.
    constexpr std::size_t Bound = 1'000'000;
    std::size_t open = 0;
    std::size_t accepted = 0;
    const JobSpec spec = makeJob(20, 200);
    while (canAdmitJob({open, estimateJobMemory(spec), Bound})) {
        open += estimateJobMemory(spec);
        ++accepted;
    }
    CHECK(open <= Bound);
    CHECK(accepted > 50);

    SUBCASE("a smaller job may still fit")
    {
        CHECK(canAdmitJob({Bound - estimateJobMemory(makeJob(1, 10)), estimateJobMemory(makeJob(1, 10)), Bound}));
    }

    SUBCASE("an ended job frees its memory")
    {
        CHECK(canAdmitJob({open - estimateJobMemory(spec), estimateJobMemory(spec), Bound}));
    }

    SUBCASE("a job larger than the limit is refused even if no job is open")
    {
        CHECK_FALSE(canAdmitJob({0, estimateJobMemory(makeJob(100'000, 10)), Bound}));
    }

    SUBCASE("refused callers do not all retry at the same time")
    {
        std::set<std::int64_t> times;
        for (int i = 0; i < 200; ++i) {
            times.insert(retryDelayAfterRefusal("job" + std::to_string(i)).ms / 1'000);
        }
        CHECK(times.size() >= 5);
        CHECK(*times.begin() >= 1);
    }
}

TEST_CASE("A long-running job gives way only to short jobs that wait for the same CPU")
{
    // Guards against long-running jobs that are refused because of jobs of another service, of a lower priority, or of the past.
    const TimePoint seen{100'000};
    const ShortJobWaits waits{{{"quotes", 1}, seen}};
    CHECK(!canAdmitLongRunningJob(waits, "quotes", 1, seen));
    CHECK(!canAdmitLongRunningJob(waits, "quotes", 2, seen + Duration{1'000}));
    CHECK(canAdmitLongRunningJob(waits, "quotes", 0, seen));
    CHECK(canAdmitLongRunningJob(waits, "surveys", 1, seen));
    CHECK(canAdmitLongRunningJob(waits, "quotes", 1, seen + Duration{3'000}));
    JobSpec spec = makeJob(1, 0);
    CHECK(!reservesCpuForGood(spec));
    spec.steps.front().isLongRunning = true;
    CHECK(reservesCpuForGood(spec));
    spec.steps.front().usesSpareCapacity = true;
    CHECK(!reservesCpuForGood(spec));
}
