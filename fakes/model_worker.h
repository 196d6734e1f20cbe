/**
 * @file model_worker.h Emulated worker: runs tasks under a lease, rejects orders with a stale fencing token, lists ended runs until the
 * scheduler has committed them, and models the interference of tasks in spare capacity with long-running tasks.
 */

#pragma once

#include "fleet/fleet_type.h"
#include "fleet/worker_order_type.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Actual behaviour of a task. */
struct ModelTask {
    Duration length; ///< Run time at full speed.
    bool isLongRunning = false;
    bool isCheckpointed = false;
    bool usesSpareCapacity = false;
    bool fails = false; ///< Whether every run fails.
    Resources request;
    std::string image;
    Duration latencyTarget;
};

/** Run of a task on the worker. */
struct ModelRun {
    std::uint32_t run = 0;
    ModelTask task;
    double done = 0; ///< Completed work, in ms at full speed.
    std::string checkpoint;
    std::int64_t speedLimitPercent = 100;
    double cpuInUse = 0; ///< Processor usage in thousandths of a core.
};

/**
 * Interference by pair of a long-running image and an image in spare capacity: increase of the tail latency, as a fraction of the latency
 * target, with all processors used by the latter.
 */
using ModelInterference = std::map<std::pair<std::string, std::string>, double>;

/** Compares task names by their parts. */
struct TaskNameOrder {
    bool operator()(const TaskName &left, const TaskName &right) const;
};

/** One incarnation of a worker. */
class ModelWorker
{
public:
    ModelWorker(WorkerProfile itsProfile, double itsClockRate, const ModelInterference &itsInterference);

    /** Executes an order and returns the response. */
    OrderResponse execute(const WorkerOrder &order, const ModelTask &task);

    /** Returns the running tasks and the ended runs that are not committed yet. */
    OrderResponse list() const;

    /** Returns whether it has ended runs that are not committed yet. */
    bool hasEnds() const;

    /** Ends a run that it has. */
    void end(const TaskName &name, RunOutcome how);

    /** Advances the simulation by the given time. */
    void advance(Duration passed);

    /** Returns whether the tail latency of a long-running task exceeds its target. */
    bool isOverTarget(const ModelRun &run) const;

    /** Returns the resources that the running tasks reserve. */
    Resources used() const;

    /** Returns the time on the worker's clock. */
    std::int64_t clockMs() const;

    WorkerProfile profile;
    std::map<TaskName, ModelRun, TaskNameOrder> running;
    bool isHanging = false; ///< Whether its tasks make no progress.
    double speed = 1.0;
    double baselineTailRatio = 0.4; ///< Tail latency of its long-running tasks without interference, as a fraction of their targets.
    bool enforcesCapacity = true; ///< Whether it refuses tasks that exceed its capacity.
    bool refusesStarts = false; ///< Whether it refuses all starts as unhealthy, and does nothing.
    bool failsAll = false; ///< Whether every run on it fails after a short time.
    std::function<void(const TaskName &, std::uint32_t run)> started; ///< Called when a run starts.
    std::function<void(const TaskName &, std::uint32_t run, RunOutcome end)> ended; ///< Called when a run ends.
    std::function<void(const ListedEnd &)>
        onEndDiscarded; ///< Called when a committed end is discarded, unless the lease has expired since the end; may be empty.

private:
    OrderResponse start(const WorkerOrder &order, const ModelTask &task);
    void extendLease(std::int64_t endMs);
    bool fits(const ModelTask &task) const;
    std::int64_t tailLatencyMs(const ModelRun &run) const;

    double clock = 1000;
    double clockRate = 1.0;
    const ModelInterference &interference;
    std::uint64_t fence = 0;
    std::int64_t leaseEndMs = 0;
    std::vector<ListedEnd> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t expiredThrough = 0; ///< Highest number of an end before the last expiry of the lease.
    std::map<TaskName, std::uint32_t, TaskNameOrder> closedRuns; ///< Highest number of a stopped or ended run, by task.
};

} // namespace Filbertlanding
