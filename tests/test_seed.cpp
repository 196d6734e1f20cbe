/** @file test_seed.cpp Seed of the tests that draw random numbers themselves. */

#include "test_seed.h"

#include <cstdlib>

namespace Filbertlanding {

std::uint64_t testSeed()
{
    constexpr std::uint64_t DefaultSeed = 20261204;
    const char *text = std::getenv("FILBERTLANDING_SEED");
    return text == nullptr ? DefaultSeed : std::strtoull(text, nullptr, 10);
}

} // namespace Filbertlanding
