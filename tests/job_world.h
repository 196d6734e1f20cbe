/** @file job_world.h Simulation for tests of the job shard: workers, daemons, an unreliable network and a leader with the job records. */

#pragma once

#include "job/job_shard_func.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Filbertlanding::JobWorld {

/** Settings of the simulation, including faults of network and clocks. */
struct WorldSettings {
    std::uint32_t workers = 6; ///< Number of workers; all are in one zone.
    std::uint32_t shards = 2; ///< Number of daemons.
    std::uint32_t lossPercent = 0; ///< Percentage of messages that are lost.
    std::uint32_t duplicatePercent = 0; ///< Percentage of messages that are delivered twice.
    std::int64_t maxDelayMs = 5; ///< Maximum message delay; differing delays reorder messages.
    bool drift = false; ///< Clocks run up to 0.45% fast or slow, so that any two differ by less than 1%.
    std::uint64_t seed = 1;
    Resources capacity{32000, 128000, 0}; ///< Capacity of each worker.
    ShardSettings shard;
};

/** Task on a simulated worker. */
struct FakeTask {
    TaskReport report;
    std::int64_t startedMs = 0; ///< Simulation time of the start.
    std::int64_t workMs = 0; ///< Remaining work.
    std::int64_t checkpointMs = 0; ///< Simulation time at which a requested checkpoint is written; 0 for none.
    Resources use; ///< Actual usage.
};

/** Simulated worker that follows the protocol rules of shardHandleReport(). */
struct FakeWorker {
    WorkerName name;
    bool alive = true;
    bool failsAll = false; ///< Whether every task on it fails.
    double clockRate = 1;
    std::uint64_t incarnation = 1;
    std::uint32_t owner = 0; ///< Index of the daemon to which it reports.
    std::uint64_t ownerEpoch = 1;
    std::uint64_t acknowledged = 0; ///< Number of the last answer handled.
    double leaseEnd = 0; ///< Expiry of the task lease, in worker time.
    double answeredAt = 0; ///< Time of the last answer, in worker time.
    std::int64_t nextReport = 0; ///< Simulation time of the next report.
    std::map<std::pair<std::string, std::uint64_t>, FakeTask> tasks; ///< Tasks by job and epoch.
    std::set<std::pair<std::string, std::uint64_t>> refusedStarts; ///< Ended attempts, which must not be started again.
};

/** Returns whether a task has not ended. */
inline bool isLiveTask(const FakeTask &task)
{
    return task.report.state <= TaskState::Throttled;
}

/** Job in the records of the leader. */
struct FakeJob {
    BatchSpec spec;
    std::uint64_t epoch = 0; ///< Last epoch.
    int shard = -1; ///< Shard to which it is assigned, or -1.
    std::string checkpoint; ///< Checkpoint from which the next epoch resumes.
    std::int64_t workMs = 8000; ///< Work of one task.
    Resources use; ///< Actual usage of one task.
    bool fails = false; ///< Whether it fails on every worker.
    bool cancelled = false;
    int finishes = 0; ///< Number of committed finishes.
    bool failed = false; ///< Whether a permanent failure was committed.
    std::string reason; ///< Reason of the failure.
    std::set<std::uint32_t> finishedTasks;
    std::int64_t submittedMs = 0; ///< Simulation time of the submission.
    std::int64_t firstStartMs = -1; ///< Simulation time of the first start.
    int evictions = 0; ///< Number of committed evictions.
};

/** Simulated daemon. */
struct FakeDaemon {
    JobShard shard;
    bool alive = true;
    bool connected = true; ///< Whether it can reach the leader.
    bool drained = false; ///< Drain state of the zone as applied by this daemon.
    double clockRate = 1;
    std::uint64_t incarnation = 1;
    std::int64_t grantedMs = 0; ///< Simulation time at which the leader last granted the running lease.
    std::map<std::string, std::map<std::uint64_t, std::int64_t>>
        sent; ///< Time of each answer by worker and owner epoch, from which the ownership lease is derived.
    std::uint64_t answers = 0; ///< Last answer number.
    std::int64_t nextProbe = 0; ///< Simulation time of the next lease renewal.
    std::int64_t nextTick = 0; ///< Simulation time of the next shardTick().
};

