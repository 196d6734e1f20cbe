/** @file fleet_change_log.cpp Log lines of the changes that the leader applies to the replicated state. */

#include "core/clock_func.h"
#include "fleet/fleet_names.h"
#include "fleetd/fleet_core.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

void FleetCore::logChange(const FleetCommand &command, const FleetChange &change) const
{
    if (const auto *start = std::get_if<StartRun>(&command)) {
        logLine(LogArea::Place,
                LogLevel::Info,
                "run_placed",
                {{"job", change.isApplied ? this->state.jobs.at(start->task.job).id : std::string()},
                 {"step", start->task.step},
                 {"index", start->task.index},
                 {"run", start->run},
                 {"life", start->incarnation},
                 {"applied", change.isApplied},
                 {"logIndex", this->appliedIndex}});
    } else if (const auto *end = std::get_if<EndRun>(&command)) {
        if (end->outcome != RunOutcome::Done && change.isApplied) {
            logLine(LogArea::Job,
                    LogLevel::Info,
                    "run_ended",
                    {{"job", this->state.jobs.at(end->task.job).id},
                     {"step", end->task.step},
                     {"index", end->task.index},
                     {"run", end->run},
                     {"life", end->incarnation},
                     {"end", static_cast<int>(end->outcome)}});
        }
    } else if (std::holds_alternative<SubmitFleetJob>(command)) {
        logLine(LogArea::Job,
                LogLevel::Info,
                "job_submitted",
                {{"job", std::get<SubmitFleetJob>(command).id}, {"applied", change.isApplied}, {"logIndex", this->appliedIndex}});
    } else if (const auto *worker = std::get_if<RegisterWorker>(&command)) {
        logLine(LogArea::Worker,
                LogLevel::Info,
                "worker_noted",
                {{"worker", worker->profile.worker},
                 {"life", change.incarnation},
                 {"startedAt", worker->profile.startedAtMs},
                 {"draining", worker->profile.isDraining},
                 {"zone", worker->profile.availabilityZone}});
    } else if (const auto *crash = std::get_if<RecordCrash>(&command)) {
        logLine(LogArea::Worker, LogLevel::Warn, "worker_crashed", {{"life", crash->incarnation}, {"runs", crash->runs.size()}, {"applied", change.isApplied}});
    } else if (std::holds_alternative<EndIncarnation>(command)) {
        logLine(LogArea::Worker, LogLevel::Info, "worker_ended", {{"life", change.incarnation}});
    } else if (const auto *manifest = std::get_if<PutManifest>(&command)) {
        logLine(LogArea::Intent, LogLevel::Info, "manifest_applied", {{"version", manifest->manifest.version}, {"inForce", change.isApplied}});
    } else if (const auto *zone = std::get_if<SetZoneDrained>(&command)) {
        logLine(LogArea::Intent, LogLevel::Info, "zone_drained", {{"zone", zone->availabilityZone}, {"drained", zone->isDrained}});
    }
    if (change.isFirstStart) {
        const FleetJob &job = this->state.jobs.at(change.job);
        logLine(LogArea::Job, LogLevel::Info, "job_started", {{"job", job.id}, {"afterMs", wallNow().ms - job.acceptedAt.ms}});
    }
    if (change.removedJobs > 0) {
        logLine(LogArea::Job, LogLevel::Info, "ended_jobs_removed", {{"count", change.removedJobs}, {"known", this->state.jobNumbers.size()}});
    }
    for (const JobNumber number : change.endedJobs) {
        const FleetJob &job = this->state.jobs.at(number);
        logLine(LogArea::Job,
                LogLevel::Info,
                "job_ended",
                {{"job", job.id},
                 {"state", static_cast<int>(job.state)},
                 {"failure", JobFailureNames.nameOf(job.failure)},
                 {"afterMs", job.endedAt.ms - job.acceptedAt.ms}});
    }
}

/** Counts and logs a notice of the scheduler. */
void FleetCore::noteRun(const RunNotice &notice)
{
    ++this->counters.runNotices[static_cast<std::size_t>(notice.kind)];
    constexpr std::int64_t NoResponse = -1;
    logLine(LogArea::Job,
            LogLevel::Info,
            isPresumedEnd(notice.kind) ? "run_presumed_ended" : "run_unassigned",
            {{"job", notice.task.job},
             {"step", notice.task.step},
             {"index", notice.task.index},
             {"run", notice.run},
             {"life", notice.incarnation},
             {isPresumedEnd(notice.kind) ? "reason" : "state", RunNoticeKindNames.nameOf(notice.kind)},
             {"silentMs", notice.silence ? notice.silence->ms : NoResponse}});
}

} // namespace Filbertlanding
