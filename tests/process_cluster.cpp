/** @file process_cluster.cpp Daemons, workers and callers as real processes on loopback. */

#include "process_cluster.h"

#include "core/clock_func.h"
#include "raw_socket.h"

#include <boost/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <future>
#include <map>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::size_t WorkersPerZone = 4;
    constexpr std::string_view OperatorKey = "operator-key-of-the-test-0123456789";

    void writeFile(const std::filesystem::path &path, std::string_view text)
    {
        std::ofstream file(path, std::ios::binary);
        file << text;
        if (!file.flush()) {
            throw std::runtime_error("cannot write " + path.string());
        }
    }

    bool isFree(std::uint16_t port)
    {
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            sockaddr_in address = RawSocket::loopback(port);
            const bool taken = ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0;
            ::close(descriptor);
            if (taken) {
                return false;
            }
        }
        return true;
    }

    /** Returns pointers to strings, ending with null. */
    std::vector<char *> pointersTo(const std::vector<std::string> &strings)
    {
        std::vector<char *> list;
        list.reserve(strings.size() + 1);
        for (const std::string &string : strings) {
            list.push_back(const_cast<char *>(string.c_str()));
        }
        list.push_back(nullptr);
        return list;
    }

    void add(std::vector<std::string> &list, const std::vector<std::string> &more)
    {
        list.insert(list.end(), more.begin(), more.end());
    }

} // namespace

bool eventually(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = steadyNow() + limit;
    while (steadyNow() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return condition();
}

ChildProcess::ChildProcess(const std::vector<std::string> &arguments, const std::filesystem::path &output, std::vector<std::string> variables)
{
    const std::vector<char *> list = pointersTo(arguments);
    for (char **variable = ::environ; *variable != nullptr; ++variable) {
        variables.emplace_back(*variable);
    }
    const std::vector<char *> environment = pointersTo(variables);
    const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t parent = ::getpid();
    std::array<int, 2> executed{-1, -1};
    if (::pipe2(executed.data(), O_CLOEXEC) != 0) {
        ::close(file);
        throw std::runtime_error("no pipe to a child process");
    }
    this->pid = file < 0 ? -1 : ::fork();
    if (this->pid == 0) {
        // Only calls that are safe after fork in a program with threads. The signal ends the process also when the test is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(126);
        }
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        // A copy of a listening socket of the test would keep its port taken.
        const auto kept = static_cast<unsigned>(executed[1]);
        if (kept > STDERR_FILENO + 1) {
            ::close_range(STDERR_FILENO + 1, kept - 1, 0);
        }
        ::close_range(kept + 1, ~0U, 0);
        ::execve(list.front(), list.data(), environment.data());
        ::_exit(127);
    }
    ::close(file);
    ::close(executed[1]);
    // The last copy of the write end is closed when the program replaces the child, so that later signals reach the program.
    char none = 0;
    while (::read(executed[0], &none, 1) < 0 && errno == EINTR) {
    }
    ::close(executed[0]);
    if (this->pid < 0) {
        throw std::runtime_error("cannot start " + arguments.front());
    }
}

