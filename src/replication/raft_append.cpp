/** @file raft_append.cpp Replication of entries, heartbeats and check-quorum. */

#include "replication/raft_internal.h"

namespace Filbertlanding {

namespace {

    /** Returns the last entry of a follower that may match, given that the one at prevIndex does not. */
    std::uint64_t matchHint(const RaftState &state, std::uint64_t prevIndex)
    {
        std::uint64_t hint = std::min(lastLogIndex(state), prevIndex - 1);
        const auto conflicting = entryTerm(state, prevIndex);
        // All entries of the conflicting term are skipped at once, which saves a round trip for each of them.
        while (conflicting && hint > state.commitIndex && entryTerm(state, hint) == conflicting) {
            --hint;
        }
        return std::max(hint, state.commitIndex);
    }

    bool hasRecentQuorum(const RaftState &state, TimePoint now)
    {
        return isQuorum(state, [&state, now](const VoterId &voter) {
            if (voter == state.settings.self) {
                return true;
            }
            const auto found = state.progress.find(voter);
            return found != state.progress.end() && now - found->second.lastAnswer < state.settings.electionTimeoutMax;
        });
    }

    /** Notes the newest round that a quorum has answered. */
    void takeAnsweredRounds(RaftState &state)
    {
        const auto isAnswered = [&state](std::uint64_t round) {
            return isQuorum(state, [&state, round](const VoterId &voter) {
                const auto found = state.progress.find(voter);
                return voter == state.settings.self || (found != state.progress.end() && found->second.ackedRound >= round);
            });
        };
        while (!state.openRounds.empty() && isAnswered(state.openRounds.front().round)) {
            state.answeredRoundStart = state.openRounds.front().startedAt;
            state.openRounds.pop_front();
        }
    }

} // namespace

TimePoint leaderLeaseEnd(const RaftState &state)
{
    if (state.role != RaftRole::Leader || !state.answeredRoundStart) {
        return {};
    }
    return *state.answeredRoundStart + state.settings.electionTimeoutMin - MaxClockDriftMargin;
}

void sendAppend(RaftState &state, RaftActions &actions, const VoterId &to, RaftProgress &progress)
{
    if (progress.next <= state.baseIndex) {
        if (progress.snapshotIndex != state.snapshot.index) {
            progress.snapshotIndex = state.snapshot.index;
            progress.snapshotOffset = 0;
        }
        SnapshotChunk chunk = snapshotPart(state, progress.snapshotOffset);
        chunk.round = state.round;
        sendTo(state, actions, to, state.term, std::move(chunk));
        return;
    }
    AppendRequest request;
    request.prevIndex = progress.next - 1;
    request.prevTerm = *entryTerm(state, request.prevIndex);
    request.entries = entriesBetween(state, progress.next, lastLogIndex(state));
    request.commit = state.commitIndex;
    request.round = state.round;
    progress.next += request.entries.size();
    sendTo(state, actions, to, state.term, std::move(request));
}

void startRound(RaftState &state, RaftActions &actions, TimePoint now)
{
    ++state.round;
    state.openRounds.push_back({state.round, now});
    takeAnsweredRounds(state);
    state.heartbeatDue = now + state.settings.heartbeatInterval;
    for (auto &[id, progress] : state.progress) {
        sendAppend(state, actions, id, progress);
    }
}

void leaderTick(RaftState &state, RaftActions &actions, TimePoint now)
{
    if (!hasRecentQuorum(state, now) || !mayLead(state)) {
        becomeFollower(state, actions, state.term, now);
        return;
    }
    continueTransfer(state, actions, now);
    maintainMembership(state, actions, now);
    if (state.role == RaftRole::Leader && now >= state.heartbeatDue) {
        startRound(state, actions, now);
    }
}

void advanceCommit(RaftState &state, RaftActions &actions, TimePoint now)
{
    std::uint64_t candidate = lastLogIndex(state);
    const auto isStored = [&state, &candidate](const VoterId &voter) {
        if (voter == state.settings.self) {
            return true;
        }
        const auto found = state.progress.find(voter);
        return found != state.progress.end() && found->second.match >= candidate;
    };
    while (candidate > state.commitIndex && !isQuorum(state, isStored)) {
        --candidate;
    }
    if (candidate <= state.commitIndex || entryTerm(state, candidate) != state.term) {
        answerReads(state, actions);
        return;
    }
    commitUpTo(state, candidate);
    answerReads(state, actions);
    startRound(state, actions, now);
    const bool isAccepted = state.memberships.back().index <= state.commitIndex;
    if (isAccepted && !holdsId(currentMembership(state).voters, state.settings.self)) {
        becomeFollower(state, actions, state.term, now);
    }
}

bool acceptLeader(RaftState &state, RaftActions &actions, const RaftMessage &message, TimePoint now)
{
    if (message.term < state.term) {
        // The answer carries the higher term, so that a leader that was isolated steps down.
        sendTo(state, actions, message.from, state.term, AppendAnswer{});
        return false;
    }
    if (message.term > state.term || state.role == RaftRole::PreCandidate || state.role == RaftRole::Candidate) {
        becomeFollower(state, actions, message.term, now);
    }
    if (state.role == RaftRole::Leader) {
        return false;
    }
    state.leader = message.from;
    state.leaderContact = now;
    resetElection(state, now);
    // It goes before the answer, so that the leader doesn't take this replica for a successor in between.
    reportNotServing(state, actions, message.from, now);
    reportSettings(state, actions, message.from, now);
    return true;
}

void placeEntries(RaftState &state, RaftActions &actions, const std::vector<LogEntry> &entries, TimePoint now)
{
    for (const auto &entry : entries) {
        if (entry.index <= state.commitIndex || entryTerm(state, entry.index) == entry.term) {
            continue;
        }
        truncateLog(state, actions, entry.index, now);
        if (entry.index != lastLogIndex(state) + 1) {
            return;
        }
        appendEntry(state, actions, entry, now);
    }
}

void receiveAppend(RaftState &state, RaftActions &actions, const RaftMessage &message, const AppendRequest &request, TimePoint now)
{
    if (!acceptLeader(state, actions, message, now)) {
        return;
    }
    // Entries up to the commit index are the same on all replicas, so they need no comparison.
    const bool matches = request.prevIndex <= state.commitIndex || entryTerm(state, request.prevIndex) == request.prevTerm;
    if (!matches) {
        sendTo(state, actions, message.from, state.term, AppendAnswer{false, matchHint(state, request.prevIndex), request.prevIndex, request.round});
        return;
    }
    placeEntries(state, actions, request.entries, now);
    const std::uint64_t match = std::min(request.prevIndex + request.entries.size(), lastLogIndex(state));
    commitUpTo(state, std::min(request.commit, match));
    sendTo(state, actions, message.from, state.term, AppendAnswer{true, match, 0, request.round});
}

RaftProgress *noteAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, std::uint64_t round, TimePoint now)
{
    const auto found = state.progress.find(message.from);
    if (state.role != RaftRole::Leader || found == state.progress.end() || message.term < state.term) {
        return nullptr;
    }
    if (message.term > state.term) {
        becomeFollower(state, actions, message.term, now);
        return nullptr;
    }
    if (round > state.round) {
        // No answer to a round that was not started; it would answer reads too early.
        return nullptr;
    }
    found->second.lastAnswer = now;
    found->second.ackedRound = std::max(found->second.ackedRound, round);
    takeAnsweredRounds(state);
    return &found->second;
}

void receiveAppendAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const AppendAnswer &answer, TimePoint now)
{
    RaftProgress *progress = noteAnswer(state, actions, message, answer.round, now);
    if (progress == nullptr || (answer.success && answer.index > lastLogIndex(state))) {
        return;
    }
    if (!answer.success) {
        const bool isVoter = holdsId(currentMembership(state).voters, message.from);
        if (!isVoter) {
            // A learner without a disk forgets its log when it restarts.
            progress->match = std::min(progress->match, answer.index);
        }
        const std::uint64_t hint = std::min(answer.index, lastLogIndex(state)) + 1;
        progress->next = std::max(progress->match + 1, std::min(answer.rejected, hint));
        sendAppend(state, actions, message.from, *progress);
        answerReads(state, actions);
        return;
    }
    progress->snapshotIndex = 0;
    progress->match = std::max(progress->match, answer.index);
    progress->next = std::max(progress->next, progress->match + 1);
    const std::uint64_t committed = state.commitIndex;
    advanceCommit(state, actions, now);
    if (state.role == RaftRole::Leader && state.commitIndex == committed && progress->next <= lastLogIndex(state)) {
        sendAppend(state, actions, message.from, *progress);
    }
    continueTransfer(state, actions, now);
    if (holdsId(currentMembership(state).joining, message.from)) {
        // While entries keep coming a joining replica holds all that is accepted only for a moment after its answer.
        maintainMembership(state, actions, now);
    }
}

} // namespace Filbertlanding
