/** @file run_checks.cpp Checks of the ledgers of workers and callers. */

#include "run_checks.h"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    std::string textOf(const json::object &line, std::string_view key)
    {
        const json::value *value = line.if_contains(key);
        return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
    }

    std::int64_t numberOf(const json::object &line, std::string_view key)
    {
        const json::value *value = line.if_contains(key);
        return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
    }

    bool isEvent(const json::object &line, std::string_view event)
    {
        return textOf(line, "event") == event;
    }

    std::set<std::string> requestIds(const LedgerLines &workers, std::string_view event)
    {
        std::set<std::string> ids;
        for (const json::object &line : workers) {
            if (isEvent(line, event)) {
                ids.insert(textOf(line, "requestId"));
            }
        }
        return ids;
    }

    /** One run of a task on a worker. */
    struct TaskRun {
        std::string worker;
        std::int64_t epoch = 0;
        std::int64_t fromMs = 0;
        std::int64_t toMs = INT64_MAX;
    };

    /** Runs by job or task. A run without an end lasts until the end of the test. */
    std::map<std::string, std::vector<TaskRun>> taskRuns(LedgerLines lines)
    {
        std::stable_sort(lines.begin(), lines.end(), [](const json::object &left, const json::object &right) {
            return numberOf(left, "steadyMs") < numberOf(right, "steadyMs");
        });
        std::map<std::string, std::vector<TaskRun>> runs;
        for (const json::object &line : lines) {
            std::vector<TaskRun> &known = runs[textOf(line, "job")];
            if (isEvent(line, "taskStarted")) {
                known.push_back({textOf(line, "worker"), numberOf(line, "epoch"), numberOf(line, "steadyMs")});
            }
            if (!isEvent(line, "taskFinished") && !isEvent(line, "taskStopped") && !isEvent(line, "taskFailed")) {
                continue;
            }
            const auto run = std::find_if(known.rbegin(), known.rend(), [&line](const TaskRun &entry) {
                return entry.worker == textOf(line, "worker") && entry.epoch == numberOf(line, "epoch");
            });
            if (run != known.rend()) {
                run->toMs = numberOf(line, "steadyMs");
            }
        }
        runs.erase("");
        return runs;
    }

} // namespace

std::vector<std::string> findRepeatedRuns(const LedgerLines &workers, const LedgerLines &caller)
{
    std::set<std::string> once;
    for (const json::object &line : caller) {
        if (isEvent(line, "requestSent") && !line.at("repeatable").as_bool()) {
            once.insert(textOf(line, "id"));
        }
    }
    std::map<std::string, int> runs;
    std::vector<std::string> breaches;
    for (const json::object &line : workers) {
        const std::string id = textOf(line, "requestId");
        if (isEvent(line, "requestStarted") && once.contains(id) && ++runs[id] == 2) {
            breaches.push_back(id + " ran more than once");
        }
    }
    return breaches;
}

std::vector<std::string> findFalseRefusals(const LedgerLines &workers, const LedgerLines &caller)
{
    const std::set<std::string> started = requestIds(workers, "requestStarted");
    std::vector<std::string> breaches;
    for (const json::object &line : caller) {
        const bool refused = isEvent(line, "requestConcluded") && textOf(line, "outcome") == "refused" && numberOf(line, "sends") == 1;
        if (refused && started.contains(textOf(line, "id"))) {
            breaches.push_back(textOf(line, "id") + " was told " + textOf(line, "code") + ", not run, and ran");
        }
    }
    return breaches;
}

std::vector<std::string> findOverlappingTasks(const LedgerLines &workers)
{
    std::vector<std::string> breaches;
    for (auto &[job, runs] : taskRuns(workers)) {
        for (std::size_t i = 1; i < runs.size(); ++i) {
            for (std::size_t earlier = 0; earlier < i; ++earlier) {
                if (runs[earlier].toMs > runs[i].fromMs) {
                    breaches.push_back(job + " began with epoch " + std::to_string(runs[i].epoch) + " on " + runs[i].worker + " while epoch "
                                       + std::to_string(runs[earlier].epoch) + " ran on " + runs[earlier].worker);
                }
            }
        }
    }
    return breaches;
}

std::vector<std::string> findOverfullWorkers(const LedgerLines &workers, std::uint64_t slots)
{
    std::vector<std::string> breaches;
    for (const json::object &line : workers) {
        const bool overfull = isEvent(line, "requestStarted") && static_cast<std::uint64_t>(numberOf(line, "inFlight")) >= slots;
        if (overfull || isEvent(line, "requestBeyondSlots")) {
            breaches.push_back(textOf(line, "worker") + " was sent " + textOf(line, "requestId") + " with " + std::to_string(numberOf(line, "inFlight"))
                               + " in flight");
        }
    }
    return breaches;
}

std::vector<std::string> findUnfoundedAnswers(const LedgerLines &workers, const LedgerLines &caller)
{
    const std::set<std::string> answered = requestIds(workers, "requestAnswered");
    std::vector<std::string> breaches;
    for (const json::object &line : caller) {
        if (!isEvent(line, "requestConcluded") || textOf(line, "outcome") != "answered") {
            continue;
        }
        if (!answered.contains(textOf(line, "id")) || !line.at("right").as_bool()) {
            breaches.push_back(textOf(line, "id") + " has an answer that no worker gave");
        }
    }
    return breaches;
}

std::uint64_t countEvents(const LedgerLines &lines, const std::string &event, const std::string &zone, std::int64_t fromMs, std::int64_t toMs)
{
    return static_cast<std::uint64_t>(std::count_if(lines.begin(), lines.end(), [&](const json::object &line) {
        const std::int64_t at = numberOf(line, "steadyMs");
        return isEvent(line, event) && (zone.empty() || textOf(line, "zone") == zone) && at >= fromMs && at < toMs;
    }));
}

std::map<std::string, std::uint64_t> countOutcomes(const LedgerLines &caller)
{
    std::map<std::string, std::uint64_t> counts;
    for (const json::object &line : caller) {
        if (isEvent(line, "requestConcluded")) {
            counts[textOf(line, "outcome").empty() ? textOf(line, "code") : textOf(line, "outcome")] += 1;
        }
    }
    return counts;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string all;
    for (const std::string &line : lines) {
        all += line + "\n";
    }
    return all;
}

} // namespace Filbertlanding
