/** @file fleet_metrics.cpp Counters of the changes that the leader applies, and the metrics of a core daemon. */

#include "core/clock_func.h"
#include "fleetd/fleet_core.h"

namespace Filbertlanding {

void FleetCore::countChange(const FleetCommand &command, const FleetChange &change)
{
    if (!change.isApplied) {
        return;
    }
    const auto ageOf = [this](JobNumber job) {
        return Duration{wallNow().ms - this->state.jobs.at(job).acceptedAt.ms};
    };
    if (change.isFirstStart) {
        this->counters.firstStart.record(ageOf(change.job));
    }
    if (const auto *crash = std::get_if<RecordCrash>(&command)) {
        ++this->counters.workerCrashes;
        this->counters.runsCrashed += crash->runs.size();
    }
    for (const JobNumber job : change.endedJobs) {
        this->counters.jobTime.record(ageOf(job));
        this->counters.jobsGivenUp += this->state.jobs.at(job).failure == JobFailure::CrashesWorkers ? 1 : 0;
    }
}

void FleetCore::appendMetrics(std::string &text) const
{
    appendMetric(text, "filbertlanding_jobs_accepted_total", this->counters.jobsAccepted);
    appendMetric(text, "filbertlanding_jobs_refused_total", this->counters.jobsRefused);
    appendMetric(text, "filbertlanding_jobs_open_bytes", this->state.memory.jobs);
    appendMetric(text, "filbertlanding_jobs_ended_bytes", this->state.memory.endedJobs);
    appendMetric(text, "filbertlanding_early_cancellations_bytes", this->state.memory.cancellations);
    appendMetric(text, "filbertlanding_jobs_ended", this->state.endedJobs.size());
    appendMetric(text, "filbertlanding_orders_sent_total", this->counters.ordersSent);
    appendMetric(text, "filbertlanding_orders_unanswered_total", this->counters.ordersUnanswered);
    appendMetric(text, "filbertlanding_entries_applied_total", this->counters.entriesApplied);
    appendMetric(text, "filbertlanding_leaderships_total", this->counters.leaderships);
    appendMetric(text, "filbertlanding_worker_crashes_total", this->counters.workerCrashes);
    appendMetric(text, "filbertlanding_runs_crashed_total", this->counters.runsCrashed);
    appendMetric(text, "filbertlanding_jobs_given_up_total", this->counters.jobsGivenUp);
    for (const auto &row : RunNoticeKindNames.rows) {
        const std::string name =
            isPresumedEnd(row.value) ? "filbertlanding_runs_presumed_ended_total{reason=\"" : "filbertlanding_runs_unassigned_total{state=\"";
        appendMetric(text, name + std::string(row.name) + "\"}", this->counters.runNotices[static_cast<std::size_t>(row.value)]);
    }
    appendMetric(text, "filbertlanding_is_leading", this->isLeading() ? 1 : 0);
    appendMetric(text, "filbertlanding_leads_without_control", this->isLeading() && !this->isServing ? 1 : 0);
    appendMetric(text, "filbertlanding_term", this->status.term);
    appendMetric(text, "filbertlanding_jobs_open", this->scheduler ? this->scheduler->jobs.size() : 0);
    appendMetric(text, "filbertlanding_jobs_held", this->scheduler ? this->waitingSteps.heldJobs : 0);
    appendMetric(text, "filbertlanding_suspects_held", this->scheduler ? this->waitingSteps.heldSuspects : 0);
    appendMetric(text, "filbertlanding_long_running_tasks_idle", this->scheduler ? this->waitingSteps.idleLongRunningTasks : 0);
    appendMetric(text, "filbertlanding_long_running_longest_idle_ms", this->scheduler ? this->waitingSteps.longestIdle.ms : 0);
    appendMetric(text, "filbertlanding_workers_held", this->scheduler ? this->scheduler->capacityHolds.size() : 0);
    appendMetric(text, "filbertlanding_workers_known", this->scheduler ? this->scheduler->sessions.size() : 0);
    if (this->state.manifest.hasAccounts) {
        appendAccountMetrics(text, collectAccountFigures(this->state, this->scheduler ? &*this->scheduler : nullptr, this->accountRefusals));
    }
    this->statusLog.appendMetrics(text);
    this->counters.firstStart.appendText(text, "filbertlanding_first_start_seconds");
    this->counters.jobTime.appendText(text, "filbertlanding_job_seconds");
    this->counters.commitTime.appendText(text, "filbertlanding_commit_seconds");
}

} // namespace Filbertlanding
