/** @file scheduler_place.cpp Starts the tasks whose turn has come. */

#include "fleet/place_run.h"
#include "fleet/scheduler_detail.h"
#include "fleet/service_order.h"

#include <algorithm>
#include <tuple>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MostStartsAtOnce = 256; ///< Starts of one pass; the next pass goes on, so that one large job does not hold up the loop.

    WorkerRoom makeCandidate(const WorkerLife &life, const WorkerContact &contact, const SlopeTable &slopes)
    {
        WorkerRoom candidate;
        candidate.life = life.number;
        candidate.service = life.profile.service;
        candidate.availabilityZone = life.profile.availabilityZone;
        candidate.rack = life.profile.rack;
        candidate.labels = &life.profile.labels;
        candidate.capacity = life.profile.capacity;
        candidate.used = contact.used;
        candidate.spareUsed = contact.spareUsed;
        candidate.recentFailures = contact.recentFailures;
        const double capacity = std::max<double>(1, static_cast<double>(candidate.capacity.cpuMillis));
        for (const auto &[task, run] : contact.runs) {
            if (run.fillsSpare) {
                candidate.spareShares[run.image] += static_cast<double>(run.spareCpuMillis) / capacity;
            }
            if (!run.isLasting) {
                continue;
            }
            candidate.lastingCpu += run.room.cpuMillis;
            if (run.latencyTarget.ms > 0) {
                TargetTasks &tasks = candidate.targetImages[run.image];
                ++tasks.count;
                tasks.slopes = &slopesOf(slopes, run.image);
                tasks.worstTail = std::max(tasks.worstTail, static_cast<double>(run.measure) / static_cast<double>(run.latencyTarget.ms));
            }
        }
        noteSensitivity(candidate, slopes);
        return candidate;
    }

    std::vector<WorkerRoom> usableWorkers(const FleetScheduler &scheduler, const FleetState &state, const SlopeTable &slopes, TimePoint now)
    {
        std::vector<WorkerRoom> candidates;
        for (const auto &[number, contact] : scheduler.contacts) {
            if (isUsable(state, contact, now)) {
                candidates.push_back(makeCandidate(state.lives.at(number), contact, slopes));
            }
        }
        return candidates;
    }

    /** Tasks that found no place in this pass: what asks for as much or more of the same kind finds none either. */
    class Misses
    {
    public:
        bool isHopeless(const StepSpec &step, const ServiceName &service) const
        {
            const auto found = this->smallest.find(keyOf(step, service));
            return found != this->smallest.end() && step.request.cpuMillis >= found->second.cpuMillis && step.request.memoryMb >= found->second.memoryMb
                && step.request.accelerators >= found->second.accelerators;
        }

        void note(const StepSpec &step, const ServiceName &service)
        {
            // A limit for each worker may be the reason, which says nothing of other steps.
            if (step.maxPerWorker == 0 && !this->isHopeless(step, service)) {
                this->smallest[keyOf(step, service)] = step.request;
            }
        }

    private:
        using Key = std::tuple<ServiceName, std::string, std::string, bool>;

        static Key keyOf(const StepSpec &step, const ServiceName &service)
        {
            return {service, step.requiredLabel, step.fillsSpare ? step.image : std::string(), step.fillsSpare};
        }

        std::map<Key, Resources> smallest;
    };

    /** What one pass works on. */
    struct PlacementPass {
        SlopeTable slopes;
        std::vector<WorkerRoom> candidates;
        Misses misses;
    };

    bool isPending(const FleetScheduler &scheduler, const TaskRef &ref, const TaskRecord &task)
    {
        return !task.isDone && task.active.empty() && !scheduler.proposedStarts.contains(ref);
    }

    void addReadySteps(const FleetScheduler &scheduler, const FleetJob &job, const JobView &view, std::vector<ReadyStep> &ready)
    {
        for (const auto &[number, occurrence] : job.occurrences) {
            if (occurrence.isComplete) {
                continue;
            }
            for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
                const StepRecord &record = occurrence.steps[i];
                const StepSpec &spec = job.spec.steps[i];
                if (record.doneCount + record.activeCount >= spec.taskCount || !isStepOpen(job, occurrence, i)) {
                    continue;
                }
                ReadyStep step{.job = job.number, .occurrence = number, .step = i, .priority = job.queue.priority};
                for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
                    step.pending += isPending(scheduler, {job.number, number, i, index}, record.tasks[index]) ? 1 : 0;
                }
                if (step.pending == 0) {
                    continue;
                }
                step.isLasting = spec.isLasting;
                step.fillsSpare = spec.fillsSpare;
                step.acceptedAt = view.acceptedAt;
                step.objectiveEnd = view.objectiveEnd;
                step.remainingChain = view.chainFrom[i];
                step.worthDensity = view.worthDensity;
                ready.push_back(step);
            }
        }
    }

    StepSpread spreadOf(const FleetScheduler &scheduler, const ReadyStep &step)
    {
        StepSpread spread;
        for (const auto &[number, contact] : scheduler.contacts) {
            const auto first = contact.runs.lower_bound({step.job, step.occurrence, step.step, 0});
            const auto last = contact.runs.lower_bound({step.job, step.occurrence, step.step + 1, 0});
            const auto count = std::distance(first, last);
            if (count > 0) {
                spread[number] = static_cast<std::uint32_t>(count);
            }
        }
        return spread;
    }

    void proposeStart(FleetScheduler &scheduler,
                      const StepSpec &spec,
                      const TaskRef &ref,
                      const TaskRecord &task,
                      std::uint32_t run,
                      LifeNumber life,
                      const std::string &rack,
                      TimePoint now,
                      SchedulerActions &actions)
    {
        const bool isFar = !spec.dataRack.empty() && spec.dataRack != rack;
        RunView view = makeRunView(spec, run, RunPhase::Proposed, now);
        view.checkpoint = task.checkpoint;
        view.isFar = isFar;
        addRun(scheduler.contacts.at(life), ref, std::move(view));
        ++scheduler.proposedStarts[ref];
        actions.propose.push_back(StartRun{ref, run, life});
    }

    /** Returns the life on which the task failed last; 0 if it did not fail. */
    LifeNumber failedLife(const FleetScheduler &scheduler, const TaskRef &ref)
    {
        const auto found = scheduler.failedOn.find(ref);
        return found == scheduler.failedOn.end() ? 0 : found->second;
    }

    /** Starts copies of tasks that stand or are slow, where copies are allowed. */
    void placeCopies(FleetScheduler &scheduler, const FleetState &state, PlacementPass &pass, TimePoint now, SchedulerActions &actions)
    {
        struct Copy {
            TaskRef task;
            LifeNumber life;
        };
        std::vector<Copy> wanted;
        for (auto &[life, contact] : scheduler.contacts) {
            for (auto &[task, run] : contact.runs) {
                if (run.copyWanted && !scheduler.proposedStarts.contains(task) && scheduler.jobs.contains(task.job)) {
                    wanted.push_back({task, life});
                }
            }
        }
        for (const Copy &copy : wanted) {
            const FleetJob &job = state.jobs.at(copy.task.job);
            const StepSpec &spec = job.spec.steps[copy.task.step];
            const TaskRecord &task = job.occurrences.at(copy.task.occurrence).steps[copy.task.step].tasks[copy.task.index];
            if (task.isDone || task.active.size() > 1) {
                continue;
            }
            const StepSpread spread = spreadOf(scheduler, {.job = copy.task.job, .occurrence = copy.task.occurrence, .step = copy.task.step});
            const auto place = chooseWorker({spec, job.queue.service, spread, scheduler.interference, pass.slopes, copy.life}, pass.candidates);
            if (place) {
                takeRoom(pass.candidates[*place], spec, pass.slopes);
                proposeStart(scheduler, spec, copy.task, task, task.lastRun + 1, pass.candidates[*place].life, pass.candidates[*place].rack, now, actions);
            }
        }
    }

    /** Places single tasks as far as room goes. */
    void placeSingles(FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, PlacementPass &pass, TimePoint now, SchedulerActions &actions)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        const StepRecord &record = job.occurrences.at(step.occurrence).steps[step.step];
        StepSpread spread = spec.maxPerWorker > 0 || spec.isLasting ? spreadOf(scheduler, step) : StepSpread();
        for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
            const TaskRef ref{step.job, step.occurrence, step.step, index};
            const TaskRecord &task = record.tasks[index];
            if (!isPending(scheduler, ref, task)) {
                continue;
            }
            const auto place =
                chooseWorker({spec, job.queue.service, spread, scheduler.interference, pass.slopes, failedLife(scheduler, ref)}, pass.candidates);
            if (!place) {
                pass.misses.note(spec, job.queue.service);
                return;
            }
            WorkerRoom &candidate = pass.candidates[*place];
            takeRoom(candidate, spec, pass.slopes);
            ++spread[candidate.life];
            proposeStart(scheduler, spec, ref, task, task.lastRun + 1, candidate.life, candidate.rack, now, actions);
        }
    }

    /** Places all members of a gang, or none. */
    void placeGang(FleetScheduler &scheduler, const FleetJob &job, const ReadyStep &step, PlacementPass &pass, TimePoint now, SchedulerActions &actions)
    {
        const StepSpec &spec = job.spec.steps[step.step];
        const StepRecord &record = job.occurrences.at(step.occurrence).steps[step.step];
        if (step.pending < spec.taskCount) {
            // Members of an earlier run have not ended yet.
            return;
        }
        std::vector<WorkerRoom> trial = pass.candidates;
        StepSpread spread;
        std::vector<std::pair<LifeNumber, std::string>> places;
        std::uint32_t run = 0;
        for (const TaskRecord &task : record.tasks) {
            const auto place = chooseWorker({spec, job.queue.service, spread, scheduler.interference, pass.slopes}, trial);
            if (!place) {
                return;
            }
            takeRoom(trial[*place], spec, pass.slopes);
            ++spread[trial[*place].life];
            places.emplace_back(trial[*place].life, trial[*place].rack);
            run = std::max(run, task.lastRun + 1);
        }
        pass.candidates = std::move(trial);
        for (std::uint32_t index = 0; index < spec.taskCount; ++index) {
            const TaskRef ref{step.job, step.occurrence, step.step, index};
            proposeStart(scheduler, spec, ref, record.tasks[index], run, places[index].first, places[index].second, now, actions);
        }
    }

    /** Opens the occurrences that are due. */
    void openDue(JobView &view, const FleetJob &job, WallTime wall, SchedulerActions &actions)
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
        openDue(view, job, wall, actions);
        addReadySteps(scheduler, job, view, ready);
    }
    const bool wantsCopies = std::any_of(scheduler.contacts.begin(), scheduler.contacts.end(), [](const auto &item) {
        return std::any_of(item.second.runs.begin(), item.second.runs.end(), [](const auto &run) {
            return run.second.copyWanted;
        });
    });
    if (ready.empty() && !wantsCopies) {
        return;
    }
    PlacementPass pass;
    pass.slopes = makeSlopeTable(scheduler.interference);
    pass.candidates = usableWorkers(scheduler, state, pass.slopes, now);
    sortByService(ready, now);
    if (wantsCopies) {
        placeCopies(scheduler, state, pass, now, actions);
    }
    const std::size_t before = actions.propose.size();
    for (const ReadyStep &step : ready) {
        if (actions.propose.size() - before >= MostStartsAtOnce) {
            scheduler.placeDue = true;
            return;
        }
        const FleetJob &job = state.jobs.at(step.job);
        const StepSpec &spec = job.spec.steps[step.step];
        if (pass.misses.isHopeless(spec, job.queue.service)) {
            continue;
        }
        if (spec.isGang) {
            placeGang(scheduler, job, step, pass, now, actions);
        } else {
            placeSingles(scheduler, job, step, pass, now, actions);
        }
    }
}

} // namespace Filbertlanding
