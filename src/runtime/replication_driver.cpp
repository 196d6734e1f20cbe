/** @file replication_driver.cpp Runs the replicated log on a thread of its own. */

#include "runtime/replication_driver.h"

#include "core/clock_func.h"
#include "core/handler_memory.h"
#include "replication/raft_func.h"
#include "runtime/log_func.h"
#include "runtime/owner_watch.h"
#include "runtime/replica_opening.h"
#include "runtime/run_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Filbertlanding {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds TickInterval{20}; ///< Well below the shortest heartbeat interval, so that elections and heartbeats are on time.
    constexpr Duration OpenRetryInterval{200}; ///< Interval of the attempts to open a data folder that is in use or whose disk refuses.
    constexpr Duration ErrorRetryInterval{2'000}; ///< The same after other errors, each of which has read the whole folder.
    constexpr std::size_t MaxHeardIdentities = 256; ///< Bounds the table of identities of which messages have come.

    constexpr Duration SnapshotRetryTime{10'000}; ///< An owner that could not make a snapshot, for want of memory, is asked again after this time.
    constexpr Duration MaxMessageAge{500}; ///< Older messages are dropped: after a hang of the disk each would cost a sync, and their senders repeat them.
    constexpr std::size_t MaxWaitingBytes = std::size_t{8} * 1024 * 1024; ///< Bounds the messages that wait for a thread whose disk hangs.

    /** Returns whether the reason for which a data folder could not be opened often passes without help. */
    bool mayPass(ResultCode code)
    {
        return code == ResultCode::DiskFailed || code == ResultCode::DataFolderInUse;
    }

    /** Returns what the next attempt has to know: a sync that has failed while the folder was opened leaves pages that a later sync doesn't write, too. */
    std::optional<EarlierFailure> afterAttempt(ResultCode code, const std::optional<EarlierFailure> &failure)
    {
        return code == ResultCode::DataFolderInUse ? failure : failure.value_or(EarlierFailure{});
    }

    /** Opens a replica. Write errors and a predecessor that is still stopping often last for seconds; exiting at once would cause a restart loop. */
    OpenedReplica openWithRetries(const ReplicationConfig &config)
    {
        const TimePoint deadline = steadyNow() + config.openRetryTime;
        std::optional<EarlierFailure> failure;
        while (true) {
            OpenedReplica replica = openReplica(config, failure);
            if (!mayPass(replica.start.code) || steadyNow() >= deadline) {
                return replica;
            }
            failure = afterAttempt(replica.start.code, failure);
            std::this_thread::sleep_for(std::chrono::milliseconds(OpenRetryInterval.ms));
        }
    }

    /** Counts the bytes of a message while it waits, also if it can't be handed over. */
    class WaitingBytes
    {
    public:
        WaitingBytes(std::atomic<std::size_t> &counter, std::size_t messageBytes)
            : total(counter)
            , bytes(messageBytes)
        {
            this->total += this->bytes;
        }
        WaitingBytes(const WaitingBytes &) = delete;
        WaitingBytes &operator=(const WaitingBytes &) = delete;
        ~WaitingBytes()
        {
            this->release();
        }

        void release()
        {
            this->total -= std::exchange(this->bytes, 0);
        }

    private:
        std::atomic<std::size_t> &total;
        std::size_t bytes;
    };

} // namespace

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

    void setHealth(ReplicaCondition condition, ResultCode code)
    {
        const std::lock_guard guard(this->healthMutex);
        const TimePoint since = this->currentHealth.condition == condition ? this->currentHealth.since : steadyNow();
        this->currentHealth = {condition, code, since};
    }

    /** Carries out actions in their order: disk first, then messages, then the state machine. */
    void carryOut(RaftActions actions)
    {
        if (!this->isRunning) {
            // Raft counts this disk towards a majority: a heartbeat would pass on a commit index that relies on it.
            return;
        }
        this->shortenLease();
        const bool sendsFirst = this->mayOverlap(actions);
        if (sendsFirst) {
            this->sendAll(actions);
        }
        if (this->raft.settings.hasDisk && !this->persist(actions)) {
            return;
        }
        if (!sendsFirst) {
            this->sendAll(actions);
        }
        if (actions.installSnapshot) {
            this->hooks.install(std::move(*actions.installSnapshot));
        }
        if (!actions.apply.empty()) {
            this->hooks.apply(std::move(actions.apply));
        }
        for (const ReadReady &ready : actions.reads) {
            this->finishRead(ready);
        }
        this->leaseEndMs = leaderLeaseEnd(this->raft).ms;
        this->logTransfer(actions.send);
        this->logMembershipStep(actions.membershipStep);
        this->reportStatus();
    }

    /** Withdraws a lease before a message can let another replica begin one. */
    void shortenLease()
    {
        const std::int64_t endMs = leaderLeaseEnd(this->raft).ms;
        if (endMs < this->leaseEndMs) {
            this->leaseEndMs = endMs;
        }
    }

    /**
     * Returns whether a leader may send its new entries while it syncs them. Its own copy counts towards a majority only once an answer
     * is handled, and this thread handles none before the sync has ended; term and vote of the messages must be on the disk already.
     */
    bool mayOverlap(const RaftActions &actions) const
    {
        const bool hasNewVote = actions.persistHardState && !isSameVote(*actions.persistHardState, this->syncedVote);
        return this->raft.role == RaftRole::Leader && !hasNewVote && !actions.truncateFrom && !actions.persistSnapshot && actions.apply.empty();
    }

    static bool isSameVote(const HardState &left, const HardState &right)
    {
        return left.term == right.term && left.votedFor == right.votedFor;
    }

    void sendAll(const RaftActions &actions) const
    {
        for (const RaftEnvelope &envelope : actions.send) {
            this->hooks.send(envelope.to, envelope.message);
        }
    }

    /** Returns whether the actions ask for nothing but a newer commit index, which the next record brings along. */
    bool isCommitOnly(const RaftActions &actions) const
    {
        const bool writesMore = actions.persistSnapshot || actions.truncateFrom || !actions.append.empty();
        return !this->config.syncsCommitIndex && !writesMore && actions.persistHardState && isSameVote(*actions.persistHardState, this->syncedVote);
    }

    /** Returns false when the disk has failed: nothing may be acknowledged until the replica has been opened again. */
    bool persist(const RaftActions &actions)
    {
        if (this->isCommitOnly(actions)) {
            return true;
        }
        const bool writes = actions.persistHardState || actions.persistSnapshot || actions.truncateFrom || !actions.append.empty();
        const std::int64_t startedUs = steadyMicroseconds();
        const ResultCode code = persistActions(this->folder, actions);
        if (code == ResultCode::Ok) {
            if (actions.persistHardState) {
                this->syncedVote = *actions.persistHardState;
            }
            if (writes) {
                this->hooks.synced(steadyMicroseconds() - startedUs);
            }
            return true;
        }
        this->stopReplica(code);
        return false;
    }

    /** Stops the replica. What it holds in memory goes, since only what is on the disk may be relied on. */
    void stopReplica(ResultCode code)
    {
        if (!this->isRunning) {
            return;
        }
        this->isRunning = false;
        this->leaseEndMs = TimePoint().ms;
        this->setHealth(ReplicaCondition::Failed, code);
        this->failure = EarlierFailure{this->folder.failedBytes};
        if (this->reopens) {
            this->openLater(code);
        }
        for (auto &[token, done] : std::exchange(this->reads, {})) {
            done({token, ResultCode::NoQuorum, 0});
        }
        this->hooks.failed(code);
    }

    /** Lets a later tick open the replica; it needs no memory. */
    void openLater(ResultCode reason)
    {
        this->openDue = steadyNow() + (mayPass(reason) ? OpenRetryInterval : ErrorRetryInterval);
    }

    void openIfDue()
    {
        if (this->openDue && steadyNow() >= *this->openDue) {
            this->openDue.reset();
            this->open();
        }
    }

    /** Opens the replica, or tries again later. */
    void open()
    {
        this->folder = {}; // Releases the lock of the folder.
        this->raft = {};
        OpenedReplica replica = openReplica(this->config, this->failure);
        const ResultCode code = replica.start.code;
        const bool isChanged = code != this->openCode;
        this->openCode = code;
        if (code != ResultCode::Ok) {
            this->setHealth(this->currentHealth.condition, code);
            this->failure = afterAttempt(code, this->failure);
            this->openLater(code);
            if (isChanged) {
                this->hooks.opened(replica.start);
            }
            return;
        }
        const ReplicationStart start = this->takeReplica(std::move(replica));
        this->hooks.opened(start);
        this->reported = this->currentStatus();
        this->hooks.statusChanged(this->reported);
        this->carryOut(raftSetServing(this->raft, this->isServing, steadyNow()));
    }

    /** Begins to run a replica that has been opened. Returns what its data folder held. */
    ReplicationStart takeReplica(OpenedReplica replica)
    {
        this->folder = std::move(replica.folder);
        this->raft = std::move(replica.raft);
        this->syncedVote = replica.syncedVote;
        this->ownerWatch = startOwnerWatch(this->config.ownerTimeout, steadyNow());
        this->isOwnerSilent = false;
        this->snapshotRequestedAt.reset();
        this->isTransferring = false;
        this->failure.reset();
        // An empty folder has lost what was in it, from now on.
        this->config.votesAtOnce = false;
        this->answeredAtMs = steadyNow().ms;
        this->isRunning = true;
        this->setHealth(ReplicaCondition::Running, ResultCode::Ok);
        return std::move(replica.start);
    }

    /** Handles an exception: the replica may be partially modified, so only what the disk holds may be relied on. */
    void onException(std::string_view error)
    {
        logLine(LogArea::Replication, LogLevel::Error, "replication_exception", {{"error", error}});
        if (this->isRunning) {
            this->stopReplica(ResultCode::Internal);
        } else if (this->reopens) {
            this->setHealth(this->currentHealth.condition, ResultCode::Internal);
            this->failure = afterAttempt(ResultCode::Internal, this->failure);
            this->openLater(ResultCode::Internal);
        }
    }

    void startThread()
    {
        this->answeredAtMs = steadyNow().ms;
        this->thread = std::thread([this] {
            runLoop(this->context, [this](std::string_view error) {
                this->onException(error);
            });
            this->endPromise.set_value();
        });
    }

    void finishRead(const ReadReady &ready)
    {
        const auto found = this->reads.find(ready.token);
        if (found == this->reads.end()) {
            return;
        }
        const auto done = std::move(found->second);
        this->reads.erase(found);
        done(ready);
    }

    ReplicationStatus currentStatus() const
    {
        ReplicationStatus status;
        status.role = this->raft.role;
        status.term = this->raft.term;
        status.leader = leaderName(this->raft);
        status.commitIndex = this->raft.commitIndex;
        status.lastIndex = lastLogIndex(this->raft);
        status.leaderSince = this->raft.leaderSince;
        status.membership = currentMembership(this->raft);
        status.self = this->raft.settings.self;
        status.hasSuccessor = hasSuccessor(this->raft, steadyNow());
        status.isReplaced = isReplacedLeader(this->raft);
        status.isOwnerSilent = this->isOwnerSilent;
        return status;
    }

    void reportStatus()
    {
        ReplicationStatus status = this->currentStatus();
        const bool changed = status.role != this->reported.role || status.term != this->reported.term || status.leader != this->reported.leader
            || status.commitIndex != this->reported.commitIndex || status.membership != this->reported.membership
            || status.hasSuccessor != this->reported.hasSuccessor || status.isReplaced != this->reported.isReplaced
            || status.isOwnerSilent != this->reported.isOwnerSilent;
        if (!changed) {
            return;
        }
        this->reported = status;
        this->hooks.statusChanged(std::move(status));
    }

    void askForSnapshot()
    {
        const bool isRequested = this->snapshotRequestedAt && steadyNow() - *this->snapshotRequestedAt < SnapshotRetryTime;
        if (!this->isRunning || isRequested || !wantsSnapshot(this->raft)) {
            return;
        }
        this->snapshotRequestedAt = steadyNow();
        this->hooks.snapshotWanted(this->raft.appliedIndex);
    }

    /** Logs the begin and the end of a transfer of leadership. */
    void logTransfer(const std::vector<RaftEnvelope> &sent)
    {
        for (const RaftEnvelope &envelope : sent) {
            if (std::holds_alternative<TimeoutNow>(envelope.message.body)) {
                logLine(LogArea::Replication, LogLevel::Info, "leadership_transferred", {{"term", envelope.message.term}, {"successor", envelope.to}});
                this->isTransferring = false;
            }
        }
        const bool isUnderWay = this->raft.transferDue.has_value();
        if (isUnderWay != this->isTransferring) {
            const std::string_view event = isUnderWay ? "leadership_transfer_begins" : "leadership_transfer_without_successor";
            logLine(LogArea::Replication, isUnderWay ? LogLevel::Info : LogLevel::Warn, event, {{"term", this->raft.term}});
        }
        this->isTransferring = isUnderWay;
    }

    void logMembershipStep(const std::optional<MembershipStep> &step) const
    {
        if (step) {
            logLine(LogArea::Replication,
                    LogLevel::Info,
                    "membership_step",
                    {{"term", this->raft.term},
                     {"daemon", step->replica.daemon},
                     {"incarnation", step->replica.incarnation},
                     {"reason", membershipReasonName(step->reason)},
                     {"voters", currentMembership(this->raft).voters.size()}});
        }
    }

    /** Gives up the leadership while the owner's event loop doesn't run: its duties are not carried out, and only the others can take them over. */
    void watchOwner()
    {
        const bool isSilent = checkOwner(this->ownerWatch, this->ownerConfirmations, steadyNow());
        if (isSilent == this->isOwnerSilent) {
            return;
        }
        this->isOwnerSilent = isSilent;
        logLine(LogArea::Replication,
                isSilent ? LogLevel::Warn : LogLevel::Info,
                isSilent ? "owner_silent" : "owner_returned",
                {{"role", roleName(this->raft.role)}, {"term", this->raft.term}, {"timeoutMs", this->ownerWatch.timeout.ms}});
        this->carryOut(raftSetElectable(this->raft, !isSilent, steadyNow()));
    }

    ReplicationDetail detail() const
    {
        ReplicationDetail detail;
        detail.at = steadyNow();
        if (!this->isRunning) {
            return detail;
        }
        detail.status = this->currentStatus();
        detail.leaderContact = this->raft.leaderContact;
        detail.heardAt = this->heardAt;
        detail.openReads = this->raft.reads.size();
        return detail;
    }

    void noteSender(const VoterId &sender)
    {
        if (this->heardAt.size() >= MaxHeardIdentities && !this->heardAt.contains(sender)) {
            const auto oldest = std::min_element(this->heardAt.begin(), this->heardAt.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            });
            this->heardAt.erase(oldest);
        }
        this->heardAt[sender] = steadyNow();
    }

    /** Handles a message, and logs what an offer of leadership led to. */
    void receive(const RaftMessage &message)
    {
        this->noteSender(message.from);
        RaftActions actions = raftReceive(this->raft, message, steadyNow());
        if (std::holds_alternative<TimeoutNow>(message.body)) {
            logLine(LogArea::Replication,
                    LogLevel::Info,
                    "leadership_offered",
                    {{"from", message.from.daemon}, {"term", message.term}, {"role", roleName(this->raft.role)}});
        }
        this->carryOut(std::move(actions));
    }

    void tick()
    {
        this->answeredAtMs = steadyNow().ms;
        // First, so that the ticks go on after an exception.
        this->timer.expires_after(TickInterval);
        this->timer.async_wait(KeptHandler(this->tickMemory, [this](const boost::system::error_code &error) {
            if (!error) {
                this->tick();
            }
        }));
        if (!this->isRunning) {
            this->openIfDue();
            return;
        }
        this->watchOwner();
        this->carryOut(raftTick(this->raft, steadyNow()));
        this->askForSnapshot();
    }
};

