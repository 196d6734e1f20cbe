/** @file connection_shortage.h What listeners tell of a shortage of connections or descriptors. */

#pragma once

#include "network/connection_table.h"

#include <cstddef>
#include <cstdint>

namespace Filbertlanding {

/** What a listener did for want of connections or descriptors. */
enum class ShortageEvent : std::uint8_t {
    Displaced, ///< Closed a connection without a whole request for a new one.
    Refused, ///< Closed a new connection, since all others were busy.
    AcceptFailed, ///< Failed to accept a connection.
};

/** Connections of a listener in brief. */
struct ConnectionSummary {
    std::size_t open = 0; ///< Open connections.
    std::size_t limit = 0; ///< Connections from which on some are closed for new ones.
    std::size_t silent = 0; ///< Connections that have never sent a byte.
    std::size_t busy = 0; ///< Connections with a request under way.
    BusiestAddress busiest; ///< Remote address with the most connections.
};

} // namespace Filbertlanding
