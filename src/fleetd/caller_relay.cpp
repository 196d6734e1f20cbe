/** @file caller_relay.cpp Relays callers' calls to the leader. */

#include "fleetd/caller_relay.h"

#include "core/clock_func.h"
#include "runtime/log_func.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration LongestWait{400}; ///< A caller learns by then that nobody can take its call, and can try elsewhere.
    constexpr Duration PassTimeout{600}; ///< Time for the leader's answer before the call is passed on again.
    constexpr Duration UnknownLimit{1'000}; ///< A caller learns by then that the outcome is unknown; it sends the call again under the same id.
    constexpr Duration RetryAfterRefusal{1'000}; ///< An election has ended by then.
    constexpr std::chrono::milliseconds ExpireInterval{50};
    constexpr std::size_t MostWaiting = 2'000; ///< Calls that wait for a leader; further ones are refused at once.

    /** Headers that say more than the transport; the others stay here, which keeps messages between zones small. */
    bool isRelayed(std::string_view name)
    {
        static const std::vector<std::string_view> dropped{
            "connection", "content-length", "accept", "accept-encoding", "user-agent", "transfer-encoding", "content-type"};
        return std::none_of(dropped.begin(), dropped.end(), [name](std::string_view other) {
            return boost::beast::iequals(name, other);
        });
    }

    RelayedCall relayedCall(HttpRequest &&request)
    {
        RelayedCall call{std::move(request.method), std::move(request.target), {}, std::move(request.body)};
        for (HttpHeader &header : request.headers) {
            if (isRelayed(header.name)) {
                call.headers.emplace_back(std::move(header.name), std::move(header.value));
            }
        }
        return call;
    }

    HttpResponse responseOf(RelayedAnswer &&answer)
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

CallerRelay::CallerRelay(boost::asio::io_context &loop, const FleetEdge &fleetEdge)
    : edge(fleetEdge)
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
    ++this->count.received;
    const auto call = std::make_shared<Call>();
    call->receivedAt = steadyNow();
    call->refuseAt = call->receivedAt + LongestWait;
    call->giveUpAt = call->receivedAt + UnknownLimit;
    call->respond = std::move(respond);
    call->payload = encodeFleetMessage(relayedCall(std::move(request)));
    this->pass(call);
}

void CallerRelay::pass(const CallPointer &call)
{
    const DaemonName leader = this->finder->leader();
    if (leader.empty()) {
        this->wait(call);
        return;
    }
    const auto kind = static_cast<std::uint8_t>(FleetMessageKind::RelayedCall);
    this->peers->sendRequest(leader, kind, call->payload, PassTimeout, [this, call, leader](const PeerAnswer &answer) {
        this->onAnswer(call, leader, answer);
    });
}

void CallerRelay::wait(const CallPointer &call)
{
    if (this->waiting.size() >= MostWaiting) {
        this->giveUp(call);
        return;
    }
    this->waiting.push_back(call);
    this->armTimer();
}

void CallerRelay::onAnswer(const CallPointer &call, const DaemonName &leader, const PeerAnswer &answer)
{
    auto relayed = answer.code == ResultCode::Ok ? decodeFleetMessage<RelayedAnswer>(answer.payload) : std::nullopt;
    if (relayed && relayed->outcome == RelayOutcome::Answered) {
        ++this->count.answered;
        this->count.callTime.record(steadyNow() - call->receivedAt);
        call->respond(responseOf(std::move(*relayed)));
        return;
    }
    const bool hasDoneNothing = relayed ? relayed->outcome == RelayOutcome::NotLeader : !answer.bytesSent;
    call->maySent = call->maySent || !hasDoneNothing;
    this->finder->doubt(leader);
    if (steadyNow() >= (call->maySent ? call->giveUpAt : call->refuseAt)) {
        this->giveUp(call);
        return;
    }
    this->wait(call);
}

void CallerRelay::onLeaderFound()
{
    const auto calls = std::exchange(this->waiting, {});
    for (const CallPointer &call : calls) {
        this->pass(call);
    }
}

void CallerRelay::armTimer()
{
    if (this->timerArmed) {
        return;
    }
    this->timerArmed = true;
    this->timer.expires_after(ExpireInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        this->timerArmed = false;
        if (!error) {
            this->expire();
        }
    });
}

void CallerRelay::expire()
{
    const TimePoint now = steadyNow();
    const auto calls = std::exchange(this->waiting, {});
    for (const CallPointer &call : calls) {
        // A call that a leader may have is not refused; the next leader is asked for as long as the caller waits.
        if (now >= (call->maySent ? call->giveUpAt : call->refuseAt)) {
            this->giveUp(call);
        } else {
            this->waiting.push_back(call);
        }
    }
    if (!this->waiting.empty()) {
        this->armTimer();
    }
}

void CallerRelay::giveUp(const CallPointer &call)
{
    CallAnswer answer;
    if (call->maySent) {
        ++this->count.unknown;
        answer.code = ResultCode::OutcomeUnknown;
        answer.message = "the scheduler did not answer in time; send the call again";
    } else {
        ++this->count.refused;
        answer.code = ResultCode::NoQuorum;
        answer.message = "no scheduler can be reached; nothing was run";
        answer.retryAfter = RetryAfterRefusal;
    }
    logLine(LogArea::Route,
            LogLevel::Info,
            "call_given_up",
            {{"code", resultCodeRow(answer.code).name}, {"waitedMs", (steadyNow() - call->receivedAt).ms}, {"maySent", call->maySent}});
    this->count.callTime.record(steadyNow() - call->receivedAt);
    call->respond(this->edge.writeAnswer(answer));
}

const CallerRelayCounters &CallerRelay::counters() const
{
    return this->count;
}

} // namespace Filbertlanding
