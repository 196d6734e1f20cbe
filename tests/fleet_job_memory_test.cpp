/** @file fleet_job_memory_test.cpp Tests of the memory that callers can make a replica use. */

#include "fleet/state_memory.h"
#include "fleet_jobs.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

constexpr WallTime Noon{1'800'000'000'000};
constexpr std::size_t MaxEndedJobBytes = 512; ///< Encoded bytes of an ended job whose id and queue have short names.
constexpr std::uint32_t ManyTasks = 20'000;

FleetState stateWithQueue()
{
    FleetState state;
    FleetManifest manifest;
    manifest.version = 1;
    manifest.queues.emplace_back();
    applyFleetCommand(state, PutManifest{manifest});
    return state;
}

/** A worker that runs whatever it is told to start. */
IncarnationNumber addWorker(FleetState &state)
{
    WorkerProfile profile;
    profile.worker = "w";
    profile.startedAtMs = 1;
    profile.capacity = {64'000, 64'000, 0};
    return applyFleetCommand(state, RegisterWorker{profile, 0}).incarnation;
}

JobSpec largeJob()
{
    JobSpec spec = twoStepJob(ManyTasks, {100});
    spec.payload.assign(4'000, 'x');
    return spec;
}

FleetChange submit(FleetState &state, const JobId &id, const JobSpec &spec)
{
    return applyFleetCommand(state, SubmitFleetJob{id, {}, {}, Noon, spec});
}

} // namespace

TEST_CASE("Ended jobs do not fill the memory of a replica")
{
    // Guards against cancelled jobs that keep all of their tasks for the retention time: a few of them ended all cores (review case 7).
    constexpr int Jobs = 24;
    FleetState state = stateWithQueue();
    const std::size_t emptyBytes = encodeFleetState(state).size();

    SUBCASE("when they are cancelled before a task has started")
    {
        for (int i = 0; i < Jobs; ++i) {
            const JobId id = "job" + std::to_string(i);
            submit(state, id, largeJob());
            applyFleetCommand(state, CancelFleetJob{id, Noon});
        }
        applyFleetCommand(state, AdvanceRetentionClock{RetentionClockInterval});
        CHECK(encodeFleetState(state).size() < emptyBytes + Jobs * MaxEndedJobBytes);

        SUBCASE("and a submission that arrives again finds its job")
        {
            CHECK_FALSE(submit(state, "job3", largeJob()).isApplied);
            CHECK_FALSE(applyFleetCommand(state, CancelFleetJob{"job3", Noon}).isApplied);
            CHECK(state.cancelledBeforeSubmission.empty());
        }
    }

    SUBCASE("when workers still have runs of them")
    {
        const IncarnationNumber worker = addWorker(state);
        const JobNumber job = submit(state, "job", largeJob()).job;
        const TaskRef task{job, 0, 0, ManyTasks - 1};
        applyFleetCommand(state, StartRun{task, 1, worker});
        applyFleetCommand(state, CancelFleetJob{"job", Noon});
        applyFleetCommand(state, AdvanceRetentionClock{RetentionClockInterval});
        REQUIRE(state.jobs.contains(job));
        CHECK(state.jobs.at(job).occurrences.at(0).steps[0].tasks[ManyTasks - 1].active.size() == 1);
        CHECK(state.jobs.at(job).occurrences.at(0).steps[1].tasks.empty());

        SUBCASE("until these have ended")
        {
            CHECK(applyFleetCommand(state, EndRun{task, 1, worker, RunOutcome::Stopped, {}, Noon}).isApplied);
        }

        SUBCASE("until their worker has ended")
        {
            CHECK(applyFleetCommand(state, EndIncarnation{worker}).isApplied);
        }
        applyFleetCommand(state, AdvanceRetentionClock{RetentionClockInterval});
        CHECK(encodeFleetState(state).size() < emptyBytes + 2 * MaxEndedJobBytes);
    }

    SUBCASE("when a replica reads the snapshot of a version that kept their tasks")
    {
        constexpr char OldSnapshotVersion = 6;
        const JobNumber job = submit(state, "job", largeJob()).job;
        state.jobs.at(job).state = FleetJobState::Cancelled;
        std::string old = encodeFleetState(state);
        REQUIRE(old.size() > ManyTasks);
        if (old.front() > OldSnapshotVersion) {
            old.front() = OldSnapshotVersion;
            old.resize(old.size() - sizeof(std::uint32_t)); // The number of ended jobs, which that version did not list apart.
        }
        FleetState restored;
        REQUIRE(decodeFleetState(old, restored) == ResultCode::Ok);
        CHECK_FALSE(submit(restored, "job", largeJob()).isApplied);
        CHECK(encodeFleetState(restored).size() < emptyBytes + 2 * MaxEndedJobBytes);
    }
}

