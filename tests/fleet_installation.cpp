/** @file fleet_installation.cpp One core and one entry of the fleet daemon as real processes. */

#include "fleet_installation.h"

#include "raw_socket.h"

#include <boost/json.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <iterator>
#include <sstream>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr Duration RequestTimeout{8'000};

    std::string loopbackNetwork()
    {
        const auto id = static_cast<unsigned>(::getpid());
        return "127." + std::to_string(10 + id % 240) + "." + std::to_string(id / 240 % 250) + ".";
    }

    std::string endpoint(const FleetProcess &daemon, std::uint16_t port)
    {
        return daemon.address + ":" + std::to_string(port);
    }

} // namespace

void writeText(const std::filesystem::path &path, std::string_view text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
}

std::string fleetDaemonProgram()
{
    return FILBERTLANDING_PLATFORM;
}

FleetInstallation::FleetInstallation()
    : client({.threads = 1, .maxConnectionsPerTarget = 256}, counters)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "filbertlanding-fleet-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    this->core.name = "core";
    this->core.address = loopbackNetwork() + "1";
    this->core.isCore = true;
    this->entry.name = "entry";
    this->entry.address = loopbackNetwork() + "2";
    std::filesystem::create_directories(this->folder / "core-data");
    writeText(this->settingsPath(this->core), this->settingsText(this->core));
    writeText(this->settingsPath(this->entry), this->settingsText(this->entry));
}

FleetInstallation::~FleetInstallation()
{
    this->entry.process.reset();
    this->core.process.reset();
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

std::string FleetInstallation::settingsText(const FleetProcess &daemon) const
{
    json::object listen{{"readiness", endpoint(daemon, ReadinessPort)}, {"metrics", endpoint(daemon, MetricsPort)}};
    listen[daemon.isCore ? "control" : "callers"] = endpoint(daemon, daemon.isCore ? ControlPort : CallerPort);
    const json::object settings{{"daemon", daemon.name},
                                {"address", daemon.address},
                                {"dataFolder", daemon.isCore ? (this->folder / "core-data").string() : std::string()},
                                {"firstStart", true},
                                {"contacts", {endpoint(this->core, ControlPort)}},
                                {"listen", listen},
                                {"peer", {{"port", PeerPort}, {"fromOwnAddress", true}, {"key", "key of the test"}}},
                                {"tolerated", {{"hosts", 0}}},
                                {"stopGraceMs", 2'500}};
    return json::serialize(settings);
}

void FleetInstallation::start(FleetProcess &daemon)
{
    std::vector<std::string> arguments{fleetDaemonProgram(), "--settings", this->settingsPath(daemon).string()};
    if (this->descriptorLimit > 0) {
        arguments.insert(arguments.begin(), {"/bin/sh", "-c", R"(ulimit -n "$0" && exec "$@")", std::to_string(this->descriptorLimit)});
    }
    daemon.process = std::make_unique<ChildProcess>(arguments, this->logPath(daemon));
}

void FleetInstallation::restart(FleetProcess &daemon)
{
    daemon.process.reset();
    this->start(daemon);
}

bool FleetInstallation::isReady(const FleetProcess &daemon)
{
    return this->get(daemon, ReadinessPort, "/") == 200;
}

bool FleetInstallation::startAll()
{
    this->start(this->core);
    this->start(this->entry);
    return eventually([this] {
        return this->isReady(this->core) && this->isReady(this->entry);
    });
}

unsigned FleetInstallation::get(const FleetProcess &daemon, std::uint16_t port, const std::string &target)
{
    std::promise<HttpExchange> promise;
    auto answer = promise.get_future();
    this->client.send(
        {daemon.address, port}, {"GET", target, {}, {}, {}}, {.timeout = RequestTimeout, .freshConnection = true}, [&promise](HttpExchange exchange) {
            promise.set_value(std::move(exchange));
        });
    const HttpExchange exchange = answer.get();
    return exchange.code == ResultCode::Ok ? exchange.response.status : 0;
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
