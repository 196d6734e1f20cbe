/** @file fleet_run_time_test.cpp Run times: what is learned of them, and which runs are moved for their progress. */

#include "fleet/run_progress.h"
#include "fleet/run_time.h"
#include "fleet_jobs.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace Filbertlanding;

namespace {

const RunTimeKey Surveys{"host.example", "/surveys/"};

StepSpec statedStep(Duration estimate, const std::string &image = {})
{
    StepSpec step;
    step.taskCount = 1;
    step.estimate = estimate;
    step.image = image;
    return step;
}

/** Returns a factor between 1 / most and most, evenly spread in its logarithm. */
double randomFactor(Random &random, double most)
{
    return std::pow(most, 2.0 * random.unit() - 1.0);
}

/** What callers got of a load. */
struct Served {
    int completed = 0;
    int inTime = 0;
};

Served servedIn(const FleetWorld &world, const std::map<JobId, double> &lengthFactors)
{
    Served served;
    for (const auto &[id, outcome] : world.outcomes) {
        const bool isCompleted = outcome.state == FleetJobState::Completed;
        // The objective follows the true length, as callers feel it.
        const auto objective = static_cast<std::int64_t>(static_cast<double>(outcome.objective.ms) * std::max(1.0, lengthFactors.at(id)));
        served.completed += isCompleted ? 1 : 0;
        served.inTime += isCompleted && (*outcome.endedAt - outcome.submittedAt).ms <= objective ? 1 : 0;
    }
    return served;
}

/** Submits jobs of 8 tasks whose stated times are wrong by up to the factor either way. Returns by how much they are. */
std::map<JobId, double> submitWronglyStated(FleetWorld &world, int jobs, double mostWrong)
{
    std::map<JobId, double> factors;
    for (int i = 0; i < jobs; ++i) {
        const JobId id = "job" + std::to_string(i);
        factors[id] = randomFactor(world.random, mostWrong);
        // The true length is 1 s; what is stated differs from it.
        const Duration stated{static_cast<std::int64_t>(1'000.0 / factors[id])};
        world.submit(id, oneStepJob(8, SmallTask, stated), factors[id]);
        world.run({250});
    }
    return factors;
}

/** Returns the progress of a run that was listed at full speed with the given percents each 200 ms. */
RunProgress listedProgress(const std::vector<std::int64_t> &percents)
{
    RunProgress progress;
    std::int64_t clock = 1'000;
    for (const std::int64_t percent : percents) {
        updateProgress(progress, percent, clock, 1.0);
        clock += 200;
    }
    return progress;
}

} // namespace

TEST_CASE("What is expected of a step follows what runs show")
{
    RunTimeModel model;
    Random random{testSeed()};
    CHECK(runTimeAt(expectedRunTime(model, Surveys, statedStep({700})), 0).ms == doctest::Approx(700).epsilon(0.01));

    SUBCASE("callers who state right times are believed")
    {
        for (int i = 0; i < 100; ++i) {
            const Duration stated{100 + static_cast<std::int64_t>(random.below(3'000))};
            learnRunTime(
                model, Surveys, statedStep(stated), Duration{static_cast<std::int64_t>(static_cast<double>(stated.ms) * randomFactor(random, 1.1))}, 1.0);
        }
        CHECK(runTimeAt(expectedRunTime(model, Surveys, statedStep({400})), 0).ms == doctest::Approx(400).epsilon(0.1));
        CHECK(runTimeAt(expectedRunTime(model, Surveys, statedStep({2'500})), 0).ms == doctest::Approx(2'500).epsilon(0.1));
        CHECK(expectedRunTime(model, Surveys, statedStep({400})).variance < 0.05);
    }

    SUBCASE("callers whose times say nothing are given the mean of their queue, with its uncertainty")
    {
        for (int i = 0; i < 100; ++i) {
            learnRunTime(model, Surveys, statedStep(Duration{static_cast<std::int64_t>(1'000 * randomFactor(random, 8.0))}), {1'000}, 1.0);
        }
        CHECK(runTimeAt(expectedRunTime(model, Surveys, statedStep({200})), 0).ms == doctest::Approx(1'000).epsilon(0.15));
        CHECK(runTimeAt(expectedRunTime(model, Surveys, statedStep({5'000})), 0).ms == doctest::Approx(1'000).epsilon(0.15));
    }

    SUBCASE("an image that takes longer than the others of its queue is told apart")
    {
        for (int i = 0; i < 100; ++i) {
            learnRunTime(model, Surveys, statedStep({1'000}, "plain"), {1'000}, 1.0);
            learnRunTime(model, Surveys, statedStep({1'000}, "heavy"), {3'000}, 1.0);
        }
        const double heavy = static_cast<double>(runTimeAt(expectedRunTime(model, Surveys, statedStep({1'000}, "heavy")), 0).ms);
        const double plain = static_cast<double>(runTimeAt(expectedRunTime(model, Surveys, statedStep({1'000}, "plain")), 0).ms);
        CHECK(heavy > 2.0 * plain);
    }

    SUBCASE("what the tasks of the step itself have shown counts more than what was stated")
    {
        RunTimeEstimate runTimeEstimate = expectedRunTime(model, Surveys, statedStep({300}));
        runTimeEstimate = updateEstimate(runTimeEstimate, makeEvidence(2'000, 100));
        CHECK(runTimeAt(runTimeEstimate, 0).ms == doctest::Approx(2'000).epsilon(0.4));
        CHECK(runTimeAt(runTimeEstimate, 0).ms > 1'200);
    }
}

TEST_CASE("A run is judged by like runs and by its worker, not by the stated time")
{
    // Guards against sound workers whose long tasks were stopped and begun anew again and again, because their callers had stated too little.
    ProgressInput input;
    input.restartDelay = {300};
    input.runTimeEstimate = {std::log(1'000.0), 0.05};

    SUBCASE("a task as long as its siblings goes on")
    {
        input.progress = listedProgress({0, 19, 41, 60});
        CHECK(assessProgress(input) == ProgressVerdict::Normal);
    }

    SUBCASE("one that is six times slower than its siblings is moved")
    {
        input.progress = listedProgress({0, 3, 6, 9});
        CHECK(assessProgress(input) == ProgressVerdict::Slow);
    }

    SUBCASE("one that is slow but nearly done stays")
    {
        input.progress = listedProgress({80, 84, 88, 91});
        CHECK(assessProgress(input) == ProgressVerdict::Normal);
    }

    SUBCASE("without siblings a task may well be longer than stated")
    {
        input.runTimeEstimate.variance = 0.5;
        input.progress = listedProgress({0, 5, 10, 15});
        CHECK(assessProgress(input) == ProgressVerdict::Normal);

        SUBCASE("unless all that its worker runs is slow")
        {
            for (int i = 0; i < 4; ++i) {
                addSlownessSample(input.worker, {4'000, 50}, {std::log(1'000.0), 0.2});
            }
            CHECK(assessProgress(input) == ProgressVerdict::Slow);
        }
    }

    SUBCASE("one without progress stands")
    {
        input.progress = listedProgress({40, 40, 40, 40, 40, 40});
        CHECK(assessProgress(input) == ProgressVerdict::Stalled);
    }

    SUBCASE("lists that come late or out of order do not make it stand")
    {
        // A worker whose lists are seconds on their way; its clock tells when they were written.
        input.progress = listedProgress({20, 40});
        updateProgress(input.progress, 20, 1'000, 1.0);
        updateProgress(input.progress, 40, 1'200, 1.0);
        CHECK(assessProgress(input) == ProgressVerdict::Normal);
    }
}

TEST_CASE("Stated times that say nothing cost nobody work")
{
    // Load: short jobs on sound workers, with stated times that are wrong by up to a factor of eight either way.
    // Guards against work that is thrown away because it takes longer than stated.
    FleetWorld world({});
    world.run({100});
    constexpr int Jobs = 80;
    const auto factors = submitWronglyStated(world, Jobs, 8.0);
    world.run({6'000});
    const Served served = servedIn(world, factors);
    CHECK(served.completed == Jobs);
    CHECK(served.inTime >= Jobs * 9 / 10);
    CHECK(world.startedRuns == static_cast<std::uint64_t>(Jobs) * 8);
}

TEST_CASE("Bad workers are told apart from wrong stated times")
{
    // Load: the same jobs while two of twelve workers stand still or are slow, for good or for some seconds.
    FleetWorld world({});
    world.run({100});
    bool isForGood = true;

    SUBCASE("they stand still")
    {
        world.workers.at("w0")->isHanging = true;
        world.workers.at("w1")->isHanging = true;
    }

    SUBCASE("they are six times slower")
    {
        world.workers.at("w0")->speed = 1.0 / 6.0;
        world.workers.at("w1")->speed = 1.0 / 6.0;
    }

    SUBCASE("they are slow for some seconds")
    {
        world.workers.at("w0")->speed = 1.0 / 6.0;
        world.workers.at("w1")->speed = 1.0 / 6.0;
        isForGood = false;
    }

    SUBCASE("one stands still and one fails everything")
    {
        world.workers.at("w0")->isHanging = true;
        world.workers.at("w1")->failsAll = true;
    }
    constexpr int Jobs = 80;
    std::map<JobId, double> factors;
    if (!isForGood) {
        factors = submitWronglyStated(world, Jobs / 4, 8.0);
        world.workers.at("w0")->speed = 1.0;
        world.workers.at("w1")->speed = 1.0;
        world.run({12'000});
    } else {
        factors = submitWronglyStated(world, Jobs, 8.0);
        world.run({12'000});
    }
    const Served served = servedIn(world, factors);
    CHECK(served.completed == static_cast<int>(factors.size()));
    CHECK(served.inTime >= static_cast<int>(factors.size()) * 8 / 10);
    // Far fewer runs are thrown away than sound workers carry out.
    CHECK(world.startedRuns <= factors.size() * 8 * 13 / 10);
    CHECK(world.violations.empty());
}

TEST_CASE("What a leader has learned survives its leadership")
{
    // Guards against learning run times and pairs of images anew after each takeover, on the heaviest seconds.
    FleetWorldSettings settings;
    settings.pressure[{"quiet", "heavy"}] = 6.0;
    FleetWorld world(settings);
    world.run({100});
    JobSpec lasting = oneStepJob(60, {6'000, 8'000, 0}, {400});
    lasting.steps.front().isLongRunning = true;
    lasting.steps.front().image = "quiet";
    lasting.steps.front().latencyTarget = {20};
    world.submit("lasting", lasting);
    world.run({2'000});
    for (int i = 0; i < 40; ++i) {
        JobSpec filling = oneStepJob(4, {3'500, 4'000, 0}, {3'000});
        filling.steps.front().usesSpareCapacity = true;
        filling.steps.front().image = "heavy";
        // They take a third of what is stated.
        world.submit("heavy" + std::to_string(i), filling, 1.0 / 3.0);
        world.run({500});
    }
    const LearnedModel before = world.leaderScheduler().learnedModel;
    REQUIRE(interferenceSlope(before.interference, "quiet", "heavy") > 2.0);

    SUBCASE("a new leader knows slopes and run times at once")
    {
        world.changeLeader({1'000});
        world.run({1'100});
        const LearnedModel &after = world.leaderScheduler().learnedModel;
        CHECK(interferenceSlope(after.interference, "quiet", "heavy") > 2.0);
        StepSpec step = statedStep({3'000}, "heavy");
        CHECK(runTimeAt(expectedRunTime(after.runTimes, Surveys, step), 0).ms < 2'000);
    }

    SUBCASE("a damaged model is learned anew")
    {
        const std::string bytes = encodeLearned(before);
        for (std::size_t length = 0; length < bytes.size(); length += 7) {
            CHECK(decodeLearned(bytes.substr(0, length), world.now).interference.models.empty());
        }
        Random random{testSeed()};
        for (int i = 0; i < 2'000; ++i) {
            std::string damaged = bytes;
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
            const LearnedModel model = decodeLearned(damaged, world.now);
            CHECK(expectedTailRatio(model.interference, "quiet", {{"heavy", 0.5}}) >= -1e300);
        }
    }
}

TEST_CASE("A new leader knows which runs are away from their data")
{
    // Guards against runs that are begun anew after a takeover, because they take longer than their siblings near the data.
    FleetWorld world({});
    world.run({100});
    JobSpec spec = oneStepJob(6, SmallTask, {5'000});
    spec.steps.front().dataRack = "elsewhere";
    world.submit("far", spec);
    world.run({300});
    const FleetScheduler next = startScheduler({}, world.state, 9, 0, world.now, {0});
    std::size_t far = 0;
    for (const auto &[incarnation, contact] : next.contacts) {
        far += static_cast<std::size_t>(std::count_if(contact.runs.begin(), contact.runs.end(), [](const auto &item) {
            return item.second.isFar;
        }));
    }
    CHECK(far == 6);
}

TEST_CASE("A worker that is slow to answer for a while keeps its running work")
{
    // Guards against tasks that are stopped or begun anew because their lists are late, although they run as well as the others.
    FleetWorldSettings settings;
    settings.scheduler.taskLease = {7'000}; // As the daemon gives it.
    FleetWorld world(settings);
    world.run({100});
    world.submit("job", oneStepJob(40, SmallTask, {6'000}));
    world.run({1'000});

    SUBCASE("its answers come up to 2.5 s late")
    {
        world.setLongestAnswerDelay({2'500});
    }

    SUBCASE("it is silent for as long as its lease allows")
    {
        world.cut("w0", true);
        world.run({3'500});
        world.cut("w0", false);
    }
    world.run({12'000});
    CHECK(world.outcomes.at("job").state == FleetJobState::Completed);
    CHECK(world.startedRuns == 40);
    CHECK(world.violations.empty());
}
