/** @file raft_membership.cpp Membership in force, changes by operators, requests to join, and learners without a leader. */

#include "replication/raft_internal.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns how many voters of one list are missing in the other. */
    std::size_t countMissing(const std::vector<VoterId> &list, const std::vector<VoterId> &other)
    {
        std::size_t missing = 0;
        for (const auto &id : list) {
            missing += holdsId(other, id) ? 0 : 1;
        }
        return missing;
    }

    /** Members that have left are remembered up to this number, since one that was only silent comes back with the same disk. */
    constexpr std::size_t FormerMembers = 16;

    const MemberAdmission *findAdmission(const Membership &membership, const DaemonName &daemon)
    {
        const auto found = std::find_if(membership.admissions.begin(), membership.admissions.end(), [&daemon](const MemberAdmission &admission) {
            return admission.replica.daemon == daemon;
        });
        return found == membership.admissions.end() ? nullptr : &*found;
    }

    /** Returns the newest identity of each daemon that a membership names. */
    std::map<DaemonName, std::uint64_t> membersOf(const Membership &membership)
    {
        std::map<DaemonName, std::uint64_t> members;
        for (const auto *list : {&membership.voters, &membership.learners, &membership.joining}) {
            for (const auto &id : *list) {
                std::uint64_t &newest = members[id.daemon];
                newest = std::max(newest, id.incarnation);
            }
        }
        return members;
    }

    /** Returns the admission of a member, which the entry of the given index may bring or change. */
    MemberAdmission nextAdmission(const RaftState &state, const VoterId &replica, bool wasMember, std::uint64_t index)
    {
        const MemberAdmission *known = findAdmission(currentMembership(state), replica.daemon);
        const bool isBack = known != nullptr && known->replica == replica;
        MemberAdmission admission{replica, wasMember ? 0 : index, {}};
        if (known != nullptr && (wasMember || isBack)) {
            admission.index = known->index;
            admission.availabilityZone = known->availabilityZone;
        }
        const ZoneName zone = zoneOf(state, replica);
        if (!zone.empty()) {
            // The same address in another zone is a new host.
            const bool hasMoved = !admission.availabilityZone.empty() && admission.availabilityZone != zone;
            admission.index = hasMoved ? index : admission.index;
            admission.availabilityZone = zone;
        }
        return admission;
    }

    /** Appends the admissions of those that have left. */
    void addFormerMembers(std::vector<MemberAdmission> &admissions, const Membership &current, const Membership &next)
    {
        const auto before = membersOf(current);
        const auto after = membersOf(next);
        std::vector<MemberAdmission> former;
        for (const auto &admission : current.admissions) {
            if (!after.contains(admission.replica.daemon) && !before.contains(admission.replica.daemon)) {
                former.push_back(admission);
            }
        }
        for (const auto &[daemon, incarnation] : before) {
            if (!after.contains(daemon)) {
                const MemberAdmission *known = findAdmission(current, daemon);
                former.push_back(known != nullptr ? *known : MemberAdmission{{daemon, incarnation}});
            }
        }
        const std::size_t dropped = former.size() - std::min(former.size(), FormerMembers);
        admissions.insert(admissions.end(), former.begin() + static_cast<std::ptrdiff_t>(dropped), former.end());
    }

    bool isSingleServerChange(const Membership &from, const Membership &to)
    {
        return isWellFormed(to) && countMissing(from.voters, to.voters) + countMissing(to.voters, from.voters) <= 1;
    }

} // namespace

