/** @file command_result.h Results of commands that change nothing. */

#pragma once

#include "catalog/command_type.h"

#include <string>

namespace Filbertlanding {

/** Returns the result of a command that is refused. Without a message it has the sentence of the code. */
CommandResult refuse(ResultCode code, std::string message = {});

} // namespace Filbertlanding
