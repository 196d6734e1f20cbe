/** @file catalog_base.h The replicated state. */

#pragma once

#include "catalog/command_type.h"
#include "catalog/config_type.h"
#include "catalog/job_type.h"

#include <map>
#include <set>
#include <tuple>

namespace Filbertlanding {

constexpr std::size_t MaxDaemons = 1000; ///< Daemon names.
constexpr std::size_t MaxIncarnationsPerService = 4000; ///< Incarnations that one service remembers.
constexpr std::size_t MaxCounterBytes = std::size_t{512} * 1024; ///< Encoded final counters of one incarnation and service.
constexpr std::size_t MaxHistory = 4000; ///< Accepted changes that are kept; three days at 1,300 a day.

/** An accepted configuration change, for the history and the report. */
struct ChangeRecord {
    std::uint64_t version = 0; ///< Version that the change made.
    std::uint64_t index = 0; ///< Log index.
    ChangeKind kind = ChangeKind::Put; ///< Kind.
    OperationId operation; ///< Operation id.
    std::string operatorName; ///< Operator.
    WallTime wallTime; ///< When it was proposed.
    std::vector<std::string> files; ///< Names of the files.
    std::vector<ZoneName> drained; ///< Zones that it drained.
    std::vector<ZoneName> returned; ///< Zones that it returned to service.
    std::vector<ServiceName> opened; ///< Services that it opened.
    std::vector<ServiceName> closed; ///< Services that it closed or removed.

    bool operator==(const ChangeRecord &) const = default;
};

/** Intent files and what follows from them. */
struct IntentStore {
    std::uint64_t version = 0; ///< Number of accepted changes.
    std::map<std::string, std::string> files; ///< Texts by name.
    std::vector<ChangeRecord> history; ///< Accepted changes, oldest first, at most MaxHistory.
    Configuration configuration; ///< Merged and checked; not in snapshots, but made again from the files.

    bool operator==(const IntentStore &) const = default;
};

/** First answer to an operation id. */
struct OperationRecord {
    std::uint64_t index = 0; ///< Log index of the first command.
    std::uint64_t fingerprint = 0; ///< Hash of the command; a resend has the same one.
    std::uint64_t bytes = 0; ///< Approximate memory of the record.
    CommandResult result; ///< First answer.

    bool operator==(const OperationRecord &) const = default;
};

/** Known operation ids. */
struct OperationTable {
    std::map<OperationId, OperationRecord> records; ///< By operation id.
    std::map<std::uint64_t, OperationId> order; ///< Log index to operation id; the oldest is dropped first.
    std::uint64_t bytes = 0; ///< Sum of the records' bytes.

    bool operator==(const OperationTable &) const = default;
};

/** One start of a daemon. */
struct DaemonIncarnation {
    DaemonName daemon; ///< Daemon.
    std::uint64_t incarnation = 0; ///< Number of the start.

    bool operator==(const DaemonIncarnation &) const = default;

    bool operator<(const DaemonIncarnation &other) const
    {
        return std::tie(this->daemon, this->incarnation) < std::tie(other.daemon, other.incarnation);
    }
};

/** What one incarnation has delivered for one service. */
struct IncarnationCounters {
    bool delivered = false; ///< Whether final counters have arrived since the service was last opened.
    std::uint64_t revision = 0; ///< Revision of the counters.
    std::string counters; ///< Encoded counters.
    bool gapAccepted = false; ///< Whether the operator has accepted that they are missing.
    std::string gapOperator; ///< Who accepted it.
    WallTime gapWallTime; ///< When.

    bool operator==(const IncarnationCounters &) const = default;
};

/** A service over all its open times. */
struct ServiceRecord {
    bool open = false; ///< Whether it is open now.
    std::uint64_t firstVersion = 0; ///< Version that first opened it.
    std::uint64_t closedVersion = 0; ///< Version that last closed it; 0 while open.
    std::map<DaemonIncarnation, IncarnationCounters> served; ///< Incarnations that could serve it while it was open.

    bool operator==(const ServiceRecord &) const = default;
};

/** Latest start of a daemon. */
struct DaemonRecord {
    std::uint64_t incarnation = 0; ///< Number of the latest start.
    bool running = false; ///< Whether it has not stopped in an orderly way; a daemon that died counts as running.

    bool operator==(const DaemonRecord &) const = default;
};

/** Services and the incarnations that serve them. */
struct ServiceTable {
    std::map<ServiceName, ServiceRecord> services; ///< Every service that was ever open.
    std::map<DaemonName, DaemonRecord> daemons; ///< Every daemon that ever started.

    bool operator==(const ServiceTable &) const = default;
};

/** The replicated state. */
struct Catalog {
    std::uint64_t appliedIndex = 0; ///< Index of the last applied log entry.
    IntentStore intent; ///< Intent files and configuration.
    OperationTable operations; ///< Operation ids with first answers.
    JobTable jobs; ///< Batch jobs.
    ServiceTable services; ///< Final counters and gaps.

    bool operator==(const Catalog &) const = default;
};

} // namespace Filbertlanding
