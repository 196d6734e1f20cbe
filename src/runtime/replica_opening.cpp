/** @file replica_opening.cpp Opens the data folder of a replica and starts the replicated log from what it holds. */

#include "runtime/replica_opening.h"

#include "core/clock_func.h"
#include "replication/raft_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MinProbeBytes = std::size_t{256} * 1024; ///< More than a usual record, so that a disk with a few free bytes does not count as sound.

    /** Opens the folder into a replica. Returns Ok, DiskFailed or DataFolderInUse. */
    ResultCode openFolder(const ReplicationConfig &config, const std::optional<EarlierFailure> &failure, RaftSettings &raft, OpenedReplica &replica)
    {
        if (failure) {
            const ResultCode code = probeDataFolder(config.files, config.dataFolder, std::max(failure->bytes, MinProbeBytes));
            if (code != ResultCode::Ok) {
                return code;
            }
        }
        const auto newIncarnation = config.votesAtOnce ? FirstIncarnation : static_cast<std::uint64_t>(wallNow().ms);
        replica.folder = openDataFolder(config.files, config.dataFolder, newIncarnation);
        if (replica.folder.code == ResultCode::Ok && failure) {
            replica.folder.code = rewriteLog(replica.folder);
        }
        if (replica.folder.code != ResultCode::Ok) {
            return replica.folder.code;
        }
        // Without new voters by themselves, operators change the members of an installation in the settings.
        return raft.admitsNewVoters ? keepFoundingMembership(replica.folder, raft.bootstrap) : ResultCode::Ok;
    }

} // namespace

OpenedReplica openReplica(const ReplicationConfig &config, const std::optional<EarlierFailure> &failure)
{
    OpenedReplica replica;
    RaftSettings settings = config.raft;
    PersistedState persisted;
    settings.hasDisk = !config.dataFolder.empty();
    if (settings.hasDisk) {
        replica.start.code = openFolder(config, failure, settings, replica);
        replica.start.incarnation = replica.folder.incarnation;
        replica.start.isNew = replica.folder.isNew;
        replica.start.setAside = replica.folder.setAside;
        if (replica.start.code != ResultCode::Ok) {
            return replica;
        }
        persisted = std::move(replica.folder.persisted);
        replica.start.ledgerRecords = std::move(replica.folder.ledgerRecords);
        replica.start.ledger = std::move(replica.folder.ledger);
    }
    replica.syncedVote = persisted.hardState;
    settings.self.incarnation = replica.start.incarnation;
    RaftStart started = raftStart(std::move(settings), std::move(persisted), steadyNow());
    replica.start.code = started.code;
    replica.raft = std::move(started.state);
    return replica;
}

} // namespace Filbertlanding
