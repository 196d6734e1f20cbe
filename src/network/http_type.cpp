/** @file http_type.cpp Headers and error responses. */

#include "network/http_type.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Filbertlanding {

std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

HttpResponse errorResponse(ResultCode code, std::string_view message, std::int64_t retryAfterMs)
{
    const ResultCodeRow &row = resultCodeRow(code);
    boost::json::object body;
    body["code"] = static_cast<std::uint16_t>(code);
    body["name"] = row.name;
    body["message"] = message.empty() ? row.sentence : message;
    HttpResponse response;
    response.status = row.httpStatus;
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"Result-Code", std::string(row.name)});
    if (retryAfterMs >= 0) {
        body["retryAfterMs"] = retryAfterMs;
        // Retry-After counts whole seconds; rounding up keeps callers from coming back too early.
        response.headers.push_back({"Retry-After", std::to_string((retryAfterMs + 999) / 1000)});
    }
    response.body = boost::json::serialize(body);
    return response;
}

} // namespace Filbertlanding