ReplicationDriver::ReplicationDriver()
    : core(std::make_unique<Core>())
{
}

ReplicationDriver::~ReplicationDriver()
{
    this->stop();
}

ReplicationStart ReplicationDriver::start(ReplicationConfig config, ReplicationHooks hooks)
{
    Core &state = *this->core;
    state.config = std::move(config);
    state.hooks = std::move(hooks);
    OpenedReplica replica = openWithRetries(state.config);
    if (replica.start.code != ResultCode::Ok) {
        state.setHealth(ReplicaCondition::Opening, replica.start.code);
        return std::move(replica.start);
    }
    ReplicationStart start = state.takeReplica(std::move(replica));
    asio::post(state.context, [&state] {
        state.tick();
    });
    state.startThread();
    return start;
}

void ReplicationDriver::startInBackground(ReplicationConfig config, ReplicationHooks hooks)
{
    Core &state = *this->core;
    if (!state.reopens) {
        state.config = std::move(config);
        state.hooks = std::move(hooks);
        state.openDue = steadyNow();
        asio::post(state.context, [&state] {
            state.tick();
        });
        state.reopens = true;
    }
    // Last, since the thread may not be had at once; the call is then repeated.
    if (!state.thread.joinable()) {
        state.startThread();
    }
}

void ReplicationDriver::restart(ResultCode reason)
{
    asio::post(this->core->context, [state = this->core.get(), reason] {
        state->stopReplica(reason);
    });
}

