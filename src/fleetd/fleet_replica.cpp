/** @file fleet_replica.cpp The replica of a core daemon: what the replication thread reports, and what holds while the replica does not run. */

#include "core/clock_func.h"
#include "fleetd/fleet_core.h"
#include "replication/raft_func.h"
#include "runtime/log_func.h"

#include <boost/asio/post.hpp>

namespace Filbertlanding {

namespace asio = boost::asio;

namespace {

    constexpr Duration ThreadStopTime{500}; ///< Longer than a usual sync; a thread that takes longer to stop hangs in a call to the disk.

} // namespace

void FleetCore::start(PeerLinks &links)
{
    this->peers = &links;
    this->startLeaderFinder();
    const auto inspect = [this](std::function<void(ReplicationDetail)> done) {
        this->replication.inspect(std::move(done));
    };
    const auto readActivity = [this] {
        return this->activity();
    };
    this->statusLog.start(inspect, readActivity, {this->settings.electionTimeoutMaxMs});
    // Last, since all of it is repeated if a thread or memory is lacking.
    this->replication.startInBackground(this->replicationConfig(), this->replicationHooks());
}

ReplicationHooks FleetCore::replicationHooks()
{
    ReplicationHooks hooks;
    hooks.send = [this](const DaemonName &to, const RaftMessage &message) {
        this->peers->sendOneWay(to, static_cast<std::uint8_t>(FleetMessageKind::Replication), encodeFleetMessage(message));
    };
    hooks.install = [this](Snapshot snapshot) {
        asio::post(this->io, [this, moved = std::move(snapshot)]() mutable {
            this->onInstalled(std::move(moved));
        });
    };
    hooks.apply = [this](std::vector<LogEntry> entries) {
        asio::post(this->io, [this, moved = std::move(entries)] {
            this->onApplied(moved);
        });
    };
    hooks.statusChanged = [this](ReplicationStatus next) {
        asio::post(this->io, [this, moved = std::move(next)]() mutable {
            this->onStatus(std::move(moved));
        });
    };
    hooks.snapshotWanted = [this](std::uint64_t) {
        asio::post(this->io, [this] {
            this->takeSnapshot();
        });
    };
    hooks.synced = [](std::int64_t) {};
    hooks.failed = [this](ResultCode code) {
        asio::post(this->io, [this, code] {
            this->onReplicaFailed(code);
        });
    };
    hooks.opened = [this](const ReplicationStart &start) {
        logLine(LogArea::Replication,
                start.code == ResultCode::Ok ? LogLevel::Info : LogLevel::Warn,
                "data_folder_opened",
                {{"code", resultCodeRow(start.code).name}, {"incarnation", start.incarnation}, {"isNew", start.isNew}, {"setAside", start.setAside}});
        asio::post(this->io, [this, code = start.code] {
            this->onReplicaOpened(code);
        });
    };
    return hooks;
}

/** Hands over a snapshot, unless the state is behind a replica that was stopped. */
void FleetCore::takeSnapshot()
{
    if (this->isReplicaOpen) {
        const LoopTimer timer(this->times, LoopPart::Snapshots);
        this->replication.snapshotTaken(this->appliedIndex, encodeFleetState(this->state));
    }
}

/** Begins anew with an empty state, which the replica fills from its snapshot and its log. */
void FleetCore::onReplicaOpened(ResultCode code)
{
    if (code != ResultCode::Ok) {
        return;
    }
    if (this->isReplicaOpen) {
        // The message that the replica had failed was lost for want of memory.
        this->onReplicaFailed(ResultCode::Internal);
    }
    this->restartReason.reset();
    this->state = {};
    this->keyIndex = {};
    this->appliedIndex = 0;
    this->appliedTerm = 0;
    this->isReplicaOpen = true;
    this->isReplicaSilent = false;
    this->replicaOpened();
}

void FleetCore::onReplicaFailed(ResultCode code)
{
    logLine(LogArea::Replication, LogLevel::Error, "replica_failed", {{"code", resultCodeRow(code).name}, {"appliedIndex", this->appliedIndex}});
    this->isReplicaOpen = false;
    this->leaveReplica("the replica has failed");
    this->status = {};
}

/** Starts anew from the disk: the state of this daemon may be partially modified, so that it must not be used. */
void FleetCore::restartReplica(ResultCode reason)
{
    this->isReplicaOpen = false;
    this->restartReason = reason;
    this->leaveReplica("the replicated state cannot be used");
    this->status = {};
    this->continueRestart();
}

/** Asks for a replica that begins anew. It is called again later if it finds no memory. */
void FleetCore::continueRestart()
{
    if (this->restartReason) {
        this->replication.restart(*this->restartReason);
        this->restartReason.reset();
    }
}

/** Ends all that only a running replica can carry out, and answers what waits for it. */
void FleetCore::leaveReplica(std::string_view reason)
{
    if (this->scheduler) {
        this->endLeadership(reason);
    }
    this->handover = {};
    this->statusLog.setLeaderKnown(false);
    this->failReads();
    this->heldCalls.release();
    this->continueStop();
}

/** Notices a replication thread that hangs, for example in a sync, and one that answers again. */
void FleetCore::checkReplica()
{
    this->continueRestart();
    const bool isSilent = this->replicaHealth().condition == ReplicaCondition::Silent;
    if (isSilent == this->isReplicaSilent) {
        return;
    }
    this->isReplicaSilent = isSilent;
    if (isSilent) {
        this->leaveReplica("the replication thread does not answer");
        return;
    }
    this->statusLog.setLeaderKnown(!this->status.leader.empty());
    this->beginLeadershipIfReady();
    this->releaseHeldCalls();
}

bool FleetCore::isReplicaRunning() const
{
    return this->isReplicaOpen && !this->isReplicaSilent;
}

ReplicaHealth FleetCore::replicaHealth() const
{
    // The other voters have elected a leader after this time.
    return this->replication.health({this->settings.electionTimeoutMaxMs});
}

void FleetCore::stop()
{
    if (this->isStopping) {
        return;
    }
    this->isStopping = true;
    if (this->scheduler) {
        this->endLeadership("the daemon is shutting down");
    }
    this->heldCalls.release();
    this->statusLog.stop();
    this->finder.stop();
    this->isThreadEnded = this->replication.stop(ThreadStopTime);
    this->client.stop();
}

bool FleetCore::hasStopped() const
{
    return this->isThreadEnded;
}

} // namespace Filbertlanding
