/** @file scheduler_place.cpp Places tasks of ready steps on workers. */

#include "fleet/account_standing.h"
#include "fleet/capacity_hold.h"
#include "fleet/failed_placements.h"
#include "fleet/place_run.h"
#include "fleet/placement_candidates.h"
#include "fleet/scheduler_detail.h"
#include "fleet/service_order.h"
#include "fleet/short_job_wait.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Filbertlanding {

namespace {

    /** Workers that a placement pass examines before the rest is left to the next pass: a pass of a few ms, so that it does not block the event loop. */
    constexpr std::uint64_t MaxWorkersExaminedPerPass = 32'768;
    constexpr unsigned MaxPassesAtOnce = 4; ///< Postponed passes of which one pass does the work, so that a slow log does not limit the starts.

    /** State of a placement pass. */
    struct PlacementPass {
        FleetScheduler &scheduler;
        const FleetState &state;
        TimePoint now;
        SchedulerActions &actions;
        std::vector<PlacementCandidate *> candidates; ///< Set before the slopes, which are refreshed with them.
        const SlopeTable &slopes;
        bool hasAvoided = false; ///< Some of the candidates are avoided.
        std::set<ServiceName> idleServices; ///< Services with less than half of their CPU reserved.
        std::uint64_t scanLimit = 0; ///< Value of FleetScheduler::fleetScans at which placing stops; placeSteps() sets it for each half of a pass.
        LargestWorkers largestAtStart; ///< As of the start of the pass; an upper bound, since free capacity only shrinks during a pass.
        FailedPlacements failedPlacements;
        FailedPlacements failedHolds; ///< Requests for which no worker could be held.
        unsigned newHolds = 0;
        ShareTotals shareTotals;
        std::set<AccountName> accountsWithReservedLimit; ///< Accounts of which a step keeps room for itself, so that the later ones wait.
    };

    /** Returns the expected run time of the tasks of a step in the rack of their data. */
    Duration stepTime(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step)
    {
        return runTimeAt(expectedTaskTime(scheduler, job, step, 0), 0);
    }

    /**
     * Returns the run time of a step's tasks for comparison with held capacity: one standard deviation above the mean, and longer than any hold for
     * long-running steps. Returns 0 while no worker is held, so that all requests compare equal.
     */
    Duration cautiousStepTime(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step)
    {
        constexpr double Deviations = 1.0;
        constexpr Duration Endless{86'400'000}; // One day.
        if (scheduler.capacityHolds.empty()) {
            return {};
        }
        return job.spec.steps[step].isLongRunning ? Endless : runTimeAt(expectedTaskTime(scheduler, job, step, 0), Deviations);
    }

    /** Placement of a new run. */
    struct RunPlacement {
        std::uint32_t run = 0;
        IncarnationNumber incarnation = 0;
        std::string rack; ///< Rack of the worker.
        Duration nearTime; ///< Expected run time in the rack of the data.
    };

    void proposeStart(PlacementPass &pass, const FleetJob &job, const TaskRef &ref, const RunPlacement &placement)
    {
        FleetScheduler &scheduler = pass.scheduler;
        const StepSpec &spec = job.spec.steps[ref.step];
        const TaskRecord &task = job.occurrences.at(ref.occurrence).steps[ref.step].tasks[ref.index];
        RunView view = makeRunView(spec, placement.run, RunPhase::Proposed, pass.now);
        view.checkpoint = task.checkpoint;
        view.suspicion = suspicionOf(task.crashHistory);
        view.isQueueAtRisk = isAtRisk(scheduler.queueRisks, {job.host, job.pathPrefix}, pass.now);
        view.watchTime = watchTimeOf(task.crashHistory);
        view.isolationTime = isolationTimeOf(task.crashHistory);
        view.isDataRemote = isDataRemote(spec, placement.rack);
        view.expectedTime = placement.nearTime * (view.isDataRemote ? scheduler.settings.farFactor : 1);
        scheduler.migratingTasks.erase(ref);
        if (spec.isLongRunning) {
            scheduler.capacityHolds.erase(placement.incarnation);
        }
        addRun(scheduler.sessions.at(placement.incarnation), ref, std::move(view));
        scheduler.proposedStarts[ref] = placement.incarnation;
        addProposedStart(scheduler.accounts, pass.shareTotals, job, ref.step);
        pass.actions.propose.push_back(StartRun{ref, placement.run, placement.incarnation});
    }

