/** @file http_service.cpp Dispatches HTTP requests to their handlers. */

#include "daemon/http_service.h"

#include "daemon/api_func.h"
#include "daemon/stop_func.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    using Path = std::vector<std::string>;

    /** Compares in a time that does not depend on where the texts differ, so that the key cannot be guessed byte by byte. */
    bool equalSecrets(std::string_view left, std::string_view right)
    {
        if (left.size() != right.size()) {
            return false;
        }
        unsigned char difference = 0;
        for (std::size_t i = 0; i < left.size(); ++i) {
            difference |= static_cast<unsigned char>(left[i] ^ right[i]);
        }
        return difference == 0;
    }

    bool isOperator(const Daemon &daemon, const HttpRequest &request)
    {
        constexpr std::string_view Scheme = "Bearer ";
        const std::string_view value = headerValue(request.headers, "Authorization");
        return value.starts_with(Scheme) && equalSecrets(value.substr(Scheme.size()), daemon.operatorKey);
    }

    void serveHealth(const Daemon &daemon, std::string_view path, const HttpRespond &respond)
    {
        const DaemonState state = daemon.state;
        const bool ready = state == DaemonState::Serving;
        if (path == "readyz" && !ready) {
            respond(errorResponse(state == DaemonState::Starting ? ResultCode::Pending : ResultCode::Draining, "not ready"));
            return;
        }
        respond(jsonResponse(200, "{\"state\":\"" + std::string(DaemonStateNames.nameOf(state)) + "\"}"));
    }

    void serveLogLevel(const HttpRequest &request, const HttpRespond &respond)
    {
        if (!setLogLevel(queryValue(request.target, "level"))) {
            respond(errorResponse(ResultCode::OutOfRange, "level must be trace, debug, info, warn or error"));
            return;
        }
        respond(jsonResponse(200, "{\"code\":0}"));
    }

    /** Calls that only operators may make. Returns false when the path is none of them. */
    bool serveOperator(Daemon &daemon, const Path &path, const HttpRequest &request, const HttpRespond &respond)
    {
        const std::string &section = path[1];
        const bool known =
            section == "intent" || section == "status" || section == "report" || section == "daemon" || (section == "workers" && path.size() == 2);
        if (!known) {
            return false;
        }
        if (!isOperator(daemon, request)) {
            respond(errorResponse(ResultCode::Unauthorized));
            return true;
        }
        if (section == "intent") {
            serveIntent(daemon, path, request, respond);
        } else if (section == "status") {
            serveStatus(daemon, respond);
        } else if (section == "workers") {
            serveWorkers(daemon, respond);
        } else if (section == "report") {
            serveReportRequest(daemon, path, request, respond);
        } else if (path.size() == 3 && path[2] == "stop" && request.method == "POST") {
            startPlannedStop(daemon);
            respond(jsonResponse(202, "{\"code\":1,\"name\":\"Pending\"}"));
        } else if (path.size() == 3 && path[2] == "log-level" && request.method == "POST") {
            serveLogLevel(request, respond);
        } else {
            respond(errorResponse(ResultCode::NotFound));
        }
        return true;
    }

    void serveOnControlThread(Daemon &daemon, const Path &path, const HttpRequest &request, const HttpRespond &respond)
    {
        if (path.size() == 1 && path[0] == "metrics") {
            serveMetrics(daemon, respond);
            return;
        }
        if (path.size() < 2 || path[0] != "v1") {
            respond(errorResponse(ResultCode::NotFound));
            return;
        }
        if (path[1] == "workers" && path.size() == 3 && path[2] == "report") {
            serveWorkerReport(daemon, request, respond);
            return;
        }
        if (path[1] == "jobs") {
            serveJobs(daemon, path, request, respond);
            return;
        }
        if (!serveOperator(daemon, path, request, respond)) {
            respond(errorResponse(ResultCode::NotFound));
        }
    }

} // namespace

std::vector<std::string_view> pathSegments(std::string_view target)
{
    std::vector<std::string_view> segments;
    std::string_view path = target.substr(0, target.find('?'));
    while (!path.empty()) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const std::size_t end = std::min(path.find('/'), path.size());
        if (end > 0) {
            segments.push_back(path.substr(0, end));
        }
        path.remove_prefix(end);
    }
    return segments;
}

std::string_view queryValue(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    std::string_view query = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
            return pair.substr(name.size() + 1);
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

HttpResponse jsonResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
    return response;
}

void handleHttp(Daemon &daemon, HttpRequest &&request, HttpRespond respond)
{
    const std::vector<std::string_view> segments = pathSegments(request.target);
    const bool quick = segments.size() == 4 && segments[0] == "v1" && segments[1] == "services" && segments[3] == "requests";
    if (quick && request.method == "POST") {
        const std::string service(segments[2]);
        serveQuickRequest(daemon, service, std::move(request), std::move(respond));
        return;
    }
    if (quick) {
        respond(errorResponse(ResultCode::MethodNotAllowed));
        return;
    }
    if (segments.size() == 1 && (segments[0] == "healthz" || segments[0] == "readyz")) {
        serveHealth(daemon, segments[0], respond);
        return;
    }
    Path path(segments.begin(), segments.end());
    daemon.control.post([&daemon, path = std::move(path), request = std::move(request), respond = std::move(respond)] {
        serveOnControlThread(daemon, path, request, respond);
    });
}

} // namespace Filbertlanding
