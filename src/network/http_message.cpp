/** @file http_message.cpp Conversion of the HTTP messages of Beast. */

#include "network/http_message.h"

#include <boost/beast/core/string.hpp>

namespace Filbertlanding {

namespace http = boost::beast::http;

bool isFramingAcceptable(const http::request_header<> &header)
{
    const auto codings = header.count(http::field::transfer_encoding);
    if (codings == 0) {
        return true;
    }
    // Another coding than chunked, or chunked in HTTP/1.0, leaves open where the message ends; two hosts could read it differently.
    return codings == 1 && header.version() == 11 && boost::beast::iequals(header[http::field::transfer_encoding], "chunked");
}

HttpRequest makeHttpRequest(http::request<http::string_body> &&message, const std::string &remote)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.remote = remote;
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace Filbertlanding
