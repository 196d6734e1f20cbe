/** @file raft_role.h Life cycle of a replica's role. */

#pragma once

#include "replication/raft_type.h"

namespace Filbertlanding {

/** What moves a replica from one role to another. */
enum class RaftRoleEvent : std::uint8_t {
    ElectionTimeout, ///< No leader was heard in time.
    PreVoteWon, ///< A majority would vote for this replica.
    LeadershipOffered, ///< The leader has stepped down in favour of this replica.
    ElectionWon, ///< A majority has voted for this replica.
    SteppedDown, ///< A leader or a higher term was seen, or the quorum was lost.
    Removed, ///< The membership in force does not list this replica as voter.
    Promoted, ///< The membership in force lists this replica as voter.
};

/** Returns the role after an event; an event that the role does not know leaves it unchanged. */
RaftRole nextRole(RaftRole role, RaftRoleEvent event);

} // namespace Filbertlanding
