/** @file final_report.cpp Builds the final report of a service. */

#include "report/final_report.h"

#include "catalog/service_state.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Side of the balance that an outcome belongs to. */
    enum class OutcomeSide : std::uint8_t { Answered, Refused, Cancelled, Unknown };

    OutcomeSide sideOf(ResultCode code)
    {
        if (code == ResultCode::Ok || code == ResultCode::WorkerFailed) {
            return OutcomeSide::Answered;
        }
        // Requests with a malformed header or body are answered before anything is run.
        const auto number = static_cast<int>(code);
        if (isRefusal(code) || (number >= 1000 && number < 2000)) {
            return OutcomeSide::Refused;
        }
        return code == ResultCode::JobCancelled ? OutcomeSide::Cancelled : OutcomeSide::Unknown;
    }

    std::uint64_t &numberOf(ReportRow &row, OutcomeSide side)
    {
        switch (side) {
        case OutcomeSide::Answered:
            return row.answered;
        case OutcomeSide::Refused:
            return row.refused;
        case OutcomeSide::Cancelled:
            return row.cancelled;
        default:
            return row.unknown;
        }
    }

    /** Calls a function for the total row and the rows of a team and a zone. */
    template<class Apply>
    void forRows(FinalReport &report, const TeamName &team, const ZoneName &zone, Apply apply)
    {
        apply(report.total);
        apply(report.teams[team]);
        apply(report.zones[zone]);
    }

    /** Adds the counts of one incarnation. */
    void addIncarnation(FinalReport &report, const OutcomeCounts &counts)
    {
        for (const auto &[key, count] : counts.received) {
            forRows(report, key.team, key.zone, [count = count](ReportRow &row) {
                row.received += count;
            });
        }
        for (const auto &[key, count] : counts.outcomes) {
            const auto side = sideOf(key.code);
            forRows(report, key.team, key.zone, [side, count = count](ReportRow &row) {
                numberOf(row, side) += count;
            });
        }
    }

    /**
     * Accounts for requests without an outcome on an incarnation whose counts are not final. On a running incarnation
     * they are unfinished; on a dead one nobody can tell what became of them.
     */
    void addInFlight(FinalReport &report, const OutcomeCounts &counts, bool isAlive)
    {
        std::map<ReceivedKey, std::uint64_t> ended;
        for (const auto &[key, count] : counts.outcomes) {
            ended[{key.team, key.zone}] += count;
        }
        for (const auto &[key, count] : counts.received) {
            const auto done = ended[key];
            const auto inFlight = count > done ? count - done : 0;
            forRows(report, key.team, key.zone, [inFlight, isAlive](ReportRow &row) {
                (isAlive ? row.unfinished : row.unknown) += inFlight;
            });
        }
    }

    void addRequests(FinalReport &report, const Catalog &catalog, const ServiceRecord &service, const LiveCounts &live, OutcomeCounts &sum)
    {
        for (const auto &[incarnation, served] : service.served) {
            OutcomeCounts counts;
            bool isFinal = served.delivered;
            if (served.revision != 0) {
                const auto decoded = decodeCounts(served.counters);
                if (decoded) {
                    counts = *decoded;
                } else {
                    report.damaged.push_back(incarnation);
                    isFinal = false;
                }
            }
            const auto found = live.find(incarnation);
            if (found != live.end()) {
                mergeCounts(counts, found->second);
            }
            addIncarnation(report, counts);
            addCounts(sum, counts);
            if (!isFinal) {
                addInFlight(report, counts, isRunning(catalog.services, incarnation) && !served.gapAccepted);
            }
            if (!isFinal && !served.gapAccepted) {
                report.missing.push_back(incarnation);
            }
            if (!served.delivered && served.gapAccepted) {
                report.gaps.push_back({incarnation, served.gapOperator, served.gapWallTime});
            }
        }
    }

    void addRefusals(FinalReport &report, const OutcomeCounts &sum)
    {
        std::map<ResultCode, std::uint64_t> reasons;
        for (const auto &[key, count] : sum.outcomes) {
            if (sideOf(key.code) == OutcomeSide::Refused) {
                reasons[key.code] += count;
            }
        }
        for (const auto &[code, count] : reasons) {
            const auto examples = sum.examples.find(code);
            report.refusals.push_back({code, count, examples == sum.examples.end() ? std::vector<RequestId>{} : examples->second});
        }
    }

    void setPercentiles(ReportRow &row, const LatencyHistogram &histogram)
    {
        row.p50Us = latencyPercentile(histogram, 50);
        row.p99Us = latencyPercentile(histogram, 99);
        row.p999Us = latencyPercentile(histogram, 99.9);
    }

    void addLatency(FinalReport &report, const OutcomeCounts &sum)
    {
        LatencyHistogram all;
        for (const auto &[zone, histogram] : sum.latency) {
            setPercentiles(report.zones[zone], histogram);
            for (std::size_t i = 0; i < LatencyBuckets; ++i) {
                all.counts[i] += histogram.counts[i];
            }
        }
        setPercentiles(report.total, all);
    }

    void addJobs(FinalReport &report, const JobTable &table)
    {
        for (const auto &[key, tally] : table.tallies) {
            if (key.service != report.service) {
                continue;
            }
            forRows(report, key.team, key.zone, [&tally = tally](ReportRow &row) {
                row.finished += tally.finished;
                row.failed += tally.failed;
                row.cancelled += tally.cancelled;
                row.evicted += tally.evicted;
                row.resumed += tally.resumed;
            });
            // A job is received by the team and by the zone where it ended; submissions have no zone yet.
            report.total.received += tally.submitted;
            report.teams[key.team].received += tally.submitted;
            report.zones[key.zone].received += tally.finished + tally.failed + tally.cancelled;
        }
        for (const auto &[id, job] : table.jobs) {
            if (job.spec.service != report.service || isTerminal(job.state)) {
                continue;
            }
            forRows(report, job.spec.team, job.lastZone, [](ReportRow &row) {
                ++row.unfinished;
            });
            ++report.zones[job.lastZone].received;
        }
        const auto failed = table.failedJobs.find(report.service);
        if (failed != table.failedJobs.end()) {
            report.failedJobs = failed->second;
        }
    }

    bool names(const std::vector<ServiceName> &services, const ServiceName &service)
    {
        return std::find(services.begin(), services.end(), service) != services.end();
    }

    /** Whether the service was open before the oldest change that is kept. */
    bool wasOpenBefore(const std::vector<ChangeRecord> &history, const ServiceRecord &service, const ServiceName &name)
    {
        if (history.empty() || service.firstVersion >= history.front().version) {
            return false;
        }
        for (const auto &change : history) {
            if (names(change.closed, name)) {
                return true;
            }
            if (names(change.opened, name)) {
                return false;
            }
        }
        return service.open;
    }

    void addChanges(FinalReport &report, const std::vector<ChangeRecord> &history, const ServiceRecord &service)
    {
        bool isOpen = wasOpenBefore(history, service, report.service);
        for (const auto &change : history) {
            const bool isOpened = names(change.opened, report.service);
            const bool isClosed = names(change.closed, report.service);
            if (isOpen || isOpened) {
                report.changes.push_back(change);
            }
            isOpen = (isOpen || isOpened) && !isClosed;
        }
    }

    std::int64_t differenceOf(const ReportRow &row)
    {
        const auto sum = row.answered + row.finished + row.failed + row.refused + row.cancelled + row.unknown + row.unfinished;
        return static_cast<std::int64_t>(row.received - sum);
    }

} // namespace

FinalReport buildReport(const Catalog &catalog, const ServiceName &service, const LiveCounts &live)
{
    FinalReport report;
    report.service = service;
    const auto found = catalog.services.services.find(service);
    if (found == catalog.services.services.end()) {
        return report;
    }
    OutcomeCounts sum;
    report.closed = !found->second.open;
    addRequests(report, catalog, found->second, live, sum);
    addRefusals(report, sum);
    addLatency(report, sum);
    addJobs(report, catalog.jobs);
    addChanges(report, catalog.intent.history, found->second);
    report.difference = differenceOf(report.total);
    report.final = report.closed && report.missing.empty() && report.total.unfinished == 0;
    return report;
}

} // namespace Filbertlanding
