/** @file request_api.cpp HTTP form of latency-critical requests. */

#include "core/clock_func.h"
#include "daemon/api_func.h"
#include "daemon/http_service.h"
#include "daemon/request_service.h"

#include <charconv>

namespace Filbertlanding {

namespace {

    constexpr std::int64_t MaxTimeoutMs = 600'000; ///< Longest timeout of a request.
    constexpr std::size_t MaxNameLength = 200; ///< Bytes of the names in headers.

    std::string_view outcomeName(ResultCode code)
    {
        if (code == ResultCode::Ok || code == ResultCode::WorkerFailed) {
            return "answered";
        }
        return isRefusal(code) ? "refused" : "unknown";
    }

    HttpResponse responseOf(const RequestId &id, RequestOutcome outcome)
    {
        HttpResponse response;
        if (outcome.status != 0) {
            response.status = outcome.status;
            response.body = std::move(outcome.body);
            response.headers = {{"Content-Type", outcome.contentType}, {"Worker", outcome.worker}};
        } else {
            response = errorResponse(outcome.code, {}, outcome.retryAfter.ms > 0 ? outcome.retryAfter.ms : -1);
        }
        response.headers.push_back({"Request-Id", id});
        response.headers.push_back({"Result-Code", std::string(resultCodeRow(outcome.code).name)});
        response.headers.push_back({"Outcome", std::string(outcomeName(outcome.code))});
        if (isRefusal(outcome.code) && outcome.retryAfter.ms > 0) {
            response.headers.push_back({"Retry-After", std::to_string((outcome.retryAfter.ms + 999) / 1000)});
        }
        return response;
    }

    /** Reads the headers of a request. Returns Ok, or a code and a sentence. */
    std::pair<ResultCode, std::string> readHeaders(const HttpRequest &message, CallerRequest &request)
    {
        request.caller = std::string(headerValue(message.headers, "Caller"));
        request.team = std::string(headerValue(message.headers, "Team"));
        request.id = std::string(headerValue(message.headers, "Request-Id"));
        request.contentType = std::string(headerValue(message.headers, "Content-Type"));
        for (const std::string *text : {&request.caller, &request.team, &request.id, &request.contentType}) {
            if (text->size() > MaxNameLength) {
                return {ResultCode::OutOfRange, "Caller, Team, Request-Id and Content-Type must have at most 200 bytes"};
            }
        }
        const std::string_view repeatable = headerValue(message.headers, "Repeatable");
        if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
            return {ResultCode::OutOfRange, "Repeatable must be yes or no"};
        }
        request.repeatable = repeatable != "no";
        if (!request.repeatable && (request.id.empty() || request.caller.empty())) {
            return {ResultCode::MissingField, "a request that is not repeatable needs the headers Caller and Request-Id"};
        }
        const std::string_view timeout = headerValue(message.headers, "Timeout-Ms");
        if (timeout.empty()) {
            return {ResultCode::Ok, {}};
        }
        std::int64_t milliseconds = 0;
        const auto end = std::from_chars(timeout.data(), timeout.data() + timeout.size(), milliseconds);
        if (end.ec != std::errc() || end.ptr != timeout.data() + timeout.size() || milliseconds < 1 || milliseconds > MaxTimeoutMs) {
            return {ResultCode::OutOfRange, "Timeout-Ms must be a number from 1 to " + std::to_string(MaxTimeoutMs)};
        }
        request.deadline = steadyNow() + Duration{milliseconds};
        return {ResultCode::Ok, {}};
    }

} // namespace

void serveQuickRequest(Daemon &daemon, std::string_view service, HttpRequest &&message, HttpRespond respond)
{
    const auto request = std::make_shared<CallerRequest>();
    request->startedUs = steadyMicroseconds();
    request->service = std::string(service);
    const auto [code, sentence] = readHeaders(message, *request);
    if (code != ResultCode::Ok) {
        respond(errorResponse(code, sentence));
        return;
    }
    if (request->id.empty()) {
        request->id = daemon.settings.daemon + "-" + std::to_string(daemon.incarnation) + "-" + std::to_string(++daemon.lastRequest);
    }
    request->body = std::move(message.body);
    request->done = [respond = std::move(respond), id = request->id](RequestOutcome outcome) {
        respond(responseOf(id, std::move(outcome)));
    };
    serveRequest(daemon, request);
}

} // namespace Filbertlanding
