/** @file replica_opening.h Opens the data folder of a replica and starts the replicated log from what it holds. */

#pragma once

#include "replication/raft_base.h"
#include "runtime/replication_driver.h"
#include "storage/data_folder.h"

namespace Filbertlanding {

/** What this process knows of a data folder that it opens again. */
struct EarlierFailure {
    std::size_t bytes = 0; ///< Size of what could not be written; the folder must take as much before it counts as sound.
};

/** A replica that has been opened. */
struct OpenedReplica {
    ReplicationStart start; ///< The outcome; nothing below is valid unless its code is Ok.
    DataFolder folder; ///< Empty without a disk.
    RaftState raft;
    HardState syncedVote; ///< Hard state that the folder holds.
};

/**
 * Opens a replica once, without a wait.
 * @param failure Set when a write or sync of this process has failed: what it wrote is then written anew, since a later sync that succeeds proves
 *        nothing about it.
 */
OpenedReplica openReplica(const ReplicationConfig &config, const std::optional<EarlierFailure> &failure);

} // namespace Filbertlanding
