/** @file fleet_crash_test.cpp Tests of tasks that crash the workers that run them, on a fleet that is busy with sound jobs. */

#include "crash_day.h"

using namespace Filbertlanding;

namespace {

const CrashTime AtOnce{{150}, {50}};
const Duration TaskLength{60'000}; ///< Longer than all runs to a crash together, also if they resume from checkpoints.

/** Returns a job of one step with small tasks that would run for a while. */
JobSpec smallTasks(std::uint32_t tasks)
{
    return oneStepJob(tasks, SmallTask, TaskLength);
}

/** Returns settings with lost and late orders, slow responses and a slow log, derived from a seed. */
FleetSimulationSettings disturbedSettings(std::uint64_t seed)
{
    FleetSimulationSettings settings = crashSettings(seed);
    settings.lostResponsePercent = static_cast<int>(seed / 2 % 3) * 3;
    settings.lateOrderPercent = static_cast<int>(seed / 6 % 2) * 3;
    settings.maxResponseDelay = {static_cast<std::int64_t>(seed % 3) * 200};
    settings.commitDelay = {15 + static_cast<std::int64_t>(seed % 4) * 60};
    return settings;
}

/** Submits a random job of which one task crashes its workers. */
void submitRandomCrashing(CrashDay &day, const JobId &id)
{
    Random &random = day.simulation.random;
    const auto tasks = static_cast<std::uint32_t>(1 + random.below(random.below(4) == 0 ? 60 : 4));
    JobSpec spec = random.below(6) == 0 ? longRunningJob(1 + tasks % 5, "faulty") : smallTasks(tasks);
    spec.steps.front().isGang = !spec.steps.front().isLongRunning && tasks < 6 && random.below(4) == 0;
    spec.steps.front().isCheckpointed = random.below(3) == 0;
    const CrashTime time{{50 + static_cast<std::int64_t>(random.below(random.below(3) == 0 ? 5'000 : 400))}, {static_cast<std::int64_t>(random.below(300))}};
    day.submitCrashing(id, spec, {static_cast<std::uint32_t>(random.below(spec.steps.front().taskCount))}, time);
}

/** Submits jobs that crash their workers while leaders change and workers are cut off and drained. */
void playMix(CrashDay &day, bool hasOtherCrashes)
{
    FleetSimulation &simulation = day.simulation;
    Random &random = simulation.random;
    std::map<WorkerName, TimePoint> cutOffUntil;
    for (int i = 0; i < 24; ++i) {
        const auto worker = simulation.workerAt(static_cast<int>(random.below(24)));
        switch (random.below(hasOtherCrashes ? 10 : 8)) {
        case 0:
        case 1:
            submitRandomCrashing(day, "crash" + std::to_string(i));
            break;
        case 2:
            simulation.changeLeader({static_cast<std::int64_t>(random.below(1'500))});
            break;
        case 3:
            simulation.isolateLeader({static_cast<std::int64_t>(random.below(600))}, {700});
            break;
        case 4:
            day.restoreNextLeader({500});
            break;
        case 5:
            if (worker) {
                simulation.setPartitioned(*worker, true);
                cutOffUntil[*worker] = simulation.now + Duration{static_cast<std::int64_t>(random.below(7'000))};
            }
            break;
        case 6:
            if (i > 0 && random.below(3) == 0 && simulation.outcomes.contains("crash" + std::to_string(i - 1))) {
                day.cancelCrashing("crash" + std::to_string(i - 1));
            }
            break;
        case 8:
            if (worker) {
                simulation.crash(*worker, true);
            }
            break;
        default:
            break;
        }
        day.run({static_cast<std::int64_t>(random.below(2'500))});
        for (const auto &[name, until] : cutOffUntil) {
            simulation.setPartitioned(name, simulation.now < until);
        }
    }
    for (const auto &[name, until] : cutOffUntil) {
        simulation.setPartitioned(name, false);
    }
    day.runUntilGivenUp();
}

} // namespace

TEST_CASE("A crash in the millisecond of a start counts for the task")
{
    // Guards against a task that crashes each worker at once and is never given up, because its start seems to have been sent to a silent worker.
    const FleetSimulation simulation({});
    FleetState state = simulation.state;
    const QueueConfig &queue = state.manifest.queues.front();
    const WallTime wall{1'700'000'000'000};
    const TimePoint forever{1'000'000'000};
    const TimePoint now{20'000};
    applyFleetCommand(state, SubmitFleetJob{"job", queue.host, queue.pathPrefix, wall, oneStepJob(1, SmallTask, {1'000})});
    for (int i = 0; i < 3; ++i) {
        applyFleetCommand(state, RegisterWorker{simulation.workers.at("w" + std::to_string(i))->profile, 1});
    }
    FleetScheduler scheduler = startScheduler({}, state, 9, 0, now, wall);
    const auto apply = [&](const FleetCommand &command) {
        const FleetChange change = applyFleetCommand(state, command);
        handleApplied(scheduler, state, command, change, now, wall);
    };
    const auto respond = [&](const WorkerOrder &order, OrderOutcome outcome) {
        OrderResponse response;
        response.outcome = outcome;
        response.hasLists = outcome == OrderOutcome::Done;
        response.clockMs = 5'000;
        handleResponse(scheduler, state, order.number, response, now, wall);
    };
    for (const WorkerOrder &order : schedulerTick(scheduler, state, now, wall, forever).orders) {
        respond(order, OrderOutcome::Done);
    }
    for (const FleetCommand &command : schedulerTick(scheduler, state, now, wall, forever).propose) {
        apply(command);
    }
    WorkerName crashed;
    for (const WorkerOrder &order : schedulerTick(scheduler, state, now, wall, forever).orders) {
        crashed = order.kind == OrderKind::Start ? order.worker : crashed;
        respond(order, OrderOutcome::NoResponse);
    }
    REQUIRE(!crashed.empty());
    WorkerProfile successor = simulation.workers.at(crashed)->profile;
    successor.startedAtMs += 1'000;
    apply(RegisterWorker{successor, 1});
    std::size_t runs = 0;
    for (const FleetCommand &command : schedulerTick(scheduler, state, now, wall, forever).propose) {
        const auto *crash = std::get_if<RecordCrash>(&command);
        runs += crash == nullptr ? 0 : crash->runs.size();
    }
    CHECK(runs == 1);
}

TEST_CASE("A task that crashes its workers is given up before it takes the whole fleet down")
{
    SUBCASE("one task alone")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", smallTasks(1), {0}, AtOnce);
            day.runUntilGivenUp();
        });
    }

    SUBCASE("two tasks of different jobs on one worker")
    {
        const auto scenario = [](CrashDay &day) {
            JobSpec spec = smallTasks(1);
            spec.steps.front().dataRack = "r5";
            day.submitCrashing("crash1", spec, {0}, AtOnce);
            day.submitCrashing("crash2", spec, {0}, AtOnce);
            REQUIRE(day.runUntilCrashes(1));
            CHECK(day.simulation.taskCrashes[{"crash1", 0, 0, 0}].witnessed == 1);
            CHECK(day.simulation.taskCrashes[{"crash2", 0, 0, 0}].witnessed == 1);
            day.runUntilGivenUp();
        };
        playDays(scenario, [](std::uint64_t seed) {
            FleetSimulationSettings settings = crashSettings(seed);
            settings.workersPerRack = 1;
            return settings;
        });
    }

    SUBCASE("two tasks that few workers may run, beside a sound job that no others may run either")
    {
        playDays([](CrashDay &day) {
            JobSpec spec = smallTasks(1);
            spec.steps.front().requiredLabel = "r0";
            day.submitCrashing("crash1", spec, {0}, AtOnce);
            day.submitCrashing("crash2", spec, {0}, AtOnce);
            JobSpec sound = oneStepJob(8, SmallTask, {1'000});
            sound.steps.front().requiredLabel = "r0";
            day.simulation.submit("sound", sound);
            day.runUntilGivenUp();
        });
    }

    SUBCASE("ten tasks of different jobs at once")
    {
        playDays([](CrashDay &day) {
            for (int i = 0; i < 10; ++i) {
                day.submitCrashing("crash" + std::to_string(i), smallTasks(1), {0}, AtOnce);
            }
            day.runUntilGivenUp();
        });
    }

    SUBCASE("a member of a gang")
    {
        playDays([](CrashDay &day) {
            JobSpec spec = smallTasks(5);
            spec.steps.front().isGang = true;
            day.submitCrashing("crash", spec, {3}, AtOnce);
            day.runUntilGivenUp();
        });
    }

    SUBCASE("one of hundreds of tasks of a step")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", oneStepJob(300, SmallTask, {4'000}), {123}, AtOnce);
            day.runUntilGivenUp();
        });
    }

    SUBCASE("a long-running task")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", longRunningJob(6, "faulty"), {2}, AtOnce);
            day.runUntilGivenUp();
        });
    }

    SUBCASE("a task that uses spare capacity")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", spareCapacityJob(3, "batch", TaskLength), {1}, AtOnce);
            day.runUntilGivenUp();
        });
    }

    SUBCASE("a task of each occurrence of a repeated job")
    {
        playDays([](CrashDay &day) {
            JobSpec spec = smallTasks(2);
            spec.repeatCount = 20;
            spec.startAt = {1'700'000'000'000 + day.simulation.now.ms};
            spec.interval = {2'500};
            day.submitCrashing("crash", spec, {1}, AtOnce);
            day.runUntilGivenUp();
        });
    }
}

TEST_CASE("A task that crashes its workers late is told from the tasks that have started since")
{
    SUBCASE("always after some seconds")
    {
        for (const std::int64_t seconds : {2, 4, 6}) {
            CAPTURE(seconds);
            playDays([seconds](CrashDay &day) {
                day.submitCrashing("crash", smallTasks(1), {0}, {{seconds * 1'000}, {200}});
                day.runUntilGivenUp();
            });
        }
    }

    SUBCASE("at random times")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", smallTasks(1), {0}, {{100}, {6'000}});
            day.runUntilGivenUp();
        });
    }

    SUBCASE("a long-running task after some seconds")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", longRunningJob(3, "faulty"), {1}, {{4'000}, {500}});
            day.runUntilGivenUp();
        });
    }
}

TEST_CASE("What is known of a task that crashes its workers survives a change of leader")
{
    SUBCASE("between two crashes")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", smallTasks(1), {0}, AtOnce);
            for (std::uint64_t crashes = 1; crashes <= 2; ++crashes) {
                REQUIRE(day.runUntilCrashes(crashes));
                day.run({3'000});
                day.simulation.changeLeader({700});
            }
            day.runUntilGivenUp();
        });
    }

    SUBCASE("while the worker is down")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", smallTasks(1), {0}, AtOnce);
            for (std::uint64_t crashes = 1; crashes <= 3; ++crashes) {
                REQUIRE(day.runUntilCrashes(crashes));
                day.run({1'000});
                day.simulation.changeLeader({700});
            }
            day.runUntilGivenUp();
        });
    }

    SUBCASE("that begins with a snapshot")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", smallTasks(1), {0}, AtOnce);
            for (std::uint64_t crashes = 1; crashes <= 2; ++crashes) {
                REQUIRE(day.runUntilCrashes(crashes));
                day.run({4'500});
                day.restoreNextLeader({700});
            }
            day.runUntilGivenUp();
        });
    }

    SUBCASE("while the old leader is isolated")
    {
        playDays([](CrashDay &day) {
            day.submitCrashing("crash", smallTasks(1), {0}, AtOnce);
            REQUIRE(day.runUntilCrashes(1));
            day.run({2'800});
            day.simulation.isolateLeader({400}, {700});
            day.runUntilGivenUp();
        });
    }
}

TEST_CASE("A run that a new leader has taken over is not suspected as if it had just started")
{
    playDays([](CrashDay &day) {
        day.run({5'000});
        day.simulation.changeLeader({700});
        day.run({1'500});
        const FleetJob &job = *findJob(day.simulation.state, "watch");
        const std::vector<TaskRecord> &tasks = job.occurrences.at(0).steps[0].tasks;
        const IncarnationNumber incarnation = tasks[0].active.at(0).incarnation;
        day.simulation.crash(day.simulation.state.incarnations.at(incarnation).profile.worker, true);
        day.run({6'000});
        REQUIRE(day.simulation.recordedCrashes.size() == 1);
        CHECK(tasks[0].crashHistory.crashes == 1);
        for (const TaskRecord &task : tasks) {
            CHECK(suspicionOf(task.crashHistory) != CrashSuspicion::Strong);
        }
    });
}

namespace {

/** Returns how long a small task waits for its start while all workers are full but those that have just come back from a crash with their suspects. */
Duration waitBesideSuspects(std::uint64_t seed, std::uint32_t crashed, Duration ranBefore)
{
    constexpr std::uint32_t Workers = 6;
    constexpr Duration MaxWait{10'000};
    FleetSimulationSettings settings = crashSettings(seed);
    settings.workers = Workers;
    FleetSimulation simulation(settings);
    simulation.run({100});
    simulation.submit("busy", oneStepJob(Workers - crashed, settings.capacity, {60'000}));
    simulation.run({1'000});
    JobSpec suspects = oneStepJob(crashed, SmallTask, {60'000});
    suspects.steps.front().maxPerWorker = 1;
    simulation.submit("suspects", suspects);
    simulation.run(ranBefore);
    const FleetJob &job = *findJob(simulation.state, "suspects");
    std::vector<WorkerName> names;
    for (const TaskRecord &task : job.occurrences.at(0).steps[0].tasks) {
        names.push_back(simulation.state.incarnations.at(task.active.at(0).incarnation).profile.worker);
    }
    for (const WorkerName &name : names) {
        simulation.crash(name, true);
    }
    const auto hasStartedAgain = [](const TaskRecord &task) {
        return task.lastRun == 2 && !task.active.empty();
    };
    const std::vector<TaskRecord> &tasks = job.occurrences.at(0).steps[0].tasks;
    const TimePoint end = simulation.now + MaxWait;
    while (simulation.now < end && !std::all_of(tasks.begin(), tasks.end(), hasStartedAgain)) {
        simulation.run({5});
    }
    const TimePoint submittedAt = simulation.now;
    simulation.submit("sound", oneStepJob(1, SmallTask, {500}));
    const auto hasStarted = [&simulation] {
        const FleetJob *sound = findJob(simulation.state, "sound");
        return sound != nullptr && sound->occurrences.at(0).steps[0].activeCount > 0;
    };
    while (simulation.now < submittedAt + MaxWait && !hasStarted()) {
        simulation.run({5});
    }
    return simulation.now - submittedAt;
}

} // namespace

TEST_CASE("A task does not wait for busy workers while the only ones with room run suspects")
{
    // Guards against a preference for other workers that becomes a ban, since busy workers would have room if they were idle.
    const auto checkWaits = [](std::uint32_t crashed, Duration ranBefore, Duration maxWait) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(seed);
            const Duration wait = waitBesideSuspects(seed, crashed, ranBefore);
            CAPTURE(wait.ms);
            CHECK(wait < maxWait);
        }
    };

    SUBCASE("of a crash that points to one of them")
    {
        checkWaits(1, {1'500}, {1'500});
    }

    SUBCASE("of several crashes at a time")
    {
        checkWaits(3, {4'000}, {200});
    }
}

TEST_CASE("Only tasks that crash their workers are given up on days with other faults")
{
    constexpr std::uint64_t DefaultRuns = 12;
    const std::uint64_t first = testSeed() % 1'000'000;

    SUBCASE("of leaders and links")
    {
        for (std::uint64_t seed = first; seed < first + testRuns(DefaultRuns); ++seed) {
            CAPTURE(seed);
            CrashDay day(disturbedSettings(seed));
            playMix(day, false);
            checkDay(day);
        }
    }

    SUBCASE("of leaders, links and workers")
    {
        for (std::uint64_t seed = first; seed < first + testRuns(DefaultRuns); ++seed) {
            CAPTURE(seed);
            CrashDay day(disturbedSettings(seed));
            playMix(day, true);
            checkDay(day);
        }
    }
}
