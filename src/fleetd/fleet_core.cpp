/** @file fleet_core.cpp Replication and leadership of a core daemon. */

#include "fleetd/fleet_core.h"

#include "core/clock_func.h"
#include "core/random.h"
#include "fleetd/memory_limits.h"
#include "replication/raft_func.h"
#include "runtime/log_func.h"
#include "settings/host_limits.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds LeadershipRestartDelay{
        200}; ///< Delay before a daemon that ended its leadership but is still the Raft leader starts a new scheduler.
    constexpr std::size_t MaxEntriesInFlight = 2; ///< One entry is synced to disk while the next one is sent; a higher limit would only make entries smaller.
    /** Long enough to survive a failover or a few seconds without any scheduler; short enough to restart the tasks of a lost worker elsewhere soon. */
    constexpr std::int64_t MaxTaskLeaseMs = 7'000;
    /** Time, in units of the longest election timeout, for which the event loop may stand still. The other voters have elected a leader by then. */
    constexpr std::int64_t OwnerTimeoutElections = 2;

    std::string ipAddressOf(const std::string &contact)
    {
        const auto parts = splitAddress(contact);
        return parts ? parts->first : std::string();
    }

    RaftSettings raftSettings(const FleetDaemonSettings &settings)
    {
        RaftSettings raft;
        raft.self.daemon = settings.address;
        for (const std::string &contact : settings.contacts) {
            const std::string address = ipAddressOf(contact);
            raft.bootstrap.voters.push_back({address, FirstIncarnation});
            raft.contacts.push_back(address);
        }
        std::sort(raft.bootstrap.voters.begin(), raft.bootstrap.voters.end());
        const auto repeated = std::unique(raft.bootstrap.voters.begin(), raft.bootstrap.voters.end());
        raft.bootstrap.voters.erase(repeated, raft.bootstrap.voters.end());
        raft.availabilityZone = settings.availabilityZone;
        raft.electionTimeoutMin = {settings.electionTimeoutMinMs};
        raft.electionTimeoutMax = {settings.electionTimeoutMaxMs};
        raft.heartbeatInterval = {settings.raftHeartbeatMs};
        raft.snapshotEvery = static_cast<std::uint64_t>(settings.snapshotEvery);
        const HostLimits limits{static_cast<std::uint64_t>(settings.limitDiskMegabytes), static_cast<std::uint64_t>(settings.limitMemoryMegabytes)};
        raft.snapshotEveryBytes = logBytesWithin(limits, raft.snapshotEveryBytes);
        raft.guardsLeaderLease = true;
        raft.admitsNewVoters = true;
        raft.minVoters = static_cast<std::size_t>(2 * settings.toleratedHosts + 1);
        raft.seed = stableHash(settings.address) ^ static_cast<std::uint64_t>(wallNow().ms);
        return raft;
    }

    SchedulerSettings schedulerSettings(const FleetDaemonSettings &settings)
    {
        SchedulerSettings result;
        result.taskLease = {std::min(settings.longestLeaseMs, MaxTaskLeaseMs)};
        result.longestLease = {settings.longestLeaseMs};
        result.pollWait = std::min(result.pollWait, result.taskLease / 2);
        result.stopTimeout = {settings.stopTimeoutMs};
        result.restoreTime = {settings.restoreMs};
        result.farFactor = settings.farFactor;
        result.paceDelay = {settings.paceDelayMs};
        result.harmLimit = {settings.harmLimitMs};
        result.openJobsBytes = memoryLimitsOf(settings).openJobs;
        return result;
    }

    HttpClientSettings clientSettings(asio::io_context &loop, DescriptorPool &descriptors)
    {
        HttpClientSettings settings;
        settings.loop = &loop;
        settings.descriptors = &descriptors;
        settings.connectTimeout = {400};
        settings.silentTimeout = {4'000};
        // One connection carries the long poll, the others starts and stops. About 500 workers must leave file descriptors for other clients.
        settings.maxConnectionsPerTarget = 3;
        settings.idleTimeout = {10'000};
        settings.tcpUserTimeout = {2'000};
        return settings;
    }

    /** Tells a caller that its command was not applied. An exception in one callback must not keep other callers from their answers. */
    void reportNotApplied(const std::function<void(bool)> &callback)
    {
        try {
            if (callback) {
                callback(false);
            }
        } catch (const std::exception &error) {
            logLine(LogArea::Replication, LogLevel::Error, "callback_failed", {{"error", error.what()}});
        }
    }

} // namespace

FleetCore::FleetCore(asio::io_context &loop,
                     const FleetDaemonSettings &daemonSettings,
                     const ProtocolAdapter &protocolAdapter,
                     NetworkCounters &networkCounters,
                     DescriptorPool &descriptors,
                     LoopTimes &loopTimes)
    : io(loop)
    , settings(daemonSettings)
    , adapter(protocolAdapter)
    , client(clientSettings(loop, descriptors), networkCounters)
    , heldCalls(loop)
    , handoverTimer(loop)
    , tickTimer(loop)
    , statusLog(loop)
    , finder(loop, static_cast<std::uint16_t>(daemonSettings.peerPort))
    , times(loopTimes)
{
}

FleetCore::~FleetCore()
{
    this->stop();
}

ReplicationConfig FleetCore::replicationConfig() const
{
    ReplicationConfig config;
    config.raft = raftSettings(this->settings);
    config.dataFolder = this->settings.dataFolder;
    config.votesAtOnce = this->settings.firstStart;
    config.syncsCommitIndex = false;
    config.ownerTimeout = Duration{this->settings.electionTimeoutMaxMs} * OwnerTimeoutElections;
    return config;
}

void FleetCore::receiveReplication(const DaemonName &sender, const std::string &payload)
{
    auto message = decodeFleetMessage<RaftMessage>(payload);
    if (!message) {
        logLine(LogArea::Replication, LogLevel::Warn, "message_malformed", {{"bytes", payload.size()}});
        return;
    }
    if (this->recentSenders.note(sender, steadyNow())) {
        this->setRequiredPeers();
    }
    this->replication.receive(std::move(*message), payload.size());
}

LeaderInfo FleetCore::leaderInfo() const
{
    LeaderInfo info;
    info.leader = this->isReplicaRunning() ? this->status.leader : DaemonName();
    info.isSelf = this->isLeading();
    for (const VoterId &voter : this->status.membership.voters) {
        info.voters.push_back(voter.daemon);
    }
    return info;
}

bool FleetCore::isLeading() const
{
    return this->scheduler.has_value() && !this->isStopping && this->handover.stage == HandoverStage::None && steadyNow() < this->replication.leaseEnd();
}

CoreActivity FleetCore::activity() const
{
    const TimePoint now = steadyNow();
    CoreActivity activity;
    activity.replica = this->replicaHealth();
    activity.appliedIndex = this->appliedIndex;
    activity.hasScheduler = this->scheduler.has_value();
    activity.hasLease = now < this->replication.leaseEnd();
    activity.openReads = this->openReads.size();
    activity.oldestRead = this->openReads.empty() ? Duration{0} : now - this->openReads.begin()->second.startedAt;
    return activity;
}

void FleetCore::onApplied(const std::vector<LogEntry> &entries)
{
    try {
        this->applyEntries(entries);
    } catch (const std::exception &error) {
        // Replication counts the entries as applied, so that what is left out here would be missing for good.
        logLine(LogArea::Replication, LogLevel::Error, "apply_failed", {{"index", this->appliedIndex}, {"error", error.what()}});
        this->restartReplica(ResultCode::Internal);
    }
}

void FleetCore::applyEntries(const std::vector<LogEntry> &entries)
{
    {
        const LoopTimer timer(this->times, LoopPart::AppliedEntries);
        for (const LogEntry &entry : entries) {
            // Entries of a replica that was stopped do not follow the present state.
            if (!this->isReplicaOpen) {
                return;
            }
            this->applyEntry(entry);
        }
    }
    this->beginLeadershipIfReady();
    this->answerReads();
    this->runScheduler();
}

void FleetCore::applyEntry(const LogEntry &entry)
{
    if (entry.index != this->appliedIndex + 1) {
        logLine(LogArea::Replication, LogLevel::Error, "entry_missing", {{"index", entry.index}, {"appliedIndex", this->appliedIndex}});
        this->restartReplica(ResultCode::Internal);
        return;
    }
    this->appliedIndex = entry.index;
    this->appliedTerm = entry.term;
    ++this->counters.entriesApplied;
    if (entry.kind != EntryKind::Command) {
        return;
    }
    const auto commands = decodeCommands(entry.payload);
    if (!commands) {
        logLine(LogArea::Replication, LogLevel::Error, "entry_malformed", {{"index", entry.index}});
        this->restartReplica(ResultCode::DataDamaged);
        return;
    }
    for (const FleetCommand &command : *commands) {
        if (!this->applyCommand(command)) {
            return;
        }
    }
    if (this->scheduler && entry.term == this->scheduler->term) {
        this->completeBatches(entry.index);
    }
}

void FleetCore::completeBatches(std::uint64_t index)
{
    // An earlier scheduler of the same term may have proposed entries too, so batches are matched by log index.
    while (!this->inFlight.empty() && this->inFlight.front().index != 0 && this->inFlight.front().index <= index) {
        const Batch batch = std::move(this->inFlight.front());
        this->inFlight.pop_front();
        this->counters.commitTime.record(steadyNow() - batch.proposedAt);
        for (const auto &callback : batch.callbacks) {
            if (callback) {
                callback(true);
            }
        }
    }
}

/** Applies a command. The index of the keys follows the manifest, also while this daemon does not lead. */
FleetChange FleetCore::applyToState(const FleetCommand &command)
{
    this->state.appliedAt = steadyNow();
    if (!std::holds_alternative<PutManifest>(command)) {
        return applyFleetCommand(this->state, command);
    }
    const std::vector<ClientAccount> before = this->state.manifest.accounts;
    FleetChange change = applyFleetCommand(this->state, command);
    if (change.isApplied) {
        this->indexKeys();
    }
    if (change.isApplied && this->scheduler) {
        logAccountChanges(before, this->state.manifest.accounts);
    }
    return change;
}

/** Rebuilds what is derived from the accounts of the manifest in the state. */
void FleetCore::indexKeys()
{
    this->keyIndex = KeyIndex(this->state.manifest.accounts);
    keepRefusalsOf(this->accountRefusals, this->state.manifest.accounts);
    if (this->scheduler) {
        keepBucketsOf(this->scheduler->submissionBuckets, this->state.manifest.accounts);
    }
}

bool FleetCore::applyCommand(const FleetCommand &command)
{
    FleetChange change;
    try {
        change = this->applyToState(command);
    } catch (const std::exception &error) {
        // The state may be partially modified, so this replica must not continue with it.
        logLine(LogArea::Replication, LogLevel::Error, "command_failed", {{"index", this->appliedIndex}, {"error", error.what()}});
        this->restartReplica(ResultCode::DataDamaged);
        return false;
    }
    if (!this->scheduler) {
        return true;
    }
    this->countChange(command, change);
    this->logChange(command, change);
    try {
        handleApplied(*this->scheduler, this->state, command, change, steadyNow(), wallNow());
    } catch (const std::exception &error) {
        logLine(LogArea::Replication, LogLevel::Error, "scheduler_failed", {{"index", this->appliedIndex}, {"error", error.what()}});
        this->restartScheduler("the scheduler threw an exception");
    }
    return true;
}

void FleetCore::onInstalled(Snapshot snapshot)
{
    if (!this->isReplicaOpen) {
        return;
    }
    ResultCode code = ResultCode::Internal;
    try {
        code = decodeFleetState(snapshot.state, this->state);
        this->indexKeys();
    } catch (const std::exception &error) {
        code = ResultCode::Internal;
        logLine(LogArea::Replication, LogLevel::Error, "snapshot_failed", {{"index", snapshot.index}, {"error", error.what()}});
    }
    logLine(LogArea::Replication, LogLevel::Info, "snapshot_installed", {{"index", snapshot.index}, {"code", resultCodeRow(code).name}});
    if (code != ResultCode::Ok) {
        this->restartReplica(code);
        return;
    }
    this->appliedIndex = snapshot.index;
    this->appliedTerm = snapshot.term;
}

void FleetCore::onStatus(ReplicationStatus next)
{
    if (!this->isReplicaOpen) {
        return;
    }
    const bool roleChanged = next.role != this->status.role || next.term != this->status.term || next.leader != this->status.leader;
    const bool membersChanged = next.membership != this->status.membership;
    const bool leaderChanged = next.leader != this->status.leader;
    this->status = std::move(next);
    if (roleChanged) {
        logLine(
            LogArea::Replication,
            LogLevel::Info,
            "role_changed",
            {{"role", roleName(this->status.role)}, {"term", this->status.term}, {"leader", this->status.leader}, {"commitIndex", this->status.commitIndex}});
    }
    if (membersChanged || leaderChanged) {
        this->setRequiredPeers();
    }
    if (membersChanged) {
        logLine(LogArea::Replication,
                LogLevel::Info,
                "membership_changed",
                {{"voters", this->status.membership.voters.size()},
                 {"joining", this->status.membership.joining.size()},
                 {"voterNames", joinNames(this->status.membership.voters)},
                 {"joiningNames", joinNames(this->status.membership.joining)}});
    }
    this->statusLog.setLeaderKnown(!this->status.leader.empty());
    if (this->scheduler && (this->status.role != RaftRole::Leader || this->status.term != this->scheduler->term)) {
        this->endLeadership("the term ended");
    }
    if (this->status.role != RaftRole::Leader) {
        this->handover = {};
    }
    this->beginLeadershipIfReady();
    this->continueStop();
    this->releaseHeldCalls();
}

std::vector<DaemonName> FleetCore::contactAddresses() const
{
    std::vector<DaemonName> contacts;
    for (const std::string &contact : this->settings.contacts) {
        contacts.push_back(ipAddressOf(contact));
    }
    return contacts;
}

void FleetCore::setRequiredPeers()
{
    std::vector<PeerAddress> addresses;
    for (const DaemonName &daemon : this->linkedDaemons()) {
        addresses.push_back({daemon, daemon, static_cast<std::uint16_t>(this->settings.peerPort)});
    }
    this->peers->setPeers(std::move(addresses));
}

void FleetCore::reloadContacts()
{
    this->setRequiredPeers();
    this->replication.setContacts(this->contactAddresses());
}

void FleetCore::beginLeadershipIfReady()
{
    // Once the empty entry that starts the term is applied, all entries committed by earlier leaders are applied too.
    const bool isReady = this->isReplicaRunning() && this->status.role == RaftRole::Leader && this->appliedTerm == this->status.term;
    if (this->scheduler || !isReady || this->isStopping || this->isStopBegun || this->handover.stage != HandoverStage::None) {
        return;
    }
    if (!this->areProposalsApplied()) {
        return;
    }
    this->ordersInLastTerm = this->status.term == this->lastLeaderTerm ? this->ordersInLastTerm : 0;
    this->lastLeaderTerm = this->status.term;
    this->scheduler = startScheduler(schedulerSettings(this->settings), this->state, this->status.term, this->ordersInLastTerm, steadyNow(), wallNow());
    this->waitingSteps = {};
    ++this->counters.leaderships;
    logLine(
        LogArea::Replication,
        LogLevel::Info,
        "lead_begins",
        {{"term", this->status.term}, {"index", this->appliedIndex}, {"jobs", this->scheduler->jobs.size()}, {"workers", this->scheduler->sessions.size()}});
    this->armTick();
    this->runScheduler();
    this->releaseHeldCalls();
}

/** Asks replication where the proposals of the scheduler that has just ended end in the log. */
void FleetCore::findProposalsEnd()
{
    this->proposalsEnd.reset();
    // Replication handles this after the proposals, since it takes up both in the order in which they are made.
    this->replication.inspect([this, term = this->lastLeaderTerm](const ReplicationDetail &detail) {
        asio::post(this->io, [this, term, lastIndex = detail.status.lastIndex] {
            if (term == this->lastLeaderTerm && !this->scheduler) {
                this->proposalsEnd = lastIndex;
                this->beginLeadershipIfReady();
            }
        });
    });
}

/** Returns whether all that an earlier scheduler of this term has proposed is applied. The next one would place tasks without regard to the rest. */
bool FleetCore::areProposalsApplied() const
{
    return this->status.term != this->lastLeaderTerm || (this->proposalsEnd && this->appliedIndex >= *this->proposalsEnd);
}

void FleetCore::endLeadership(std::string_view reason)
{
    logLine(LogArea::Replication, LogLevel::Info, "lead_ends", {{"term", this->scheduler->term}, {"reason", reason}, {"openProposals", this->inFlight.size()}});
    this->ordersInLastTerm = this->scheduler->lastOrder;
    this->scheduler.reset();
    this->outbox.clear();
    std::vector<std::function<void(bool)>> callbacks = std::exchange(this->outboxCallbacks, {});
    for (Batch &batch : this->inFlight) {
        std::move(batch.callbacks.begin(), batch.callbacks.end(), std::back_inserter(callbacks));
    }
    this->inFlight.clear();
    for (const auto &callback : callbacks) {
        reportNotApplied(callback);
    }
    this->tickTimer.expires_after(LeadershipRestartDelay);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->beginLeadershipIfReady();
        }
    });
    this->findProposalsEnd();
}

