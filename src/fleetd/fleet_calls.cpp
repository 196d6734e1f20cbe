/** @file fleet_calls.cpp Calls of callers, workers and operators that the leader answers. */

#include "core/clock_func.h"
#include "fleet/job_admission.h"
#include "fleetd/fleet_core.h"
#include "runtime/log_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration ElectionRetryDelay{1'000}; ///< When a caller should come back after a refusal that ends with the next election.

    ApiResponse makeResponse(ResultCode code, std::string message = {})
    {
        ApiResponse answer;
        answer.code = code;
        answer.message = std::move(message);
        return answer;
    }

    ApiResponse makeRetryLaterResponse(ResultCode code, std::string message)
    {
        ApiResponse answer = makeResponse(code, std::move(message));
        answer.retryAfter = ElectionRetryDelay;
        return answer;
    }

    /** Returns whether two documents say the same, however they are written. */
    bool isSameDocument(const FleetManifest &left, const FleetManifest &right)
    {
        return left.document == right.document;
    }

} // namespace

void FleetCore::handleCallerRequest(const JobApiRequest &call, CallerResponseHandler done)
{
    if (!this->isLeading()) {
        done(RelayOutcome::NotLeader, {});
        return;
    }
    if (this->state.manifest.version == 0) {
        done(RelayOutcome::Answered, makeRetryLaterResponse(ResultCode::NoQuorum, "there is no configuration yet"));
        return;
    }
    const QueueConfig *queue = findQueue(this->state.manifest, call.host, call.path);
    if (queue == nullptr) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::ServiceUnknown, "no queue has this host and path"));
        return;
    }
    const JobId id = call.path.substr(queue->pathPrefix.size());
    if (call.code != ResultCode::Ok) {
        done(RelayOutcome::Answered, makeResponse(call.code, call.message));
        return;
    }
    if (id.empty() && call.verb == CallerVerb::Show) {
        ApiResponse answer;
        answer.waiting = countQueuedJobs(this->state, *queue);
        done(RelayOutcome::Answered, std::move(answer));
        return;
    }
    switch (call.verb) {
    case CallerVerb::Submit:
        this->submitJob(call, *queue, id, std::move(done));
        return;
    case CallerVerb::Show:
        done(RelayOutcome::Answered, this->showJob(id));
        return;
    case CallerVerb::Cancel:
        this->cancelJob(id, std::move(done));
        return;
    }
}

void FleetCore::submitJob(const JobApiRequest &call, const QueueConfig &queue, const JobId &id, CallerResponseHandler done)
{
    constexpr std::size_t MaxJobIdLength = 64;
    if (id.empty() || id.size() > MaxJobIdLength || id.find_first_of("/. ") != std::string::npos) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::BadRequest, "the path does not end with the id of a job"));
        return;
    }
    if (findJob(this->state, id) != nullptr) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::Ok));
        return;
    }
    constexpr std::size_t BytesPerMegabyte = 1'048'576;
    const AdmissionInput room{this->scheduler->openBytes + this->pendingBytes,
                              estimateJobMemory(call.spec),
                              static_cast<std::size_t>(this->settings.openJobsMegabytes) * BytesPerMegabyte};
    // An earlier copy may be on its way to the log, so "not accepted" would not be true.
    if (!this->pendingJobs.contains(id) && !canAdmitJob(room)) {
        ++this->counters.jobsRefused;
        logLine(LogArea::Job, LogLevel::Info, "job_refused", {{"job", id}, {"openBytes", room.openBytes}, {"jobBytes", room.jobBytes}});
        ApiResponse answer = makeResponse(ResultCode::QueueFull, "there is no room for further jobs; this one was not accepted");
        answer.retryAfter = retryDelayAfterRefusal(id);
        done(RelayOutcome::Answered, std::move(answer));
        return;
    }
    this->pendingJobs.insert(id);
    this->pendingBytes += room.jobBytes;
    SubmitFleetJob command{id, queue.host, queue.pathPrefix, wallNow(), call.spec};
    this->propose(std::move(command), [this, id, bytes = room.jobBytes, done = std::move(done)](bool applied) {
        this->pendingJobs.erase(this->pendingJobs.find(id));
        this->pendingBytes -= bytes;
        if (!applied) {
            done(RelayOutcome::Unknown, {});
            return;
        }
        const bool isAccepted = findJob(this->state, id) != nullptr;
        this->counters.jobsAccepted += isAccepted ? 1 : 0;
        done(RelayOutcome::Answered, isAccepted ? makeResponse(ResultCode::Ok) : makeResponse(ResultCode::ServiceUnknown, "the queue was removed"));
    });
    this->flush();
}

