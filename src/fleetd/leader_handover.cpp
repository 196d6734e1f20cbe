/** @file leader_handover.cpp Hand-over of the leadership by a core daemon that stops or cannot serve. */

#include "fleetd/leader_handover.h"

#include "core/clock_func.h"
#include "fleetd/fleet_core.h"
#include "runtime/log_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds CheckInterval{10};
    constexpr Duration NotServingTime{500}; ///< A leader that cannot serve for this time gives up its leadership; a new leader first hears who else can.
    constexpr Duration SchedulerRestartTime{1'000}; ///< Longer than the regular delay between two schedulers of a term.

} // namespace

void FleetCore::confirmAlive()
{
    this->replication.confirmOwnerAlive();
    this->checkReplica();
    if (this->scheduler) {
        this->withoutSchedulerSince.reset();
        return;
    }
    const TimePoint now = steadyNow();
    this->withoutSchedulerSince = this->withoutSchedulerSince.value_or(now);
    // The timer that starts the next scheduler may not have been set for want of memory.
    if (now - *this->withoutSchedulerSince >= SchedulerRestartTime) {
        if (!this->proposalsEnd) {
            this->findProposalsEnd();
        }
        this->beginLeadershipIfReady();
    }
}

void FleetCore::setServing(bool canServe)
{
    if (canServe != this->isServing) {
        this->isServing = canServe;
        this->servingChangedAt = steadyNow();
        logLine(LogArea::Replication, canServe ? LogLevel::Info : LogLevel::Warn, "serving_changed", {{"serving", canServe}, {"term", this->status.term}});
        this->replication.setServing(canServe && !this->isStopBegun);
    }
    this->leaveIfNotServing();
    this->leaveIfReplaced();
}

/** Hands over to a voter that stays: the host of this daemon is about to be removed. */
void FleetCore::leaveIfReplaced()
{
    if (this->status.isReplaced && this->scheduler && this->handover.stage == HandoverStage::None && this->status.hasSuccessor) {
        this->beginHandover("a newer core replaces this one");
    }
}

void FleetCore::leaveIfNotServing()
{
    const TimePoint due = std::max(this->servingChangedAt, this->status.leaderSince) + NotServingTime;
    if (this->isServing || !this->scheduler || this->handover.stage != HandoverStage::None || steadyNow() < due) {
        return;
    }
    if (this->status.hasSuccessor) {
        this->beginHandover("its listeners take no connections");
    } else if (this->loggedUnservedTerm != this->status.term) {
        this->loggedUnservedTerm = this->status.term;
        logLine(LogArea::Replication, LogLevel::Warn, "leads_without_control", {{"term", this->status.term}, {"reason", "no other voter can serve"}});
    }
}

void FleetCore::beginHandover(std::string_view reason)
{
    this->handover = {HandoverStage::Finishing, std::string(reason), steadyNow() + Duration{this->settings.electionTimeoutMinMs}};
    logLine(LogArea::Replication,
            LogLevel::Info,
            "handover_begins",
            {{"term", this->status.term}, {"reason", reason}, {"openProposals", this->inFlight.size()}, {"waitingCommands", this->outbox.size()}});
    this->flush();
    this->continueHandover();
    this->armHandoverTimer();
}

void FleetCore::continueHandover()
{
    const bool isDue = steadyNow() >= this->handover.deadline;
    if (this->handover.stage == HandoverStage::Finishing && (isDue || (this->outbox.empty() && this->inFlight.empty()))) {
        this->transferLeadership();
    } else if (this->handover.stage == HandoverStage::Transferring && isDue && this->isOnlyVoter()) {
        // Replication steps down as soon as its thread runs, unless nobody else can lead.
        this->handover = {};
        this->beginLeadershipIfReady();
    }
}

/** Ends the scheduler first, so that nothing is done under the lease that the transfer renounces. */
void FleetCore::transferLeadership()
{
    this->handover.stage = HandoverStage::Transferring;
    this->handover.deadline = steadyNow() + Duration{this->settings.electionTimeoutMaxMs};
    const std::size_t openProposals = this->inFlight.size();
    if (this->scheduler) {
        this->endLeadership(this->handover.reason);
    }
    this->replication.transferLeadership();
    logLine(LogArea::Replication,
            LogLevel::Info,
            "leadership_handed_over",
            {{"term", this->status.term}, {"reason", this->handover.reason}, {"openProposals", openProposals}});
}

void FleetCore::armHandoverTimer()
{
    this->handoverTimer.expires_after(CheckInterval);
    this->handoverTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->continueHandover();
        this->continueStop();
        if (this->handover.stage != HandoverStage::None || this->onReplaced) {
            this->armHandoverTimer();
        }
    });
}

void FleetCore::beginStop(Duration limit, std::function<void()> replaced)
{
    this->isStopBegun = true;
    this->stopDeadline = steadyNow() + limit;
    this->onReplaced = std::move(replaced);
    this->replication.setServing(false);
    this->armHandoverTimer();
}

void FleetCore::continueStop()
{
    if (!this->onReplaced) {
        return;
    }
    // Another daemon that stops may have offered the leadership to this one, which starts no scheduler any more.
    if (this->status.role == RaftRole::Leader && this->handover.stage == HandoverStage::None && this->status.hasSuccessor) {
        this->beginHandover("the daemon is stopping");
    }
    if (!this->isReplicaRunning() || this->isOtherLeaderKnown() || this->isOnlyVoter() || steadyNow() >= this->stopDeadline) {
        std::exchange(this->onReplaced, {})();
    }
}

bool FleetCore::isOnlyVoter() const
{
    return this->status.membership.voters.size() <= 1;
}

bool FleetCore::isOtherLeaderKnown() const
{
    return this->isReplicaRunning() && !this->status.leader.empty() && this->status.leader != this->settings.address;
}

} // namespace Filbertlanding
