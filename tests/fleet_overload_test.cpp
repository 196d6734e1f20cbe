/** @file fleet_overload_test.cpp Tests of which jobs are served when long-running tasks reserve most of the fleet. */

#include "fleet/fleet_load.h"
#include "fleet_jobs.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace Filbertlanding;

namespace {

/** A job that was submitted. */
struct SubmittedJob {
    JobId id;
    double work = 0; ///< CPU that its tasks ask for, times their run time.
};

/** A fleet of which long-running tasks of several images reserve most, so that short jobs share the rest. */
class BusyFleet
{
public:
    explicit BusyFleet(std::uint64_t seed)
        : simulation(settingsOf(seed))
        , jobRandom{mixBits(seed)}
    {
        this->simulation.run({100});
        for (int i = 0; i < LongRunningJobs; ++i) {
            this->simulation.submit("watch" + std::to_string(i), longRunningJob(12, "image" + std::to_string(i % Images)));
        }
        this->simulation.run({3'000});
    }

    /** Submits short jobs of very different sizes for a time. */
    void runBurst(Duration length, Duration interval)
    {
        const TimePoint end = this->simulation.now + length;
        while (this->simulation.now < end) {
            this->submitShortJob();
            this->simulation.run(interval);
        }
    }

    /** Returns the share of jobs whose result still had some value, of those from a quantile of the sizes on. */
    double servedShare(double fromQuantile)
    {
        std::sort(this->jobs.begin(), this->jobs.end(), [](const SubmittedJob &left, const SubmittedJob &right) {
            return left.work < right.work;
        });
        const auto first = static_cast<std::size_t>(fromQuantile * static_cast<double>(this->jobs.size()));
        std::size_t served = 0;
        for (std::size_t i = first; i < this->jobs.size(); ++i) {
            const ModelOutcome &outcome = this->simulation.outcomes.at(this->jobs[i].id);
            served += outcome.endedAt && *outcome.endedAt - outcome.submittedAt <= outcome.objective * 3 ? 1 : 0;
        }
        return static_cast<double>(served) / static_cast<double>(this->jobs.size() - first);
    }

    FleetSimulation simulation;

private:
    static constexpr int LongRunningJobs = 12;
    static constexpr int Images = 4;

    static FleetSimulationSettings settingsOf(std::uint64_t seed)
    {
        FleetSimulationSettings settings;
        settings.seed = seed;
        settings.workers = 36;
        return settings;
    }

    /** Returns a factor around 1 whose logarithm is evenly distributed. */
    double factor(double spread)
    {
        return std::exp(spread * (2.0 * this->jobRandom.unit() - 1.0));
    }

    void submitShortJob()
    {
        const auto tasks = static_cast<std::uint32_t>(std::max(1.0, 4.0 * this->factor(1.4)));
        const auto cpuMillis = static_cast<std::int64_t>(5'000.0 * this->factor(0.8));
        const Duration length{static_cast<std::int64_t>(700.0 * this->factor(0.5))};
        const JobId id = "short" + std::to_string(this->jobs.size());
        this->simulation.submit(id, oneStepJob(tasks, {cpuMillis, cpuMillis, 0}, length));
        this->jobs.push_back({id, static_cast<double>(tasks * cpuMillis * length.ms)});
    }

    Random jobRandom; ///< Apart from that of the simulation, so that the jobs of a seed are the same whatever else happens.
    std::vector<SubmittedJob> jobs;
};

} // namespace

TEST_CASE("The load of a fleet names who uses and who waits for its CPU")
{
    // Guards against jobs that wait for CPU with nothing in the log that says whether long-running, late or useless work has it.
    FleetSimulation simulation(FleetSimulationSettings{});
    simulation.run({100});
    JobSpec watch = longRunningJob(24, "image0");
    watch.steps.front().maxPerWorker = 2;
    simulation.submit("watch", watch);
    simulation.run({2'000});
    simulation.submit("full", oneStepJob(12, {20'000, 1'000, 0}, {60'000}));
    simulation.run({200});
    simulation.submit("waiting", oneStepJob(2, {8'000, 1'000, 0}, {1'000}));
    simulation.run({200});
    const auto of = [](const FleetLoad &load, DeadlineStatus status) {
        return load.byStatus[static_cast<std::size_t>(status)];
    };
    const FleetLoad load = measureFleetLoad(simulation.leaderScheduler(), simulation.state, simulation.now);
    CHECK(load.workers == 12);
    CHECK(load.capacityCpuMillis == 12 * 32'000);
    CHECK(load.longRunning.runningCpuMillis == 24 * 6'000);
    CHECK(of(load, DeadlineStatus::OnTime).runningCpuMillis == load.capacityCpuMillis - load.longRunning.runningCpuMillis - load.freeCpuMillis);
    CHECK(of(load, DeadlineStatus::OnTime).waitingTasks == 2);
    CHECK(of(load, DeadlineStatus::OnTime).waitingCpuMillis == 16'000);
    CHECK(load.fittingCpuMillis == 0);

    simulation.run({4'000});
    const FleetLoad later = measureFleetLoad(simulation.leaderScheduler(), simulation.state, simulation.now);
    CHECK(of(later, DeadlineStatus::Late).waitingTasks + of(later, DeadlineStatus::Expired).waitingTasks == 2);
}

TEST_CASE("Large jobs of a queue are served in a burst too")
{
    // Guards against a burst in which only the small jobs of a queue are served: the large ones wait for room until their results have no value.
    double served = 0;
    double largestServed = 0;
    constexpr std::uint64_t DefaultRuns = 6;
    const std::uint64_t runs = testRuns(DefaultRuns);
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        BusyFleet fleet(seed);
        fleet.runBurst({20'000}, {70});
        fleet.simulation.run({20'000});
        CHECK_MESSAGE(fleet.simulation.violations.empty(), firstViolations(fleet.simulation.violations));
        served += fleet.servedShare(0.0) / static_cast<double>(runs);
        largestServed += fleet.servedShare(0.9) / static_cast<double>(runs);
    }
    MESSAGE("served: ", served, ", of the largest tenth: ", largestServed);
    CHECK(largestServed >= served / 2);
}

TEST_CASE("Narrow jobs are served beside jobs that are too wide for the fleet")
{
    // Guards against a job that cannot be done while its result has value, and keeps the whole fleet from all others because it has begun.
    constexpr int NarrowJobs = 300;
    constexpr int WideInterval = 60; // Narrow jobs from one wide job to the next.
    FleetSimulation simulation(FleetSimulationSettings{});
    simulation.run({1'000});
    for (int i = 0; i < NarrowJobs; ++i) {
        if (i % WideInterval == 0) {
            simulation.submit("wide" + std::to_string(i), oneStepJob(400, {8'000, 1'000, 0}, {1'000}));
        }
        simulation.submit("narrow" + std::to_string(i), oneStepJob(1, {8'000, 1'000, 0}, {200}));
        simulation.run({100});
    }
    simulation.run({30'000});
    const auto served = std::count_if(simulation.outcomes.begin(), simulation.outcomes.end(), [](const auto &item) {
        const ModelOutcome &outcome = item.second;
        return item.first.starts_with("narrow") && outcome.endedAt && *outcome.endedAt - outcome.submittedAt <= outcome.objective * 3;
    });
    MESSAGE("narrow jobs that were served: ", served);
    CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    CHECK(served >= NarrowJobs * 9 / 10);
}

TEST_CASE("Small new jobs are served in a burst of larger ones")
{
    // Guards against jobs on time that get no worker at all, because larger jobs that have begun and are late precede them.
    FleetSimulation simulation(FleetSimulationSettings{});
    simulation.run({1'000});
    constexpr int Jobs = 160;
    constexpr int SmallInterval = 16; // Larger jobs from one small job to the next.
    for (int i = 0; i < Jobs; ++i) {
        if (i % SmallInterval == 0) {
            simulation.submit("small" + std::to_string(i), oneStepJob(2, SmallTask, {300}));
        }
        simulation.submit("large" + std::to_string(i), oneStepJob(12, {8'000, 1'000, 0}, {1'000}));
        simulation.run({125});
    }
    simulation.run({3'000});
    const auto served = std::count_if(simulation.outcomes.begin(), simulation.outcomes.end(), [](const auto &item) {
        const ModelOutcome &outcome = item.second;
        return item.first.starts_with("small") && outcome.endedAt && *outcome.endedAt - outcome.submittedAt <= outcome.objective * 3;
    });
    MESSAGE("small jobs that were served: ", served);
    CHECK(served >= Jobs / SmallInterval / 2);
}
