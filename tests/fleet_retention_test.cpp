/** @file fleet_retention_test.cpp Tests of how long ended jobs are known: as long as promised, whatever the time of day does, and not for good. */

#include "core/bounded_archive.h"
#include "fleet_jobs.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

constexpr WallTime Noon{1'800'000'000'000};
constexpr Duration Hour{3'600'000};
constexpr Duration TickStep{1'000};
constexpr Duration LeaderLease{2'000};

/** A replicated state, and leaders that apply what they propose. */
struct Retention {
    FleetState state;
    FleetScheduler scheduler;
    TimePoint now{10'000};
    WallTime wall = Noon;
    std::uint64_t term = 0;

    Retention()
    {
        FleetManifest manifest;
        manifest.version = 1;
        manifest.queues.emplace_back();
        applyFleetCommand(this->state, PutManifest{manifest});
        this->changeLeader();
    }

    void changeLeader()
    {
        this->scheduler = startScheduler({}, this->state, ++this->term, 0, this->now, this->wall);
    }

    /** Ends one job, and cancels one that has not arrived. */
    void endJobs()
    {
        const QueueConfig &queue = this->state.manifest.queues.front();
        applyFleetCommand(this->state, SubmitFleetJob{"ended", queue.host, queue.pathPrefix, this->wall, oneStepJob(1, SmallTask, {100})});
        applyFleetCommand(this->state, CancelFleetJob{"ended", this->wall});
        applyFleetCommand(this->state, CancelFleetJob{"early", this->wall});
    }

    void tick()
    {
        for (const FleetCommand &command : schedulerTick(this->scheduler, this->state, this->now, this->wall, this->now + LeaderLease).propose) {
            const FleetChange change = applyFleetCommand(this->state, command);
            handleApplied(this->scheduler, this->state, command, change, this->now, this->wall);
        }
    }

    void run(Duration length)
    {
        const TimePoint end = this->now + length;
        while (this->now < end) {
            this->now = this->now + TickStep;
            this->wall.ms += TickStep.ms;
            this->tick();
        }
    }

    bool isKnown() const
    {
        return findJobStatus(this->state, "ended").has_value() && this->state.cancelledBeforeSubmission.contains("early");
    }

    bool isEmpty() const
    {
        return this->state.jobs.empty() && this->state.endedJobs.empty() && this->state.jobNumbers.empty() && this->state.cancelledBeforeSubmission.empty();
    }
};

constexpr Duration LongestRetention = EndedJobRetention + MaxRetentionClockAdvance * 3;

} // namespace

TEST_CASE("An ended job is known for the retention time and then removed, whatever the clocks do")
{
    // Guards against an ended job that is answered as unknown, and against ended jobs that fill the memory.
    Retention retention;
    retention.run({60'000});
    retention.endJobs();

    SUBCASE("when the time of day is right")
    {
        retention.run(EndedJobRetention);
        CHECK(retention.isKnown());
        retention.run(LongestRetention - EndedJobRetention);
        CHECK(retention.isEmpty());
    }

    SUBCASE("when the time of day steps forward again and again")
    {
        for (int i = 0; i < 20; ++i) {
            retention.wall.ms += Hour.ms;
            retention.run({30'000});
        }
        CHECK(retention.isKnown());
        retention.run(LongestRetention - EndedJobRetention);
        CHECK(retention.isEmpty());
    }

    SUBCASE("when the time of day steps back")
    {
        retention.wall.ms -= Hour.ms * 100;
        retention.run(EndedJobRetention);
        CHECK(retention.isKnown());
        retention.run(LongestRetention - EndedJobRetention);
        CHECK(retention.isEmpty());
    }

    SUBCASE("when a leader stands still for an hour")
    {
        retention.now = retention.now + Hour;
        retention.wall.ms += Hour.ms;
        retention.tick();
        CHECK(retention.isKnown());
        retention.run(LongestRetention);
        CHECK(retention.isEmpty());
    }

    SUBCASE("when the leader changes every 12 s, on another clock each time")
    {
        for (int i = 0; i < 50; ++i) {
            retention.now = TimePoint{Hour.ms * (i % 2 == 0 ? 1'000 : 1)};
            retention.changeLeader();
            retention.run({12'000});
        }
        CHECK(retention.isKnown());
        for (int i = 0; i < 50; ++i) {
            retention.changeLeader();
            retention.run({12'000});
        }
        CHECK(retention.isEmpty());
    }

    SUBCASE("when replicas are restored from a snapshot meanwhile")
    {
        retention.run({300'000});
        FleetState restored;
        REQUIRE(decodeFleetState(encodeFleetState(retention.state), restored) == ResultCode::Ok);
        CHECK(restored.retentionClock == retention.state.retentionClock);
        retention.state = restored;
        retention.changeLeader();
        retention.run({300'000});
        CHECK(retention.isKnown());
        retention.run(LongestRetention - EndedJobRetention);
        CHECK(retention.isEmpty());
    }
}

TEST_CASE("A job that has not ended is never removed")
{
    Retention retention;
    retention.endJobs();
    const QueueConfig &queue = retention.state.manifest.queues.front();
    applyFleetCommand(retention.state, SubmitFleetJob{"open", queue.host, queue.pathPrefix, Noon, oneStepJob(1, SmallTask, {100})});
    retention.run(LongestRetention * 2);
    CHECK_FALSE(retention.isKnown());
    CHECK(findJob(retention.state, "open") != nullptr);
}

TEST_CASE("The retention clock does not run while there is nothing to remove")
{
    Retention retention;
    retention.run({60'000});
    CHECK(retention.state.retentionClock == Duration{0});
}

TEST_CASE("A log of a version that removed jobs by the time of day has the effect that it had")
{
    // Replicas that read such a log with other results would disagree on which jobs are known.
    constexpr char OldCommandVersion = 2;
    constexpr int Submissions = 64;
    Retention retention;
    retention.endJobs();
    const QueueConfig &queue = retention.state.manifest.queues.front();
    const WallTime later{Noon.ms + Hour.ms};
    std::vector<FleetCommand> commands;
    commands.reserve(Submissions);
    for (int i = 0; i < Submissions; ++i) {
        commands.emplace_back(SubmitFleetJob{"job" + std::to_string(i), queue.host, queue.pathPrefix, later, oneStepJob(1, SmallTask, {100})});
    }

    SUBCASE("in an entry of that version")
    {
        const auto decoded = decodeCommands(encodeVersioned(OldCommandVersion, commands));
        REQUIRE(decoded);
        for (const FleetCommand &command : *decoded) {
            applyFleetCommand(retention.state, command);
        }
        CHECK_FALSE(findJobStatus(retention.state, "ended"));
        CHECK(retention.state.cancelledBeforeSubmission.empty());
    }

    SUBCASE("and an entry of this version has none on ended jobs")
    {
        const auto decoded = decodeCommands(encodeCommands(commands));
        REQUIRE(decoded);
        for (const FleetCommand &command : *decoded) {
            applyFleetCommand(retention.state, command);
        }
        CHECK(retention.isKnown());
    }
}
