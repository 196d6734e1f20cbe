/** @file scheduler_run_times.cpp Updates run time estimates from observed runs, and the job data that depends on them. */

#include "fleet/scheduler_detail.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t CpuUsageWindowMs = 500; ///< Averaging window of the reported CPU use, which is too low until a run has lasted this long.
    constexpr double SlownessHalfLifeMs = 2'000; ///< Workers are typically slow for a few seconds.

    RunTimeKey keyOf(const FleetJob &job)
    {
        return {job.host, job.pathPrefix};
    }

    /** Returns the factor by which a run takes longer than in the rack of its data. */
    double dataDistanceFactor(const FleetScheduler &scheduler, const RunView &run)
    {
        return run.isDataRemote ? static_cast<double>(std::max<std::int64_t>(1, scheduler.settings.farFactor)) : 1.0;
    }

    /** Returns the CPU seconds that each task of a step needs. */
    double taskSeconds(const StepSpec &step, Duration time)
    {
        return static_cast<double>(step.request.cpuMillis) * static_cast<double>(time.ms) / 1e6;
    }

    /** Replaces the previous contribution of a run to the evidence of its step. */
    void replaceEvidence(JobView &view, IncarnationNumber incarnation, const TaskRef &task, RunView &run, const RunTimeEvidence &evidence)
    {
        StepEvidence &step = view.evidence[task.step];
        for (RunTimeEvidence *sums : {&step.total, &step.byWorker[incarnation]}) {
            sums->weight = std::max(0.0, sums->weight + evidence.weight - run.evidence.weight);
            sums->sum += evidence.sum - run.evidence.sum;
        }
        run.evidence = evidence;
        view.isStale = true;
    }

    void decaySlowness(WorkerSession &session, std::int64_t clockMs)
    {
        const double passed = std::max(0.0, static_cast<double>(clockMs - session.slownessClockMs));
        const double factor = std::exp2(-passed / SlownessHalfLifeMs);
        session.slownessClockMs = std::max(session.slownessClockMs, clockMs);
        session.completedRunSlowness.weight *= factor;
        session.completedRunSlowness.sum *= factor;
    }

} // namespace

RunTimeEstimate expectedTaskTime(const FleetScheduler &scheduler, const FleetJob &job, std::uint32_t step, IncarnationNumber excluded)
{
    const RunTimeEstimate prior = expectedRunTime(scheduler.learnedModel.runTimes, keyOf(job), job.spec.steps[step]);
    const auto view = scheduler.jobs.find(job.number);
    if (view == scheduler.jobs.end()) {
        return prior;
    }
    const auto evidence = view->second.evidence.find(step);
    if (evidence == view->second.evidence.end()) {
        return prior;
    }
    RunTimeEvidence others = evidence->second.total;
    const auto own = evidence->second.byWorker.find(excluded);
    if (own != evidence->second.byWorker.end()) {
        others.weight = std::max(0.0, others.weight - own->second.weight);
        others.sum -= own->second.sum;
    }
    constexpr double LeastWeight = 0.01; // Smaller weights are rounding errors of the subtraction.
    return others.weight < LeastWeight ? prior : updateEstimate(prior, others);
}

void refreshJobView(const FleetScheduler &scheduler, const FleetJob &job, JobView &view)
{
    const JobSpec &spec = job.spec;
    std::vector<Duration> times(spec.steps.size());
    for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
        RunTimeEstimate runTimeEstimate = expectedRunTime(scheduler.learnedModel.runTimes, keyOf(job), spec.steps[i]);
        const auto evidence = view.evidence.find(i);
        runTimeEstimate = evidence == view.evidence.end() ? runTimeEstimate : updateEstimate(runTimeEstimate, evidence->second.total);
        times[i] = runTimeAt(runTimeEstimate, 0);
    }
    view.criticalPathFrom.assign(spec.steps.size(), Duration());
    Duration chain;
    for (std::size_t i = spec.steps.size(); i-- > 0;) {
        view.criticalPathFrom[i] = view.criticalPathFrom[i] + times[i];
        chain = std::max(chain, view.criticalPathFrom[i]);
        for (const std::uint32_t earlier : spec.steps[i].dependsOn) {
            view.criticalPathFrom[earlier] = std::max(view.criticalPathFrom[earlier], view.criticalPathFrom[i]);
        }
    }
    view.objectiveDeadline = view.acceptedAt + Duration{chain.ms * job.queue.stretchPerMille / 1000} + job.queue.latencyAllowance;
    view.taskSeconds.clear();
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        view.taskSeconds.push_back(taskSeconds(spec.steps[i], times[i]));
    }
    view.isStale = false;
}

void updateRunProgress(FleetScheduler &scheduler, WorkerSession &session, const TaskRef &task, RunView &run, std::int64_t percent, std::int64_t clockMs)
{
    const bool isMeasured = run.usesSpareCapacity && run.progress.firstClockMs && clockMs - *run.progress.firstClockMs >= CpuUsageWindowMs;
    const double requestedCpu = static_cast<double>(std::max<std::int64_t>(1, run.spareCpuMillis));
    updateProgress(run.progress, percent, clockMs, isMeasured ? static_cast<double>(run.measurement) / requestedCpu : 1.0);
    const auto observed = observedRunTime(run.progress);
    const auto view = scheduler.jobs.find(task.job);
    if (observed && view != scheduler.jobs.end()) {
        replaceEvidence(view->second, session.incarnation, task, run, makeEvidence(observed->ms / dataDistanceFactor(scheduler, run), observed->gainedPercent));
    }
}

void learnFromCompletedRun(FleetScheduler &scheduler, const FleetState &state, WorkerSession &session, const TaskRef &task, RunView &run, std::int64_t clockMs)
{
    const auto view = scheduler.jobs.find(task.job);
    const auto elapsed = run.isLongRunning ? std::nullopt : measuredRunTime(run.progress, clockMs);
    if (!elapsed || view == scheduler.jobs.end()) {
        return;
    }
    constexpr double WholePercent = 100.0;
    const FleetJob &job = state.jobs.at(task.job);
    const StepSpec &step = job.spec.steps[task.step];
    const double nearMs = static_cast<double>(elapsed->ms) / dataDistanceFactor(scheduler, run);
    decaySlowness(session, clockMs);
    addSlownessSample(session.completedRunSlowness, {nearMs, WholePercent}, expectedTaskTime(scheduler, job, task.step, session.incarnation));
    replaceEvidence(view->second, session.incarnation, task, run, makeEvidence(nearMs, WholePercent));
    learnRunTime(
        scheduler.learnedModel.runTimes, keyOf(job), step, Duration{static_cast<std::int64_t>(nearMs)}, 1.0 / std::max<std::uint32_t>(1, step.taskCount));
}

} // namespace Filbertlanding
