/** @file intent_type.h Intent files, the errors found in them and the bounds on their size. */

#pragma once

#include "core/result_code.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Filbertlanding {

constexpr std::size_t MaxIntentFiles = 2000; ///< Files in one set; twice the 1,000 that the merge target names.
constexpr std::size_t MaxIntentFileBytes = std::size_t{256} * 1024; ///< Bytes in one file.
constexpr std::size_t MaxIntentTotalBytes = std::size_t{3} * 1024 * 1024; ///< Bytes in one set; a sync of the whole set fits into one peer frame of 4 MiB.
constexpr std::size_t MaxIntentDepth = 16; ///< Nested objects and arrays in one file; bounds the recursion of the merge.
constexpr std::size_t MaxNameBytes = 100; ///< Bytes in the name of a file, service, team, zone, worker or policy.

/** One intent file. */
struct IntentFile {
    std::string name; ///< File name; the merge goes in the order of the names.
    std::string text; ///< A JSON object.

    bool operator==(const IntentFile &) const = default;
};

/** One fault in the intent files. */
struct IntentError {
    ResultCode code = ResultCode::Ok; ///< Kind of fault.
    std::string file; ///< File that set the value; empty when the fault belongs to the whole set.
    std::string pointer; ///< JSON pointer (RFC 6901) to the value; empty for a whole file.
    std::string message; ///< One sentence for people.

    bool operator==(const IntentError &) const = default;
};

} // namespace Filbertlanding
