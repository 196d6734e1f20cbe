/** @file socket_options.cpp Options of TCP sockets that Asio does not name. */

#include "network/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace Filbertlanding {

namespace {

    void setOption(int nativeSocket, int level, int option, int value)
    {
        setsockopt(nativeSocket, level, option, &value, sizeof(value));
    }

} // namespace

void setConnectionOptions(int nativeSocket, Duration userTimeout, Duration keepAliveIdle)
{
    constexpr int KeepAliveProbes = 3;
    constexpr int KeepAliveInterval = 1; // seconds
    const int idleSeconds = static_cast<int>(std::max<std::int64_t>(1, (keepAliveIdle.ms + 500) / 1000));
    setOption(nativeSocket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(nativeSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(nativeSocket, IPPROTO_TCP, TCP_KEEPIDLE, idleSeconds);
    setOption(nativeSocket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveInterval);
    setOption(nativeSocket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    setOption(nativeSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.ms));
}

} // namespace Filbertlanding
