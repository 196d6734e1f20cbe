/** @file http_type.h Plain HTTP messages as the handlers see them. */

#pragma once

#include "core/result_code.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Filbertlanding {

/** One header of a message. */
struct HttpHeader {
    std::string name; ///< Name as sent; compared without regard to case.
    std::string value; ///< Value without surrounding white space.
};

/** A request. */
struct HttpRequest {
    std::string method; ///< For example POST.
    std::string target; ///< Path and query.
    std::vector<HttpHeader> headers; ///< Without Content-Length, Transfer-Encoding and Connection when sent; Host only to name another host than the target.
    std::string body; ///< Whole body, without chunk framing.
    std::string remote; ///< Address and port of the sender; filled by the server.
};

/** A response. */
struct HttpResponse {
    unsigned status = 200; ///< HTTP status number.
    std::vector<HttpHeader> headers; ///< Without Content-Length, Transfer-Encoding and Connection when sent.
    std::string body; ///< Whole body.
};

/** Returns the value of the first header with this name, without regard to case, or an empty text. */
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/**
 * Makes the JSON error response of design section 9: code, name, message and retryAfterMs.
 * @param code Result code; its HTTP status becomes the status.
 * @param message Sentence for people; empty for the sentence of the code.
 * @param retryAfterMs Time in milliseconds after which a new try makes sense; negative leaves the member out.
 */
HttpResponse errorResponse(ResultCode code, std::string_view message = {}, std::int64_t retryAfterMs = -1);

/** An address to connect to. */
struct HttpAddress {
    std::string address; ///< IP number.
    std::uint16_t port = 0; ///< TCP port.

    bool operator==(const HttpAddress &) const = default;

    /** Any fixed order, for maps. */
    friend bool operator<(const HttpAddress &left, const HttpAddress &right)
    {
        return std::tie(left.address, left.port) < std::tie(right.address, right.port);
    }
};

} // namespace Filbertlanding
