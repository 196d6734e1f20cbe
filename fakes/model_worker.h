/**
 * @file model_worker.h A worker in memory, for the emulator: it runs tasks under a lease, keeps the highest fence, lists ends until they are
 * noted, and lets tasks in spare room press on lasting ones. It decides nothing and trusts no order.
 */

#pragma once

#include "fleet/fleet_type.h"
#include "fleet/worker_order_type.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Filbertlanding {

/** What a task really does. */
struct ModelTask {
    Duration length; ///< Work at full speed.
    bool isLongRunning = false;
    bool isCheckpointed = false;
    bool usesSpareCapacity = false;
    bool fails = false; ///< Every run ends failed.
    Resources request;
    std::string image;
    Duration latencyTarget;
};

/** A run on a worker. */
struct ModelRun {
    std::uint32_t run = 0;
    ModelTask task;
    double done = 0; ///< Work done, in ms at full speed.
    std::string checkpoint;
    std::int64_t speedLimitPercent = 100;
    double cpuInUse = 0; ///< Thousandths of a core.
};

/** How one image in spare room presses on one lasting image: rise of the tail, as a share of the target, with all processors in use. */
using ModelInterference = std::map<std::pair<std::string, std::string>, double>;

/** Order of tasks by name. */
struct TaskNameOrder {
    bool operator()(const TaskName &left, const TaskName &right) const;
};

/** One life of a worker. */
class ModelWorker
{
public:
    ModelWorker(WorkerProfile itsProfile, double itsClockRate, const ModelInterference &itsInterference);

    /** Carries out an order and returns the answer. */
    OrderResponse execute(const WorkerOrder &order, const ModelTask &task);

    /** Returns what runs and what has ended. */
    OrderResponse list() const;

    /** Lets time pass. */
    void advance(Duration passed);

    /** Returns whether a lasting task is over its target. */
    bool isOverTarget(const ModelRun &run) const;

    /** Returns the worker's clock. */
    std::int64_t clockMs() const;

    WorkerProfile profile;
    std::map<TaskName, ModelRun, TaskNameOrder> running;
    bool isHanging = false; ///< Its tasks stand still.
    double speed = 1.0;
    bool failsAll = false; ///< Everything that it starts fails soon.
    std::function<void(const TaskName &, std::uint32_t run)> started; ///< Told of every run that begins.
    std::function<void(const TaskName &, std::uint32_t run, RunOutcome end)> ended; ///< Told of every run that ends.
    std::function<void(const ListedEnd &)> onEndDiscarded; ///< Told of every end that an order lets it forget, unless its lease has lapsed since; may be empty.

private:
    OrderResponse start(const WorkerOrder &order, const ModelTask &task);
    void extendLease(std::int64_t endMs);
    void end(const TaskName &name, RunOutcome how);
    bool fits(const ModelTask &task) const;
    std::int64_t tailLatencyMs(const ModelRun &run) const;

    double clock = 1000;
    double clockRate = 1.0;
    const ModelInterference &interference;
    std::uint64_t fence = 0;
    std::int64_t leaseEndMs = 0;
    std::vector<ListedEnd> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t expiredThrough = 0; ///< Ends up to this number were before the last lapse of the lease.
    std::map<TaskName, std::uint32_t, TaskNameOrder> closedRuns; ///< Runs up to this number were stopped or have ended.
};

} // namespace Filbertlanding