void ReplicationDriver::stop()
{
    if (this->core->thread.joinable()) {
        this->core->context.stop();
        this->core->thread.join();
    }
}

bool ReplicationDriver::stop(Duration limit)
{
    if (!this->core->thread.joinable()) {
        return true;
    }
    this->core->context.stop();
    if (this->core->end.wait_for(std::chrono::milliseconds(limit.ms)) != std::future_status::ready) {
        return false;
    }
    this->core->thread.join();
    return true;
}

ReplicaHealth ReplicationDriver::health(Duration longestSilence) const
{
    const std::lock_guard guard(this->core->healthMutex);
    const ReplicaHealth &health = this->core->currentHealth;
    const TimePoint answeredAt{this->core->answeredAtMs.load()};
    const bool isSilent = health.condition == ReplicaCondition::Running && steadyNow() - answeredAt >= longestSilence;
    return isSilent ? ReplicaHealth{ReplicaCondition::Silent, ResultCode::Ok, answeredAt} : health;
}

TimePoint ReplicationDriver::leaseEnd() const
{
    return {this->core->leaseEndMs.load()};
}

void ReplicationDriver::propose(std::string payload, std::function<void(ProposedEntry)> done)
{
    asio::post(this->core->context, [state = this->core.get(), payload = std::move(payload), done = std::move(done)]() mutable {
        if (!state->isRunning) {
            done({ResultCode::NotLeader, 0, 0, {}});
            return;
        }
        ProposeResult result = raftPropose(state->raft, std::move(payload), steadyNow());
        done({result.code, result.index, result.term, result.leaderHint});
        state->carryOut(std::move(result.actions));
    });
}

