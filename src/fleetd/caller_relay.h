/** @file caller_relay.h Relays callers' calls to the leader, and refuses them when there is none. */

#pragma once

#include "fleetd/fleet_edge.h"
#include "fleetd/leader_finder.h"
#include "network/http_server.h"
#include "network/peer_link.h"
#include "runtime/histogram.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>

namespace Filbertlanding {

/** Counters of a relaying daemon. */
struct CallerRelayCounters {
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0; ///< Not run: no leader was found in time.
    std::uint64_t unknown = 0; ///< Passed on, without an answer in time.
    Histogram responseTime; ///< From a call's arrival to its answer.
};

/** Relay of one daemon. A call is known to the leader by the id of its job, so passing it on twice does no harm. */
class CallerRelay
{
public:
    CallerRelay(boost::asio::io_context &loop, const ProtocolAdapter &protocolAdapter);
    CallerRelay(const CallerRelay &) = delete;
    CallerRelay &operator=(const CallerRelay &) = delete;

    void start(PeerLinks &links, LeaderFinder &leaderFinder);

    /** Takes a call of a caller. */
    void handle(HttpRequest &&request, HttpRespond respond);

    /** Passes on what waits for a leader. */
    void onLeaderFound();

    const CallerRelayCounters &counters() const;

private:
    /** A call on its way. */
    struct Call {
        std::string payload;
        HttpRespond respond;
        TimePoint receivedAt;
        TimePoint refusalDeadline; ///< Refused by then if it has not been passed on.
        TimePoint outcomeDeadline; ///< Its outcome is called unknown by then.
        bool mayBeDelivered = false; ///< A leader may have it.
    };
    using RequestPointer = std::shared_ptr<Call>;

    void forward(const RequestPointer &call);
    void enqueue(const RequestPointer &call);
    void onAnswer(const RequestPointer &call, const DaemonName &leader, const PeerAnswer &answer);
    void expireWaiting();
    void failRequest(const RequestPointer &call);
    void armTimer();

    const ProtocolAdapter &adapter;
    PeerLinks *peers = nullptr;
    LeaderFinder *finder = nullptr;
    std::deque<RequestPointer> waiting; ///< Calls for which no leader is known.
    boost::asio::steady_timer timer;
    bool isTimerArmed = false;
    CallerRelayCounters relayCounters;
};

} // namespace Filbertlanding
