/**
 * @file case.cpp A busy service: six of seven workers are full of work that lasts. The seventh answers the starts with 503 for some seconds, and has then done
 * nothing. Callers ask how many submissions of their queue wait. TROUBLE=0: the seventh worker is sound.
 */

#include "../lib-2/standin.h"

using namespace StandIn;

namespace {

constexpr int Workers = 7; ///< One of them is unhealthy: a share of 0.143.
constexpr int Submissions = 8;
constexpr std::int64_t UnhealthyMs = 6'500;
constexpr std::int64_t VisibleMs = 3'000; ///< visible_ms
constexpr std::int64_t RuleMs = VisibleMs + 2'000; ///< The rule counts submissions that were accepted longer ago than that.

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
        controls, "PUT", "/config", manifestOf(3, {routeOf("estimate", "/estimate/", "desk"), routeOf("watch", "/watch/", "desk")}, {"desk"}), 20'000);
    deployment.waitReady(20'000);
    std::vector<Worker *> workers;
    for (int i = 0; i < Workers; ++i) {
        auto *worker = new Worker;
        worker->id = "i-worker" + std::to_string(i);
        worker->zone = "z" + std::to_string(i % 3 + 1);
        worker->service = "desk";
        worker->taskMs = 1'000'000; // Lasts until it is stopped.
        worker->taskMsOfSpec["estimate"] = 600;
        worker->controls = controls;
        worker->start("127.0.0.1");
        workers.push_back(worker);
    }
    sleepMs(2'500);
    for (int i = 1; i < Workers; ++i) {
        char path[64];
        std::snprintf(path, sizeof path, "/watch/%016x", i);
        const std::string job = R"({"spec":"watch","steps":[{"count":1,"cpu":30000,"memMb":1000,"longRunning":true}]})";
        const int status = call(deployment.front(), "POST", path, "shop.example", job, 3'000).status;
        record.line(std::string("POST ") + path + " answered " + std::to_string(status));
        if (status != 200) {
            giveUp("a submission was not accepted");
        }
    }
    sleepMs(2'000);
    Worker *empty = nullptr;
    std::size_t full = 0;
    for (Worker *worker : workers) {
        const std::lock_guard guard(worker->mutex);
        full += worker->history.empty() ? 0 : 1;
        empty = worker->history.empty() ? worker : empty;
    }
    if (full != Workers - 1 || empty == nullptr) {
        giveUp("the lasting work did not fill six workers");
    }

    empty->refusesStarts = hasTrouble();
    const std::int64_t unhealthyUntil = steadyMs() + UnhealthyMs;
    std::vector<std::int64_t> acceptedAt;
    for (int i = 0; i < Submissions; ++i) {
        char path[64];
        std::snprintf(path, sizeof path, "/estimate/%016x", 0x100 + i);
        const std::string job = R"({"spec":"estimate","steps":[{"count":1,"cpu":4000,"memMb":1000,"estimatedMs":600}]})";
        const int status = call(deployment.front(), "POST", path, "shop.example", job, 3'000).status;
        record.line(std::string("POST ") + path + " answered " + std::to_string(status));
        if (status == 200) {
            acceptedAt.push_back(steadyMs());
        }
    }
    if (acceptedAt.size() != Submissions) {
        giveUp("a submission was not accepted");
    }

    std::size_t wrong = 0;
    while (steadyMs() < unhealthyUntil) {
        std::set<std::string> begun;
        for (Worker *worker : workers) {
            const std::lock_guard guard(worker->mutex);
            for (const WorkerRun &run : worker->history) {
                if (run.spec == "estimate") {
                    begun.insert(run.task);
                }
            }
        }
        const std::int64_t askedAt = steadyMs();
        const Answer answer = call(deployment.front(), "GET", "/estimate/", "shop.example", {}, 1'000);
        std::size_t notBegun = acceptedAt.size() - begun.size();
        record.line("GET /estimate/ answered " + std::to_string(answer.status) + " " + answer.body + "; accepted and not begun: " + std::to_string(notBegun));
        if (answer.status == 200 && askedAt - acceptedAt.back() > RuleMs) {
            const std::int64_t waiting = json::parse(answer.body).as_object().at("waiting").to_number<std::int64_t>();
            if (2 * waiting < static_cast<std::int64_t>(notBegun)) {
                ++wrong;
                record.line("MIXED: given as waiting: " + std::to_string(waiting) + ", accepted over " + std::to_string(RuleMs)
                            + " ms before and not begun: " + std::to_string(notBegun));
            }
        }
        sleepMs(250);
    }
    empty->refusesStarts = false;
    deployment.stopAll();
    record.line(wrong > 0 ? "the rule was broken" : "the rule held");
    std::_Exit(wrong > 0 ? 1 : 0);
}
