/**
 * @file case.cpp A worker restarts under its id, crashes again before its first answer, and its address goes to another worker. Later the leading
 * scheduler is restarted as planned.
 *
 * Checked: every accepted submission is known and answered `finish_s` after the end of the traffic (LOST).
 */

#include "standin.h"

using namespace Review;

namespace {

constexpr int WorkerCount = 7;
constexpr int FirstWorkerPort = 9000;
constexpr std::int64_t TrafficMs = 26'000;
constexpr std::int64_t CrashAtMs = 5'000;
constexpr std::int64_t AddressReuseMs = 2'000; ///< addrReuseS
constexpr std::int64_t PlannedRestartAtMs = 13'000;
constexpr std::int64_t FinishMs = 14'000; ///< finish_s
constexpr std::int64_t SubmitIntervalMs = 300;

Worker::Options workerOptions(const System &system, int index)
{
    Worker::Options options;
    options.id = "i-7f3a91c" + std::to_string(index);
    options.address = {system.workerAddress(), FirstWorkerPort + index};
    options.zone = System::zoneName(index % 3);
    return options;
}

void waitUntil(std::int64_t at)
{
    while (steadyMs() < at) {
        sleepMs(5);
    }
}

/** The first worker crashes, comes back under its id, crashes again, and another worker gets its address. */
void crashTwice(System &system, std::vector<std::unique_ptr<Worker>> &workers, World &world)
{
    workers[0]->crash();
    sleepMs(300);
    Worker::Options options = workerOptions(system, 0);
    // It is cold after its start, and its first answers take longer than it lives.
    options.coldRemainingMs = 3'000;
    options.answerDelayMs = 300;
    workers[0] = std::make_unique<Worker>(options, system.controls(), world);
    for (int waited = 0; waited < 3'000 && workers[0]->acknowledgedReports() == 0; ++waited) {
        sleepMs(1);
    }
    sleepMs(50);
    workers[0]->crash();
    sleepMs(AddressReuseMs + 500);
    options = workerOptions(system, 0);
    options.id = "i-b04e52d7";
    options.machine = "m-new";
    workers[0] = std::make_unique<Worker>(options, system.controls(), world);
}

/** Stops all schedulers and starts them again; only for a look at what helps, with the variable RESTART_ALL. */
void restartAllSchedulers(System &system)
{
    for (Daemon &daemon : system.daemons) {
        if (daemon.hasDisk) {
            system.signal(daemon, SIGTERM);
            system.waitForEnd(daemon, 6'000);
        }
    }
    for (Daemon &daemon : system.daemons) {
        if (daemon.hasDisk) {
            system.start(daemon, false);
        }
    }
    sleepMs(6'000);
}

int run(const std::filesystem::path &root, bool hasTrouble)
{
    System system(root, 3, 2);
    World world;
    std::vector<std::unique_ptr<Worker>> workers;
    system.startAll();
    putManifest(system, manifest(1, 3));
    for (int i = 0; i < WorkerCount; ++i) {
        workers.push_back(std::make_unique<Worker>(workerOptions(system, i), system.controls(), world));
    }
    sleepMs(2'500);

    const auto fronts = system.fronts();
    const std::int64_t start = steadyMs();
    std::vector<std::string> accepted;
    int refusedAtEnd = 0;
    std::thread client([&] {
        for (std::uint64_t number = 1; steadyMs() < start + TrafficMs; ++number) {
            const std::string id = jobId(number);
            world.setModel(id, {400, false, 500, 256});
            const int status = submit(fronts, number % fronts.size(), id, R"({"spec":"s","steps":[{"count":2,"cpu":500,"memMb":256,"estimatedMs":400}]})");
            if (status >= 200 && status < 300) {
                accepted.push_back(id);
            } else {
                ++refusedAtEnd;
            }
            sleepMs(SubmitIntervalMs);
        }
    });
    waitUntil(start + CrashAtMs);
    if (hasTrouble) {
        crashTwice(system, workers, world);
    }
    waitUntil(start + PlannedRestartAtMs);
    Daemon *leader = system.findLeader();
    if (leader != nullptr) {
        system.signal(*leader, SIGTERM);
        system.waitForEnd(*leader, 6'000);
        sleepMs(500);
        system.start(*leader, false);
    }
    client.join();
    if (leader == nullptr || accepted.empty()) {
        throw NotRun("no leader or no accepted submission before the restart");
    }
    sleepMs(FinishMs);
    record().say("asked for after the traffic: " + std::to_string(accepted.size()) + " accepted submissions; " + std::to_string(refusedAtEnd)
                 + " got no acceptance in five attempts");
    if (std::getenv("RESTART_ALL") != nullptr) {
        restartAllSchedulers(system);
    }
    std::size_t answered = 0;
    std::size_t completed = 0;
    const std::int64_t limit = steadyMs() + 20'000;
    for (const std::string &id : accepted) {
        if (steadyMs() > limit) {
            break;
        }
        const auto state = stateOf(fronts, id);
        answered += state && *state != "410" ? 1 : 0;
        completed += state && *state == "completed" ? 1 : 0;
    }
    record().say("known and answered: " + std::to_string(answered) + ", completed: " + std::to_string(completed) + " of " + std::to_string(accepted.size()));
    return answered == accepted.size() ? ExitHeld : ExitBroken;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
