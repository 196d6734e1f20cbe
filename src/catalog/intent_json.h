/** @file intent_json.h Faults in the intent files as JSON, as the daemon and the operator's tool print them. */

#pragma once

#include "catalog/intent_type.h"

#include <boost/json.hpp>

#include <vector>

namespace Filbertlanding {

/** Returns a list with an object for each fault. */
boost::json::array errorsAsJson(const std::vector<IntentError> &errors);

} // namespace Filbertlanding
