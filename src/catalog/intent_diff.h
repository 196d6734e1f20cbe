/** @file intent_diff.h Differences between two sets of intent files. */

#pragma once

#include "catalog/config_type.h"
#include "catalog/intent_type.h"

namespace Filbertlanding {

/** One value of the merged configuration that differs. */
struct ValueChange {
    std::string pointer; ///< JSON pointer to the value.
    std::string before; ///< JSON text before; empty when the value is new.
    std::string after; ///< JSON text after; empty when the value is gone.

    bool operator==(const ValueChange &) const = default;
};

/** Differences between two sets of files. */
struct IntentDiff {
    std::vector<std::string> added; ///< Names of new files.
    std::vector<std::string> removed; ///< Names of files that are gone.
    std::vector<std::string> changed; ///< Names of files with another text.
    std::vector<ValueChange> values; ///< Differences of the merged objects, by pointer.
};

/** Compares two sets of files. Malformed files take part by name only. */
IntentDiff diffIntent(const std::vector<IntentFile> &before, const std::vector<IntentFile> &after);

/**
 * Returns whether a change only takes something away: zones drained, workers leaving, services closed, and nothing else.
 * Only such a change may take effect on one daemon before it is accepted (design page, section 7).
 */
bool isPurelyRestrictive(const Configuration &before, const Configuration &after);

} // namespace Filbertlanding
