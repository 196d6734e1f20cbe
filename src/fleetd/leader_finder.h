/** @file leader_finder.h Leader discovery for daemons that relay requests. */

#pragma once

#include "core/clock_type.h"
#include "fleetd/fleet_message.h"
#include "network/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Periodically queries the daemons with a data folder for the current leader, and maintains peer links to all of them. */
class LeaderFinder
{
public:
    LeaderFinder(boost::asio::io_context &loop, std::uint16_t port);
    LeaderFinder(const LeaderFinder &) = delete;
    LeaderFinder &operator=(const LeaderFinder &) = delete;

    /** Starts periodic queries to the daemons at these addresses. */
    void start(PeerLinks &links, const std::vector<std::string> &addresses);

    /** Replaces the configured contact addresses. Voters learned from the last leader are kept in addition. */
    void setContacts(const std::vector<std::string> &addresses);

    /** Clears the known leader if it is this daemon, which is no longer leader or does not respond, and queries all daemons immediately. */
    void invalidateLeader(const DaemonName &daemon);

    /** Returns the current leader, or an empty name if none is known. */
    const DaemonName &leader() const;

    /** Returns when the leader last confirmed its leadership. */
    TimePoint confirmedAt() const;

    void stop();

    std::function<void()> leaderFound; ///< Called when a new leader is found.

private:
    void queryLeader();
    void queryDaemon(const DaemonName &daemon);
    void onLeaderInfo(const DaemonName &daemon, const LeaderInfo &info);
    void refreshPeers();
    void armTimer();

    std::uint16_t peerPort;
    PeerLinks *peers = nullptr;
    boost::asio::steady_timer timer;
    std::set<DaemonName> contacts; ///< Configured in the settings.
    std::set<DaemonName> voters; ///< Voters reported by the last leader, and leaders reported by followers.
    DaemonName currentLeader;
    std::chrono::milliseconds searchInterval{0}; ///< Interval of the next query while no leader is known.
    TimePoint lastConfirmedAt;
};

} // namespace Filbertlanding
