/** @file soak_checks.h The promises of the users' pages, checked from what callers, operators and workers see. */

#pragma once

#include "fakes/model_worker.h"
#include "soak/soak_type.h"

#include <map>
#include <set>
#include <vector>

namespace Filbertlanding {

/** What callers know of a job. */
struct SoakJob {
    JobSpec spec;
    bool isAccepted = false; ///< A submission was answered with success.
    bool mayBeAccepted = false; ///< A submission had no answer, or one that leaves the outcome open.
    std::optional<TimePoint> cancelSentAt;
    std::optional<TimePoint> cancelAcknowledgedAt;
    std::optional<FleetJobState> finalState; ///< As a caller was told.
};

/** Collects what happens and names each broken promise. */
class SoakChecks
{
public:
    explicit SoakChecks(const SoakLimits &soakLimits);

    /** Returns what a task really does, as the caller described it. */
    ModelTask modelTaskOf(const TaskName &task) const;

    /** A worker has begun a run; late tells that the order came late on purpose. */
    void onStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run, const std::string &payload, bool isDelayed);
    void onEnded(const WorkerName &worker, const TaskName &task, std::uint32_t run, RunOutcome end);

    /** A worker was allowed to forget the end of a run. */
    void onEndDiscarded(const ListedEnd &end);

    /** A worker's process is gone. */
    void onWorkerExited(const WorkerName &worker);

    /** A caller was told the state of a job; nothing means that there is no such job. */
    void onJobStateRead(const JobId &id, std::optional<FleetJobState> state, TimePoint sentAt);

    /** An operator's manifest was acknowledged. */
    void onManifestAcknowledged(std::uint64_t version, TimePoint at);

    /** An operator has read the manifest. */
    void onManifestRead(std::uint64_t version, TimePoint sentAt);

    /** Everything has settled: names each accepted job that has not ended as it should. */
    void checkAllJobsEnded();

    void addViolation(const std::string &text);

    std::map<JobId, SoakJob> jobs;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    std::uint64_t doneEnds = 0;
    std::map<std::uint64_t, TimePoint> acknowledgedManifests; ///< By version.

private:
    /** What is true of a task. */
    struct ObservedTask {
        std::map<WorkerName, std::uint32_t> runningOn;
        std::map<std::uint32_t, bool> doneRuns; ///< Runs that have ended done, and whether the task was started after that.
        bool isDoneRecorded = false; ///< The end of such a run was noted.
    };

    void checkStart(const TaskName &task, const std::string &name, const std::string &payload, bool isDelayed);
    bool isStepDone(const TaskName &task, std::uint32_t step) const;

    SoakLimits limits;
    std::map<TaskName, ObservedTask, TaskNameOrder> tasks;
};

/** Returns a task's name for people. */
std::string formatTaskName(const TaskName &task);

} // namespace Filbertlanding
