/** @file caller_relay.h Relays callers' requests to the leader, and refuses them if there is none. */

#pragma once

#include "fleetd/expire_timer.h"
#include "fleetd/leader_finder.h"
#include "fleetd/protocol_adapter.h"
#include "network/http_server.h"
#include "network/peer_link.h"
#include "runtime/histogram.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <memory>

namespace Filbertlanding {

/** Metrics of a relaying daemon. */
struct CallerRelayCounters {
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; ///< Not executed: no leader was found in time.
    std::uint64_t unknown = 0; ///< Forwarded, but without a response in time, or with one that may be wrong for an earlier delivery.
    Histogram responseTime; ///< From the arrival of a request to its response.
};

/** Forwards requests to the leader. Job ids make requests idempotent, so a request may be forwarded more than once. */
class CallerRelay
{
public:
    CallerRelay(boost::asio::io_context &loop, const ProtocolAdapter &protocolAdapter);
    CallerRelay(const CallerRelay &) = delete;
    CallerRelay &operator=(const CallerRelay &) = delete;

    void start(PeerLinks &links, LeaderFinder &leaderFinder);

    /** Accepts a request of a caller. */
    void handleRequest(HttpRequest &&request, HttpRespond respond);

    /** Forwards all requests that wait for a leader. */
    void onLeaderFound();

    const CallerRelayCounters &counters() const;

private:
    /** A request without a response so far. */
    struct PendingRequest {
        std::string payload;
        HttpRespond respond;
        TimePoint receivedAt;
        TimePoint refusalDeadline; ///< When the request is refused, unless a leader may have received it.
        TimePoint outcomeDeadline; ///< When the outcome is reported as unknown, if a leader may have received the request.
        bool isRead = false; ///< It changes nothing, so that a refusal is true whatever an earlier delivery did.
        bool mayBeDelivered = false; ///< A leader may have received the request.
    };
    using RequestPointer = std::shared_ptr<PendingRequest>;

    void forward(const RequestPointer &pending);
    void enqueue(const RequestPointer &pending);
    void onAnswer(const RequestPointer &pending, const DaemonName &leader, const PeerAnswer &answer);
    void expireWaiting();
    void failRequest(const RequestPointer &pending, const std::string &unknownMessage = "the scheduler did not respond in time; resend the request");

    const ProtocolAdapter &adapter;
    PeerLinks *peers = nullptr;
    LeaderFinder *finder = nullptr;
    std::deque<RequestPointer> waiting; ///< Requests waiting for a leader.
    ExpireTimer timer;
    CallerRelayCounters relayCounters;
};

} // namespace Filbertlanding
