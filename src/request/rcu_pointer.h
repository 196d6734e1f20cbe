/** @file rcu_pointer.h Publishes immutable objects to reader threads by read-copy-update (liburcu, memb flavour). */

#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace Filbertlanding {

/** Registers the calling thread as a reader for the lifetime of the object. Each reader thread needs one. */
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

/** Owns an immutable object that one thread may replace while registered threads read it without blocking. */
template<class T>
class RcuPointer
{
public:
    /** Read access to the object that is current when the guard is created. Keep it for a short time only, since writers wait for it. */
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
        const RcuPointer *owner;
        const T *object = nullptr;
    };

    explicit RcuPointer(std::unique_ptr<const T> first)
        : current(first.release())
    {
    }

    /** There must be no active readers. */
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

    /**
     * Replaces the object, waits until no reader uses the old one, and deletes it.
     * There may be only one writer at a time, and it must not hold a read guard.
     */
    void publish(std::unique_ptr<const T> next)
    {
        const T *old = this->current.exchange(next.release(), std::memory_order_acq_rel);
        RcuDetail::waitForReaders(this);
        delete old;
    }

private:
    std::atomic<const T *> current;
};

} // namespace Filbertlanding
