/** @file histogram.h Histogram of durations for the metrics page. */

#pragma once

#include "core/clock_type.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Filbertlanding {

/** Counts durations in buckets with fixed bounds. Not thread-safe. */
class Histogram
{
public:
    /** Adds a duration; a negative one counts as 0. */
    void record(Duration duration);

    /** Appends the Prometheus text form under a name that ends with its unit, seconds. */
    void appendText(std::string &text, std::string_view name) const;

private:
    static constexpr std::array<std::int64_t, 12> BoundsMs{5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 5'000, 10'000, 30'000};

    std::array<std::uint64_t, BoundsMs.size()> counts{}; ///< Durations up to each bound and above the one before.
    std::uint64_t total = 0;
    std::int64_t sumMs = 0;
};

/** Appends a counter or gauge to a metrics page. */
void appendMetric(std::string &text, std::string_view name, std::uint64_t value);

} // namespace Filbertlanding
