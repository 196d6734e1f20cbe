/** @file fleet_peers.cpp Selection of the daemons to which a daemon maintains peer links. */

#include "fleetd/fleet_peers.h"

namespace Filbertlanding {

namespace {

    constexpr Duration SenderMemory{10'000}; ///< Several elections.
    constexpr std::size_t MaxSenders = 64; ///< Bounds the links to daemons that are no members.

} // namespace

std::set<DaemonName> requiredPeers(const Membership &membership, const DaemonName &leader, const std::vector<DaemonName> &contacts)
{
    std::set<DaemonName> peers(contacts.begin(), contacts.end());
    for (const auto *list : {&membership.voters, &membership.joining, &membership.learners}) {
        for (const VoterId &id : *list) {
            peers.insert(id.daemon);
        }
    }
    if (!leader.empty()) {
        peers.insert(leader);
    }
    return peers;
}

bool RecentSenders::note(const DaemonName &daemon, TimePoint now)
{
    const auto found = this->lastMessages.find(daemon);
    if (found != this->lastMessages.end() && now - found->second < SenderMemory) {
        found->second = now;
        return false;
    }
    std::erase_if(this->lastMessages, [now](const auto &item) {
        return now - item.second >= SenderMemory;
    });
    return this->lastMessages.size() < MaxSenders && this->lastMessages.emplace(daemon, now).second;
}

std::vector<DaemonName> RecentSenders::names(TimePoint now) const
{
    std::vector<DaemonName> senders;
    for (const auto &[daemon, at] : this->lastMessages) {
        if (now - at < SenderMemory) {
            senders.push_back(daemon);
        }
    }
    return senders;
}

} // namespace Filbertlanding
