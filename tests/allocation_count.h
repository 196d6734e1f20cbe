/** @file allocation_count.h Measures the memory that a call holds at its peak. Include it in one file of a test program: it replaces operator new. */

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

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

void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    auto &count = Filbertlanding::allocationCount;
    count.peak = std::max(count.peak, count.live + static_cast<std::ptrdiff_t>(size));
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (memory != nullptr) {
        count.live += static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
    }
    return memory;
}

void *operator new(std::size_t size)
{
    void *memory = operator new(size, std::nothrow);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    Filbertlanding::allocationCount.live -= memory == nullptr ? 0 : static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}
