/** @file fleet_installation.cpp Cores and entries of the fleet daemon as real processes. */

#include "fleet_installation.h"

#include "raw_socket.h"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <iterator>
#include <sstream>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr Duration RequestTimeout{8'000};
    constexpr Duration MetricsTimeout{500}; ///< A daemon whose event loop stands still gives no answer.
    constexpr std::size_t MaxContacts = 3;
    constexpr std::size_t AddressesPerPair = 10; ///< Distance between the addresses of two cores.
    constexpr std::size_t FirstNewAddress = 101; ///< Of hosts that replace others.
    constexpr std::size_t ZoneCount = 3;

    std::string loopbackNetwork()
    {
        const auto id = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(10 + id % 240) + "." + std::to_string(id / 240 % 250) + ".";
    }

    std::vector<FleetProcess> makeDaemons(const std::string &name, std::size_t count, std::size_t firstAddress, bool isCore)
    {
        std::vector<FleetProcess> daemons;
        for (std::size_t i = 0; i < count; ++i) {
            FleetProcess daemon;
            daemon.name = i == 0 ? name : name + "-" + std::to_string(i + 1);
            daemon.address = loopbackNetwork() + std::to_string(firstAddress + AddressesPerPair * i);
            daemon.availabilityZone = "zone-" + std::to_string(i % ZoneCount + 1);
            daemon.isCore = isCore;
            daemons.push_back(std::move(daemon));
        }
        return daemons;
    }

} // namespace

std::string endpointOf(const FleetProcess &daemon, std::uint16_t port)
{
    return daemon.address + ":" + std::to_string(port);
}

void writeText(const std::filesystem::path &path, std::string_view text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
}

std::string fleetDaemonProgram()
{
    return FILBERTLANDING_PLATFORM;
}

FleetInstallation::FleetInstallation(FleetShape fleetShape)
    : cores(makeDaemons("core", fleetShape.cores, 1, true))
    , entries(makeDaemons("entry", fleetShape.entries, 2, false))
    , core(this->cores.front())
    , entry(this->entries.front())
    , shape(fleetShape)
    , client({.threads = 1, .maxConnectionsPerTarget = 256}, counters)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "filbertlanding-fleet-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    for (const FleetProcess *daemon : this->daemons()) {
        if (daemon->isCore) {
            std::filesystem::create_directories(this->dataPath(*daemon));
        }
        writeText(this->settingsPath(*daemon), this->settingsText(*daemon));
    }
}

