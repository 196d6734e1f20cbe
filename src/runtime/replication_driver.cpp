/** @file replication_driver.cpp Runs the replicated log on a thread of its own. */

#include "runtime/replication_driver.h"

#include "core/clock_func.h"
#include "replication/raft_func.h"
#include "runtime/replication_core.h"

#include <boost/asio/post.hpp>

namespace Filbertlanding {

namespace {

    constexpr Duration MaxMessageAge{500}; ///< Older messages are dropped: after a hang of the disk each would cost a sync, and their senders repeat them.
    constexpr std::size_t MaxWaitingBytes = std::size_t{8} * 1024 * 1024; ///< Bounds the messages that wait for a thread whose disk hangs.

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
