/** @file fakeworker_main.cpp Program fakeworker: several fake workers in one process. */

#include "core/clock_func.h"
#include "fakes/address_list.h"
#include "fakes/fake_worker.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace Filbertlanding;

namespace {

/** Values of the command line. */
struct Options {
    FakeWorkerSettings worker;
    std::vector<std::string> daemons;
    std::vector<std::string> services{"quote-desk:8"};
    std::string mode = "normal";
    std::string ledger;
    unsigned count = 1;
    unsigned racks = 1;
    std::int64_t stopGraceMs = 5000;
    std::int64_t exitAfterMs = 0;
};

void addOptions(CLI::App &app, Options &options)
{
    FakeWorkerSettings &worker = options.worker;
    app.add_option("--name", worker.name, "Name of the worker; with --count a number is added")->required();
    app.add_option("--zone", worker.zone, "Availability zone")->required();
    app.add_option("--rack", worker.rack, "Rack; with --racks a number is added")->capture_default_str();
    app.add_option("--racks", options.racks, "Racks to spread the workers over")->check(CLI::Range(1U, 10000U))->capture_default_str();
    app.add_option("--address", worker.address, "IP number to listen on and to announce")->capture_default_str();
    app.add_option("--port", worker.port, "First port; further workers take the next ones; 0 takes free ones")->capture_default_str();
    app.add_option("--count", options.count, "Number of workers")->check(CLI::Range(1U, 1000U))->capture_default_str();
    app.add_option("--daemon", options.daemons, "Daemon to report to, IP number and port; several, in this order")->required();
    app.add_option("--service", options.services, "Service and its slots, for example quote-desk:8; several")->capture_default_str();
    app.add_option("--cpu-millis", worker.capacity.cpuMillis, "Thousandths of cores")->capture_default_str();
    app.add_option("--memory-mb", worker.capacity.memoryMb, "Memory in MB")->capture_default_str();
    app.add_option("--accelerators", worker.capacity.accelerators, "Accelerators")->capture_default_str();
    app.add_option("--service-ms", worker.serviceMs, "Median service time in ms")->capture_default_str();
    app.add_option("--service-sigma", worker.serviceSigma, "Spread of the service time")->capture_default_str();
    app.add_option("--interference", worker.interference, "Slowdown of requests by tasks that use the whole worker")->capture_default_str();
    app.add_option("--request-drag", worker.tasks.requestDrag, "Share by which a fully loaded worker slows its tasks")->capture_default_str();
    app.add_option("--task-ms", worker.tasks.meanLength.ms, "Mean run time of a task in ms")->capture_default_str();
    app.add_option("--size-spread", worker.tasks.sizeSpread, "How far real use is off the declared size")->capture_default_str();
    app.add_option("--usage-lag-ms", worker.usageLag.ms, "Age of reported usage in ms")->capture_default_str();
    app.add_option("--incarnation", worker.incarnation, "Incarnation; 0 takes the calendar time in seconds")->capture_default_str();
    app.add_flag("--restarted{false}", worker.firstStart, "An earlier process had this name: wait out its lease");
    app.add_option("--seed", worker.seed, "Seed of the service times")->capture_default_str();
    app.add_option("--mode", options.mode, "normal, slow, silent, fail or leaving")->capture_default_str();
    app.add_option("--ledger", options.ledger, "File for JSON lines of what was run");
    app.add_option("--stop-grace-ms", options.stopGraceMs, "Time that a signal leaves for work to end")->capture_default_str();
    app.add_option("--exit-after-ms", options.exitAfterMs, "Stop by itself after this time; 0 for never")->capture_default_str();
}

/** Reads "service:slots". */
std::optional<ServiceSlots> parseService(const std::string &text)
{
    const auto colon = text.rfind(':');
    constexpr unsigned long MostSlots = 100'000;
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    const unsigned long slots = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    if (slots == 0 || slots > MostSlots) {
        return std::nullopt;
    }
    return ServiceSlots{text.substr(0, colon), static_cast<std::uint32_t>(slots), 0};
}

/** Completes the settings from the texts. Returns BadAddress or BadRequest. */
std::error_code complete(Options &options)
{
    const auto daemons = parseAddresses(options.daemons);
    if (!daemons) {
        return ResultCode::BadAddress;
    }
    options.worker.daemons = *daemons;
    for (const std::string &text : options.services) {
        const auto service = parseService(text);
        if (!service) {
            return ResultCode::BadRequest;
        }
        options.worker.services.push_back(*service);
    }
    if (!FakeModeNames.valueOf(options.mode)) {
        return ResultCode::BadRequest;
    }
    if (options.worker.incarnation == 0) {
        options.worker.incarnation = static_cast<std::uint64_t>(wallNow().ms / 1000);
    }
    return {};
}

FakeWorkerSettings settingsOf(const Options &options, unsigned index)
{
    FakeWorkerSettings settings = options.worker;
    if (options.count > 1) {
        settings.name += "-" + std::to_string(index);
    }
    settings.rack = settings.rack.empty() ? settings.zone + "-rack" : settings.rack;
    if (options.racks > 1) {
        settings.rack += "-" + std::to_string(index % options.racks);
    }
    settings.port = settings.port == 0 ? 0 : static_cast<std::uint16_t>(settings.port + index);
    settings.seed += index;
    // Each worker begins with another daemon, so that the first owners are spread.
    const auto first = static_cast<std::ptrdiff_t>(index % settings.daemons.size());
    std::rotate(settings.daemons.begin(), settings.daemons.begin() + first, settings.daemons.end());
    return settings;
}

using Workers = std::vector<std::unique_ptr<FakeWorker>>;

/** Ends the loop once all work is done or the grace is over. */
void stopWhenIdle(EventLoop &loop, const Workers &workers, TimePoint deadline)
{
    constexpr Duration Recheck{50};
    const bool idle = std::all_of(workers.begin(), workers.end(), [](const auto &worker) {
        return worker->isIdle();
    });
    if (idle || steadyNow() >= deadline) {
        loop.stop();
        return;
    }
    loop.after(Recheck, [&loop, &workers, deadline] {
        stopWhenIdle(loop, workers, deadline);
    });
}

int runWorkers(const Options &options)
{
    LedgerFile ledger;
    if (!ledger.open(options.ledger)) {
        std::cerr << "fakeworker: the ledger file cannot be opened\n";
        return 1;
    }
    NetworkCounters counters;
    EventLoop loop;
    HttpClient client({.threads = 1}, counters);
    Workers workers;
    for (unsigned i = 0; i < options.count; ++i) {
        workers.push_back(std::make_unique<FakeWorker>(settingsOf(options, i), loop, client, ledger, counters));
        workers.back()->setMode(*FakeModeNames.valueOf(options.mode));
        if (const std::error_code error = workers.back()->start()) {
            std::cerr << "fakeworker: worker " << i << " cannot listen: " << error.message() << '\n';
            return 1;
        }
    }
    const auto leave = [&] {
        for (const auto &worker : workers) {
            worker->setMode(FakeMode::Leaving);
        }
        stopWhenIdle(loop, workers, steadyNow() + Duration{options.stopGraceMs});
    };
    loop.onSignal(leave);
    if (options.exitAfterMs > 0) {
        loop.after(Duration{options.exitAfterMs}, leave);
    }
    std::cout << "fakeworker: " << options.count << " workers ready" << std::endl;
    loop.run();
    client.stop();
    for (const auto &worker : workers) {
        worker->stop();
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for workers: answers requests, runs tasks and reports to daemons.");
    Options options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    if (const std::error_code error = complete(options)) {
        std::cerr << "fakeworker: " << error.message() << '\n';
        return 1;
    }
    return runWorkers(options);
}
