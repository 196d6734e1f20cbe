/** @file attempt_base.h Life cycle of an attempt to run a task. */

#pragma once

#include "core/name_table.h"

#include <cstdint>

namespace Filbertlanding {

/** State of an attempt. The numbers are the state ids of the state machine in attempt.cpp, in the order of its table. */
enum class AttemptState : std::uint8_t {
    Assigned, ///< Placed on a worker; the start command has not gone out.
    Starting, ///< The start command has gone out; the worker has not reported the task.
    Running, ///< Reported as running.
    Throttled, ///< Told to run slower.
    Checkpointing, ///< Told to write a checkpoint and stop.
    Evicted, ///< Stopped with a checkpoint.
    Finished, ///< Stopped with a result.
    Failed, ///< Stopped with an error.
    Lost, ///< The worker vanished and the task lease has ended.
};

/** What happens to an attempt. */
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
 * Moves an attempt on. The machine holds nothing but its state id, so that a record of a task stays small.
 * @param state Present state.
 * @param event What happened.
 * @return The next state; the same state when the event means nothing in it, as for doubled or late reports.
 */
AttemptState nextAttemptState(AttemptState state, AttemptEvent event);

/** Returns whether the task has stopped for good under its epoch. */
constexpr bool isTerminal(AttemptState state)
{
    return state >= AttemptState::Evicted;
}

} // namespace Filbertlanding
