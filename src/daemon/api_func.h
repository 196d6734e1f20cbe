/** @file api_func.h Handlers of the HTTP interface. All but serveQuickRequest run on the control thread. */

#pragma once

#include "daemon/daemon_base.h"

#include <string_view>
#include <vector>

namespace Filbertlanding {

/** POST /v1/services/{service}/requests; runs on a request thread. */
void serveQuickRequest(Daemon &daemon, std::string_view service, HttpRequest &&request, HttpRespond respond);

/** /v1/jobs and /v1/jobs/{id}. */
void serveJobs(Daemon &daemon, const std::vector<std::string> &path, const HttpRequest &request, const HttpRespond &respond);

/** POST /v1/workers/report. */
void serveWorkerReport(Daemon &daemon, const HttpRequest &request, const HttpRespond &respond);

/** GET /v1/workers. */
void serveWorkers(Daemon &daemon, const HttpRespond &respond);

/** /v1/intent, /v1/intent/files/{name}, /v1/intent/sync, /v1/intent/history. */
void serveIntent(Daemon &daemon, const std::vector<std::string> &path, const HttpRequest &request, const HttpRespond &respond);

/** GET /v1/report/{service} and POST /v1/report/{service}/accept-gap. */
void serveReportRequest(Daemon &daemon, const std::vector<std::string> &path, const HttpRequest &request, const HttpRespond &respond);

/** GET /v1/status. */
void serveStatus(Daemon &daemon, const HttpRespond &respond);

/** GET /metrics, in the text format that monitoring tools scrape. */
void serveMetrics(Daemon &daemon, const HttpRespond &respond);

} // namespace Filbertlanding
