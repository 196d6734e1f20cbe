/** @file connection_health.cpp Detects persistent connections that have stopped responding. */

#include "request/connection_health.h"

namespace Filbertlanding {

namespace {

    ConnectionAction closeConnection(ConnectionHealth &health, bool reportTargetFailure)
    {
        health.state = ConnectionState::Closed;
        ConnectionAction action;
        action.close = true;
        action.reportTargetFailure = reportTargetFailure;
        return action;
    }

} // namespace

void connectionSent(ConnectionHealth &health, TimePoint now)
{
    if (health.pendingResponses == 0) {
        health.lastByteAt = now;
    }
    health.heartbeatOnly = false;
    ++health.pendingResponses;
}

ConnectionAction connectionReceived(ConnectionHealth &health, bool complete, TimePoint now)
{
    if (health.state == ConnectionState::Closed) {
        return {};
    }
    if (health.pendingResponses == 0) {
        // The data cannot be matched to a request.
        return closeConnection(health, false);
    }
    health.lastByteAt = now;
    health.state = ConnectionState::Open;
    health.pendingResponses -= complete ? 1 : 0;
    return {};
}

ConnectionAction connectionTick(ConnectionHealth &health, const ConnectionSettings &settings, TimePoint now)
{
    ConnectionAction action;
    if (health.state == ConnectionState::Suspect && now - health.probeStartedAt >= settings.probeTimeout) {
        return closeConnection(health, true);
    }
    if (health.state == ConnectionState::Slow && now - health.lastByteAt >= settings.responseTimeout) {
        return closeConnection(health, false);
    }
    if (health.state != ConnectionState::Open) {
        return action;
    }
    if (health.pendingResponses > 0) {
        action.openProbe = now - health.lastByteAt >= settings.suspectAfter;
        if (action.openProbe) {
            health.state = ConnectionState::Suspect;
            health.probeStartedAt = now;
        }
        return action;
    }
    const bool idle = now - health.lastByteAt >= settings.heartbeatInterval && now - health.lastHeartbeatAt >= settings.heartbeatInterval;
    if (idle) {
        health.lastHeartbeatAt = now;
        action.sendHeartbeat = true;
        connectionSent(health, now);
        health.heartbeatOnly = true;
    }
    return action;
}

ConnectionAction connectionProbeEnded(ConnectionHealth &health, bool answered)
{
    if (health.state != ConnectionState::Suspect) {
        return {};
    }
    if (answered && !health.heartbeatOnly) {
        health.state = ConnectionState::Slow;
        return {};
    }
    // The target is reported only if it failed on the new connection too.
    return closeConnection(health, !answered);
}

ConnectionAction connectionRequestAbandoned(ConnectionHealth &health)
{
    if (health.state == ConnectionState::Closed) {
        return {};
    }
    return closeConnection(health, false);
}

bool isReusable(const ConnectionHealth &health)
{
    return health.state == ConnectionState::Open && health.pendingResponses == 0;
}

} // namespace Filbertlanding
