/** @file final_report.h The final report of a service. */

#pragma once

#include "catalog/catalog_base.h"
#include "report/outcome_type.h"

namespace Filbertlanding {

/** Numbers of one service, team or zone. */
struct ReportRow {
    std::uint64_t received = 0; ///< Requests and jobs received.
    std::uint64_t answered = 0; ///< Requests answered, with or without success of the worker.
    std::uint64_t finished = 0; ///< Jobs finished.
    std::uint64_t failed = 0; ///< Jobs failed.
    std::uint64_t refused = 0; ///< Requests refused; they were not run.
    std::uint64_t cancelled = 0; ///< Jobs cancelled.
    std::uint64_t unknown = 0; ///< Requests whose outcome is unknown.
    std::uint64_t unfinished = 0; ///< Jobs that wait or run.
    std::uint64_t evicted = 0; ///< Evictions of jobs.
    std::uint64_t resumed = 0; ///< Resumes from a checkpoint.
    std::uint64_t p50Us = 0; ///< 50th percentile of the latency of answered requests in microseconds.
    std::uint64_t p99Us = 0; ///< 99th percentile.
    std::uint64_t p999Us = 0; ///< 99.9th percentile.

    bool operator==(const ReportRow &) const = default;
};

/** One reason of refusal. */
struct RefusalRow {
    ResultCode code = ResultCode::Ok; ///< Reason.
    std::uint64_t count = 0; ///< Requests.
    std::vector<RequestId> examples; ///< Some of their ids.
};

/** One accepted gap. */
struct GapRow {
    DaemonIncarnation incarnation; ///< Whose counts are missing.
    std::string operatorName; ///< Who accepted it.
    WallTime wallTime; ///< When.
};

/** The report of a service. */
struct FinalReport {
    ServiceName service; ///< Service.
    bool closed = false; ///< Whether the service is closed.
    bool final = false; ///< Closed, all jobs ended, and the counts of every incarnation delivered or accepted as missing.
    ReportRow total; ///< All numbers.
    std::int64_t difference = 0; ///< Received minus the sum of all outcomes; 0 when the report balances.
    std::map<TeamName, ReportRow> teams; ///< By team; without percentiles.
    std::map<ZoneName, ReportRow> zones; ///< By zone; jobs that were never assigned count under "".
    std::vector<RefusalRow> refusals; ///< By reason.
    std::vector<FailedJob> failedJobs; ///< Failed jobs with reasons, at most MaxFailedJobsListed.
    std::vector<ChangeRecord> changes; ///< Configuration changes while the service was open.
    std::vector<DaemonIncarnation> missing; ///< Incarnations whose final counts are missing.
    std::vector<DaemonIncarnation> damaged; ///< Incarnations whose counts could not be decoded; they count as missing.
    std::vector<GapRow> gaps; ///< Accepted gaps.
};

/** Latest counts of incarnations that are still running, which go into a report that is not final. */
using LiveCounts = std::map<DaemonIncarnation, OutcomeCounts>;

/**
 * Builds the report of a service.
 * @param catalog Replicated state, with final counters and jobs.
 * @param service Service; one that was never open gives an empty report.
 * @param live Counts that are not final; merged by maximum with those of the catalog.
 */
FinalReport buildReport(const Catalog &catalog, const ServiceName &service, const LiveCounts &live);

/** Returns the report as aligned tables for people. */
std::string reportAsText(const FinalReport &report);

/** Returns the report as JSON. */
std::string reportAsJson(const FinalReport &report);

} // namespace Filbertlanding