void ReplicationDriver::read(std::function<void(ReadReady)> done)
{
    asio::post(this->core->context, [state = this->core.get(), done = std::move(done)]() mutable {
        const std::uint64_t token = ++state->lastToken;
        if (!state->isRunning) {
            done({token, ResultCode::NoQuorum, 0});
            return;
        }
        state->reads.emplace(token, std::move(done));
        state->carryOut(raftRead(state->raft, token, steadyNow()));
    });
}

void ReplicationDriver::inspect(std::function<void(ReplicationDetail)> done)
{
    asio::post(this->core->context, [state = this->core.get(), done = std::move(done)] {
        done(state->detail());
    });
}

void ReplicationDriver::receive(RaftMessage message, std::size_t bytes)
{
    if (this->core->waitingBytes.load() + bytes > MaxWaitingBytes) {
        return;
    }
    const auto waiting = std::make_shared<WaitingBytes>(this->core->waitingBytes, bytes);
    asio::post(this->core->context, [state = this->core.get(), message = std::move(message), waiting, receivedAt = steadyNow()] {
        waiting->release();
        if (state->isRunning && steadyNow() - receivedAt < MaxMessageAge) {
            state->receive(message);
        }
    });
}

void ReplicationDriver::snapshotTaken(std::uint64_t index, std::string snapshot)
{
    asio::post(this->core->context, [state = this->core.get(), index, snapshot = std::move(snapshot)]() mutable {
        if (!state->isRunning) {
            return;
        }
        state->snapshotRequestedAt.reset();
        state->carryOut(raftSnapshotTaken(state->raft, index, std::move(snapshot), steadyNow()));
    });
}

void ReplicationDriver::setServing(bool isServing)
{
    asio::post(this->core->context, [state = this->core.get(), isServing] {
        state->isServing = isServing;
        if (state->isRunning) {
            state->carryOut(raftSetServing(state->raft, isServing, steadyNow()));
        }
    });
}

void ReplicationDriver::transferLeadership()
{
    asio::post(this->core->context, [state = this->core.get()] {
        if (state->isRunning) {
            state->carryOut(raftTransferLeadership(state->raft, steadyNow()));
        }
    });
}

void ReplicationDriver::setContacts(std::vector<DaemonName> contacts)
{
    asio::post(this->core->context, [state = this->core.get(), contacts = std::move(contacts)]() mutable {
        state->config.raft.contacts = contacts;
        if (state->isRunning) {
            state->carryOut(raftSetContacts(state->raft, std::move(contacts), steadyNow()));
        }
    });
}

void ReplicationDriver::confirmOwnerAlive()
{
    ++this->core->ownerConfirmations;
}

} // namespace Filbertlanding
