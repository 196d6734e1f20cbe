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
    std::optional<TimePoint> cancelSent;
    std::optional<TimePoint> cancelAcknowledged;
    std::optional<FleetJobState> finalState; ///< As a caller was told.
};

/** Collects what happens and names each broken promise. */
class SoakChecks
{
public:
    explicit SoakChecks(const SoakBounds &itsBounds);

    /** Returns what a task really does, as the caller described it. */
    ModelTask taskOf(const TaskName &task) const;

    /** A worker has begun a run; late tells that the order came late on purpose. */
    void onStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run, const std::string &payload, bool isLate);
    void onEnded(const WorkerName &worker, const TaskName &task, std::uint32_t run, RunOutcome end);

    /** A worker was allowed to forget the end of a run. */
    void onNoted(const ListedEnd &end);

    /** A worker's process is gone. */
    void onWorkerGone(const WorkerName &worker);

    /** A caller was told the state of a job; nothing means that there is no such job. */
    void onShown(const JobId &id, std::optional<FleetJobState> state, TimePoint sentAt);

    /** An operator's manifest was acknowledged. */
    void onManifestAcknowledged(std::uint64_t version, TimePoint at);

    /** An operator has read the manifest. */
    void onManifestRead(std::uint64_t version, TimePoint sentAt);

    /** Everything has settled: names each accepted job that has not ended as it should. */
    void checkSettled();

    void violate(const std::string &text);

    std::map<JobId, SoakJob> jobs;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    std::uint64_t doneEnds = 0;
    std::map<std::uint64_t, TimePoint> acknowledgedManifests; ///< By version.

private:
    /** What is true of a task. */
    struct TaskTruth {
        std::map<WorkerName, std::uint32_t> runningOn;
        std::map<std::uint32_t, bool> doneRuns; ///< Runs that have ended done, and whether the task was started after that.
        bool isDoneNoted = false; ///< The end of such a run was noted.
    };

    void checkStart(const TaskName &task, const std::string &name, const std::string &payload, bool isLate);
    bool isStepDone(const TaskName &task, std::uint32_t step) const;

    SoakBounds bounds;
    std::map<TaskName, TaskTruth, TaskNameOrder> tasks;
};

/** Returns a task's name for people. */
std::string textOf(const TaskName &task);

} // namespace Filbertlanding
