/** @file connection_health.h Detects persistent connections that have stopped responding. */

#pragma once

#include "core/clock_type.h"
#include "core/name_table.h"

#include <cstdint>

namespace Filbertlanding {

/** State of a connection. */
enum class ConnectionState : std::uint8_t {
    Open, ///< Responses arrive in time.
    Suspect, ///< A response is overdue; the target is being probed over a new connection.
    Slow, ///< The probe succeeded, so the target is alive; the response may still arrive until the response timeout.
    Closed, ///< The connection is to be closed and must not be used again.
};

constexpr auto ConnectionStateNames = makeNameTable<ConnectionState>(
    {{ConnectionState::Open, "open"}, {ConnectionState::Suspect, "suspect"}, {ConnectionState::Slow, "slow"}, {ConnectionState::Closed, "closed"}});

/** Timeouts of a connection. */
struct ConnectionSettings {
    Duration heartbeatInterval{1000}; ///< Interval between heartbeats on an idle connection.
    Duration suspectAfter{2000}; ///< Time without received data, while a response is pending, before a probe is started.
    Duration probeTimeout{1000}; ///< Time limit of the probe.
    Duration responseTimeout{10'000}; ///< Maximum time without received data while a response is pending.
};

/** State of one connection. */
struct ConnectionHealth {
    ConnectionState state = ConnectionState::Open;
    TimePoint lastByteAt; ///< When data was last received, or when the wait for a response began.
    TimePoint lastHeartbeatAt; ///< When the last heartbeat was sent.
    TimePoint probeStartedAt;
    std::uint32_t pendingResponses = 0; ///< Requests and heartbeats without a complete response.
    bool heartbeatOnly = false; ///< Only a heartbeat is pending, which a live target answers immediately.
};

/** Actions to take for a connection and its target. */
struct ConnectionAction {
    bool sendHeartbeat = false; ///< Send a heartbeat on the idle connection.
    bool openProbe = false; ///< Open a new connection to the same target and send a probe.
    bool close = false; ///< Close this connection; its pending requests get no response.
    bool reportTargetFailure = false; ///< The probe failed too, so report the target itself as failing.
};

/** Records that a request or heartbeat was sent. */
void connectionSent(ConnectionHealth &health, TimePoint now);

/**
 * Records received data.
 * @param complete The data completes one response.
 * @return `close` if no response was pending.
 */
ConnectionAction connectionReceived(ConnectionHealth &health, bool complete, TimePoint now);

/** Checks the timeouts and the heartbeat interval. */
ConnectionAction connectionTick(ConnectionHealth &health, const ConnectionSettings &settings, TimePoint now);

/**
 * Handles the end of the probe. If the probe was answered and a request is pending, the connection stays open,
 * since the request may merely be slow. A connection with only a heartbeat pending is closed.
 */
ConnectionAction connectionProbeEnded(ConnectionHealth &health, bool answered);

/** Closes the connection after one of its requests was abandoned, since the late response could be taken for that of the next request. */
ConnectionAction connectionRequestAbandoned(ConnectionHealth &health);

/** Returns whether a new request may use the connection: it is open and no response is pending. */
bool isReusable(const ConnectionHealth &health);

} // namespace Filbertlanding
