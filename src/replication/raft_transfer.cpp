/** @file raft_transfer.cpp Transfer of leadership (Ongaro's dissertation, 3.10), and who is eligible to lead. */

#include "replication/raft_internal.h"

namespace Filbertlanding {

namespace {

    bool hasAnsweredRecently(const RaftState &state, const RaftProgress &progress, TimePoint now)
    {
        return progress.ackedRound > 0 && now - progress.lastAnswer < state.settings.electionTimeoutMin;
    }

    /** Returns whether a replica has not said for a while that it isn't serving. */
    bool isServing(const RaftState &state, const RaftProgress &progress, TimePoint now)
    {
        return !progress.notServingAt || now - *progress.notServingAt >= state.settings.electionTimeoutMax;
    }

    /** Returns the voter with a recent answer that holds most of the log, or nothing. With mustStay only one that serves and is not being replaced counts. */
    std::optional<VoterId> mostAdvancedVoter(const RaftState &state, bool mustStay, TimePoint now)
    {
        std::optional<VoterId> best;
        std::uint64_t bestMatch = 0;
        for (const auto &voter : currentMembership(state).voters) {
            const auto found = state.progress.find(voter);
            if (found == state.progress.end() || !hasAnsweredRecently(state, found->second, now)) {
                continue;
            }
            const bool isSuitable = !mustStay || (isServing(state, found->second, now) && !state.replaced.contains(voter));
            if (isSuitable && (!best || found->second.match > bestMatch)) {
                best = voter;
                bestMatch = found->second.match;
            }
        }
        return best;
    }

    std::optional<VoterId> chooseSuccessor(const RaftState &state, TimePoint now)
    {
        const auto serving = mostAdvancedVoter(state, true, now);
        return serving ? serving : mostAdvancedVoter(state, false, now);
    }

    bool hasWholeLog(const RaftState &state, const std::optional<VoterId> &voter)
    {
        return voter && state.progress.at(*voter).match == lastLogIndex(state);
    }

    /** Steps down, which renounces the lease, and tells the successor, if there is one. */
    void endTransfer(RaftState &state, RaftActions &actions, const std::optional<VoterId> &successor, TimePoint now)
    {
        becomeFollower(state, actions, state.term, now);
        // The owner has ended its work, so nothing happens under the lease any more.
        state.voteDue = {};
        // Without a successor the others stand first.
        state.electionDue = state.electionDue + state.settings.electionTimeoutMax;
        if (successor) {
            sendTo(state, actions, *successor, state.term, TimeoutNow{});
        }
    }

    bool hasOtherVoter(const RaftState &state)
    {
        for (const auto &voter : currentMembership(state).voters) {
            if (voter != state.settings.self) {
                return true;
            }
        }
        return false;
    }

} // namespace

bool mayLead(const RaftState &state)
{
    // A voter whose addition is not accepted yet may not know that it is one.
    const bool isChanging = state.memberships.back().index > state.commitIndex;
    return state.isElectable || isChanging || !hasOtherVoter(state);
}

RaftActions raftSetServing(RaftState &state, bool isServing, TimePoint now)
{
    RaftActions actions;
    if (state.isServing == isServing) {
        return actions;
    }
    state.isServing = isServing;
    state.notServingDue = now;
    if (state.role == RaftRole::Follower) {
        resetElection(state, now);
    }
    return actions;
}

RaftActions raftSetElectable(RaftState &state, bool isElectable, TimePoint now)
{
    RaftActions actions;
    if (state.isElectable == isElectable) {
        return actions;
    }
    state.isElectable = isElectable;
    state.notServingDue = now;
    const bool isCandidate = state.role == RaftRole::PreCandidate || state.role == RaftRole::Candidate;
    const bool mustStepDown = state.role == RaftRole::Leader && !mayLead(state);
    if (mustStepDown || (!isElectable && isCandidate)) {
        becomeFollower(state, actions, state.term, now);
    }
    finishActions(state, actions);
    return actions;
}

RaftActions raftTransferLeadership(RaftState &state, TimePoint now)
{
    RaftActions actions;
    if (state.role != RaftRole::Leader || state.transferDue || !hasOtherVoter(state)) {
        return actions;
    }
    state.transferDue = now + state.settings.electionTimeoutMin;
    continueTransfer(state, actions, now);
    finishActions(state, actions);
    return actions;
}

void continueTransfer(RaftState &state, RaftActions &actions, TimePoint now)
{
    if (state.role != RaftRole::Leader || !state.transferDue) {
        return;
    }
    const auto preferred = chooseSuccessor(state, now);
    if (hasWholeLog(state, preferred)) {
        endTransfer(state, actions, preferred, now);
        return;
    }
    if (now < *state.transferDue) {
        return;
    }
    const auto complete = mostAdvancedVoter(state, false, now);
    endTransfer(state, actions, hasWholeLog(state, complete) ? complete : std::nullopt, now);
}

bool hasSuccessor(const RaftState &state, TimePoint now)
{
    return state.role == RaftRole::Leader && mostAdvancedVoter(state, true, now).has_value();
}

void reportNotServing(RaftState &state, RaftActions &actions, const VoterId &leader, TimePoint now)
{
    const bool isFit = state.isServing && state.isElectable;
    if (isFit || state.role != RaftRole::Follower || now < state.notServingDue) {
        return;
    }
    state.notServingDue = now + state.settings.heartbeatInterval / 2;
    sendTo(state, actions, leader, state.term, NotServing{});
}

void receiveNotServing(RaftState &state, const RaftMessage &message, TimePoint now)
{
    const auto found = state.progress.find(message.from);
    if (state.role == RaftRole::Leader && message.term == state.term && found != state.progress.end()) {
        found->second.notServingAt = now;
    }
}

} // namespace Filbertlanding
