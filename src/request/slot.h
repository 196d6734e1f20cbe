/** @file slot.h Slots of workers: taken by compare-and-exchange before a byte is sent, released after the whole answer. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "request/latency_estimate.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace Filbertlanding {

/** Why a slot could not be taken. */
enum class SlotRefusal : std::uint8_t {
    None, ///< The slot was taken.
    Full, ///< All slots are in use.
    LeaseEnded, ///< The daemon does not own the worker now.
};

/**
 * A number of slots and how many are in use, in one atomic word.
 * One word makes it impossible that a slot is taken against a capacity that has just shrunk.
 */
class SlotCounter
{
public:
    /** Takes a slot unless all are in use. @return Whether it was taken. */
    bool tryAcquire();

    /** Gives a slot back. */
    void release();

    /** Sets the number of slots. Slots in use above it stay in use, and none is taken until enough are released. */
    void setCapacity(std::uint32_t capacity);

    /** Returns whether a slot is free, by one read. */
    bool hasFree() const
    {
        const std::uint64_t now = this->word.load(std::memory_order_acquire);
        return (now & 0xffffffffULL) < now >> 32;
    }

    /** Returns the number of slots. */
    std::uint32_t capacity() const;

    /** Returns the number of slots in use. */
    std::uint32_t inUse() const;

private:
    std::atomic<std::uint64_t> word{0}; ///< Capacity in the high half, slots in use in the low half.
};

/** One service on one owned worker. It outlives the routing tables that name it. */
struct alignas(64) WorkerEntry {
    SlotCounter slots; ///< Announced slots, less what is in flight under earlier owners.
    std::atomic<std::int64_t> leaseEndMs{0}; ///< The daemon owns the worker before this time of its steady clock; 0 for not owned.
    std::atomic<std::int64_t> ejectedUntilMs{0}; ///< The worker is ejected before this time.
    std::atomic<std::uint64_t> ownerEpoch{0}; ///< Sent with each request, so that the worker refuses an earlier owner.
    std::atomic<std::uint32_t> batchSlowdownPermille{0}; ///< Expected slowdown of requests by batch tasks on the worker, in 1/1000.
    std::atomic<bool> leaving{false}; ///< The worker takes no new work.
    std::atomic<bool> probation{false}; ///< The worker was ejected and gets one request at a time.
    LatencyEstimate latency; ///< Time to the whole answer.
    WorkerName worker; ///< The worker. This and the following members do not change.
    ServiceName service; ///< The service.
    std::string address; ///< IP number of the worker.
    std::uint16_t port = 0; ///< Port of the worker.
};

/** A peer daemon's slots for one service, as far as this daemon may use them. It outlives the routing tables that name it. */
struct PeerEntry {
    SlotCounter slots; ///< Requests that may be forwarded at once until the next load summary.
};

/** Holds a taken slot and releases it at the end of its life. */
class SlotGuard
{
public:
    SlotGuard() = default;
    ~SlotGuard();
    SlotGuard(SlotGuard &&other) noexcept;
    SlotGuard &operator=(SlotGuard &&other) noexcept;

    /** Takes a slot of a worker at this time. @param refusal Set to the reason when none was taken. */
    static SlotGuard acquireWorker(const std::shared_ptr<WorkerEntry> &entry, TimePoint now, SlotRefusal &refusal);

    /** Takes a slot of a peer; empty when there is none. */
    static SlotGuard acquirePeer(const std::shared_ptr<PeerEntry> &entry);

    /** Returns whether a slot is held. */
    explicit operator bool() const;

    /** Returns the worker whose slot is held, or nullptr. */
    const std::shared_ptr<WorkerEntry> &worker() const;

    /** Releases the slot now. */
    void release();

private:
    std::shared_ptr<WorkerEntry> workerEntry; ///< Worker whose slot is held.
    std::shared_ptr<PeerEntry> peerEntry; ///< Peer whose slot is held.
};

} // namespace Filbertlanding
