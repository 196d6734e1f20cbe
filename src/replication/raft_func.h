/**
 * @file raft_func.h Raft as a deterministic state machine (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
 * pre-vote, check-quorum and single-server membership changes after Ongaro's dissertation, 2014).
 * Every function returns actions that the caller carries out completely, in order, before it calls the next function.
 */

#pragma once

#include "replication/raft_base.h"

namespace Filbertlanding {

/** Returns the payload of a membership entry. */
std::string encodeMembership(const Membership &membership);

/** Returns the membership of an entry's payload; nothing when the payload is malformed. */
std::optional<Membership> decodeMembership(std::string_view payload);

/** A replica that was started. */
struct RaftStart {
    ResultCode code = ResultCode::Ok; ///< Ok or DataDamaged.
    RaftState state; ///< The replica, when the code is Ok.
};

/** Returns Ok, or DataDamaged when a membership that the disk holds is malformed; such a disk counts as lost. */
ResultCode checkPersisted(const PersistedState &persisted);

/** Starts a replica from what its disk holds; the first raftTick hands the accepted state to the state machine. */
RaftStart raftStart(RaftSettings settings, PersistedState persisted, TimePoint now);

/** Lets time pass: elections, heartbeats, resends, automatic membership changes. Call it at least every 50 ms. */
RaftActions raftTick(RaftState &state, TimePoint now);

/** Handles a message. Messages to another incarnation or from an unknown identity, and malformed ones, are dropped. */
RaftActions raftReceive(RaftState &state, const RaftMessage &message, TimePoint now);

/** Appends a command. The command is accepted once the entry with the returned index and term is applied. NotLeader also during a transfer of leadership. */
ProposeResult raftPropose(RaftState &state, std::string payload, TimePoint now);

/** Changes the membership by at most one voter; learners may change freely. MembershipBusy while another change is not yet accepted, or during a transfer. */
ProposeResult raftChangeMembership(RaftState &state, const Membership &membership, TimePoint now);

/** Asks for the commit index, answered in RaftActions::reads after a quorum round that starts after this call. */
RaftActions raftRead(RaftState &state, std::uint64_t token, TimePoint now);

/** Takes the state of the state machine after an applied entry as the new snapshot and drops older entries. */
RaftActions raftSnapshotTaken(RaftState &state, std::uint64_t index, std::string snapshot, TimePoint now);

/**
 * Tells whether this replica could carry out the duties of a leader now. It is a preference: a replica that isn't serving stands for election
 * after the others have had the time for it, and tells the leader, which prefers others as successor.
 */
RaftActions raftSetServing(RaftState &state, bool isServing, TimePoint now);

/**
 * Tells whether this replica may lead. One that may not steps down, unless it is the only voter (or until a change of the membership is accepted), and stands
 * for no election; its lease stays in force for the others, since an action under it may be under way.
 */
RaftActions raftSetElectable(RaftState &state, bool isElectable, TimePoint now);

/**
 * Begins to transfer the leadership to another voter, within the shortest election timeout; no action under the lease may follow the call.
 * Nothing happens on a replica that doesn't lead, on the only voter, and while a transfer is under way.
 */
RaftActions raftTransferLeadership(RaftState &state, TimePoint now);

/** Tells which daemons the settings name now. */
RaftActions raftSetContacts(RaftState &state, std::vector<DaemonName> contacts, TimePoint now);

/** Returns whether this replica leads, a newer one replaces it, and there are enough voters without it: a transfer of leadership is due. */
bool isReplacedLeader(const RaftState &state);

/** Returns whether this replica leads and another voter that is serving has answered recently. */
bool hasSuccessor(const RaftState &state, TimePoint now);

/** Returns whether snapshotEvery entries, or entries of snapshotEveryBytes, were applied since the last snapshot. */
bool wantsSnapshot(const RaftState &state);

/** Returns the membership in force on this replica. */
const Membership &currentMembership(const RaftState &state);

/** Returns the daemon that leads the current term, or an empty name. */
DaemonName leaderName(const RaftState &state);

/**
 * Returns until when no other leader can have been elected: voters that answered a round elect nobody for the shortest election timeout
 * after its start. The epoch of the clock for a replica that does not lead or has no answered round.
 */
TimePoint leaderLeaseEnd(const RaftState &state);

/** Returns the index of the last entry of the log. */
std::uint64_t lastLogIndex(const RaftState &state);

/** Returns the name of a reason, for logs. */
std::string_view membershipReasonName(MembershipReason reason);

/** Returns the name of a role, for logs and the status page. */
std::string_view roleName(RaftRole role);

} // namespace Filbertlanding
