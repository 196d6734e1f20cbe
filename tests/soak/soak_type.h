/** @file soak_type.h Plain types of the fault soak. */

#pragma once

#include "fleet/worker_order_type.h"

#include <filesystem>
#include <optional>
#include <string>

namespace Filbertlanding {

/** What a soak plays. */
struct SoakSettings {
    std::uint64_t seed = 1;
    Duration faultTime{20'000}; ///< Time during which faults are injected.
    Duration settleTime{45'000}; ///< Longest time after it until everything accepted has ended.
    int cores = 3; ///< Daemons with a disk.
    int entries = 2; ///< Daemons that relay callers' calls.
    int workers = 12;
    double jobsPerSecond = 3;
    bool hasFaults = true;
    bool isVerbose = false; ///< Prints each fault as it is injected.
    std::string program; ///< Path of the fleet daemon.
    std::filesystem::path folder; ///< Settings, data folders and logs of the daemons.
};

/** Bounds that the users' pages state; the daemons get the same ones. */
struct SoakLimits {
    Duration cancelLimit{3'000}; ///< After a cancel is acknowledged no task of the job starts later than this.
    Duration manifestVisibilityLimit{2'000}; ///< After a manifest is acknowledged no older one is read later than this.
    Duration stopTimeout{200};
    Duration longestLease{10'000};
    Duration maxOrderDelay{12'000}; ///< An order without an answer is carried out by then or never.
};

} // namespace Filbertlanding
