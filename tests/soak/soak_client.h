/** @file soak_client.h HTTP client of the simulated callers, workers and writers of odd reports. */

#pragma once

#include "network/http_client.h"

#include <boost/asio/io_context.hpp>

#include <string>

namespace Filbertlanding {

/** Returns the settings of a client that gives up soon on a daemon that is down. */
HttpClientSettings soakClientSettings(boost::asio::io_context &loop);

/** Returns the parts of an address of the form "IP:port". */
HttpAddress soakAddressOf(const std::string &text);

/** Sends a request to a daemon and follows one redirect to the leader. The client must outlive the exchange. */
void sendToLeader(HttpClient &client, const std::string &daemon, HttpRequest request, Duration timeout, HttpDone done);

/** Returns whether a status says that the request itself is wrong, so that it is of no use to send it again. */
bool isRejection(unsigned status);

} // namespace Filbertlanding
