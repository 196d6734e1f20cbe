/** @file assign_type.h Inputs and outputs of the leader's assigner. */

#pragma once

#include "catalog/command_type.h"

#include <map>
#include <set>
#include <vector>

namespace Filbertlanding {

/** Load summary of one daemon, as the leader knows it. */
struct ShardLoad {
    DaemonName daemon; ///< Daemon.
    ZoneName zone; ///< Its availability zone.
    bool alive = false; ///< Whether it answers; only such a daemon gets tasks.
    bool mayReassign = false; ///< Whether its last running lease has ended with drift and margin, so that its tasks have stopped.
    Resources batchCapacity; ///< Capacity for batch tasks of its workers.
    Resources freeBatch; ///< Free part of it, without what is assigned but not placed yet; may be negative.
    std::uint64_t appliedIndex = 0; ///< Log index up to which freeBatch accounts for assignments; later ones are subtracted.
    Resources largestFreeWorker; ///< Most that is free on one worker.
    std::vector<Resources> workerShapes; ///< Distinct announced capacities of its workers; kept after the daemon has died.
    double rampUp = 1.0; ///< Usable share of the capacity from 0 to 1 while load ramps up after the zone's return.
};

/** Inputs of the assigner. */
struct AssignInput {
    std::vector<ShardLoad> shards; ///< Every daemon that the leader has heard from.
    bool allShardsKnown = false; ///< Whether every configured daemon has reported; needed to say that a job fits no worker.
    std::int64_t reservedPercent = 10; ///< Share of each daemon's capacity that only urgent jobs may use.
    std::size_t maxCommands = 200; ///< Commands in one round, so that one round does not fill the log.
};

} // namespace Filbertlanding
