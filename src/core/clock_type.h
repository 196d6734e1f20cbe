/** @file clock_type.h The clock types of the project: milliseconds as points in time and as lengths. */

#pragma once

#include <compare>
#include <cstdint>

namespace Filbertlanding {

/** A length of time in milliseconds. */
struct Duration {
    std::int64_t ms = 0; ///< Milliseconds; negative for a span that points backwards.

    constexpr auto operator<=>(const Duration &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->ms);
    }
};

/** A point on this process's steady clock. Points of two processes are not comparable. */
struct TimePoint {
    std::int64_t ms = 0; ///< Milliseconds since an arbitrary start of the process's clock.

    constexpr auto operator<=>(const TimePoint &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->ms);
    }
};

/** A point of time of the calendar, for people only: shown in reports, never compared for a decision. */
struct WallTime {
    std::int64_t ms = 0; ///< Milliseconds since 1970-01-01T00:00:00Z.

    constexpr auto operator<=>(const WallTime &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->ms);
    }
};

constexpr Duration operator+(Duration left, Duration right)
{
    return {left.ms + right.ms};
}

constexpr Duration operator-(Duration left, Duration right)
{
    return {left.ms - right.ms};
}

constexpr Duration operator*(Duration length, std::int64_t factor)
{
    return {length.ms * factor};
}

constexpr Duration operator/(Duration length, std::int64_t divisor)
{
    return {length.ms / divisor};
}

constexpr TimePoint operator+(TimePoint point, Duration length)
{
    return {point.ms + length.ms};
}

constexpr TimePoint operator-(TimePoint point, Duration length)
{
    return {point.ms - length.ms};
}

constexpr Duration operator-(TimePoint later, TimePoint earlier)
{
    return {later.ms - earlier.ms};
}

constexpr Duration MaxClockDriftMargin{100}; ///< Constant part of the allowed difference between two hosts' clocks over one lease.

/**
 * Time that the granter of a lease waits before it treats the lease as ended.
 * Two clocks differ by at most 1% over a lease plus a constant margin.
 * @param lease Length that was granted.
 * @return The length as it may pass on the granter's clock.
 */
constexpr Duration withDrift(Duration lease)
{
    return {lease.ms + lease.ms / 100 + MaxClockDriftMargin.ms};
}

} // namespace Filbertlanding
