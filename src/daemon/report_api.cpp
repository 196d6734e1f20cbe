/** @file report_api.cpp HTTP form of the final report. */

#include "core/clock_func.h"
#include "daemon/api_func.h"
#include "daemon/counter_delivery.h"
#include "daemon/http_service.h"
#include "daemon/propose_func.h"
#include "report/final_report.h"

#include <boost/json.hpp>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr Duration GapTimeout{8000}; ///< Time to accept a gap, over one election.

    void showReport(Daemon &daemon, const ServiceName &service, bool asText, const HttpRespond &respond)
    {
        if (!daemon.controlState.catalog.services.services.contains(service)) {
            respond(errorResponse(ResultCode::NotFound, "no service named " + service + " was ever open"));
            return;
        }
        collectCounters(daemon, [&daemon, service, asText, respond] {
            const FinalReport report = buildReport(daemon.controlState.catalog, service, liveCounts(daemon, service));
            if (!asText) {
                respond(jsonResponse(200, reportAsJson(report)));
                return;
            }
            HttpResponse response;
            response.headers = {{"Content-Type", "text/plain; charset=utf-8"}};
            response.body = reportAsText(report);
            respond(std::move(response));
        });
    }

    void acceptGap(Daemon &daemon, const ServiceName &service, const HttpRequest &request, const HttpRespond &respond)
    {
        boost::system::error_code error;
        const json::value root = json::parse(request.body, error);
        const json::value *name = error || !root.is_object() ? nullptr : root.as_object().if_contains("daemon");
        const json::value *incarnation = error || !root.is_object() ? nullptr : root.as_object().if_contains("incarnation");
        if (name == nullptr || !name->is_string() || incarnation == nullptr || !incarnation->is_int64()) {
            respond(errorResponse(ResultCode::MissingField, "the body must name daemon (text) and incarnation (number)"));
            return;
        }
        AcceptGap command;
        command.service = service;
        command.daemon = std::string(name->as_string());
        command.incarnation = static_cast<std::uint64_t>(incarnation->as_int64());
        command.operation = std::string(headerValue(request.headers, "Operation-Id"));
        command.operatorName = std::string(headerValue(request.headers, "Operator"));
        command.wallTime = wallNow();
        if (command.operation.empty() || command.operatorName.empty()) {
            respond(errorResponse(ResultCode::MissingField, "the headers Operation-Id and Operator are required"));
            return;
        }
        proposeUntil(daemon, command, steadyNow() + GapTimeout, [respond](const CommandResult &result, std::uint64_t) {
            respond(result.code == ResultCode::Ok ? jsonResponse(200, "{\"code\":0}") : errorResponse(result.code, result.message));
        });
    }

} // namespace

void serveReportRequest(Daemon &daemon, const std::vector<std::string> &path, const HttpRequest &request, const HttpRespond &respond)
{
    if (path.size() == 3 && request.method == "GET") {
        showReport(daemon, path[2], queryValue(request.target, "format") == "text", respond);
    } else if (path.size() == 4 && path[3] == "accept-gap" && request.method == "POST") {
        acceptGap(daemon, path[2], request, respond);
    } else {
        respond(errorResponse(ResultCode::NotFound));
    }
}

} // namespace Filbertlanding
