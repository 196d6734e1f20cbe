/** @file core_status_log.cpp Regular log lines and metrics that tell who leads, who votes, and which voters answer. */

#include "fleetd/core_status_log.h"

#include "core/clock_func.h"
#include "core/name_table.h"
#include "replication/raft_func.h"
#include "runtime/histogram.h"
#include "runtime/log_func.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds SampleInterval{500};
    constexpr Duration StateInterval{5'000};
    constexpr Duration ReplicaInterval{5'000}; ///< Interval of the lines about a replica that does not run.
    constexpr Duration MissingDelay{3'000}; ///< Covers an election that fails once.
    constexpr Duration MissingInterval{10'000};

    constexpr auto ReportAnswerNames = makeNameTable<ReportAnswer>({
        {ReportAnswer::Taken, "taken"},
        {ReportAnswer::SentElsewhere, "sent_elsewhere"},
        {ReportAnswer::WithoutLeader, "without_leader"},
        {ReportAnswer::Wrong, "wrong"},
    });

    bool holds(const std::vector<VoterId> &list, const VoterId &id)
    {
        return std::find(list.begin(), list.end(), id) != list.end();
    }

    std::vector<VoterId> without(std::vector<VoterId> list, const std::vector<VoterId> &others)
    {
        std::erase_if(list, [&others](const VoterId &id) {
            return holds(others, id);
        });
        return list;
    }

    /** Returns the identities other than voters of which a message has come since a moment. */
    std::vector<VoterId> othersHeardSince(const ReplicationDetail &detail, TimePoint since)
    {
        std::vector<VoterId> others;
        for (const auto &[id, heardAt] : detail.heardAt) {
            if (heardAt >= since && !holds(detail.status.membership.voters, id)) {
                others.push_back(id);
            }
        }
        return others;
    }

    /** Returns the daemons of some voters that now have another data folder than the one that votes. */
    std::vector<VoterId> withOtherDisk(const std::vector<VoterId> &voters, const std::vector<VoterId> &others)
    {
        std::vector<VoterId> result;
        for (const VoterId &voter : voters) {
            const bool isThere = std::any_of(others.begin(), others.end(), [&voter](const VoterId &other) {
                return other.daemon == voter.daemon;
            });
            if (isThere) {
                result.push_back(voter);
            }
        }
        return result;
    }

    bool isVoter(const ReplicationDetail &detail)
    {
        return holds(detail.status.membership.voters, detail.status.self);
    }

} // namespace

std::string joinNames(const std::vector<VoterId> &replicas)
{
    std::string names;
    for (const VoterId &replica : replicas) {
        names += (names.empty() ? "" : ",") + replica.daemon;
    }
    return names;
}

std::string_view replicaRoleName(const ReplicaHealth &health, RaftRole role)
{
    const bool hasRole = health.condition == ReplicaCondition::Running || health.condition == ReplicaCondition::Silent;
    return hasRole ? roleName(role) : "none";
}

CoreStatusLog::CoreStatusLog(boost::asio::io_context &loop)
    : io(loop)
    , timer(loop)
{
}

void CoreStatusLog::start(Inspect inspect, std::function<CoreActivity()> activity, Duration longestElection)
{
    this->readDetail = std::move(inspect);
    this->readActivity = std::move(activity);
    this->electionTime = longestElection;
    const TimePoint now = steadyNow();
    this->leaderlessSince = now;
    this->stateDue = now + StateInterval;
    this->armTimer();
}

void CoreStatusLog::stop()
{
    this->isStopped = true;
    this->timer.cancel();
}

void CoreStatusLog::setLeaderKnown(bool isKnown)
{
    const TimePoint now = steadyNow();
    if (!isKnown) {
        this->leaderlessSince = this->leaderlessSince.value_or(now);
        return;
    }
    if (this->missingLoggedAt) {
        logLine(LogArea::Replication, LogLevel::Info, "quorum_found", {{"afterMs", (now - this->leaderlessSince.value_or(now)).ms}});
    }
    this->leaderlessSince.reset();
    this->missingLoggedAt.reset();
}

void CoreStatusLog::countReport(ReportAnswer answer)
{
    ++this->reports[static_cast<std::size_t>(answer)];
}

Duration CoreStatusLog::timeWithoutLeader() const
{
    return this->leaderlessSince ? steadyNow() - *this->leaderlessSince : Duration{0};
}

void CoreStatusLog::armTimer()
{
    this->timer.expires_after(SampleInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->isStopped) {
            this->armTimer(); // First, so that an exception below ends this round only.
            this->onTimer();
        }
    });
}

void CoreStatusLog::onTimer()
{
    if (this->isInspecting) {
        // The replication thread is busy, for example with a slow disk; the lines tell how old the sample is.
        this->logDueLines();
        return;
    }
    this->readDetail([this](ReplicationDetail next) {
        boost::asio::post(this->io, [this, moved = std::move(next)]() mutable {
            this->detail = std::move(moved);
            this->isInspecting = false;
            this->logDueLines();
        });
    });
    this->isInspecting = true; // The answer is handled on this event loop, so it comes later.
}

void CoreStatusLog::logDueLines()
{
    const TimePoint now = steadyNow();
    const ReplicaHealth replica = this->readActivity().replica;
    this->logReplica(replica, now);
    if (now >= this->stateDue) {
        this->stateDue = now + StateInterval;
        this->logState();
    }
    const bool isDue = this->missingLoggedAt ? now - *this->missingLoggedAt >= MissingInterval : this->timeWithoutLeader() >= MissingDelay;
    if (this->leaderlessSince && isDue && replica.condition == ReplicaCondition::Running && isVoter(this->detail)) {
        this->logMissingQuorum();
        this->missingLoggedAt = now;
    }
}

/** Logs each change of the condition, and at intervals that the replica does not run. */
void CoreStatusLog::logReplica(const ReplicaHealth &health, TimePoint now)
{
    const bool isRunning = health.condition == ReplicaCondition::Running;
    const bool isChanged = health.condition != this->loggedReplica.condition || health.code != this->loggedReplica.code;
    if (isChanged) {
        logLine(LogArea::Replication,
                isRunning ? LogLevel::Info : LogLevel::Warn,
                "replica_changed",
                {{"replica", replicaConditionName(health.condition)},
                 {"before", replicaConditionName(this->loggedReplica.condition)},
                 {"code", resultCodeRow(health.code).name}});
        this->loggedReplica = health;
        this->replicaDue = now + ReplicaInterval;
    } else if (!isRunning && now >= this->replicaDue) {
        logLine(LogArea::Replication,
                LogLevel::Warn,
                "replica_not_running",
                {{"replica", replicaConditionName(health.condition)}, {"code", resultCodeRow(health.code).name}, {"forMs", (now - health.since).ms}});
        this->replicaDue = now + ReplicaInterval;
    }
}

std::vector<VoterId> CoreStatusLog::votersHeardSince(TimePoint since) const
{
    std::vector<VoterId> voters;
    for (const VoterId &voter : this->detail.status.membership.voters) {
        const auto heard = this->detail.heardAt.find(voter);
        if (voter == this->detail.status.self || (heard != this->detail.heardAt.end() && heard->second >= since)) {
            voters.push_back(voter);
        }
    }
    return voters;
}

void CoreStatusLog::logState()
{
    const ReplicationStatus &status = this->detail.status;
    const CoreActivity activity = this->readActivity();
    const auto countOf = [this](ReportAnswer answer) {
        const auto index = static_cast<std::size_t>(answer);
        return this->reports[index] - this->reportsAtLastLine[index];
    };
    const TimePoint now = steadyNow();
    const bool isLeader = status.role == RaftRole::Leader;
    const std::int64_t contactAgeMs = this->detail.leaderContact ? (this->detail.at - *this->detail.leaderContact).ms : -1;
    // A follower receives messages from the leader only.
    const bool hearsVoters = isLeader || status.leader.empty();
    const std::vector<VoterId> heard = hearsVoters ? this->votersHeardSince(this->detail.at - this->electionTime) : std::vector<VoterId>();
    logLine(LogArea::Replication,
            LogLevel::Info,
            "replication_state",
            {{"replica", replicaConditionName(activity.replica.condition)},
             {"replicaCode", resultCodeRow(activity.replica.code).name},
             {"replicaForMs", (now - activity.replica.since).ms},
             {"role", replicaRoleName(activity.replica, status.role)},
             {"term", status.term},
             {"leader", status.leader},
             {"leaderContactMs", isLeader ? 0 : contactAgeMs},
             {"voters", joinNames(status.membership.voters)},
             {"heard", joinNames(heard)},
             {"joining", joinNames(status.membership.joining)},
             {"commitIndex", status.commitIndex},
             {"appliedIndex", activity.appliedIndex},
             {"lastIndex", status.lastIndex},
             {"scheduler", activity.hasScheduler},
             {"lease", activity.hasLease},
             {"reads", activity.openReads},
             {"oldestReadMs", activity.oldestRead.ms},
             {"quorumReads", this->detail.openReads},
             {"reportsTaken", countOf(ReportAnswer::Taken)},
             {"reportsSentElsewhere", countOf(ReportAnswer::SentElsewhere)},
             {"reportsWithoutLeader", countOf(ReportAnswer::WithoutLeader)},
             {"reportsWrong", countOf(ReportAnswer::Wrong)},
             {"sampleAgeMs", (now - this->detail.at).ms}});
    this->reportsAtLastLine = this->reports;
}

void CoreStatusLog::logMissingQuorum()
{
    const std::vector<VoterId> &voters = this->detail.status.membership.voters;
    const TimePoint since = this->missingLoggedAt.value_or(*this->leaderlessSince);
    const std::vector<VoterId> heard = this->votersHeardSince(since);
    const std::vector<VoterId> missing = without(voters, heard);
    const std::vector<VoterId> others = othersHeardSince(this->detail, since);
    logLine(LogArea::Replication,
            LogLevel::Warn,
            "quorum_missing",
            {{"term", this->detail.status.term},
             {"forMs", this->timeWithoutLeader().ms},
             {"needed", voters.size() / 2 + 1},
             {"voters", joinNames(voters)},
             {"heard", joinNames(heard)},
             {"missing", joinNames(missing)},
             {"otherDisk", joinNames(withOtherDisk(missing, others))},
             {"notVoting", joinNames(others)}});
}

void CoreStatusLog::appendMetrics(std::string &text) const
{
    const ReplicationStatus &status = this->detail.status;
    const CoreActivity activity = this->readActivity ? this->readActivity() : CoreActivity();
    constexpr std::int64_t MsPerSecond = 1'000;
    for (const ReplicaCondition condition : {ReplicaCondition::Opening, ReplicaCondition::Running, ReplicaCondition::Silent, ReplicaCondition::Failed}) {
        const std::string name = "filbertlanding_replica{condition=\"" + std::string(replicaConditionName(condition)) + "\"}";
        appendMetric(text, name, activity.replica.condition == condition ? 1 : 0);
    }
    const bool isRunning = activity.replica.condition == ReplicaCondition::Running;
    const std::int64_t notRunningMs = isRunning ? 0 : (steadyNow() - activity.replica.since).ms;
    appendMetric(text, "filbertlanding_seconds_without_replica", static_cast<std::uint64_t>(notRunningMs / MsPerSecond));
    appendMetric(text, "filbertlanding_voters", status.membership.voters.size());
    appendMetric(text, "filbertlanding_voters_heard", this->votersHeardSince(this->detail.at - this->electionTime).size());
    appendMetric(text, "filbertlanding_joining", status.membership.joining.size());
    appendMetric(text, "filbertlanding_has_leader", this->leaderlessSince ? 0 : 1);
    appendMetric(text, "filbertlanding_seconds_without_leader", static_cast<std::uint64_t>(this->timeWithoutLeader().ms / MsPerSecond));
    appendMetric(text, "filbertlanding_commit_index", status.commitIndex);
    appendMetric(text, "filbertlanding_applied_index", activity.appliedIndex);
    appendMetric(text, "filbertlanding_reads_waiting", activity.openReads);
    for (const auto &row : ReportAnswerNames.rows) {
        appendMetric(text, "filbertlanding_reports_total{answer=\"" + std::string(row.name) + "\"}", this->reports[static_cast<std::size_t>(row.value)]);
    }
}

} // namespace Filbertlanding
