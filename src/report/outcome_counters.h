/** @file outcome_counters.h Outcome counters that request threads increment. */

#pragma once

#include "report/outcome_type.h"

#include <memory>

namespace Filbertlanding {

constexpr std::size_t MaxSeries = 4096; ///< Distinct pairs of service and team; requests beyond it are counted under the team "(other)".

/** Handle of one pair of service and team; valid for the life of the counters. */
struct OutcomeSeries;

/**
 * Counters of one daemon incarnation. An increment takes no lock: the series is looked up once for each request and
 * its counters are atomics, spread over shards so that threads seldom write the same cache line.
 */
class OutcomeCounters
{
public:
    explicit OutcomeCounters(ZoneName zone);
    ~OutcomeCounters();
    OutcomeCounters(const OutcomeCounters &) = delete;
    OutcomeCounters &operator=(const OutcomeCounters &) = delete;

    /** Returns the series of a service and a team, made on first use. Thread-safe; takes a lock only on first use in a thread's shard. */
    OutcomeSeries &series(const ServiceName &service, const TeamName &team);

    /** Counts a received request. Thread-safe. */
    void countReceived(OutcomeSeries &series);

    /**
     * Counts the outcome of a request. Thread-safe.
     * @param series Series of the request.
     * @param code Outcome.
     * @param latencyUs Time from receipt to answer in microseconds; counted only for Ok.
     * @param request Kept as an example for refusals and unknown outcomes.
     */
    void countOutcome(OutcomeSeries &series, ResultCode code, std::uint64_t latencyUs, const RequestId &request);

    /**
     * Returns the counts of every service. May run beside increments. A request's outcome is never in a snapshot that
     * lacks its receipt, since outcomes are read first.
     */
    std::map<ServiceName, OutcomeCounts> snapshot() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace Filbertlanding
