/** @file raft_type.h Plain types of the replicated log: entries, membership, messages and actions. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "core/result_code.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace Filbertlanding {

/** Kind of a log entry. */
enum class EntryKind : std::uint8_t {
    Command, ///< A command of the state machine.
    Membership, ///< A new membership; the payload is its cereal form.
    Empty, ///< The entry with which each leader starts its term.
};

/** Returns the last enumerator, for checks of decoded numbers. */
constexpr EntryKind lastEnumerator(EntryKind)
{
    return EntryKind::Empty;
}

/** Role of a replica. */
enum class RaftRole : std::uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    Learner, ///< Replicates, but is no voter of the membership it knows.
};

/** One entry of the replicated log. */
struct LogEntry {
    std::uint64_t index = 0; ///< Position in the log, starting at 1.
    std::uint64_t term = 0; ///< Term of the leader that appended it.
    EntryKind kind = EntryKind::Empty;
    std::string payload;

    bool operator==(const LogEntry &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->term, this->kind, this->payload);
    }
};

/** Identity of a replica: a daemon together with the incarnation of its disk. */
struct VoterId {
    DaemonName daemon;
    std::uint64_t incarnation = 0; ///< Number of the data folder; 0 for a daemon without a disk.

    bool operator==(const VoterId &) const = default;

    bool operator<(const VoterId &other) const
    {
        return std::tie(this->daemon, this->incarnation) < std::tie(other.daemon, other.incarnation);
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->daemon, this->incarnation);
    }
};

/** Who replicates the log. */
struct Membership {
    std::vector<VoterId> voters; ///< Replicas that vote and count towards a majority.
    std::vector<VoterId> learners; ///< Replicas that only receive the log.
    std::vector<VoterId> joining; ///< New incarnations of voters: the leader catches them up, removes the lost identity and promotes them.

    bool operator==(const Membership &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->voters, this->learners, this->joining);
    }
};

/** The state that a voter syncs before it sends a message that depends on it. */
struct HardState {
    std::uint64_t term = 0;
    std::optional<VoterId> votedFor; ///< Candidate that got the vote of this term.
    std::uint64_t commit = 0; ///< Highest index known to be accepted; lets a restarted voter serve it before it finds a leader.

    bool operator==(const HardState &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->term, this->commit);
        archive(this->votedFor);
    }
};

/** State of the state machine after an entry. */
struct Snapshot {
    std::uint64_t index = 0; ///< Last entry that the snapshot contains; 0 for none.
    std::uint64_t term = 0; ///< Term of that entry.
    Membership membership; ///< Membership as of that entry.
    std::string state; ///< State machine in its own form.

    bool operator==(const Snapshot &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->term, this->membership, this->state);
    }
};

/** What a voter finds on its disk when it starts. */
struct PersistedState {
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> log; ///< Without gaps; may overlap the snapshot.

    bool operator==(const PersistedState &) const = default;
};

/** Asks for a vote, or for the promise of one (pre-vote). */
struct VoteRequest {
    bool preVote = false; ///< The message's term is then the one that the candidate would start.
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->lastIndex, this->lastTerm);
    }
};

/** Answer to VoteRequest. */
struct VoteAnswer {
    bool preVote = false;
    bool granted = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->preVote, this->granted);
    }
};

/** Entries from the leader; without entries a heartbeat. */
struct AppendRequest {
    std::uint64_t prevIndex = 0;
    std::uint64_t prevTerm = 0;
    std::vector<LogEntry> entries;
    std::uint64_t commit = 0; ///< Commit index of the leader.
    std::uint64_t round = 0; ///< Number of the quorum round, echoed in the answer.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->prevIndex, this->prevTerm, this->entries, this->commit, this->round);
    }
};

/** Answer to AppendRequest and to a finished SnapshotChunk. */
struct AppendAnswer {
    bool success = false;
    std::uint64_t index = 0; ///< On success the last matching entry, otherwise the last one that may match.
    std::uint64_t rejected = 0; ///< prevIndex of a rejected request.
    std::uint64_t round = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->success, this->index, this->rejected, this->round);
    }
};