    /** Returns the query for one more task of a step, without any special permission. */
    WorkerQuery makeQuery(const PlacementPass &pass, const FleetJob &job, const StepRef &step, const StepSpread &spread)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        WorkerQuery query{.step = spec,
                          .service = job.queue.service,
                          .spread = spread,
                          .interference = pass.scheduler.learnedModel.interference,
                          .slopes = pass.slopes,
                          .stepRef = step};
        if (!spec.isLongRunning) {
            query.expectedEnd = pass.now + cautiousStepTime(pass.scheduler, job, step.step);
        }
        return query;
    }

    /** Adds what earlier crashes tell about a task to a query for it. */
    void addCrashRisk(const PlacementPass &pass, const FleetJob &job, const TaskRecord &task, WorkerQuery &query)
    {
        query.suspicion = suspicionOf(task.crashHistory);
        query.isIsolated = isolationTimeOf(task.crashHistory) > Duration{};
        query.isQueueAtRisk = isAtRisk(pass.scheduler.queueRisks, {job.host, job.pathPrefix}, pass.now);
    }

    /** Reserves the capacity for the task of a query on a candidate. */
    void reserve(PlacementPass &pass, const WorkerQuery &query, PlacementCandidate &candidate)
    {
        reserveCapacity(candidate, query);
        pass.hasAvoided = pass.hasAvoided || candidate.isAvoided;
    }

} // namespace

