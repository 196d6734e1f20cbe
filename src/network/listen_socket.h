/** @file listen_socket.h Opens listening TCP sockets. Includes Asio, so include it only in source files. */

#pragma once

#include "core/result_code.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

namespace Filbertlanding {

/**
 * Opens, binds and listens.
 * @param address IP number.
 * @param port [in,out] TCP port; 0 takes a free one, which is returned here.
 * @return No error, BadAddress, or the error of the system.
 */
std::error_code
openListener(std::optional<boost::asio::ip::tcp::acceptor> &acceptor, boost::asio::io_context &io, const std::string &address, std::uint16_t &port);

} // namespace Filbertlanding
