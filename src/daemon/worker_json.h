/** @file worker_json.h JSON form of worker reports and their answers, as docs/http-api.md describes it. */

#pragma once

#include "membership/worker_type.h"

#include <string>
#include <string_view>

namespace Filbertlanding {

/** A decoded report. */
struct ParsedReport {
    ResultCode code = ResultCode::Ok; ///< Ok, BadJson, MissingField, BadFieldType, OutOfRange or BadAddress.
    std::string message; ///< What is wrong, with the name of the field.
    WorkerReport report; ///< The report; valid only when the code is Ok.
};

/** Decodes a report. Unknown fields are ignored, so that newer workers can talk to older daemons. */
ParsedReport parseWorkerReport(std::string_view text);

/** Encodes an answer. */
std::string reportAnswerAsJson(const ReportAnswer &answer);

} // namespace Filbertlanding
