/** @file daemon_func.h Starts and ends the daemon. */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

/** How the daemon is started. */
struct StartOptions {
    bool firstStart = false; ///< The installation starts for the first time, so that empty data folders have lost nothing.
};

/** Outcome of the start. */
struct StartResult {
    ResultCode code = ResultCode::Ok; ///< Ok, or why the daemon did not start.
    std::string message; ///< One sentence for people.
};

/**
 * Starts all parts.
 * @param stopped Called once, on any thread, when a planned stop has ended (Ok) or the daemon must end at once (another code).
 */
StartResult startDaemon(Daemon &daemon, const StartOptions &options, std::function<void(ResultCode)> stopped);

/** Ends all threads at once. */
void endDaemon(Daemon &daemon);

} // namespace Filbertlanding
