/** @file apply_state.h Applies the replicated log to the daemon. All functions run on the control thread. */

#pragma once

#include "daemon/daemon_base.h"

#include <vector>

namespace Filbertlanding {

/** Applies accepted entries, and puts what follows from them in force. */
void applyEntries(Daemon &daemon, const std::vector<LogEntry> &entries);

/** Replaces the catalog by a snapshot. */
void installSnapshot(Daemon &daemon, const Snapshot &snapshot);

/** Hands a snapshot of the catalog to the replicated log. */
void takeSnapshot(Daemon &daemon);

/** Puts a changed configuration in force. */
void configurationChanged(Daemon &daemon, TimePoint now);

/** Publishes what the request threads need to know. */
void publishView(Daemon &daemon);

/** Tells the shard about the drained zones and the spare capacity elsewhere. */
void updateShardZones(Daemon &daemon, TimePoint now);

/** Returns whether the zone of this daemon is drained. */
bool isOwnZoneDrained(const Daemon &daemon);

/** Returns the daemons of the own zone that are alive and not stopping, with their HTTP addresses. */
std::vector<DaemonEndpoint> liveZoneDaemons(const Daemon &daemon, TimePoint now);

} // namespace Filbertlanding
