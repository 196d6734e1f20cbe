/** @file replication_lifecycle.cpp Opens a replica, stops it after an error, and opens it again. */

#include "core/clock_func.h"
#include "replication/raft_func.h"
#include "runtime/log_func.h"
#include "runtime/replication_core.h"
#include "runtime/run_loop.h"

namespace Filbertlanding {

namespace {

    constexpr Duration ErrorRetryInterval{800}; ///< Interval of the attempts after other errors, each of which has read the whole folder.

} // namespace

bool mayPass(ResultCode code)
{
    return code == ResultCode::DiskFailed || code == ResultCode::DataFolderInUse;
}

std::optional<EarlierFailure> afterAttempt(ResultCode code, const std::optional<EarlierFailure> &failure)
{
    return code == ResultCode::DataFolderInUse ? failure : failure.value_or(EarlierFailure{});
}

void ReplicationDriver::Core::setHealth(ReplicaCondition condition, ResultCode code)
{
    const std::lock_guard guard(this->healthMutex);
    const TimePoint since = this->currentHealth.condition == condition ? this->currentHealth.since : steadyNow();
    this->currentHealth = {condition, code, since};
}

void ReplicationDriver::Core::stopReplica(ResultCode code)
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

void ReplicationDriver::Core::openLater(ResultCode reason)
{
    this->openDue = steadyNow() + (mayPass(reason) ? OpenRetryInterval : ErrorRetryInterval);
}

void ReplicationDriver::Core::openIfDue()
{
    if (this->openDue && steadyNow() >= *this->openDue) {
        this->openDue.reset();
        this->open();
    }
}

void ReplicationDriver::Core::open()
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

ReplicationStart ReplicationDriver::Core::takeReplica(OpenedReplica replica)
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

void ReplicationDriver::Core::onException(std::string_view error)
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

void ReplicationDriver::Core::startThread()
{
    this->answeredAtMs = steadyNow().ms;
    this->thread = std::thread([this] {
        runLoop(this->context, [this](std::string_view error) {
            this->onException(error);
        });
        this->endPromise.set_value();
    });
}

} // namespace Filbertlanding
