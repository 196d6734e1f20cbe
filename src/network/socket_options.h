/** @file socket_options.h Options of TCP sockets that Asio does not name. */

#pragma once

#include "core/clock_type.h"

namespace Filbertlanding {

/**
 * Makes the kernel notice a connection that goes silent: bounds the time that sent bytes stay unacknowledged, probes an idle
 * connection, and turns off the delay of small packets. Errors are ignored, since the timeouts of the process itself remain.
 * @param nativeSocket File descriptor.
 * @param userTimeout Value of TCP_USER_TIMEOUT.
 * @param keepAliveIdle Idle time before the first probe; rounded to seconds, at least 1 s.
 */
void setConnectionOptions(int nativeSocket, Duration userTimeout, Duration keepAliveIdle);

} // namespace Filbertlanding
