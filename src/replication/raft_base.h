/** @file raft_base.h State of one replica. Everything but the hard state, the log and the snapshot is lost on a restart. */

#pragma once

#include "core/random.h"
#include "replication/raft_type.h"

#include <deque>
#include <map>
#include <set>

namespace Filbertlanding {

/** What the leader knows of one other replica. */
struct RaftProgress {
    std::uint64_t match = 0; ///< Last entry known to be stored there.
    std::uint64_t next = 1; ///< Next entry to send.
    std::uint64_t ackedRound = 0; ///< Last quorum round that it answered.
    TimePoint lastAnswer; ///< Arrival of the last answer in this term.
    std::optional<TimePoint> notServingAt; ///< Arrival of the last NotServing in this term.
    std::optional<ReplicaReport> report; ///< Last report in this term.
    std::uint64_t snapshotIndex = 0; ///< Snapshot in transfer; 0 for none.
    std::uint64_t snapshotOffset = 0; ///< Bytes of it that were acknowledged.
};

/** A read that waits for its quorum round. */
struct RaftPendingRead {
    std::uint64_t token = 0;
    std::uint64_t round = 0; ///< Round that started after the call.
    std::uint64_t index = 0; ///< Commit index at the call, at least the first entry of the leader's term.
};

/** A membership and the entry that introduced it. */
struct RaftMembershipAt {
    std::uint64_t index = 0;
    Membership membership;
};

/** A replica that asked to join. */
struct RaftJoiner {
    std::uint64_t incarnation = 0;
    bool hasDisk = false;
};

/** A quorum round and its start, for the leader's lease. */
struct RaftRound {
    std::uint64_t round = 0;
    TimePoint startedAt;
};

/** State of one replica; changed only by the functions of raft_func.h. */
struct RaftState {
    RaftSettings settings;
    Random random;
    RaftRole role = RaftRole::Follower;
    std::uint64_t term = 0;
    std::optional<VoterId> votedFor;
    std::optional<VoterId> leader; ///< Leader of the current term, if known.

    std::uint64_t baseIndex = 0; ///< Last entry that was dropped from memory.
    std::uint64_t baseTerm = 0;
    std::deque<LogEntry> log; ///< Entries from baseIndex + 1.
    Snapshot snapshot; ///< Last snapshot taken or installed.
    std::vector<RaftMembershipAt> memberships; ///< In order of the index; the last one is in force, accepted or not.
    std::map<DaemonName, std::uint64_t> firstIncarnations; ///< For each daemon that the membership names: the lowest incarnation since it was admitted.
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0; ///< Last entry handed out for applying.
    std::uint64_t bytesSinceSnapshot = 0; ///< Payload bytes of the entries up to appliedIndex that the snapshot doesn't hold.
    bool installPending = false; ///< The snapshot must still be handed to the state machine.
    HardState persisted; ///< Hard state that was last handed out for persisting.

    bool isServing = true; ///< Whether this replica could carry out the duties of a leader now; otherwise others come first in an election.
    bool isElectable = true; ///< Whether this replica may stand for election and lead.
    TimePoint notServingDue; ///< Follower that isn't serving: next NotServing.
    TimePoint reportDue; ///< Next ReplicaReport to the leader.
    std::uint64_t reportedTerm = 0; ///< Term of the leader that got the last ReplicaReport.
    TimePoint electionDue; ///< Follower or candidate: next election.
    TimePoint voteDue; ///< Earliest time of a vote in an ordinary election: before, an action under this replica's last lease may be under way.
    std::optional<TimePoint> leaderContact; ///< Last message from the leader of the current term.
    std::set<VoterId> votes; ///< Promises or votes for this replica.
    TimePoint requestDue; ///< Next JoinRequest or FetchRequest.
    Snapshot incoming; ///< Snapshot in transfer to this replica.

    std::map<VoterId, RaftProgress> progress; ///< Leader: all other replicas.
    std::set<VoterId> replaced; ///< Leader: members that newer replicas replace, as of the last tick or answer of a joining replica.
    std::map<DaemonName, RaftJoiner> joinWaiting; ///< Leader: new incarnations that wait for their membership change.
    std::uint64_t termStart = 0; ///< Leader: index of the empty entry of its term.
    std::uint64_t round = 0; ///< Leader: last quorum round started.
    std::deque<RaftRound> openRounds; ///< Leader: rounds that no quorum has answered, in order.
    std::optional<TimePoint> answeredRoundStart; ///< Leader: start of the newest round that a quorum has answered.
    TimePoint heartbeatDue;
    std::vector<RaftPendingRead> reads;
    std::optional<TimePoint> transferDue; ///< Leader: deadline of the transfer of leadership that is under way.
    TimePoint leaderSince; ///< Leader: start of its term; running leases count from here.
};

} // namespace Filbertlanding
