/** @file propose_func.h Brings commands into the replicated log, through the leader. All functions run on the control thread. */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

constexpr Duration ProposeTimeout{3000}; ///< Time for one attempt to get a command accepted.

/**
 * Proposes a command once. The outcome is the command's own result, NotLeader or NoQuorum when it was certainly not accepted,
 * or ChangeOutcomeUnknown.
 */
void proposeCommand(Daemon &daemon, const LogCommand &command, ProposeDone done);

/**
 * Proposes an idempotent command again and again until it has a result of its own or the time is over.
 * The outcome at the end of the time is that of the last attempt, or ChangeOutcomeUnknown when any attempt had that outcome.
 */
void proposeUntil(Daemon &daemon, const LogCommand &command, TimePoint deadline, ProposeDone done);

/** As leader: takes a command of another daemon. */
void proposeForPeer(Daemon &daemon, std::string encoded, std::function<void(ProposeAnswer)> reply);

/** Gives the result of an applied entry to the proposal that waits for it. */
void finishProposal(Daemon &daemon, std::uint64_t index, std::uint64_t term, const CommandResult &result);

/** Gives up on proposals that are not applied in time, as those of an isolated leader. */
void proposalTick(Daemon &daemon, TimePoint now);

} // namespace Filbertlanding
