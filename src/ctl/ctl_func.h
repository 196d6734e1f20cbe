/** @file ctl_func.h Runs the tool; subcommands are plug-ins. */

#pragma once

#include "core/registry.h"
#include "ctl/ctl_type.h"

namespace CLI {
class App;
}

namespace Filbertlanding {

/** Tag of the registry of subcommands. */
struct CtlCommandTag {
};

/** A plug-in adds a group of subcommands to the command line. A chosen subcommand sets the action of the context. */
using CtlCommand = void(CLI::App &root, CtlContext &context);
using CtlCommands = Registry<CtlCommand, CtlCommandTag>;
using CtlRegistration = Registration<CtlCommand, CtlCommandTag>;

/** Adds a subcommand whose help ends with an example. */
CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &description, const std::string &example);

/**
 * Runs the tool.
 * @param arguments Command line without the name of the program.
 * @return Exit code: first digit of the result code, 0 on success.
 */
int runCtl(const std::vector<std::string> &arguments, const CtlStreams &streams);

/** Returns the exit code for a result code: its first digit, 0 for success. */
int exitCodeOf(ResultCode code);

} // namespace Filbertlanding
