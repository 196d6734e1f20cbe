/** @file result_code.h Numbered result codes, usable as std::error_code. */

#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>
#include <vector>

namespace Filbertlanding {

/** Outcome of an operation, as told to callers, operators and in the final report. The table is in docs/errors.md. */
enum class ResultCode : std::uint16_t {
#define RESULT_CODE(enumerator, number, httpStatus, sentence) enumerator = (number),
#include "core/table/result_codes.h"
#undef RESULT_CODE
};

/** One row of the table of result codes. */
struct ResultCodeRow {
    ResultCode code; ///< The code.
    std::string_view name; ///< Name in JSON and logs, equal to the enumerator.
    unsigned httpStatus; ///< HTTP status that goes with it.
    std::string_view sentence; ///< One sentence for people.
};

/** Returns all rows, in the order of their numbers. */
const std::vector<ResultCodeRow> &resultCodeRows();

/** Returns the row of a code; the row of Internal for a number that is not in the table. */
const ResultCodeRow &resultCodeRow(ResultCode code);

/** Returns the code with this name, or nothing. */
std::optional<ResultCode> resultCodeFromName(std::string_view name);

/** Returns whether the code says that the request was not run. Only such codes count as refusals. */
bool isRefusal(ResultCode code);

/** Converts a code for std::error_code. */
std::error_code make_error_code(ResultCode code);

} // namespace Filbertlanding

namespace std {
template<>
struct is_error_code_enum<Filbertlanding::ResultCode> : true_type {
};
} // namespace std
