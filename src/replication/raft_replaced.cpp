/** @file raft_replaced.cpp Finds members that newer replicas replace, from the settings that replicas report. */

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

    std::uint64_t admissionOf(const RaftState &state, const VoterId &id)
    {
        return Filbertlanding::admissionOf(currentMembership(state), id.daemon);
    }

    /** Returns voters and joining replicas, the newest host last. */
    std::vector<VoterId> membersByAge(const RaftState &state)
    {
        const Membership &membership = currentMembership(state);
        std::vector<VoterId> members = membership.voters;
        members.insert(members.end(), membership.joining.begin(), membership.joining.end());
        std::stable_sort(members.begin(), members.end(), [&state](const VoterId &left, const VoterId &right) {
            return admissionOf(state, left) < admissionOf(state, right);
        });
        return members;
    }

    /**
     * Returns the member that a newcomer replaces: the only older one of its zone that its contacts don't name. Contacts that don't name the
     * newcomer either are older than it, so all members of its zone count. Only members that have reported in this term are known well enough.
     */
    std::optional<VoterId> replacedBy(const RaftState &state, const VoterId &newcomer, const std::vector<VoterId> &older)
    {
        const auto report = reportOf(state, newcomer);
        if (!report) {
            return std::nullopt;
        }
        const bool isCurrent = hasContact(*report, newcomer.daemon);
        if (!isCurrent && report->availabilityZone.empty()) {
            return std::nullopt;
        }
        std::vector<VoterId> candidates;
        for (const auto &member : older) {
            const auto known = reportOf(state, member);
            const bool isSameZone = known && known->availabilityZone == report->availabilityZone;
            const bool isNamed = isCurrent && hasContact(*report, member.daemon);
            if (isSameZone && !isNamed && admissionOf(state, member) < admissionOf(state, newcomer)) {
                candidates.push_back(member);
            }
        }
        return candidates.size() == 1 ? std::optional(candidates.front()) : std::nullopt;
    }

} // namespace

ZoneName zoneOf(const RaftState &state, const VoterId &id)
{
    const auto report = reportOf(state, id);
    return report ? report->availabilityZone : ZoneName();
}

std::set<VoterId> findReplaced(const RaftState &state, TimePoint now)
{
    std::set<VoterId> replaced;
    if (!state.settings.admitsNewVoters) {
        return replaced;
    }
    std::vector<VoterId> older;
    for (const auto &member : membersByAge(state)) {
        const bool isAnsweringMember = member == state.settings.self || isAnswering(state, member, now);
        if (const auto found = isAnsweringMember ? replacedBy(state, member, older) : std::nullopt) {
            replaced.insert(*found);
            // One member is replaced once, so that the next newcomer replaces another one.
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
