/** @file raft_read.cpp Reads of the commit index, confirmed by a quorum round (read index). */

#include "replication/raft_internal.h"

namespace Filbertlanding {

RaftActions raftRead(RaftState &state, std::uint64_t token, TimePoint now)
{
    RaftActions actions;
    if (state.role != RaftRole::Leader) {
        actions.reads.push_back({token, ResultCode::NotLeader, 0});
        return actions;
    }
    startRound(state, actions, now);
    state.reads.push_back({token, state.round, std::max(state.commitIndex, state.termStart)});
    answerReads(state, actions);
    finishActions(state, actions);
    return actions;
}

void answerReads(RaftState &state, RaftActions &actions)
{
    std::erase_if(state.reads, [&state, &actions](const RaftPendingRead &read) {
        const bool isConfirmed = isQuorum(state, [&state, &read](const VoterId &voter) {
            if (voter == state.settings.self) {
                return true;
            }
            const auto found = state.progress.find(voter);
            return found != state.progress.end() && found->second.ackedRound >= read.round;
        });
        // Before an entry of its own term is accepted, the leader may not know the newest accepted entries.
        if (!isConfirmed || state.commitIndex < read.index) {
            return false;
        }
        actions.reads.push_back({read.token, ResultCode::Ok, read.index});
        return true;
    });
}

} // namespace Filbertlanding
