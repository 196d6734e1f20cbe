/** @file crash_evidence_test.cpp Tests of the evidence by which a task that crashes its workers is told from others. */

#include "fleet/crash_evidence.h"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace Filbertlanding;

namespace {

const CrashRate CalmRate{.crashes = 0, .period = {30'000}, .latestCrashes = 0, .latestPart = {2'000}, .workers = 24};
const CrashRate BusyRate{.crashes = 10, .period = {30'000}, .latestCrashes = 10, .latestPart = {2'000}, .workers = 24};
constexpr Duration Short{200};

/** A task that runs, and its history. */
struct Task {
    CrashHistory history;
    std::uint64_t job = 0;
};

/** A task that a crash ends, and the time for which it ran; only a lower bound of it if its start is not known. */
struct RunningTask {
    Task *task;
    Duration ranFor;
    bool isStartKnown = true;
};

constexpr Duration MaxUnknownTime{30'000}; ///< Time for which a run may have existed before its known part.

/** Records the crash of a worker with some tasks. */
void crash(std::initializer_list<RunningTask> tasks, const CrashRate &rate = CalmRate)
{
    std::vector<CrashWitness> witnesses;
    for (const RunningTask &running : tasks) {
        witnesses.push_back({.history = &running.task->history,
                             .job = running.task->job,
                             .isStartKnown = running.isStartKnown,
                             .ranAtLeast = running.ranFor,
                             .ranAtMost = running.isStartKnown ? running.ranFor : running.ranFor + MaxUnknownTime,
                             .weight = running.isStartKnown ? crashWeight(rate, running.ranFor) : 0});
    }
    recordCrash(witnesses);
}

} // namespace

TEST_CASE("A task is given up only if crashes single it out")
{
    Task suspect{{}, 1};
    Task companion{{}, 2};

    SUBCASE("one crash points to no task")
    {
        crash({{&suspect, Short}, {&companion, Short}});
        CHECK(suspect.history.crashes == 1);
        CHECK(suspect.history.singledOut == 0);
        CHECK_FALSE(isCrashCause(suspect.history));
        CHECK_FALSE(isCrashCause(companion.history));
    }

    SUBCASE("not even that of a worker that it had for itself")
    {
        crash({{&suspect, {0}}});
        CHECK_FALSE(isCrashCause(suspect.history));
    }

    SUBCASE("a crash of a worker without tasks changes nothing")
    {
        crash({});
        CHECK(suspect.history.crashes == 0);
    }

    SUBCASE("crashes with changing company single out the task that they have in common")
    {
        Task second{{}, 3};
        Task third{{}, 4};
        crash({{&suspect, Short}, {&companion, Short}});
        crash({{&suspect, Short}, {&second, Short}});
        crash({{&third, Short}, {&suspect, Short}});
        CHECK(isCrashCause(suspect.history));
        CHECK(suspect.history.singledOut == 2);
        for (const Task *other : {&companion, &second, &third}) {
            CHECK(other->history.crashes == 1);
            CHECK(other->history.singledOut == 0);
            CHECK_FALSE(isCrashCause(other->history));
        }
    }

    SUBCASE("a sound task that survived one crash is not singled out by another task that starts beside it and crashes the worker")
    {
        Task first{{}, 3};
        Task second{{}, 4};
        crash({{&suspect, {900}}, {&first, Short}});
        crash({{&suspect, {900}}, {&second, Short}});
        CHECK(suspect.history.singledOut == 0);
        CHECK_FALSE(isCrashCause(suspect.history));
    }

    SUBCASE("two tasks that are always together are not told apart")
    {
        for (int i = 0; i < 4; ++i) {
            crash({{&suspect, Short}, {&companion, Short}});
            CHECK(suspect.history.singledOut == 0);
            CHECK(companion.history.singledOut == 0);
            CHECK_FALSE(isCrashCause(suspect.history));
            CHECK_FALSE(isCrashCause(companion.history));
        }
    }

    SUBCASE("after five crashes no further worker is risked")
    {
        for (int i = 0; i < 5; ++i) {
            CHECK_FALSE(isCrashCause(suspect.history));
            crash({{&suspect, Short}, {&companion, Short}}, BusyRate);
        }
        CHECK(isCrashCause(suspect.history));
    }

    SUBCASE("tasks of one job that are always together are singled out together")
    {
        Task sibling{{}, suspect.job};
        for (int i = 0; i < 3; ++i) {
            Task other{{}, 10};
            crash({{&suspect, Short}, {&sibling, Short}, {&other, Short}});
            CHECK_FALSE(isCrashCause(other.history));
        }
        CHECK(isCrashCause(suspect.history));
        CHECK(isCrashCause(sibling.history));
    }

    SUBCASE("a task that comes back to its companion is not singled out by the crashes of that one")
    {
        crash({{&suspect, Short}, {&companion, Short}});
        crash({{&suspect, Short}});
        crash({{&suspect, Short}, {&companion, Short}});
        CHECK(isCrashCause(suspect.history));
        CHECK(companion.history.crashes == 2);
        CHECK(companion.history.singledOut == 0);
        CHECK_FALSE(isCrashCause(companion.history));
    }
}

TEST_CASE("A crash weighs little while workers crash for other causes")
{
    SUBCASE("in the whole period")
    {
        CrashRate rate = CalmRate;
        std::uint32_t previous = crashWeight(rate, {5'000});
        for (rate.crashes = 1; rate.crashes < 50; ++rate.crashes) {
            const std::uint32_t weight = crashWeight(rate, {5'000});
            CHECK(weight <= previous);
            previous = weight;
        }
        CHECK(previous < crashWeight(CalmRate, {5'000}));
    }

    SUBCASE("or just now")
    {
        CHECK(crashWeight(BusyRate, Short) < crashWeight(CalmRate, Short));
    }

    SUBCASE("on a small fleet, where each crash hits more of the runs")
    {
        CrashRate few = CalmRate;
        few.workers = 3;
        CHECK(crashWeight(few, {5'000}) < crashWeight(CalmRate, {5'000}));
    }

    SUBCASE("or after a long run")
    {
        std::uint32_t previous = crashWeight(CalmRate, {0});
        for (std::int64_t ms = 100; ms < 1'000'000; ms *= 2) {
            const std::uint32_t weight = crashWeight(CalmRate, {ms});
            CHECK(weight <= previous);
            previous = weight;
        }
        CHECK(previous < 1'000);
    }

    SUBCASE("and nothing is undefined without workers, crashes or a period")
    {
        CHECK(crashWeight({}, {0}) <= crashWeight(CalmRate, {0}));
        CHECK(crashWeight({.crashes = 1'000'000, .latestCrashes = 1'000'000, .workers = 1}, {1'000'000}) == 0);
    }

    SUBCASE("so that four crashes in a row give up no task that is singled out by them")
    {
        Task task{{}, 1};
        for (int i = 0; i < 4; ++i) {
            crash({{&task, Short}}, BusyRate);
            CHECK_FALSE(isCrashCause(task.history));
        }
        CHECK(task.history.singledOut == 3);
    }
}

TEST_CASE("A run that lasts longer than all that ended in a crash clears its task")
{
    Task task{{}, 1};
    crash({{&task, {500}}});
    REQUIRE(task.history.crashes == 1);

    SUBCASE("a little longer does not")
    {
        crash({{&task, {2'000}}});
        CHECK(task.history.crashes == 2);
        CHECK(task.history.singledOut == 1);
        CHECK(task.history.longestRun == Duration{2'000});
    }

    SUBCASE("much longer does, and the crash counts as the first one")
    {
        crash({{&task, {2'001}}});
        CHECK(task.history.crashes == 1);
        CHECK(task.history.singledOut == 0);
        CHECK(task.history.weight == crashWeight(CalmRate, {2'001}));
        CHECK(task.history.longestRun == Duration{2'001});
    }

    SUBCASE("but not if it may as well have been shorter")
    {
        recordCrash({{.history = &task.history, .job = 1, .isStartKnown = true, .ranAtLeast = {100}, .ranAtMost = {9'000}, .weight = 1'000}});
        CHECK(task.history.crashes == 2);
    }

    SUBCASE("and does so before it is compared with the others")
    {
        // Otherwise the crash would count neither against the task nor against its companion.
        Task companion{{}, 2};
        crash({{&companion, {300}}});
        crash({{&task, {60'000}}, {&companion, {300}}});
        CHECK(companion.history.singledOut == 1);
        CHECK(task.history.crashes == 1);
    }

    SUBCASE("a run of ten minutes is not even a witness")
    {
        crash({{&task, {600'000}}});
        CHECK(task.history.crashes == 0);
    }
}

TEST_CASE("A run whose start is not known is no evidence for a crash just after the start")
{
    Task task{{}, 1};
    for (int i = 0; i < 4; ++i) {
        crash({{&task, {0}, false}});
        CHECK_FALSE(task.history.wasYoungest);
        CHECK(task.history.weight == 0);
        CHECK_FALSE(isCrashCause(task.history));
    }

    SUBCASE("nor does it let the next run look as if that had outlasted it")
    {
        crash({{&task, {1'395}}});
        CHECK(task.history.crashes == 5);
        CHECK(isCrashCause(task.history));
    }

    SUBCASE("nor does it take the suspicion from the others on the worker")
    {
        Task young{{}, 2};
        crash({{&task, {0}, false}, {&young, Short}});
        CHECK(young.history.wasYoungest);
        CHECK_FALSE(task.history.wasYoungest);
    }
}

TEST_CASE("Suspicion falls on the run that had started last, and on tasks with several crashes")
{
    Task young{{}, 1};
    Task old{{}, 2};
    CHECK(suspicionOf(young.history) == CrashSuspicion::None);
    crash({{&young, {200}}, {&old, {300}}});
    CHECK(suspicionOf(young.history) == CrashSuspicion::Strong);
    CHECK(suspicionOf(old.history) == CrashSuspicion::Possible);

    SUBCASE("a second crash is reason enough for those that were not the youngest")
    {
        Task younger{{}, 3};
        crash({{&younger, {100}}, {&old, {900}}});
        CHECK(suspicionOf(younger.history) == CrashSuspicion::Strong);
        CHECK(suspicionOf(old.history) == CrashSuspicion::Strong);
    }

    SUBCASE("runs that started almost at the same time are equally suspect")
    {
        Task first{{}, 3};
        Task second{{}, 4};
        Task earlier{{}, 5};
        crash({{&first, {200}}, {&second, {250}}, {&earlier, {251}}});
        CHECK(suspicionOf(first.history) == CrashSuspicion::Strong);
        CHECK(suspicionOf(second.history) == CrashSuspicion::Strong);
        CHECK(suspicionOf(earlier.history) == CrashSuspicion::Possible);
    }
}

TEST_CASE("A suspect is alone on its worker only if its crashes are unlikely to have another cause, and not for long")
{
    // Guards against a fleet in which each crash of another cause takes a worker from all other tasks.
    constexpr Duration LongestIsolation{2'000};
    constexpr std::uint32_t Improbable = 5'000;
    constexpr std::uint32_t Probable = 2'000;
    const auto historyOf = [](std::uint32_t crashes, std::uint32_t weight, bool wasYoungest) {
        return CrashHistory{.crashes = crashes, .singledOut = 0, .weight = weight, .wasYoungest = wasYoungest, .longestRun = {100}};
    };
    CHECK(isolationTimeOf(historyOf(0, 0, false)) == Duration{0});
    CHECK(isolationTimeOf(historyOf(1, Improbable, false)) == Duration{0});
    CHECK(isolationTimeOf(historyOf(1, Probable, true)) == Duration{0});
    CHECK(isolationTimeOf(historyOf(1, Improbable, true)) == watchTimeOf(historyOf(1, Improbable, true)));

    SUBCASE("each of its crashes counts")
    {
        CHECK(isolationTimeOf(historyOf(2, Improbable + Probable, true)) == Duration{0});
        CHECK(isolationTimeOf(historyOf(2, 2 * Improbable, false)) > Duration{0});
    }

    SUBCASE("nothing is known of its starts")
    {
        CHECK(isolationTimeOf(historyOf(2, 0, false)) > Duration{0});
    }

    SUBCASE("it has been through many crashes")
    {
        CHECK(isolationTimeOf(historyOf(3, Probable, false)) > Duration{0});
    }

    SUBCASE("it ran for a minute before")
    {
        for (const std::uint32_t crashes : {1, 2, 3, 4}) {
            CrashHistory history = historyOf(crashes, crashes * Improbable, true);
            history.longestRun = {60'000};
            CHECK(isolationTimeOf(history) <= LongestIsolation);
        }
    }
}

TEST_CASE("Crashes point to tasks as long as few workers crash")
{
    const auto rateOf = [](std::size_t latestCrashes) {
        return CrashRate{.crashes = latestCrashes, .period = {30'000}, .latestCrashes = latestCrashes, .latestPart = {2'000}, .workers = 24};
    };
    CHECK(areCrashesTelling(rateOf(0)));
    CHECK(areCrashesTelling(rateOf(3)));
    CHECK_FALSE(areCrashesTelling(rateOf(7)));
}

TEST_CASE("A suspect is watched until it has outlasted its crashes, but not for ever")
{
    Task task{{}, 1};
    CHECK(watchTimeOf(task.history) == Duration{0});
    crash({{&task, {500}}});
    CHECK(watchTimeOf(task.history) == Duration{2'000});
    crash({{&task, {1'200}}});
    CHECK(watchTimeOf(task.history) == Duration{4'100});
    crash({{&task, {3'900}}});
    CHECK(watchTimeOf(task.history) == Duration{5'000});
}
