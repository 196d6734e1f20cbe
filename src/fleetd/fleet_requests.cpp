/** @file fleet_requests.cpp Requests of workers and operators that the leader handles. */

#include "core/clock_func.h"
#include "fleetd/api_response.h"
#include "fleetd/fleet_core.h"
#include "fleetd/worker_report_check.h"
#include "replication/raft_func.h"
#include "runtime/log_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxLoggedBytes = 64; ///< Bytes of a text from a refused report that are logged.

    /** Returns whether two manifests have the same document text. */
    bool isSameDocument(const FleetManifest &left, const FleetManifest &right)
    {
        return left.document == right.document;
    }

} // namespace

std::string FleetCore::controlAddressOf(const DaemonName &daemon) const
{
    const auto ownEndpoint = splitAddress(this->settings.listenControl);
    return daemon + ":" + std::to_string(ownEndpoint ? ownEndpoint->second : 0);
}

void FleetCore::logNotLeading(const ControlRequest &request) const
{
    // Workers report too often for a line each.
    if (std::holds_alternative<WorkerReportRequest>(request)) {
        return;
    }
    const ReplicaHealth health = this->replicaHealth();
    logLine(LogArea::Intent,
            LogLevel::Info,
            "call_not_leading",
            {{"kind", request.index()},
             {"replica", replicaConditionName(health.condition)},
             {"replicaCode", resultCodeRow(health.code).name},
             {"replicaForMs", (steadyNow() - health.since).ms},
             {"role", replicaRoleName(health, this->status.role)},
             {"leader", this->otherLeader()}});
}

void FleetCore::countReport(const ApiResponse &response)
{
    if (response.code == ResultCode::Ok) {
        this->statusLog.countReport(ReportAnswer::Taken);
    } else if (!response.redirect.empty()) {
        this->statusLog.countReport(ReportAnswer::SentElsewhere);
    } else if (response.code == ResultCode::NoQuorum || response.code == ResultCode::NotLeader) {
        this->statusLog.countReport(ReportAnswer::WithoutLeader);
    } else {
        this->statusLog.countReport(ReportAnswer::Wrong);
    }
}

void FleetCore::handleControlRequest(const HttpRequest &request, HttpRespond respond)
{
    const LoopTimer timer(this->times, LoopPart::ControlRequests);
    const std::function<void(ApiResponse)> reply = [this, respond = std::move(respond)](const ApiResponse &response) {
        respond(this->adapter.serializeResponse(response));
    };
    ControlRequest parsed = this->adapter.parseControlRequest(request);
    if (const auto *malformed = std::get_if<MalformedRequest>(&parsed)) {
        logLine(LogArea::Intent,
                LogLevel::Info,
                "call_malformed",
                {{"method", request.method}, {"target", request.target}, {"code", resultCodeRow(malformed->code).name}, {"message", malformed->message}});
        // An earlier version may have put in force what this one refuses; a resend of it stays acknowledged.
        const bool isInForce = !malformed->manifest.empty() && malformed->manifest == this->state.manifest.document;
        reply(isInForce ? makeResponse(ResultCode::Ok) : makeResponse(malformed->code, malformed->message));
        return;
    }
    const bool isReport = std::holds_alternative<WorkerReportRequest>(parsed);
    const std::function<void(ApiResponse)> counted = [this, reply](const ApiResponse &response) {
        this->countReport(response);
        reply(response);
    };
    this->routeControlCall({std::move(parsed), request.target, isReport ? counted : reply}, true);
}

/** Handles a call, or sends it to the leader. If there is none, the call waits for one for a moment, once. */
void FleetCore::routeControlCall(const ControlCall &call, bool mayWait)
{
    const auto retry = [this, call] {
        this->routeControlCall(call, false);
    };
    if (this->isLeading()) {
        const bool mayReadElsewhere = mayWait && std::holds_alternative<GetManifestRequest>(call.request);
        this->dispatchControlRequest(call.request, [this, call, retry, mayReadElsewhere](const ApiResponse &response) {
            // A read that the end of the leadership has interrupted has no effect, so the next leader may answer it.
            const bool isInterrupted = mayReadElsewhere && response.code != ResultCode::Ok && !this->isLeading() && !this->isStopping;
            if (isInterrupted && !this->otherLeader().empty()) {
                retry();
            } else if (!isInterrupted || !this->heldCalls.hold(retry)) {
                call.reply(response);
            }
        });
        return;
    }
    if (mayWait) {
        this->logNotLeading(call.request);
    }
    const DaemonName leader = this->otherLeader();
    if (!leader.empty() && !this->isStopping) {
        ApiResponse response = makeResponse(ResultCode::NotLeader);
        response.redirect = this->controlAddressOf(leader);
        response.path = call.target;
        call.reply(response);
        return;
    }
    if (!mayWait || this->isStopping || !this->heldCalls.hold(retry)) {
        call.reply(makeRetryLaterResponse(ResultCode::NoQuorum, this->isReplicaRunning() ? "no leader is known" : "the replica of this daemon does not run"));
    }
}

