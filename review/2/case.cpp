/**
 * @file case.cpp A run of a task ends `failed` on the only worker with the label that its step requires.
 *
 * Checked (LOST): from `finish_s` after the end of the traffic on, a submission with a task whose turn has come has nothing running for 3 s while
 * there is capacity for it twice over and under half of the service's capacity is in use; for a task that lasts at any time, from 6 s after its
 * last run.
 */

#include "standin.h"

using namespace Review;

namespace {

constexpr int WorkerCount = 12;
constexpr int FirstWorkerPort = 9000;
constexpr std::int64_t WaitMs = 3'000; ///< The span of the rule LOST.
constexpr std::int64_t LastingWaitMs = 6'000 + WaitMs; ///< For a task that lasts, the span begins 6 s after its last run.
constexpr std::int64_t FinishMs = 14'000; ///< finish_s
constexpr std::int64_t ObservedMs = 30'000;

/** Returns the longest time for which a task was not running, from its first start to the end of the observation or of the task. */
std::int64_t longestGap(World &world, const std::string &task, const std::atomic<bool> &isDone, std::int64_t until)
{
    std::int64_t longest = 0;
    std::int64_t since = steadyMs();
    while (steadyMs() < until && !isDone) {
        if (world.isRunning(task)) {
            since = steadyMs();
        }
        longest = std::max(longest, steadyMs() - since);
        sleepMs(5);
    }
    return longest;
}

int run(const std::filesystem::path &root, bool hasTrouble)
{
    System system(root, 3, 2);
    World world;
    std::vector<std::unique_ptr<Worker>> workers;
    system.startAll();
    putManifest(system, manifest(1, 3));
    const std::string ordinary = jobId(1);
    const std::string lasting = jobId(2);
    world.setModel(ordinary, {600, false, 500, 256});
    world.setModel(lasting, {1'500, true, 500, 256});
    if (hasTrouble) {
        // The first run of each task fails through its own fault.
        world.outcome = [](const std::string &, unsigned number, const std::string &) {
            return number == 1 ? std::string("failed") : std::string();
        };
    }
    for (int i = 0; i < WorkerCount; ++i) {
        Worker::Options options;
        options.id = "i-7f3a91c" + std::to_string(i);
        options.address = {system.workerAddress(), FirstWorkerPort + i};
        options.zone = System::zoneName(i % 3);
        options.labels = {i == 0 ? "b" : "a", "r1-" + std::to_string(i / 3)};
        workers.push_back(std::make_unique<Worker>(options, system.controls(), world));
    }
    sleepMs(2'500);

    const auto fronts = system.fronts();
    const int first = submit(fronts, 0, ordinary, R"({"spec":"s","steps":[{"count":1,"cpu":500,"memMb":256,"estimatedMs":600,"requiredLabel":"b"}]})");
    const int second =
        submit(fronts, 1, lasting, R"({"spec":"s","steps":[{"count":1,"cpu":500,"memMb":256,"estimatedMs":1000,"requiredLabel":"b","longRunning":true}]})");
    if (first != 200 || second != 200) {
        throw NotRun("a submission was not accepted");
    }
    const std::int64_t finish = steadyMs() + FinishMs;
    const std::int64_t until = steadyMs() + ObservedMs;
    std::atomic<bool> isOrdinaryDone{false};
    const std::atomic<bool> never{false};
    std::int64_t ordinaryGap = 0;
    std::int64_t lastingGap = 0;
    std::thread ordinaryWatch([&] {
        sleepMs(finish - steadyMs());
        ordinaryGap = longestGap(world, ordinary + ".0.0.0", isOrdinaryDone, until);
    });
    std::thread lastingWatch([&] {
        lastingGap = longestGap(world, lasting + ".0.0.0", never, until);
    });
    std::string state;
    while (steadyMs() < until) {
        sleepMs(1'000);
        state = stateOf(fronts, ordinary).value_or("no answer");
        isOrdinaryDone = state == "completed";
    }
    ordinaryWatch.join();
    lastingWatch.join();
    record().say("the submission is " + state + "; its task was started " + std::to_string(world.startsOf(ordinary + ".0.0.0")) + " times and waited up to "
                 + std::to_string(ordinaryGap) + " ms with an idle worker");
    record().say("the task that lasts was started " + std::to_string(world.startsOf(lasting + ".0.0.0")) + " times and waited up to "
                 + std::to_string(lastingGap) + " ms with an idle worker");
    return ordinaryGap > WaitMs || lastingGap > LastingWaitMs ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
