/**
 * @file lease_driver.h Probes that renew the freshness and running leases, on both sides, and the assignment of jobs by the leader.
 * All functions run on the control thread.
 */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

/** Sends a probe to the leader, or to itself as leader. */
void sendProbe(Daemon &daemon);

/** Hands the leases held from the leader to the shard of batch jobs. */
void updateShardLeases(Daemon &daemon, TimePoint now);

/** As leader: grants leases to a daemon after a quorum round. `reply` is called on the control thread. */
void answerProbe(Daemon &daemon, const ProbeRequest &probe, std::function<void(ProbeAnswer)> reply);

/** Takes over a change of role, term, leader or membership. */
void replicationStatusChanged(Daemon &daemon, ReplicationStatus status);

/** As leader: assigns waiting jobs and those of daemons whose running lease has ended. */
void assignTick(Daemon &daemon, TimePoint now);

} // namespace Filbertlanding
