/** @file leader_finder.h Keeps a relaying daemon informed of who leads. */

#pragma once

#include "core/clock_type.h"
#include "fleetd/fleet_message.h"
#include "network/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Asks the daemons with a disk again and again who leads, and keeps links to all of them. */
class LeaderFinder
{
public:
    LeaderFinder(boost::asio::io_context &loop, std::uint16_t port);
    LeaderFinder(const LeaderFinder &) = delete;
    LeaderFinder &operator=(const LeaderFinder &) = delete;

    /** Starts to ask. */
    void start(PeerLinks &links, const std::vector<std::string> &addresses);

    /** Takes addresses of daemons that may be running, in addition to those that were learned. */
    void setContacts(const std::vector<std::string> &addresses);

    /** Notes that a daemon does not lead or does not answer; the others are asked at once. */
    void invalidateLeader(const DaemonName &daemon);

    /** Returns the leader, or an empty name. */
    const DaemonName &leader() const;

    /** Returns when the leader last said that it leads. */
    TimePoint confirmedAt() const;

    void stop();

    std::function<void()> leaderFound; ///< Called when a leader has become known.

private:
    void queryLeader();
    void queryDaemon(const DaemonName &daemon);
    void onLeaderInfo(const DaemonName &daemon, const LeaderInfo &info);
    void refreshPeers();
    void armTimer();

    std::uint16_t peerPort;
    PeerLinks *peers = nullptr;
    boost::asio::steady_timer timer;
    std::set<DaemonName> contacts; ///< From the settings.
    std::set<DaemonName> voters; ///< As the last leader said.
    DaemonName currentLeader;
    TimePoint lastConfirmedAt;
};

} // namespace Filbertlanding
