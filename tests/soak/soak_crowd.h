/** @file soak_crowd.h A crowd of connections that send nothing. */

#pragma once

#include "network/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace Filbertlanding {

/** Keeps a number of connections to one address open without sending on them, and opens those anew that the other side closes. */
class SoakCrowd : public std::enable_shared_from_this<SoakCrowd>
{
public:
    SoakCrowd(boost::asio::io_context &loop, const HttpAddress &target);

    /** Opens the connections. */
    void start(std::size_t count);

    /** Closes all connections, and opens none any more. */
    void stop();

private:
    struct Member {
        explicit Member(boost::asio::io_context &loop);

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        char received = 0;
    };

    void connect(Member &member);
    void connectLater(Member &member);

    boost::asio::io_context &io;
    boost::asio::ip::tcp::endpoint endpoint;
    std::vector<std::unique_ptr<Member>> members;
    bool hasStopped = false;
};

} // namespace Filbertlanding