ChildProcess::~ChildProcess()
{
    this->signal(SIGKILL);
    this->waitForEnd(Duration{10'000});
}

void ChildProcess::signal(int number)
{
    if (!this->waitForEnd(Duration{0})) {
        ::kill(this->pid, number);
    }
}

void ChildProcess::limit(int resource, const rlimit &value)
{
    if (!this->waitForEnd(Duration{0})) {
        ::prlimit(this->pid, static_cast<__rlimit_resource>(resource), &value, nullptr);
    }
}

pid_t ChildProcess::id() const
{
    return this->pid;
}

std::optional<int> ChildProcess::waitForEnd(Duration limit)
{
    const TimePoint end = steadyNow() + limit;
    while (!this->ended) {
        int status = 0;
        if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            this->ended = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            break;
        }
        if (steadyNow() >= end) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return this->ended;
}

ProcessCluster::ProcessCluster(TestLeases testLeases)
    : leases(testLeases)
    , client({.threads = 1, .maxConnectionsPerTarget = 16}, counters)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "filbertlanding-test-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    this->claimPorts();
    writeFile(this->folder / "operator.key", std::string(OperatorKey) + "\n");
    writeFile(this->folder / "peer.key", "peer-key-of-the-test-0123456789abcdef\n");
    this->makeDaemons();
    for (const TestDaemon &daemon : this->daemons) {
        this->writeSettings(daemon);
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        this->start(i, true);
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const bool ready = eventually([&] {
            return this->call(i, "GET", "/readyz").status == 200 && this->status(i).at("fresh").as_bool();
        });
        if (!ready) {
            throw std::runtime_error(this->daemons[i].name + " does not become ready");
        }
    }
}

ProcessCluster::~ProcessCluster()
{
    this->others.clear();
    this->daemons.clear();
    this->client.stop();
    if (std::getenv("FILBERTLANDING_KEEP_FILES") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
}

/** Listens on the first port of a block for as long as the test runs, so that test programs that run at the same time take other blocks. */
void ProcessCluster::claimPorts()
{
    // Below the ports that the kernel gives to outgoing connections.
    constexpr std::uint16_t FirstPort = 20'000;
    constexpr std::uint16_t BlockSize = 200;
    constexpr std::uint16_t Blocks = 60;
    for (std::uint16_t block = 0; block < Blocks; ++block) {
        const auto port = static_cast<std::uint16_t>(FirstPort + block * BlockSize);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = RawSocket::loopback(port);
        if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0 && ::listen(descriptor, 1) == 0) {
            this->portClaim = std::make_unique<RawSocket>(descriptor);
            this->nextPort = port;
            return;
        }
        ::close(descriptor);
    }
    throw std::runtime_error("no block of ports is free");
}

std::uint16_t ProcessCluster::freePort()
{
    do {
        this->nextPort += 1;
    } while (!isFree(this->nextPort));
    return this->nextPort;
}

void ProcessCluster::makeDaemons()
{
    for (const std::string &zone : this->zones) {
        for (const int number : {1, 2}) {
            TestDaemon daemon;
            daemon.name = zone + "-" + std::to_string(number);
            daemon.zone = zone;
            daemon.voter = number == 1;
            daemon.httpPort = this->freePort();
            daemon.tcpPort = this->freePort();
            daemon.udpPort = this->freePort();
            this->daemons.push_back(std::move(daemon));
        }
    }
}

void ProcessCluster::writeSettings(const TestDaemon &daemon)
{
    json::array peers;
    for (const TestDaemon &peer : this->daemons) {
        if (&peer == &daemon) {
            continue;
        }
        std::uint16_t tcpPort = peer.tcpPort;
        std::uint16_t udpPort = peer.udpPort;
        if (peer.zone != daemon.zone) {
            tcpPort = this->freePort();
            udpPort = this->freePort();
            this->zoneLinks.push_back({daemon.zone, peer.zone, this->relay.addLink(tcpPort, udpPort, peer.tcpPort, peer.udpPort)});
        }
        peers.push_back({{"daemon", peer.name},
                         {"availabilityZone", peer.zone},
                         {"address", "127.0.0.1"},
                         {"tcpPort", tcpPort},
                         {"udpPort", udpPort},
                         {"httpPort", peer.httpPort},
                         {"voter", peer.voter}});
    }
    json::object settings{
        {"daemon", daemon.name},
        {"availabilityZone", daemon.zone},
        {"operatorKeyFile", (this->folder / "operator.key").string()},
        {"http", {{"address", "127.0.0.1"}, {"port", daemon.httpPort}}},
        {"peer", {{"address", "127.0.0.1"}, {"tcpPort", daemon.tcpPort}, {"udpPort", daemon.udpPort}, {"keyFile", (this->folder / "peer.key").string()}}},
        {"log", {{"file", (this->folder / (daemon.name + ".log")).string()}}},
        {"worker", {{"reportIntervalMs", 250}, {"ownerLeaseMs", this->leases.owner.ms}, {"taskLeaseMs", this->leases.task.ms}}},
        {"lease", {{"freshnessMs", this->leases.freshness.ms}, {"runningMs", this->leases.running.ms}, {"probeIntervalMs", 200}}},
        {"raft", {{"electionTimeoutMinMs", 500}, {"electionTimeoutMaxMs", 1000}, {"heartbeatIntervalMs", 100}}},
        {"stopGraceMs", this->leases.stopGrace.ms},
        {"peers", std::move(peers)},
    };
    if (daemon.voter) {
        settings["dataFolder"] = (this->folder / (daemon.name + ".data")).string();
    }
    writeFile(this->folder / (daemon.name + ".json"), json::serialize(settings));
}

void ProcessCluster::start(std::size_t daemon, bool firstStart)
{
    TestDaemon &target = this->daemons[daemon];
    std::vector<std::string> arguments{FILBERTLANDING_DAEMON, "--settings", (this->folder / (target.name + ".json")).string()};
    if (firstStart) {
        arguments.emplace_back("--first-start");
    }
    target.process = std::make_unique<ChildProcess>(arguments, this->folder / (target.name + ".out"));
}

void ProcessCluster::kill(std::size_t daemon)
{
    this->daemons[daemon].process.reset();
}

void ProcessCluster::removeData(std::size_t daemon) const
{
    std::filesystem::remove_all(this->folder / (this->daemons[daemon].name + ".data"));
}

void ProcessCluster::startWorkers(const std::string &zone, const std::vector<std::string> &arguments, const std::string &suffix)
{
    std::uint16_t first = 0;
    for (std::size_t taken = 0; taken < WorkersPerZone;) {
        const std::uint16_t port = this->freePort();
        // The workers of one process take ports in a row.
        const bool inRow = taken > 0 && port == first + taken;
        first = inRow ? first : port;
        taken = inRow ? taken + 1 : 1;
    }
    this->workerPorts.push_back(first);
    std::vector<std::string> all{FILBERTLANDING_FAKEWORKER, "--name", zone + suffix, "--zone", zone, "--count", std::to_string(WorkersPerZone)};
    add(all, {"--port", std::to_string(first), "--ledger", (this->folder / ("worker-" + zone + ".ledger")).string()});
    add(all, {"--usage-lag-ms", "500"});
    if (std::find(arguments.begin(), arguments.end(), "--service-ms") == arguments.end()) {
        add(all, {"--service-ms", "5"});
    }
    for (const TestDaemon &daemon : this->daemons) {
        if (daemon.zone == zone) {
            add(all, {"--daemon", "127.0.0.1:" + std::to_string(daemon.httpPort)});
        }
    }
    add(all, arguments);
    this->others.push_back(std::make_unique<ChildProcess>(all, this->folder / ("worker-" + zone + suffix + ".out")));
}

void ProcessCluster::startAllWorkers(const std::vector<std::string> &arguments)
{
    for (const std::string &zone : this->zones) {
        this->startWorkers(zone, arguments);
    }
    const bool owned = eventually([this] {
        std::uint64_t count = 0;
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            const json::value state = this->status(i);
            count += state.is_null() ? 0 : state.at("workers").to_number<std::uint64_t>();
        }
        return count >= WorkersPerZone * this->zones.size();
    });
    if (!owned) {
        throw std::runtime_error("the workers find no owner");
    }
}