/** A part of a snapshot. */
struct SnapshotChunk {
    std::uint64_t index = 0;
    std::uint64_t indexTerm = 0;
    Membership membership;
    std::uint64_t offset = 0; ///< Position of the data in the snapshot's state, in bytes.
    std::uint64_t total = 0; ///< Size of the snapshot's state, in bytes.
    std::string data;
    std::uint64_t round = 0;
    bool fetched = false; ///< Answer to FetchRequest: comes from any voter, its term counts for nothing.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->indexTerm, this->membership, this->offset, this->total, this->data, this->round, this->fetched);
    }
};

/** Answer to a SnapshotChunk that was not the last one. */
struct SnapshotAnswer {
    std::uint64_t index = 0;
    std::uint64_t offset = 0; ///< Bytes received without a gap.
    std::uint64_t round = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->offset, this->round);
    }
};

/** Sent by a replica without a leader that no membership may list; the leader ignores it where its membership lists the identity. */
struct JoinRequest {
    bool hasDisk = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->hasDisk);
    }
};

/** Asks a voter of the same availability zone for accepted entries, when no leader is heard. */
struct FetchRequest {
    std::uint64_t from = 0; ///< First index wanted.
    std::uint64_t snapshotIndex = 0; ///< Snapshot of which a part has arrived; 0 for none.
    std::uint64_t snapshotOffset = 0; ///< Bytes of it that have arrived.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->snapshotIndex, this->snapshotOffset);
    }
};

/** Accepted entries; the answer to FetchRequest. */
struct FetchAnswer {
    std::vector<LogEntry> entries;
    std::uint64_t prevTerm = 0; ///< Term of the entry before the first one.
    std::uint64_t from = 0; ///< The index that was asked for.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->entries, this->prevTerm, this->from);
    }
};

/** Tells the successor to stand for election at once; its sender was the leader of the message's term and has renounced its lease. */
struct TimeoutNow {
    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/** Asks for a vote in the term after that of a leader that has renounced its lease, so that a recent contact with that leader is no reason to refuse. */
struct TransferVoteRequest {
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->lastIndex, this->lastTerm);
    }
};

/** Sent to the leader beside the answers to it by a voter that could not carry out the duties of a leader now. */
struct NotServing {
    template<class Archive>
    void serialize(Archive &)
    {
    }
};

/** Sent to the leader at intervals by a replica with a disk: the contacts and the availability zone in its settings. */
struct ReplicaReport {
    std::vector<DaemonName> contacts; ///< As in RaftSettings.
    ZoneName availabilityZone; ///< As in RaftSettings.

    bool operator==(const ReplicaReport &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->contacts, this->availabilityZone);
    }
};

/** New kinds come last: an earlier version drops a message of a kind that it doesn't know. */
using RaftBody = std::variant<VoteRequest,
                              VoteAnswer,
                              AppendRequest,
                              AppendAnswer,
                              SnapshotChunk,
                              SnapshotAnswer,
                              JoinRequest,
                              FetchRequest,
                              FetchAnswer,
                              TimeoutNow,
                              TransferVoteRequest,
                              NotServing,
                              ReplicaReport>;

/** A message between replicas. */
struct RaftMessage {
    VoterId from;
    VoterId to; ///< Incarnation 0 in JoinRequest and FetchRequest addresses any incarnation.
    std::uint64_t term = 0;
    RaftBody body;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->to, this->term, this->body);
    }
};

/** A message and the daemon to send it to. */
struct RaftEnvelope {
    DaemonName to;
    RaftMessage message;
};

/** Answer to raftRead. */
struct ReadReady {
    std::uint64_t token = 0; ///< As given to raftRead.
    ResultCode code = ResultCode::Ok; ///< Ok, NotLeader, or NoQuorum when the leader lost its role before the round ended.
    std::uint64_t index = 0; ///< The state is current once this index is applied.
};

