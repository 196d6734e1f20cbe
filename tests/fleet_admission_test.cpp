/** @file fleet_admission_test.cpp Tests of which jobs are accepted when long-running tasks reserve most of the fleet. */

#include "fleet/job_admission.h"
#include "fleet_jobs.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace Filbertlanding;

namespace {

/** A job that a caller has sent. */
struct SentJob {
    JobId id;
    double work = 0; ///< CPU seconds that its tasks ask for.
    bool isAccepted = false;
};

/** What the callers got. */
struct CallersResult {
    double sent = 0;
    double accepted = 0;
    double served = 0; ///< Accepted, and done while the result has some value.
    double onTime = 0;
    double servedWork = 0;
    double largestSent = 0; ///< Jobs of the largest tenth.
    double largestServed = 0;

    CallersResult &operator+=(const CallersResult &other)
    {
        this->sent += other.sent;
        this->accepted += other.accepted;
        this->served += other.served;
        this->onTime += other.onTime;
        this->servedWork += other.servedWork;
        this->largestSent += other.largestSent;
        this->largestServed += other.largestServed;
        return *this;
    }
};

/** A fleet of which long-running tasks reserve most, and callers whose jobs are as different in size as those of one queue can be. */
class CrowdedFleet
{
public:
    CrowdedFleet(std::uint64_t seed, int longRunningJobs, bool refusesJobs)
        : simulation(settingsOf(seed))
        , jobRandom{mixBits(seed)}
        , refuses(refusesJobs)
    {
        this->simulation.run({100});
        for (int i = 0; i < longRunningJobs; ++i) {
            this->simulation.submit("watch" + std::to_string(i), longRunningJob(12, "image" + std::to_string(i % Images)));
        }
        this->simulation.run({6'000});
    }

    /** Sends short jobs for a time. */
    void send(Duration length, Duration interval)
    {
        const TimePoint end = this->simulation.now + length;
        while (this->simulation.now < end) {
            this->sendShortJob();
            this->simulation.run(interval);
        }
    }

    CallersResult result()
    {
        std::sort(this->jobs.begin(), this->jobs.end(), [](const SentJob &left, const SentJob &right) {
            return left.work < right.work;
        });
        const std::size_t firstOfLargest = this->jobs.size() * 9 / 10;
        CallersResult sum;
        for (std::size_t i = 0; i < this->jobs.size(); ++i) {
            const SentJob &job = this->jobs[i];
            const bool isServed = job.isAccepted && this->isDoneWithin(job.id, 3);
            sum.sent += 1;
            sum.accepted += job.isAccepted ? 1 : 0;
            sum.served += isServed ? 1 : 0;
            sum.onTime += job.isAccepted && this->isDoneWithin(job.id, 1) ? 1 : 0;
            sum.servedWork += isServed ? job.work : 0;
            sum.largestSent += i >= firstOfLargest ? 1 : 0;
            sum.largestServed += i >= firstOfLargest && isServed ? 1 : 0;
        }
        return sum;
    }

    FleetSimulation simulation;
    std::vector<SentJob> jobs;

private:
    static constexpr int Images = 4;
    static constexpr std::size_t MaxOpenBytes = 67'108'864;

    static FleetSimulationSettings settingsOf(std::uint64_t seed)
    {
        FleetSimulationSettings settings;
        settings.seed = seed;
        settings.workers = 36;
        return settings;
    }

    bool isDoneWithin(const JobId &id, std::int64_t objectives) const
    {
        const ModelOutcome &outcome = this->simulation.outcomes.at(id);
        return outcome.endedAt && *outcome.endedAt - outcome.submittedAt <= outcome.objective * objectives;
    }

    /** Returns a factor around 1 whose logarithm is evenly distributed. */
    double factor(double spread)
    {
        return std::exp(spread * (2.0 * this->jobRandom.unit() - 1.0));
    }

    void sendShortJob()
    {
        const auto tasks = static_cast<std::uint32_t>(std::max(1.0, 4.0 * this->factor(1.4)));
        const auto cpuMillis = static_cast<std::int64_t>(5'000.0 * this->factor(0.8));
        const Duration length{static_cast<std::int64_t>(700.0 * this->factor(0.5))};
        const JobSpec spec = oneStepJob(tasks, {cpuMillis, cpuMillis, 0}, length);
        SentJob job{.id = "short" + std::to_string(this->jobs.size()), .work = static_cast<double>(tasks * cpuMillis * length.ms) / 1e6};
        job.isAccepted = !this->refuses || this->canAdmit(spec);
        if (job.isAccepted) {
            this->simulation.submit(job.id, spec);
        }
        this->jobs.push_back(std::move(job));
    }

    /** Returns whether the leader accepts a job. */
    bool canAdmit(const JobSpec &spec) const
    {
        return canAdmitJob({this->simulation.state.memory.jobs, estimateJobMemory(spec), MaxOpenBytes});
    }

    Random jobRandom; ///< Apart from that of the simulation, so that the jobs of a seed are the same whatever else happens.
    bool refuses;
};

/** Plays a day on several seeds and returns the sum. */
CallersResult playCrowdedDays(int longRunningJobs, Duration interval, bool refusesJobs)
{
    constexpr std::uint64_t DefaultRuns = 3;
    const std::uint64_t runs = testRuns(DefaultRuns);
    CallersResult sum;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        CrowdedFleet fleet(seed, longRunningJobs, refusesJobs);
        fleet.send({20'000}, interval);
        fleet.simulation.run({20'000});
        CHECK_MESSAGE(fleet.simulation.violations.empty(), firstViolations(fleet.simulation.violations));
        sum += fleet.result();
    }
    MESSAGE("refuses ",
            refusesJobs,
            ", of ",
            sum.sent,
            " sent: accepted ",
            sum.accepted,
            ", served ",
            sum.served,
            ", on time ",
            sum.onTime,
            ", work served ",
            sum.servedWork,
            "; of ",
            sum.largestSent,
            " of the largest tenth served ",
            sum.largestServed);
    return sum;
}

} // namespace

TEST_CASE("What a crowded fleet cannot serve is refused at once")
{
    // Guards against accepted jobs whose results come without value, because more is accepted than long-running tasks leave room for.
    const auto checkDay = [](int longRunningJobs, Duration interval) {
        const CallersResult acceptsAll = playCrowdedDays(longRunningJobs, interval, false);
        const CallersResult refuses = playCrowdedDays(longRunningJobs, interval, true);
        constexpr double MaxUselessShare = 0.1;
        CHECK(refuses.accepted - refuses.served <= MaxUselessShare * refuses.accepted);
        CHECK(refuses.largestServed / refuses.largestSent >= refuses.served / refuses.sent / 2);
        CHECK(refuses.servedWork >= acceptsAll.servedWork);
        CHECK(refuses.onTime >= acceptsAll.onTime);
    };
    SUBCASE("five sixths of it are reserved")
    {
        checkDay(13, {70});
    }
    SUBCASE("nearly all of it is reserved")
    {
        checkDay(14, {70});
    }
}

TEST_CASE("Long-running jobs are refused while accepted short jobs become late")
{
    // Guards against a burst after which short jobs get no CPU for long, because long-running jobs that came meanwhile have reserved it.
    const auto playDay = [](bool refusesLongRunningJobs) {
        constexpr std::uint64_t DefaultRuns = 3;
        const std::uint64_t runs = testRuns(DefaultRuns);
        CallersResult sum;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            CrowdedFleet fleet(seed, 8, false);
            int refused = 0;
            for (int i = 0; i < 20; ++i) {
                fleet.send({1'000}, {50});
                const auto &queue = fleet.simulation.state.manifest.queues.front();
                const auto &waits = fleet.simulation.leaderScheduler().shortJobWaits;
                const bool isRefused = refusesLongRunningJobs && !canAdmitLongRunningJob(waits, queue.service, queue.priority, fleet.simulation.now);
                refused += isRefused ? 1 : 0;
                if (!isRefused) {
                    fleet.simulation.submit("late-watch" + std::to_string(i), longRunningJob(6, "image0"));
                }
            }
            CHECK((refused > 0) == refusesLongRunningJobs);
            fleet.simulation.run({20'000});
            CHECK_MESSAGE(fleet.simulation.violations.empty(), firstViolations(fleet.simulation.violations));
            sum += fleet.result();
        }
        MESSAGE("refuses long-running jobs: ",
                refusesLongRunningJobs,
                ", of ",
                sum.sent,
                " short jobs served ",
                sum.served,
                ", on time ",
                sum.onTime,
                ", of the largest tenth ",
                sum.largestServed,
                " of ",
                sum.largestSent);
        return sum;
    };
    const CallersResult acceptsAll = playDay(false);
    const CallersResult refuses = playDay(true);
    CHECK(refuses.served >= 1.2 * acceptsAll.served);
    CHECK(refuses.largestServed / refuses.largestSent >= refuses.served / refuses.sent / 2);
}

TEST_CASE("A short job that waits for a label does not keep long-running jobs out")
{
    // Guards against one job that no worker may run, because of which a service with room refuses all long-running jobs.
    FleetSimulation simulation({});
    simulation.run({6'000});
    JobSpec spec = oneStepJob(1, SmallTask, {1'000});
    spec.steps.front().requiredLabel = "no worker has it";
    simulation.submit("unplaceable", spec);
    const auto &queue = simulation.state.manifest.queues.front();
    for (int i = 0; i < 40; ++i) {
        simulation.run({100});
        CHECK(canAdmitLongRunningJob(simulation.leaderScheduler().shortJobWaits, queue.service, queue.priority, simulation.now));
    }
}

TEST_CASE("A fleet with room refuses no job")
{
    // Guards against estimates that refuse jobs which the fleet could serve.
    const CallersResult acceptsAll = playCrowdedDays(8, {100}, false);
    const CallersResult refuses = playCrowdedDays(8, {100}, true);
    CHECK(refuses.accepted == refuses.sent);
    CHECK(refuses.served == acceptsAll.served);
}
