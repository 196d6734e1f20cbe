/** @file worker_json.h The worker's side of POST /v1/workers/report in JSON (docs/http-api.md). */

#pragma once

#include "membership/worker_type.h"

#include <optional>
#include <string>

namespace Filbertlanding {

/** Writes a report. */
std::string encodeReport(const WorkerReport &report);

/** Reads an answer; nothing if the text is no answer to a report, for example a general error. */
std::optional<ReportAnswer> decodeAnswer(const std::string &text);

} // namespace Filbertlanding