void FleetCore::cancelJob(const JobId &id, CallerResponseHandler done)
{
    const FleetJob *job = findJob(this->state, id);
    if (job != nullptr && hasEnded(job->state)) {
        done(RelayOutcome::Answered, makeResponse(ResultCode::Ok));
        return;
    }
    this->propose(CancelFleetJob{id, wallNow()}, [isKnown = job != nullptr, done = std::move(done)](bool applied) {
        if (!applied) {
            done(RelayOutcome::Unknown, {});
            return;
        }
        done(RelayOutcome::Answered, makeResponse(isKnown ? ResultCode::Ok : ResultCode::JobUnknown));
    });
    this->flush();
}

ApiResponse FleetCore::showJob(const JobId &id) const
{
    const FleetJob *job = findJob(this->state, id);
    if (job == nullptr) {
        return makeResponse(ResultCode::JobUnknown);
    }
    ApiResponse answer;
    answer.state = job->state;
    return answer;
}

std::string FleetCore::controlAddressOf(const DaemonName &daemon) const
{
    const auto own = splitAddress(this->settings.listenControl);
    return daemon + ":" + std::to_string(own ? own->second : 0);
}

void FleetCore::handleControlRequest(const HttpRequest &request, HttpRespond respond)
{
    const auto reply = [this, respond = std::move(respond)](const ApiResponse &answer) {
        respond(this->adapter.serializeResponse(answer));
    };
    const ControlRequest call = this->adapter.parseControlRequest(request);
    if (const auto *bad = std::get_if<MalformedRequest>(&call)) {
        logLine(LogArea::Intent,
                LogLevel::Info,
                "call_malformed",
                {{"method", request.method}, {"target", request.target}, {"code", resultCodeRow(bad->code).name}, {"message", bad->message}});
        reply(makeResponse(bad->code, bad->message));
        return;
    }
    if (this->isLeading()) {
        this->dispatchControlRequest(call, reply);
        return;
    }
    const bool knowsOther = !this->status.leader.empty() && this->status.leader != this->settings.address;
    if (!knowsOther || this->isStopping) {
        reply(makeRetryLaterResponse(ResultCode::NoQuorum, "no leader is known"));
        return;
    }
    ApiResponse answer = makeResponse(ResultCode::NotLeader);
    answer.redirect = this->controlAddressOf(this->status.leader);
    answer.path = request.target;
    reply(answer);
}

void FleetCore::dispatchControlRequest(const ControlRequest &call, std::function<void(ApiResponse)> done)
{
    if (const auto *report = std::get_if<WorkerReportRequest>(&call)) {
        this->handleReport(*report, std::move(done));
    } else if (const auto *goodbye = std::get_if<WorkerLeavingRequest>(&call)) {
        handleGoodbye(*this->scheduler, this->state, goodbye->worker);
        logLine(LogArea::Worker, LogLevel::Info, "worker_goodbye", {{"worker", goodbye->worker}});
        done(makeResponse(ResultCode::Ok));
    } else if (const auto *manifest = std::get_if<PutManifestRequest>(&call)) {
        this->putManifest(*manifest, std::move(done));
    } else if (std::holds_alternative<GetManifestRequest>(call)) {
        this->getManifest(std::move(done));
    } else if (const auto *zone = std::get_if<DrainZoneRequest>(&call)) {
        const auto &zones = this->settings.availabilityZones;
        if (!zones.empty() && std::find(zones.begin(), zones.end(), zone->availabilityZone) == zones.end()) {
            done(makeResponse(ResultCode::NotFound, "there is no availability zone " + zone->availabilityZone));
            return;
        }
        this->proposeAndAnswer(SetZoneDrained{zone->availabilityZone, zone->isDrained}, std::move(done));
    } else if (const auto *wave = std::get_if<StartWaveRequest>(&call)) {
        this->proposeAndAnswer(wave->wave, std::move(done));
    } else if (const auto *read = std::get_if<GetWaveRequest>(&call)) {
        const auto found = this->state.waves.find(read->wave);
        if (found == this->state.waves.end()) {
            done(makeResponse(ResultCode::NotFound, "there is no such wave"));
            return;
        }
        ApiResponse answer;
        answer.isWaveCompleted = std::all_of(found->second.machines.begin(), found->second.machines.end(), [](const auto &item) {
            return item.second == MaintenanceStage::Finished;
        });
        done(std::move(answer));
    }
}

