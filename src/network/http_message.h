/** @file http_message.h Conversion of the HTTP messages of Beast; used by the server only. */

#pragma once

#include "network/http_type.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace Filbertlanding {

/** Returns whether the length of the body is stated in one way only. Beast itself refuses a chunked body together with a content length. */
bool isFramingAcceptable(const boost::beast::http::request_header<> &header);

/**
 * Makes the request that a handler takes.
 * @param remote Address of the caller.
 */
HttpRequest makeHttpRequest(boost::beast::http::request<boost::beast::http::string_body> &&message, const std::string &remote);

} // namespace Filbertlanding