FleetInstallation::~FleetInstallation()
{
    for (FleetProcess *daemon : this->daemons()) {
        daemon->process.reset();
    }
    this->client.stop();
    if (std::getenv("FILBERTLANDING_KEEP_FILES") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
}

std::filesystem::path FleetInstallation::settingsPath(const FleetProcess &daemon) const
{
    return this->folder / (daemon.name + ".json");
}

std::filesystem::path FleetInstallation::logPath(const FleetProcess &daemon) const
{
    return this->folder / (daemon.name + ".log");
}

std::filesystem::path FleetInstallation::dataPath(const FleetProcess &daemon) const
{
    return this->folder / (daemon.name + "-data");
}

std::string FleetInstallation::settingsText(const FleetProcess &daemon) const
{
    json::array contacts;
    for (std::size_t i = 0; i < std::min(this->cores.size(), MaxContacts); ++i) {
        contacts.emplace_back(endpointOf(this->cores[i], ControlPort));
    }
    json::object listen{{"readiness", endpointOf(daemon, ReadinessPort)}, {"metrics", endpointOf(daemon, MetricsPort)}};
    listen[daemon.isCore ? "control" : "callers"] = endpointOf(daemon, daemon.isCore ? ControlPort : CallerPort);
    const json::object settings{{"daemon", daemon.name},
                                {"address", daemon.address},
                                {"availabilityZone", daemon.availabilityZone},
                                {"dataFolder", daemon.isCore ? this->dataPath(daemon).string() : std::string()},
                                {"firstStart", daemon.isFirstStart},
                                {"contacts", contacts},
                                {"listen", listen},
                                {"peer", {{"port", PeerPort}, {"fromOwnAddress", true}, {"key", "key of the test"}}},
                                {"tolerated", {{"hosts", (this->cores.size() - 1) / 2}}},
                                {"limits", {{"diskMegabytes", daemon.isCore ? this->shape.diskMegabytes : 0}}},
                                {"stopGraceMs", this->shape.stopGraceMs}};
    return json::serialize(settings);
}

std::filesystem::path FleetInstallation::diskFaultPath(const FleetProcess &daemon) const
{
    return this->folder / (daemon.name + ".fault");
}

void FleetInstallation::setDiskFault(const FleetProcess &daemon, std::string_view fault) const
{
    // A daemon that reads in between finds the whole old or new text.
    const std::filesystem::path path = this->diskFaultPath(daemon);
    writeText(path.string() + ".new", fault);
    std::filesystem::rename(path.string() + ".new", path);
}

void FleetInstallation::start(FleetProcess &daemon)
{
    std::vector<std::string> arguments{fleetDaemonProgram(), "--settings", this->settingsPath(daemon).string()};
    if (this->descriptorLimit > 0) {
        arguments.insert(arguments.begin(), {"/bin/sh", "-c", R"(ulimit -n "$0" && exec "$@")", std::to_string(this->descriptorLimit)});
    }
    std::vector<std::string> variables;
    if (this->switchableDisks && daemon.isCore) {
        // The address sanitizer wants to be the first library, but this one must come before it.
        variables = {std::string("LD_PRELOAD=") + FILBERTLANDING_DISK_FAULT_SHIM,
                     "ASAN_OPTIONS=verify_asan_link_order=0",
                     "DISK_FAULT_FOLDER=" + this->dataPath(daemon).string(),
                     "DISK_FAULT_FILE=" + this->diskFaultPath(daemon).string()};
    }
    daemon.process = std::make_unique<ChildProcess>(arguments, this->logPath(daemon), variables);
}

void FleetInstallation::restart(FleetProcess &daemon)
{
    daemon.process.reset();
    this->start(daemon);
}

std::unique_ptr<ChildProcess> FleetInstallation::replaceHost(FleetProcess &daemon)
{
    const std::size_t number = FirstNewAddress + this->replacedHosts++;
    daemon.name = "core-" + std::to_string(number);
    daemon.address = loopbackNetwork() + std::to_string(number);
    std::filesystem::create_directories(this->dataPath(daemon));
    return std::move(daemon.process);
}

void FleetInstallation::startAgain(FleetProcess &daemon)
{
    daemon.isFirstStart = false;
    writeText(this->settingsPath(daemon), this->settingsText(daemon));
    this->start(daemon);
}

bool FleetInstallation::isReady(const FleetProcess &daemon)
{
    return this->get(daemon, ReadinessPort, "/") == 200;
}

bool FleetInstallation::startAll()
{
    for (FleetProcess *daemon : this->daemons()) {
        this->start(*daemon);
    }
    return this->areAllReady();
}

bool FleetInstallation::areAllReady()
{
    return eventually([this] {
        const std::vector<FleetProcess *> all = this->daemons();
        return std::all_of(all.begin(), all.end(), [this](const FleetProcess *daemon) {
            return this->isReady(*daemon);
        });
    });
}

FleetProcess *FleetInstallation::leader()
{
    for (FleetProcess &daemon : this->cores) {
        const HttpExchange metrics = this->exchange(daemon, MetricsPort, {"GET", "/metrics", {}, {}, {}}, {.timeout = MetricsTimeout, .freshConnection = true});
        if (metrics.response.body.find("filbertlanding_is_leading 1") != std::string::npos) {
            return &daemon;
        }
    }
    return nullptr;
}

FleetProcess *FleetInstallation::awaitLeader()
{
    FleetProcess *found = nullptr;
    eventually([&] {
        found = this->leader();
        return found != nullptr;
    });
    return found;
}

std::vector<FleetProcess *> FleetInstallation::daemons()
{
    std::vector<FleetProcess *> all;
    for (std::vector<FleetProcess> *list : {&this->cores, &this->entries}) {
        for (FleetProcess &daemon : *list) {
            all.push_back(&daemon);
        }
    }
    return all;
}

HttpExchange FleetInstallation::exchange(const FleetProcess &daemon, std::uint16_t port, HttpRequest request, HttpSendOptions options)
{
    std::promise<HttpExchange> promise;
    auto answer = promise.get_future();
    this->client.send({daemon.address, port}, std::move(request), options, [&promise](HttpExchange outcome) {
        promise.set_value(std::move(outcome));
    });
    return answer.get();
}

unsigned FleetInstallation::get(const FleetProcess &daemon, std::uint16_t port, const std::string &target)
{
    const HttpExchange outcome = this->exchange(daemon, port, {"GET", target, {}, {}, {}}, {.timeout = RequestTimeout, .freshConnection = true});
    return outcome.code == ResultCode::Ok ? outcome.response.status : 0;
}

std::function<int()> FleetInstallation::sendMany(const FleetProcess &daemon, std::uint16_t port, int count)
{
    const auto answers = std::make_shared<std::vector<std::future<bool>>>();
    for (int i = 0; i < count; ++i) {
        const auto promise = std::make_shared<std::promise<bool>>();
        answers->push_back(promise->get_future());
        this->client.send(
            {daemon.address, port}, {"GET", "/unknown/" + std::to_string(i), {}, {}, {}}, {.timeout = RequestTimeout}, [promise](const HttpExchange &exchange) {
                promise->set_value(exchange.code == ResultCode::Ok);
            });
    }
    return [answers] {
        int unanswered = 0;
        for (auto &answer : *answers) {
            unanswered += answer.get() ? 0 : 1;
        }
        return unanswered;
    };
}

std::string FleetInstallation::log(const FleetProcess &daemon) const
{
    std::ifstream file(this->logPath(daemon), std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

int FleetInstallation::countEvents(const FleetProcess &daemon, const std::string &event) const
{
    return RawSocket::countOf(this->log(daemon), "\"event\":\"" + event + "\"");
}

} // namespace Filbertlanding