const FailedRun *findFailedRun(const FleetScheduler &scheduler, const TaskRef &ref, TimePoint now)
{
    constexpr Duration MaxAvoidance{5'000}; // Limited for a task that no other worker has room for.
    const auto found = scheduler.failedRuns.find(ref);
    return found == scheduler.failedRuns.end() || now - found->second.at >= MaxAvoidance ? nullptr : &found->second;
}

namespace {

    /** Returns whether a task may be started again on the worker on which it has failed, if no other worker may run it. */
    bool mayRetryOnSameWorker(const FailedRun &failed, TimePoint now)
    {
        constexpr Duration RetryStep{500}; // The worker may recover meanwhile, and the number of attempts is limited.
        constexpr unsigned MaxRetrySteps = 4;
        return now - failed.at >= RetryStep * static_cast<std::int64_t>(std::min(failed.failures, MaxRetrySteps));
    }

} // namespace

bool acceptsSlowNow(const StepSpec &step, Duration idleFor)
{
    constexpr Duration MaxAvoidanceWait{2'000}; // The other workers may be full for ever.
    return step.isLongRunning && idleFor >= MaxAvoidanceWait;
}

bool acceptLastResort(WorkerQuery &query, const FailedRun *failed, bool hasAvoided, const std::vector<PlacementCandidate *> &candidates, TimePoint now)
{
    if ((failed == nullptr && !hasAvoided) || hasAlternative(query, candidates, 1)) {
        return false;
    }
    if (failed != nullptr && mayRetryOnSameWorker(*failed, now)) {
        query.excluded = 0;
    }
    query.acceptsAvoided = true;
    return true;
}

namespace {

    /**
     * Chooses a worker for a task. The worker on which the task has just failed and workers with slow tasks are only chosen if no other worker
     * may run the task, or if it has waited for long: they are avoided, but a task must not wait for ever because of that.
     */
    std::optional<std::size_t> chooseWorkerForTask(PlacementPass &pass, WorkerQuery &query, const FailedRun *failed, Duration idleFor)
    {
        query.excluded = failed == nullptr ? 0 : failed->incarnation;
        ++pass.scheduler.fleetScans;
        const auto chosen = chooseWorker(query, pass.candidates);
        if (chosen) {
            return chosen;
        }
        query.acceptsSlow = pass.hasAvoided && acceptsSlowNow(query.step, idleFor);
        if (!acceptLastResort(query, failed, pass.hasAvoided, pass.candidates, pass.now) && !query.acceptsSlow) {
            return std::nullopt;
        }
        ++pass.scheduler.fleetScans;
        return chooseWorker(query, pass.candidates);
    }

    /** Returns whether a task is not done and has a single run, so that a speculative copy is useful. */
    bool isCopyUseful(const FleetJob &job, const TaskRef &ref)
    {
        const TaskRecord *task = findTask(job, ref);
        return task != nullptr && !task->isDone && task->active.size() == 1;
    }

    /** Starts the requested speculative copies of stalled and slow tasks. */
    void placeCopies(PlacementPass &pass, const FleetState &state)
    {
        FleetScheduler &scheduler = pass.scheduler;
        std::erase_if(scheduler.requestedCopies, [&scheduler, &state](const auto &item) {
            return !scheduler.jobs.contains(item.first.job) || !isCopyUseful(state.jobs.at(item.first.job), item.first);
        });
        for (const auto &[ref, incarnation] : scheduler.requestedCopies) {
            if (scheduler.proposedStarts.contains(ref)) {
                continue;
            }
            const FleetJob &job = state.jobs.at(ref.job);
            if (!mayStartStep(scheduler, state, job, ref.step)) {
                continue;
            }
            const TaskRecord &task = job.occurrences.at(ref.occurrence).steps[ref.step].tasks[ref.index];
            const StepSpread spread = spreadOf(scheduler, job, {.job = ref.job, .occurrence = ref.occurrence, .step = ref.step});
            ++scheduler.fleetScans;
            WorkerQuery query = makeQuery(pass, job, {ref.job, ref.occurrence, ref.step}, spread);
            query.excluded = incarnation;
            addCrashRisk(pass, job, task, query);
            const auto chosen = chooseWorker(query, pass.candidates);
            if (chosen) {
                PlacementCandidate &candidate = *pass.candidates[*chosen];
                reserve(pass, query, candidate);
                proposeStart(pass, job, ref, {task.lastRun + 1, candidate.incarnation, candidate.rack, stepTime(scheduler, job, ref.step)});
            }
        }
    }

    /**
     * Notes a request for which no worker was found, unless one could take it but for other tasks of the step there or an earlier failure of the
     * task there. Those do not concern other steps, and neither do crashes under the task.
     */
    void noteFailedPlacement(PlacementPass &pass, const FleetJob &job, const WorkerQuery &query)
    {
        if (query.suspicion != CrashSuspicion::None) {
            return;
        }
        if ((query.step.maxPerWorker > 0 && !query.spread.empty()) || query.excluded != 0) {
            const StepSpread noSpread;
            WorkerQuery unlimited = makeQuery(pass, job, query.stepRef, noSpread);
            unlimited.harmTolerance = query.harmTolerance;
            unlimited.acceptsAvoided = query.acceptsAvoided;
            ++pass.scheduler.fleetScans;
            if (chooseWorker(unlimited, pass.candidates)) {
                return;
            }
        }
        pass.failedPlacements.note(query.step, query.service, query.harmTolerance, cautiousStepTime(pass.scheduler, job, query.stepRef.step));
    }

    StepRef stepRefOf(const ReadyStep &step)
    {
        return {step.job, step.occurrence, step.step};
    }

    /** What a placement of a step may do. */
    struct PlacementLimits {
        HarmTolerance harmTolerance = HarmTolerance::None;
        std::uint32_t maxTasks = 0; ///< Maximum number of tasks to place; a gang is placed as a whole.
    };

    /** Places the tasks of a step one by one, as far as capacity and the limit of the account allow. Returns false if tasks were left to the next pass. */
    bool placeIndependentTasks(PlacementPass &pass, const FleetJob &job, const ReadyStep &step, const PlacementLimits &limits)
    {
        const FleetScheduler &scheduler = pass.scheduler;
        const StepSpec &spec = job.spec.steps[step.step];
        const StepRecord &record = job.occurrences.at(step.occurrence).steps[step.step];
        const Duration expected = stepTime(scheduler, job, step.step);
        std::uint32_t placed = 0;
        bool isFull = false; // For all tasks but strong suspects, which have workers reserved.
        StepSpread spread = spec.maxPerWorker > 0 || spec.isLongRunning ? spreadOf(scheduler, job, step) : StepSpread();
        for (const std::uint32_t index : findPendingTasks(scheduler, job, step, pass.now)) {
            if (placed >= limits.maxTasks || !mayStartStep(scheduler, pass.state, job, step.step)) {
                return true;
            }
            const TaskRef ref{step.job, step.occurrence, step.step, index};
            const TaskRecord &task = record.tasks[index];
            if (scheduler.fleetScans >= pass.scanLimit) {
                return false;
            }
            const FailedRun *failed = findFailedRun(scheduler, ref, pass.now);
            WorkerQuery query = makeQuery(pass, job, stepRefOf(step), spread);
            query.harmTolerance = limits.harmTolerance;
            addCrashRisk(pass, job, task, query);
            const bool isStrongSuspect = query.suspicion == CrashSuspicion::Strong;
            if (isFull && !isStrongSuspect) {
                continue;
            }
            const auto chosen = chooseWorkerForTask(pass, query, failed, idleTime(scheduler, task, pass.now));
            if (!chosen) {
                noteFailedPlacement(pass, job, query);
                // The other tasks of the step may run on the worker on which this one has failed.
                isFull = isFull || (failed == nullptr && !isStrongSuspect);
                continue;
            }
            PlacementCandidate &candidate = *pass.candidates[*chosen];
            reserve(pass, query, candidate);
            ++spread[candidate.incarnation];
            ++placed;
            proposeStart(pass, job, ref, {task.lastRun + 1, candidate.incarnation, candidate.rack, expected});
        }
        return true;
    }

    /** Places all tasks of a gang, or none. */
    void placeGang(PlacementPass &pass, const FleetJob &job, const ReadyStep &step, const PlacementLimits &limits)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        const StepRecord &record = job.occurrences.at(step.occurrence).steps[step.step];
        if (step.pendingTasks < spec.taskCount) {
            // Some tasks of an earlier run of the gang have not ended yet.
            return;
        }
        // Capacity is reserved on copies of the candidates, which are discarded unless all tasks of the gang fit.
        std::vector<PlacementCandidate> trialCandidates;
        trialCandidates.reserve(pass.candidates.size());
        std::vector<PlacementCandidate *> trial;
        for (const PlacementCandidate *candidate : pass.candidates) {
            trialCandidates.push_back(*candidate);
            trial.push_back(&trialCandidates.back());
        }
        StepSpread spread;
        const Duration expected = stepTime(pass.scheduler, job, step.step);
        std::vector<RunPlacement> placements;
        std::uint32_t run = 0;
        WorkerQuery query = makeQuery(pass, job, stepRefOf(step), spread);
        query.harmTolerance = limits.harmTolerance;
        query.acceptsAvoided = pass.hasAvoided && !hasAlternative(query, trial, spec.taskCount);
        for (const TaskRecord &task : record.tasks) {
            if (isHeld(pass.scheduler, {step.job, step.occurrence, step.step, static_cast<std::uint32_t>(placements.size())}, pass.now)) {
                return;
            }
            ++pass.scheduler.fleetScans;
            addCrashRisk(pass, job, task, query);
            auto chosen = chooseWorker(query, trial);
            if (!chosen && !query.acceptsAvoided && pass.hasAvoided) {
                // The tasks of the gang that are placed already may be the reason why all workers with room are avoided.
                const auto left = static_cast<std::uint32_t>(record.tasks.size() - placements.size());
                query.acceptsAvoided = !hasAlternative(query, trial, left);
                ++pass.scheduler.fleetScans;
                chosen = query.acceptsAvoided ? chooseWorker(query, trial) : std::nullopt;
            }
            if (!chosen) {
                return;
            }
            PlacementCandidate &candidate = *trial[*chosen];
            reserve(pass, query, candidate);
            ++spread[candidate.incarnation];
            placements.push_back({0, candidate.incarnation, candidate.rack, expected});
            run = std::max(run, task.lastRun + 1);
        }
        for (std::size_t i = 0; i < trialCandidates.size(); ++i) {
            *pass.candidates[i] = std::move(trialCandidates[i]);
        }
        for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
            const TaskRef ref{step.job, step.occurrence, step.step, index};
            placements[index].run = run;
            proposeStart(pass, job, ref, placements[index]);
        }
    }

    /** Returns whether no worker of the service had enough left for a task of a step when the pass began, so that no search is needed. */
    bool exceedsLargestWorker(const PlacementPass &pass, const StepSpec &spec, const ServiceName &service)
    {
        const auto largest = pass.largestAtStart.find(service);
        if (largest == pass.largestAtStart.end()) {
            return true;
        }
        // A worker that has shrunk below its reservations has less than nothing left.
        return !fitsInto(reservedBy(spec), largerOf(largest->second.free, Resources()));
    }

    /**
     * Returns whether a step may use workers that like steps may not use, so that their failed searches say nothing about it. The workers that may run a
     * step depend on its other tasks, and with them whether avoided ones are used; suspects have workers reserved, and large requests have workers held.
     */
    bool hasOwnAlternatives(const PlacementPass &pass, const FleetJob &job, const ReadyStep &step)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        const bool isAvoidanceOwn = pass.hasAvoided && (spec.maxPerWorker > 0 || pass.scheduler.jobs.at(job.number).hasSuspects);
        const bool isSlowWorkerFree = fitsInto(reservedBy(spec), pass.largestAtStart.at(job.queue.service).freeOnSlow);
        return isAvoidanceOwn || (isSlowWorkerFree && acceptsSlowNow(spec, step.waitedFor)) || countHolds(pass.scheduler, stepRefOf(step)) > 0;
    }

    /** Returns whether it is known without a search that no worker has room for a task of a step. */
    bool isKnownNotToFit(const PlacementPass &pass, const FleetJob &job, const ReadyStep &step, HarmTolerance harmTolerance)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        const ServiceName &service = job.queue.service;
        if (exceedsLargestWorker(pass, spec, service)) {
            return true;
        }
        const Duration runTime = cautiousStepTime(pass.scheduler, job, step.step);
        return !hasOwnAlternatives(pass, job, step) && pass.failedPlacements.cannotFit(spec, service, harmTolerance, runTime);
    }

    /** Places the tasks of a step within limits, unless it is known that none fits. Returns false if tasks were left to the next pass. */
    bool placeWithin(PlacementPass &pass, const FleetJob &job, const ReadyStep &step, const PlacementLimits &limits)
    {
        if (isKnownNotToFit(pass, job, step, limits.harmTolerance)) {
            return true;
        }
        if (job.spec.steps[step.step].isGang) {
            placeGang(pass, job, step, limits);
            return true;
        }
        return placeIndependentTasks(pass, job, step, limits);
    }

    /**
     * Places the tasks of a step. Returns false if tasks were left to the next pass. Interference with long-running tasks is a reason to prefer other
     * workers and to wait for them, but not for ever: while most of a service is idle, a starved job gets one task whatever the interference.
     */
    bool placeStep(PlacementPass &pass, const FleetJob &job, const ReadyStep &step)
    {
        const std::uint32_t taskCount = job.spec.steps[step.step].taskCount;
        const bool isServiceIdle = pass.idleServices.contains(job.queue.service);
        const std::size_t proposedBefore = pass.actions.propose.size();
        if (!placeWithin(pass, job, step, {toleratedHarm(step, isServiceIdle, pass.now), taskCount})) {
            return false;
        }
        const bool isPlaced = pass.actions.propose.size() > proposedBefore;
        if (isPlaced || !getsTaskAtAnyHarm(step, isServiceIdle)) {
            return true;
        }
        return placeWithin(pass, job, step, {HarmTolerance::Any, 1});
    }

    /** Holds workers for the tasks of a long-running step that have waited and found no worker, so that smaller tasks do not take what becomes free. */
    void holdWorkers(PlacementPass &pass, const FleetJob &job, const ReadyStep &step)
    {
        constexpr unsigned MaxNewHoldsPerPass = 8; // Each one examines all workers.
        FleetScheduler &scheduler = pass.scheduler;
        const StepSpec &spec = job.spec.steps[step.step];
        if (pass.failedHolds.cannotFit(spec, job.queue.service, HarmTolerance::None, {})) {
            return;
        }
        const std::size_t pending = findPendingTasks(scheduler, job, step, pass.now).size();
        std::uint32_t held = countHolds(scheduler, stepRefOf(step));
        const StepSpread spread = spreadOf(scheduler, job, step);
        const WorkerQuery query = makeQuery(pass, job, stepRefOf(step), spread);
        while (held < pending && pass.newHolds < MaxNewHoldsPerPass && scheduler.fleetScans < pass.scanLimit
               && mayStartStep(scheduler, pass.state, job, step.step, held)) {
            ++scheduler.fleetScans;
            if (!holdWorker(scheduler, query, pass.candidates, pass.now)) {
                if (spec.maxPerWorker == 0) {
                    pass.failedHolds.note(spec, job.queue.service, HarmTolerance::None, {});
                }
                return;
            }
            ++pass.newHolds;
            ++held;
        }
    }

    /** Returns the index of the step that the last pass left to this one, if it is still ready; otherwise 0. */
    std::size_t findResumedStep(FleetScheduler &scheduler, const std::vector<ReadyStep> &ready)
    {
        const auto left = std::exchange(scheduler.resumePlacementAt, std::nullopt);
        const auto found = std::find_if(ready.begin(), ready.end(), [&left](const ReadyStep &step) {
            return left && stepRefOf(step) == *left;
        });
        return found == ready.end() ? 0 : static_cast<std::size_t>(found - ready.begin());
    }

    /** Returns whether the account of a step has got more than its share in this pass, so that the step has moved behind those of other accounts. */
    bool moveBehindOtherAccounts(PlacementPass &pass, const FleetJob &job, std::vector<ReadyStep> &ready, std::size_t index)
    {
        const auto standing = pass.scheduler.accounts.find(job.account.name);
        if (standing == pass.scheduler.accounts.end() || standing->second.shareClass <= ready[index].shareClass) {
            return false;
        }
        if (isKnownNotToFit(pass, job, ready[index], HarmTolerance::None)) {
            return false; // Its place makes no difference. Moving each of many steps would take long.
        }
        ready[index].shareClass = standing->second.shareClass;
        return moveBack(ready, index, pass.now);
    }

    /** Returns whether a worker with enough left may run a task of a step, so that it is of use to keep room within the limit for it. */
    bool hasWorkerOnceIdle(PlacementPass &pass, const FleetJob &job, const ReadyStep &step)
    {
        if (exceedsLargestWorker(pass, job.spec.steps[step.step], job.queue.service)) {
            return false;
        }
        ++pass.scheduler.fleetScans;
        const StepSpread spread;
        return hasAlternative(makeQuery(pass, job, stepRefOf(step), spread), pass.candidates, 1);
    }

    /** Returns whether the limit of its account holds a step, or a step before it that keeps room for itself. */
    bool isHeldByAccount(PlacementPass &pass, const FleetJob &job, const ReadyStep &step)
    {
        if (job.account.name.empty()) {
            return false;
        }
        if (pass.accountsWithReservedLimit.contains(job.account.name)) {
            return true;
        }
        if (mayStartStep(pass.scheduler, pass.state, job, step.step)) {
            return false;
        }
        if (reservesLimit(pass.scheduler, job, step.step) && hasWorkerOnceIdle(pass, job, step)) {
            pass.accountsWithReservedLimit.insert(job.account.name);
        }
        return true;
    }

    /**
     * Places the tasks of ready steps from an index on, until the scan limit is reached. Returns the index of the first step that is left. Steps whose
     * account is at its limit are skipped, so that they cost no search and other accounts don't wait for them.
     */
    std::size_t placeStepsFrom(PlacementPass &pass, const FleetState &state, std::vector<ReadyStep> &ready, std::size_t first)
    {
        for (std::size_t i = first; i < ready.size(); ++i) {
            const FleetJob *job = &state.jobs.at(ready[i].job);
            while (moveBehindOtherAccounts(pass, *job, ready, i)) {
                job = &state.jobs.at(ready[i].job);
            }
            ready[i].isHeldByAccountLimit = isHeldByAccount(pass, *job, ready[i]);
            if (ready[i].isHeldByAccountLimit) {
                continue;
            }
            if (pass.scheduler.fleetScans >= pass.scanLimit || !placeStep(pass, *job, ready[i])) {
                return i;
            }
            if (mayHoldWorkers(ready[i])) {
                holdWorkers(pass, *job, ready[i]);
            }
        }
        return ready.size();
    }

    /**
     * Places the tasks of ready steps within the scan limit of the pass. The first half of the scans begins at the first step, so that freed capacity goes
     * to the steps in their order; the second half continues where the last pass stopped, so that each step is reached.
     */
    void placeSteps(PlacementPass &pass, const FleetState &state, std::vector<ReadyStep> &ready)
    {
        FleetScheduler &scheduler = pass.scheduler;
        const std::uint64_t end = pass.scanLimit;
        const std::uint64_t scansLeft = end - std::min(scheduler.fleetScans, end);
        pass.scanLimit = end - scansLeft / 2;
        const std::size_t reached = placeStepsFrom(pass, state, ready, 0);
        const std::size_t resumed = findResumedStep(scheduler, ready); // Steps may have moved in the first half.
        if (reached == ready.size()) {
            return;
        }
        pass.scanLimit = end;
        const std::size_t left = placeStepsFrom(pass, state, ready, std::max(reached, resumed));
        if (left < ready.size()) {
            scheduler.resumePlacementAt = stepRefOf(ready[left]);
        }
        scheduler.isPlacementDue = true;
    }

    /** Returns how many searches through all workers a pass may make. */
    std::uint64_t scansOfPass(const FleetScheduler &scheduler, std::size_t workers)
    {
        const std::uint64_t scans = 1 + MaxWorkersExaminedPerPass / std::max<std::size_t>(1, workers);
        return scans * std::clamp(scheduler.postponedPasses, 1U, MaxPassesAtOnce);
    }

} // namespace

