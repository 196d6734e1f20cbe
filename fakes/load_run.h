/** @file load_run.h Open-loop load on daemons: requests are sent at their planned times however late the answers are. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "core/random.h"
#include "fakes/event_loop.h"
#include "fakes/ledger_file.h"
#include "network/http_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Settings of a run. */
struct LoadSettings {
    std::vector<HttpAddress> daemons; ///< Each request goes to one of them at random, as behind a load balancer.
    CallerName caller = "fakecaller"; ///< Name of the caller.
    std::vector<TeamName> teams{"default"}; ///< Teams to take turns as.
    std::vector<ServiceName> services{"quote-desk"}; ///< Services to call.
    double ratePerSecond = 100; ///< Mean rate; arrivals are independent (exponential gaps).
    std::uint64_t maxRequests = 1000; ///< End after this many.
    Duration maxTime{60'000}; ///< End after this time.
    double nonRepeatableShare = 0; ///< Share of requests sent with Repeatable: no.
    double jobShare = 0; ///< Share of arrivals that submit a job in place of a request.
    double urgentShare = 0; ///< Share of jobs that are urgent.
    std::vector<std::string> jobClasses{"survey"}; ///< Classes of the jobs.
    Resources jobSize{2000, 4000, 0}; ///< Declared size of a job.
    std::uint32_t tasksPerJob = 1; ///< Tasks of a job.
    Duration timeout{2000}; ///< Deadline given to the scheduler; an answer may take a second longer.
    unsigned maxResends = 2; ///< Times that a send is repeated with the same id when its answer was lost.
    std::uint64_t seed = 1; ///< Seed of everything random.
};

/** Result of a run. */
struct LoadSummary {
    std::uint64_t requests = 0; ///< Requests begun.
    std::uint64_t jobs = 0; ///< Job submissions begun.
    std::uint64_t resends = 0; ///< Sends repeated after a lost answer.
    std::uint64_t wrong = 0; ///< Answers that are not those of their request.
    std::map<std::string, std::uint64_t> outcomes; ///< Count by result code name.
    std::vector<double> latenciesMs; ///< Of answered requests, from the planned time of the first send.
};

/** Sends the load. */
class LoadRun
{
public:
    LoadRun(LoadSettings settings, EventLoop &loop, HttpClient &client, LedgerFile &ledger);
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /** Begins; the event loop is stopped when all is done. */
    void start();

    /** Sends nothing more; what is under way still ends. */
    void endEarly();

    /** Returns the result so far. */
    const LoadSummary &result() const;

private:
    /** One request or job submission with its resends. */
    struct Item {
        std::uint64_t number = 0; ///< Number in the run.
        bool isJob = false; ///< Whether it submits a job.
        bool repeatable = true; ///< Whether it may run twice.
        std::string id; ///< Request id or operation id.
        std::int64_t expectedCents = 0; ///< Quote that must come back.
        HttpRequest request; ///< What is sent, each time the same.
        TimePoint plannedAt; ///< Time of the arrival.
        unsigned sends = 0; ///< Sends so far.
    };

    void nextArrival();
    Item makeItem();
    void fillRequest(Item &item);
    void fillJob(Item &item);
    void send(const Item &item);
    void onDone(const Item &item, const HttpExchange &exchange);
    void conclude(const Item &item, const HttpExchange &exchange);
    void endIfDone();

    LoadSettings settings;
    EventLoop &loop;
    HttpClient &client;
    LedgerFile &ledger;
    Random random;
    LoadSummary summary;
    std::string runName; ///< Makes the ids of this run unique.
    TimePoint endAt;
    double nextAtMs = 0; ///< Planned time of the next arrival, on the steady clock.
    std::uint64_t begun = 0;
    std::uint64_t outstanding = 0;
    bool arrivalsOver = false;
};

/** Returns a quantile of values that are sorted; 0 when there are none. */
double sortedQuantile(const std::vector<double> &sorted, double quantile);

} // namespace Filbertlanding
