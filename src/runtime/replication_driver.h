/** @file replication_driver.h Runs the replicated log on a thread of its own, so that a sync of the disk delays no request. */

#pragma once

#include "replication/raft_type.h"
#include "runtime/replica_health.h"
#include "storage/file_functions.h"
#include "storage/journal.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

constexpr std::uint64_t FirstIncarnation = 1; ///< Incarnation of every data folder at the first start of an installation.

/** How a replica runs. */
struct ReplicationConfig {
    RaftSettings raft; ///< Settings of the replica; the incarnation of its identity comes from the data folder.
    std::string dataFolder; ///< Folder of a voter; empty without a disk.
    bool votesAtOnce = false; ///< An empty data folder has lost nothing, because the installation starts for the first time.
    FileFunctions files = systemFiles(); ///< How the data folder is reached.
    Duration openRetryTime{3'000}; ///< Time for which start() tries again to open a data folder that is in use or whose disk refuses.
    Duration ownerTimeout{0}; ///< Silence of the owner after which the replica neither leads nor stands for election; 0 when the owner isn't watched.
    bool syncsCommitIndex = true; ///< Syncs a commit index that came without entries, so that a restarted voter without a quorum knows it.
};

/** State of the replicated log, for decisions and the status page. */
struct ReplicationStatus {
    RaftRole role = RaftRole::Follower; ///< Role of this replica.
    std::uint64_t term = 0; ///< Current term.
    DaemonName leader; ///< Leader of the term; empty when not known.
    std::uint64_t commitIndex = 0; ///< Last index known to be accepted.
    std::uint64_t lastIndex = 0; ///< Last index of the log.
    TimePoint leaderSince; ///< Start of this replica's leadership; meaningful for the leader only.
    Membership membership; ///< Who replicates the log.
    VoterId self; ///< Identity of this replica.
    bool hasSuccessor = false; ///< Leader: another voter that is serving has answered recently, so a transfer of leadership makes sense.
    bool isReplaced = false; ///< Leader: a newer replica replaces this one, so a transfer of leadership is due.
    bool isOwnerSilent = false; ///< The owner has not confirmed for the time of ReplicationConfig::ownerTimeout; an election has to do without this replica.
};

/** What the replication thread knows at one moment, for logs and metrics. */
struct ReplicationDetail {
    ReplicationStatus status;
    TimePoint at; ///< When this was read.
    std::optional<TimePoint> leaderContact; ///< Last message from the leader of the term; nothing on the leader itself.
    std::map<VoterId, TimePoint> heardAt; ///< Last message from each identity, a lost or removed one included.
    std::size_t openReads = 0; ///< Reads that wait for their quorum round.
};

/** Where a proposal stands in the log. */
struct ProposedEntry {
    ResultCode code = ResultCode::Ok; ///< Ok, or NotLeader.
    std::uint64_t index = 0; ///< Index of the entry.
    std::uint64_t term = 0; ///< Term of the entry; another term at this index means that the proposal was lost.
    DaemonName leaderHint; ///< Leader as far as known.
};

/** What the data folder held. */
struct ReplicationStart {
    ResultCode code = ResultCode::Ok; ///< Ok, DiskFailed, DataFolderInUse or DataDamaged.
    std::uint64_t incarnation = 0; ///< Incarnation of the data folder; 0 without a disk.
    bool isNew = false; ///< The data folder was missing, empty or damaged.
    std::string setAside; ///< Folder to which damaged data was moved; empty if there was none.
    std::vector<std::string> ledgerRecords; ///< Records of the ledger's journal.
    std::unique_ptr<Journal> ledger; ///< The ledger's journal; empty without a disk.
};

/** Outputs of the driver; all are called on the replication thread in the order in which things happened. */
struct ReplicationHooks {
    std::function<void(const DaemonName &to, const RaftMessage &message)> send; ///< Sends a message to another replica.
    std::function<void(Snapshot snapshot)> install; ///< Replaces the state machine's state.
    std::function<void(std::vector<LogEntry> entries)> apply; ///< Applies accepted entries.
    std::function<void(ReplicationStatus status)>
        statusChanged; ///< Role, term, leader, commit index, membership, hasSuccessor, isReplaced or isOwnerSilent has changed.
    std::function<void(std::uint64_t index)> snapshotWanted; ///< The state machine should hand over a snapshot of at least this index.
    std::function<void(std::int64_t microseconds)> synced; ///< Entries were written and synced in this time.
    /** The replica has stopped. After startInBackground() it is opened again, after start() the process has to stop. */
    std::function<void(ResultCode code)> failed;
    /** After startInBackground(): the replica was opened and begins anew from the data folder, or could not be opened, with another code than before. */
    std::function<void(const ReplicationStart &start)> opened;
};

/** The driver. Functions may be called from any thread; their work is done on the replication thread. */
class ReplicationDriver
{
public:
    ReplicationDriver();
    ~ReplicationDriver();
    ReplicationDriver(const ReplicationDriver &) = delete;
    ReplicationDriver &operator=(const ReplicationDriver &) = delete;

    /**
     * Opens the data folder and starts the thread. The hooks are called from then on.
     */
    ReplicationStart start(ReplicationConfig config, ReplicationHooks hooks);

    /**
     * Starts the thread, which opens the data folder and tries again for as long as that fails. A replica that fails later is stopped and opened
     * again in the same way, so that a fault of the disk lasts no longer than its cause.
     */
    void startInBackground(ReplicationConfig config, ReplicationHooks hooks);

    /** Stops the replica and opens it again, after startInBackground(): the owner cannot use its copy of the state. */
    void restart(ResultCode reason);

    /** Ends the thread. */
    void stop();

    /**
     * Ends the thread if it answers in time.
     * @return Whether it has ended. A thread that hangs in a call to the disk goes on; the process must then exit without destroying this object.
     */
    bool stop(Duration limit);

    /**
     * Returns whether the replica takes part.
     * @param longestSilence Time without an answer of the replication thread after which a running replica counts as silent.
     */
    ReplicaHealth health(Duration longestSilence) const;

    /** Returns until when no other leader can have been elected; the epoch of the clock when this replica does not lead. */
    TimePoint leaseEnd() const;

    /** Proposes an entry; the callback runs on the replication thread before the entry is applied. */
    void propose(std::string payload, std::function<void(ProposedEntry)> done);

    /** Asks for a commit index that a quorum has confirmed after this call; the callback runs on the replication thread. */
    void read(std::function<void(ReadReady)> done);

    /** Reads the state of the replica; the callback runs on the replication thread, and never if that ends before. */
    void inspect(std::function<void(ReplicationDetail)> done);

    /**
     * Hands over a message from another replica. Messages are dropped while too many bytes of them wait for the thread.
     * @param bytes Size of the message as it was received.
     */
    void receive(RaftMessage message, std::size_t bytes = 0);

    /** Hands over a snapshot of the state machine. */
    void snapshotTaken(std::uint64_t index, std::string state);

    /** Tells whether this daemon could carry out the duties of a leader now; at first it does. Others come first in an election while it doesn't. */
    void setServing(bool isServing);

    /**
     * Hands the leadership to another voter. The owner has ended its work as leader before: leaseEnd() is the epoch before the successor is
     * told, and no proposal is taken from now on. Does nothing on a replica that doesn't lead and on the only voter.
     */
    void transferLeadership();

    /** Tells which daemons the settings name now. */
    void setContacts(std::vector<DaemonName> contacts);

    /** Tells that the owner's event loop runs. Cheap; call it several times within ReplicationConfig::ownerTimeout. */
    void confirmOwnerAlive();

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace Filbertlanding
