/** @file address_list.h Addresses from the command line. */

#pragma once

#include "network/http_type.h"

#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Reads IPv4 addresses with ports, for example "127.0.0.1:8080". Returns nothing if one does not parse. */
std::optional<std::vector<HttpAddress>> parseAddresses(const std::vector<std::string> &texts);

} // namespace Filbertlanding
