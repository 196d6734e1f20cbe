/** @file command_result.cpp Results of commands that change nothing. */

#include "catalog/command_result.h"

#include <utility>

namespace Filbertlanding {

CommandResult refuse(ResultCode code, std::string message)
{
    CommandResult result;
    result.code = code;
    result.message = message.empty() ? std::string(resultCodeRow(code).sentence) : std::move(message);
    return result;
}

} // namespace Filbertlanding
