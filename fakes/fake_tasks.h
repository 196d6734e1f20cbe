/** @file fake_tasks.h The batch tasks of one fake worker: simulated progress, checkpoints, leases and fencing by epoch. */

#pragma once

#include "core/clock_type.h"
#include "membership/worker_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Filbertlanding {

/** How tasks behave. */
struct FakeTaskSettings {
    Duration meanLength{20'000}; ///< Mean run time at full speed; the length of a job depends on its id, from half to one and a half of this.
    double sizeSpread = 1.0; ///< Real use is the declared size times a factor of the job class from 1/(1+spread) to 1+spread.
    double requestDrag = 0.5; ///< A worker with all slots in use slows its tasks by this share.
};

/** Says that a task started, stopped, finished or failed: event name, task, and why. */
using FakeTaskNote = std::function<void(const char *event, const TaskReport &task, const std::string &reason)>;

/** Tasks of one worker. Time is passed in. */
class FakeTasks
{
public:
    FakeTasks(FakeTaskSettings settings, FakeTaskNote note);

    /** Carries out a command whose lease is in force. failAll makes each task that starts fail. */
    void command(const TaskCommand &command, bool failAll, TimePoint now);

    /** Moves the leases of all tasks on; a shorter lease than before changes nothing. */
    void renewLease(TimePoint until);

    /** Moves the tasks on. The load is the share of slots in use, from 0 to 1. Tasks whose lease is over stop. */
    void advance(double load, TimePoint now);

    /** Stops all live tasks. */
    void stopAll(const std::string &reason);

    /** Returns what has to be reported: changes that no acknowledged report carried, and ended tasks. Notes that report `sequence` carries them. */
    std::vector<TaskReport> takeReports(std::uint64_t sequence);

    /** The report with this sequence number was answered. */
    void reportAnswered(std::uint64_t sequence);

    /** Has every task reported again, for a new owner. */
    void reportAllAgain();

    /** Returns what the live tasks use now. */
    Resources used() const;

    /** Returns the sum of slowdowns that the live tasks cause for a service, 0 for none. */
    double slowdownOf(const ServiceName &service, double interference, const Resources &capacity) const;

    /** Returns the number of tasks that run or are starting. */
    std::size_t liveCount() const;

private:
    using Key = std::pair<JobId, std::uint64_t>;

    /** One task. */
    struct Task {
        TaskReport report; ///< Its state as reported.
        TaskSpec spec; ///< What it was started with.
        Duration length; ///< Run time at full speed.
        TimePoint advancedAt; ///< When the progress was last computed.
        double reportedProgress = -1; ///< Progress in the last report.
        std::uint64_t carriedBy = 0; ///< Sequence number of the first report since the last change; 0 if none.
        bool changed = true; ///< Has to be reported.
        bool failing = false; ///< Will fail instead of running.
    };

    void start(const TaskCommand &command, bool failAll, TimePoint now);
    void end(Task &task, TaskState state, const char *event, const std::string &reason);
    void endUnknown(const Key &key);
    void remember(const Key &key);

    FakeTaskSettings settings;
    FakeTaskNote note;
    std::map<Key, Task> tasks;
    std::set<Key> ended; ///< Tasks that were forgotten; they never start again.
    std::deque<Key> endedOrder; ///< The same, oldest first, for the bound.
    TimePoint leaseUntil{0};
};

} // namespace Filbertlanding
