/** @file replication_core.cpp Carries out what a running replica asks for: disk, messages, state machine, status. */

#include "runtime/replication_core.h"

#include "core/clock_func.h"
#include "replication/raft_func.h"
#include "runtime/log_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds TickInterval{20}; ///< Well below the shortest heartbeat interval, so that elections and heartbeats are on time.
    constexpr std::size_t MaxHeardIdentities = 256; ///< Bounds the table of identities of which messages have come.
    constexpr Duration SnapshotRetryTime{10'000}; ///< An owner that could not make a snapshot, for want of memory, is asked again after this time.

} // namespace

void ReplicationDriver::Core::carryOut(RaftActions actions)
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

void ReplicationDriver::Core::shortenLease()
{
    const std::int64_t endMs = leaderLeaseEnd(this->raft).ms;
    if (endMs < this->leaseEndMs) {
        this->leaseEndMs = endMs;
    }
}

bool ReplicationDriver::Core::mayOverlap(const RaftActions &actions) const
{
    const bool hasNewVote = actions.persistHardState && !isSameVote(*actions.persistHardState, this->syncedVote);
    return this->raft.role == RaftRole::Leader && !hasNewVote && !actions.truncateFrom && !actions.persistSnapshot && actions.apply.empty();
}

bool ReplicationDriver::Core::isSameVote(const HardState &left, const HardState &right)
{
    return left.term == right.term && left.votedFor == right.votedFor;
}

void ReplicationDriver::Core::sendAll(const RaftActions &actions) const
{
    for (const RaftEnvelope &envelope : actions.send) {
        this->hooks.send(envelope.to, envelope.message);
    }
}

bool ReplicationDriver::Core::isCommitOnly(const RaftActions &actions) const
{
    const bool writesMore = actions.persistSnapshot || actions.truncateFrom || !actions.append.empty();
    return !this->config.syncsCommitIndex && !writesMore && actions.persistHardState && isSameVote(*actions.persistHardState, this->syncedVote);
}

bool ReplicationDriver::Core::persist(const RaftActions &actions)
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

void ReplicationDriver::Core::finishRead(const ReadReady &ready)
{
    const auto found = this->reads.find(ready.token);
    if (found == this->reads.end()) {
        return;
    }
    const auto done = std::move(found->second);
    this->reads.erase(found);
    done(ready);
}

ReplicationStatus ReplicationDriver::Core::currentStatus() const
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

void ReplicationDriver::Core::reportStatus()
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

void ReplicationDriver::Core::askForSnapshot()
{
    const bool isRequested = this->snapshotRequestedAt && steadyNow() - *this->snapshotRequestedAt < SnapshotRetryTime;
    if (!this->isRunning || isRequested || !wantsSnapshot(this->raft)) {
        return;
    }
    this->snapshotRequestedAt = steadyNow();
    this->hooks.snapshotWanted(this->raft.appliedIndex);
}

void ReplicationDriver::Core::logTransfer(const std::vector<RaftEnvelope> &sent)
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

void ReplicationDriver::Core::logMembershipStep(const std::optional<MembershipStep> &step) const
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

void ReplicationDriver::Core::watchOwner()
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

ReplicationDetail ReplicationDriver::Core::detail() const
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

void ReplicationDriver::Core::noteSender(const VoterId &sender)
{
    if (this->heardAt.size() >= MaxHeardIdentities && !this->heardAt.contains(sender)) {
        const auto oldest = std::min_element(this->heardAt.begin(), this->heardAt.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
        this->heardAt.erase(oldest);
    }
    this->heardAt[sender] = steadyNow();
}

void ReplicationDriver::Core::receive(const RaftMessage &message)
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

void ReplicationDriver::Core::tick()
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

} // namespace Filbertlanding
