/** @file job_failure.h Distinguishes faulty jobs from faulty workers. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Filbertlanding {

/** Settings of failure classification. */
struct FailureSettings {
    std::uint32_t workersUntilFailed = 3; ///< A job that failed on this many distinct healthy workers is failed permanently.
    std::uint32_t attemptsUntilFailed = 8; ///< Limit on failed attempts in total, for the case that no worker counts as healthy.
    std::uint32_t jobsUntilFaulty = 2; ///< Distinct jobs that must fail on a worker, without a success in between, for it to count as faulty.
    Duration baseBackoff{10'000}; ///< Time for which a faulty worker gets no task; doubles with each further failure.
    Duration maxBackoff{600'000}; ///< Upper limit of the backoff.
};

/** Failures of one job. */
struct JobFailureRecord {
    std::vector<std::uint32_t> workers; ///< Indexes of the workers on which it failed, without duplicates.
    std::uint32_t attempts = 0; ///< Failed attempts.
};

/** Failures on one worker since the last success there. */
struct WorkerFailureRecord {
    std::vector<JobId> jobs; ///< Distinct jobs that failed; at most 16 are kept.
    std::uint32_t failures = 0; ///< Failed attempts.
    TimePoint backoffUntil; ///< No task may start on the worker before this time.
    bool quarantined = false; ///< Quarantined by membership.
};

/** Failures known to this daemon. */
struct FailureState {
    FailureSettings settings;
    std::unordered_map<JobId, JobFailureRecord> jobs; ///< Unfinished jobs with at least one failed attempt.
    std::vector<WorkerFailureRecord> workers; ///< By worker index.
};

/** Records a failed attempt. @return Whether the job must be failed permanently. */
bool recordFailure(FailureState &state, const JobId &job, std::uint32_t worker, TimePoint now);

/** Records a finished task on a worker. This clears its failures, since they were not caused by the worker. */
void recordSuccess(FailureState &state, std::uint32_t worker);

/** Returns whether the worker is quarantined or jobsUntilFaulty distinct jobs have failed on it since the last success. */
bool isFaultyWorker(const FailureState &state, std::uint32_t worker);

/** Returns whether any job has failed on the worker since the last success. Such a worker gets one task at a time. */
bool isSuspectWorker(const FailureState &state, std::uint32_t worker);

/** Returns the failure record of a worker, which is created if necessary. */
WorkerFailureRecord &workerFailures(FailureState &state, std::uint32_t worker);

} // namespace Filbertlanding