void FleetCore::releaseHeldCalls()
{
    if (this->isLeading() || !this->otherLeader().empty()) {
        this->heldCalls.release();
    }
}

void FleetCore::dispatchControlRequest(const ControlRequest &request, std::function<void(ApiResponse)> done)
{
    if (const auto *report = std::get_if<WorkerReportRequest>(&request)) {
        this->handleReport(*report, std::move(done));
    } else if (const auto *leaving = std::get_if<WorkerLeavingRequest>(&request)) {
        handleGoodbye(*this->scheduler, this->state, leaving->worker);
        logLine(LogArea::Worker, LogLevel::Info, "worker_goodbye", {{"worker", leaving->worker}});
        done(makeResponse(ResultCode::Ok));
    } else if (const auto *manifest = std::get_if<PutManifestRequest>(&request)) {
        this->putManifest(*manifest, std::move(done));
    } else if (std::holds_alternative<GetManifestRequest>(request)) {
        this->getManifest(std::move(done));
    } else if (const auto *zone = std::get_if<DrainZoneRequest>(&request)) {
        const auto &zones = this->settings.availabilityZones;
        if (!zones.empty() && std::find(zones.begin(), zones.end(), zone->availabilityZone) == zones.end()) {
            done(makeResponse(ResultCode::NotFound, "unknown availability zone " + zone->availabilityZone));
            return;
        }
        this->proposeAndAnswer(SetZoneDrained{zone->availabilityZone, zone->isDrained}, std::move(done));
    } else if (const auto *wave = std::get_if<StartWaveRequest>(&request)) {
        this->proposeAndAnswer(wave->wave, std::move(done));
    } else if (const auto *read = std::get_if<GetWaveRequest>(&request)) {
        const auto found = this->state.waves.find(read->wave);
        if (found == this->state.waves.end()) {
            done(makeResponse(ResultCode::NotFound, "unknown maintenance wave"));
            return;
        }
        ApiResponse response;
        response.isWaveCompleted = std::all_of(found->second.machines.begin(), found->second.machines.end(), [](const auto &item) {
            return item.second == MaintenanceStage::Finished;
        });
        done(std::move(response));
    }
}

void FleetCore::proposeAndAnswer(FleetCommand command, std::function<void(ApiResponse)> done)
{
    this->propose(std::move(command), [done = std::move(done)](bool applied) {
        // The change may still be committed, so the response must not be a refusal.
        done(applied ? makeResponse(ResultCode::Ok)
                     : makeRetryLaterResponse(ResultCode::ChangeOutcomeUnknown, "leadership was lost before the change was committed"));
    });
    this->flush();
}

void FleetCore::handleReport(const WorkerReportRequest &request, std::function<void(ApiResponse)> done)
{
    if (const auto error = findReportError(request.report, this->state, this->settings.availabilityZones, wallNow())) {
        const WorkerProfile &profile = request.report.profile;
        logLine(LogArea::Worker,
                LogLevel::Warn,
                "report_refused",
                {{"worker", profile.worker.substr(0, MaxLoggedBytes)},
                 {"address", profile.address.substr(0, MaxLoggedBytes)},
                 {"service", profile.service.substr(0, MaxLoggedBytes)},
                 {"reason", error->message}});
        done(makeResponse(error->code, error->message));
        return;
    }
    const ReportOutcome outcome = handleWorkerReport(*this->scheduler, this->state, request.report, steadyNow());
    ApiResponse response;
    response.reportTo = this->controlAddressOf(this->settings.address);
    if (!outcome.command) {
        done(std::move(response));
        return;
    }
    this->propose(*outcome.command, [response = std::move(response), done = std::move(done)](bool applied) {
        done(applied ? response : makeRetryLaterResponse(ResultCode::NotLeader, "leadership was lost before the report was committed"));
    });
    this->flush();
}

