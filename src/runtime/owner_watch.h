/** @file owner_watch.h Tells whether the event loop that owns a replica still runs. */

#pragma once

#include "core/clock_type.h"

namespace Filbertlanding {

/** What is known of the owner's event loop. */
struct OwnerWatch {
    Duration timeout; ///< Silence after which the owner counts as stopped; 0 when it isn't watched.
    std::uint64_t confirmations = 0; ///< Confirmations seen so far.
    TimePoint checkedAt; ///< Time of the last check.
    Duration silence; ///< Time without a confirmation, as far as it was watched.
};

/** Starts to watch. */
OwnerWatch startOwnerWatch(Duration timeout, TimePoint now);

/**
 * Takes the number of confirmations so far; call it every few milliseconds. A gap between two calls, as after a pause of the whole process,
 * counts only in small part, so that the owner has the time to confirm first.
 * @return Whether the owner counts as stopped.
 */
bool checkOwner(OwnerWatch &watch, std::uint64_t confirmations, TimePoint now);

} // namespace Filbertlanding
