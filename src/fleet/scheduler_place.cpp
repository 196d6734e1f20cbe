/** @file scheduler_place.cpp Starts the tasks whose turn has come. */

#include "fleet/place_run.h"
#include "fleet/scheduler_detail.h"
#include "fleet/service_order.h"

#include <algorithm>
#include <tuple>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxStartsPerPass = 256; ///< Starts of one pass; the next pass goes on, so that one large job does not hold up the loop.

    /** Brings what placements know of a worker up to date. */
    void refreshCandidate(PlacementCandidate &candidate, const WorkerIncarnation &incarnation, const WorkerSession &session, const SlopeTable &slopes)
    {
        candidate = PlacementCandidate();
        candidate.incarnation = incarnation.number;
        candidate.service = incarnation.profile.service;
        candidate.availabilityZone = incarnation.profile.availabilityZone;
        candidate.rack = incarnation.profile.rack;
        candidate.labels = &incarnation.profile.labels;
        candidate.capacity = incarnation.profile.capacity;
        candidate.used = session.used;
        candidate.spareCpuRequested = session.spareCpuRequested;
        candidate.consecutiveFailures = session.consecutiveFailures;
        const double capacity = std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
        for (const auto &[task, run] : session.runs) {
            if (run.usesSpareCapacity) {
                candidate.spareCpuShares[run.image] += static_cast<double>(run.spareCpuMillis) / capacity;
            }
            if (!run.isLongRunning) {
                continue;
            }
            candidate.longRunningCpu += run.reserved.cpuMillis;
            if (run.latencyTarget.ms > 0) {
                LatencySensitiveTasks &tasks = candidate.latencySensitiveTasks[run.image];
                ++tasks.count;
                tasks.cpuMillis += run.reserved.cpuMillis;
                tasks.slopes = &slopesOf(slopes, run.image);
                tasks.highestTailRatio = std::max(tasks.highestTailRatio, static_cast<double>(run.measurement) / static_cast<double>(run.latencyTarget.ms));
            }
        }
        updateSensitivity(candidate, slopes);
    }

    /** Takes the slopes as learned since the last time; all trialCandidates depend on them. */
    void refreshSlopes(FleetScheduler &scheduler)
    {
        if (scheduler.slopes != nullptr && scheduler.slopes->fittedAt == scheduler.learnedModel.interference.fittedAt) {
            return;
        }
        scheduler.slopes = std::make_shared<const SlopeTable>(makeSlopeTable(scheduler.learnedModel.interference));
        scheduler.candidates.clear();
    }

    std::vector<PlacementCandidate *> usableWorkers(FleetScheduler &scheduler, const FleetState &state, TimePoint now)
    {
        refreshSlopes(scheduler);
        std::vector<PlacementCandidate *> candidates;
        candidates.reserve(scheduler.sessions.size());
        for (auto &[number, session] : scheduler.sessions) {
            if (!isUsable(state, session, now)) {
                continue;
            }
            const auto [candidate, isNew] = scheduler.candidates.try_emplace(number);
            if (isNew || session.isCandidateStale) {
                refreshCandidate(candidate->second, state.incarnations.at(number), session, *scheduler.slopes);
                session.isCandidateStale = false;
            }
            candidates.push_back(&candidate->second);
        }
        return candidates;
    }

    /** Tasks that found no place in this pass: what asks for as much or more of the same kind finds none either. */
    class FailedPlacements
    {
    public:
        bool cannotFit(const StepSpec &step, const ServiceName &service, bool acceptsInterference) const
        {
            const auto found = this->smallestRequests.find(keyOf(step, service, acceptsInterference));
            return found != this->smallestRequests.end() && step.request.cpuMillis >= found->second.cpuMillis && step.request.memoryMb >= found->second.memoryMb
                && step.request.accelerators >= found->second.accelerators;
        }

        void note(const StepSpec &step, const ServiceName &service, bool acceptsInterference)
        {
            // A limit for each worker may be the reason, which says nothing of other steps.
            if (step.maxPerWorker == 0 && !this->cannotFit(step, service, acceptsInterference)) {
                this->smallestRequests[keyOf(step, service, acceptsInterference)] = step.request;
            }
        }

    private:
        using Key = std::tuple<ServiceName, std::string, std::string, bool, bool>;

        static Key keyOf(const StepSpec &step, const ServiceName &service, bool acceptsInterference)
        {
            return {service, step.requiredLabel, step.usesSpareCapacity ? step.image : std::string(), step.usesSpareCapacity, acceptsInterference};
        }

        std::map<Key, Resources> smallestRequests;
    };

    /** What one pass works on. */
    struct PlacementPass {
        const SlopeTable &slopes;
        std::vector<PlacementCandidate *> candidates;
        FailedPlacements failedPlacements;
    };

    bool isPending(const FleetScheduler &scheduler, const TaskRef &ref, const TaskRecord &task)
    {
        return !task.isDone && task.active.empty() && !scheduler.proposedStarts.contains(ref);
    }

    void addReadySteps(const FleetScheduler &scheduler, const FleetJob &job, JobView &view, std::vector<ReadyStep> &ready)
    {
        if (view.isStale) {
            refreshJobView(scheduler, job, view);
        }
        for (const auto &[number, occurrence] : job.occurrences) {
            if (occurrence.isComplete) {
                continue;
            }
            for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
                const StepRecord &record = occurrence.steps[i];
                const StepSpec &spec = job.spec.steps[i];
                if (record.doneCount + record.activeCount >= spec.taskCount || !isStepReady(job, occurrence, i)) {
                    continue;
                }
                ReadyStep step{.job = job.number, .occurrence = number, .step = i, .priority = job.queue.priority};
                const auto first = scheduler.proposedStarts.lower_bound({job.number, number, i, 0});
                const auto last = scheduler.proposedStarts.lower_bound({job.number, number, i + 1, 0});
                const auto proposed = static_cast<std::uint32_t>(std::distance(first, last));
                const std::uint32_t taken = record.doneCount + record.activeCount + proposed;
                if (taken >= spec.taskCount) {
                    continue;
                }
                step.pendingTasks = spec.taskCount - taken;
                step.isLongRunning = spec.isLongRunning;
                step.usesSpareCapacity = spec.usesSpareCapacity;
                step.acceptedAt = view.acceptedAt;
                step.objectiveDeadline = view.objectiveDeadline;
                step.remainingCriticalPath = view.criticalPathFrom[i];
                step.valueDensity = view.valueDensity;
                ready.push_back(step);
            }
        }
    }

    StepSpread spreadOf(const FleetScheduler &scheduler, const ReadyStep &step)
    {
        StepSpread spread;
        for (const auto &[number, session] : scheduler.sessions) {
            const auto first = session.runs.lower_bound({step.job, step.occurrence, step.step, 0});
            const auto last = session.runs.lower_bound({step.job, step.occurrence, step.step + 1, 0});
            const auto count = std::distance(first, last);
            if (count > 0) {
                spread[number] = static_cast<std::uint32_t>(count);
            }
        }
        return spread;
    }

    /** Returns the run time that is expected of the tasks of a step near their data. */
    Duration stepTime(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step)
    {
        return runTimeAt(expectedTaskTime(scheduler, job, step, 0), 0);
    }

    /** Where a task is to run. */
    struct RunPlacement {
        std::uint32_t run = 0; ///< Number of the run.
        IncarnationNumber incarnation = 0;
        std::string rack; ///< Of the worker.
        Duration nearTime; ///< Run time that is expected near the data.
    };

    void proposeStart(FleetScheduler &scheduler,
                      const StepSpec &spec,
                      const TaskRef &ref,
                      const TaskRecord &task,
                      const RunPlacement &place,
                      TimePoint now,
                      SchedulerActions &actions)
    {
        RunView view = makeRunView(spec, place.run, RunPhase::Proposed, now);
        view.checkpoint = task.checkpoint;
        view.isDataRemote = isDataRemote(spec, place.rack);
        view.expectedTime = place.nearTime * (view.isDataRemote ? scheduler.settings.farFactor : 1);
        scheduler.migratingTasks.erase(ref);
        addRun(scheduler.sessions.at(place.incarnation), ref, std::move(view));
        ++scheduler.proposedStarts[ref];
        actions.propose.push_back(StartRun{ref, place.run, place.incarnation});
    }

    /** Returns the life on which the task failed last; 0 if it did not fail. */
    IncarnationNumber failedLife(const FleetScheduler &scheduler, const TaskRef &ref)
    {
        const auto found = scheduler.failedOn.find(ref);
        return found == scheduler.failedOn.end() ? 0 : found->second;
    }

    /** Returns whether a task has one run and is not done: then a copy may help. */
    bool isCopyUseful(const FleetJob &job, const TaskRef &ref)
    {
        const TaskRecord &task = job.occurrences.at(ref.occurrence).steps[ref.step].tasks[ref.index];
        return !task.isDone && task.active.size() == 1;
    }

    /** Starts copies of tasks that stand or are slow, where copies are allowed. */
    void placeCopies(FleetScheduler &scheduler, const FleetState &state, PlacementPass &pass, TimePoint now, SchedulerActions &actions)
    {
        std::erase_if(scheduler.requestedCopies, [&scheduler, &state](const auto &item) {
            return !scheduler.jobs.contains(item.first.job) || !isCopyUseful(state.jobs.at(item.first.job), item.first);
        });
        for (const auto &[ref, incarnation] : scheduler.requestedCopies) {
            if (scheduler.proposedStarts.contains(ref)) {
                continue;
            }
            const FleetJob &job = state.jobs.at(ref.job);
            const StepSpec &spec = job.spec.steps[ref.step];
            const TaskRecord &task = job.occurrences.at(ref.occurrence).steps[ref.step].tasks[ref.index];
            const StepSpread spread = spreadOf(scheduler, {.job = ref.job, .occurrence = ref.occurrence, .step = ref.step});
            const auto place = chooseWorker({.step = spec,
                                             .service = job.queue.service,
                                             .spread = spread,
                                             .interference = scheduler.learnedModel.interference,
                                             .slopes = pass.slopes,
                                             .excluded = incarnation},
                                            pass.candidates);
            if (place) {
                PlacementCandidate &candidate = *pass.candidates[*place];
                reserveCapacity(candidate, spec, pass.slopes);
                proposeStart(
                    scheduler, spec, ref, task, {task.lastRun + 1, candidate.incarnation, candidate.rack, stepTime(scheduler, job, ref.step)}, now, actions);
            }
        }
    }

    /** Places single tasks as far as candidate goes. */
    void
    placeIndependentTasks(FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, PlacementPass &pass, TimePoint now, SchedulerActions &actions)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        const StepRecord &record = job.occurrences.at(step.occurrence).steps[step.step];
        const Duration expected = stepTime(scheduler, job, step.step);
        const bool acceptsInterference = spec.usesSpareCapacity && isDeadlineNear(step, now);
        StepSpread spread = spec.maxPerWorker > 0 || spec.isLongRunning ? spreadOf(scheduler, step) : StepSpread();
        for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
            const TaskRef ref{step.job, step.occurrence, step.step, index};
            const TaskRecord &task = record.tasks[index];
            if (!isPending(scheduler, ref, task)) {
                continue;
            }
            const WorkerQuery query{.step = spec,
                                    .service = job.queue.service,
                                    .spread = spread,
                                    .interference = scheduler.learnedModel.interference,
                                    .slopes = pass.slopes,
                                    .acceptsInterference = acceptsInterference,
                                    .excluded = failedLife(scheduler, ref)};
            const auto place = chooseWorker(query, pass.candidates);
            if (!place) {
                pass.failedPlacements.note(spec, job.queue.service, acceptsInterference);
                return;
            }
            PlacementCandidate &candidate = *pass.candidates[*place];
            reserveCapacity(candidate, spec, pass.slopes);
            ++spread[candidate.incarnation];
            proposeStart(scheduler, spec, ref, task, {task.lastRun + 1, candidate.incarnation, candidate.rack, expected}, now, actions);
        }
    }

    /** Places all members of a gang, or none. */
    void placeGang(FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, PlacementPass &pass, TimePoint now, SchedulerActions &actions)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        const StepRecord &record = job.occurrences.at(step.occurrence).steps[step.step];
        if (step.pendingTasks < spec.taskCount) {
            // Members of an earlier run have not ended yet.
            return;
        }
        // Room is taken on copies, so that a gang that finds no place for all of its members takes none.
        std::vector<PlacementCandidate> trialCandidates;
        trialCandidates.reserve(pass.candidates.size());
        std::vector<PlacementCandidate *> trial;
        for (const PlacementCandidate *candidate : pass.candidates) {
            trialCandidates.push_back(*candidate);
            trial.push_back(&trialCandidates.back());
        }
        StepSpread spread;
        const Duration expected = stepTime(scheduler, job, step.step);
        std::vector<RunPlacement> places;
        std::uint32_t run = 0;
        for (const TaskRecord &task : record.tasks) {
            const auto place = chooseWorker(
                {.step = spec, .service = job.queue.service, .spread = spread, .interference = scheduler.learnedModel.interference, .slopes = pass.slopes},
                trial);
            if (!place) {
                return;
            }
            PlacementCandidate &candidate = *trial[*place];
            reserveCapacity(candidate, spec, pass.slopes);
            ++spread[candidate.incarnation];
            places.push_back({0, candidate.incarnation, candidate.rack, expected});
            run = std::max(run, task.lastRun + 1);
        }
        for (std::size_t i = 0; i < trialCandidates.size(); ++i) {
            *pass.candidates[i] = std::move(trialCandidates[i]);
        }
        for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
            const TaskRef ref{step.job, step.occurrence, step.step, index};
            places[index].run = run;
            proposeStart(scheduler, spec, ref, record.tasks[index], places[index], now, actions);
        }
    }

    /** Opens the occurrences that are due. */
    void openDueOccurrences(JobView &view, const FleetJob &job, WallTime wall, SchedulerActions &actions)
    {
        while (view.openedOccurrences < job.spec.repeatCount && wall.ms >= job.spec.startAt.ms + job.spec.interval.ms * view.openedOccurrences) {
            actions.propose.push_back(OpenOccurrence{job.number, view.openedOccurrences});
            ++view.openedOccurrences;
        }
    }

} // namespace

