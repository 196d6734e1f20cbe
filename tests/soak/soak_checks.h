/** @file soak_checks.h Checks the guarantees of the user documentation against what callers, operators and workers observe. */

#pragma once

#include "fakes/model_worker.h"
#include "network/http_client.h"
#include "soak/soak_type.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Filbertlanding {

/** What callers know about a job. */
struct SoakJob {
    JobSpec spec;
    std::string queue = "/jobs/"; ///< Path prefix of its queue.
    std::string account; ///< Client account that submits it; empty if it has none.
    std::optional<Duration> crashesAfter; ///< Run time after which the first task of the last step crashes its worker.
    bool isAccepted = false; ///< A submission was acknowledged.
    bool mayBeAccepted = false; ///< A submission had no response, or one that leaves the outcome unknown.
    std::optional<TimePoint> cancelSentAt;
    std::optional<TimePoint> cancelAcknowledgedAt;
    std::optional<FleetJobState> finalState; ///< Final state, as reported to a caller.
    TimePoint finalStateAt; ///< First report of a final state.
};

/** Who has sent a call. */
enum class SoakSender : std::uint8_t {
    Caller, ///< To an entry.
    Other, ///< An operator or worker, to a core.
};

/** Records the observed events and reports each violated guarantee. */
class SoakChecks
{
public:
    explicit SoakChecks(const SoakLimits &soakLimits);

    /** Returns the simulated behaviour of a task, derived from the caller's job description. */
    ModelTask modelTaskOf(const TaskName &task) const;

    /** A worker has started a run. With isDelayed, the fault injection has delayed the order. */
    void onStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run, const std::string &payload, bool isDelayed);
    void onEnded(const WorkerName &worker, const TaskName &task, std::uint32_t run, RunOutcome end);

    /** A worker was told that it may discard the end of a run. */
    void onEndDiscarded(const ListedEnd &end);

    /** Checks whether a worker that has just started a task has reported enough capacity for all its runs. */
    void checkCapacity(const ModelWorker &worker, const SoakReportedCapacity &reported, const TaskName &task);

    /** A worker process has exited. */
    void onWorkerExited(const WorkerName &worker);

    /** A task has crashed its worker. */
    void onWorkerCrashedBy(const TaskName &task);

    /** Returns the run time after which a task crashes its worker; nothing if it does not. */
    std::optional<Duration> crashDelayOf(const TaskName &task) const;

    /** A caller has read the state of a job and the reason of its failure; no state means that the job is unknown. */
    void onJobStateRead(const JobId &id, std::optional<FleetJobState> state, JobFailure reason, TimePoint sentAt);

    /** An operator's manifest was acknowledged. */
    void onManifestAcknowledged(std::uint64_t version, TimePoint at);

    /** An operator has read the manifest. */
    void onManifestRead(std::uint64_t version, TimePoint sentAt);

    /** A call of a caller, operator or worker has ended. Calls that were not sent or ran into their timeout are not told about. */
    void onCallEnded(SoakSender sender, TimePoint sentAt, Duration timeout, const HttpExchange &exchange) const;

    /** Returns the highest version acknowledged before a time; 0 if none was. */
    std::uint64_t newestAcknowledgedBefore(TimePoint time) const;

    /**
     * Returns the tasks that could start and keep their job waiting: one of each step that can run if nothing of the job runs, or each task of a
     * long-running job that does not run and whose last run ended some seconds ago.
     */
    std::vector<TaskName> waitingTasks(const JobId &id) const;

    /** Reports each accepted job that has not ended at the end of the run. */
    void checkAllJobsEnded();

    void addViolation(const std::string &text);

    std::function<void(SoakSender, TimePoint, unsigned)> onCallAnswered; ///< Told when each call was sent, and its status or 0 if its connection has ended.

    std::map<JobId, SoakJob> jobs;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    std::uint64_t doneEnds = 0;
    std::uint64_t crashes = 0; ///< Worker processes that tasks have crashed.
    std::uint64_t jobsGivenUp = 0; ///< Jobs with such a task that callers have seen as failed.
    std::map<std::uint64_t, TimePoint> acknowledgedManifests; ///< By version.
    TimePoint lastManifestRead; ///< Time at which the newest read of the manifest that was served was sent.

private:
    /** Events observed for a task. */
    struct ObservedTask {
        std::map<WorkerName, std::uint32_t> runningOn;
        std::map<std::uint32_t, bool> doneRuns; ///< Runs that completed successfully, and whether the task was started again afterwards.
        TimePoint endedAt; ///< End of the last run.
        std::uint32_t crashes = 0; ///< Workers that the task has crashed.
        std::uint32_t startsAfterCrashes = 0; ///< Starts after the limit of crashes was reached.
        bool isDoneRecorded = false; ///< The end of such a run was recorded in the log, so that the worker may discard it.
    };

    void checkStart(const TaskName &task, const std::string &name, const std::string &payload, bool isDelayed);
    void checkFailure(const JobId &id, const SoakJob &job, JobFailure reason);
    bool isStepDone(const TaskName &task, std::uint32_t step) const;
    bool hasBegun(const JobId &id) const;

    SoakLimits limits;
    std::map<TaskName, ObservedTask, TaskNameOrder> tasks;
};

/** Returns what all runs of a worker reserve. */
Resources reservedOn(const ModelWorker &worker);

/** Returns the textual form of a task name. */
std::string formatTaskName(const TaskName &task);

} // namespace Filbertlanding
