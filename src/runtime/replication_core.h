/** @file replication_core.h State of the replication thread; for the files of the driver only. */

#pragma once

#include "core/clock_func.h"
#include "core/handler_memory.h"
#include "runtime/owner_watch.h"
#include "runtime/replica_opening.h"
#include "runtime/replication_driver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Filbertlanding {

namespace asio = boost::asio;

/** Returns whether the reason for which a data folder could not be opened often passes without help. */
bool mayPass(ResultCode code);

/** Returns what the next attempt has to know: a sync that has failed while the folder was opened leaves pages that a later sync doesn't write, too. */
std::optional<EarlierFailure> afterAttempt(ResultCode code, const std::optional<EarlierFailure> &failure);

constexpr Duration OpenRetryInterval{200}; ///< Interval of the attempts to open a data folder that is in use or whose disk refuses.

/** The replica and what runs it. Functions are called on the replication thread, unless the thread has not started. */
struct ReplicationDriver::Core {
    std::atomic<std::size_t> waitingBytes{0}; ///< Size of the messages that wait for the thread; outlives their handlers.
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(this->context)};
    asio::steady_timer timer{this->context};
    std::shared_ptr<HandlerMemory> tickMemory = std::make_shared<HandlerMemory>();
    std::optional<TimePoint> openDue; ///< Next attempt to open the replica.
    std::thread thread;
    std::promise<void> endPromise;
    std::future<void> end{this->endPromise.get_future()}; ///< Set when the thread has ended.
    ReplicationConfig config; ///< As given, with what setContacts() has changed since.
    ReplicationHooks hooks;
    DataFolder folder;
    bool reopens = false; ///< A replica that has stopped is opened again.
    bool isRunning = false; ///< Nothing below is valid unless it is set.
    std::optional<EarlierFailure> failure; ///< Why the replica was stopped, until it runs again.
    ResultCode openCode = ResultCode::Ok; ///< Outcome of the last attempt to open the data folder.
    bool isServing = true;
    HardState syncedVote; ///< Hard state that was last synced.
    std::atomic<std::int64_t> leaseEndMs{0}; ///< End of the leader's lease, for other threads.
    std::atomic<std::uint64_t> ownerConfirmations{0};
    OwnerWatch ownerWatch;
    bool isOwnerSilent = false;
    bool isTransferring = false; ///< A transfer of leadership was under way after the last actions.
    RaftState raft;
    std::map<VoterId, TimePoint> heardAt; ///< Last message from each identity.
    std::uint64_t lastToken = 0;
    std::unordered_map<std::uint64_t, std::function<void(ReadReady)>> reads;
    ReplicationStatus reported;
    std::optional<TimePoint> snapshotRequestedAt; ///< Set while the owner is to hand over a snapshot.
    mutable std::mutex healthMutex; ///< Guards the member below, which other threads read.
    ReplicaHealth currentHealth{ReplicaCondition::Opening, ResultCode::Ok, steadyNow()};
    std::atomic<std::int64_t> answeredAtMs{0}; ///< When the thread last ran a tick.

    // Running a replica (replication_core.cpp).
    /** Carries out actions in their order: disk first, then messages, then the state machine. */
    void carryOut(RaftActions actions);
    /** Withdraws a lease before a message can let another replica begin one. */
    void shortenLease();
    /**
     * Returns whether a leader may send its new entries while it syncs them. Its own copy counts towards a majority only once an answer
     * is handled, and this thread handles none before the sync has ended; term and vote of the messages must be on the disk already.
     */
    bool mayOverlap(const RaftActions &actions) const;
    static bool isSameVote(const HardState &left, const HardState &right);
    void sendAll(const RaftActions &actions) const;
    /** Returns whether the actions ask for nothing but a newer commit index, which the next record brings along. */
    bool isCommitOnly(const RaftActions &actions) const;
    /** Returns false when the disk has failed: nothing may be acknowledged until the replica has been opened again. */
    bool persist(const RaftActions &actions);
    void finishRead(const ReadReady &ready);
    ReplicationStatus currentStatus() const;
    void reportStatus();
    void askForSnapshot();
    /** Logs the begin and the end of a transfer of leadership. */
    void logTransfer(const std::vector<RaftEnvelope> &sent);
    void logMembershipStep(const std::optional<MembershipStep> &step) const;
    /** Gives up the leadership while the owner's event loop doesn't run: its duties are not carried out, and only the others can take them over. */
    void watchOwner();
    ReplicationDetail detail() const;
    void noteSender(const VoterId &sender);
    /** Handles a message, and logs what an offer of leadership led to. */
    void receive(const RaftMessage &message);
    void tick();

    // Opening and stopping it (replication_lifecycle.cpp).
    void setHealth(ReplicaCondition condition, ResultCode code);
    /** Stops the replica. What it holds in memory goes, since only what is on the disk may be relied on. */
    void stopReplica(ResultCode code);
    /** Lets a later tick open the replica; it needs no memory. */
    void openLater(ResultCode reason);
    void openIfDue();
    /** Opens the replica, or tries again later. */
    void open();
    /** Begins to run a replica that has been opened. Returns what its data folder held. */
    ReplicationStart takeReplica(OpenedReplica replica);
    /** Handles an exception: the replica may be partially modified, so only what the disk holds may be relied on. */
    void onException(std::string_view error);
    void startThread();
};

} // namespace Filbertlanding
