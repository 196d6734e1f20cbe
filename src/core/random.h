/** @file random.h Seeded random numbers for decision code, the same on every platform. */

#pragma once

#include <cstdint>
#include <string_view>

namespace Filbertlanding {

/** Mixes the bits of a 64-bit number (the finalizer of SplitMix64). */
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/** Hash of a text that is the same in every process (FNV-1a, then mixed); for rendezvous hashing, not for secrets. */
constexpr std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    return mixBits(hash);
}

/** A seeded generator (SplitMix64). */
struct Random {
    std::uint64_t state = 0; ///< Seed at the start, then the position in the sequence.

    /** Returns the next 64 random bits. */
    constexpr std::uint64_t next()
    {
        const std::uint64_t value = mixBits(this->state);
        this->state += 0x9e3779b97f4a7c15ULL;
        return value;
    }

    /** Returns a number from 0 to bound - 1, or 0 when bound is 0. */
    constexpr std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : this->next() % bound;
    }

    /** Returns a number from 0 up to, but without, 1. */
    constexpr double unit()
    {
        return static_cast<double>(this->next() >> 11) * 0x1.0p-53;
    }
};

} // namespace Filbertlanding
