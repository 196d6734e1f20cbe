/** @file peer_service.h Messages and heartbeats of other daemons. */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

/** Takes a message of a peer; runs on the link thread. */
void handlePeerMessage(Daemon &daemon, const DaemonName &peer, std::uint8_t kind, const std::string &payload, const PeerReply &reply);

/** Takes a heartbeat of a peer; runs on the thread of the heartbeat socket. */
void handleHeartbeat(Daemon &daemon, const DaemonName &peer, std::uint64_t incarnation, const std::string &payload);

/** Sends heartbeats to all peers; control thread. */
void sendHeartbeats(Daemon &daemon, TimePoint now);

} // namespace Filbertlanding
