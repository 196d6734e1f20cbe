/** @file fleet_caller_requests.cpp Requests of callers that the leader handles. */

#include "account/account_check.h"
#include "core/clock_func.h"
#include "core/name_table.h"
#include "fleet/state_memory.h"
#include "fleetd/api_response.h"
#include "fleetd/fleet_core.h"
#include "fleetd/memory_limits.h"
#include "runtime/log_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr auto CallerVerbNames = makeNameTable<CallerVerb>({
        {CallerVerb::Submit, "submit"},
        {CallerVerb::Show, "show"},
        {CallerVerb::Cancel, "cancel"},
    });

    bool hasQueue(const FleetManifest &manifest, const QueueConfig &queue)
    {
        return std::any_of(manifest.queues.begin(), manifest.queues.end(), [&queue](const QueueConfig &other) {
            return other.host == queue.host && other.pathPrefix == queue.pathPrefix;
        });
    }

    void logUnauthorized(const QueueConfig &queue, CallerVerb verb)
    {
        logLine(LogArea::Job, LogLevel::Info, "call_unauthorized", {{"queue", queue.name}, {"verb", CallerVerbNames.nameOf(verb)}});
    }

    ApiResponse makeRefusalResponse(const AccountRefusal &refusal, const JobId &id)
    {
        const bool isLimit = refusal.reason == AccountRefusalReason::Limit;
        ApiResponse response = makeResponse(isLimit ? ResultCode::ExceedsAccountLimit : ResultCode::QuotaExceeded, accountRefusalMessage(refusal.reason));
        response.retryAfter = refusal.retryAfter;
        if (refusal.reason == AccountRefusalReason::Backlog) {
            response.retryAfter = response.retryAfter + retryDelayAfterRefusal(id);
        }
        return response;
    }

    /** Returns the response to a call that was refused for want of room. Callers that were refused together return at different times. */
    ApiResponse makeQueueFullResponse(std::string message, const JobId &id)
    {
        ApiResponse response = makeResponse(ResultCode::QueueFull, std::move(message));
        response.retryAfter = retryDelayAfterRefusal(id);
        return response;
    }

} // namespace

void FleetCore::handleCallerRequest(const JobApiRequest &request, CallerResponseHandler done)
{
    const LoopTimer timer(this->times, LoopPart::CallerRequests);
    if (!this->isLeading()) {
        done(RelayOutcome::NotLeader, {});
        return;
    }
    if (this->state.manifest.version == 0) {
        done(RelayOutcome::Answered, makeRetryLaterResponse(ResultCode::NoQuorum, "no manifest has been uploaded yet"));
        return;
    }
    const QueueConfig *queue = findQueue(this->state.manifest, request.host, request.path);
    if (queue == nullptr) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::ServiceUnknown, "no queue matches this host and path"));
        return;
    }
    const CallerAccess access = authorizeCall(this->state.manifest, this->keyIndex, *queue, request.apiKey);
    if (access.code != ResultCode::Ok) {
        logUnauthorized(*queue, request.verb);
        done(RelayOutcome::Answered, makeResponse(access.code));
        return;
    }
    const JobId id = request.path.substr(queue->pathPrefix.size());
    if (request.code != ResultCode::Ok) {
        done(RelayOutcome::Answered, makeResponse(request.code, request.message));
        return;
    }
    if (id.empty() && request.verb == CallerVerb::Show) {
        ApiResponse response;
        response.waiting = countQueuedJobs(this->state, *queue);
        done(RelayOutcome::Answered, std::move(response));
        return;
    }
    switch (request.verb) {
    case CallerVerb::Submit:
        this->submitJob(request, {*queue, access}, id, std::move(done));
        return;
    case CallerVerb::Show:
        done(RelayOutcome::Answered, this->showJob({*queue, access}, id));
        return;
    case CallerVerb::Cancel:
        this->cancelJob({*queue, access}, id, std::move(done));
        return;
    }
}

