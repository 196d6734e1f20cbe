/** @file raft.cpp Start, passage of time and dispatch of messages. */

#include "replication/raft_internal.h"

namespace Filbertlanding {

namespace {

    /** Share of snapshotEvery and snapshotEveryBytes that stays in memory after a snapshot, so that replicas that are a little behind need none. */
    constexpr std::uint64_t TrailingShare = 8;

    std::uint64_t payloadBytes(const RaftState &state, std::uint64_t index)
    {
        return state.log[index - state.baseIndex - 1].payload.size();
    }

    /** Returns the last entry that leaves the memory after a snapshot of an index. */
    std::uint64_t lastDropped(const RaftState &state, std::uint64_t snapshotIndex)
    {
        const std::uint64_t maxEntries = state.settings.snapshotEvery / TrailingShare;
        const std::uint64_t maxBytes = state.settings.snapshotEveryBytes / TrailingShare;
        std::uint64_t last = snapshotIndex;
        std::uint64_t bytes = 0;
        while (last > state.baseIndex && snapshotIndex - last < maxEntries) {
            bytes += payloadBytes(state, last);
            if (bytes > maxBytes) {
                break;
            }
            --last;
        }
        return last;
    }

    void takeLog(RaftState &state, std::vector<LogEntry> log)
    {
        for (auto &entry : log) {
            if (entry.index == state.baseIndex && entry.term != state.baseTerm) {
                // The crash came between the sync of a received snapshot and the removal of the log that it replaces.
                return;
            }
            if (entry.index != lastLogIndex(state) + 1) {
                continue;
            }
            RaftActions none;
            appendEntry(state, none, std::move(entry), TimePoint{});
        }
    }

