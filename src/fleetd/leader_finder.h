/** @file leader_finder.h Leader discovery for daemons that relay requests, and for cores whose own replica names no leader. */

#pragma once

#include "core/clock_type.h"
#include "core/handler_memory.h"
#include "fleetd/fleet_message.h"
#include "network/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Receives the answer of a daemon that was asked for the leader; nothing if none came in time. */
using LeaderInfoHandler = std::function<void(const std::optional<LeaderInfo> &info)>;

/** What a leader finder needs from its daemon. */
struct LeaderFinderHooks {
    std::function<void(const DaemonName &daemon, LeaderInfoHandler answered)> query; ///< Asks a daemon for the leader.
    std::function<std::set<DaemonName>()> peers; ///< Daemons to ask while no leader is known.
    std::function<void()> namesChanged; ///< Told when answers have named other daemons than before; see LeaderFinder::namedDaemons().
    std::function<bool()> isNeeded; ///< Whether the daemon needs a leader from the finder. While it does not, the finder asks nobody and knows none.
};

/** Asks a daemon over its peer link, with the time limit of the finder. */
void queryLeaderOver(PeerLinks &links, const DaemonName &daemon, LeaderInfoHandler answered);

/**
 * Periodically queries the daemons with a data folder for the current leader. A daemon that relays requests leaves the peer links to the finder;
 * a core maintains them itself.
 */
class LeaderFinder
{
public:
    LeaderFinder(boost::asio::io_context &loop, std::uint16_t port);
    LeaderFinder(const LeaderFinder &) = delete;
    LeaderFinder &operator=(const LeaderFinder &) = delete;

    /** Starts periodic queries to the daemons at these addresses, and maintains the peer links to them and to all that they name. */
    void start(PeerLinks &links, const std::vector<std::string> &addresses);

    /** Starts periodic queries through the hooks; the peer links are the daemon's. */
    void start(LeaderFinderHooks finderHooks);

    /** Replaces the configured contact addresses. Voters learned from the last leader are kept in addition. */
    void setContacts(const std::vector<std::string> &addresses);

    /** Clears the known leader if it is this daemon, which is no longer leader or does not respond, and queries all daemons immediately. */
    void invalidateLeader(const DaemonName &daemon);

    /** Returns the current leader, or an empty name if none is known. */
    const DaemonName &leader() const;

    /** Returns when the leader last confirmed its leadership. */
    TimePoint confirmedAt() const;

    /** Returns the leader if it has confirmed that it leads itself to a query of the last 1.5 s, otherwise an empty name. */
    DaemonName confirmedLeader() const;

    /** Returns the voters that the last leader has reported, and the leaders that others have reported since. */
    const std::set<DaemonName> &namedDaemons() const;

    void stop();

    std::function<void()> leaderFound; ///< Called when a new leader is found.

private:
    void queryLeader();
    void queryDaemon(const DaemonName &daemon);
    void onLeaderInfo(const DaemonName &daemon, const LeaderInfo &info, TimePoint sentAt);
    std::set<DaemonName> contactsAndVoters() const;
    void refreshPeers();
    void armTimer();

    std::uint16_t peerPort;
    PeerLinks *peers = nullptr; ///< Set if the finder maintains the peer links.
    LeaderFinderHooks hooks;
    boost::asio::steady_timer timer;
    std::shared_ptr<HandlerMemory> timerMemory = std::make_shared<HandlerMemory>();
    std::set<DaemonName> contacts; ///< Configured in the settings.
    std::set<DaemonName> voters; ///< Voters reported by the last leader, and leaders reported by followers.
    DaemonName currentLeader;
    std::chrono::milliseconds searchInterval{0}; ///< Interval of the next query while no leader is known.
    TimePoint lastConfirmedAt; ///< When the leader's last confirmation came.
    TimePoint lastConfirmedQueryAt; ///< When the query was sent to which that confirmation is the answer.
};

} // namespace Filbertlanding