void FleetCore::submitJob(const JobApiRequest &request, const AuthorizedCall &call, const JobId &id, CallerResponseHandler done)
{
    constexpr std::size_t MaxJobIdLength = 64;
    if (id.empty() || id.size() > MaxJobIdLength || id.find_first_of("/. ") != std::string::npos) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::BadRequest, "the path does not end with a valid job id"));
        return;
    }
    if (findJobStatus(this->state, id)) {
        done(RelayOutcome::Answered, this->submissionResponse(call, id));
        return;
    }
    // An earlier submission of the same job may already be proposed; "not accepted" would then be wrong.
    if (!this->isVisibleJobPending(call, id)) {
        if (auto refusal = this->findSubmissionRefusal(request.spec, call, id)) {
            ++this->counters.jobsRefused;
            done(RelayOutcome::Answered, std::move(*refusal));
            return;
        }
    }
    const QueueConfig &queue = call.queue;
    SubmitFleetJob command{id, queue.host, queue.pathPrefix, wallNow(), request.spec, call.access.account, call.access.keyDigest};
    const std::size_t bytes = estimateJobMemory(request.spec);
    const auto pending = this->pendingJobs.emplace(id, JobOrigin{call.access.account, queue.host, queue.pathPrefix});
    this->pendingBytes += bytes;
    this->propose(std::move(command), [this, id, pending, bytes, call, done = std::move(done)](bool applied) {
        this->pendingJobs.erase(pending);
        this->pendingBytes -= bytes;
        if (!applied) {
            done(RelayOutcome::Unknown, {});
            return;
        }
        const ApiResponse response = this->submissionResponse(call, id);
        this->counters.jobsAccepted += response.code == ResultCode::Ok ? 1 : 0;
        done(RelayOutcome::Answered, response);
    });
    this->flush();
}

/** Returns the response to a submission that has been applied, or whose job was known before. */
ApiResponse FleetCore::submissionResponse(const AuthorizedCall &call, const JobId &id) const
{
    if (const auto job = findJobStatus(this->state, id)) {
        const bool isVisible = maySeeJob(call.access, call.queue, job->origin);
        return isVisible ? makeResponse(ResultCode::Ok) : makeResponse(ResultCode::RequestIdReused, "the job id is in use; this job was not accepted");
    }
    if (!hasQueue(this->state.manifest, call.queue)) {
        return makeResponse(ResultCode::ServiceUnknown, "the queue was removed");
    }
    // A manifest that precedes the submission in the log has removed the key.
    logUnauthorized(call.queue, CallerVerb::Submit);
    return makeResponse(ResultCode::KeyUnknown);
}

/** Returns whether a submission that the caller may see is proposed and not applied yet. */
bool FleetCore::isVisibleJobPending(const AuthorizedCall &call, const JobId &id) const
{
    const auto [first, last] = this->pendingJobs.equal_range(id);
    return std::any_of(first, last, [&call](const auto &item) {
        return maySeeJob(call.access, call.queue, item.second);
    });
}

MemoryUse FleetCore::memoryUse() const
{
    return {this->state.memory, this->pendingBytes};
}

/** Returns the response to a new job for which there is no memory, or nothing. */
std::optional<ApiResponse> FleetCore::findRefusalByMemory(const JobSpec &spec, const JobId &id) const
{
    const MemoryUse use = this->memoryUse();
    const std::size_t jobBytes = estimateJobMemory(spec);
    const AdmissionRefusal refusal = findMemoryRefusal(use, memoryLimitsOf(this->settings), jobBytes);
    if (refusal == AdmissionRefusal::None) {
        return std::nullopt;
    }
    logLine(LogArea::Job,
            LogLevel::Info,
            "job_refused",
            {{"job", id},
             {"reason", AdmissionRefusalNames.nameOf(refusal)},
             {"openBytes", use.state.jobs + use.pendingJobs},
             {"endedBytes", use.state.endedJobs + use.state.cancellations},
             {"jobBytes", jobBytes}});
    const bool isOpenLimit = refusal == AdmissionRefusal::OpenJobs;
    return makeQueueFullResponse(isOpenLimit ? "the memory limit for open jobs is reached; the job was not accepted"
                                             : "the memory limit for ended jobs is reached; the job was not accepted",
                                 id);
}

