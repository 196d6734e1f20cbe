/** @file slot_test.cpp Tests of slots and of read-copy-update publication to several threads. */

#include "request/rcu_pointer.h"
#include "request/slot.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <thread>

using namespace Filbertlanding;

namespace {

/** A published object whose contents become inconsistent on destruction, to detect reads after its deletion. */
struct CheckedTable {
    std::uint64_t version = 0;
    std::vector<std::uint64_t> copies;
    std::shared_ptr<WorkerEntry> entry;

    CheckedTable(std::uint64_t number, std::shared_ptr<WorkerEntry> shared)
        : version(number)
        , copies(16, number)
        , entry(std::move(shared))
    {
    }

    ~CheckedTable()
    {
        std::fill(this->copies.begin(), this->copies.end(), UINT64_MAX);
    }

    bool intact() const
    {
        return std::all_of(this->copies.begin(), this->copies.end(), [this](std::uint64_t copy) {
            return copy == this->version;
        });
    }
};

} // namespace

TEST_CASE("A slot counter agrees with a reference counter, also when the capacity decreases")
{
    CHECK(rc::check("any sequence of acquire, release and change of the capacity", [](const std::vector<std::uint8_t> &steps) {
        SlotCounter slots;
        std::uint32_t capacity = 0;
        std::uint32_t held = 0;
        for (const std::uint8_t step : steps) {
            if (step % 4 == 0) {
                capacity = step / 16U;
                slots.setCapacity(capacity);
            } else if (step % 4 == 1 && held > 0) {
                slots.release();
                --held;
            } else if (step % 4 != 1) {
                const bool expected = held < capacity;
                RC_ASSERT(slots.tryAcquire() == expected);
                held += expected ? 1 : 0;
            }
            RC_ASSERT(slots.inUse() == held);
            RC_ASSERT(slots.capacity() == capacity);
        }
    }));
}

TEST_CASE("A slot is acquired only while the ownership lease lasts")
{
    // Guards against a process that was paused and continues under a lease that has ended.
    const auto entry = std::make_shared<WorkerEntry>();
    entry->slots.setCapacity(2);
    entry->leaseEndMs = 5000;
    SlotRefusal refusal = SlotRefusal::None;
    {
        SlotGuard first = SlotGuard::acquireWorker(entry, TimePoint{4999}, refusal);
        CHECK(refusal == SlotRefusal::None);
        SlotGuard moved = std::move(first);
        CHECK(entry->slots.inUse() == 1);
        CHECK_FALSE(SlotGuard::acquireWorker(entry, TimePoint{5000}, refusal));
        CHECK(refusal == SlotRefusal::LeaseEnded);
        CHECK(entry->slots.inUse() == 1);
    }
    CHECK(entry->slots.inUse() == 0);
}

TEST_CASE("Several threads acquire slots through published tables")
{
    // Guards against freeing a table while it is read, and against more requests than slots. Also run under the thread sanitizer.
    constexpr std::uint32_t MaxCapacity = 6;
    constexpr std::size_t ThreadCount = 4;
    const auto entry = std::make_shared<WorkerEntry>();
    entry->slots.setCapacity(MaxCapacity);
    entry->leaseEndMs = 1000;
    RcuPointer<CheckedTable> published(std::make_unique<const CheckedTable>(0, entry));
    std::atomic<std::uint32_t> held{0};
    std::atomic<std::uint32_t> violations{0};
    std::atomic<std::uint64_t> taken{0};
    std::atomic<bool> done{false};
    const auto useSlots = [&] {
        const RcuThread registration;
        SlotRefusal refusal = SlotRefusal::None;
        while (!done.load()) {
            SlotGuard slot;
            {
                const auto table = published.read();
                violations += table->intact() ? 0 : 1;
                slot = SlotGuard::acquireWorker(table->entry, TimePoint{1}, refusal);
            }
            if (slot) {
                violations += held.fetch_add(1) >= MaxCapacity ? 1 : 0;
                ++taken;
                held.fetch_sub(1);
            }
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < ThreadCount + MaxCapacity; ++i) {
        threads.emplace_back(useSlots);
    }
    for (std::uint64_t version = 1; version <= 400 || taken < 2000; ++version) {
        entry->slots.setCapacity(1 + static_cast<std::uint32_t>(version) % MaxCapacity);
        published.publish(std::make_unique<const CheckedTable>(version, entry));
    }
    // With a capacity of 0, the slots in use are released and none is acquired.
    entry->slots.setCapacity(0);
    while (entry->slots.inUse() > 0) {
        std::this_thread::yield();
    }
    const std::uint64_t before = taken;
    for (std::uint64_t version = 0; version < 50; ++version) {
        published.publish(std::make_unique<const CheckedTable>(version, entry));
    }
    CHECK(entry->slots.inUse() == 0);
    done = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(violations == 0);
    CHECK(taken - before <= threads.size());
    CHECK(entry->slots.inUse() == 0);
}
