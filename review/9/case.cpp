/**
 * @file case.cpp Two callers submit to two queues. Each numbers its submissions from 1, so that the paths differ and the ids do not. TROUBLE=0: the second
 * caller's numbers begin at 257.
 */

#include "../lib-2/standin.h"

using namespace StandIn;

namespace {

constexpr int Submissions = 5;
constexpr std::int64_t FinishMs = 14'000; ///< finish_s

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3) {
        return 2;
    }
    record.open(argv[1]);
    Deployment deployment(argv[2]);
    onGiveUp = [&deployment] {
        deployment.stopAll();
    };
    deployment.startAll();
    const auto controls = deployment.controls();
    controlUntilAcked(
        controls, "PUT", "/config", manifestOf(3, {routeOf("estimate", "/estimate/", "desk"), routeOf("tender", "/tender/", "desk")}, {"desk"}), 20'000);
    deployment.waitReady(20'000);
    std::vector<Worker *> workers;
    for (int i = 1; i <= 3; ++i) {
        auto *worker = new Worker;
        worker->id = "i-worker" + std::to_string(i);
        worker->zone = "z" + std::to_string(i);
        worker->service = "desk";
        worker->taskMs = 600;
        worker->controls = controls;
        worker->start("127.0.0.1");
        workers.push_back(worker);
    }
    sleepMs(2'500);

    const auto pathOf = [](const char *prefix, int number) {
        char path[64];
        std::snprintf(path, sizeof path, "%s%016x", prefix, number);
        return std::string(path);
    };
    const auto submit = [&](const std::string &path, const std::string &spec) {
        const std::string job = "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":2,\"cpu\":2000,\"memMb\":1000,\"estimatedMs\":600}]}";
        const Answer answer = call(deployment.front(), "POST", path, "shop.example", job, 3'000);
        record.line("POST " + path + " spec " + spec + " answered " + std::to_string(answer.status));
        return answer.status;
    };
    const int firstOfSecond = hasTrouble() ? 1 : 257;
    std::vector<std::pair<std::string, std::string>> accepted; ///< Path and spec.
    for (int i = 0; i < Submissions; ++i) {
        for (const bool isSecond : {false, true}) {
            const std::string path = isSecond ? pathOf("/tender/", firstOfSecond + i) : pathOf("/estimate/", 1 + i);
            const std::string spec = (isSecond ? "tender-" : "estimate-") + std::to_string(i);
            if (submit(path, spec) == 200) {
                accepted.emplace_back(path, spec);
            }
            sleepMs(100);
        }
    }
    sleepMs(FinishMs);

    std::size_t broken = 0;
    for (const auto &[path, spec] : accepted) {
        std::size_t begun = 0;
        for (Worker *worker : workers) {
            const std::lock_guard guard(worker->mutex);
            for (const WorkerRun &run : worker->history) {
                begun += run.spec == spec ? 1 : 0;
            }
        }
        const Answer answer = call(deployment.front(), "GET", path, "shop.example", {}, 3'000);
        record.line("GET " + path + " answered " + std::to_string(answer.status) + " " + answer.body + "; runs of spec " + spec + ": " + std::to_string(begun));
        if (begun == 0) {
            ++broken;
            record.line(std::string("MIXED: the submission ") + path + " was accepted, none of its tasks has begun, and it is shown as " + answer.body);
        }
    }
    if (accepted.empty()) {
        giveUp("no submission was accepted");
    }
    deployment.stopAll();
    record.line(broken > 0 ? "the rule was broken" : "the rule held");
    std::_Exit(broken > 0 ? 1 : 0);
}
