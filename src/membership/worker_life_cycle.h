/** @file worker_life_cycle.h Life cycle of a worker: announced, healthy, suspect, quarantined, leaving, gone. */

#pragma once

#include "membership/worker_type.h"

#include <memory>

namespace Filbertlanding {

/** Event in the life cycle of a worker. */
enum class WorkerEvent : std::uint8_t {
    Reported, ///< A report acknowledged an answer in time.
    ReportOverdue, ///< No report was received for three report intervals.
    LeaseEnded, ///< The ownership lease has ended.
    HandedOver, ///< The worker was redirected to another owner.
    LeaveAnnounced, ///< The worker or an operator announced that the worker is leaving.
    LeaveWithdrawn, ///< The worker is not leaving, or not any more.
    QuarantineStarted, ///< Several different jobs failed on the worker.
    QuarantineEnded, ///< The quarantine expired and the probation begins.
};

constexpr auto WorkerEventNames = makeNameTable<WorkerEvent>({{WorkerEvent::Reported, "reported"},
                                                              {WorkerEvent::ReportOverdue, "reportOverdue"},
                                                              {WorkerEvent::LeaseEnded, "leaseEnded"},
                                                              {WorkerEvent::HandedOver, "handedOver"},
                                                              {WorkerEvent::LeaveAnnounced, "leaveAnnounced"},
                                                              {WorkerEvent::LeaveWithdrawn, "leaveWithdrawn"},
                                                              {WorkerEvent::QuarantineStarted, "quarantineStarted"},
                                                              {WorkerEvent::QuarantineEnded, "quarantineEnded"}});

/** State machine of one worker. An event without a transition leaves the state unchanged. */
class WorkerLifeCycle
{
public:
    WorkerLifeCycle();
    ~WorkerLifeCycle();
    WorkerLifeCycle(WorkerLifeCycle &&) noexcept;
    WorkerLifeCycle &operator=(WorkerLifeCycle &&) noexcept;

    /** Processes an event and returns the new state. */
    WorkerState process(WorkerEvent event);

    WorkerState state() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine; ///< The Boost.MSM state machine.
};

} // namespace Filbertlanding
