/** @file crash_day.h A fleet that is busy with sound jobs, for the tests of workers that crash. */

#pragma once

#include "fleet_jobs.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Returns settings of a fleet whose workers come back 3 s after a crash, for half of the seeds under a new name. */
inline FleetSimulationSettings crashSettings(std::uint64_t seed)
{
    FleetSimulationSettings settings;
    settings.seed = seed;
    settings.workers = 24;
    settings.restartTime = {3'000};
    settings.restartJitter = {800};
    settings.resetsConnections = true;
    settings.restartsUnderNewName = seed % 2 == 0;
    return settings;
}

/** A simulated fleet to which sound jobs are submitted all the time: short ones, long-running ones, and ones that use spare capacity. */
class CrashDay
{
public:
    explicit CrashDay(const FleetSimulationSettings &settings, Duration timeBetweenJobs = {240})
        : simulation(settings)
        , jobRandom{mixBits(settings.seed)}
        , jobInterval(timeBetweenJobs)
    {
        this->simulation.run({100});
        this->simulation.submit("watch", longRunningJob(24, "watch"));
        this->simulation.submit("search", longRunningJob(12, "search"));
        this->longRunning = {"watch", "search"};
        this->run({3'000});
    }

    /** Advances the time, and submits sound jobs meanwhile. */
    void run(Duration length)
    {
        const TimePoint end = this->simulation.now + length;
        while (this->simulation.now < end) {
            if (this->simulation.now >= this->nextJob) {
                this->nextJob = this->simulation.now + this->jobInterval;
                this->submitAgain();
                this->submitSoundJob();
            }
            this->simulation.run(TimeStep);
        }
    }

    /** Advances the time until tasks have caused a number of crashes; returns whether they have within a minute. */
    bool runUntilCrashes(std::uint64_t crashes)
    {
        const TimePoint end = this->simulation.now + Duration{60'000};
        while (this->simulation.crashesByTasks < crashes && this->simulation.now < end) {
            this->run(TimeStep);
        }
        return this->simulation.crashesByTasks >= crashes;
    }

    /** Submits a job whose named tasks of the first step crash their workers. */
    void submitCrashing(const JobId &id, const JobSpec &spec, const std::vector<std::uint32_t> &indices, const CrashTime &time)
    {
        for (const std::uint32_t index : indices) {
            this->simulation.makeCrashing(id, 0, index, time);
        }
        this->crashing.push_back(id);
        this->submit(id, spec);
    }

    /** Cancels a job of which some tasks crash their workers, so that it need not be given up. */
    void cancelCrashing(const JobId &id)
    {
        std::erase(this->crashing, id);
        this->cancelled.push_back(id);
        this->simulation.cancel(id);
    }

    /** Lets the next leader begin with the state as it is read from a snapshot. */
    void restoreNextLeader(Duration gap)
    {
        this->simulation.changeLeader(gap);
        FleetState restored;
        REQUIRE(decodeFleetState(encodeFleetState(this->simulation.state), restored) == ResultCode::Ok);
        this->simulation.state = restored;
    }

    /** Advances the time until all jobs with crashing tasks have ended, at most for a minute, and for some seconds more. */
    void runUntilGivenUp()
    {
        const TimePoint end = this->simulation.now + Duration{60'000};
        while (this->simulation.now < end && this->hasOpenCrashingJobs()) {
            this->run({200});
        }
        this->run({3'000});
    }

    /** Submits no more jobs, and waits until all that can end have ended, at most for a minute. */
    void finish()
    {
        const TimePoint end = this->simulation.now + Duration{60'000};
        while (this->simulation.now < end && !this->describeOpenJobs().empty()) {
            this->simulation.run({500});
            this->submitAgain();
        }
    }

    /** Returns the jobs that have not ended as they should, with their states: sound jobs complete, or run all their tasks; others are given up. */
    std::string describeOpenJobs() const
    {
        std::string text;
        for (const auto &[id, outcome] : this->simulation.outcomes) {
            if (!this->isAsExpected(id, outcome)) {
                text += id + " is in state " + std::to_string(static_cast<int>(outcome.state)) + "\n";
            }
        }
        return text;
    }

    /** Returns the total time that the short sound jobs have taken, until now for those that are not complete. */
    Duration totalJobTime() const
    {
        Duration total;
        for (const auto &[id, outcome] : this->simulation.outcomes) {
            const bool isShort = id.starts_with("short") || id.starts_with("spare");
            const bool isComplete = outcome.state == FleetJobState::Completed;
            total = total + (isShort ? (isComplete ? *outcome.endedAt : this->simulation.now) - outcome.submittedAt : Duration{});
        }
        return total;
    }

    FleetSimulation simulation;

private:
    static constexpr Duration TimeStep{20};
    static constexpr Duration RetryInterval{2'000};

    void submit(const JobId &id, const JobSpec &spec)
    {
        this->submissions.emplace(id, spec);
        this->simulation.submit(id, spec);
    }

    /** Submits again what a leader has received but not committed before it was deposed, as callers do. */
    void submitAgain()
    {
        std::erase_if(this->submissions, [this](const auto &item) {
            return findJobStatus(this->simulation.state, item.first).has_value();
        });
        for (const auto &[id, spec] : this->submissions) {
            if (this->simulation.now - this->simulation.outcomes.at(id).submittedAt > RetryInterval) {
                this->simulation.submit(id, spec);
            }
        }
    }

    void submitSoundJob()
    {
        const std::string number = std::to_string(this->jobs++);
        const auto tasks = static_cast<std::uint32_t>(1 + this->jobRandom.below(10));
        const Duration length{200 + static_cast<std::int64_t>(this->jobRandom.below(2'400))};
        if (this->jobRandom.below(4) == 0) {
            this->submit("spare" + number, spareCapacityJob(1 + tasks / 3, "batch", length));
            return;
        }
        JobSpec spec = twoStepJob(tasks, length);
        spec.steps.front().isCheckpointed = this->jobRandom.below(2) == 0;
        spec.steps.front().maxPerWorker = static_cast<std::uint32_t>(this->jobRandom.below(3));
        spec.steps.back().isGang = this->jobRandom.below(5) == 0;
        this->submit("short" + number, spec);
    }

    static bool contains(const std::vector<JobId> &ids, const JobId &id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    bool isAsExpected(const JobId &id, const ModelOutcome &outcome) const
    {
        if (contains(this->crashing, id)) {
            return outcome.state == FleetJobState::Failed && outcome.failure == JobFailure::CrashesWorkers;
        }
        if (contains(this->cancelled, id)) {
            return hasEnded(outcome.state);
        }
        return contains(this->longRunning, id) ? this->areAllTasksActive(id) : outcome.state == FleetJobState::Completed;
    }

    bool hasOpenCrashingJobs() const
    {
        return std::any_of(this->crashing.begin(), this->crashing.end(), [this](const JobId &id) {
            return !hasEnded(this->simulation.outcomes.at(id).state);
        });
    }

    bool areAllTasksActive(const JobId &id) const
    {
        const FleetJob *job = findJob(this->simulation.state, id);
        return job != nullptr && !hasEnded(job->state) && job->occurrences.at(0).steps[0].activeCount == job->spec.steps[0].taskCount;
    }

    Random jobRandom; ///< Apart from that of the simulation, so that the jobs of a seed are the same whatever else happens.
    Duration jobInterval; ///< Time between two sound jobs.
    std::map<JobId, JobSpec> submissions; ///< Submissions that are not committed yet.
    std::vector<JobId> crashing;
    std::vector<JobId> cancelled;
    std::vector<JobId> longRunning;
    std::uint64_t jobs = 0;
    TimePoint nextJob;
};

/** Checks that all jobs have ended as they should and that no guarantee is violated. */
inline void checkDay(CrashDay &day)
{
    day.finish();
    CHECK_MESSAGE(day.simulation.violations.empty(), firstViolations(day.simulation.violations));
    const std::string open = day.describeOpenJobs();
    CHECK_MESSAGE(open.empty(), open);
}

/** Plays a scenario on a busy fleet for each of a number of seeds, and checks each day. */
inline void playDays(const std::function<void(CrashDay &)> &scenario,
                     const std::function<FleetSimulationSettings(std::uint64_t seed)> &settingsOf = crashSettings)
{
    constexpr std::uint64_t DefaultRuns = 10;
    for (std::uint64_t seed = 1; seed <= testRuns(DefaultRuns); ++seed) {
        CAPTURE(seed);
        CrashDay day(settingsOf(seed));
        scenario(day);
        checkDay(day);
    }
}

} // namespace Filbertlanding
