/** @file slot.h Slots of workers. A slot is acquired by compare-and-exchange before a request is sent and released after its complete answer. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "request/latency_estimate.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace Filbertlanding {

/** Reason why a slot could not be acquired. */
enum class SlotRefusal : std::uint8_t {
    None, ///< The slot was acquired.
    Full, ///< All slots are in use.
    LeaseEnded, ///< The daemon does not currently own the worker.
};

/**
 * Number of slots and number of slots in use, packed in one atomic word.
 * A single word ensures that no slot is acquired against an outdated capacity.
 */
class SlotCounter
{
public:
    /** Acquires a slot unless all are in use. @return Whether a slot was acquired. */
    bool tryAcquire();

    void release();

    /** Sets the number of slots. Excess slots in use stay in use, and none can be acquired until enough are released. */
    void setCapacity(std::uint32_t capacity);

    /** Returns whether a slot is free, with a single load. */
    bool hasFree() const
    {
        const std::uint64_t now = this->word.load(std::memory_order_acquire);
        return (now & 0xffffffffULL) < now >> 32;
    }

    std::uint32_t capacity() const;
    std::uint32_t inUse() const;

private:
    std::atomic<std::uint64_t> word{0}; ///< Capacity in the high half, slots in use in the low half.
};

/** One service on one owned worker. May outlive the routing tables that refer to it. */
struct alignas(64) WorkerEntry {
    SlotCounter slots; ///< Announced slots minus the requests in flight under earlier owners.
    std::atomic<std::int64_t> leaseEndMs{0}; ///< Time on the steady clock when the ownership lease ends; 0 if the worker is not owned.
    std::atomic<std::int64_t> ejectedUntilMs{0}; ///< Time on the steady clock when the ejection ends; 0 if the worker is not ejected.
    std::atomic<std::uint64_t> ownerEpoch{0}; ///< Sent with each request, so that the worker refuses requests of earlier owners.
    std::atomic<std::uint32_t> batchSlowdownPermille{0}; ///< Expected slowdown of requests by batch tasks on the worker, in 1/1000.
    std::atomic<bool> leaving{false}; ///< The worker accepts no new work.
    std::atomic<bool> probation{false}; ///< The worker was ejected and gets one request at a time.
    LatencyEstimate latency; ///< Time until the complete answer.
    WorkerName worker; ///< This and the following members do not change after construction.
    ServiceName service;
    std::string address; ///< IP address of the worker.
    std::uint16_t port = 0; ///< Port of the worker.
};

/** Slots of a peer daemon that this daemon may use for one service. May outlive the routing tables that refer to it. */
struct PeerEntry {
    SlotCounter slots; ///< Requests that may be forwarded concurrently until the next load summary.
};

/** Owns an acquired slot and releases it on destruction. */
class SlotGuard
{
public:
    SlotGuard() = default;
    ~SlotGuard();
    SlotGuard(SlotGuard &&other) noexcept;
    SlotGuard &operator=(SlotGuard &&other) noexcept;

    /**
     * Acquires a slot of a worker if its lease lasts beyond the given time.
     * @param refusal Set to the reason if no slot was acquired, otherwise to None.
     */
    static SlotGuard acquireWorker(const std::shared_ptr<WorkerEntry> &entry, TimePoint now, SlotRefusal &refusal);

    /** Acquires a slot of a peer. Returns an empty guard if none is free. */
    static SlotGuard acquirePeer(const std::shared_ptr<PeerEntry> &entry);

    /** Returns whether a slot is held. */
    explicit operator bool() const;

    /** Returns the worker whose slot is held, or nullptr. */
    const std::shared_ptr<WorkerEntry> &worker() const;

    /** Releases the slot, if one is held. */
    void release();

private:
    std::shared_ptr<WorkerEntry> workerEntry; ///< Worker whose slot is held, or nullptr.
    std::shared_ptr<PeerEntry> peerEntry; ///< Peer whose slot is held, or nullptr.
};

} // namespace Filbertlanding