/** Returns the response to a new job that is refused, or nothing. Takes a token of the account's rate only if no other reason holds. */
std::optional<ApiResponse> FleetCore::findSubmissionRefusal(const JobSpec &spec, const AuthorizedCall &call, const JobId &id)
{
    if (auto refusal = this->findRefusalByMemory(spec, id)) {
        return refusal;
    }
    const QueueConfig &queue = call.queue;
    const bool mayReserve = canAdmitLongRunningJob(this->scheduler->shortJobWaits, queue.service, queue.priority, steadyNow());
    if (!mayReserve && reservesCpuForGood(spec)) {
        logLine(LogArea::Job, LogLevel::Info, "job_refused", {{"job", id}, {"reason", "short_jobs_wait"}, {"service", queue.service}});
        return makeQueueFullResponse("short jobs wait for CPU; the long-running job was not accepted", id);
    }
    return this->findRefusalByAccount(spec, call, id);
}

/** Returns the response to a new job that the rate, limit or backlog of its account refuses, or nothing. */
std::optional<ApiResponse> FleetCore::findRefusalByAccount(const JobSpec &spec, const AuthorizedCall &call, const JobId &id)
{
    const AccountName &name = call.access.account;
    const ClientAccount *account = name.empty() ? nullptr : findAccount(this->state.manifest.accounts, name);
    if (account == nullptr) {
        return std::nullopt;
    }
    const auto standing = this->scheduler->accounts.find(name);
    const AccountJob job = makeAccountJob(spec, call.queue);
    const TimePoint now = steadyNow();
    const double precedingSeconds = standing == this->scheduler->accounts.end() ? 0 : precedingCpuSeconds(standing->second, now + job.slack);
    const auto refusal = findAccountRefusal(this->scheduler->submissionBuckets, account->terms, precedingSeconds, job, now);
    if (!refusal) {
        return std::nullopt;
    }
    countRefusal(this->accountRefusals, name, refusal->reason);
    logLine(LogArea::Job,
            LogLevel::Info,
            "job_refused",
            {{"job", id},
             {"reason", AccountRefusalNames.nameOf(refusal->reason)},
             {"account", name},
             {"precedingCpuSeconds", precedingSeconds},
             {"retryAfterMs", refusal->retryAfter.ms}});
    return makeRefusalResponse(*refusal, id);
}

void FleetCore::cancelJob(const AuthorizedCall &call, const JobId &id, CallerResponseHandler done)
{
    const auto job = findJobStatus(this->state, id);
    if (job && !maySeeJob(call.access, call.queue, job->origin)) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::JobUnknown));
        return;
    }
    if (job && hasEnded(job->state)) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::Ok));
        return;
    }
    if (!job && !mayRememberMore(this->memoryUse(), memoryLimitsOf(this->settings)) && !this->pendingJobs.contains(id)) {
        logLine(LogArea::Job, LogLevel::Info, "cancellation_refused", {{"job", id}, {"endedBytes", this->state.memory.endedJobs}});
        done(RelayOutcome::Answered, makeQueueFullResponse("the memory limit for cancellations of unknown jobs is reached; nothing was cancelled", id));
        return;
    }
    this->propose(CancelFleetJob{id, wallNow(), call.access.account}, [isKnown = job.has_value(), done = std::move(done)](bool applied) {
        if (!applied) {
            done(RelayOutcome::Unknown, {});
            return;
        }
        done(RelayOutcome::Answered, makeResponse(isKnown ? ResultCode::Ok : ResultCode::JobUnknown));
    });
    this->flush();
}

ApiResponse FleetCore::showJob(const AuthorizedCall &call, const JobId &id) const
{
    const auto job = findJobStatus(this->state, id);
    if (!job || !maySeeJob(call.access, call.queue, job->origin)) {
        return makeResponse(ResultCode::JobUnknown);
    }
    ApiResponse response;
    response.state = job->state;
    response.failure = job->failure;
    return response;
}

} // namespace Filbertlanding
