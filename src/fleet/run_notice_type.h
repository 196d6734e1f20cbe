/** @file run_notice_type.h What the leader decides about runs without the word of their worker, or learns against it; for logs and metrics. */

#pragma once

#include "core/clock_type.h"
#include "core/name_table.h"
#include "fleet/worker_order_type.h"

#include <optional>

namespace Filbertlanding {

/** What a notice says about a run. */
enum class RunNoticeKind : std::uint8_t {
    NotListed, ///< Presumed ended: the worker would have to list the run if it had it.
    NotReceived, ///< Presumed ended: the start order has not reached the worker.
    StartRejected, ///< Presumed ended: the worker has rejected the start order.
    StartWithdrawn, ///< Presumed ended: the start order was not sent, because the capacity of the worker has shrunk.
    LeaseExpired, ///< Presumed ended: the worker does not respond, and its lease has expired.
    WorkerReplaced, ///< Presumed ended: a later incarnation has taken the place of the worker.
    WorkerEnded, ///< Presumed ended: the process of the worker has ended.
    RunningUnassigned, ///< The worker lists the run as running although the replicated state does not assign it to the worker.
    DoneUnassigned, ///< The worker lists the run as done although the replicated state does not assign it to the worker, and its task is not done.
};

constexpr auto RunNoticeKindNames = makeNameTable<RunNoticeKind>({
    {RunNoticeKind::NotListed, "not_listed"},
    {RunNoticeKind::NotReceived, "not_received"},
    {RunNoticeKind::StartRejected, "start_rejected"},
    {RunNoticeKind::StartWithdrawn, "start_withdrawn"},
    {RunNoticeKind::LeaseExpired, "lease_expired"},
    {RunNoticeKind::WorkerReplaced, "worker_replaced"},
    {RunNoticeKind::WorkerEnded, "worker_ended"},
    {RunNoticeKind::RunningUnassigned, "running"},
    {RunNoticeKind::DoneUnassigned, "done"},
});

/** Returns whether a notice tells of a run that counts as ended although its worker has not listed its end. */
constexpr bool isPresumedEnd(RunNoticeKind kind)
{
    return kind < RunNoticeKind::RunningUnassigned;
}

/** A notice about a run. */
struct RunNotice {
    RunNoticeKind kind = RunNoticeKind::NotListed;
    TaskName task;
    std::uint32_t run = 0;
    IncarnationNumber incarnation = 0;
    std::optional<Duration> silence; ///< Time since the last response of the worker to this leader; nothing before its first one.
};

} // namespace Filbertlanding
