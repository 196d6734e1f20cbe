/** @file wait_func.cpp Waits for something that takes time, with progress. */

#include "ctl/wait_func.h"

#include "core/clock_func.h"
#include "ctl/ctl_output.h"

#include <CLI/CLI.hpp>

#include <functional>

namespace Filbertlanding {

namespace {

    constexpr Duration LookPause{1000}; ///< Daemons send their state to each other twice a second, so more looks show nothing new.

} // namespace

void addWaitOptions(CLI::App &command, WaitOptions &options)
{
    command.add_flag("--wait", options.wait, "wait until it is done and show the progress");
    command.add_option("--wait-limit", options.limitSeconds, "longest time in seconds to wait")->check(CLI::Range(1, 604'800))->capture_default_str();
}

ResultCode waitUntilDone(CtlContext &context, const WaitOptions &options, const std::function<WaitLook()> &look)
{
    const Duration limit{options.limitSeconds * 1000};
    const TimePoint start = steadyNow();
    Duration paused{0};
    std::string shown;
    for (;;) {
        const WaitLook found = look();
        if (found.isDone) {
            return ResultCode::Ok;
        }
        if (found.progress != shown) {
            shown = found.progress;
            context.streams.err << "filbertctl: waiting: " << printable(shown) << "\n";
        }
        if (paused >= limit || steadyNow() - start >= limit) {
            return writeError(context, ResultCode::Timeout, "not done after " + std::to_string(options.limitSeconds) + " s: " + shown);
        }
        context.streams.pause(LookPause);
        paused = paused + LookPause;
    }
}

} // namespace Filbertlanding
