/** @file soak_workers.h Simulated workers of the soak: model workers behind the platform's wire protocol, in real time. */

#pragma once

#include "core/random.h"
#include "fakes/model_worker.h"
#include "network/http_client.h"
#include "network/http_server.h"
#include "soak/soak_checks.h"
#include "soak/soak_relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <list>
#include <memory>

namespace Filbertlanding {

/** Capacity that a worker has reported, and what of it is free. */
struct SoakRoom {
    ServiceName service;
    Resources capacity;
    Resources free;
};

/** Simulates all workers. They share one address and use two ports each: the worker's own port and the relay port in front of it. */
class SoakWorkers
{
public:
    SoakWorkers(boost::asio::io_context &loop, const SoakSettings &soakSettings, std::string workerAddress, SoakRelay &soakRelay, SoakChecks &soakChecks);

    /** Starts all workers. They report to the control addresses, which have the form "IP:port" and may change later. */
    void start(const std::vector<std::string> &controlAddresses);

    /** Ends a worker process. With restart, a new incarnation with the same name starts immediately. */
    void crash(std::size_t worker, bool restart);

    /** Ends a worker process while its open connections go silent; a new incarnation with the same name starts at once. */
    void losePower(std::size_t worker);

    /** Isolates a worker or reconnects it. An isolated worker sends no responses or reports, but its tasks keep running. */
    void setIsolated(std::size_t worker, bool isIsolated);

    /** Sets the share of orders that get no response and are executed 2 to 12 s later. */
    void setDelayedOrderPercent(int percent);

    /** Sets the share of orders that are executed but whose response is lost. */
    void setDroppedResponsePercent(int percent);

    /** Resets all connections to a worker. */
    void resetConnections(std::size_t worker);

    /** Lets the open connections to a worker go silent without closing them; new ones work. */
    void silenceConnections(std::size_t worker);

    /** Makes the tasks of a worker hang, or lets them continue. */
    void setHanging(std::size_t worker, bool isHanging);

    /** Sets the capacity that a worker states in its reports. It still accepts what fits into its whole capacity. */
    void setReportedCapacity(std::size_t worker, std::int64_t percent);

    std::size_t count() const;

    /** Returns the capacities of all workers that run. */
    std::vector<SoakRoom> rooms() const;

    /** Returns the tasks that run, and what each of them requests. */
    std::vector<std::pair<TaskName, Resources>> runningRequests() const;

    std::function<void(const ServiceName &, const TaskName &)> onStarted; ///< Told about each start on an order that was not delayed.
    std::function<void(const TaskName &, bool)> onAnyStarted; ///< Told about each start, and whether the fault injection has delayed the order.
    TimePoint lastExitAt; ///< Last end of a worker process.

    /** Returns the body of a status report of a worker. */
    boost::json::object reportBody(std::size_t index) const;

private:
    struct WorkerSlot {
        std::unique_ptr<ModelWorker> worker; ///< Null while the worker is down.
        std::unique_ptr<HttpServer> server;
        std::uint64_t sequence = 0;
        bool isIsolated = false;
        std::string reportTo; ///< Report address received from the leader; empty if unknown.
        std::uint16_t port = 0;
        std::string payload; ///< Payload of the start order being executed.
        bool isDelayedOrder = false;
        bool mayCrash = false; ///< A task that crashes its worker has started.
        unsigned crashedProcesses = 0; ///< Earlier processes that tasks have crashed; part of the name.
        SoakReportedCapacity reportedCapacity;
    };

    /** A long poll waiting for the end of a run. */
    struct PendingPoll {
        std::size_t slot = 0;
        std::int64_t startedAtMs = 0;
        WorkerOrder order;
        TimePoint until;
        HttpRespond respond;
    };

    WorkerProfile profileOf(std::size_t index) const;
    void startIncarnation(std::size_t index);
    void restartAfter(std::size_t index, std::chrono::milliseconds delay);
    bool crashIfDue(std::size_t index);
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
    Random random;
    Random crashRandom; ///< For crashes that tasks cause, so that the other faults of a seed stay the same.
    ModelInterference interference;
    const std::vector<std::string> *controls = nullptr; ///< Changes when a core is replaced.
    std::vector<WorkerSlot> slots;
    std::vector<std::unique_ptr<HttpServer>> retiredServers; ///< Servers of ended incarnations, kept because their handlers may still be queued.
    std::list<PendingPoll> pendingPolls;
    boost::asio::steady_timer stepTimer;
    boost::asio::steady_timer reportTimer;
    TimePoint lastStepAt;
    int delayedOrderPercent = 0;
    int droppedResponsePercent = 0;
    HttpClient client; ///< Declared last: its end ends the reports that are under way, whose handlers use the other members.
};

} // namespace Filbertlanding
