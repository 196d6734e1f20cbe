/** @file core_status_log.h Regular log lines and metrics that tell who leads, who votes, and which voters answer. */

#pragma once

#include "core/clock_type.h"
#include "runtime/replication_driver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Filbertlanding {

/** What became of a worker's report. */
enum class ReportAnswer : std::uint8_t {
    Taken, ///< Handled by this daemon as the leader.
    SentElsewhere, ///< The worker was told the address of the leader.
    WithoutLeader, ///< Refused: no leader is known, or the leadership ended before the report was committed.
    Wrong, ///< Refused: the report names no worker to use.
};

/** Returns the last enumerator, for name tables. */
constexpr ReportAnswer lastEnumerator(ReportAnswer)
{
    return ReportAnswer::Wrong;
}

/** State of the daemon that owns the replica, for the log line and the metrics. */
struct CoreActivity {
    ReplicaHealth replica; ///< Whether the replica takes part.
    std::uint64_t appliedIndex = 0;
    bool hasScheduler = false;
    bool hasLease = false; ///< The lease of the leader is valid.
    std::size_t openReads = 0; ///< Reads of the manifest without an answer.
    Duration oldestRead; ///< Age of the oldest of them.
};

/** Names of daemons, separated by commas. */
std::string joinNames(const std::vector<VoterId> &replicas);

/** Returns the name of the role of a replica, and "none" for one that has not been opened or was stopped. */
std::string_view replicaRoleName(const ReplicaHealth &health, RaftRole role);

/** Samples a core daemon, logs its state, and logs when a voter finds no leader. Runs on the event loop. */
class CoreStatusLog
{
public:
    using Inspect = std::function<void(std::function<void(ReplicationDetail)>)>;

    explicit CoreStatusLog(boost::asio::io_context &loop);
    CoreStatusLog(const CoreStatusLog &) = delete;
    CoreStatusLog &operator=(const CoreStatusLog &) = delete;

    /**
     * Begins to sample.
     * @param inspect Reads the state of the replica; its callback may run on any thread.
     * @param activity Returns what the owner knows.
     * @param longestElection Longest election timeout.
     */
    void start(Inspect inspect, std::function<CoreActivity()> activity, Duration longestElection);

    /** Ends the lines. */
    void stop();

    /** Tells whether a leader is known, this daemon included. */
    void setLeaderKnown(bool isKnown);

    /** Counts a report. */
    void countReport(ReportAnswer answer);

    /** Returns the time without a known leader. */
    Duration timeWithoutLeader() const;

    /** Appends the metrics in Prometheus text format. */
    void appendMetrics(std::string &text) const;

private:
    using ReportCounts = std::array<std::uint64_t, static_cast<std::size_t>(lastEnumerator(ReportAnswer{})) + 1>;

    void armTimer();
    void onTimer();
    void logDueLines();
    void logReplica(const ReplicaHealth &health, TimePoint now);
    void logState();
    void logMissingQuorum();
    std::vector<VoterId> votersHeardSince(TimePoint since) const;

    boost::asio::io_context &io;
    boost::asio::steady_timer timer;
    Inspect readDetail;
    std::function<CoreActivity()> readActivity;
    Duration electionTime;
    ReplicationDetail detail; ///< Latest answer of the replication thread.
    bool isInspecting = false; ///< The replication thread has been asked and has not answered yet.
    std::optional<TimePoint> leaderlessSince;
    std::optional<TimePoint> missingLoggedAt; ///< Last line about a missing quorum since a leader was known.
    TimePoint stateDue;
    ReplicaHealth loggedReplica; ///< Condition in the last line about it.
    TimePoint replicaDue; ///< Next line about a replica that does not run.
    ReportCounts reports{};
    ReportCounts reportsAtLastLine{};
    bool isStopped = false;
};

} // namespace Filbertlanding
