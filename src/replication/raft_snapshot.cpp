/** @file raft_snapshot.cpp Transfer of snapshots in parts, from the leader or, for a learner without a leader, from a voter of its zone. */

#include "replication/raft_internal.h"

namespace Filbertlanding {

namespace {

    void installIncoming(RaftState &state, RaftActions &actions, TimePoint now)
    {
        Snapshot received = std::move(state.incoming);
        state.incoming = {};
        if (entryTerm(state, received.index) == received.term) {
            // The log holds everything that the snapshot holds, so applying is enough.
            commitUpTo(state, received.index);
            return;
        }
        state.log.clear();
        state.baseIndex = received.index;
        state.baseTerm = received.term;
        state.memberships = {{received.index, received.membership}};
        state.commitIndex = received.index;
        state.appliedIndex = received.index;
        state.bytesSinceSnapshot = 0;
        state.installPending = true;
        state.snapshot = std::move(received);
        if (state.settings.hasDisk) {
            actions.persistSnapshot = state.snapshot;
        }
        membershipChanged(state, now);
    }

    /** Adds a part; returns whether the snapshot is complete. */
    bool takePart(RaftState &state, const SnapshotChunk &chunk)
    {
        const bool isSame = state.incoming.index == chunk.index && state.incoming.term == chunk.indexTerm;
        if (!isSame || chunk.offset == 0) {
            state.incoming = {chunk.index, chunk.indexTerm, chunk.membership, {}};
        }
        if (chunk.offset == state.incoming.state.size()) {
            state.incoming.state += chunk.data;
        }
        return state.incoming.state.size() >= chunk.total;
    }

} // namespace

SnapshotChunk snapshotPart(const RaftState &state, std::uint64_t offset)
{
    SnapshotChunk chunk;
    chunk.index = state.snapshot.index;
    chunk.indexTerm = state.snapshot.term;
    chunk.membership = state.snapshot.membership;
    chunk.total = state.snapshot.state.size();
    chunk.offset = std::min(offset, chunk.total);
    chunk.data = state.snapshot.state.substr(chunk.offset, state.settings.maxBatchBytes);
    return chunk;
}

void receiveChunk(RaftState &state, RaftActions &actions, const RaftMessage &message, const SnapshotChunk &chunk, TimePoint now)
{
    if (chunk.fetched) {
        if (state.role == RaftRole::Learner && isZoneVoter(state, message.from) && chunk.index > state.commitIndex) {
            if (takePart(state, chunk)) {
                installIncoming(state, actions, now);
            }
            sendFetch(state, actions);
        }
        return;
    }
    if (!acceptLeader(state, actions, message, now)) {
        return;
    }
    if (chunk.index > state.commitIndex) {
        if (!takePart(state, chunk)) {
            sendTo(state, actions, message.from, state.term, SnapshotAnswer{chunk.index, state.incoming.state.size(), chunk.round});
            return;
        }
        installIncoming(state, actions, now);
    }
    sendTo(state, actions, message.from, state.term, AppendAnswer{true, chunk.index, 0, chunk.round});
}

void receiveSnapshotAnswer(RaftState &state, RaftActions &actions, const RaftMessage &message, const SnapshotAnswer &answer, TimePoint now)
{
    RaftProgress *progress = noteAnswer(state, actions, message, answer.round, now);
    if (progress == nullptr) {
        return;
    }
    answerReads(state, actions);
    if (answer.index != progress->snapshotIndex || answer.index != state.snapshot.index || answer.offset == progress->snapshotOffset) {
        return;
    }
    // A smaller offset means that the replica restarted and has lost the parts that it had.
    progress->snapshotOffset = answer.offset;
    sendAppend(state, actions, message.from, *progress);
}

} // namespace Filbertlanding