void FleetCore::proposeAndAnswer(FleetCommand command, std::function<void(ApiResponse)> done)
{
    this->propose(std::move(command), [done = std::move(done)](bool applied) {
        // The change may still come into force, so the answer must not be a refusal.
        done(applied ? makeResponse(ResultCode::Ok) : makeRetryLaterResponse(ResultCode::ChangeOutcomeUnknown, "the lead was lost"));
    });
    this->flush();
}

void FleetCore::handleReport(const WorkerReportRequest &call, std::function<void(ApiResponse)> done)
{
    const ReportOutcome outcome = handleWorkerReport(*this->scheduler, this->state, call.report, steadyNow());
    ApiResponse answer;
    answer.reportTo = this->controlAddressOf(this->settings.address);
    if (!outcome.command) {
        done(std::move(answer));
        return;
    }
    this->propose(*outcome.command, [answer = std::move(answer), done = std::move(done)](bool applied) {
        done(applied ? answer : makeRetryLaterResponse(ResultCode::NotLeader, "the lead was lost"));
    });
    this->flush();
}

void FleetCore::putManifest(const PutManifestRequest &call, std::function<void(ApiResponse)> done)
{
    const FleetManifest &held = this->state.manifest;
    if (call.manifest.version < held.version) {
        logLine(LogArea::Intent, LogLevel::Info, "manifest_overtaken", {{"version", call.manifest.version}, {"held", held.version}});
        done(makeResponse(ResultCode::Ok));
        return;
    }
    if (call.manifest.version == held.version) {
        const bool isResend = isSameDocument(call.manifest, held);
        logLine(LogArea::Intent, LogLevel::Info, "manifest_again", {{"version", held.version}, {"isSame", isResend}});
        done(isResend ? makeResponse(ResultCode::Ok) : makeResponse(ResultCode::VersionConflict, "this version has other content"));
        return;
    }
    this->propose(PutManifest{call.manifest}, [this, sent = call.manifest, done = std::move(done)](bool applied) {
        if (!applied) {
            done(makeRetryLaterResponse(ResultCode::ChangeOutcomeUnknown, "the lead was lost"));
            return;
        }
        // Of two manifests with the same version that came at the same time, one is in force and the other is not.
        const bool isOther = this->state.manifest.version == sent.version && !isSameDocument(this->state.manifest, sent);
        done(isOther ? makeResponse(ResultCode::VersionConflict, "this version has other content") : makeResponse(ResultCode::Ok));
    });
    this->flush();
}

void FleetCore::getManifest(std::function<void(ApiResponse)> done)
{
    this->replication.read([this, done = std::move(done)](ReadReady ready) {
        boost::asio::post(this->io, [this, ready, done] {
            const auto answer = [this, done] {
                if (this->state.manifest.version == 0) {
                    done(makeRetryLaterResponse(ResultCode::NoQuorum, "there is no configuration yet"));
                    return;
                }
                ApiResponse result;
                result.document = this->state.manifest.document;
                done(std::move(result));
            };
            if (ready.code != ResultCode::Ok) {
                done(makeRetryLaterResponse(ready.code, "a majority of voters is unreachable"));
            } else if (this->appliedIndex >= ready.index) {
                answer();
            } else {
                this->pendingReads.emplace(ready.index, answer);
            }
        });
    });
}

std::string FleetCore::metrics() const
{
    std::string text;
    appendMetric(text, "filbertlanding_jobs_accepted_total", this->counters.jobsAccepted);
    appendMetric(text, "filbertlanding_jobs_refused_total", this->counters.jobsRefused);
    appendMetric(text, "filbertlanding_jobs_open_bytes", this->scheduler ? this->scheduler->openBytes : 0);
    appendMetric(text, "filbertlanding_orders_sent_total", this->counters.ordersSent);
    appendMetric(text, "filbertlanding_orders_unanswered_total", this->counters.ordersUnanswered);
    appendMetric(text, "filbertlanding_entries_applied_total", this->counters.entriesApplied);
    appendMetric(text, "filbertlanding_leaderships_total", this->counters.leaderships);
    appendMetric(text, "filbertlanding_is_leading", this->isLeading() ? 1 : 0);
    appendMetric(text, "filbertlanding_term", this->status.term);
    appendMetric(text, "filbertlanding_jobs_open", this->scheduler ? this->scheduler->jobs.size() : 0);
    appendMetric(text, "filbertlanding_workers_known", this->scheduler ? this->scheduler->sessions.size() : 0);
    this->counters.firstStart.appendText(text, "filbertlanding_first_start_seconds");
    this->counters.jobTime.appendText(text, "filbertlanding_job_seconds");
    this->counters.commitTime.appendText(text, "filbertlanding_commit_seconds");
    return text;
}

} // namespace Filbertlanding
