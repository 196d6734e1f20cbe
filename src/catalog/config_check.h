/** @file config_check.h Makes the typed configuration from intent files and reports every fault. */

#pragma once

#include "catalog/config_type.h"
#include "catalog/intent_type.h"

#include <set>

namespace Filbertlanding {

/** Names of the policy plug-ins that the proposing daemon has. */
struct PolicyNames {
    std::set<std::string> routing; ///< Routing plug-ins.
    std::set<std::string> placement; ///< Placement plug-ins.
};

/** A checked configuration. */
struct ConfigCheck {
    Configuration configuration; ///< Valid only when there are no errors.
    std::vector<IntentError> errors; ///< Every fault, in the order of the JSON pointers.
};

/**
 * Merges and checks a set of files.
 * @param files The whole set.
 * @param policies Known plug-ins; nullptr leaves the policy names unchecked. The replicated state machine leaves them
 *        unchecked, because daemons of different versions may have different plug-ins and must decide alike.
 */
ConfigCheck checkIntent(const std::vector<IntentFile> &files, const PolicyNames *policies = nullptr);

} // namespace Filbertlanding
