/** @file histogram.cpp Histogram of durations for the metrics page. */

#include "runtime/histogram.h"

#include <algorithm>
#include <cstdio>

namespace Filbertlanding {

namespace {

    std::string secondsText(std::int64_t ms)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", static_cast<double>(ms) / 1000.0);
        return text;
    }

} // namespace

void Histogram::record(Duration duration)
{
    const std::int64_t ms = std::max<std::int64_t>(0, duration.ms);
    const auto bound = std::lower_bound(BoundsMs.begin(), BoundsMs.end(), ms);
    if (bound != BoundsMs.end()) {
        ++this->counts[static_cast<std::size_t>(bound - BoundsMs.begin())];
    }
    ++this->total;
    this->sumMs += ms;
}

void Histogram::appendText(std::string &text, std::string_view name) const
{
    const std::string base(name);
    std::uint64_t upTo = 0;
    for (std::size_t i = 0; i < BoundsMs.size(); ++i) {
        upTo += this->counts[i];
        text += base + "_bucket{le=\"" + secondsText(BoundsMs[i]) + "\"} " + std::to_string(upTo) + "\n";
    }
    text += base + "_bucket{le=\"+Inf\"} " + std::to_string(this->total) + "\n";
    text += base + "_sum " + secondsText(this->sumMs) + "\n";
    text += base + "_count " + std::to_string(this->total) + "\n";
}

void appendMetric(std::string &text, std::string_view name, std::uint64_t value)
{
    text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

} // namespace Filbertlanding