ChildProcess &ProcessCluster::startCaller(const std::string &ledger, const std::vector<std::size_t> &to, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all{FILBERTLANDING_FAKECALLER, "--caller", ledger, "--ledger", (this->folder / (ledger + ".ledger")).string()};
    for (const std::size_t daemon : to) {
        add(all, {"--daemon", "127.0.0.1:" + std::to_string(this->daemons[daemon].httpPort)});
    }
    add(all, arguments);
    this->others.push_back(std::make_unique<ChildProcess>(all, this->folder / (ledger + ".out")));
    return *this->others.back();
}

Reply ProcessCluster::callPort(std::uint16_t port, const HttpRequest &request)
{
    std::promise<HttpExchange> promise;
    auto answer = promise.get_future();
    this->client.send({"127.0.0.1", port}, request, {.timeout = Duration{12'000}}, [&promise](HttpExchange exchange) {
        promise.set_value(std::move(exchange));
    });
    HttpExchange exchange = answer.get();
    if (exchange.code != ResultCode::Ok) {
        return {};
    }
    return {exchange.response.status, std::move(exchange.response.body), std::move(exchange.response.headers)};
}

Reply ProcessCluster::call(std::size_t daemon, const std::string &method, const std::string &target, const std::string &body, std::vector<HttpHeader> headers)
{
    headers.push_back({"Authorization", "Bearer " + std::string(OperatorKey)});
    headers.push_back({"Content-Type", "application/json"});
    return this->callPort(this->daemons[daemon].httpPort, {method, target, std::move(headers), body, {}});
}

Reply ProcessCluster::change(std::size_t daemon, const std::string &method, const std::string &file, const std::string &text)
{
    const std::string operation = "change-" + std::to_string(++this->operations);
    Reply reply;
    eventually([&] {
        const json::value state = this->status(daemon);
        if (state.is_null()) {
            return false;
        }
        const std::string version = std::to_string(state.at("version").to_number<std::uint64_t>());
        reply = this->call(daemon, method, "/v1/intent/files/" + file, text, {{"If-Version", version}, {"Operation-Id", operation}, {"Operator", "test"}});
        return reply.status >= 200 && reply.status < 300;
    });
    return reply;
}

json::value ProcessCluster::status(std::size_t daemon)
{
    const Reply reply = this->call(daemon, "GET", "/v1/status");
    return reply.status == 200 ? json::parse(reply.body) : json::value();
}

std::optional<std::size_t> ProcessCluster::leader()
{
    std::map<std::string, int> followers;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        const json::value state = this->daemons[i].voter && this->daemons[i].process ? this->status(i) : json::value();
        if (!state.is_null()) {
            followers[std::string(state.at("leader").as_string())] += 1;
        }
    }
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        if (followers[this->daemons[i].name] >= 2) {
            return i;
        }
    }
    return std::nullopt;
}

void ProcessCluster::setZoneLinks(const std::string &zone, LinkMode mode)
{
    for (const ZoneLink &entry : this->zoneLinks) {
        if (entry.from == zone || entry.to == zone) {
            this->relay.setMode(entry.link, mode);
        }
    }
}

std::vector<json::object> ProcessCluster::ledger(const std::string &name) const
{
    std::vector<json::object> lines;
    std::ifstream file(this->folder / (name + ".ledger"));
    for (std::string line; std::getline(file, line);) {
        boost::system::error_code error;
        json::value parsed = json::parse(line, error);
        // The last line may be half written while its process runs.
        if (!error && parsed.is_object()) {
            lines.push_back(std::move(parsed.as_object()));
        }
    }
    return lines;
}

std::vector<json::object> ProcessCluster::workerLedgers() const
{
    std::vector<json::object> lines;
    for (const std::string &zone : this->zones) {
        const auto more = this->ledger("worker-" + zone);
        lines.insert(lines.end(), more.begin(), more.end());
    }
    return lines;
}

} // namespace Filbertlanding
