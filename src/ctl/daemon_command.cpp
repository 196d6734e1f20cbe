/** @file daemon_command.cpp Stops one daemon. */

#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/daemon_call.h"
#include "ctl/wait_func.h"

#include <CLI/CLI.hpp>

#include <memory>

namespace Filbertlanding {

namespace {

    ResultCode stopDaemon(CtlContext &context, const WaitOptions &wait)
    {
        // With fail-over the call could stop another daemon than the one that was meant.
        if (context.daemons.size() != 1) {
            return writeError(context, ResultCode::ConflictingSettings, "name exactly one daemon to stop");
        }
        const CtlReply reply = callDaemons(context, makeCall(context, "POST", "/v1/daemon/stop"), CtlResend::Never);
        const ResultCode written = writeOutcome(context, reply, "the daemon at " + context.options.daemons.front() + " is stopping");
        if (!isSuccess(written) || !wait.wait) {
            return written;
        }
        return waitUntilDone(context, wait, [&context] {
            const CtlReply health = readFromDaemons(context, "/healthz");
            const bool isGone = health.code == ResultCode::ConnectionClosed;
            return WaitLook{isGone, "the daemon still takes connections"};
        });
    }

    void addDaemon(CLI::App &root, CtlContext &context)
    {
        const auto wait = std::make_shared<WaitOptions>();
        CLI::App *daemon = addCommand(root, "daemon", "one daemon", "filbertctl --daemon 10.1.0.5:8100 daemon stop --wait");
        daemon->require_subcommand(1);
        CLI::App *stop = addCommand(*daemon,
                                    "stop",
                                    "stop the daemon gracefully: it ends what is in flight and delivers its counts",
                                    "filbertctl --daemon 10.1.0.5:8100 daemon stop --wait");
        addWaitOptions(*stop, *wait);
        stop->callback([&context, wait] {
            context.action = [&context, wait] {
                return stopDaemon(context, *wait);
            };
        });
    }

    const CtlRegistration Registered{"daemon", addDaemon};

} // namespace

} // namespace Filbertlanding
