/** @file raft_election.cpp Elections with pre-vote, and those to which a leader that has stepped down calls its successor. */

#include "replication/raft_internal.h"

namespace Filbertlanding {

namespace {

    /** Delay, in units of the longest election timeout, by which a follower that isn't serving stands later than others. */
    constexpr std::int64_t NotServingDelay = 2;

    /** Returns whether a candidate's log holds at least what the own one does. */
    bool isUpToDate(const RaftState &state, std::uint64_t lastIndex, std::uint64_t lastTerm)
    {
        const std::uint64_t ownTerm = lastLogTerm(state);
        return lastTerm > ownTerm || (lastTerm == ownTerm && lastIndex >= lastLogIndex(state));
    }

    /** Returns whether this replica may vote for a candidate at all. */
    bool mayVoteFor(const RaftState &state, const VoterId &candidate)
    {
        const auto newest = newestIncarnation(currentMembership(state), candidate.daemon);
        const bool isOldIncarnation = newest && *newest > candidate.incarnation;
        // A replica with a disk votes also when its own log does not list it as voter yet; the candidate counts by its membership.
        return state.settings.hasDisk && !isOldIncarnation;
    }

    /** Returns whether a leader was heard so recently that an election would only disturb it. */
    bool hasLiveLeader(const RaftState &state, TimePoint now)
    {
        return state.role == RaftRole::Leader || (state.leaderContact && now - *state.leaderContact < state.settings.electionTimeoutMin);
    }

    void askForVotes(const RaftState &state, RaftActions &actions, std::uint64_t term, const RaftBody &request)
    {
        for (const auto &voter : currentMembership(state).voters) {
            if (voter != state.settings.self) {
                sendTo(state, actions, voter, term, request);
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
        state.replaced.clear();
        state.reads.clear();
        membershipChanged(state, now);
        // Entries of earlier terms are accepted only together with one of the own term (Raft, section 5.4.2).
        state.termStart = lastLogIndex(state) + 1;
        appendEntry(state, actions, {state.termStart, state.term, EntryKind::Empty, {}}, now);
        startRound(state, actions, now);
        advanceCommit(state, actions, now);
    }

    /** Starts the next term and asks for votes in it; the cause is a pre-vote that was won, or the offer of a leader that has stepped down. */
    void becomeCandidate(RaftState &state, RaftActions &actions, RaftRoleEvent cause, TimePoint now)
    {
        state.role = nextRole(state.role, cause);
        ++state.term;
        state.votedFor = state.settings.self;
        state.votes = {state.settings.self};
        resetElection(state, now);
        if (cause == RaftRoleEvent::LeadershipOffered) {
            askForVotes(state, actions, state.term, TransferVoteRequest{lastLogIndex(state), lastLogTerm(state)});
        } else {
            askForVotes(state, actions, state.term, VoteRequest{false, lastLogIndex(state), lastLogTerm(state)});
        }
        if (hasVotes(state)) {
            becomeLeader(state, actions, now);
        }
    }

    /** Moves to the term of a candidate if it is higher, and votes for it if all else allows. */
    void answerCandidate(RaftState &state, RaftActions &actions, const RaftMessage &message, bool isUpToDate, TimePoint now)
    {
        if (message.term > state.term) {
            becomeFollower(state, actions, message.term, now);
        }
        const bool isFree = !state.votedFor || *state.votedFor == message.from;
        const bool granted = message.term == state.term && isFree && isUpToDate;
        if (granted) {
            state.votedFor = message.from;
            resetElection(state, now);
        }
        sendTo(state, actions, message.from, state.term, VoteAnswer{false, granted});
    }

} // namespace

void resetElection(RaftState &state, TimePoint now)
{
    const Duration span = state.settings.electionTimeoutMax - state.settings.electionTimeoutMin;
    const auto extra = static_cast<std::int64_t>(state.random.below(static_cast<std::uint64_t>(span.ms) + 1));
    state.electionDue = now + state.settings.electionTimeoutMin + Duration{extra};
    if (state.role == RaftRole::Follower && !state.isServing) {
        state.electionDue = state.electionDue + state.settings.electionTimeoutMax * NotServingDelay;
    }
}

void becomeFollower(RaftState &state, RaftActions &actions, std::uint64_t term, TimePoint now)
{
    if (state.role == RaftRole::Leader) {
        // The owner may be between a check of the lease and an action under it.
        state.voteDue = leaderLeaseEnd(state);
    }
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
    state.transferDue.reset();
    state.role = nextRole(state.role, RaftRoleEvent::SteppedDown);
    membershipChanged(state, now);
    resetElection(state, now);
}

void electionTick(RaftState &state, RaftActions &actions, TimePoint now)
{
    if (now < state.electionDue) {
        return;
    }
    state.leader.reset();
    state.leaderContact.reset();
    if (!state.isElectable) {
        resetElection(state, now);
        return;
    }
    state.role = nextRole(state.role, RaftRoleEvent::ElectionTimeout);
    state.votes = {state.settings.self};
    resetElection(state, now);
    askForVotes(state, actions, state.term + 1, VoteRequest{true, lastLogIndex(state), lastLogTerm(state)});
    if (hasVotes(state)) {
        becomeCandidate(state, actions, RaftRoleEvent::PreVoteWon, now);
    }
}

void receiveVoteRequest(RaftState &state, RaftActions &actions, const RaftMessage &message, const VoteRequest &request, TimePoint now)
{
    if (!mayVoteFor(state, message.from) || hasLiveLeader(state, now) || now < state.voteDue) {
        return;
    }
    const bool holdsEnough = isUpToDate(state, request.lastIndex, request.lastTerm);
    if (request.preVote) {
        const bool granted = message.term > state.term && holdsEnough;
        sendTo(state, actions, message.from, granted ? message.term : state.term, VoteAnswer{true, granted});
        return;
    }
    answerCandidate(state, actions, message, holdsEnough, now);
}

void receiveTimeoutNow(RaftState &state, RaftActions &actions, const RaftMessage &message, TimePoint now)
{
    // One that is late says nothing about the leases of later leaders: only the next term may do without a pre-vote.
    const bool isFromLeader = message.term == state.term && state.leader == message.from;
    if (state.role != RaftRole::Follower || !state.isElectable || !isFromLeader) {
        return;
    }
    state.leader.reset();
    state.leaderContact.reset();
    becomeCandidate(state, actions, RaftRoleEvent::LeadershipOffered, now);
}

void receiveTransferVoteRequest(RaftState &state, RaftActions &actions, const RaftMessage &message, const TransferVoteRequest &request, TimePoint now)
{
    if (!mayVoteFor(state, message.from)) {
        return;
    }
    if (message.term <= state.term) {
        sendTo(state, actions, message.from, state.term, VoteAnswer{false, false});
        return;
    }
    // The leader of the term before has renounced its lease, and earlier ones had ended before that leader was elected.
    answerCandidate(state, actions, message, isUpToDate(state, request.lastIndex, request.lastTerm), now);
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
            becomeCandidate(state, actions, RaftRoleEvent::PreVoteWon, now);
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
