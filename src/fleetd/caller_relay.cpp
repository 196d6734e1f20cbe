/** @file caller_relay.cpp Relays callers' requests to the leader. */

#include "fleetd/caller_relay.h"

#include "core/clock_func.h"
#include "runtime/log_func.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration LeaderWaitTimeout{400}; ///< A request that no leader has received is refused after this time, so that the caller can try elsewhere.
    constexpr Duration ForwardTimeout{600}; ///< Time to wait for the leader's response before the request is forwarded again.
    constexpr Duration OutcomeTimeout{1'000}; ///< After this time the caller is told that the outcome is unknown; it resends the request with the same job id.
    constexpr Duration RetryAfterRefusal{1'000}; ///< Longer than an election takes.
    constexpr std::size_t MaxWaitingRequests = 2'000; ///< Requests waiting for a leader; further ones fail immediately.

    /** Returns whether a header is forwarded. Transport-related headers are dropped to keep messages between availability zones small. */
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
        RelayedRequest relayed{std::move(request.method), std::move(request.target), {}, std::move(request.body)};
        for (HttpHeader &header : request.headers) {
            if (isRelayed(header.name)) {
                relayed.headers.emplace_back(std::move(header.name), std::move(header.value));
            }
        }
        return relayed;
    }

    HttpResponse toHttpResponse(RelayedResponse &&relayed)
    {
        HttpResponse response;
        response.status = relayed.status;
        response.body = std::move(relayed.body);
        for (auto &[name, value] : relayed.headers) {
            response.headers.push_back({std::move(name), std::move(value)});
        }
        return response;
    }

} // namespace

CallerRelay::CallerRelay(boost::asio::io_context &loop, const ProtocolAdapter &protocolAdapter)
    : adapter(protocolAdapter)
    , timer(loop, [this] {
        this->expireWaiting();
    })
{
}

void CallerRelay::start(PeerLinks &links, LeaderFinder &leaderFinder)
{
    this->peers = &links;
    this->finder = &leaderFinder;
}

void CallerRelay::handleRequest(HttpRequest &&request, HttpRespond respond)
{
    ++this->relayCounters.received;
    const auto pending = std::make_shared<PendingRequest>();
    pending->receivedAt = steadyNow();
    pending->refusalDeadline = pending->receivedAt + LeaderWaitTimeout;
    pending->outcomeDeadline = pending->receivedAt + OutcomeTimeout;
    pending->isRead = request.method == "GET";
    pending->respond = std::move(respond);
    pending->payload = encodeFleetMessage(toRelayedRequest(std::move(request)));
    this->forward(pending);
}

void CallerRelay::forward(const RequestPointer &pending)
{
    const DaemonName leader = this->finder->leader();
    if (leader.empty()) {
        this->enqueue(pending);
        return;
    }
    const auto kind = static_cast<std::uint8_t>(FleetMessageKind::RelayedRequest);
    this->peers->sendRequest(leader, kind, pending->payload, ForwardTimeout, [this, pending, leader](const PeerAnswer &answer) {
        this->onAnswer(pending, leader, answer);
    });
}

void CallerRelay::enqueue(const RequestPointer &pending)
{
    if (this->waiting.size() >= MaxWaitingRequests) {
        this->failRequest(pending);
        return;
    }
    this->waiting.push_back(pending);
    this->timer.arm();
}

void CallerRelay::onAnswer(const RequestPointer &pending, const DaemonName &leader, const PeerAnswer &answer)
{
    auto relayed = answer.code == ResultCode::Ok ? decodeFleetMessage<RelayedResponse>(answer.payload) : std::nullopt;
    if (relayed && relayed->outcome == RelayOutcome::Answered) {
        // An earlier delivery may have been accepted before the key was removed, so the refusal may be wrong.
        if (!pending->isRead && pending->mayBeDelivered && relayed->status == resultCodeRow(ResultCode::KeyUnknown).httpStatus) {
            this->failRequest(pending, "the leader does not know the API key, but an earlier delivery of the request may have been executed");
            return;
        }
        ++this->relayCounters.answered;
        this->relayCounters.responseTime.record(steadyNow() - pending->receivedAt);
        pending->respond(toHttpResponse(std::move(*relayed)));
        return;
    }
    const bool isNotExecuted = relayed ? relayed->outcome == RelayOutcome::NotLeader : !answer.bytesSent;
    pending->mayBeDelivered = pending->mayBeDelivered || !isNotExecuted;
    this->finder->invalidateLeader(leader);
    if (steadyNow() >= (pending->mayBeDelivered ? pending->outcomeDeadline : pending->refusalDeadline)) {
        this->failRequest(pending);
        return;
    }
    this->enqueue(pending);
}

void CallerRelay::onLeaderFound()
{
    const auto requests = std::exchange(this->waiting, {});
    for (const RequestPointer &pending : requests) {
        this->forward(pending);
    }
}

void CallerRelay::expireWaiting()
{
    const TimePoint now = steadyNow();
    const auto requests = std::exchange(this->waiting, {});
    for (const RequestPointer &pending : requests) {
        // A request that a leader may have received must not be refused; it is forwarded to the next leader until its outcome deadline.
        if (now >= (pending->mayBeDelivered ? pending->outcomeDeadline : pending->refusalDeadline)) {
            this->failRequest(pending);
        } else {
            this->waiting.push_back(pending);
        }
    }
    if (!this->waiting.empty()) {
        this->timer.arm();
    }
}

void CallerRelay::failRequest(const RequestPointer &pending, const std::string &unknownMessage)
{
    ApiResponse response;
    if (pending->mayBeDelivered) {
        ++this->relayCounters.unknown;
        response.code = ResultCode::OutcomeUnknown;
        response.message = unknownMessage;
    } else {
        ++this->relayCounters.refused;
        response.code = ResultCode::NoQuorum;
        response.message = "no scheduler is reachable; the request was not executed";
        response.retryAfter = RetryAfterRefusal;
    }
    logLine(LogArea::Route,
            LogLevel::Info,
            "call_given_up",
            {{"code", resultCodeRow(response.code).name}, {"waitedMs", (steadyNow() - pending->receivedAt).ms}, {"maySent", pending->mayBeDelivered}});
    this->relayCounters.responseTime.record(steadyNow() - pending->receivedAt);
    pending->respond(this->adapter.serializeResponse(response));
}

const CallerRelayCounters &CallerRelay::counters() const
{
    return this->relayCounters;
}

} // namespace Filbertlanding
