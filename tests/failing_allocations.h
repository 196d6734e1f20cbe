/** @file failing_allocations.h Allocations that fail on demand, in programs that link failing_allocations.cpp. */

#pragma once

#include <atomic>

namespace Filbertlanding {

inline std::atomic<long> allocationsLeft{-1}; ///< Allocations until one fails; negative for no fault.
inline std::atomic<bool> isStarving{false}; ///< The allocations of starved threads fail.
inline thread_local bool isStarvedThread = false;

} // namespace Filbertlanding
