/** @file outcome_type.h Outcome counts of one daemon incarnation, and their merge. */

#pragma once

#include "core/names_type.h"
#include "core/result_code.h"

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace Filbertlanding {

constexpr std::size_t LatencyBuckets = 208; ///< Buckets of a latency histogram.
constexpr std::size_t MaxExamples = 5; ///< Example request ids kept for each service and refusal reason.

/** A latency histogram with fixed buckets, 8 for each power of two of microseconds; the relative error is at most 1/8. */
struct LatencyHistogram {
    std::array<std::uint64_t, LatencyBuckets> counts{}; ///< Requests in each bucket.

    bool operator==(const LatencyHistogram &) const = default;
};

/** Returns the bucket of a latency in microseconds; the last bucket takes everything from 240 s on. */
std::size_t latencyBucket(std::uint64_t us);

/** Returns the largest latency of a bucket in microseconds. */
std::uint64_t latencyBucketBound(std::size_t bucket);

/** Returns the upper bound in microseconds of the bucket that holds the percentile (0 to 100); 0 without requests. */
std::uint64_t latencyPercentile(const LatencyHistogram &histogram, double percentile);

/** Key of an outcome count. */
struct OutcomeKey {
    TeamName team; ///< Team.
    ZoneName zone; ///< Zone of the daemon that received the request.
    ResultCode code = ResultCode::Ok; ///< Outcome.

    bool operator==(const OutcomeKey &) const = default;

    bool operator<(const OutcomeKey &other) const
    {
        return std::tie(this->team, this->zone, this->code) < std::tie(other.team, other.zone, other.code);
    }
};

/** Key of a received count. */
struct ReceivedKey {
    TeamName team; ///< Team.
    ZoneName zone; ///< Zone.

    bool operator==(const ReceivedKey &) const = default;

    bool operator<(const ReceivedKey &other) const
    {
        return std::tie(this->team, this->zone) < std::tie(other.team, other.zone);
    }
};

/** Counts of one service on one daemon incarnation; every number only grows. */
struct OutcomeCounts {
    std::map<ReceivedKey, std::uint64_t> received; ///< Requests received.
    std::map<OutcomeKey, std::uint64_t> outcomes; ///< Requests by outcome.
    std::map<ZoneName, LatencyHistogram> latency; ///< Latency of answered requests by zone.
    std::map<ResultCode, std::vector<RequestId>> examples; ///< Request ids for each refusal reason; sorted, the smallest MaxExamples.

    bool operator==(const OutcomeCounts &) const = default;
};

/** Merges two states of the same incarnation by maximum. Commutative, associative and idempotent. */
void mergeCounts(OutcomeCounts &into, const OutcomeCounts &from);

/** Returns the entries of a later state that differ from an earlier one; merged into the earlier state they give the later one. */
OutcomeCounts changedSince(const OutcomeCounts &before, const OutcomeCounts &now);

/** Adds the counts of another incarnation. */
void addCounts(OutcomeCounts &into, const OutcomeCounts &from);

/** Returns the bytes of the counts of one service. */
std::string encodeCounts(const OutcomeCounts &counts);

/** Decodes counts from bytes that may be damaged; nothing when they are. */
std::optional<OutcomeCounts> decodeCounts(std::string_view bytes);

} // namespace Filbertlanding
