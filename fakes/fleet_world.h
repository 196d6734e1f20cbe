/**
 * @file fleet_world.h An emulator of an installation around the scheduler: model workers, links that lose, delay and cut, a log with a delay,
 * and leaders that follow each other, all on one simulated clock and driven by a seed. It checks the promises of the product at every event.
 */

#pragma once

#include "core/random.h"
#include "fakes/model_worker.h"
#include "fleet/fleet_scheduler_func.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** How a world behaves. */
struct FleetSimulationSettings {
    std::uint64_t seed = 1;
    int workers = 12;
    int workersPerRack = 4;
    Resources capacity{32'000, 125'000, 0};
    SchedulerSettings scheduler;
    Duration commitDelay{15}; ///< From a proposal to its application.
    Duration linkDelay{2}; ///< One way.
    Duration maxResponseDelay; ///< Answers reach the scheduler up to so much later, as with a busy leader.
    int lostResponsePercent = 0; ///< Answers that do not come although the order is carried out.
    int lateOrderPercent = 0; ///< Orders without an answer that are carried out 2 to 12 s later.
    ModelInterference interference;
    Duration restartTime; ///< Time that a worker's process takes to start again.
};

/** What became of a submitted job. */
struct ModelOutcome {
    TimePoint submittedAt;
    std::optional<TimePoint> endedAt;
    FleetJobState state = FleetJobState::Queued;
    Duration objective;
};

/** The world. Broken promises are collected in violations. */
class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetSimulationSettings &simulationSettings);

    /** Submits a job; its tasks really take a step's estimate times this factor. */
    void submit(const JobId &id, const JobSpec &spec, double runTimeFactor = 1.0);

    /** Cancels a job. */
    void cancel(const JobId &id);

    /** Lets time pass, in steps of 5 ms. */
    void run(Duration length);

    /** A worker's process ends; with restart it begins a new life at once. */
    void crash(const WorkerName &worker, bool restart);

    /** Cuts a worker off from leaders, or joins it again. */
    void setPartitioned(const WorkerName &worker, bool isPartitioned);

    /** A worker reports that it leaves. */
    void drain(const WorkerName &worker, Duration remaining);

    /** The leader is gone at once, and the next one follows after a time. */
    void changeLeader(Duration gap);

    /** The leader is isolated: it goes on until its lease ends, and the next one follows after a time. */
    void isolateLeader(Duration lease, Duration gap);

    /** Changes how much later answers reach the scheduler. */
    void setMaxResponseDelay(Duration delay);

    /** Takes a zone out of use or back. */
    void drainZone(const ZoneName &zone, bool isDrained);

    /** Returns the scheduler of the present leader; there must be one. */
    const FleetScheduler &leaderScheduler() const;

    std::vector<std::string> violations; ///< Broken promises, in the order in which they were found.
    std::map<JobId, ModelOutcome> outcomes;
    std::map<WorkerName, std::unique_ptr<ModelWorker>> workers; ///< Present lives.
    FleetState state;
    TimePoint now{10'000};
    std::uint64_t startedRuns = 0;
    std::map<std::string, std::uint64_t> overTargetMs; ///< Time over target of lasting tasks, by image.
    std::uint64_t longRunningMs = 0; ///< Time at work of all lasting tasks.
    Random random;

private:
    /** Something that happens at a time. */
    struct Event {
        std::function<void()> action;
    };
    /** A scheduler and its term. */
    struct Leader {
        FleetScheduler scheduler;
        TimePoint leaseEnd;
        bool isReachable = true; ///< Its commands reach the log.
        std::optional<FleetState> isolatedState; ///< What it had applied when it was isolated; nothing later reaches it.
    };

    void at(TimePoint when, std::function<void()> action);
    WallTime wall() const;
    void addWorker(const WorkerName &name, int index);
    void report(const WorkerName &worker, std::optional<Duration> drainRemaining);
    void propose(FleetCommand command, std::uint64_t term);
    void apply(const FleetCommand &command);
    void execute(SchedulerActions actions, std::uint64_t term);
    void deliver(const WorkerOrder &order);
    void arrive(const WorkerOrder &order, bool isLost, std::int64_t startedAtMs, const std::function<void(const OrderResponse &)> &finish);
    void waitForEnd(const WorkerOrder &poll, std::int64_t startedAtMs, TimePoint until, const std::function<void(const OrderResponse &)> &respond);
    const FleetState &stateOf(const Leader &leader) const;
    void tickLeaders();
    void onStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run);
    void onEnded(const WorkerName &worker, const TaskName &task, std::uint32_t run, RunOutcome end);
    void onEndDiscarded(const WorkerName &worker, const ListedEnd &end);
    void addViolation(const std::string &text);
    ModelTask modelTask(const TaskName &task) const;
    void measureTailLatency(Duration step);

    FleetSimulationSettings settings;
    std::multimap<std::int64_t, Event> events;
    std::map<std::uint64_t, std::unique_ptr<Leader>> leaders; ///< By term; more than one after an isolation.
    std::uint64_t lastTerm = 0;
    std::map<JobId, JobSpec> specs;
    std::map<JobId, double> runTimeFactors;
    std::map<JobId, TimePoint> cancelledAt;
    std::set<WorkerName> partitionedWorkers;
    std::map<WorkerName, std::uint64_t> sequences;
    std::map<TaskName, std::map<WorkerName, std::uint32_t>, TaskNameOrder> activeRuns; ///< True state of every task.
    std::set<TaskName, TaskNameOrder> committedDoneTasks; ///< Tasks whose done end is in the log.
};

/** Returns a job of one step. */
JobSpec oneStepJob(std::uint32_t tasks, Resources request, Duration length);

} // namespace Filbertlanding
