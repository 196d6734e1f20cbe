/** @file leader_finder.cpp Leader discovery for daemons that relay requests, and for cores whose own replica names no leader. */

#include "fleetd/leader_finder.h"

#include "core/clock_func.h"
#include "runtime/log_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds ConfirmInterval{500}; ///< Interval at which the known leader is asked to confirm its leadership.
    constexpr std::chrono::milliseconds MinSearchInterval{20}; ///< First interval of the queries to all daemons after the loss of the leader; it doubles.
    constexpr std::chrono::milliseconds MaxSearchInterval{150}; ///< Longest interval of these queries.
    constexpr Duration QueryTimeout{600}; ///< Timeout of a query.
    constexpr Duration MaxConfirmationAge{1'500}; ///< A leader is named to others while its last confirmation is at most this old.

} // namespace

void queryLeaderOver(PeerLinks &links, const DaemonName &daemon, LeaderInfoHandler answered)
{
    const auto kind = static_cast<std::uint8_t>(FleetMessageKind::FindLeader);
    links.sendRequest(daemon, kind, {}, QueryTimeout, [answered = std::move(answered)](const PeerAnswer &answer) {
        answered(answer.code == ResultCode::Ok ? decodeFleetMessage<LeaderInfo>(answer.payload) : std::nullopt);
    });
}

LeaderFinder::LeaderFinder(boost::asio::io_context &loop, std::uint16_t port)
    : peerPort(port)
    , timer(loop)
{
}

void LeaderFinder::start(PeerLinks &links, const std::vector<std::string> &addresses)
{
    this->peers = &links;
    this->setContacts(addresses);
    LeaderFinderHooks own;
    own.query = [&links](const DaemonName &daemon, LeaderInfoHandler answered) {
        queryLeaderOver(links, daemon, std::move(answered));
    };
    own.peers = [this] {
        return this->contactsAndVoters();
    };
    own.namesChanged = [this] {
        this->refreshPeers();
    };
    own.isNeeded = [] {
        return true;
    };
    this->start(std::move(own));
}

void LeaderFinder::start(LeaderFinderHooks finderHooks)
{
    this->hooks = std::move(finderHooks);
    this->searchInterval = MaxSearchInterval;
    this->armTimer();
}

void LeaderFinder::setContacts(const std::vector<std::string> &addresses)
{
    this->contacts = {addresses.begin(), addresses.end()};
    this->refreshPeers();
}

std::set<DaemonName> LeaderFinder::contactsAndVoters() const
{
    std::set<DaemonName> all = this->contacts;
    all.insert(this->voters.begin(), this->voters.end());
    return all;
}

void LeaderFinder::refreshPeers()
{
    const std::set<DaemonName> all = this->contactsAndVoters();
    std::vector<PeerAddress> addresses;
    addresses.reserve(all.size());
    for (const DaemonName &daemon : all) {
        addresses.push_back({daemon, daemon, this->peerPort});
    }
    this->peers->setPeers(std::move(addresses));
}

void LeaderFinder::armTimer()
{
    this->timer.expires_after(this->currentLeader.empty() ? this->searchInterval : ConfirmInterval);
    this->searchInterval = std::min(this->searchInterval * 2, MaxSearchInterval);
    this->timer.async_wait(KeptHandler(this->timerMemory, [this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->armTimer(); // First, so that an exception in the queries ends this round only.
        this->queryLeader();
    }));
}

void LeaderFinder::queryLeader()
{
    if (!this->hooks.isNeeded()) {
        this->currentLeader.clear();
        return;
    }
    if (!this->currentLeader.empty()) {
        this->queryDaemon(this->currentLeader);
        return;
    }
    for (const DaemonName &daemon : this->hooks.peers()) {
        this->queryDaemon(daemon);
    }
}

void LeaderFinder::queryDaemon(const DaemonName &daemon)
{
    this->hooks.query(daemon, [this, daemon, sentAt = steadyNow()](const std::optional<LeaderInfo> &info) {
        if (info) {
            this->onLeaderInfo(daemon, *info, sentAt);
        } else if (daemon == this->currentLeader) {
            this->invalidateLeader(daemon);
        }
    });
}

void LeaderFinder::onLeaderInfo(const DaemonName &daemon, const LeaderInfo &info, TimePoint sentAt)
{
    if (!info.isSelf) {
        if (daemon == this->currentLeader) {
            this->invalidateLeader(daemon);
        }
        // The follower's leader need not be among the configured contacts.
        if (this->currentLeader.empty() && !info.leader.empty() && info.leader != daemon && !this->contacts.contains(info.leader)
            && this->voters.insert(info.leader).second) {
            this->hooks.namesChanged();
        }
        return;
    }
    const std::set<DaemonName> named(info.voters.begin(), info.voters.end());
    if (named != this->voters) {
        this->voters = named;
        this->hooks.namesChanged();
    }
    this->lastConfirmedAt = steadyNow();
    this->lastConfirmedQueryAt = sentAt;
    if (this->currentLeader != daemon) {
        this->currentLeader = daemon;
        logLine(LogArea::Peer, LogLevel::Info, "leader_found", {{"leader", daemon}});
        this->leaderFound();
    }
}

void LeaderFinder::invalidateLeader(const DaemonName &daemon)
{
    if (this->currentLeader != daemon) {
        return;
    }
    logLine(LogArea::Peer, LogLevel::Info, "leader_lost", {{"leader", daemon}});
    this->currentLeader.clear();
    this->searchInterval = MinSearchInterval;
    this->armTimer();
    this->queryLeader();
}

const DaemonName &LeaderFinder::leader() const
{
    return this->currentLeader;
}

TimePoint LeaderFinder::confirmedAt() const
{
    return this->lastConfirmedAt;
}

DaemonName LeaderFinder::confirmedLeader() const
{
    const bool isRecent = steadyNow() - this->lastConfirmedQueryAt < MaxConfirmationAge;
    return isRecent ? this->currentLeader : DaemonName();
}

const std::set<DaemonName> &LeaderFinder::namedDaemons() const
{
    return this->voters;
}

void LeaderFinder::stop()
{
    this->timer.cancel();
}

} // namespace Filbertlanding
