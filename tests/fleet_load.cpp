/** @file fleet_load.cpp Callers, operators and readers at a steady rate. */

#include "fleet_load.h"

#include "soak/soak_client.h"

#include <boost/json.hpp>

#include <array>
#include <future>
#include <iomanip>
#include <sstream>

namespace Filbertlanding {

namespace {

    constexpr Duration CallTimeout{3'000};
    constexpr Duration ControlTimeout{1'000};
    constexpr std::chrono::milliseconds CallerInterval{8};
    constexpr std::chrono::milliseconds ReadInterval{20};
    constexpr std::chrono::milliseconds ChangeInterval{70};
    constexpr std::uint64_t CallersPerEntry = 3;
    constexpr std::string_view JobBody = R"({"spec":"job","steps":[{"count":1,"cpu":1000}]})";

    std::string formatJobId(std::uint64_t number)
    {
        std::ostringstream id;
        id << std::hex << std::setw(16) << std::setfill('0') << number;
        return id.str();
    }

    unsigned statusOf(const HttpExchange &exchange)
    {
        return exchange.code == ResultCode::Ok ? exchange.response.status : 0;
    }

    constexpr std::array CallCountMembers{
        &CallCounts::answered, &CallCounts::refused, &CallCounts::unknown, &CallCounts::cut, &CallCounts::unreachable, &CallCounts::lost, &CallCounts::stale};

} // namespace

CallCounts &operator+=(CallCounts &counts, const CallCounts &more)
{
    for (const auto member : CallCountMembers) {
        counts.*member += more.*member;
    }
    return counts;
}

CallCounts operator-(const CallCounts &now, const CallCounts &before)
{
    CallCounts difference = now;
    for (const auto member : CallCountMembers) {
        difference.*member -= before.*member;
    }
    return difference;
}

FleetLoad::FleetLoad(FleetInstallation &fleetInstallation)
    : installation(fleetInstallation)
    , client({.threads = 1, .maxConnectionsPerTarget = 64, .connectTimeout = {500}}, counters)
{
}

FleetLoad::~FleetLoad()
{
    this->stop();
    this->client.stop();
}

bool FleetLoad::putFirstManifest()
{
    return this->putManifest();
}

bool FleetLoad::putManifest()
{
    const std::uint64_t version = this->manifests.next(1);
    const bool isPut = eventually([&] {
        const FleetProcess &core = this->installation.core;
        return statusOf(this->sendToControl(core, {"PUT", "/config", {{"Content-Type", "application/json"}}, this->manifests.document(version), {}})) == 200;
    });
    if (isPut) {
        this->acknowledgedVersion = version;
    }
    return isPut;
}

void FleetLoad::start()
{
    std::uint64_t caller = 0;
    for (const FleetProcess &entry : this->installation.entries) {
        for (std::uint64_t i = 0; i < CallersPerEntry; ++i) {
            this->threads.emplace_back([this, &entry, number = ++caller] {
                this->callEntry(entry, number);
            });
        }
    }
    for (const FleetProcess &core : this->installation.cores) {
        this->threads.emplace_back([this, &core] {
            this->readManifests(core);
        });
    }
    this->threads.emplace_back([this] {
        this->changeManifests();
    });
}

void FleetLoad::stop()
{
    this->isStopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

CallCounts FleetLoad::callers() const
{
    const std::lock_guard lock(this->mutex);
    return this->callerCounts;
}

CallCounts FleetLoad::operators() const
{
    const std::lock_guard lock(this->mutex);
    return this->operatorCounts;
}

unsigned FleetLoad::submitOnce(const FleetProcess &entry)
{
    return statusOf(this->sendToEntry(entry, "POST", formatJobId(++this->lastJob)));
}

unsigned FleetLoad::readOnce(const FleetProcess &core)
{
    return statusOf(this->readManifest(core));
}

void FleetLoad::callEntry(const FleetProcess &entry, std::uint64_t caller)
{
    std::uint64_t number = caller << 32U;
    while (!this->isStopping) {
        const std::string job = formatJobId(++number);
        const HttpExchange submitted = this->sendToEntry(entry, "POST", job);
        this->count(this->callerCounts, submitted);
        if (statusOf(submitted) == 200) {
            const HttpExchange shown = this->sendToEntry(entry, "GET", job);
            this->count(this->callerCounts, shown);
            const std::lock_guard lock(this->mutex);
            this->callerCounts.lost += statusOf(shown) == 410 ? 1 : 0;
        }
        std::this_thread::sleep_for(CallerInterval);
    }
}

void FleetLoad::changeManifests()
{
    std::size_t turn = 0;
    while (!this->isStopping) {
        const std::uint64_t version = this->manifests.next(1);
        const FleetProcess &core = this->installation.cores[turn++ % this->installation.cores.size()];
        const HttpExchange put = this->sendToControl(core, {"PUT", "/config", {{"Content-Type", "application/json"}}, this->manifests.document(version), {}});
        this->count(this->operatorCounts, put);
        if (statusOf(put) == 200) {
            this->acknowledgedVersion = version;
        }
        std::this_thread::sleep_for(ChangeInterval);
    }
}

void FleetLoad::readManifests(const FleetProcess &core)
{
    while (!this->isStopping) {
        this->count(this->operatorCounts, this->readManifest(core));
        std::this_thread::sleep_for(ReadInterval);
    }
}

HttpExchange FleetLoad::readManifest(const FleetProcess &core)
{
    const std::uint64_t acknowledged = this->acknowledgedVersion;
    HttpExchange read = this->sendToControl(core, {"GET", "/config", {}, {}, {}});
    if (statusOf(read) == 200) {
        const auto version = boost::json::parse(read.response.body).at("version").to_number<std::uint64_t>();
        const std::lock_guard lock(this->mutex);
        this->operatorCounts.stale += version < acknowledged ? 1 : 0;
    }
    return read;
}

HttpExchange FleetLoad::sendToEntry(const FleetProcess &entry, const std::string &method, const std::string &job)
{
    HttpRequest request{method, "/jobs/" + job, {}, method == "POST" ? std::string(JobBody) : std::string(), {}};
    request.headers.push_back({"Host", std::string(SoakManifests::QueueHost)});
    request.headers.push_back({"Content-Type", "application/json"});
    std::promise<HttpExchange> promise;
    auto answer = promise.get_future();
    this->client.send({entry.address, FleetInstallation::CallerPort}, std::move(request), {.timeout = CallTimeout}, [&promise](HttpExchange exchange) {
        promise.set_value(std::move(exchange));
    });
    return answer.get();
}

HttpExchange FleetLoad::sendToControl(const FleetProcess &core, HttpRequest request)
{
    std::promise<HttpExchange> promise;
    auto answer = promise.get_future();
    sendToLeader(this->client, endpointOf(core, FleetInstallation::ControlPort), std::move(request), ControlTimeout, [&promise](const HttpExchange &exchange) {
        promise.set_value(exchange);
    });
    return answer.get();
}

void FleetLoad::count(CallCounts &counts, const HttpExchange &exchange)
{
    const std::lock_guard lock(this->mutex);
    const unsigned status = statusOf(exchange);
    if (status == 503) {
        ++counts.refused;
    } else if (status == 504) {
        ++counts.unknown;
    } else if (status != 0) {
        ++counts.answered;
    } else if (exchange.bytesSent) {
        ++counts.cut;
    } else {
        ++counts.unreachable;
    }
}

} // namespace Filbertlanding
