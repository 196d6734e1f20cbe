/** @file wait_func.h Waits for something that takes time, with progress. */

#pragma once

#include "ctl/ctl_type.h"

namespace CLI {
class App;
}

namespace Filbertlanding {

/** Options of a subcommand that can wait. */
struct WaitOptions {
    bool wait = false; ///< Whether to wait at all.
    std::int64_t limitSeconds = 3600; ///< Longest time to wait.
};

/** What one look found. */
struct WaitLook {
    bool isDone = false; ///< Nothing is left to wait for.
    std::string progress; ///< What is still missing.
};

/** Adds --wait and --wait-limit to a subcommand. */
void addWaitOptions(CLI::App &command, WaitOptions &options);

/**
 * Looks each second until a look is done. Progress goes to the error stream when it has changed.
 * @return Ok, or Timeout after the limit.
 */
ResultCode waitUntilDone(CtlContext &context, const WaitOptions &options, const std::function<WaitLook()> &look);

} // namespace Filbertlanding
