/**
 * @file fleet_simulation.h Discrete-event simulation of a fleet around the scheduler: model workers, network links with loss, delay and partitions, a
 * replicated log with a delay, and successive leaders, on one simulated clock and with a seeded random generator. It checks the guarantees of
 * the product at every event.
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
#include <tuple>
#include <utility>
#include <vector>

namespace Filbertlanding {

/** Settings of a simulation. */
struct FleetSimulationSettings {
    std::uint64_t seed = 1;
    int workers = 12;
    int workersPerRack = 4;
    Resources capacity{32'000, 125'000, 0};
    SchedulerSettings scheduler;
    Duration commitDelay{15}; ///< Time from a proposal until the command is applied.
    Duration linkDelay{2}; ///< One-way delay.
    Duration maxResponseDelay; ///< Maximum additional delay of responses, as with a busy leader.
    int lostResponsePercent = 0; ///< Percentage of executed orders whose response is lost.
    int lateOrderPercent = 0; ///< Percentage of orders without a response that are executed 2 to 12 s later.
    ModelInterference interference;
    Duration restartTime; ///< Time that a worker's process takes to restart.
    Duration restartJitter; ///< Maximum random additional time of a restart.
    bool restartsUnderNewName = false; ///< A restarted worker has a new name at the old address; otherwise it keeps its name.
    bool resetsConnections = false; ///< Orders that wait for a process that ends fail at once; otherwise they time out.
    bool ignoresCrashes = false; ///< Crashes are neither recorded nor is a restarted worker reserved, to compare with a scheduler without suspicion.
    bool workersEnforceCapacity = true; ///< Workers refuse starts over their capacity; otherwise such a start is a violation.
    Duration shrinkGrace{4'000}; ///< Time for which the capacity before a shrink still counts.
};

/** Time of its run after which a task crashes its worker. */
struct CrashTime {
    Duration least;
    Duration jitter; ///< Maximum random additional time, drawn for each run.
};

/** What is counted for a task that has run on a worker that crashed, or that crashes its workers. */
struct TaskCrashes {
    std::uint32_t starts = 0; ///< Runs that a worker has started; only counted for tasks that crash their workers.
    std::uint32_t caused = 0; ///< Crashes that the task has caused.
    std::uint32_t witnessed = 0; ///< Processes of workers that have ended, for whatever reason, while the task ran there.
    std::uint32_t startsAfterLimit = 0; ///< Starts after the number of crashes from which on few more are allowed.
};

/** Outcome of a submitted job. */
struct ModelOutcome {
    TimePoint submittedAt;
    std::optional<TimePoint> endedAt;
    FleetJobState state = FleetJobState::Queued;
    JobFailure failure = JobFailure::None;
    Duration objective;
};

/** The simulation. Violated guarantees are collected in violations. */
class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetSimulationSettings &simulationSettings);

    /** Submits a job, for an account or for none. The actual run time of its tasks is the estimate of the step times the factor. */
    void submit(const JobId &id, const JobSpec &spec, double runTimeFactor = 1.0, const AccountName &account = {});

    /** Makes a task of a job crash each worker that runs it long enough, in every occurrence. */
    void makeCrashing(const JobId &job, std::uint32_t step, std::uint32_t index, const CrashTime &time);

    /** Cancels a job. */
    void cancel(const JobId &id);

    /** Advances the simulated time, in steps of 5 ms. */
    void run(Duration length);

    /** Terminates a worker's process. With restart, a new incarnation starts after the restart time. */
    void crash(const WorkerName &worker, bool restart);

    /** Returns the name of the worker at an address; nothing while its process is down. */
    std::optional<WorkerName> workerAt(int index) const;

    /** Gives the address of a crashed worker to another one, which refuses the orders for it. */
    void reuseAddress(const WorkerName &worker);

    /** Delivers the notice of a shutdown under a worker's name. */
    void sayGoodbye(const WorkerName &worker);

    /** Partitions a worker from all leaders, or heals the partition. */
    void setPartitioned(const WorkerName &worker, bool isPartitioned);

    /** Partitions a worker from all leaders by something that refuses new connections to it, or heals the partition. */
    void setRefused(const WorkerName &worker, bool isRefused);

    /** Makes a worker report that it drains. */
    void drain(const WorkerName &worker, Duration remaining);

    /** Changes the capacity of a worker's running process, which its next report shows. */
    void setCapacity(const WorkerName &worker, const Resources &capacity);

    /** Delays the arrival of a worker's next report, so that later ones overtake it. */
    void delayNextReport(const WorkerName &worker, Duration delay);

    /** Puts a manifest in force that says whether workers enforce their capacity. */
    void setCapacityEnforced(bool isEnforced);

    /** Puts a manifest in force with these accounts, each with a key. */
    void setAccounts(const std::vector<AccountTerms> &accounts);

    /** Returns the requests of all tasks of an account that run on workers, without regard to the replicated state. */
    Resources runningOf(const AccountName &account) const;

    /** Terminates the leader. The next one starts after the gap. */
    void changeLeader(Duration gap);

    /** Discards the leader's scheduler and starts a new one in the same term, as after an error in it. Entries that it has proposed are still committed. */
    void restartScheduler();

    /** Isolates the leader, which remains active until its lease expires. The next one starts after the gap. */
    void isolateLeader(Duration lease, Duration gap);

    /** Changes the maximum additional delay of responses. */
    void setMaxResponseDelay(Duration delay);

    /** Drains a zone, or ends the drain. */
    void drainZone(const ZoneName &zone, bool isDrained);

    /** Returns the scheduler of the present leader, which must exist. */
    const FleetScheduler &leaderScheduler() const;

    std::vector<std::string> violations; ///< Violated guarantees, in the order of detection.
    std::map<JobId, ModelOutcome> outcomes;
    std::map<WorkerName, std::unique_ptr<ModelWorker>> workers; ///< Present incarnations.
    FleetState state;
    TimePoint now{10'000};
    std::uint64_t startedRuns = 0;
    std::map<TaskName, TaskCrashes, TaskNameOrder> taskCrashes; ///< Only tasks with a crash, and those that crash their workers.
    std::uint64_t crashesByTasks = 0; ///< Crashes that tasks have caused.
    std::vector<RecordCrash> recordedCrashes; ///< Crashes in the log.
    std::map<RunNoticeKind, std::uint64_t> runNotices; ///< Notices of all leaders, by kind.
    std::map<std::string, std::uint64_t> overTargetMs; ///< Time for which long-running tasks were over their latency targets, by image.
    std::uint64_t longRunningMs = 0; ///< Total time for which long-running tasks were running.
    Random random;

private:
    /** A scheduled event. */
    struct Event {
        std::function<void()> action;
    };
    /** A leader with its scheduler. */
    struct Leader {
        FleetScheduler scheduler;
        TimePoint leaseEnd;
        bool isReachable = true; ///< The commands of the leader reach the log.
        std::optional<FleetState> isolatedState; ///< State that the leader had applied when it was isolated.
    };
    /** A capacity that a worker has had. */
    struct FormerCapacity {
        Resources capacity;
        TimePoint until;
    };

    /** A poll that a worker answers when a run ends, or at the end of its wait. */
    struct WaitingPoll {
        WorkerName worker;
        std::int64_t startedAtMs = 0; ///< Start of the process that has received it.
        TimePoint until;
        std::function<void(const OrderResponse &)> respond;
    };
    /** What a leader knows of the start orders for a run. */
    struct StartDelivery {
        std::uint64_t term = 0; ///< Term in which the run was committed. The next leader does not know which orders have been sent.
        bool mayHaveArrived = false;
    };

    void at(TimePoint when, std::function<void()> action);
    WallTime wall() const;
    Duration randomUpTo(Duration longest); ///< Draws nothing for 0, so that other draws stay the same.
    void addWorker(const WorkerName &name, int index);
    void report(const WorkerName &worker, std::optional<Duration> drainRemaining);
    void deliverReport(const FleetWorkerReport &report);
    void checkCapacity(const WorkerName &worker, const std::string &run);
    void checkAccountLimit(const JobId &job, const std::string &run);
    Resources accountLimit(const AccountName &account) const;
    void propose(FleetCommand command, std::uint64_t term);
    void apply(const FleetCommand &command);
    void execute(SchedulerActions actions, std::uint64_t term);
    void deliver(const WorkerOrder &order);
    void arrive(const WorkerOrder &order, bool isLost, std::int64_t startedAtMs, const std::function<void(const OrderResponse &)> &finish);
    void waitForEnd(const std::shared_ptr<const WaitingPoll> &poll);
    const FleetState &stateOf(const Leader &leader) const;
    void tickLeaders();
    void onStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run);
    void onEnded(const WorkerName &worker, const TaskName &task, std::uint32_t run, RunOutcome end);
    void onEndDiscarded(const WorkerName &worker, const ListedEnd &end);
    void addViolation(const std::string &text);
    ModelTask modelTask(const TaskName &task) const;
    const CrashTime *findCrashTime(const TaskName &task) const;
    bool hasCrashingTask(const JobId &job) const;
    void onCrashingTaskStarted(const WorkerName &worker, const TaskName &task, std::uint32_t run, const CrashTime &time);
    void checkGangIsComplete(const TaskName &task, std::uint32_t run);
    void noteBegunJob(const TaskName &task, std::uint32_t run);
    void checkFirstStart(const FleetChange &change);
    void breakGang(const TaskName &task, std::uint32_t run);
    void noteStartResponse(const WorkerOrder &order, OrderOutcome outcome);
    void checkRecordedCrash(const RecordCrash &crash);
    void checkFailedJob(const FleetJob &job);
    void restart(const WorkerName &worker);
    void measureTailLatency(Duration step);

    FleetSimulationSettings settings;
    std::multimap<std::int64_t, Event> events;
    std::map<std::uint64_t, std::unique_ptr<Leader>> leaders; ///< Leaders by term; several after an isolation.
    std::uint64_t lastTerm = 0;
    std::map<JobId, JobSpec> specs;
    std::map<JobId, double> runTimeFactors;
    std::map<JobId, AccountName> accountOfJob; ///< Only jobs with an account.
    std::map<AccountName, Resources> formerLimits; ///< Limits before the latest change.
    TimePoint formerLimitsUntil; ///< Time of the latest change.
    std::map<JobId, TimePoint> cancelledAt;
    std::map<std::tuple<JobId, std::uint32_t, std::uint32_t>, CrashTime> crashingTasks; ///< By job, step and index.
    std::map<std::pair<TaskRef, std::uint32_t>, StartDelivery> startDeliveries; ///< By task and run.
    std::set<WorkerName> partitionedWorkers;
    std::set<WorkerName> refusedWorkers; ///< Partitioned workers to which new connections are refused at once.
    std::set<WorkerName> reusedAddresses; ///< Crashed workers whose address another worker has.
    std::uint64_t restarts = 0; ///< Restarts under a new name.
    std::map<WorkerName, std::uint64_t> sequences;
    std::map<WorkerName, Duration> reportDelays; ///< Delays of the next reports.
    std::map<WorkerName, std::vector<FormerCapacity>> formerCapacities; ///< Capacities of the present incarnations before their changes.
    std::set<JobId> begunJobs; ///< Jobs of which a worker has started a task, or workers all tasks of a gang.
    std::map<TaskName, std::map<std::uint32_t, std::set<std::uint32_t>>, TaskNameOrder>
        gangStarts; ///< Members that have started, by the first one and the run.
    std::map<TaskName, std::map<WorkerName, std::uint32_t>, TaskNameOrder> activeRuns; ///< Actual runs of each task, by worker.
    std::set<TaskName, TaskNameOrder> committedDoneTasks; ///< Tasks whose completion is committed.
};

/** Returns a job of one step. */
JobSpec oneStepJob(std::uint32_t tasks, Resources request, Duration length);

} // namespace Filbertlanding
