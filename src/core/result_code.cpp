/** @file result_code.cpp Numbered result codes, usable as std::error_code. */

#include "core/result_code.h"

#include <string>

namespace Filbertlanding {

namespace {

    class ResultCategory : public std::error_category
    {
    public:
        const char *name() const noexcept override
        {
            return "filbertlanding";
        }

        std::string message(int value) const override
        {
            return std::string(resultCodeRow(static_cast<ResultCode>(value)).sentence);
        }
    };

} // namespace

const std::vector<ResultCodeRow> &resultCodeRows()
{
    static const std::vector<ResultCodeRow> rows{
#define RESULT_CODE(enumerator, number, httpStatus, sentence) {ResultCode::enumerator, #enumerator, httpStatus, sentence},
#include "core/table/result_codes.h"
#undef RESULT_CODE
    };
    return rows;
}

const ResultCodeRow &resultCodeRow(ResultCode code)
{
    const auto &rows = resultCodeRows();
    for (const auto &row : rows) {
        if (row.code == code) {
            return row;
        }
    }
    return rows.back();
}

std::optional<ResultCode> resultCodeFromName(std::string_view name)
{
    for (const auto &row : resultCodeRows()) {
        if (row.name == name) {
            return row.code;
        }
    }
    return std::nullopt;
}

bool isRefusal(ResultCode code)
{
    switch (code) {
    case ResultCode::OutcomeUnknown:
    case ResultCode::WorkerFailed:
        return false;
    default:
        return static_cast<int>(code) >= 2000 && static_cast<int>(code) < 3000;
    }
}

std::error_code make_error_code(ResultCode code)
{
    static const ResultCategory category;
    return {static_cast<int>(code), category};
}

} // namespace Filbertlanding