/** Why the leader changed the membership by itself. */
enum class MembershipReason : std::uint8_t {
    Joined, ///< A replica has asked for a place.
    DiskLost, ///< The daemon is back under a new incarnation.
    Silent, ///< The replica has not answered for too long.
    Replaced, ///< A newer replica of its availability zone votes in its place.
    SharedZone, ///< Its availability zone has another voter, and a replica of a zone without one votes.
    Promoted, ///< A caught-up replica votes.
};

/** Returns the last enumerator, for name tables. */
constexpr MembershipReason lastEnumerator(MembershipReason)
{
    return MembershipReason::Promoted;
}

/** A change of the membership that the leader has begun by itself. */
struct MembershipStep {
    VoterId replica; ///< Whom it concerns.
    MembershipReason reason = MembershipReason::Joined;
};

/** What the caller carries out, in the order of the members, before it calls again. */
struct RaftActions {
    std::optional<std::uint64_t> persistIncarnation; ///< New number of the data folder. Sync it before anything below.
    std::optional<HardState> persistHardState;
    std::optional<Snapshot>
        persistSnapshot; ///< Sync it before the log is changed. It replaces the log up to its index, and all of the log if that has another term at its index.
    std::optional<std::uint64_t> truncateFrom; ///< Remove this entry and all after it.
    std::vector<LogEntry> append; ///< Sync all of the above before anything below.
    std::vector<RaftEnvelope> send;
    std::optional<Snapshot> installSnapshot; ///< State machine: replace the state.
    std::vector<LogEntry> apply; ///< State machine: accepted entries in order.
    std::vector<ReadReady> reads;
    std::optional<MembershipStep> membershipStep; ///< For the log only.
};

/** Answer to a proposal. */
struct ProposeResult {
    ResultCode code = ResultCode::Ok; ///< Ok, NotLeader, MembershipBusy, or BadRequest for a change that is no single-server change.
    std::uint64_t index = 0; ///< The proposal is accepted if this entry is applied with this term.
    std::uint64_t term = 0;
    DaemonName leaderHint; ///< Leader as far as known; may be empty.
    RaftActions actions; ///< To be carried out whatever the code is.
};

/** Settings of one replica. */
struct RaftSettings {
    VoterId self;
    bool hasDisk = false; ///< Without a disk a replica never votes and persists nothing.
    Membership bootstrap; ///< Membership before the first entry; the same on all replicas.
    Duration electionTimeoutMin{1000};
    Duration electionTimeoutMax{2000};
    Duration heartbeatInterval{200};
    std::uint64_t snapshotEvery = 512; ///< Entries after which wantsSnapshot() asks for a snapshot.
    std::uint64_t snapshotEveryBytes = 33554432; ///< Payload bytes of entries after which wantsSnapshot() asks for a snapshot, however few they are.
    std::uint64_t seed = 0; ///< Seed of the election timeouts.
    std::vector<DaemonName> zoneVoters; ///< Voters of the own availability zone, for FetchRequest.
    std::vector<DaemonName> contacts; ///< Daemons that may know the leader, for a replica whose membership is out of date.
    ZoneName availabilityZone; ///< Zone of this replica; empty if not known.
    bool guardsLeaderLease = false; ///< A restarted voter elects nobody for the shortest election timeout, so that leaderLeaseEnd holds also then.
    bool admitsNewVoters = false; ///< A daemon with a disk that no membership names may join and becomes a voter; otherwise the bootstrap names all voters.
    std::size_t minVoters = 3; ///< Voters that are kept even if some are silent; only with admitsNewVoters.
    Duration voterSilence{
        4000}; ///< Silence after which a voter beyond minVoters or a joining replica is removed. A ready replica takes the place of a silent voter sooner.
    std::uint64_t maxBatchBytes = 262144; ///< Bound of the payload of one message; frames are bounded to 4 MiB.
};

} // namespace Filbertlanding
