/** @file raft_replaced.cpp Finds members that are about to go because newer replicas stand in for them, from the settings that replicas report. */

#include "replication/raft_internal.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    bool hasContact(const ReplicaReport &report, const DaemonName &daemon)
    {
        return std::find(report.contacts.begin(), report.contacts.end(), daemon) != report.contacts.end();
    }

    std::optional<ReplicaReport> reportOf(const RaftState &state, const VoterId &id)
    {
        if (id == state.settings.self) {
            return ReplicaReport{state.settings.contacts, state.settings.availabilityZone};
        }
        const auto found = state.progress.find(id);
        return found == state.progress.end() ? std::nullopt : found->second.report;
    }

    /** Returns the availability zone of a member; empty if it is not known. */
    ZoneName zoneOf(const RaftState &state, const VoterId &id)
    {
        const auto report = reportOf(state, id);
        return report ? report->availabilityZone : ZoneName();
    }

    /** Returns voters and joining replicas, the newest last: the number of a new disk comes from the time of day. */
    std::vector<VoterId> membersByAge(const Membership &membership)
    {
        std::vector<VoterId> members = membership.voters;
        members.insert(members.end(), membership.joining.begin(), membership.joining.end());
        std::stable_sort(members.begin(), members.end(), [](const VoterId &left, const VoterId &right) {
            return left.incarnation < right.incarnation;
        });
        return members;
    }

    /** Returns the only element of a list, or nothing. */
    std::optional<VoterId> onlyOne(const std::vector<VoterId> &list)
    {
        return list.size() == 1 ? std::optional(list.front()) : std::nullopt;
    }

    /**
     * Returns the member that a newcomer stands in for. Its contacts name it in place of that member; they may be out of date or name only a part of
     * all daemons, so that the zone decides which one is meant.
     */
    std::optional<VoterId> replacedBy(const RaftState &state, const VoterId &newcomer, const std::vector<VoterId> &older)
    {
        const auto report = reportOf(state, newcomer);
        if (!report) {
            return std::nullopt;
        }
        const bool isCurrent = hasContact(*report, newcomer.daemon);
        std::vector<VoterId> sameZone;
        std::vector<VoterId> unknownZone;
        for (const auto &member : older) {
            const bool isNamed = isCurrent && hasContact(*report, member.daemon);
            if (isNamed || member.incarnation >= newcomer.incarnation) {
                continue;
            }
            const ZoneName zone = zoneOf(state, member);
            if (zone.empty() || report->availabilityZone.empty()) {
                unknownZone.push_back(member);
            } else if (zone == report->availabilityZone) {
                sameZone.push_back(member);
            }
        }
        if (!sameZone.empty() || !isCurrent) {
            return onlyOne(sameZone);
        }
        return onlyOne(unknownZone);
    }

} // namespace

std::set<VoterId> findReplaced(const RaftState &state, TimePoint now)
{
    std::set<VoterId> replaced;
    if (!state.settings.admitsNewVoters) {
        return replaced;
    }
    std::vector<VoterId> older;
    for (const auto &member : membersByAge(currentMembership(state))) {
        const bool isThere = member == state.settings.self || isAnswering(state, member, now);
        if (const auto found = isThere ? replacedBy(state, member, older) : std::nullopt) {
            replaced.insert(*found);
            // One member is replaced once, so that the next newcomer stands in for another one.
            std::erase(older, VoterId(*found));
        }
        older.push_back(member);
    }
    return replaced;
}

void reportSettings(RaftState &state, RaftActions &actions, const VoterId &leader, TimePoint now)
{
    const bool isDue = now >= state.reportDue || state.reportedTerm != state.term;
    if (!state.settings.admitsNewVoters || !state.settings.hasDisk || !isDue) {
        return;
    }
    state.reportDue = now + state.settings.electionTimeoutMin;
    state.reportedTerm = state.term;
    sendTo(state, actions, leader, state.term, ReplicaReport{state.settings.contacts, state.settings.availabilityZone});
}

void receiveReport(RaftState &state, const RaftMessage &message, const ReplicaReport &report)
{
    const auto found = state.progress.find(message.from);
    if (state.role == RaftRole::Leader && message.term == state.term && found != state.progress.end()) {
        found->second.report = report;
    }
}

RaftActions raftSetContacts(RaftState &state, std::vector<DaemonName> contacts, TimePoint now)
{
    state.settings.contacts = std::move(contacts);
    state.reportDue = now;
    return {};
}

} // namespace Filbertlanding