void FleetCore::putManifest(const PutManifestRequest &request, std::function<void(ApiResponse)> done)
{
    const FleetManifest &current = this->state.manifest;
    if (request.manifest.version < current.version) {
        logLine(LogArea::Intent, LogLevel::Info, "manifest_overtaken", {{"version", request.manifest.version}, {"held", current.version}});
        done(makeResponse(ResultCode::Ok));
        return;
    }
    if (request.manifest.version == current.version) {
        const bool isResend = isSameDocument(request.manifest, current);
        logLine(LogArea::Intent, LogLevel::Info, "manifest_again", {{"version", current.version}, {"isSame", isResend}});
        done(isResend ? makeResponse(ResultCode::Ok) : makeResponse(ResultCode::VersionConflict, "this version was already uploaded with different content"));
        return;
    }
    PutManifest command{request.manifest};
    if (encodeCommands({command}).size() > MaxEntryBytes) {
        logLine(LogArea::Intent,
                LogLevel::Warn,
                "manifest_refused",
                {{"version", request.manifest.version}, {"reason", "size"}, {"documentBytes", request.manifest.document.size()}});
        done(makeResponse(ResultCode::TooLarge, "the manifest is too large to be replicated"));
        return;
    }
    this->propose(std::move(command), [this, sent = request.manifest, done = std::move(done)](bool applied) {
        if (!applied) {
            done(makeRetryLaterResponse(ResultCode::ChangeOutcomeUnknown, "leadership was lost before the manifest was committed"));
            return;
        }
        // If two manifests with the same version were uploaded concurrently, only the first one committed takes effect.
        const bool isOther = this->state.manifest.version == sent.version && !isSameDocument(this->state.manifest, sent);
        done(isOther ? makeResponse(ResultCode::VersionConflict, "this version was already uploaded with different content") : makeResponse(ResultCode::Ok));
    });
    this->flush();
}

void FleetCore::getManifest(std::function<void(ApiResponse)> done)
{
    const std::uint64_t number = ++this->lastRead;
    this->openReads.emplace(number, OpenRead{steadyNow(), std::move(done)});
    this->replication.read([this, number](ReadReady ready) {
        boost::asio::post(this->io, [this, number, ready] {
            if (ready.code != ResultCode::Ok) {
                this->finishRead(number, makeRetryLaterResponse(ready.code, "a majority of voters is unreachable"));
                return;
            }
            this->pendingReads.emplace(ready.index, number);
            this->answerReads();
        });
    });
}

/** Answers the reads whose log index is applied. */
void FleetCore::answerReads()
{
    while (!this->pendingReads.empty() && this->pendingReads.begin()->first <= this->appliedIndex) {
        const std::uint64_t number = this->pendingReads.begin()->second;
        this->pendingReads.erase(this->pendingReads.begin());
        ApiResponse response;
        response.document = this->state.manifest.document;
        const bool hasManifest = this->state.manifest.version != 0;
        this->finishRead(number, hasManifest ? response : makeRetryLaterResponse(ResultCode::NoQuorum, "no manifest has been uploaded yet"));
    }
}

/** Answers a read, unless it has been answered already. */
void FleetCore::finishRead(std::uint64_t number, const ApiResponse &response)
{
    const auto found = this->openReads.find(number);
    if (found == this->openReads.end()) {
        return;
    }
    const OpenRead read = std::move(found->second);
    this->openReads.erase(found);
    logLine(LogArea::Intent, LogLevel::Info, "manifest_read", {{"code", resultCodeRow(response.code).name}, {"waitedMs", (steadyNow() - read.startedAt).ms}});
    read.done(response);
}

/** Answers all reads while the replica does not run. */
void FleetCore::failReads()
{
    this->pendingReads.clear();
    while (!this->openReads.empty()) {
        this->finishRead(this->openReads.begin()->first, makeRetryLaterResponse(ResultCode::NoQuorum, "the replica of this daemon does not run"));
    }
}

} // namespace Filbertlanding
