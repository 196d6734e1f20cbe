/** @file handshake_table.h Accepted peer connections that have not completed the handshake; used by the peer links only. */

#pragma once

#include "network/connection_shortage.h"
#include "network/connection_table.h"
#include "network/descriptor_pool.h"
#include "network/frame_stream.h"
#include "network/network_counters.h"

#include <optional>

namespace Filbertlanding {

/** Bounds the handshakes; all calls are made on the link thread. */
class HandshakeTable
{
public:
    HandshakeTable(const PeerLinkSettings &linkSettings, NetworkCounters &networkCounters);
    HandshakeTable(const HandshakeTable &) = delete;
    HandshakeTable &operator=(const HandshakeTable &) = delete;
    /** Calls stop(). */
    ~HandshakeTable();

    /** Closes a handshake if there are too many for another one. Returns false if there is none to close. */
    bool makeRoom();

    /** Adds an accepted connection. */
    void add(FrameStream &stream, const RemoteAddress &remote);

    /** Removes a connection that has completed its handshake or is closed. */
    void remove(FrameStream &stream);

    /** Counts a failed accept. */
    void onAcceptFailed();

    /** Returns the connections in brief. */
    ConnectionSummary summary() const;

    /** Gives up no more connections for other users of the descriptors. */
    void stop();

private:
    bool releaseOne(ConnectionPhase phase);

    const PeerLinkSettings &settings;
    NetworkCounters &counters;
    ConnectionTable table;
    std::optional<DescriptorPool::ReleaserId> releaser;
};

} // namespace Filbertlanding