    /**
     * Returns whether a message shows that the others know this daemon under a higher incarnation, that of a disk which it has lost: the
     * number of the new disk comes from a wall clock that has gone back since, and the others take a higher one only.
     */
    bool showsHigherIncarnation(const RaftState &state, const RaftMessage &message)
    {
        const VoterId &self = state.settings.self;
        const bool isEmpty = lastLogIndex(state) == 0 && !isMember(currentMembership(state), self);
        return state.settings.hasDisk && isEmpty && message.to.daemon == self.daemon && message.to.incarnation > self.incarnation;
    }

} // namespace

RaftStart raftStart(RaftSettings settings, PersistedState persisted, TimePoint now)
{
    RaftStart result;
    result.code = checkPersisted(persisted);
    if (result.code != ResultCode::Ok) {
        return result;
    }
    RaftState &state = result.state;
    state.settings = std::move(settings);
    state.random = Random{state.settings.seed};
    state.term = persisted.hardState.term;
    state.votedFor = persisted.hardState.votedFor;
    state.persisted = persisted.hardState;
    state.snapshot.membership = state.settings.bootstrap;
    if (persisted.snapshot) {
        state.snapshot = std::move(*persisted.snapshot);
        state.installPending = true;
    }
    state.baseIndex = state.snapshot.index;
    state.baseTerm = state.snapshot.term;
    state.memberships.push_back({state.snapshot.index, state.snapshot.membership});
    state.commitIndex = state.snapshot.index;
    state.appliedIndex = state.snapshot.index;
    membershipChanged(state, now);
    takeLog(state, std::move(persisted.log));
    commitUpTo(state, persisted.hardState.commit);
    resetElection(state, now);
    state.requestDue = now;
    if (state.settings.guardsLeaderLease && state.term > 0) {
        // A restarted voter may have answered a round just before, on which the leader's lease rests.
        state.leaderContact = now;
    }
    return result;
}

RaftActions raftTick(RaftState &state, TimePoint now)
{
    RaftActions actions;
    if (state.role == RaftRole::Leader) {
        leaderTick(state, actions, now);
    } else if (state.role == RaftRole::Learner) {
        learnerTick(state, actions, now);
    } else {
        electionTick(state, actions, now);
    }
    if (state.role != RaftRole::Leader) {
        askToJoin(state, actions, now);
    }
    finishActions(state, actions);
    return actions;
}

RaftActions raftReceive(RaftState &state, const RaftMessage &message, TimePoint now)
{
    RaftActions actions;
    if (isWellFormed(message) && showsHigherIncarnation(state, message)) {
        state.settings.self.incarnation = message.to.incarnation + 1;
        actions.persistIncarnation = state.settings.self.incarnation;
        return actions;
    }
    const bool anyIncarnation = std::holds_alternative<JoinRequest>(message.body) || std::holds_alternative<FetchRequest>(message.body);
    const bool addressed = message.to == state.settings.self || (anyIncarnation && message.to == VoterId{state.settings.self.daemon, 0});
    if (!addressed || message.from.daemon == state.settings.self.daemon || !isWellFormed(message)) {
        return actions;
    }
    struct Dispatch {
        RaftState &state;
        RaftActions &actions;
        const RaftMessage &message;
        TimePoint now;

        void operator()(const VoteRequest &body) const
        {
            receiveVoteRequest(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const VoteAnswer &body) const
        {
            receiveVoteAnswer(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const AppendRequest &body) const
        {
            receiveAppend(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const AppendAnswer &body) const
        {
            receiveAppendAnswer(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const SnapshotChunk &body) const
        {
            receiveChunk(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const SnapshotAnswer &body) const
        {
            receiveSnapshotAnswer(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const JoinRequest &body) const
        {
            receiveJoin(this->state, this->actions, this->message, body);
            maintainMembership(this->state, this->actions, this->now);
        }
        void operator()(const FetchRequest &body) const
        {
            receiveFetch(this->state, this->actions, this->message, body);
        }
        void operator()(const FetchAnswer &body) const
        {
            receiveFetchAnswer(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const TimeoutNow &) const
        {
            receiveTimeoutNow(this->state, this->actions, this->message, this->now);
        }
        void operator()(const TransferVoteRequest &body) const
        {
            receiveTransferVoteRequest(this->state, this->actions, this->message, body, this->now);
        }
        void operator()(const NotServing &) const
        {
            receiveNotServing(this->state, this->message, this->now);
        }
        void operator()(const ReplicaReport &body) const
        {
            receiveReport(this->state, this->message, body);
        }
    };
    std::visit(Dispatch{state, actions, message, now}, message.body);
    finishActions(state, actions);
    return actions;
}

ProposeResult raftPropose(RaftState &state, std::string payload, TimePoint now)
{
    ProposeResult result;
    if (state.transferDue) {
        // An entry that arrives now could delay the successor; the next leader is not known yet.
        result.code = ResultCode::NotLeader;
        return result;
    }
    result.leaderHint = leaderName(state);
    if (state.role != RaftRole::Leader) {
        result.code = ResultCode::NotLeader;
        return result;
    }
    result.index = lastLogIndex(state) + 1;
    result.term = state.term;
    appendEntry(state, result.actions, {result.index, result.term, EntryKind::Command, std::move(payload)}, now);
    startRound(state, result.actions, now);
    advanceCommit(state, result.actions, now);
    finishActions(state, result.actions);
    return result;
}

RaftActions raftSnapshotTaken(RaftState &state, std::uint64_t index, std::string snapshot, TimePoint)
{
    RaftActions actions;
    const auto term = entryTerm(state, index);
    if (index <= state.snapshot.index || index > state.appliedIndex || !term) {
        return actions;
    }
    std::size_t inForce = 0;
    while (inForce + 1 < state.memberships.size() && state.memberships[inForce + 1].index <= index) {
        ++inForce;
    }
    state.snapshot = {index, *term, state.memberships[inForce].membership, std::move(snapshot)};
    state.bytesSinceSnapshot = 0;
    for (std::uint64_t applied = index + 1; applied <= state.appliedIndex; ++applied) {
        state.bytesSinceSnapshot += payloadBytes(state, applied);
    }
    const std::uint64_t keepAfter = lastDropped(state, index);
    if (keepAfter > state.baseIndex) {
        dropEntries(state, keepAfter, *entryTerm(state, keepAfter));
    }
    state.memberships.erase(state.memberships.begin(), state.memberships.begin() + static_cast<std::ptrdiff_t>(inForce));
    if (state.settings.hasDisk) {
        actions.persistSnapshot = state.snapshot;
    }
    finishActions(state, actions);
    return actions;
}

bool wantsSnapshot(const RaftState &state)
{
    return state.appliedIndex >= state.snapshot.index + state.settings.snapshotEvery || state.bytesSinceSnapshot >= state.settings.snapshotEveryBytes;
}

const Membership &currentMembership(const RaftState &state)
{
    return state.memberships.back().membership;
}

DaemonName leaderName(const RaftState &state)
{
    return state.leader ? state.leader->daemon : DaemonName();
}

} // namespace Filbertlanding
