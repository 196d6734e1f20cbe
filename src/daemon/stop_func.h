/** @file stop_func.h Planned stop of the daemon; control thread. */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

/**
 * Starts a planned stop: not ready at once, requests are still served for the grace time, workers are handed over, then the
 * listener closes, what is in flight is completed, and the final counters are delivered. Doubled calls change nothing.
 */
void startPlannedStop(Daemon &daemon);

} // namespace Filbertlanding
