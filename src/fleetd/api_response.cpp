/** @file api_response.cpp Responses that carry no more than a result code, a message and a retry delay. */

#include "fleetd/api_response.h"

#include <utility>

namespace Filbertlanding {

namespace {

    constexpr Duration ElectionRetryDelay{1'000}; ///< Suggested retry delay after a refusal that lasts until the next election.

} // namespace

ApiResponse makeResponse(ResultCode code, std::string message)
{
    ApiResponse response;
    response.code = code;
    response.message = std::move(message);
    return response;
}

ApiResponse makeRetryLaterResponse(ResultCode code, std::string message)
{
    ApiResponse response = makeResponse(code, std::move(message));
    response.retryAfter = ElectionRetryDelay;
    return response;
}

} // namespace Filbertlanding
