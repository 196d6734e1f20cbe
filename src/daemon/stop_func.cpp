/** @file stop_func.cpp Planned stop of the daemon. */

#include "daemon/stop_func.h"

#include "core/clock_func.h"
#include "daemon/apply_state.h"
#include "daemon/counter_delivery.h"
#include "daemon/ledger_path.h"
#include "daemon/peer_service.h"
#include "membership/worker_registry_func.h"
#include "runtime/log_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration IdleCheck{20}; ///< Pause between looks at the requests in flight.

    std::int64_t requestsInFlight(Daemon &daemon)
    {
        std::int64_t inFlight = 0;
        for (const auto &[name, runtime] : daemon.controlState.services) {
            inFlight += runtime->inFlight;
        }
        // Requests that peers sent to this home are not counted with the services.
        inFlight += static_cast<std::int64_t>(openLedgerSends(daemon));
        return inFlight;
    }

    void changeState(Daemon &daemon, DaemonEvent event)
    {
        if (!daemon.controlState.lifeCycle.handle(event)) {
            return;
        }
        daemon.state = daemon.controlState.lifeCycle.state();
        logLine(LogArea::Daemon, LogLevel::Info, "state", {{"state", DaemonStateNames.nameOf(daemon.state)}});
    }

    void deliverAndEnd(Daemon &daemon)
    {
        deliverAllCounters(daemon, [&daemon](bool delivered) {
            logLine(LogArea::Report, delivered ? LogLevel::Info : LogLevel::Warn, "stopped", {{"countersDelivered", delivered}});
            changeState(daemon, DaemonEvent::Finished);
            daemon.stopped(ResultCode::Ok);
        });
    }

    /** Waits until the last answer has been given; the counters are complete only then. */
    void waitUntilIdle(Daemon &daemon)
    {
        if (requestsInFlight(daemon) > 0) {
            daemon.control.after(IdleCheck, [&daemon] {
                waitUntilIdle(daemon);
            });
            return;
        }
        deliverAndEnd(daemon);
    }

    void closeListener(Daemon &daemon)
    {
        changeState(daemon, DaemonEvent::GraceEnded);
        refuseSendsOfPeers(daemon);
        daemon.http->stopAccepting([&daemon] {
            daemon.control.post([&daemon] {
                waitUntilIdle(daemon);
            });
        });
    }

} // namespace

void startPlannedStop(Daemon &daemon)
{
    const DaemonState before = daemon.state;
    changeState(daemon, DaemonEvent::StopRequested);
    if (daemon.state == before) {
        return;
    }
    startHandOver(daemon.controlState.registry);
    sendHeartbeats(daemon, steadyNow());
    if (daemon.state == DaemonState::Finishing) {
        closeListener(daemon);
        return;
    }
    daemon.control.after(Duration{daemon.settings.stopGraceMs}, [&daemon] {
        closeListener(daemon);
    });
}

} // namespace Filbertlanding
