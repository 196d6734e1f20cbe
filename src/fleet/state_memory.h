/** @file state_memory.h Estimated memory use of what callers make the replicated state hold. */

#pragma once

#include "fleet/fleet_state_base.h"

#include <cstddef>

namespace Filbertlanding {

constexpr std::uint32_t ReservedOccurrences = 8; ///< Occurrences of a repeated job for which memory is reserved when it is accepted.

/** Estimates the memory of an occurrence of a job, in bytes. */
std::size_t estimateOccurrenceMemory(const JobSpec &spec);

/** Estimates the memory that a job occupies on each replica until it has ended, in bytes. */
std::size_t estimateJobMemory(const JobSpec &spec);

/** Estimates the memory of a job as it is held, in bytes: of one that has not ended, at least what is reserved for it. */
std::size_t estimateHeldMemory(const FleetJob &job);

/** Estimates the memory of what is kept of an ended job, in bytes. */
std::size_t estimateEndedMemory(const EndedJob &job);

/** Estimates the memory of a cancellation that arrived before its submission, in bytes. */
std::size_t estimateCancellationMemory(const JobId &id, const EarlyCancellation &cancellation);

/** Estimates the memory of all that callers have made a state hold. */
StateMemory estimateStateMemory(const FleetState &state);

} // namespace Filbertlanding
