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
    Histogram callTime; ///< From a call's arrival to its answer.
};

/** Relay of one daemon. A call is known to the leader by the id of its job, so passing it on twice does no harm. */
class CallerRelay
{
public:
    CallerRelay(boost::asio::io_context &loop, const FleetEdge &fleetEdge);
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
        TimePoint refuseAt; ///< Refused by then if it has not been passed on.
        TimePoint giveUpAt; ///< Its outcome is called unknown by then.
        bool maySent = false; ///< A leader may have it.
    };
    using CallPointer = std::shared_ptr<Call>;

    void pass(const CallPointer &call);
    void wait(const CallPointer &call);
    void onAnswer(const CallPointer &call, const DaemonName &leader, const PeerAnswer &answer);
    void expire();
    void giveUp(const CallPointer &call);
    void armTimer();

    const FleetEdge &edge;
    PeerLinks *peers = nullptr;
    LeaderFinder *finder = nullptr;
    std::deque<CallPointer> waiting; ///< Calls for which no leader is known.
    boost::asio::steady_timer timer;
    bool timerArmed = false;
    CallerRelayCounters count;
};

} // namespace Filbertlanding
