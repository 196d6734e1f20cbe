/** @file request_service.cpp Serves latency-critical requests. */

#include "daemon/request_service.h"

#include "core/clock_func.h"
#include "daemon/ledger_path.h"
#include "daemon/peer_codec.h"
#include "request/retry_decision.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration SlotWait{5}; ///< Pause until a request that found no free slot is routed again.
    constexpr Duration RetryLater{1000}; ///< Retry-after time when nothing better is known.

    Random &threadRandom()
    {
        static std::atomic<std::uint64_t> threads{0};
        static thread_local Random random{mixBits(static_cast<std::uint64_t>(wallNow().ms)) + ++threads};
        return random;
    }

    RequestOutcome refusal(ResultCode code, Duration retryAfter = RetryLater)
    {
        RequestOutcome outcome;
        outcome.code = code;
        outcome.retryAfter = retryAfter;
        return outcome;
    }

    void logRoute(const CallerRequest &request, const RouteDecision &decision)
    {
        if (!isLogged(LogArea::Route, LogLevel::Info)) {
            return;
        }
        std::string excluded;
        for (std::size_t i = 0; i < decision.excluded.size(); ++i) {
            if (decision.excluded[i] > 0) {
                excluded += excluded.empty() ? "" : " ";
                excluded += std::string(RouteExclusionNames.nameOf(static_cast<RouteExclusion>(i))) + "=" + std::to_string(decision.excluded[i]);
            }
        }
        logLine(LogArea::Route,
                LogLevel::Info,
                "route",
                {{"request", request.id},
                 {"caller", request.caller},
                 {"service", request.service},
                 {"target", RouteTargetNames.nameOf(decision.target)},
                 {"chosen", decision.name},
                 {"candidates", decision.candidates},
                 {"firstScore", decision.firstScore},
                 {"secondScore", decision.secondScore},
                 {"excluded", excluded},
                 {"ownerEpoch", decision.ownerEpoch},
                 {"attempt", request.attempts}});
    }

    /** Ends a request: counts it, makes room for waiting ones, and answers. */
    void finish(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, RequestOutcome outcome)
    {
        const auto runtime = request->runtime;
        const bool measured = outcome.code == ResultCode::Ok;
        const bool admitted = std::exchange(request->admitted, false);
        request->done(std::move(outcome));
        if (!admitted) {
            return;
        }
        carryOutAdmission(daemon, runtime, runtime->admission.finish(request->ticket, measured, steadyNow()));
    }

    /** Sends the request again if that is allowed, and otherwise ends it with the outcome of the failed attempt. */
    void retryOrFinish(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, FailedAttempt attempt, RequestOutcome outcome)
    {
        const TimePoint now = steadyNow();
        attempt.repeatable = request->repeatable;
        attempt.attempts = request->attempts;
        attempt.deadline = request->deadline;
        const RetryDecision decision = decideRetry(attempt, now);
        if (decision.mayRetry && request->runtime->budget.tryAcquireRetry(now)) {
            routeAndSend(daemon, request);
            return;
        }
        outcome.code = decision.code;
        finish(daemon, request, std::move(outcome));
    }

    /** Returns whether a worker's answer says that it did not run the request. */
    bool isUnrunAnswer(const HttpResponse &response)
    {
        if (response.status < 400) {
            return false;
        }
        const auto code = resultCodeFromName(headerValue(response.headers, "Result-Code"));
        return code && (isRefusal(*code) || *code == ResultCode::StaleOwner);
    }

    RequestOutcome outcomeOf(const HttpExchange &exchange, const WorkerName &worker)
    {
        RequestOutcome outcome;
        outcome.worker = worker;
        outcome.code = exchange.code;
        if (exchange.code != ResultCode::Ok) {
            return outcome;
        }
        outcome.status = exchange.response.status;
        outcome.contentType = std::string(headerValue(exchange.response.headers, "Content-Type"));
        outcome.body = exchange.response.body;
        outcome.code = exchange.response.status < 400 ? ResultCode::Ok : ResultCode::WorkerFailed;
        return outcome;
    }

    void workerAnswered(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, WorkerEntry &entry, std::int64_t sentUs, const HttpExchange &exchange)
    {
        const bool unrun = exchange.code == ResultCode::Ok && isUnrunAnswer(exchange.response);
        RequestOutcome outcome = outcomeOf(exchange, entry.worker);
        const bool succeeded = outcome.code == ResultCode::Ok && !unrun;
        if (succeeded) {
            entry.latency.add(static_cast<double>(steadyMicroseconds() - sentUs) / 1000.0);
        }
        // An answer that the worker refused to run says nothing about its health.
        if (!unrun) {
            request->runtime->ejection.record(entry, outcome.code == ResultCode::Ok, steadyNow());
        }
        // A request that ran and failed by its own input would fail again, so only the loss of an answer is retried.
        if (succeeded || (outcome.code == ResultCode::WorkerFailed && !unrun)) {
            finish(daemon, request, std::move(outcome));
            return;
        }
        request->tried.push_back(entry.worker);
        FailedAttempt attempt;
        attempt.code = unrun ? ResultCode::NoWorker : exchange.code;
        attempt.byteSent = exchange.bytesSent;
        attempt.refusedBeforeExecution = unrun;
        attempt.expectedMs = entry.latency.quantileMs();
        retryOrFinish(daemon, request, attempt, std::move(outcome));
    }

    void sendToWorker(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, RouteDecision &decision, TimePoint now)
    {
        const auto slot = std::make_shared<SlotGuard>(std::move(decision.slot));
        const std::shared_ptr<WorkerEntry> entry = slot->worker();
        HttpRequest message;
        message.method = "POST";
        message.target = "/requests/" + request->service;
        message.headers = {{"Caller", request->caller},
                           {"Team", request->team},
                           {"Request-Id", request->id},
                           {"Timeout-Ms", std::to_string((request->deadline - now).ms)},
                           {"Repeatable", request->repeatable ? "yes" : "no"},
                           {"Owner-Epoch", std::to_string(decision.ownerEpoch)},
                           {"Content-Type", request->contentType.empty() ? "application/json" : request->contentType}};
        message.body = request->body;
        HttpSendOptions options;
        options.timeout = request->deadline - now;
        const std::int64_t sentUs = steadyMicroseconds();
        daemon.client->send({entry->address, entry->port}, std::move(message), options, [&daemon, request, slot, entry, sentUs](const HttpExchange &exchange) {
            registerReaderThread();
            slot->release();
            workerAnswered(daemon, request, *entry, sentUs, exchange);
        });
    }

    RequestOutcome outcomeOfPeer(const PeerAnswer &answer)
    {
        RequestOutcome outcome;
        if (answer.code != ResultCode::Ok) {
            outcome.code = answer.bytesSent ? ResultCode::OutcomeUnknown : ResultCode::ConnectFailed;
            return outcome;
        }
        const auto decoded = decodePeerMessage<ForwardedAnswer>(answer.payload);
        if (!decoded) {
            outcome.code = ResultCode::OutcomeUnknown;
            return outcome;
        }
        return {decoded->code, decoded->status, decoded->contentType, decoded->body, decoded->worker, decoded->retryAfter};
    }

    void peerAnswered(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, const DaemonName &peer, const PeerAnswer &answer)
    {
        RequestOutcome outcome = outcomeOfPeer(answer);
        if (outcome.code == ResultCode::Ok || outcome.code == ResultCode::WorkerFailed) {
            finish(daemon, request, std::move(outcome));
            return;
        }
        request->tried.push_back(peer);
        FailedAttempt attempt;
        attempt.code = outcome.code;
        attempt.refusedBeforeExecution = isRefusal(outcome.code);
        attempt.byteSent = !attempt.refusedBeforeExecution;
        retryOrFinish(daemon, request, attempt, std::move(outcome));
    }

    void sendToPeer(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, RouteDecision &decision, TimePoint now)
    {
        const auto slot = std::make_shared<SlotGuard>(std::move(decision.slot));
        ForwardedRequest message;
        message.service = request->service;
        message.team = request->team;
        message.caller = request->caller;
        message.request = request->id;
        message.repeatable = request->repeatable;
        message.remaining = request->deadline - now;
        message.contentType = request->contentType;
        message.body = request->body;
        const auto kind = static_cast<std::uint8_t>(PeerKind::Forward);
        daemon.peers->sendRequest(
            decision.name, kind, encodePeerMessage(message), message.remaining, [&daemon, request, slot, peer = decision.name](const PeerAnswer &answer) {
                registerReaderThread();
                slot->release();
                peerAnswered(daemon, request, peer, answer);
            });
    }

    /** Nothing could take the request now: waits for a slot while there is time, and refuses otherwise. */
    void waitForSlot(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, const RouteDecision &decision, TimePoint now)
    {
        request->attempts -= 1;
        const bool someFull = decision.excluded[static_cast<std::size_t>(RouteExclusion::Full)] > 0;
        if (!someFull || request->forwarded || now + SlotWait >= request->deadline) {
            finish(daemon, request, refusal(decision.code));
            return;
        }
        daemon.control.after(SlotWait, [&daemon, request] {
            routeAndSend(daemon, request);
        });
    }

    std::shared_ptr<CallerRequest> takeWaiting(ServiceRuntime &runtime, TicketId ticket)
    {
        const std::lock_guard lock(runtime.mutex);
        const auto found = runtime.waiting.find(ticket);
        if (found == runtime.waiting.end()) {
            return nullptr;
        }
        auto request = std::move(found->second);
        runtime.waiting.erase(found);
        return request;
    }

    /** Returns the reason to refuse a request before admission, or Ok. */
    ResultCode checkRequest(const RequestView &view, const CallerRequest &request)
    {
        if (view.finishing) {
            return ResultCode::Draining;
        }
        if (!view.services.contains(request.service)) {
            return ResultCode::ServiceUnknown;
        }
        const Configuration &configuration = *view.configuration;
        if (configuration.services.at(request.service).state == ServiceState::Closed) {
            return ResultCode::ServiceClosed;
        }
        if (!configuration.teams.empty() && !configuration.teams.contains(request.team)) {
            return ResultCode::TeamUnknown;
        }
        return ResultCode::Ok;
    }

    /** Counts the request and its outcome around its `done`. */
    void countAround(Daemon &daemon, const std::shared_ptr<CallerRequest> &request)
    {
        OutcomeSeries &series = daemon.outcomes->series(request->service, request->team);
        daemon.outcomes->countReceived(series);
        const auto runtime = request->runtime;
        runtime->inFlight += 1;
        request->done = [&daemon, &series, runtime, id = request->id, startedUs = request->startedUs, done = std::move(request->done)](RequestOutcome outcome) {
            daemon.outcomes->countOutcome(series, outcome.code, static_cast<std::uint64_t>(steadyMicroseconds() - startedUs), id);
            done(std::move(outcome));
            runtime->inFlight -= 1;
        };
    }

} // namespace