void placeTasks(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    std::vector<ReadyStep> ready = collectReadySteps(scheduler, state, now, wall, actions);
    if (ready.empty() && scheduler.requestedCopies.empty()) {
        scheduler.readySteps.clear();
        if (!scheduler.accounts.empty()) {
            setShares(scheduler.accounts, totalCapacity(usableWorkers(scheduler, state, now)));
        }
        return;
    }
    PlacementPass pass{.scheduler = scheduler,
                       .state = state,
                       .now = now,
                       .actions = actions,
                       .candidates = usableWorkers(scheduler, state, now),
                       .slopes = *scheduler.slopes};
    pass.shareTotals = setShares(scheduler.accounts, totalCapacity(pass.candidates));
    markShareClasses(scheduler.accounts, state, ready);
    pass.hasAvoided = std::any_of(pass.candidates.begin(), pass.candidates.end(), [](const PlacementCandidate *candidate) {
        return candidate->isAvoided || candidate->isReservedForSuspects;
    });
    pass.idleServices = findIdleServices(pass.candidates);
    pass.largestAtStart = findLargestWorkers(pass.candidates);
    pass.scanLimit = scheduler.fleetScans + scansOfPass(scheduler, pass.candidates.size());
    sortByServiceOrder(ready, now);
    placeCopies(pass, state);
    placeSteps(pass, state, ready);
    markHeldSteps(scheduler, state, ready);
    recordShortJobWaits(scheduler, state, pass.candidates, ready, now);
    scheduler.readySteps = std::move(ready);
}

} // namespace Filbertlanding
