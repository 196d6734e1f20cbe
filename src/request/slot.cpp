/** @file slot.cpp Slots of workers. */

#include "request/slot.h"

#include <utility>

namespace Filbertlanding {

namespace {

    constexpr std::uint64_t InUseMask = 0xffffffffULL;

    constexpr std::uint32_t capacityOf(std::uint64_t word)
    {
        return static_cast<std::uint32_t>(word >> 32);
    }

    constexpr std::uint32_t inUseOf(std::uint64_t word)
    {
        return static_cast<std::uint32_t>(word & InUseMask);
    }

} // namespace

bool SlotCounter::tryAcquire()
{
    std::uint64_t before = this->word.load(std::memory_order_acquire);
    do {
        if (inUseOf(before) >= capacityOf(before)) {
            return false;
        }
    } while (!this->word.compare_exchange_weak(before, before + 1, std::memory_order_acq_rel));
    return true;
}

void SlotCounter::release()
{
    this->word.fetch_sub(1, std::memory_order_acq_rel);
}

void SlotCounter::setCapacity(std::uint32_t capacity)
{
    std::uint64_t before = this->word.load(std::memory_order_acquire);
    std::uint64_t after = 0;
    do {
        after = std::uint64_t{capacity} << 32 | inUseOf(before);
    } while (!this->word.compare_exchange_weak(before, after, std::memory_order_acq_rel));
}

std::uint32_t SlotCounter::capacity() const
{
    return capacityOf(this->word.load(std::memory_order_acquire));
}

std::uint32_t SlotCounter::inUse() const
{
    return inUseOf(this->word.load(std::memory_order_acquire));
}

SlotGuard::~SlotGuard()
{
    this->release();
}

SlotGuard::SlotGuard(SlotGuard &&other) noexcept
    : workerEntry(std::move(other.workerEntry))
    , peerEntry(std::move(other.peerEntry))
{
}

SlotGuard &SlotGuard::operator=(SlotGuard &&other) noexcept
{
    if (this != &other) {
        this->release();
        this->workerEntry = std::move(other.workerEntry);
        this->peerEntry = std::move(other.peerEntry);
    }
    return *this;
}

SlotGuard SlotGuard::acquireWorker(const std::shared_ptr<WorkerEntry> &entry, TimePoint now, SlotRefusal &refusal)
{
    SlotGuard guard;
    if (!entry->slots.tryAcquire()) {
        refusal = SlotRefusal::Full;
        return guard;
    }
    guard.workerEntry = entry;
    // Read after acquiring the slot: a handover that ended the lease before is seen here, and a later handover finds the slot in use.
    if (now.ms >= entry->leaseEndMs.load(std::memory_order_seq_cst)) {
        refusal = SlotRefusal::LeaseEnded;
        guard.release();
        return guard;
    }
    refusal = SlotRefusal::None;
    return guard;
}

SlotGuard SlotGuard::acquirePeer(const std::shared_ptr<PeerEntry> &entry)
{
    SlotGuard guard;
    if (entry->slots.tryAcquire()) {
        guard.peerEntry = entry;
    }
    return guard;
}

SlotGuard::operator bool() const
{
    return this->workerEntry != nullptr || this->peerEntry != nullptr;
}

const std::shared_ptr<WorkerEntry> &SlotGuard::worker() const
{
    return this->workerEntry;
}

void SlotGuard::release()
{
    if (this->workerEntry != nullptr) {
        this->workerEntry->slots.release();
        this->workerEntry.reset();
    }
    if (this->peerEntry != nullptr) {
        this->peerEntry->slots.release();
        this->peerEntry.reset();
    }
}

} // namespace Filbertlanding
