/** @file caller_relay.cpp Relays callers' calls to the leader. */

#include "fleetd/caller_relay.h"

#include "core/clock_func.h"
#include "runtime/log_func.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration LeaderWaitTimeout{400}; ///< A caller learns by then that nobody can take its call, and can try elsewhere.
    constexpr Duration ForwardTimeout{600}; ///< Time for the leader's answer before the call is passed on again.
    constexpr Duration OutcomeTimeout{1'000}; ///< A caller learns by then that the outcome is unknown; it sends the call again under the same id.
    constexpr Duration RetryAfterRefusal{1'000}; ///< An election has ended by then.
    constexpr std::chrono::milliseconds ExpireInterval{50};
    constexpr std::size_t MaxWaitingRequests = 2'000; ///< Calls that wait for a leader; further ones are refused at once.

    /** Headers that say more than the transport; the others stay here, which keeps messages between zones small. */
    bool isRelayed(std::string_view name)
    {
        static const std::vector<std::string_view> dropped{
            "connection", "content-length", "accept", "accept-encoding", "user-agent", "transfer-encoding", "content-type"};
        return std::none_of(dropped.begin(), dropped.end(), [name](std::string_view other) {
            return boost::beast::iequals(name, other);
        });
    }

    RelayedRequest toRelayedRequest(HttpRequest &&request)
    {
        RelayedRequest call{std::move(request.method), std::move(request.target), {}, std::move(request.body)};
        for (HttpHeader &header : request.headers) {
            if (isRelayed(header.name)) {
                call.headers.emplace_back(std::move(header.name), std::move(header.value));
            }
        }
        return call;
    }

    HttpResponse toHttpResponse(RelayedResponse &&answer)
    {
        HttpResponse response;
        response.status = answer.status;
        response.body = std::move(answer.body);
        for (auto &[name, value] : answer.headers) {
            response.headers.push_back({std::move(name), std::move(value)});
        }
        return response;
    }

} // namespace

CallerRelay::CallerRelay(boost::asio::io_context &loop, const ProtocolAdapter &protocolAdapter)
    : adapter(protocolAdapter)
    , timer(loop)
{
}

void CallerRelay::start(PeerLinks &links, LeaderFinder &leaderFinder)
{
    this->peers = &links;
    this->finder = &leaderFinder;
}

void CallerRelay::handle(HttpRequest &&request, HttpRespond respond)
{
    ++this->relayCounters.received;
    const auto call = std::make_shared<Call>();
    call->receivedAt = steadyNow();
    call->refusalDeadline = call->receivedAt + LeaderWaitTimeout;
    call->outcomeDeadline = call->receivedAt + OutcomeTimeout;
    call->respond = std::move(respond);
    call->payload = encodeFleetMessage(toRelayedRequest(std::move(request)));
    this->forward(call);
}

void CallerRelay::forward(const RequestPointer &call)
{
    const DaemonName leader = this->finder->leader();
    if (leader.empty()) {
        this->enqueue(call);
        return;
    }
    const auto kind = static_cast<std::uint8_t>(FleetMessageKind::RelayedRequest);
    this->peers->sendRequest(leader, kind, call->payload, ForwardTimeout, [this, call, leader](const PeerAnswer &answer) {
        this->onAnswer(call, leader, answer);
    });
}

void CallerRelay::enqueue(const RequestPointer &call)
{
    if (this->waiting.size() >= MaxWaitingRequests) {
        this->failRequest(call);
        return;
    }
    this->waiting.push_back(call);
    this->armTimer();
}

void CallerRelay::onAnswer(const RequestPointer &call, const DaemonName &leader, const PeerAnswer &answer)
{
    auto relayed = answer.code == ResultCode::Ok ? decodeFleetMessage<RelayedResponse>(answer.payload) : std::nullopt;
    if (relayed && relayed->outcome == RelayOutcome::Answered) {
        ++this->relayCounters.answered;
        this->relayCounters.responseTime.record(steadyNow() - call->receivedAt);
        call->respond(toHttpResponse(std::move(*relayed)));
        return;
    }
    const bool isNotExecuted = relayed ? relayed->outcome == RelayOutcome::NotLeader : !answer.bytesSent;
    call->mayBeDelivered = call->mayBeDelivered || !isNotExecuted;
    this->finder->invalidateLeader(leader);
    if (steadyNow() >= (call->mayBeDelivered ? call->outcomeDeadline : call->refusalDeadline)) {
        this->failRequest(call);
        return;
    }
    this->enqueue(call);
}

void CallerRelay::onLeaderFound()
{
    const auto calls = std::exchange(this->waiting, {});
    for (const RequestPointer &call : calls) {
        this->forward(call);
    }
}

void CallerRelay::armTimer()
{
    if (this->isTimerArmed) {
        return;
    }
    this->isTimerArmed = true;
    this->timer.expires_after(ExpireInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        this->isTimerArmed = false;
        if (!error) {
            this->expireWaiting();
        }
    });
}

void CallerRelay::expireWaiting()
{
    const TimePoint now = steadyNow();
    const auto calls = std::exchange(this->waiting, {});
    for (const RequestPointer &call : calls) {
        // A call that a leader may have is not refused; the next leader is asked for as long as the caller waits.
        if (now >= (call->mayBeDelivered ? call->outcomeDeadline : call->refusalDeadline)) {
            this->failRequest(call);
        } else {
            this->waiting.push_back(call);
        }
    }
    if (!this->waiting.empty()) {
        this->armTimer();
    }
}

void CallerRelay::failRequest(const RequestPointer &call)
{
    ApiResponse answer;
    if (call->mayBeDelivered) {
        ++this->relayCounters.unknown;
        answer.code = ResultCode::OutcomeUnknown;
        answer.message = "the scheduler did not answer in time; send the call again";
    } else {
        ++this->relayCounters.refused;
        answer.code = ResultCode::NoQuorum;
        answer.message = "no scheduler can be reached; nothing was run";
        answer.retryAfter = RetryAfterRefusal;
    }
    logLine(LogArea::Route,
            LogLevel::Info,
            "call_given_up",
            {{"code", resultCodeRow(answer.code).name}, {"waitedMs", (steadyNow() - call->receivedAt).ms}, {"maySent", call->mayBeDelivered}});
    this->relayCounters.responseTime.record(steadyNow() - call->receivedAt);
    call->respond(this->adapter.serializeResponse(answer));
}

const CallerRelayCounters &CallerRelay::counters() const
{
    return this->relayCounters;
}

} // namespace Filbertlanding
