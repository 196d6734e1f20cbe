/** @file raft_election.cpp Elections with pre-vote. */

#include "replication/raft_internal.h"

namespace Filbertlanding {

namespace {

    bool isUpToDate(const RaftState &state, const VoteRequest &request)
    {
        const std::uint64_t ownTerm = lastLogTerm(state);
        return request.lastTerm > ownTerm || (request.lastTerm == ownTerm && request.lastIndex >= lastLogIndex(state));
    }

    /** Returns whether a leader was heard so recently that an election would only disturb it. */
    bool hasLiveLeader(const RaftState &state, TimePoint now)
    {
        return state.role == RaftRole::Leader || (state.leaderContact && now - *state.leaderContact < state.settings.electionTimeoutMin);
    }

    void askForVotes(const RaftState &state, RaftActions &actions, bool preVote)
    {
        const std::uint64_t term = preVote ? state.term + 1 : state.term;
        for (const auto &voter : currentMembership(state).voters) {
            if (voter != state.settings.self) {
                sendTo(state, actions, voter, term, VoteRequest{preVote, lastLogIndex(state), lastLogTerm(state)});
            }
        }
    }

    bool hasVotes(const RaftState &state)
    {
        return isQuorum(state, [&state](const VoterId &voter) {
            return state.votes.contains(voter);
        });
    }

    void becomeLeader(RaftState &state, RaftActions &actions, TimePoint now)
    {
        state.role = nextRole(state.role, RaftRoleEvent::ElectionWon);
        state.leader = state.settings.self;
        state.leaderSince = now;
        state.progress.clear();
        state.openRounds.clear();
        state.answeredRoundStart.reset();
        state.joinWaiting.clear();
        state.reads.clear();
        membershipChanged(state, now);
        // Entries of earlier terms are accepted only together with one of the own term (Raft, section 5.4.2).
        state.termStart = lastLogIndex(state) + 1;
        appendEntry(state, actions, {state.termStart, state.term, EntryKind::Empty, {}}, now);
        startRound(state, actions, now);
        advanceCommit(state, actions, now);
    }

    void becomeCandidate(RaftState &state, RaftActions &actions, TimePoint now)
    {
        state.role = nextRole(state.role, RaftRoleEvent::PreVoteWon);
        ++state.term;
        state.votedFor = state.settings.self;
        state.votes = {state.settings.self};
        resetElection(state, now);
        askForVotes(state, actions, false);
        if (hasVotes(state)) {
            becomeLeader(state, actions, now);
        }
    }

} // namespace

void resetElection(RaftState &state, TimePoint now)
{
    const Duration span = state.settings.electionTimeoutMax - state.settings.electionTimeoutMin;
    const auto extra = static_cast<std::int64_t>(state.random.below(static_cast<std::uint64_t>(span.ms) + 1));
    state.electionDue = now + state.settings.electionTimeoutMin + Duration{extra};
}

void becomeFollower(RaftState &state, RaftActions &actions, std::uint64_t term, TimePoint now)
{
    if (term > state.term) {
        state.term = term;
        state.votedFor.reset();
    }
    state.leader.reset();
    state.leaderContact.reset();
    state.votes.clear();
    for (const auto &read : state.reads) {
        actions.reads.push_back({read.token, ResultCode::NoQuorum, 0});
    }
    state.reads.clear();
    state.progress.clear();
    state.role = nextRole(state.role, RaftRoleEvent::SteppedDown);
    membershipChanged(state, now);
    resetElection(state, now);
}

void electionTick(RaftState &state, RaftActions &actions, TimePoint now)
{
    if (now < state.electionDue) {
        return;
    }
    state.role = nextRole(state.role, RaftRoleEvent::ElectionTimeout);
    state.leader.reset();
    state.leaderContact.reset();
    state.votes = {state.settings.self};
    resetElection(state, now);
    askForVotes(state, actions, true);
    if (hasVotes(state)) {
        becomeCandidate(state, actions, now);
    }
}

void receiveVoteRequest(RaftState &state, RaftActions &actions, const RaftMessage &message, const VoteRequest &request, TimePoint now)
{
    const auto newest = newestIncarnation(currentMembership(state), message.from.daemon);
    const bool isOldIncarnation = newest && *newest > message.from.incarnation;
    // A replica with a disk votes also when its own log does not list it as voter yet; the candidate counts by its membership.
    if (!state.settings.hasDisk || isOldIncarnation || hasLiveLeader(state, now)) {
        return;
    }
    if (request.preVote) {
        const bool granted = message.term > state.term && isUpToDate(state, request);
        sendTo(state, actions, message.from, granted ? message.term : state.term, VoteAnswer{true, granted});
        return;
    }
    if (message.term > state.term) {
        becomeFollower(state, actions, message.term, now);
    }
    const bool isFree = !state.votedFor || *state.votedFor == message.from;
    const bool granted = message.term == state.term && isFree && isUpToDate(state, request);
    if (granted) {
        state.votedFor = message.from;
        resetElection(state, now);
    }
    sendTo(state, actions, message.from, state.term, VoteAnswer{false, granted});
}

void receiveVoteAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const VoteAnswer &answer, TimePoint now)
{
    if (state.role != RaftRole::PreCandidate && state.role != RaftRole::Candidate) {
        return;
    }
    if (!answer.granted) {
        if (message.term > state.term) {
            becomeFollower(state, actions, message.term, now);
        }
        return;
    }
    if (answer.preVote && state.role == RaftRole::PreCandidate && message.term == state.term + 1) {
        state.votes.insert(message.from);
        if (hasVotes(state)) {
            becomeCandidate(state, actions, now);
        }
        return;
    }
    if (!answer.preVote && state.role == RaftRole::Candidate && message.term == state.term) {
        state.votes.insert(message.from);
        if (hasVotes(state)) {
            becomeLeader(state, actions, now);
        }
    }
}

} // namespace Filbertlanding
