/** @file rcu_pointer.h Publishes immutable objects to reader threads by read-copy-update (liburcu, memb flavour). */

#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace Filbertlanding {

/** Registers the calling thread as a reader for the life of the object. Each reading thread needs one. */
class RcuThread
{
public:
    RcuThread();
    ~RcuThread();
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;
};

namespace RcuDetail {
    void readLock();
    void readUnlock(const void *pointer);
    void waitForReaders(const void *pointer);
} // namespace RcuDetail

/** Holds one immutable object that one thread replaces and registered threads read without waiting. */
template<class T>
class RcuPointer
{
public:
    /** Gives access to the object that was current when it was made. Hold it briefly: a writer waits for it. */
    class ReadGuard
    {
    public:
        explicit ReadGuard(const RcuPointer &source)
            : owner(&source)
        {
            RcuDetail::readLock();
            this->object = source.current.load(std::memory_order_acquire);
        }

        ~ReadGuard()
        {
            RcuDetail::readUnlock(this->owner);
        }

        ReadGuard(const ReadGuard &) = delete;
        ReadGuard &operator=(const ReadGuard &) = delete;

        const T *get() const
        {
            return this->object;
        }

        const T &operator*() const
        {
            return *this->object;
        }

        const T *operator->() const
        {
            return this->object;
        }

    private:
        const RcuPointer *owner; ///< Where the object comes from.
        const T *object = nullptr; ///< The object.
    };

    explicit RcuPointer(std::unique_ptr<const T> first)
        : current(first.release())
    {
    }

    /** No reader may be active any more. */
    ~RcuPointer()
    {
        delete this->current.load(std::memory_order_acquire);
    }

    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    /** Returns a guard for reading. The calling thread must be registered. */
    ReadGuard read() const
    {
        return ReadGuard(*this);
    }

    /** Replaces the object, waits until no reader uses the old one, and deletes it. One writer at a time; the writer holds no guard. */
    void publish(std::unique_ptr<const T> next)
    {
        const T *old = this->current.exchange(next.release(), std::memory_order_acq_rel);
        RcuDetail::waitForReaders(this);
        delete old;
    }

private:
    std::atomic<const T *> current; ///< The published object.
};

} // namespace Filbertlanding