void FleetCore::propose(FleetCommand command, std::function<void(bool)> done)
{
    this->outbox.push_back(std::move(command));
    this->outboxCallbacks.push_back(std::move(done));
}

bool FleetCore::isLogFull() const
{
    return this->inFlight.size() >= MaxEntriesInFlight;
}

void FleetCore::flush()
{
    while (this->scheduler && !this->outbox.empty() && !this->isLogFull()) {
        this->proposeEntry();
    }
}

void FleetCore::proposeEntry()
{
    EncodedEntry encoded = encodeFirstCommands(this->outbox, MaxEntryBytes);
    const auto count = static_cast<std::ptrdiff_t>(encoded.commands);
    const auto firstRemaining = this->outboxCallbacks.begin() + count;
    std::vector<std::function<void(bool)>> callbacks(std::make_move_iterator(this->outboxCallbacks.begin()), std::make_move_iterator(firstRemaining));
    this->outboxCallbacks.erase(this->outboxCallbacks.begin(), firstRemaining);
    this->outbox.erase(this->outbox.begin(), this->outbox.begin() + count);
    const std::uint64_t number = ++this->lastBatch;
    this->inFlight.push_back({number, 0, std::move(callbacks), steadyNow()});
    this->replication.propose(std::move(encoded.payload), [this, number, term = this->scheduler->term](const ProposedEntry &entry) {
        // This handler runs before the entry is applied, because both are posted from the same thread.
        asio::post(this->io, [this, number, isAccepted = entry.code == ResultCode::Ok && entry.term == term, index = entry.index] {
            const auto batch = std::find_if(this->inFlight.begin(), this->inFlight.end(), [number](const Batch &item) {
                return item.number == number;
            });
            if (batch == this->inFlight.end()) {
                return;
            }
            batch->index = index;
            if (!isAccepted) {
                this->endLeadership("a proposal was rejected");
            }
        });
    });
}

void FleetCore::restartScheduler(std::string_view reason)
{
    if (this->scheduler) {
        this->endLeadership(reason);
    }
}

} // namespace Filbertlanding
