/** @file route_bench.cpp Benchmarks of a routing decision (target: 5 us) and of a daemon's work per worker (target: 60 us per second). */

#include "membership/worker_registry_func.h"
#include "request/route_entries.h"
#include "request/route_func.h"

#include <benchmark/benchmark.h>

using namespace Filbertlanding;

namespace {

constexpr const char *Service = "quote-desk";

RoutingTable makeTable(std::int64_t workers, std::int64_t usedPercent)
{
    RoutingTable table;
    Random random{20261204};
    for (std::int64_t i = 0; i < workers; ++i) {
        auto entry = std::make_shared<WorkerEntry>();
        entry->worker = "stone-" + std::to_string(i);
        entry->service = Service;
        entry->slots.setCapacity(8);
        entry->leaseEndMs = 1'000'000;
        entry->latency.add(5 + random.unit() * 20);
        for (std::int64_t slot = 0; slot < 8 * usedPercent / 100; ++slot) {
            entry->slots.tryAcquire();
        }
        table.services[Service].workers.push_back(std::move(entry));
    }
    // Even in a full service one worker has free slots, so that there is a target to find.
    while (usedPercent == 100 && table.services[Service].workers.back()->slots.inUse() > 4) {
        table.services[Service].workers.back()->slots.release();
    }
    return table;
}

void routeAmong(benchmark::State &state, const char *policyName)
{
    const RoutingTable table = makeTable(state.range(0), state.range(1));
    const auto &policy = *RoutePolicies::find(policyName);
    const RouteRequest request{.service = Service, .tried = {}};
    Random random{7};
    for (auto _ : state) {
        const RouteDecision decision = routeRequest(table, {}, policy, request, random, TimePoint{1000});
        benchmark::DoNotOptimize(decision.firstScore);
    }
}

/** One second of a daemon's work for its workers: a report and an update of the routing entries for each worker, and a tick. */
void workerSecond(benchmark::State &state)
{
    RegistrySettings settings;
    settings.self = {"bole-1", "bole", "127.0.0.1", 4000};
    WorkerRegistry registry = makeWorkerRegistry(settings);
    RouteEntries entries;
    std::vector<WorkerReport> reports(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < reports.size(); ++i) {
        reports[i].worker = "stone-" + std::to_string(i);
        reports[i].availabilityZone = "bole";
        reports[i].services = {{Service, 8, 0}};
        reports[i].ownerEpoch = 1;
    }
    TimePoint now{0};
    for (auto _ : state) {
        now = now + Duration{1000};
        for (WorkerReport &report : reports) {
            ++report.sequence;
            report.acknowledged = handleReport(registry, report, now).number;
            updateWorkerEntries(entries, *findWorker(registry, report.worker), now);
        }
        registryTick(registry, now);
        benchmark::DoNotOptimize(takeChanges(registry));
    }
    state.counters["perWorker"] = benchmark::Counter(static_cast<double>(state.iterations()) * static_cast<double>(state.range(0)),
                                                     benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK_CAPTURE(routeAmong, leastWait, "least-wait")->ArgsProduct({{65, 600, 2400}, {50, 100}})->ArgNames({"workers", "usedPercent"});
BENCHMARK_CAPTURE(routeAmong, random, "random")->ArgsProduct({{65, 600, 2400}, {50, 100}})->ArgNames({"workers", "usedPercent"});
BENCHMARK(workerSecond)->Arg(267)->ArgName("workers");

} // namespace

BENCHMARK_MAIN();
