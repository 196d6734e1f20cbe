/** @file job_failure.cpp Distinguishes faulty jobs from faulty workers. */

#include "job/job_failure.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxJobsKept = 16; ///< Limit on the jobs recorded for one worker.

    template<class Value>
    void addIfAbsent(std::vector<Value> &values, const Value &value)
    {
        if (std::find(values.begin(), values.end(), value) == values.end()) {
            values.push_back(value);
        }
    }

} // namespace

WorkerFailureRecord &workerFailures(FailureState &state, std::uint32_t worker)
{
    if (worker >= state.workers.size()) {
        state.workers.resize(worker + 1U);
    }
    return state.workers[worker];
}

bool isFaultyWorker(const FailureState &state, std::uint32_t worker)
{
    if (worker >= state.workers.size()) {
        return false;
    }
    return state.workers[worker].quarantined || state.workers[worker].jobs.size() >= state.settings.jobsUntilFaulty;
}

bool isSuspectWorker(const FailureState &state, std::uint32_t worker)
{
    return worker < state.workers.size() && !state.workers[worker].jobs.empty();
}

bool recordFailure(FailureState &state, const JobId &job, std::uint32_t worker, TimePoint now)
{
    WorkerFailureRecord &record = workerFailures(state, worker);
    if (record.jobs.size() < MaxJobsKept) {
        addIfAbsent(record.jobs, job);
    }
    ++record.failures;
    if (record.jobs.size() >= state.settings.jobsUntilFaulty) {
        const std::uint32_t doublings = std::min<std::uint32_t>(record.failures - state.settings.jobsUntilFaulty, 10);
        const Duration backoff = state.settings.baseBackoff * (std::int64_t{1} << doublings);
        record.backoffUntil = now + std::min(backoff, state.settings.maxBackoff);
    }
    JobFailureRecord &failures = state.jobs[job];
    addIfAbsent(failures.workers, worker);
    ++failures.attempts;
    const auto healthy = std::count_if(failures.workers.begin(), failures.workers.end(), [&state](std::uint32_t failed) {
        return !isFaultyWorker(state, failed);
    });
    return static_cast<std::uint32_t>(healthy) >= state.settings.workersUntilFailed || failures.attempts >= state.settings.attemptsUntilFailed;
}

void recordSuccess(FailureState &state, std::uint32_t worker)
{
    if (worker >= state.workers.size()) {
        return;
    }
    WorkerFailureRecord &record = state.workers[worker];
    record.jobs.clear();
    record.failures = 0;
    record.backoffUntil = {};
}

} // namespace Filbertlanding
