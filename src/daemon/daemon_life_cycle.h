/** @file daemon_life_cycle.h Life cycle of the daemon. */

#pragma once

#include "core/name_table.h"

#include <cstdint>
#include <memory>

namespace Filbertlanding {

/** State of the daemon. */
enum class DaemonState : std::uint8_t {
    Starting, ///< Has no configuration yet; requests are refused.
    Serving, ///< Serves requests and owns workers.
    Draining, ///< Planned stop: not ready, serves what still comes, hands its workers over.
    Finishing, ///< Planned stop: the listener is closed, requests in flight are completed.
    Stopped, ///< Nothing is in flight.
};

constexpr auto DaemonStateNames = makeNameTable<DaemonState>({{DaemonState::Starting, "starting"},
                                                              {DaemonState::Serving, "serving"},
                                                              {DaemonState::Draining, "draining"},
                                                              {DaemonState::Finishing, "finishing"},
                                                              {DaemonState::Stopped, "stopped"}});

/** What happens to the daemon. */
enum class DaemonEvent : std::uint8_t {
    Configured, ///< A configuration is in force.
    StopRequested, ///< An operator or the platform asked for a planned stop.
    GraceEnded, ///< The load balancer has had its time to notice.
    Finished, ///< The last request is answered and the final counters are delivered.
};

/** The life cycle as a state machine. */
class DaemonLifeCycle
{
public:
    DaemonLifeCycle();
    ~DaemonLifeCycle();
    DaemonLifeCycle(const DaemonLifeCycle &) = delete;
    DaemonLifeCycle &operator=(const DaemonLifeCycle &) = delete;

    /** Handles an event; one that does not apply to the state changes nothing. @return Whether the state changed. */
    bool handle(DaemonEvent event);

    /** Returns the state. */
    DaemonState state() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace Filbertlanding
