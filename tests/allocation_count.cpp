/** @file allocation_count.cpp Replaces operator new and operator delete by ones that count. */

#include "allocation_count.h"

#include <algorithm>
#include <cstdlib>
#include <new>

#include <malloc.h>

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
