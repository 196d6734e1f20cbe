/** @file worker_service.cpp Reports of workers. */

#include "daemon/worker_service.h"

#include "core/clock_func.h"
#include "daemon/apply_state.h"
#include "daemon/propose_func.h"
#include "job/job_shard_func.h"
#include "membership/worker_registry_func.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration PollTimeout{1000}; ///< Time that a worker has to take the request for an early report.

    constexpr auto ExcludeReasonNames = makeNameTable<ExcludeReason>({{ExcludeReason::NotOwned, "notOwned"},
                                                                      {ExcludeReason::Drained, "drained"},
                                                                      {ExcludeReason::Quarantined, "quarantined"},
                                                                      {ExcludeReason::FailedHere, "failedHere"},
                                                                      {ExcludeReason::Capacity, "capacity"},
                                                                      {ExcludeReason::Pressure, "pressure"},
                                                                      {ExcludeReason::Interference, "interference"}});

    WorkerAllowance allowanceOf(const WorkerRecord &record, TimePoint now)
    {
        return {record.leaseEnd, allowedBatchTasks(record, now), record.lastReport.leaving || record.leavingByIntent};
    }

    /** Hands changes of workers to the shard and to the routing table. */
    void passOnChanges(Daemon &daemon, TimePoint now)
    {
        ControlState &state = daemon.controlState;
        bool newTable = false;
        for (const WorkerChange &change : takeChanges(state.registry)) {
            logLine(LogArea::Worker,
                    LogLevel::Info,
                    "worker-state",
                    {{"worker", change.worker}, {"before", WorkerStateNames.nameOf(change.before)}, {"after", WorkerStateNames.nameOf(change.after)}});
            const WorkerRecord *record = findWorker(state.registry, change.worker);
            if (record == nullptr || change.after == WorkerState::Gone) {
                newTable = removeWorkerEntries(state.routes, change.worker) || newTable;
                shardWorkerGone(state.shard, change.worker, now);
                continue;
            }
            newTable = updateWorkerEntries(state.routes, *record, now) || newTable;
            shardUpdateAllowance(state.shard, change.worker, allowanceOf(*record, now), now);
        }
        if (newTable) {
            publishView(daemon);
        }
    }

    LogCommand commandOf(const JobProposal &proposal)
    {
        switch (proposal.kind) {
        case ProposalKind::Finish: {
            FinishTasks finish{proposal.job, proposal.epoch, {}, proposal.result};
            for (const TaskSpan &span : proposal.finished) {
                addRange(finish.tasks, {span.first, span.first + span.count});
            }
            return finish;
        }
        case ProposalKind::Fail:
            return FailJob{proposal.job, proposal.epoch, ResultCode::JobFailed, proposal.result};
        case ProposalKind::Evict:
            break;
        }
        const bool lost = proposal.reason == EvictReason::WorkerLost || proposal.reason == EvictReason::DaemonRestarted
            || proposal.reason == EvictReason::TaskFailed || proposal.reason == EvictReason::NoWorker;
        return EvictJob{proposal.job, proposal.epoch, proposal.checkpoint, lost ? EvictCause::LeaseEnded : EvictCause::Eviction};
    }

    void propose(Daemon &daemon, const JobProposal &proposal)
    {
        proposeCommand(daemon, commandOf(proposal), [&daemon, proposal](const CommandResult &result, std::uint64_t index) {
            logLine(LogArea::Job,
                    LogLevel::Info,
                    "job-proposal",
                    {{"job", proposal.job},
                     {"epoch", proposal.epoch},
                     {"kind", static_cast<int>(proposal.kind)},
                     {"code", resultCodeRow(result.code).name},
                     {"index", index}});
            shardProposalAnswered(daemon.controlState.shard, proposal, result.code, steadyNow());
        });
    }

    void logPlacement(const PlacementRecord &placement)
    {
        if (!isLogged(LogArea::Place, LogLevel::Info)) {
            return;
        }
        std::string excluded;
        for (std::size_t i = 0; i < placement.excluded.size(); ++i) {
            if (placement.excluded[i] > 0) {
                excluded += excluded.empty() ? "" : " ";
                excluded += std::string(ExcludeReasonNames.nameOf(static_cast<ExcludeReason>(i))) + "=" + std::to_string(placement.excluded[i]);
            }
        }
        logLine(LogArea::Place,
                LogLevel::Info,
                "place",
                {{"job", placement.job},
                 {"epoch", placement.epoch},
                 {"chosen", placement.chosen},
                 {"considered", placement.considered},
                 {"candidates", placement.candidates},
                 {"firstScore", placement.firstScore},
                 {"secondScore", placement.secondScore},
                 {"excluded", excluded}});
    }

    /** Asks a worker to report now, so that an urgent start does not wait for its interval. */
    void pollWorker(Daemon &daemon, const WorkerName &worker)
    {
        const WorkerRecord *record = findWorker(daemon.controlState.registry, worker);
        if (record == nullptr) {
            return;
        }
        HttpRequest request;
        request.method = "POST";
        request.target = "/poll";
        HttpSendOptions options;
        options.timeout = PollTimeout;
        // A lost poll costs one report interval, so its outcome is not looked at.
        daemon.client->send({record->lastReport.address, record->lastReport.port}, std::move(request), options, [](const HttpExchange &) {});
    }

} // namespace

ReportAnswer serveReport(Daemon &daemon, const WorkerReport &report)
{
    const StepTimer timer(daemon.timings, TimedStep::WorkerReport);
    ControlState &state = daemon.controlState;
    const TimePoint now = steadyNow();
    ReportAnswer answer = handleReport(state.registry, report, now);
    const WorkerRecord *record = findWorker(state.registry, report.worker);
    if (record != nullptr && updateWorkerEntries(state.routes, *record, now)) {
        publishView(daemon);
    }
    passOnChanges(daemon, now);
    if (answer.code == ResultCode::Ok && record != nullptr) {
        ShardAnswer shard = shardHandleReport(state.shard, report, allowanceOf(*record, now), now);
        answer.taskLease = shard.taskLease;
        answer.commands = std::move(shard.commands);
    }
    const auto worker = state.shard.workerIndex.find(report.worker);
    if (worker != state.shard.workerIndex.end()) {
        setBatchTasks(state.registry, report.worker, static_cast<std::uint32_t>(state.shard.workers[worker->second].tasks.size()));
    }
    carryOutShard(daemon, now);
    return answer;
}

void workerTick(Daemon &daemon, TimePoint now)
{
    ControlState &state = daemon.controlState;
    setLiveDaemons(state.registry, liveZoneDaemons(daemon, now));
    registryTick(state.registry, now);
    passOnChanges(daemon, now);
    shardTick(state.shard, now);
    carryOutShard(daemon, now);
}

void carryOutShard(Daemon &daemon, TimePoint now)
{
    const ShardActions actions = takeActions(daemon.controlState.shard);
    for (const PlacementRecord &placement : actions.placements) {
        logPlacement(placement);
    }
    for (const JobProposal &proposal : actions.proposals) {
        propose(daemon, proposal);
    }
    for (const WorkerOutcome &outcome : actions.outcomes) {
        recordWorkerOutcome(daemon.controlState.registry, outcome.worker, outcome.job, outcome.succeeded, now);
    }
    for (const WorkerName &worker : actions.polls) {
        pollWorker(daemon, worker);
    }
}

} // namespace Filbertlanding