void registerReaderThread()
{
    static thread_local const RcuThread registration;
}

void serveRequest(Daemon &daemon, const std::shared_ptr<CallerRequest> &request)
{
    registerReaderThread();
    {
        const auto view = daemon.view.read();
        const auto runtime = view->services.find(request->service);
        request->runtime = runtime == view->services.end() ? nullptr : runtime->second;
        if (request->deadline.ms == 0 && request->runtime != nullptr) {
            request->deadline = steadyNow() + view->configuration->services.at(request->service).defaultTimeout;
        }
    }
    // Names that no configuration has are chosen by callers, so they are not counted one by one.
    if (request->runtime == nullptr) {
        request->done(refusal(ResultCode::ServiceUnknown));
        return;
    }
    countAround(daemon, request);
    if (request->repeatable) {
        admitRequest(daemon, request);
        return;
    }
    sendThroughLedger(daemon, request, [request](RequestOutcome outcome) {
        request->done(std::move(outcome));
    });
}

void admitRequest(Daemon &daemon, const std::shared_ptr<CallerRequest> &request)
{
    registerReaderThread();
    const ResultCode code = checkRequest(*daemon.view.read(), *request);
    if (code != ResultCode::Ok) {
        request->done(refusal(code));
        return;
    }
    const auto runtime = request->runtime;
    request->ticket = ++daemon.lastTicket;
    {
        const std::lock_guard lock(runtime->mutex);
        runtime->waiting.emplace(request->ticket, request);
    }
    const TimePoint now = steadyNow();
    runtime->budget.countRequest(now);
    carryOutAdmission(daemon, runtime, runtime->admission.admit({request->ticket, request->team, request->deadline}, now));
}

