/** @file allocation_count.h Measures the memory that a call holds at its peak. For programs that link allocation_count.cpp, which replaces operator new. */

#pragma once

#include <cstddef>

namespace Filbertlanding {

/** Bytes of this thread since the last reset. */
struct AllocationCount {
    std::ptrdiff_t live = 0; ///< Allocated and not released; negative when earlier memory was released.
    std::ptrdiff_t peak = 0; ///< Highest value of live, or the size of a single request that failed.
};

inline thread_local AllocationCount allocationCount;

/** Returns the bytes that a call holds at its peak, beyond what was held before. */
template<class Call>
std::size_t peakBytes(Call call)
{
    allocationCount = {};
    call();
    return static_cast<std::size_t>(allocationCount.peak);
}

} // namespace Filbertlanding
