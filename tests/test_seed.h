/** @file test_seed.h Seed of the tests that draw random numbers themselves. */

#pragma once

#include <cstdint>

namespace Filbertlanding {

/** Returns the number in the environment variable FILBERTLANDING_SEED, or a fixed default. */
std::uint64_t testSeed();

} // namespace Filbertlanding