/** Simulated cluster of workers, daemons and a leader. */
struct World {
    WorldSettings settings;
    Random random;
    std::int64_t now = 1'000'000; ///< Simulation time in milliseconds.
    std::vector<FakeWorker> workers;
    std::vector<std::unique_ptr<FakeDaemon>> daemons;
    std::map<JobId, FakeJob> jobs; ///< Job records of the leader.
    std::multimap<std::int64_t, std::function<void()>> messages; ///< Messages in flight, by time of arrival.
    bool assigning = true; ///< Whether the leader assigns waiting jobs.
    std::vector<std::string> violations; ///< Violated invariants.
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> startedOn; ///< Workers on which each attempt was started.
    std::set<std::pair<std::string, std::uint64_t>> reportedViolations; ///< Attempts whose violation is already recorded.
    std::vector<JobProposal> proposals; ///< Proposals that reached the catalog.
    std::vector<PlacementRecord> placements; ///< Placement decisions.
    std::vector<WorkerOutcome> outcomes; ///< Outcomes passed to membership.
    std::map<std::string, std::set<std::string>> failedJobs; ///< Failed jobs by worker since its last success, as membership counts them for quarantine.
    std::set<std::string> quarantined; ///< Workers in quarantine.

    explicit World(const WorldSettings &given);
    TimePoint daemonTime(const FakeDaemon &daemon) const
    {
        return {static_cast<std::int64_t>(static_cast<double>(this->now) * daemon.clockRate)};
    }
    double workerTime(const FakeWorker &worker) const
    {
        return static_cast<double>(this->now) * worker.clockRate;
    }
    FakeJob &submit(const JobId &id, const BatchSpec &spec, std::int64_t workMs);
    void run(std::int64_t ms);
    void send(const std::function<void()> &message);
    void startDaemon(std::uint32_t index, bool restart);
    void killDaemon(std::uint32_t index)
    {
        this->daemons[index]->alive = false;
    }
    void restartWorker(FakeWorker &worker);
    void cancel(const std::vector<JobId> &ids);
    void drain(bool drained, Duration limit = {600'000}, std::int64_t spare = 1'000'000);
    std::uint32_t liveCopies(const std::string &job) const;
    bool allEnded() const;

private:
    void step();
    void stepWorker(FakeWorker &worker);
    void sendReport(FakeWorker &worker);
    void receiveReport(std::uint32_t daemon, std::uint64_t incarnation, const WorkerReport &report, double sentAt);
    void receiveAnswer(std::uint32_t worker, std::uint64_t incarnation, const ReportAnswer &answer, double sentAt);
    void handleCommand(FakeWorker &worker, const TaskCommand &command);
    void checkStart(FakeDaemon &daemon, const TaskCommand &command);
    void stepDaemon(std::uint32_t index);
    void sendActions(std::uint32_t index);
    void applyProposal(std::uint32_t from, std::uint64_t incarnation, const JobProposal &proposal);
    ResultCode commit(const JobProposal &proposal);
    void sendRevocation(int shard, const JobId &job, std::uint64_t epoch);
    void assignWaiting();
    AssignedJob assignmentOf(const JobId &id, const FakeJob &job, bool assignedBeforeRestart) const;
    void checkInvariants();
};

/** Returns the specification of a job with one task. */
inline BatchSpec specOf(const std::string &jobClass, std::int64_t cpuMillis, std::int64_t memoryMb)
{
    BatchSpec spec;
    spec.service = "survey";
    spec.team = "team";
    spec.jobClass = jobClass;
    spec.declared = {cpuMillis, memoryMb, 0};
    return spec;
}

} // namespace Filbertlanding::JobWorld
