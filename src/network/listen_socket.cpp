/** @file listen_socket.cpp Opens listening TCP sockets. */

#include "network/listen_socket.h"

namespace Filbertlanding {

namespace {

    namespace net = boost::asio;
    using Tcp = net::ip::tcp;
    using Error = boost::system::error_code;

    /** Opens, binds and listens; stops at the first error. */
    void bindAndListen(Tcp::acceptor &acceptor, const Tcp::endpoint &endpoint, Error &error)
    {
        acceptor.open(endpoint.protocol(), error);
        if (error) {
            return;
        }
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
        if (error) {
            return;
        }
        acceptor.bind(endpoint, error);
        if (error) {
            return;
        }
        acceptor.listen(net::socket_base::max_listen_connections, error);
    }

} // namespace

std::error_code openListener(std::optional<Tcp::acceptor> &acceptor, net::io_context &io, const std::string &address, std::uint16_t &port)
{
    Error error;
    const auto parsed = net::ip::make_address(address, error);
    if (error) {
        return ResultCode::BadAddress;
    }
    acceptor.emplace(io);
    bindAndListen(*acceptor, Tcp::endpoint(parsed, port), error);
    if (!error) {
        port = acceptor->local_endpoint(error).port();
    }
    return error ? std::error_code(error.value(), std::system_category()) : std::error_code();
}

} // namespace Filbertlanding
