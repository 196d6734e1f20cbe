/** @file connection_health.h Finds long-lived connections that have gone silent. */

#pragma once

#include "core/clock_type.h"
#include "core/name_table.h"

#include <cstdint>

namespace Filbertlanding {

/** State of a connection. */
enum class ConnectionState : std::uint8_t {
    Open, ///< Answers come in time.
    Suspect, ///< An answer is overdue; a new connection is being probed.
    Slow, ///< The probe was answered, so the target is alive; the answer may still come, up to the bound.
    Closed, ///< To be closed and never used again.
};

constexpr auto ConnectionStateNames = makeNameTable<ConnectionState>(
    {{ConnectionState::Open, "open"}, {ConnectionState::Suspect, "suspect"}, {ConnectionState::Slow, "slow"}, {ConnectionState::Closed, "closed"}});

/** Bounds of a connection. */
struct ConnectionSettings {
    Duration heartbeatInterval{1000}; ///< An idle connection is checked this often.
    Duration suspectAfter{2000}; ///< Time without a byte, while something is awaited, until a new connection is probed.
    Duration probeTimeout{1000}; ///< Time that the probe has.
    Duration responseTimeout{10'000}; ///< Longest time without a byte while an answer is awaited.
};

/** State of one connection. */
struct ConnectionHealth {
    ConnectionState state = ConnectionState::Open; ///< State.
    TimePoint lastByteAt; ///< When the last byte came, or the wait began.
    TimePoint lastHeartbeatAt; ///< When the last heartbeat was sent.
    TimePoint probeStartedAt; ///< When the probe began.
    std::uint32_t pendingResponses = 0; ///< Answers and heartbeats that are awaited.
    bool heartbeatOnly = false; ///< What is awaited is a heartbeat, which a live target answers at once.
};

/** What to do with a connection and its worker. */
struct ConnectionAction {
    bool sendHeartbeat = false; ///< Send a heartbeat on the idle connection.
    bool openProbe = false; ///< Open a new connection to the same target and send a probe.
    bool close = false; ///< Close this connection; its requests have no answer.
    bool reportTargetFailure = false; ///< The probe failed too, so the target itself is reported as failing.
};

/** A request or heartbeat was sent. */
void connectionSent(ConnectionHealth &health, TimePoint now);

/** A byte came. @param complete The byte ended one answer. @return close when an answer came that nobody awaits. */
ConnectionAction connectionReceived(ConnectionHealth &health, bool complete, TimePoint now);

/** Time has passed. */
ConnectionAction connectionTick(ConnectionHealth &health, const ConnectionSettings &settings, TimePoint now);

/**
 * The probe on the new connection has ended. A connection that only owes a heartbeat is closed. One that owes an answer
 * to a request waits on when the probe was answered, since the request may just take long.
 */
ConnectionAction connectionProbeEnded(ConnectionHealth &health, bool answered);

/** A request on the connection was given up. Its answer may still come, so the connection is closed. */
ConnectionAction connectionRequestAbandoned(ConnectionHealth &health);

/** Returns whether a new request may use the connection: open, nothing awaited. */
bool isReusable(const ConnectionHealth &health);

} // namespace Filbertlanding