TEST_CASE("The complete occurrences of a repeated job do not fill the memory of a replica")
{
    // Guards against a job that runs again and again, and whose tasks of earlier times are all kept.
    constexpr std::uint32_t Occurrences = 200;
    constexpr std::size_t MaxOpenAtOnce = 64;
    const Duration longEnough{20'000};
    FleetSimulation simulation({});
    simulation.run({100});
    JobSpec repeated = oneStepJob(2, SmallTask, {50});
    repeated.repeatCount = 1'000'000;
    simulation.submit("repeated", repeated);
    simulation.run(longEnough);
    const JobNumber job = simulation.state.jobNumbers.at("repeated");
    const std::uint32_t before = simulation.state.jobs.at(job).completeCount;
    CHECK(before > Occurrences);
    CHECK(simulation.state.jobs.at(job).occurrences.size() <= MaxOpenAtOnce);

    SUBCASE("and the next leader opens none of them again")
    {
        simulation.changeLeader({700});
        simulation.run(longEnough);
        CHECK(simulation.state.jobs.at(job).completeCount > before + Occurrences);
        CHECK(simulation.state.jobs.at(job).occurrences.size() <= MaxOpenAtOnce);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }
}

TEST_CASE("Jobs that are cancelled while their starts are on the way do not disturb the others")
{
    // Guards against a leader that looks up what is no longer held of an ended job.
    FleetSimulation simulation({});
    simulation.run({100});
    for (int round = 0; round < 40; ++round) {
        const JobId id = "large" + std::to_string(round);
        simulation.submit(id, twoStepJob(300, {400}));
        simulation.run({5 * round});
        simulation.cancel(id);
        simulation.submit("small" + std::to_string(round), twoStepJob(2, {100}));
        simulation.run({50});
    }
    simulation.run({15'000});
    for (int round = 0; round < 40; ++round) {
        CHECK(simulation.outcomes.at("small" + std::to_string(round)).state == FleetJobState::Completed);
    }
    CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
}

TEST_CASE("Occurrences for which no memory is reserved wait for it")
{
    // Guards against a repeated job that is due many times at once and takes many times the memory that was counted when it was accepted.
    FleetSimulationSettings settings;
    SUBCASE("while there is none")
    {
        settings.scheduler.openJobsBytes = 1;
    }
    SUBCASE("but not while there is enough")
    {
    }
    const bool isLimited = settings.scheduler.openJobsBytes == 1;
    FleetSimulation simulation(settings);
    simulation.run({100});
    JobSpec repeated = oneStepJob(2, SmallTask, {500});
    repeated.repeatCount = 1'000'000;
    simulation.submit("repeated", repeated);
    simulation.run({400});
    const FleetJob &job = simulation.state.jobs.at(simulation.state.jobNumbers.at("repeated"));
    CHECK(job.occurrences.size() == (isLimited ? ReservedOccurrences : 64));
    simulation.run({20'000});
    CHECK(job.completeCount > 100);
}
