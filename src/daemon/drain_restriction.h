/**
 * @file drain_restriction.h Restrictive changes (drain, leaving, close) that an operator gives to a daemon without a quorum.
 * They take effect on this daemon at once, are kept on its disk, and are proposed when the quorum is back (design section 7).
 * All functions run on the control thread.
 */

#pragma once

#include "daemon/daemon_base.h"

#include <string>

namespace Filbertlanding {

/** Opens the file with the kept restrictions. Without a disk they are kept in memory only. */
ResultCode openRestrictions(Daemon &daemon);

/** Returns the files as they would be after a change. */
std::vector<IntentFile> filesAfterChange(const std::map<std::string, std::string> &files, const ChangeFiles &change);

/** Returns whether a change only takes something away from the configuration in force here. */
bool isRestriction(const Daemon &daemon, const ChangeFiles &change);

/** Returns whether the daemon has lost the leader, so that a change cannot be accepted now. */
bool isWithoutQuorum(const Daemon &daemon, TimePoint now);

/** Puts a restriction in force on this daemon and keeps it. @return KeptLocally, or DiskFailed. */
ResultCode keepRestriction(Daemon &daemon, const ChangeFiles &change);

/** Computes the configuration in force: the accepted one with the kept restrictions. */
void updateEffectiveConfiguration(Daemon &daemon);

/** Proposes kept restrictions once there is a leader; those that are accepted or have become invalid are dropped. */
void restrictionTick(Daemon &daemon, TimePoint now);

} // namespace Filbertlanding
