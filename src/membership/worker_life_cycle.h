/** @file worker_life_cycle.h Life cycle of a worker: announced, healthy, suspect, quarantined, leaving, gone. */

#pragma once

#include "membership/worker_type.h"

#include <memory>

namespace Filbertlanding {

/** What happens to a worker. */
enum class WorkerEvent : std::uint8_t {
    Reported, ///< A report acknowledged an answer in time.
    ReportOverdue, ///< No report came for three report intervals.
    LeaseEnded, ///< The ownership lease has ended.
    HandedOver, ///< Another daemon was named as owner.
    LeaveAnnounced, ///< The worker or an operator announced that it leaves.
    LeaveWithdrawn, ///< The worker takes work again.
    QuarantineStarted, ///< Different jobs failed on it.
    QuarantineEnded, ///< The quarantine time is over; probation begins.
};

constexpr auto WorkerEventNames = makeNameTable<WorkerEvent>({{WorkerEvent::Reported, "reported"},
                                                              {WorkerEvent::ReportOverdue, "reportOverdue"},
                                                              {WorkerEvent::LeaseEnded, "leaseEnded"},
                                                              {WorkerEvent::HandedOver, "handedOver"},
                                                              {WorkerEvent::LeaveAnnounced, "leaveAnnounced"},
                                                              {WorkerEvent::LeaveWithdrawn, "leaveWithdrawn"},
                                                              {WorkerEvent::QuarantineStarted, "quarantineStarted"},
                                                              {WorkerEvent::QuarantineEnded, "quarantineEnded"}});

/** The life cycle of one worker. An event that means nothing in a state leaves the state unchanged. */
class WorkerLifeCycle
{
public:
    WorkerLifeCycle();
    ~WorkerLifeCycle();
    WorkerLifeCycle(WorkerLifeCycle &&) noexcept;
    WorkerLifeCycle &operator=(WorkerLifeCycle &&) noexcept;

    /** Takes an event and returns the state after it. */
    WorkerState process(WorkerEvent event);

    /** Returns the current state. */
    WorkerState state() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine; ///< The Boost.MSM state machine.
};

} // namespace Filbertlanding