std::shared_ptr<CallerRequest> requestOfPeer(ForwardedRequest forwarded)
{
    auto request = std::make_shared<CallerRequest>();
    request->service = std::move(forwarded.service);
    request->team = std::move(forwarded.team);
    request->caller = std::move(forwarded.caller);
    request->id = std::move(forwarded.request);
    request->repeatable = forwarded.repeatable;
    request->deadline = steadyNow() + forwarded.remaining;
    request->contentType = std::move(forwarded.contentType);
    request->body = std::move(forwarded.body);
    return request;
}

void serveForwarded(Daemon &daemon, ForwardedRequest forwarded, std::function<void(ForwardedAnswer)> reply)
{
    registerReaderThread();
    const auto request = requestOfPeer(std::move(forwarded));
    request->forwarded = true;
    request->done = [reply = std::move(reply)](RequestOutcome outcome) {
        reply({outcome.code, outcome.status, std::move(outcome.contentType), std::move(outcome.body), std::move(outcome.worker), outcome.retryAfter});
    };
    ResultCode code = ResultCode::Ok;
    {
        const auto view = daemon.view.read();
        const auto runtime = view->services.find(request->service);
        code = runtime == view->services.end() ? ResultCode::ServiceUnknown : ResultCode::Ok;
        request->runtime = code == ResultCode::Ok ? runtime->second : nullptr;
    }
    if (code != ResultCode::Ok) {
        request->done(refusal(code));
        return;
    }
    routeAndSend(daemon, request);
}

