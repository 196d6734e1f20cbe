/** @file fakecaller_main.cpp Program fakecaller: open-loop load with a summary. */

#include "fakes/address_list.h"
#include "fakes/load_run.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace Filbertlanding;

namespace {

/** Values of the command line. */
struct Options {
    LoadSettings load;
    std::vector<std::string> daemons;
    std::string ledger;
};

void addOptions(CLI::App &app, Options &options)
{
    LoadSettings &load = options.load;
    const CLI::Range share(0.0, 1.0);
    app.add_option("--daemon", options.daemons, "Daemon, IP number and port; several")->required();
    app.add_option("--caller", load.caller, "Name of the caller")->capture_default_str();
    app.add_option("--team", load.teams, "Teams to take turns as")->capture_default_str();
    app.add_option("--service", load.services, "Services to call")->capture_default_str();
    app.add_option("--rate", load.ratePerSecond, "Requests a second")->check(CLI::Range(0.01, 20'000.0))->capture_default_str();
    app.add_option("--count", load.maxRequests, "End after this many")->check(CLI::Range(1U, 10'000'000U))->capture_default_str();
    app.add_option("--max-ms", load.maxTime.ms, "End after this time in ms")->check(CLI::Range(1, 86'400'000))->capture_default_str();
    app.add_option("--non-repeatable", load.nonRepeatableShare, "Share of requests that must not run twice")->check(share)->capture_default_str();
    app.add_option("--jobs", load.jobShare, "Share of arrivals that submit a job")->check(share)->capture_default_str();
    app.add_option("--urgent", load.urgentShare, "Share of jobs that are urgent")->check(share)->capture_default_str();
    app.add_option("--job-class", load.jobClasses, "Classes of jobs")->capture_default_str();
    app.add_option("--job-cpu-millis", load.jobSize.cpuMillis, "Declared size of a job in thousandths of cores")->capture_default_str();
    app.add_option("--job-memory-mb", load.jobSize.memoryMb, "Declared size of a job in MB")->capture_default_str();
    app.add_option("--tasks-per-job", load.tasksPerJob, "Tasks of a job")->capture_default_str();
    app.add_option("--timeout-ms", load.timeout.ms, "Deadline of a request in ms")->check(CLI::Range(1, 600'000))->capture_default_str();
    app.add_option("--max-resends", load.maxResends, "Resends with the same id after a lost answer")->capture_default_str();
    app.add_option("--seed", load.seed, "Seed of everything random")->capture_default_str();
    app.add_option("--ledger", options.ledger, "File for JSON lines of what was sent and answered");
}

void printSummary(const LoadSummary &summary)
{
    std::vector<double> sorted = summary.latenciesMs;
    std::sort(sorted.begin(), sorted.end());
    std::cout << "requests " << summary.requests << ", jobs " << summary.jobs << ", resends " << summary.resends << ", wrong answers " << summary.wrong << '\n';
    for (const auto &[name, count] : summary.outcomes) {
        std::cout << "  " << name << ": " << count << '\n';
    }
    std::cout << "latency of answered requests in ms:";
    for (const double quantile : {0.5, 0.9, 0.99, 0.999, 1.0}) {
        std::cout << " p" << quantile * 100 << '=' << sortedQuantile(sorted, quantile);
    }
    std::cout << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for callers: sends requests and jobs at a set rate, whatever the answers do.");
    Options options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    const auto daemons = parseAddresses(options.daemons);
    LedgerFile ledger;
    if (!daemons || !ledger.open(options.ledger)) {
        std::cerr << "fakecaller: an address or the ledger file is not usable\n";
        return 2;
    }
    options.load.daemons = *daemons;
    NetworkCounters counters;
    EventLoop loop;
    HttpClient client({.threads = 2, .maxConnectionsPerTarget = 256, .maxWaitingPerTarget = 20'000, .silentTimeout = options.load.timeout}, counters);
    LoadRun run(options.load, loop, client, ledger);
    loop.onSignal([&run] {
        run.endEarly();
    });
    run.start();
    loop.run();
    client.stop();
    printSummary(run.result());
    return run.result().wrong == 0 ? 0 : 1;
}
