/** @file soak_client.cpp HTTP client of the soak. */

#include "soak/soak_client.h"

namespace Filbertlanding {

HttpClientSettings soakClientSettings(boost::asio::io_context &loop)
{
    HttpClientSettings settings;
    settings.loop = &loop;
    settings.connectTimeout = {500};
    return settings;
}

HttpAddress soakAddressOf(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

void sendToLeader(HttpClient &client, const std::string &daemon, HttpRequest request, Duration timeout, HttpDone done)
{
    HttpRequest redirected = request;
    client.send(
        soakAddressOf(daemon), std::move(request), {.timeout = timeout}, [&client, redirected, timeout, done = std::move(done)](const HttpExchange &exchange) {
            const std::string location(headerValue(exchange.response.headers, "Location"));
            constexpr std::string_view Scheme = "http://";
            if (exchange.response.status != 307 || !location.starts_with(Scheme)) {
                done(exchange);
                return;
            }
            const std::string rest = location.substr(Scheme.size());
            client.send(soakAddressOf(rest.substr(0, rest.find('/'))), redirected, {.timeout = timeout}, done);
        });
}

bool isRejection(unsigned status)
{
    return status >= 400 && status < 500 && status != 408 && status != 429;
}

} // namespace Filbertlanding
