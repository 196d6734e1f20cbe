/** @file http_service.h Dispatches HTTP requests to their handlers. */

#pragma once

#include "daemon/daemon_base.h"

#include <string_view>
#include <vector>

namespace Filbertlanding {

/** Handles a request of a caller, worker or operator; runs on a request thread. */
void handleHttp(Daemon &daemon, HttpRequest &&request, HttpRespond respond);

/** Splits a path into its segments, without the query. */
std::vector<std::string_view> pathSegments(std::string_view target);

/** Returns the value of a query parameter, or an empty text. Values are taken as they are, since names need no escapes. */
std::string_view queryValue(std::string_view target, std::string_view name);

/** Makes a JSON response. */
HttpResponse jsonResponse(unsigned status, std::string body);

} // namespace Filbertlanding
