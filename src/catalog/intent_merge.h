/** @file intent_merge.h Merge of intent files (RFC 7396) that remembers which file set each value. */

#pragma once

#include "catalog/intent_type.h"

#include <map>
#include <string_view>
#include <variant>

namespace Filbertlanding {

/** A JSON array as text; arrays are replaced as a whole, so the merge does not look into them. */
struct JsonArrayText {
    std::string text; ///< Serialized array.

    bool operator==(const JsonArrayText &) const = default;
};

/** A value that is not an object. A null never survives the merge outside an array. */
using IntentScalar = std::variant<bool, std::int64_t, std::uint64_t, double, std::string, JsonArrayText>;

/** One value of the merged intent: an object with members, or a scalar. */
struct MergedValue {
    bool isObject = true; ///< Whether members are used; otherwise scalar is.
    std::uint32_t file = 0; ///< Index into MergedIntent::fileNames of the file that set the value last.
    IntentScalar scalar; ///< The value when it is not an object.
    std::map<std::string, MergedValue, std::less<>> members; ///< Members of an object by key.
};

/** Result of a merge. */
struct MergedIntent {
    std::vector<std::string> fileNames; ///< Names of the merged files, sorted.
    MergedValue root; ///< The merged object.
    std::vector<IntentError> errors; ///< Malformed or oversized files; the root lacks their values.
};

/**
 * Merges the files in the order of their names.
 * @param files In any order; two files with the same name are an error.
 * @return The merged object and all errors, with file names.
 */
MergedIntent mergeIntent(const std::vector<IntentFile> &files);

/** Returns the JSON text of a merged value with sorted keys. */
std::string mergedAsJson(const MergedValue &value);

/** Returns whether a name is 1 to MaxNameBytes letters, digits, dots, hyphens and underscores. */
bool isValidName(std::string_view name);

/** Returns a JSON pointer extended by one key, escaped as in RFC 6901. */
std::string extendPointer(const std::string &pointer, std::string_view key);

} // namespace Filbertlanding
