/** @file rcu_pointer.cpp Wrappers of liburcu. They are not inline, so that only this file includes its headers. */

#include "request/rcu_pointer.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" {
void __tsan_acquire(void *address); // NOLINT(readability-identifier-naming): name given by the sanitizer
void __tsan_release(void *address); // NOLINT(readability-identifier-naming): name given by the sanitizer
}
#endif

namespace Filbertlanding {

RcuThread::RcuThread()
{
    urcu_memb_register_thread();
}

RcuThread::~RcuThread()
{
    urcu_memb_unregister_thread();
}

namespace RcuDetail {

    void readLock()
    {
        urcu_memb_read_lock();
    }

    void readUnlock([[maybe_unused]] const void *pointer)
    {
        // liburcu is not instrumented, so tell the sanitizer that the reads happen before the reclamation.
#if defined(__SANITIZE_THREAD__)
        __tsan_release(const_cast<void *>(pointer));
#endif
        urcu_memb_read_unlock();
    }

    void waitForReaders([[maybe_unused]] const void *pointer)
    {
        urcu_memb_synchronize_rcu();
#if defined(__SANITIZE_THREAD__)
        __tsan_acquire(const_cast<void *>(pointer));
#endif
    }

} // namespace RcuDetail

} // namespace Filbertlanding
