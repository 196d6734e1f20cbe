/** @file handler_memory.h Memory that is kept for the handler of a recurring wait. */

#pragma once

#include <boost/system/error_code.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <new>
#include <utility>

namespace Filbertlanding {

/**
 * Memory for the handler of one wait. A wait that recurs keeps it, so that it can be set again while the process has no memory left; otherwise what
 * depends on it would end for good. Not for use by several threads at once.
 */
class HandlerMemory
{
public:
    void *allocate(std::size_t bytes)
    {
        if (this->isUsed || bytes > this->storage.size()) {
            return ::operator new(bytes);
        }
        this->isUsed = true;
        return this->storage.data();
    }

    void release(void *memory)
    {
        if (memory != this->storage.data()) {
            ::operator delete(memory);
            return;
        }
        this->isUsed = false;
    }

private:
    static constexpr std::size_t Bytes = 512;

    alignas(std::max_align_t) std::array<std::byte, Bytes> storage{};
    bool isUsed = false;
};

/** Allocator on a HandlerMemory, in the form that the standard library asks for. */
template<class Value>
class HandlerAllocator
{
public:
    using value_type = Value; // NOLINT(readability-identifier-naming): the name is the standard library's

    explicit HandlerAllocator(std::shared_ptr<HandlerMemory> handlerMemory)
        : memory(std::move(handlerMemory))
    {
    }
    template<class Other>
    HandlerAllocator(const HandlerAllocator<Other> &other) // NOLINT(google-explicit-constructor): allocators convert
        : memory(other.memory)
    {
    }

    Value *allocate(std::size_t count)
    {
        return static_cast<Value *>(this->memory->allocate(count * sizeof(Value)));
    }
    void deallocate(Value *values, std::size_t)
    {
        this->memory->release(values);
    }
    template<class Other>
    bool operator==(const HandlerAllocator<Other> &other) const
    {
        return this->memory == other.memory;
    }

    std::shared_ptr<HandlerMemory> memory; ///< Shared, since an event loop may keep the handler longer than its owner lives.
};

/** Handler of a wait whose memory is kept. */
template<class Function>
class KeptHandler
{
public:
    using allocator_type = HandlerAllocator<std::byte>; // NOLINT(readability-identifier-naming): the name is Boost's

    KeptHandler(std::shared_ptr<HandlerMemory> handlerMemory, Function handlerFunction)
        : memory(std::move(handlerMemory))
        , function(std::move(handlerFunction))
    {
    }

    // NOLINTNEXTLINE(readability-identifier-naming): the name is Boost's
    allocator_type get_allocator() const noexcept
    {
        return allocator_type(this->memory);
    }
    void operator()(const boost::system::error_code &error)
    {
        this->function(error);
    }

private:
    const std::shared_ptr<HandlerMemory> memory; ///< Constant, so that a handler that was moved from still knows where its memory is released.
    Function function;
};

} // namespace Filbertlanding
