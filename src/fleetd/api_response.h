/** @file api_response.h Responses that carry no more than a result code, a message and a retry delay. */

#pragma once

#include "core/result_code.h"
#include "fleetd/protocol_adapter.h"

#include <string>

namespace Filbertlanding {

/** Returns a response with a result code and a message. */
ApiResponse makeResponse(ResultCode code, std::string message = {});

/** Returns the response to a call that should be made again after the next election. */
ApiResponse makeRetryLaterResponse(ResultCode code, std::string message);

} // namespace Filbertlanding