bool holdsId(const std::vector<VoterId> &list, const VoterId &id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

bool isMember(const Membership &membership, const VoterId &id)
{
    return holdsId(membership.voters, id) || holdsId(membership.learners, id) || holdsId(membership.joining, id);
}

void eraseDaemon(std::vector<VoterId> &list, const DaemonName &daemon)
{
    std::erase_if(list, [&daemon](const VoterId &id) {
        return id.daemon == daemon;
    });
}

const VoterId *findDaemon(const std::vector<VoterId> &list, const DaemonName &daemon)
{
    for (const auto &id : list) {
        if (id.daemon == daemon) {
            return &id;
        }
    }
    return nullptr;
}

bool mayChange(const RaftState &state)
{
    // The second condition closes the gap in the original rule for single-server changes (Ongaro, raft-dev, 2015).
    return state.role == RaftRole::Leader && !state.transferDue && state.memberships.back().index <= state.commitIndex && state.commitIndex >= state.termStart;
}

std::uint64_t admissionOf(const Membership &membership, const DaemonName &daemon)
{
    const MemberAdmission *admission = findAdmission(membership, daemon);
    return admission == nullptr ? 0 : admission->index;
}

std::vector<MemberAdmission> nextAdmissions(const RaftState &state, const Membership &next)
{
    std::vector<MemberAdmission> admissions;
    if (!state.settings.admitsNewVoters) {
        return admissions;
    }
    const Membership &current = currentMembership(state);
    const auto before = membersOf(current);
    for (const auto &[daemon, incarnation] : membersOf(next)) {
        MemberAdmission admission = nextAdmission(state, {daemon, incarnation}, before.contains(daemon), lastLogIndex(state) + 1);
        if (admission.index > 0 || !admission.availabilityZone.empty()) {
            admissions.push_back(std::move(admission));
        }
    }
    addFormerMembers(admissions, current, next);
    return admissions;
}

void appendMembership(RaftState &state, RaftActions &actions, Membership membership, TimePoint now)
{
    membership.admissions = nextAdmissions(state, membership);
    appendEntry(state, actions, {lastLogIndex(state) + 1, state.term, EntryKind::Membership, encodeMembership(membership)}, now);
    startRound(state, actions, now);
    advanceCommit(state, actions, now);
}

bool isAnswering(const RaftState &state, const VoterId &id, TimePoint now)
{
    const auto found = state.progress.find(id);
    return found != state.progress.end() && now - found->second.lastAnswer < state.settings.electionTimeoutMin;
}

bool isCaughtUp(const RaftState &state, const VoterId &id)
{
    const auto found = state.progress.find(id);
    return found != state.progress.end() && found->second.match >= state.commitIndex;
}

std::optional<Membership> withJoiner(const RaftState &state, const VoterId &joiner, bool hasDisk)
{
    const Membership &membership = currentMembership(state);
    const auto newest = newestIncarnation(membership, joiner.daemon);
    const bool isNewVoter = !newest && hasDisk && state.settings.admitsNewVoters;
    if (!isNewVoter && (!newest || *newest >= joiner.incarnation)) {
        return std::nullopt;
    }
    const bool isVoterDisk = isNewVoter || findDaemon(membership.voters, joiner.daemon) != nullptr || findDaemon(membership.joining, joiner.daemon) != nullptr;
    Membership next = membership;
    eraseDaemon(next.learners, joiner.daemon);
    eraseDaemon(next.joining, joiner.daemon);
    (isVoterDisk ? next.joining : next.learners).push_back(joiner);
    return next;
}

std::optional<std::uint64_t> newestIncarnation(const Membership &membership, const DaemonName &daemon)
{
    std::optional<std::uint64_t> newest;
    for (const auto *list : {&membership.voters, &membership.learners, &membership.joining}) {
        for (const auto &id : *list) {
            if (id.daemon == daemon) {
                newest = std::max(newest.value_or(0), id.incarnation);
            }
        }
    }
    return newest;
}

void membershipChanged(RaftState &state, TimePoint now)
{
    const Membership &membership = currentMembership(state);
    const bool isVoter = state.settings.hasDisk && holdsId(membership.voters, state.settings.self);
    if (isVoter) {
        state.role = nextRole(state.role, RaftRoleEvent::Promoted);
    } else if (state.role != RaftRole::Leader) {
        // A leader that removes itself leads until the change is accepted.
        state.role = nextRole(state.role, RaftRoleEvent::Removed);
    }
    if (state.role != RaftRole::Leader) {
        return;
    }
    std::erase_if(state.progress, [&membership](const auto &item) {
        return !isMember(membership, item.first);
    });
    for (const auto *list : {&membership.voters, &membership.learners, &membership.joining}) {
        for (const auto &id : *list) {
            if (id != state.settings.self && !state.progress.contains(id)) {
                state.progress[id] = {.next = lastLogIndex(state) + 1, .lastAnswer = now};
            }
        }
    }
}

ProposeResult raftChangeMembership(RaftState &state, const Membership &membership, TimePoint now)
{
    ProposeResult result;
    result.leaderHint = leaderName(state);
    if (state.role != RaftRole::Leader) {
        result.code = ResultCode::NotLeader;
        return result;
    }
    if (!isSingleServerChange(currentMembership(state), membership)) {
        result.code = ResultCode::BadRequest;
        return result;
    }
    bool isReady = mayChange(state);
    for (const auto &id : membership.voters) {
        // A voter that is not caught up would count towards the majority long before it can help to reach it.
        isReady = isReady && (holdsId(currentMembership(state).voters, id) || isCaughtUp(state, id));
    }
    if (!isReady) {
        result.code = ResultCode::MembershipBusy;
        return result;
    }
    result.index = lastLogIndex(state) + 1;
    result.term = state.term;
    appendMembership(state, result.actions, membership, now);
    finishActions(state, result.actions);
    return result;
}

void receiveJoin(RaftState &state, RaftActions &actions, const RaftMessage &message, const JoinRequest &request)
{
    if (state.role != RaftRole::Leader) {
        // A new daemon knows only a few others, none of which need be the leader.
        if (state.settings.admitsNewVoters && state.leader && state.leader->daemon != message.from.daemon) {
            actions.send.push_back({state.leader->daemon, {message.from, {state.leader->daemon, 0}, message.term, message.body}});
        }
        return;
    }
    const Membership &membership = currentMembership(state);
    const DaemonName &daemon = message.from.daemon;
    const bool needsDisk = findDaemon(membership.voters, daemon) != nullptr || findDaemon(membership.joining, daemon) != nullptr;
    if ((needsDisk && !request.hasDisk) || !withJoiner(state, message.from, request.hasDisk)) {
        return;
    }
    state.joinWaiting[daemon] = {message.from.incarnation, request.hasDisk};
}

bool isZoneVoter(const RaftState &state, const VoterId &id)
{
    const auto &voters = state.settings.zoneVoters;
    return std::find(voters.begin(), voters.end(), id.daemon) != voters.end();
}

void sendFetch(RaftState &state, RaftActions &actions)
{
    const auto &voters = state.settings.zoneVoters;
    if (voters.empty()) {
        return;
    }
    const DaemonName &voter = voters[state.random.below(voters.size())];
    const FetchRequest request{state.commitIndex + 1, state.incoming.index, state.incoming.state.size()};
    sendTo(state, actions, {voter, 0}, state.term, request);
}

/** Sends a join request to every voter that this replica knows of. */
void sendJoinRequests(RaftState &state, RaftActions &actions)
{
    std::set<DaemonName> names;
    for (const auto *list : {&currentMembership(state).voters, &currentMembership(state).joining}) {
        for (const auto &id : *list) {
            names.insert(id.daemon);
        }
    }
    names.insert(state.settings.contacts.begin(), state.settings.contacts.end());
    names.erase(state.settings.self.daemon);
    for (const auto &name : names) {
        sendTo(state, actions, {name, 0}, state.term, JoinRequest{state.settings.hasDisk});
    }
}

void learnerTick(RaftState &state, RaftActions &actions, TimePoint now)
{
    const bool hasLeader = state.leaderContact && now - *state.leaderContact < state.settings.electionTimeoutMax;
    if (hasLeader || now < state.requestDue) {
        return;
    }
    state.leader.reset();
    state.requestDue = now + state.settings.heartbeatInterval * 2;
    sendFetch(state, actions);
    // Also when the own membership names this replica: the entry may be lost, or a later one may have removed it.
    sendJoinRequests(state, actions);
}

void askToJoin(RaftState &state, RaftActions &actions, TimePoint now)
{
    const bool mayBeRemoved = state.settings.admitsNewVoters && state.settings.hasDisk && state.role != RaftRole::Learner;
    const bool hasLeader = state.leaderContact && now - *state.leaderContact < state.settings.electionTimeoutMax;
    if (!mayBeRemoved || hasLeader || now < state.requestDue) {
        return;
    }
    state.requestDue = now + state.settings.electionTimeoutMax;
    sendJoinRequests(state, actions);
}

void receiveFetch(RaftState &state, RaftActions &actions, const RaftMessage &message, const FetchRequest &request)
{
    if (!state.settings.hasDisk || request.from == 0 || request.from > state.commitIndex) {
        return;
    }
    if (request.from <= state.baseIndex) {
        SnapshotChunk chunk = snapshotPart(state, request.snapshotIndex == state.snapshot.index ? request.snapshotOffset : 0);
        chunk.fetched = true;
        sendTo(state, actions, message.from, state.term, std::move(chunk));
        return;
    }
    FetchAnswer answer;
    answer.from = request.from;
    answer.prevTerm = *entryTerm(state, request.from - 1);
    answer.entries = entriesBetween(state, request.from, state.commitIndex);
    sendTo(state, actions, message.from, state.term, std::move(answer));
}

void receiveFetchAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const FetchAnswer &answer, TimePoint now)
{
    const bool isNext = answer.from == state.commitIndex + 1 && entryTerm(state, state.commitIndex) == answer.prevTerm;
    if (state.role != RaftRole::Learner || !isZoneVoter(state, message.from) || !isNext || answer.entries.empty()) {
        return;
    }
    placeEntries(state, actions, answer.entries, now);
    commitUpTo(state, answer.entries.back().index);
    if (lastLogTerm(state) > state.term) {
        becomeFollower(state, actions, lastLogTerm(state), now);
    }
    sendFetch(state, actions);
}

} // namespace Filbertlanding
