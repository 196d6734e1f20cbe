/** @file failing_allocations.cpp Replaces operator new by one that fails on demand. */

#include "failing_allocations.h"

#include <cstdlib>
#include <new>

void *operator new(std::size_t size)
{
    using namespace Filbertlanding;
    const bool isDue = allocationsLeft >= 0 && allocationsLeft-- == 0;
    const bool isRefused = isDue || (isStarving && isStarvedThread);
    void *memory = isRefused ? nullptr : std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
