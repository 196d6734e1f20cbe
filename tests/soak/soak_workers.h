/** @file soak_workers.h Workers of the soak: the emulator's workers behind the platform's wire form, on the real clock. */

#pragma once

#include "core/random.h"
#include "fakes/model_worker.h"
#include "network/http_client.h"
#include "network/http_server.h"
#include "soak/soak_checks.h"
#include "soak/soak_relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>

namespace Filbertlanding {

/** All workers of a soak. They listen on one address, each on two ports: its own and that of the relay in front of it. */
class SoakWorkers
{
public:
    SoakWorkers(boost::asio::io_context &loop, const SoakSettings &soakSettings, std::string workerAddress, SoakRelay &soakRelay, SoakChecks &soakChecks);

    /** Starts all workers; they report to these control addresses, "IP:port". */
    void start(std::vector<std::string> controlAddresses);

    /** A worker's process ends and, with restart, begins a new life under the same name at once. */
    void crash(std::size_t worker, bool restart);

    /** A worker is cut off: it answers nothing, reports nothing and runs on. */
    void setIsolated(std::size_t worker, bool isIsolated);

    /** A share of the orders gets no answer and is carried out 2 to 12 s later. */
    void setDelayedOrderPercent(int percent);

    /** A share of the orders is carried out and its answer is lost. */
    void setDroppedResponsePercent(int percent);

    /** Connections to a worker are reset. */
    void resetConnections(std::size_t worker);

    /** A worker's tasks stand still, or go on. */
    void setHanging(std::size_t worker, bool isHanging);

    std::size_t count() const;

private:
    struct WorkerSlot {
        std::unique_ptr<ModelWorker> worker; ///< Empty while it is down.
        std::unique_ptr<HttpServer> server;
        std::uint64_t sequence = 0;
        bool isIsolated = false;
        std::string reportTo; ///< Named by the leader; empty if not known.
        std::uint16_t port = 0;
        std::string payload; ///< Of the start that is being carried out.
        bool isDelayedOrder = false;
    };

    /** A look that waits for an end. */
    struct PendingPoll {
        std::size_t slot = 0;
        std::int64_t startedAtMs = 0;
        WorkerOrder order;
        TimePoint until;
        HttpRespond respond;
    };

    void startIncarnation(std::size_t index);
    void handle(std::size_t index, HttpRequest &&request, const HttpRespond &respond);
    void execute(std::size_t index, const WorkerOrder &order, const HttpRespond &respond);
    void leaveUnanswered(const HttpRespond &respond);
    void armStep();
    void advanceWorkers();
    void armReports();
    void report(std::size_t index);
    void sendReport(std::size_t index, const std::string &to, std::size_t attemptsLeft);

    boost::asio::io_context &io;
    const SoakSettings &settings;
    std::string address;
    SoakRelay &relay;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    Random random;
    ModelInterference interference;
    std::vector<std::string> controls;
    std::vector<WorkerSlot> slots;
    std::vector<std::unique_ptr<HttpServer>> retiredServers; ///< Servers of lives that have ended; their last calls may still be queued.
    std::list<PendingPoll> pendingPolls;
    boost::asio::steady_timer stepTimer;
    boost::asio::steady_timer reportTimer;
    TimePoint lastStepAt;
    int delayedOrderPercent = 0;
    int droppedResponsePercent = 0;
};

} // namespace Filbertlanding
