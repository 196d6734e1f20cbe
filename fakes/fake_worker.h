/** @file fake_worker.h One fake worker: answers requests, runs fake tasks, reports to its owner. */

#pragma once

#include "core/name_table.h"
#include "core/random.h"
#include "fakes/event_loop.h"
#include "fakes/fake_tasks.h"
#include "fakes/ledger_file.h"
#include "membership/owner_lease_grantor.h"
#include "membership/worker_type.h"
#include "network/http_client.h"
#include "network/http_server.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace Filbertlanding {

/** How a fake worker behaves. */
enum class FakeMode : std::uint8_t {
    Normal, ///< Answers after the service time.
    Slow, ///< Takes ten times as long.
    Silent, ///< Accepts requests and does not answer them while the mode lasts; reports go on.
    Fail, ///< Answers each request with WorkerFailed, and each task fails.
    Leaving, ///< Reports that it leaves; what has arrived is still answered.
};

constexpr auto FakeModeNames = makeNameTable<FakeMode>(
    {{FakeMode::Normal, "normal"}, {FakeMode::Slow, "slow"}, {FakeMode::Silent, "silent"}, {FakeMode::Fail, "fail"}, {FakeMode::Leaving, "leaving"}});

/** Settings of one fake worker. */
struct FakeWorkerSettings {
    WorkerName name; ///< Name of the worker.
    ZoneName zone; ///< Its availability zone.
    std::string rack; ///< Its rack.
    std::string address = "127.0.0.1"; ///< IP number to listen on and to announce.
    std::uint16_t port = 0; ///< Port to listen on; 0 takes a free one.
    std::uint64_t incarnation = 0; ///< Higher after each restart; below 2^37.
    std::vector<ServiceSlots> services; ///< Services and slots.
    Resources capacity{32'000, 125'000, 0}; ///< Resources for batch tasks.
    std::vector<HttpAddress> daemons; ///< Daemons to report to, in this order.
    bool firstStart = true; ///< No earlier process of this worker can have granted a lease, so it reports at once.
    double serviceMs = 20; ///< Median service time in milliseconds.
    double serviceSigma = 0.4; ///< Spread of the service time (standard deviation of its logarithm).
    double interference = 1.0; ///< How much tasks that use the whole worker slow a request down, on average.
    Duration usageLag{3000}; ///< Age of the usage in a report.
    FakeTaskSettings tasks; ///< How tasks behave.
    std::uint64_t seed = 1; ///< Seed of the service times.
};

/** One fake worker. Runs on the event loop; the HTTP server only hands over. */
class FakeWorker
{
public:
    FakeWorker(FakeWorkerSettings settings, EventLoop &loop, HttpClient &client, LedgerFile &ledger, NetworkCounters &counters);
    FakeWorker(const FakeWorker &) = delete;
    FakeWorker &operator=(const FakeWorker &) = delete;

    /** Starts to listen and to report. */
    std::error_code start();

    /** Changes the mode. */
    void setMode(FakeMode mode);

    /** Returns whether neither a request nor a task is at work. */
    bool isIdle() const;

    /** Ends the fake: tasks are stopped and the listener is closed. */
    void stop();

private:
    /** A request at work. */
    struct Running {
        ServiceName service; ///< Its service.
        std::uint64_t ownerEpoch = 0; ///< Owner epoch that it carried.
        TimePoint arrivedAt; ///< When it arrived.
        HttpRequest request; ///< The request.
        HttpRespond respond; ///< Takes the answer.
        bool held = false; ///< Arrived in mode silent; not answered while that lasts.
    };

    /** Usage at one time. */
    struct Sample {
        TimePoint at; ///< When it was measured.
        Resources used; ///< What was in use.
        std::map<ServiceName, std::vector<double>> latencies; ///< Answer times since the sample before, in milliseconds.
    };

    void tick();
    void sample(TimePoint now);
    void report(TimePoint now);
    void onReportAnswered(std::uint64_t sequence, TimePoint sentAt, const HttpExchange &exchange);
    Usage usageFor(TimePoint now) const;
    void handle(HttpRequest &&request, const HttpRespond &respond);
    void handleService(const ServiceName &service, HttpRequest &&request, const HttpRespond &respond);
    void handleMode(const HttpRequest &request, const HttpRespond &respond);
    ResultCode refusalFor(const ServiceName &service, const HttpRequest &request, std::uint64_t &ownerEpoch) const;
    void finishLater(std::uint64_t number, const ServiceName &service);
    void finishRequest(std::uint64_t number);
    Duration serviceTime(const ServiceName &service);
    std::uint32_t inFlightOf(const ServiceName &service, bool earlierOnly) const;
    double load() const;
    void note(const char *event, const Running &running, std::uint64_t number, unsigned status);

    FakeWorkerSettings settings;
    EventLoop &loop;
    HttpClient &client;
    LedgerFile &ledger;
    FakeTasks tasks;
    OwnerLeaseGrantor grantor;
    FakeMode mode = FakeMode::Normal;
    Random random;
    std::map<std::uint64_t, Running> running;
    std::uint64_t nextNumber = 1;
    std::uint64_t highestAnswer = 0; ///< Highest answer number under the current owner epoch.
    std::deque<Sample> samples;
    Sample current;
    bool stopped = false;
    HttpServer server; ///< Declared last, so that it ends before what its handler uses.
};

} // namespace Filbertlanding
