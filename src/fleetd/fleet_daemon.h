/** @file fleet_daemon.h The fleet daemon: request relay or core, on one event loop. */

#pragma once

#include "fleetd/caller_relay.h"
#include "fleetd/daemon_listeners.h"
#include "fleetd/fleet_core.h"
#include "fleetd/leader_finder.h"
#include "fleetd/load_monitor.h"
#include "fleetd/protocol_adapter.h"
#include "network/network_counters.h"
#include "network/peer_link.h"
#include "settings/fleet_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Reloads the settings. Returns nothing if they are unchanged or invalid. */
using SettingsReload = std::function<std::optional<FleetDaemonSettings>()>;

/** The daemon process, except for settings and logging. */
class FleetDaemon
{
public:
    FleetDaemon(FleetDaemonSettings validatedSettings, ProtocolAdapter protocolAdapter, SettingsReload settingsReload);
    FleetDaemon(const FleetDaemon &) = delete;
    FleetDaemon &operator=(const FleetDaemon &) = delete;
    ~FleetDaemon();

    /**
     * Runs until SIGTERM, SIGINT or an unrecoverable error. Returns the reason. The control signals are to be blocked when it is called, and are
     * blocked again when it returns; those that come before the daemon has started are handled once it has.
     */
    ResultCode run();

    /** Returns whether all threads have ended after run(). If not, one hangs in a call to the disk, and the process has to exit without destroying this object.
     */
    bool hasStopped() const;

private:
    void prepare();
    void continueStart();
    ResultCode openEndpoints();
    ResultCode openLinks();
    ResultCode startCore();
    void onPeerMessage(const DaemonName &peer, std::uint8_t kind, const std::string &payload, PeerReply reply);
    void onRelayedRequest(const std::string &payload, PeerReply reply);
    void answerReadiness(const HttpRespond &respond) const;
    bool isReady() const;
    bool isReplicaRunning() const;
    void onReplicaOpened();
    std::string metrics() const;
    void armSignals();
    void waitForSignal();
    void armReload();
    void reload();
    void followDescriptorLimit();
    void updateServing();
    void beginStop();
    void stopCore();
    void drainConnections();
    void waitForStopEnd();
    void finishRun(ResultCode code);

    FleetDaemonSettings settings;
    ProtocolAdapter adapter;
    SettingsReload readSettings;
    DescriptorPool descriptors; ///< Declared before the event loop, whose handlers keep connections.
    boost::asio::io_context io{1};
    NetworkCounters network;
    boost::asio::signal_set signals;
    boost::asio::steady_timer startTimer;
    boost::asio::steady_timer reloadTimer;
    boost::asio::steady_timer stopTimer;
    boost::asio::steady_timer drainTimer;
    std::unique_ptr<FleetCore> core; ///< Only set if a data folder is configured.
    LoadMonitor loadMonitor;
    LeaderFinder finder;
    CallerRelay relay;
    ShortageLog linkShortage;
    std::unique_ptr<PeerLinks> peers;
    ListenAttempts linkAttempts;
    DaemonListeners listeners;
    bool isControlAdded = false; ///< Whether the listeners have the one for workers and operators.
    bool isCoreStarted = false;
    bool isPeerPortOpen = false; ///< Whether the port for peer links is open.
    bool areLinksOpen = false; ///< Whether all that needs that port has started, too.
    bool isStarted = false; ///< Whether all that the daemon needs is open.
    bool isStopping = false;
    TimePoint stopEnd; ///< When the process ends at the latest after the signal to stop.
    ResultCode result = ResultCode::Ok;
};

} // namespace Filbertlanding
