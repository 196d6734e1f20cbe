/**
 * @file case.cpp A burst of 6 s: a third of the callers submit large jobs and cancel them just after the acknowledgement. Then small jobs at an ordinary
 * rate. A stand-in of the platform ends a process that uses more than its memoryMb, and starts it again, as DEPLOY.md tells. TROUBLE=0 cancels nothing.
 */

#include "../lib-2/standin.h"

using namespace StandIn;

namespace {

constexpr std::int64_t TrafficMs = 24'000;
constexpr std::int64_t IntervalMs = 90; ///< 11.1 submissions a second; the site's sheet has 11.4.
constexpr std::int64_t BurstMs = 6'000; ///< Length of the burst, and of the time in which callers cancel.
constexpr std::int64_t BurstIntervalMs = 50; ///< 20 a second in the burst: x 1.8.
constexpr int LargeTasks = 20'000; ///< Tasks of each of the five steps of a large job.
constexpr std::int64_t FinishMs = 14'000; ///< finish_s
constexpr std::int64_t RestartMs = 1'000;
constexpr int EndsOfFault = 3; ///< Ends of a process in the day, from the rule.

std::int64_t residentKb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atoll(line.c_str() + 6);
        }
    }
    return 0;
}

std::string largeJob()
{
    std::string steps;
    for (int i = 0; i < 5; ++i) {
        steps += std::string(i == 0 ? "" : ",") + "{\"count\":" + std::to_string(LargeTasks) + ",\"cpu\":2000,\"memMb\":1000,\"estimatedMs\":2700"
            + (i == 0 ? std::string() : ",\"dependsOn\":[" + std::to_string(i - 1) + "]") + "}";
    }
    return "{\"spec\":\"large\",\"steps\":[" + steps + "]}";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    record.open(argv[1]);
    Deployment deployment(argv[2]);
    std::mutex machinesMutex; ///< Guards the processes of the deployment.
    std::atomic<bool> isOver{false};
    onGiveUp = [&deployment, &machinesMutex, &isOver] {
        isOver = true;
        const std::lock_guard guard(machinesMutex);
        deployment.stopAll();
    };
    deployment.startAll();
    const auto controls = deployment.controls();
    controlUntilAcked(controls, "PUT", "/config", manifestOf(3, {routeOf("estimate", "/estimate/", "desk")}, {"desk"}), 20'000);
    deployment.waitReady(20'000);
    for (int i = 1; i <= 6; ++i) {
        auto *worker = new Worker;
        worker->id = "i-worker" + std::to_string(i);
        worker->zone = "z" + std::to_string((i - 1) % 3 + 1);
        worker->service = "desk";
        worker->taskMs = 600;
        worker->controls = controls;
        worker->start("127.0.0.1");
    }
    sleepMs(2'500);

    // The platform: ends a process over its memory, and starts it again after a short delay.
    std::map<std::string, int> endsOf;
    std::map<std::string, std::int64_t> highestOf;
    std::thread platform([&] {
        std::map<std::string, std::int64_t> startDue;
        while (!isOver) {
            sleepMs(20);
            const std::lock_guard guard(machinesMutex);
            for (Deployment::Machine &machine : deployment.machines) {
                if (isOver) {
                    return;
                }
                const std::int64_t limitKb = std::int64_t{machine.isCore ? deployment.memoryMb : 260} * 1024;
                if (machine.pid > 0) {
                    const std::int64_t kb = residentKb(machine.pid);
                    highestOf[machine.name] = std::max(highestOf[machine.name], kb);
                    if (kb > limitKb) {
                        record.line(machine.name + " uses " + std::to_string(kb / 1024) + " MB, more than its " + std::to_string(limitKb / 1024) + " MB: killed");
                        deployment.killAndWait(machine);
                    } else if (!deployment.hasEnded(machine)) {
                        continue;
                    }
                    ++endsOf[machine.name];
                    startDue[machine.name] = steadyMs() + RestartMs;
                } else if (steadyMs() >= startDue[machine.name]) {
                    deployment.start(machine, false);
                }
            }
        }
    });

    const std::string large = largeJob();
    const std::string small = R"({"spec":"small","steps":[{"count":6,"cpu":2000,"memMb":1000,"estimatedMs":640}]})";
    std::map<int, int> answers; ///< Count by status of a submission; 0 for none.
    std::vector<std::string> kept; ///< Accepted submissions that nobody cancels.
    std::size_t cancelled = 0;
    const std::int64_t start = steadyMs();
    std::int64_t due = start;
    for (int i = 0; steadyMs() - start < TrafficMs; ++i) {
        if (steadyMs() < due) {
            sleepMs(due - steadyMs());
        }
        const bool isBurst = steadyMs() - start < BurstMs;
        due += isBurst ? BurstIntervalMs : IntervalMs;
        char path[64];
        std::snprintf(path, sizeof path, "/estimate/%016x", 0xa000 + i);
        const bool isLarge = isBurst && i % 3 == 0;
        const Answer answer = call(deployment.front(), "POST", path, "shop.example", isLarge ? large : small, 1'500);
        ++answers[answer.status];
        record.line(std::string("POST ") + path + (isLarge ? " large" : " small") + " answered " + std::to_string(answer.status));
        if (answer.status != 200) {
            continue;
        }
        if (isLarge && hasTrouble()) {
            const Answer cancel = call(deployment.front(), "DELETE", path, "shop.example", {}, 1'500);
            record.line(std::string("DELETE ") + path + " answered " + std::to_string(cancel.status));
            ++cancelled;
        } else {
            kept.push_back(path);
        }
    }
    for (const auto &[status, count] : answers) {
        record.line("submissions answered " + std::to_string(status) + ": " + std::to_string(count));
    }
    record.line("cancelled: " + std::to_string(cancelled));
    sleepMs(FinishMs);

    // Each accepted submission is asked for until it is known, for some seconds in all.
    std::size_t unknown = 0;
    std::size_t unanswered = 0;
    const std::int64_t askUntil = steadyMs() + 6'000;
    for (const std::string &path : kept) {
        int status = 0;
        do {
            status = call(deployment.front(), "GET", path, "shop.example", {}, 1'500).status;
            if (status != 200 && status != 410) {
                sleepMs(100);
            }
        } while (status != 200 && status != 410 && steadyMs() < askUntil);
        unknown += status == 410 ? 1 : 0;
        unanswered += status != 200 && status != 410 ? 1 : 0;
    }
    isOver = true;
    platform.join();
    record.line("of " + std::to_string(kept.size()) + " accepted submissions that nobody cancelled, not known: " + std::to_string(unknown)
                + ", without an answer: " + std::to_string(unanswered));
    std::size_t coresOver = 0;
    for (const Deployment::Machine &machine : deployment.machines) {
        record.line(machine.name + ": ended " + std::to_string(endsOf[machine.name]) + " times, at most " + std::to_string(highestOf[machine.name] / 1024) + " MB");
        coresOver += machine.isCore && endsOf[machine.name] >= EndsOfFault ? 1 : 0;
    }
    deployment.stopAll();
    const bool isBroken = coresOver >= 2 || unknown > 0 || unanswered > 0;
    record.line(isBroken ? "the rule was broken" : "the rule held");
    std::_Exit(isBroken ? 1 : 0);
}