void placeTasks(FleetScheduler &scheduler, const FleetState &state, TimePoint now, WallTime wall, SchedulerActions &actions)
{
    std::vector<ReadyStep> ready;
    for (auto &[number, view] : scheduler.jobs) {
        const FleetJob &job = state.jobs.at(number);
        openDueOccurrences(view, job, wall, actions);
        addReadySteps(scheduler, job, view, ready);
    }
    if (ready.empty() && scheduler.requestedCopies.empty()) {
        return;
    }
    std::vector<PlacementCandidate *> candidates = usableWorkers(scheduler, state, now);
    PlacementPass pass{*scheduler.slopes, std::move(candidates), {}};
    sortByServiceOrder(ready, now);
    placeCopies(scheduler, state, pass, now, actions);
    const std::size_t before = actions.propose.size();
    for (const ReadyStep &step : ready) {
        if (actions.propose.size() - before >= MaxStartsPerPass) {
            scheduler.isPlacementDue = true;
            return;
        }
        const FleetJob &job = state.jobs.at(step.job);
        const StepSpec &spec = job.spec.steps[step.step];
        if (pass.failedPlacements.cannotFit(spec, job.queue.service, spec.usesSpareCapacity && isDeadlineNear(step, now))) {
            continue;
        }
        if (spec.isGang) {
            placeGang(scheduler, job, step, pass, now, actions);
        } else {
            placeIndependentTasks(scheduler, job, step, pass, now, actions);
        }
    }
}

} // namespace Filbertlanding
