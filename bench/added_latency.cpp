/** @file added_latency.cpp Open-loop measurement of the latency that one daemon adds to requests for the same workers. */

#include "core/clock_func.h"
#include "core/random.h"
#include "fakes/address_list.h"
#include "fakes/load_run.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <thread>

using namespace Filbertlanding;

namespace {

/** Values of the command line. */
struct Options {
    std::vector<std::string> workers; ///< Addresses of the workers, called directly in turn.
    std::string daemon; ///< Address of the daemon.
    std::string service = "quote-desk"; ///< Service to call.
    std::string team = "estimates"; ///< Team to call as.
    std::uint64_t ownerEpoch = 1; ///< Owner epoch that the direct calls carry.
    double ratePerSecond = 1000; ///< Requests a second on either path while its block lasts.
    unsigned blocks = 10; ///< Blocks of each path.
    std::int64_t blockMs = 1000; ///< Length of a block in ms.
    std::int64_t warmUpMs = 500; ///< Time at the start of each block that is not counted, in ms.
    std::uint64_t seed = 1; ///< Seed of the arrival times.
    std::string samples; ///< File for the single latencies through the daemon; empty for none.
};

/** Latencies of one path. */
struct Samples {
    std::mutex mutex; ///< Guards the values.
    std::vector<double> microseconds; ///< From the planned time of sending to the whole answer.
    std::vector<std::pair<std::int64_t, double>> byTime; ///< The same with the planned time, in microseconds.
    std::uint64_t failed = 0; ///< Requests without an answer of status 200.
};

void addOptions(CLI::App &app, Options &options)
{
    app.add_option("--worker", options.workers, "Worker, IP number and port; several")->required();
    app.add_option("--daemon", options.daemon, "Daemon, IP number and port")->required();
    app.add_option("--service", options.service, "Service to call")->capture_default_str();
    app.add_option("--team", options.team, "Team to call as")->capture_default_str();
    app.add_option("--owner-epoch", options.ownerEpoch, "Owner epoch of the workers, for the direct calls")->capture_default_str();
    app.add_option("--rate", options.ratePerSecond, "Requests a second")->check(CLI::Range(1.0, 20'000.0))->capture_default_str();
    app.add_option("--blocks", options.blocks, "Blocks of each path; direct and daemon take turns")->check(CLI::Range(1U, 600U))->capture_default_str();
    app.add_option("--block-ms", options.blockMs, "Length of a block in ms")->check(CLI::Range(100, 60'000))->capture_default_str();
    app.add_option("--warm-up-ms", options.warmUpMs, "Time at the start of a block that is not counted")->check(CLI::Range(0, 60'000))->capture_default_str();
    app.add_option("--samples", options.samples, "File for lines of planned time and latency through the daemon in us; shows whether slow requests cluster");
    app.add_option("--seed", options.seed, "Seed of the arrival times")->capture_default_str();
}

/** Sends the load and keeps the latencies. */
class Comparison
{
public:
    Comparison(const Options &runOptions, std::vector<HttpAddress> workerAddresses, HttpAddress daemonAddress, HttpClient &httpClient)
        : options(runOptions)
        , workers(std::move(workerAddresses))
        , daemon(std::move(daemonAddress))
        , client(httpClient)
        , random{runOptions.seed}
    {
    }

    /** Direct and daemon take turns, so that other load on the machine meets both alike. */
    void run()
    {
        for (unsigned block = 0; block < this->options.blocks; ++block) {
            this->sendBlock(true);
            this->sendBlock(false);
        }
    }

    Samples direct;
    Samples throughDaemon;

private:
    void sendBlock(bool isDirect)
    {
        using Clock = std::chrono::steady_clock;
        const double microsecondsPerRequest = 1e6 / this->options.ratePerSecond;
        const std::int64_t startUs = steadyMicroseconds();
        const std::int64_t endUs = startUs + this->options.blockMs * 1000;
        const std::int64_t countedFromUs = startUs + this->options.warmUpMs * 1000;
        auto planned = static_cast<double>(startUs);
        while (planned < static_cast<double>(endUs)) {
            const auto plannedUs = static_cast<std::int64_t>(planned);
            const std::int64_t waitUs = plannedUs - steadyMicroseconds();
            if (waitUs > 0) {
                std::this_thread::sleep_until(Clock::now() + std::chrono::microseconds(waitUs));
            }
            this->send(isDirect, plannedUs, plannedUs >= countedFromUs);
            planned += -std::log(1.0 - this->random.unit()) * microsecondsPerRequest;
        }
        // The next block starts with no request of this one under way.
        while (this->outstanding > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    void send(bool isDirect, std::int64_t plannedUs, bool counted)
    {
        const std::string number = std::to_string(++this->sent);
        HttpRequest request;
        request.method = "POST";
        request.target = isDirect ? "/requests/" + this->options.service : "/v1/services/" + this->options.service + "/requests";
        request.headers = {{"Content-Type", "application/json"},
                           {"Caller", "added-latency"},
                           {"Team", this->options.team},
                           {"Request-Id", "a" + number},
                           {"Timeout-Ms", "2000"},
                           {"Repeatable", "yes"}};
        if (isDirect) {
            request.headers.push_back({"Owner-Epoch", std::to_string(this->options.ownerEpoch)});
        }
        request.body = R"({"id":"a)" + number + R"(","quantity":40,"unitPriceCents":15900})";
        const HttpAddress &target = isDirect ? this->workers[this->sent % this->workers.size()] : this->daemon;
        Samples &samples = isDirect ? this->direct : this->throughDaemon;
        ++this->outstanding;
        this->client.send(target, std::move(request), {.timeout = Duration{3000}}, [this, &samples, plannedUs, counted](const HttpExchange &exchange) {
            const auto latency = static_cast<double>(steadyMicroseconds() - plannedUs);
            if (counted) {
                const std::lock_guard lock(samples.mutex);
                const bool answered = exchange.code == ResultCode::Ok && exchange.response.status == 200;
                samples.failed += answered ? 0 : 1;
                if (answered) {
                    samples.microseconds.push_back(latency);
                    samples.byTime.emplace_back(plannedUs, latency);
                }
            }
            --this->outstanding;
        });
    }

    const Options &options;
    std::vector<HttpAddress> workers;
    HttpAddress daemon;
    HttpClient &client;
    Random random;
    std::uint64_t sent = 0;
    std::atomic<std::uint64_t> outstanding{0};
};

void printRow(const char *name, Samples &samples, std::initializer_list<double> quantiles)
{
    std::sort(samples.microseconds.begin(), samples.microseconds.end());
    std::cout << std::fixed << std::setprecision(3) << name << ": answered " << samples.microseconds.size() << ", failed " << samples.failed;
    for (const double quantile : quantiles) {
        std::cout << ", p" << std::setprecision(0) << quantile * 100 << std::setprecision(3) << ' ' << sortedQuantile(samples.microseconds, quantile) / 1000.0
                  << " ms";
    }
    std::cout << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Measures the latency that one daemon adds: the same workers are called directly and through the daemon in turn.");
    Options options;
    addOptions(app, options);
    CLI11_PARSE(app, argc, argv);
    const auto workers = parseAddresses(options.workers);
    const auto daemon = parseAddresses({options.daemon});
    if (!workers || !daemon) {
        std::cerr << "added_latency: an address is not usable\n";
        return 2;
    }
    NetworkCounters counters;
    HttpClient client({.threads = 2, .maxConnectionsPerTarget = 256, .maxWaitingPerTarget = 20'000}, counters);
    Comparison comparison(options, *workers, daemon->front(), client);
    comparison.run();
    client.stop();
    if (!options.samples.empty()) {
        std::ofstream file(options.samples);
        for (const auto &[plannedUs, latencyUs] : comparison.throughDaemon.byTime) {
            file << plannedUs << ' ' << latencyUs << '\n';
        }
    }
    printRow("direct", comparison.direct, {0.5, 0.99});
    printRow("daemon", comparison.throughDaemon, {0.5, 0.99});
    const auto added = [&comparison](double quantile) {
        return (sortedQuantile(comparison.throughDaemon.microseconds, quantile) - sortedQuantile(comparison.direct.microseconds, quantile)) / 1000.0;
    };
    std::cout << "added: p50 " << added(0.5) << " ms, p99 " << added(0.99) << " ms\n";
    return comparison.direct.failed + comparison.throughDaemon.failed == 0 ? 0 : 1;
}
