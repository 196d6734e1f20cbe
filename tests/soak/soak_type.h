/** @file soak_type.h Types shared by the parts of the randomized fault soak. */

#pragma once

#include "fleet/worker_order_type.h"

#include <filesystem>
#include <optional>
#include <string>

namespace Filbertlanding {

/** Settings of one soak run. */
struct SoakSettings {
    std::uint64_t seed = 1;
    Duration faultTime{20'000}; ///< Time during which faults are injected.
    Duration calmTime{0}; ///< Time without faults in which callers go on.
    Duration settleTime{45'000}; ///< Maximum time after the faults until all accepted jobs have ended.
    int cores = 3; ///< Number of daemons with a data folder.
    int entries = 2; ///< Number of daemons that relay callers' requests.
    int workers = 12;
    double jobsPerSecond = 3;
    bool hasFaults = true;
    bool hasOnlyWorkerCrashes = false; ///< All faults are crashes of workers, at shorter intervals.
    bool hasReachFaults = false; ///< All faults of daemons leave them running but out of reach, or are planned stops of the leader.
    bool hasReplacements = false; ///< All faults of daemons are losses of cores, one at a time; most are replacements by new machines.
    bool hasDiskFaults = false; ///< All faults of daemons are those of disks and limits of cores, and restarts.
    bool hasMovingQueue = false; ///< A second queue, whose route changes its service; every second worker is of the second service.
    bool hasAccounts = false; ///< The manifests have client accounts, which change during the run.
    bool hasSilentLinks = false; ///< All faults are open connections that go silent.
    bool hasTakeovers = false; ///< All faults of daemons are ends of the leader while workers that have just restarted are cut off.
    bool isVerbose = false; ///< Prints each fault as it is injected.
    std::string program; ///< Path of the fleet daemon.
    std::string diskFaultShim; ///< Path of the library that makes calls to a data folder fail.
    std::filesystem::path folder; ///< Settings, data folders and logs of the daemons.
};

/** Limits that the user documentation guarantees; the daemons are configured with the same values. */
struct SoakLimits {
    Duration capacityLimit{3'000}; ///< No task is started beyond the reported capacity of a worker later than this after the report was acknowledged.
    std::uint32_t crashLimit = 3; ///< After so many workers have crashed under a task, it is started fewer than this many times more.
    Duration cancelLimit{3'000}; ///< No task of a job starts later than this after its cancellation was acknowledged.
    Duration manifestVisibilityLimit{2'000}; ///< No older manifest is read later than this after a manifest was acknowledged.
    Duration stopTimeout{200};
    Duration longestLease{10'000};
    Duration maxOrderDelay{12'000}; ///< An order without a response is executed within this time or never.
};

/** Capacity that a worker states in its reports. It may be less than what it accepts. */
struct SoakReportedCapacity {
    std::int64_t percent = 100; ///< Of the capacity that the worker accepts.
    std::optional<TimePoint> acknowledgedAt; ///< First acknowledgement of a report with this capacity.
};

} // namespace Filbertlanding
