/** @file attempt_base.h State machine of an attempt to run a task. */

#pragma once

#include "core/name_table.h"

#include <cstdint>

namespace Filbertlanding {

/** State of an attempt. The values are the state ids of the Boost.MSM machine in attempt.cpp and must follow the order of its transition table. */
enum class AttemptState : std::uint8_t {
    Assigned, ///< Placed on a worker; the start command has not been sent.
    Starting, ///< The start command has been sent; the worker has not reported the task yet.
    Running, ///< The worker reports the task as running.
    Throttled, ///< The worker is told to slow the task down.
    Checkpointing, ///< The worker is told to write a checkpoint and to stop the task.
    Evicted, ///< Stopped, possibly with a checkpoint.
    Finished, ///< Completed with a result.
    Failed, ///< Ended with an error.
    Lost, ///< The task lease expired without a report from the worker.
};

/** Event of the attempt state machine. */
enum class AttemptEvent : std::uint8_t {
    CommandSent,
    ReportedRunning,
    ThrottleRequested,
    UnthrottleRequested,
    CheckpointRequested,
    Stopped,
    Succeeded,
    ReportedFailed,
    LeaseExpired
};

constexpr auto AttemptStateNames = makeNameTable<AttemptState>({
    {AttemptState::Assigned, "assigned"},
    {AttemptState::Starting, "starting"},
    {AttemptState::Running, "running"},
    {AttemptState::Throttled, "throttled"},
    {AttemptState::Checkpointing, "checkpointing"},
    {AttemptState::Evicted, "evicted"},
    {AttemptState::Finished, "finished"},
    {AttemptState::Failed, "failed"},
    {AttemptState::Lost, "lost"},
});

/**
 * Applies an event to an attempt. The machine stores only its state id, which keeps task records small.
 * @param state Current state.
 * @param event Event to apply.
 * @return The next state. Events without a transition, such as duplicate or late reports, leave the state unchanged.
 */
AttemptState nextAttemptState(AttemptState state, AttemptEvent event);

/** Returns whether the state is terminal: the task cannot run again under its epoch. */
constexpr bool isTerminal(AttemptState state)
{
    return state >= AttemptState::Evicted;
}

} // namespace Filbertlanding
