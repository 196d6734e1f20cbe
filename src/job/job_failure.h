/** @file job_failure.h Tells bad jobs from bad workers. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Filbertlanding {

/** Settings of the judgement of failures. */
struct FailureSettings {
    std::uint32_t workersUntilFailed = 3; ///< A job that failed on this many different good workers is failed.
    std::uint32_t attemptsUntilFailed = 8; ///< Bound on all failed attempts, in case no worker counts as good.
    std::uint32_t jobsUntilFaulty = 2; ///< Different jobs that fail on a worker, with no success between, that make it bad.
    Duration baseBackoff{10'000}; ///< Time for which a bad worker gets no task; doubles with each further failure.
    Duration maxBackoff{600'000}; ///< Bound on that time.
};

/** Failures of one job. */
struct JobFailureRecord {
    std::vector<std::uint32_t> workers; ///< Indexes of the workers on which it failed, each once.
    std::uint32_t attempts = 0; ///< Failed attempts.
};

/** Failures on one worker since the last success there. */
struct WorkerFailureRecord {
    std::vector<JobId> jobs; ///< Different jobs that failed; at most 16 are kept.
    std::uint32_t failures = 0; ///< Failed attempts.
    TimePoint backoffUntil; ///< No task starts on it before.
    bool quarantined = false; ///< Membership has quarantined it.
};

/** What the daemon knows about failures. */
struct FailureState {
    FailureSettings settings; ///< Settings.
    std::unordered_map<JobId, JobFailureRecord> jobs; ///< Jobs that failed at least once and have not ended.
    std::vector<WorkerFailureRecord> workers; ///< By worker index.
};

/** Notes a failed attempt. @return Whether the job is to be failed. */
bool recordFailure(FailureState &state, const JobId &job, std::uint32_t worker, TimePoint now);

/** Notes that a task finished on a worker: what failed there before was not the worker's fault. */
void recordSuccess(FailureState &state, std::uint32_t worker);

/** Returns whether different jobs have failed on the worker without a success between. */
bool isFaultyWorker(const FailureState &state, std::uint32_t worker);

/** Returns whether a job has failed on the worker since the last success; such a worker gets one task at a time. */
bool isSuspectWorker(const FailureState &state, std::uint32_t worker);

/** Returns the failures of a worker. */
WorkerFailureRecord &workerFailures(FailureState &state, std::uint32_t worker);

} // namespace Filbertlanding
