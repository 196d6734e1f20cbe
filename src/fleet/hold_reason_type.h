/** @file hold_reason_type.h Reasons for which a worker takes no task of a step. */

#pragma once

#include "core/name_table.h"

#include <cstdint>

namespace Filbertlanding {

/**
 * Why a worker takes no task of a step now. Of several reasons the first one in this order is named, except that
 * AccountLimit takes precedence over all but Ineligible.
 */
enum class HoldReason : std::uint8_t {
    Ineligible, ///< It belongs to another service or lacks the required label.
    Replaced, ///< A later incarnation has taken its place.
    Ending, ///< The end of the incarnation is proposed.
    ShuttingDown, ///< It has announced its shutdown.
    Draining,
    ZoneDrained, ///< Its availability zone is drained.
    Unconfirmed, ///< It has not accepted this leader's fence yet, or its clock is unknown.
    Unresponsive, ///< The last order to it has failed.
    CapacityUnknown, ///< It does not enforce its capacity, and has not reported it to this leader yet.
    OrphanRuns, ///< It has runs that must be stopped first.
    Backoff, ///< It has refused orders, or tasks have failed on it in succession.
    FailedThere, ///< The latest run of the task has failed on it.
    Avoided, ///< Tasks on it are slow or fail, and another worker may run the task.
    Reserved, ///< It has just come back after a crash and waits for a task that may have caused it.
    SameStep, ///< It runs as many tasks of the step as the step allows on one worker.
    Memory,
    Accelerators,
    Cpu, ///< Too little of its CPU is unreserved.
    SpareCpu, ///< Too little of its CPU is idle.
    Interference, ///< The task would slow down the long-running tasks on it.
    CapacityHeld, ///< The task would use capacity that is held for a long-running step.
    AccountLimit, ///< The account of the job would exceed its limit. Named for all eligible workers, since no worker is searched for.
};

constexpr auto HoldReasonNames = makeNameTable<HoldReason>({
    {HoldReason::Ineligible, "ineligible"},
    {HoldReason::Replaced, "replaced"},
    {HoldReason::Ending, "ending"},
    {HoldReason::ShuttingDown, "shutting_down"},
    {HoldReason::Draining, "draining"},
    {HoldReason::ZoneDrained, "zone_drained"},
    {HoldReason::Unconfirmed, "unconfirmed"},
    {HoldReason::Unresponsive, "unresponsive"},
    {HoldReason::CapacityUnknown, "capacity_unknown"},
    {HoldReason::OrphanRuns, "orphan_runs"},
    {HoldReason::Backoff, "backoff"},
    {HoldReason::FailedThere, "failed_there"},
    {HoldReason::Avoided, "avoided"},
    {HoldReason::Reserved, "reserved"},
    {HoldReason::SameStep, "same_step"},
    {HoldReason::Memory, "memory"},
    {HoldReason::Accelerators, "accelerators"},
    {HoldReason::Cpu, "cpu"},
    {HoldReason::SpareCpu, "spare_cpu"},
    {HoldReason::Interference, "interference"},
    {HoldReason::CapacityHeld, "capacity_held"},
    {HoldReason::AccountLimit, "account_limit"},
});

} // namespace Filbertlanding