void routeAndSend(Daemon &daemon, const std::shared_ptr<CallerRequest> &request)
{
    registerReaderThread();
    const TimePoint now = steadyNow();
    if (now >= request->deadline) {
        finish(daemon, request, refusal(ResultCode::DeadlineExpired));
        return;
    }
    request->attempts += 1;
    RouteDecision decision;
    {
        const auto view = daemon.view.read();
        const RouteRequest wanted{request->service, request->forwarded, request->tried};
        decision = routeRequest(*view->table, RouteSettings(), *view->policy, wanted, threadRandom(), now);
    }
    logRoute(*request, decision);
    switch (decision.target) {
    case RouteTarget::OwnWorker:
        sendToWorker(daemon, request, decision, now);
        return;
    case RouteTarget::ZonePeer:
    case RouteTarget::OtherZonePeer:
        sendToPeer(daemon, request, decision, now);
        return;
    case RouteTarget::None:
        waitForSlot(daemon, request, decision, now);
        return;
    }
}

void carryOutAdmission(Daemon &daemon, const std::shared_ptr<ServiceRuntime> &runtime, const AdmissionResult &result)
{
    for (const TicketId ticket : result.run) {
        const auto request = takeWaiting(*runtime, ticket);
        if (request != nullptr) {
            request->admitted = true;
            routeAndSend(daemon, request);
        }
    }
    for (const AdmissionRefusal &refused : result.refused) {
        const auto request = takeWaiting(*runtime, refused.ticket);
        if (request != nullptr) {
            request->done(refusal(refused.code, refused.retryAfter));
        }
    }
}

void serviceTick(Daemon &daemon, TimePoint now)
{
    for (const auto &[name, runtime] : daemon.controlState.services) {
        carryOutAdmission(daemon, runtime, runtime->admission.tick(now));
        std::vector<std::shared_ptr<WorkerEntry>> entries;
        for (const auto &[key, entry] : daemon.controlState.routes.workers) {
            if (key.second == name) {
                entries.push_back(entry);
            }
        }
        runtime->ejection.tick(entries, now);
    }
}

} // namespace Filbertlanding
