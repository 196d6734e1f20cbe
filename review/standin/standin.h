/**
 * @file standin.h Stand-ins for the scripts of the review: clients, operator, workers and process control, written from the platform's pages.
 *
 * Everything runs on loopback addresses and the real clock. Only POSIX sockets, threads and Boost.JSON are used.
 */

#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

namespace json = boost::json;

constexpr int ExitHeld = 0; ///< The rule was kept.
constexpr int ExitBroken = 1; ///< The rule was broken.
constexpr int ExitNotRun = 2; ///< The case could not run.

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** The case could not run; reported as exit code 2. */
struct NotRun : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** Writes record.txt: what was sent, answered and run, with the seconds since the start. */
class Record
{
public:
    void open(const std::filesystem::path &path)
    {
        this->file.open(path, std::ios::trunc);
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(steadyMs() - this->start) / 1000.0);
        this->file << time << text << std::endl;
    }

    /** Writes a line to the record and to standard output. */
    void say(const std::string &text)
    {
        this->line(text);
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    std::int64_t start = steadyMs();
};

inline Record &record()
{
    static Record instance;
    return instance;
}

// ---------------------------------------------------------------------------------------------------------------------------------- HTTP

struct Endpoint {
    std::string address;
    int port = 0;

    std::string text() const
    {
        return this->address + ":" + std::to_string(this->port);
    }

    bool operator<(const Endpoint &other) const
    {
        return std::tie(this->address, this->port) < std::tie(other.address, other.port);
    }

    bool operator==(const Endpoint &other) const = default;
};

inline Endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::stoi(text.substr(colon + 1))};
}

inline sockaddr_in socketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

using Headers = std::map<std::string, std::string>; ///< Names in lower case.

struct Message {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request.
    int status = 0; ///< Of a response; 0 if none arrived.
    Headers headers;
    std::string body;
    bool sent = false; ///< Whether the whole request was written.
};

/** Reads from a socket until a time limit. */
class Reader
{
public:
    Reader(int socket, std::int64_t limit)
        : socket(socket)
        , limit(limit)
    {
    }

    bool more()
    {
        pollfd item{this->socket, POLLIN, 0};
        const std::int64_t left = this->limit - steadyMs();
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char chunk[65536];
        const ssize_t got = ::recv(this->socket, chunk, sizeof chunk, 0);
        if (got <= 0) {
            return false;
        }
        this->buffer.append(chunk, static_cast<std::size_t>(got));
        return true;
    }

    /** Reads one message; its first line is interpreted by the caller. */
    bool message(std::string &firstLine, Headers &headers, std::string &body)
    {
        std::size_t end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more()) {
                return false;
            }
        }
        std::istringstream head(this->buffer.substr(0, end));
        std::getline(head, firstLine);
        if (!firstLine.empty() && firstLine.back() == '\r') {
            firstLine.pop_back();
        }
        headers.clear();
        for (std::string line; std::getline(head, line);) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (char &c : name) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            const auto from = line.find_first_not_of(' ', colon + 1);
            headers[name] = from == std::string::npos ? std::string() : line.substr(from);
        }
        this->buffer.erase(0, end + 4);
        const std::size_t length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
        while (this->buffer.size() < length) {
            if (!this->more()) {
                return false;
            }
        }
        body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    void setLimit(std::int64_t next)
    {
        this->limit = next;
    }

private:
    int socket;
    std::int64_t limit;
    std::string buffer;
};

inline bool writeAll(int socket, const std::string &data)
{
    std::size_t done = 0;
    while (done < data.size()) {
        const ssize_t written = ::send(socket, data.data() + done, data.size() - done, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(written);
    }
    return true;
}

/** Sends one request on a connection of its own and waits for the response. */
inline Message
httpCall(const Endpoint &to, const std::string &method, const std::string &target, const Headers &headers, const std::string &body, int timeoutMs)
{
    Message response;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (socket < 0) {
        return response;
    }
    const std::int64_t limit = steadyMs() + timeoutMs;
    const sockaddr_in address = socketAddress(to);
    const int result = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    pollfd item{socket, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if ((result != 0 && errno != EINPROGRESS) || ::poll(&item, 1, timeoutMs) <= 0 || ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0
        || error != 0) {
        ::close(socket);
        return response;
    }
    const int flags = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &flags, sizeof flags);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
        hasHost = hasHost || name == "Host";
    }
    text += hasHost ? "" : "Host: " + to.text() + "\r\n";
    text += "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    response.sent = writeAll(socket, text);
    std::string firstLine;
    Reader reader(socket, limit);
    if (response.sent && reader.message(firstLine, response.headers, response.body) && firstLine.size() > 12) {
        response.status = std::atoi(firstLine.c_str() + 9);
    }
    ::close(socket);
    return response;
}

/** Serves requests on one address, with a thread for each connection. */
class HttpServer
{
public:
    /** Returns nothing for a request that gets no response; the connection then stays silent. */
    using Handler = std::function<std::optional<Message>(const Message &)>;

    HttpServer(Endpoint at, Handler requestHandler)
        : endpoint(std::move(at))
        , handler(std::move(requestHandler))
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = socketAddress(this->endpoint);
        if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(this->listener, Backlog) != 0) {
            ::close(this->listener);
            throw NotRun("cannot listen on " + this->endpoint.text());
        }
        this->acceptor = std::thread([this] {
            this->acceptLoop();
        });
    }

    ~HttpServer()
    {
        this->stop();
    }

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Closes the listener and all connections, as the end of a process does. */
    void stop()
    {
        if (this->stopping.exchange(true)) {
            return;
        }
        this->acceptor.join();
        ::close(this->listener);
        this->setHanging(false);
        {
            const std::lock_guard lock(this->mutex);
            for (const int socket : this->sockets) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    /** Makes new connections hang, as behind a partition, or accepts them again. */
    void setHanging(bool isHanging)
    {
        this->hanging = isHanging;
        if (!isHanging) {
            for (const int filler : this->fillers) {
                ::close(filler);
            }
            this->fillers.clear();
            return;
        }
        sleepMs(20);
        // Once the queue of new connections is full, the kernel drops the opening packets.
        for (int i = 0; i < Backlog + 2; ++i) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            const sockaddr_in address = socketAddress(this->endpoint);
            (void)::connect(filler, reinterpret_cast<const sockaddr *>(&address), sizeof address);
            this->fillers.push_back(filler);
        }
    }

private:
    void acceptLoop()
    {
        while (!this->stopping) {
            pollfd item{this->listener, POLLIN, 0};
            if (this->hanging) {
                sleepMs(5);
                continue;
            }
            if (::poll(&item, 1, 5) <= 0) {
                continue;
            }
            const int socket = ::accept(this->listener, nullptr, nullptr);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(this->mutex);
            this->sockets.insert(socket);
            this->threads.emplace_back([this, socket] {
                this->serve(socket);
            });
        }
    }

    void serve(int socket)
    {
        Reader reader(socket, 0);
        while (!this->stopping) {
            Message request;
            std::string firstLine;
            reader.setLimit(steadyMs() + 60'000);
            if (!reader.message(firstLine, request.headers, request.body)) {
                break;
            }
            std::istringstream line(firstLine);
            line >> request.method >> request.target;
            const auto response = this->handler(request);
            if (!response || this->stopping) {
                // No response: wait until the other side or the process gives up.
                pollfd item{socket, POLLRDHUP, 0};
                while (!this->stopping && ::poll(&item, 1, 50) == 0) {
                }
                break;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(response->status)
                + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
            if (!writeAll(socket, text)) {
                break;
            }
        }
        const std::lock_guard lock(this->mutex);
        this->sockets.erase(socket);
        ::close(socket);
    }

    static constexpr int Backlog = 16;

    Endpoint endpoint;
    Handler handler;
    int listener = -1;
    std::atomic<bool> hanging{false};
    std::vector<int> fillers; ///< Connections that fill the queue of the listener.
    std::atomic<bool> stopping{false};
    std::thread acceptor;
    std::mutex mutex;
    std::set<int> sockets;
    std::vector<std::thread> threads;
};

// ---------------------------------------------------------------------------------------------------------------------------- Processes

/** One process of the system. */
struct Daemon {
    std::string name;
    std::string zone;
    std::string address;
    bool hasDisk = false;
    pid_t pid = 0;
};

/** The system: three core machines and some fronts, each in a zone, started with the command and the template of the deploy file. */
class System
{
public:
    static constexpr int FrontPort = 8161;
    static constexpr int ReadyPort = 8167;
    static constexpr int ControlPort = 8166;

    System(std::filesystem::path repositoryRoot, int cores, int fronts)
        : root(std::move(repositoryRoot))
    {
        this->readDeployFile();
        this->folder = std::filesystem::temp_directory_path() / ("filbertlanding-review-" + std::to_string(::getpid()));
        std::filesystem::create_directories(this->folder);
        this->choosePrefix();
        for (int i = 0; i < cores + fronts; ++i) {
            Daemon daemon;
            daemon.hasDisk = i < cores;
            daemon.name = (daemon.hasDisk ? "core-" : "front-") + std::to_string(daemon.hasDisk ? i : i - cores);
            daemon.zone = zoneName(i % 3);
            daemon.address = this->prefix + std::to_string(i + 1);
            this->daemons.push_back(daemon);
            if (daemon.hasDisk) {
                std::filesystem::create_directories(this->folder / (daemon.name + "-data"));
            }
        }
    }

    ~System()
    {
        this->stopAll();
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->folder, ignored);
        } else {
            std::cout << "kept " << this->folder << std::endl;
        }
    }

    System(const System &) = delete;
    System &operator=(const System &) = delete;

    static std::string zoneName(int index)
    {
        static const std::vector<std::string> names{"ee-north-a", "ee-north-b", "ee-north-c"};
        return names[static_cast<std::size_t>(index)];
    }

    void startAll()
    {
        for (Daemon &daemon : this->daemons) {
            this->start(daemon, true);
        }
    }

    void start(Daemon &daemon, bool bootstrap)
    {
        const auto settings = this->folder / (daemon.name + ".json");
        std::ofstream(settings) << this->renderSettings(daemon, bootstrap);
        const std::string command = (this->root / (daemon.hasDisk ? this->coreCommand : this->frontCommand)).string();
        const std::string log = (this->folder / (daemon.name + ".log")).string();
        record().line("start " + daemon.name + " at " + daemon.address);
        const pid_t pid = ::fork();
        if (pid < 0) {
            throw NotRun("fork failed");
        }
        if (pid == 0) {
            // A case that is ended from outside leaves no process behind.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("FILBERTLANDING_SETTINGS", settings.c_str(), 1);
            if (::chdir(this->root.c_str()) != 0 || std::freopen(log.c_str(), "a", stdout) == nullptr || std::freopen(log.c_str(), "a", stderr) == nullptr) {
                ::_exit(127);
            }
            ::execl(command.c_str(), command.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        daemon.pid = pid;
    }

    void signal(Daemon &daemon, int number)
    {
        record().line("signal " + std::to_string(number) + " to " + daemon.name);
        if (daemon.pid > 0) {
            ::kill(daemon.pid, number);
        }
    }

    /** Waits for the end of a process; returns false after the time limit. */
    bool waitForEnd(Daemon &daemon, int limitMs)
    {
        const std::int64_t limit = steadyMs() + limitMs;
        while (daemon.pid > 0 && steadyMs() < limit) {
            int status = 0;
            if (::waitpid(daemon.pid, &status, WNOHANG) == daemon.pid) {
                record().line(daemon.name + " ended");
                daemon.pid = 0;
                return true;
            }
            sleepMs(5);
        }
        return daemon.pid == 0;
    }

    void stopAll()
    {
        for (Daemon &daemon : this->daemons) {
            if (daemon.pid > 0) {
                ::kill(daemon.pid, SIGCONT);
                ::kill(daemon.pid, SIGKILL);
                ::waitpid(daemon.pid, nullptr, 0);
                daemon.pid = 0;
            }
        }
    }

    /** Returns the addresses that serve workers and operators. */
    std::vector<Endpoint> controls() const
    {
        std::vector<Endpoint> result;
        for (const Daemon &daemon : this->daemons) {
            if (daemon.hasDisk) {
                result.push_back({daemon.address, ControlPort});
            }
        }
        return result;
    }

    /** Returns the addresses that serve clients. */
    std::vector<Endpoint> fronts() const
    {
        std::vector<Endpoint> result;
        for (const Daemon &daemon : this->daemons) {
            if (!daemon.hasDisk) {
                result.push_back({daemon.address, FrontPort});
            }
        }
        return result;
    }

    /** Returns the core process that answers a read of the manifest itself, as an operator would find the leader. */
    Daemon *findLeader()
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            for (Daemon &daemon : this->daemons) {
                if (daemon.hasDisk && daemon.pid > 0 && httpCall({daemon.address, ControlPort}, "GET", "/config", {}, "", 500).status == 200) {
                    return &daemon;
                }
            }
            sleepMs(100);
        }
        return nullptr;
    }

    /** Returns an address for a stand-in of a worker. */
    std::string workerAddress() const
    {
        return this->prefix + "200";
    }

    std::filesystem::path root;
    std::filesystem::path folder;
    std::string prefix; ///< First three parts of the addresses.
    std::vector<Daemon> daemons;
    std::map<std::string, int> bounds{{"maxHoldMs", 10000}, {"stopTimeoutMs", 900}, {"restoreMs", 600}, {"farX", 3}, {"paceMs", 100}, {"harmMs", 4000}};

private:
    void readDeployFile()
    {
        std::ifstream file(this->root / "deploy/system.toml");
        std::string section;
        for (std::string line; std::getline(file, line);) {
            section = line.starts_with("[") ? line : section;
            const auto quote = line.find('"');
            if (quote == std::string::npos || line.find(" = ") == std::string::npos) {
                continue;
            }
            const std::string key = line.substr(0, line.find(' '));
            const std::string value = line.substr(quote + 1, line.find('"', quote + 1) - quote - 1);
            if (key == "run") {
                (section == "[roles.scheduler]" ? this->coreCommand : this->frontCommand) = value;
            }
            if (key == "template") {
                this->templatePath = value;
            }
        }
        if (this->coreCommand.empty() || this->frontCommand.empty() || this->templatePath.empty() || !std::filesystem::exists(this->root / this->coreCommand)) {
            throw NotRun("the deploy file names no programs, or they are not built");
        }
    }

    void choosePrefix()
    {
        const auto id = static_cast<unsigned>(::getpid());
        for (unsigned attempt = 0; attempt < 50; ++attempt) {
            const unsigned number = id + attempt * 7919;
            this->prefix = "127." + std::to_string(10 + number % 240) + "." + std::to_string(number / 240 % 250) + ".";
            const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = socketAddress({this->prefix + "1", ControlPort});
            const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(socket);
            if (isFree) {
                return;
            }
        }
        throw NotRun("no free loopback addresses");
    }

    static void replaceAll(std::string &text, const std::string &from, const std::string &to)
    {
        for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
    }

    /** Fills in the template of the deploy file with the values of a small deployment. */
    std::string renderSettings(const Daemon &daemon, bool bootstrap) const
    {
        std::ifstream file(this->root / this->templatePath);
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        json::array seeds;
        for (const Endpoint &control : this->controls()) {
            if (seeds.size() < 3) {
                seeds.emplace_back(control.text());
            }
        }
        const auto endpoint = [&daemon](int port) {
            return daemon.address + ":" + std::to_string(port);
        };
        replaceAll(text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", "\"" + zoneName(0) + "\",\"" + zoneName(1) + "\",\"" + zoneName(2) + "\"");
        replaceAll(text, "{{node|json}}", "\"" + daemon.name + "\"");
        replaceAll(text, "{{zone|json}}", "\"" + daemon.zone + "\"");
        replaceAll(text, "{{ip|json}}", "\"" + daemon.address + "\"");
        replaceAll(text, "{{ip}}", daemon.address);
        replaceAll(text, "{{dataDir}}", daemon.hasDisk ? (this->folder / (daemon.name + "-data")).string() : "");
        replaceAll(text, "{{bootstrap|json}}", bootstrap ? "true" : "false");
        replaceAll(text, "{{seeds|json}}", json::serialize(seeds));
        replaceAll(text, "{{listen.front}}", daemon.hasDisk ? "" : endpoint(FrontPort));
        replaceAll(text, "{{listen.ready}}", daemon.hasDisk ? "" : endpoint(ReadyPort));
        replaceAll(text, "{{listen.control}}", daemon.hasDisk ? endpoint(ControlPort) : "");
        replaceAll(text, "{{internalPorts.0}}", "7720");
        replaceAll(text, "{{faultTolerance.machines}}", "1");
        for (const auto &[name, value] : this->bounds) {
            replaceAll(text, "{{bounds." + name + "}}", std::to_string(value));
        }
        if (text.find("{{") != std::string::npos) {
            throw NotRun("the template has an unknown placeholder");
        }
        return text;
    }

    std::string coreCommand;
    std::string frontCommand;
    std::string templatePath;
};

// ------------------------------------------------------------------------------------------------------------------- Operator and clients

constexpr const char *QueueHost = "nony24.example";
constexpr const char *QueuePrefix = "/lohu930/";
constexpr const char *ServiceName = "huvo11a";

/** Sends a call of an operator or a worker as the pages tell: any daemon, 307 followed twice, then the next daemon. */
inline Message controlCall(
    const std::vector<Endpoint> &controls, std::size_t first, const std::string &method, const std::string &target, const std::string &body, int attempts)
{
    Message last;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        Endpoint to = controls[(first + static_cast<std::size_t>(attempt)) % controls.size()];
        for (int hop = 0; hop < 3; ++hop) {
            last = httpCall(to, method, target, {}, body, 1'000);
            if (last.status != 307) {
                break;
            }
            const std::string location = last.headers["location"];
            const auto start = location.find("//") + 2;
            to = parseEndpoint(location.substr(start, location.find('/', start) - start));
        }
        if (last.status >= 200 && last.status < 300) {
            return last;
        }
        if (last.status == 400 || last.status == 409 || last.status == 412 || last.status == 413 || last.status == 422) {
            return last;
        }
        sleepMs(100 + 50 * attempt);
    }
    return last;
}

/** Manifest with one queue. */
inline std::string manifest(int version, int maxAttempts)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + QueueHost + "\",\"pathPrefix\":\"" + QueuePrefix
        + "\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,\"service\":\"" + ServiceName
        + "\",\"maxAttempts\":" + std::to_string(maxAttempts) + ",\"stretch\":2.0}],\"services\":[{\"name\":\"" + ServiceName
        + "\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0,\"admissionCheck\":true,"
          "\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/** Uploads a manifest until it is acknowledged; throws NotRun after 20 s. */
inline void putManifest(const System &system, const std::string &body)
{
    const std::int64_t limit = steadyMs() + 20'000;
    while (steadyMs() < limit) {
        const Message response = controlCall(system.controls(), 0, "PUT", "/config", body, 3);
        if (response.status == 200) {
            record().line("PUT /config -> 200");
            return;
        }
        sleepMs(200);
    }
    throw NotRun("the manifest was never acknowledged");
}

/** Requests of a client to one of the fronts. */
inline Message clientCall(const Endpoint &front, const std::string &method, const std::string &id, const std::string &body = {})
{
    const Message response = httpCall(front, method, QueuePrefix + id, {{"Host", QueueHost}, {"X-Deadline-Ms", "3000"}}, body, 3'000);
    record().line("client " + method + " " + id + " at " + front.text() + " -> " + std::to_string(response.status) + " " + response.body);
    return response;
}

/** Submits with up to four retries, each at the next front, as clients do. Returns the status of the last attempt. */
inline int submit(const std::vector<Endpoint> &fronts, std::size_t first, const std::string &id, const std::string &body)
{
    int status = 0;
    for (std::size_t attempt = 0; attempt < 5; ++attempt) {
        status = clientCall(fronts[(first + attempt) % fronts.size()], "POST", id, body).status;
        if ((status >= 200 && status < 300) || status == 404) {
            return status;
        }
        sleepMs(300);
    }
    return status;
}

inline std::string jobId(std::uint64_t number)
{
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x5c0e7a0000000000ULL + number));
    return text;
}

/** Returns the state of a submission, "410" if it is unknown, or nothing after three attempts without a clear answer. */
inline std::optional<std::string> stateOf(const std::vector<Endpoint> &fronts, const std::string &id, int attempts = 3)
{
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const Message response = clientCall(fronts[static_cast<std::size_t>(attempt) % fronts.size()], "GET", id);
        if (response.status == 410) {
            return "410";
        }
        if (response.status == 200) {
            const json::value body = json::parse(response.body);
            return std::string(body.at("state").as_string());
        }
        sleepMs(300);
    }
    return std::nullopt;
}

// ------------------------------------------------------------------------------------------------------------------------------- Workers

/** How a task behaves on a worker. */
struct TaskModel {
    std::int64_t workMs = 500;
    bool lasts = false;
    std::int64_t cpu = 500;
    std::int64_t memMb = 256;
};

/** What all workers and the checks share: the submitted tasks, and who runs what. */
class World
{
public:
    /** Returns the model of a task; the name has the form ID.K.STEP.INDEX. */
    TaskModel modelOf(const std::string &task)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->models.find(task.substr(0, 16));
        return found == this->models.end() ? TaskModel() : found->second;
    }

    void setModel(const std::string &id, const TaskModel &model)
    {
        const std::lock_guard lock(this->mutex);
        this->models[id] = model;
    }

    void started(const std::string &task, unsigned run, const std::string &worker, const std::string &how)
    {
        record().line("worker " + worker + " starts " + task + " run " + std::to_string(run) + how);
        const std::lock_guard lock(this->mutex);
        auto &places = this->runningAt[task];
        for (const auto &[other, otherRun] : places) {
            if (other != worker || otherRun != run) {
                this->twice.push_back(task + ": run " + std::to_string(run) + " on " + worker + " started while run " + std::to_string(otherRun)
                                      + " was running on " + other);
                record().line("TWICE " + this->twice.back());
            }
        }
        places.insert({worker, run});
        ++this->starts[task];
        this->lastChange[task] = steadyMs();
    }

    void ended(const std::string &task, unsigned run, const std::string &worker, const std::string &how)
    {
        record().line("worker " + worker + " ends " + task + " run " + std::to_string(run) + " " + how);
        const std::lock_guard lock(this->mutex);
        this->runningAt[task].erase({worker, run});
        this->lastChange[task] = steadyMs();
    }

    int startsOf(const std::string &task)
    {
        const std::lock_guard lock(this->mutex);
        return this->starts[task];
    }

    bool isRunning(const std::string &task)
    {
        const std::lock_guard lock(this->mutex);
        return !this->runningAt[task].empty();
    }

    /** Returns the names of the tasks that run on a worker. */
    std::vector<std::string> runningOn(const std::string &worker)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> tasks;
        for (const auto &[task, places] : this->runningAt) {
            for (const auto &[place, run] : places) {
                if (place == worker) {
                    tasks.push_back(task);
                }
            }
        }
        return tasks;
    }

    std::vector<std::string> twiceLines()
    {
        const std::lock_guard lock(this->mutex);
        return this->twice;
    }

    /** Decides how the next run of a task ends; empty for `done`. */
    std::function<std::string(const std::string &task, unsigned run, const std::string &worker)> outcome;

private:
    std::mutex mutex;
    std::map<std::string, TaskModel> models;
    std::map<std::string, std::set<std::pair<std::string, unsigned>>> runningAt;
    std::map<std::string, int> starts;
    std::map<std::string, std::int64_t> lastChange;
    std::vector<std::string> twice;
};

/** One life of a worker. */
class Worker
{
public:
    struct Options {
        std::string id;
        Endpoint address;
        std::string zone;
        std::vector<std::string> labels{"a", "r1-1"};
        std::string machine;
        std::int64_t cpu = 32'000;
        std::int64_t memMb = 128'000;
        std::int64_t maxHoldMs = 10'000;
        std::int64_t answerDelayMs = 0; ///< Time that the worker takes for its answers while it is cold.
        std::int64_t coldRemainingMs = 0;
    };

    Worker(Options workerOptions, std::vector<Endpoint> controlAddresses, World &sharedWorld)
        : options(std::move(workerOptions))
        , controls(std::move(controlAddresses))
        , world(sharedWorld)
        , born(wallMs())
        , bornAt(steadyMs())
    {
        this->name = this->options.id + "@" + std::to_string(this->born % 1'000'000);
        record().line("worker " + this->name + " begins its life at " + this->options.address.text());
        this->server = std::make_unique<HttpServer>(this->options.address, [this](const Message &request) {
            return this->handle(request);
        });
        this->ticker = std::thread([this] {
            this->tickLoop();
        });
        this->reporter = std::thread([this] {
            this->reportLoop();
        });
    }

    ~Worker()
    {
        this->crash("is stopped with the test");
    }

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /** Ends the process without a word. */
    void crash(const std::string &why = "crashes")
    {
        if (this->dead.exchange(true)) {
            return;
        }
        record().line("worker " + this->name + " " + why);
        this->changed.notify_all();
        this->server->stop();
        this->ticker.join();
        this->reporter.join();
        const std::lock_guard lock(this->mutex);
        for (const auto &[task, run] : this->running) {
            this->world.ended(task, run.number, this->name, "with its worker");
        }
        this->running.clear();
    }

    /** Cuts the worker off, or reconnects it: nothing that it sends or that is sent to it arrives meanwhile. Its tasks run on. */
    void setCutOff(bool isCut)
    {
        record().line("worker " + this->name + (isCut ? " is cut off" : " is connected again"));
        this->cutOff = isCut;
        this->server->setHanging(isCut);
    }

    /** Reports `draining` from now on. */
    void setDraining()
    {
        record().line("worker " + this->name + " drains");
        this->draining = true;
    }

    /** Returns the number of reports that were acknowledged. */
    int acknowledgedReports() const
    {
        return this->acknowledged;
    }

    std::string name; ///< Unique for each life, for the record.

    std::int64_t bornMs() const
    {
        return this->born;
    }

    std::int64_t clockMs() const
    {
        return 1'000 + steadyMs() - this->bornAt;
    }

    std::uint64_t lastSequence() const
    {
        return this->sequence;
    }

    json::object statusReport(std::uint64_t number) const
    {
        json::array labels(this->options.labels.begin(), this->options.labels.end());
        return {{"service", ServiceName},
                {"address", this->options.address.text()},
                {"zone", this->options.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", this->draining ? "draining" : "ready"},
                {"coldRemainingMs", std::max<std::int64_t>(0, this->options.coldRemainingMs - (this->clockMs() - 1'000))},
                {"capacity", json::object{{"cpu", this->options.cpu}, {"memMb", this->options.memMb}, {"gpu", 0}}},
                {"labels", labels},
                {"machine", this->options.machine.empty() ? "m-" + this->options.id : this->options.machine},
                {"clockMs", this->clockMs()},
                {"born", this->born},
                {"seq", number}};
    }

    Options options;

private:
    struct Run {
        unsigned number = 0;
        TaskModel model;
        std::int64_t startedAt = 0;
        std::int64_t stopAt = 0; ///< When a stop that was ordered takes effect; 0 for none.
        std::string outcome; ///< How it will end: `done` or `failed`.
    };

    struct End {
        std::uint64_t number = 0;
        std::string task;
        unsigned run = 0;
        std::string how;
    };

    std::optional<Message> handle(const Message &request)
    {
        if (this->options.answerDelayMs > 0 && this->clockMs() - 1'000 < this->options.coldRemainingMs) {
            for (std::int64_t waited = 0; waited < this->options.answerDelayMs && !this->dead; waited += 5) {
                sleepMs(5);
            }
        }
        if (this->dead || this->cutOff) {
            return std::nullopt;
        }
        const auto instance = request.headers.find("x-expected-instance");
        if (instance != request.headers.end() && instance->second != this->options.id) {
            record().line("worker " + this->name + ": " + request.target + " for " + instance->second + " -> 421");
            return respond(421, {});
        }
        boost::system::error_code error;
        const json::value parsed = json::parse(request.body, error);
        if (error || !parsed.is_object()) {
            return respond(400, {});
        }
        const json::object &body = parsed.as_object();
        std::optional<Message> response;
        if (request.target == "/hold") {
            response = this->hold(body);
        } else if (request.target == "/run-start") {
            response = this->runStart(body);
        } else if (request.target == "/run-stop") {
            response = this->runStop(body);
        } else if (request.target == "/pace") {
            response = respond(200, {{"clockMs", this->clockMs()}});
        } else {
            response = respond(404, {});
        }
        return this->cutOff || this->dead ? std::nullopt : response;
    }

    static Message respond(int status, const json::object &body)
    {
        Message message;
        message.status = status;
        message.body = json::serialize(body);
        return message;
    }

    Message refuse(const std::string &reason) const
    {
        return respond(409, {{"clockMs", this->clockMs()}, {"reason", reason}});
    }

    static std::int64_t number(const json::object &body, const char *name, std::int64_t fallback)
    {
        const json::value *value = body.if_contains(name);
        return value == nullptr ? fallback : value->to_number<std::int64_t>();
    }

    bool takeFence(const json::object &body)
    {
        const auto value = static_cast<std::uint64_t>(number(body, "fence", 0));
        if (value < this->fence) {
            return false;
        }
        this->fence = value;
        return true;
    }

    void takeDeadline(const json::object &body)
    {
        if (body.contains("deadlineMs")) {
            this->leaseEnd = std::max(this->leaseEnd, std::min(number(body, "deadlineMs", 0), this->clockMs() + this->options.maxHoldMs));
        }
    }

    Message runStart(const json::object &body)
    {
        const std::lock_guard lock(this->mutex);
        if (!this->takeFence(body)) {
            return this->refuse("fence");
        }
        const std::string task(body.at("task").as_string());
        const auto run = static_cast<unsigned>(number(body, "run", 0));
        const auto present = this->running.find(task);
        if (present != this->running.end() && present->second.number == run) {
            this->takeDeadline(body);
            return respond(200, {{"clockMs", this->clockMs()}});
        }
        this->takeDeadline(body);
        const auto closed = this->closedRuns.find(task);
        if (present != this->running.end() || (closed != this->closedRuns.end() && run <= closed->second)) {
            return this->refuse("old");
        }
        if (number(body, "deadlineMs", 0) <= this->clockMs()) {
            return this->refuse("late");
        }
        Run next;
        next.number = run;
        next.model = this->world.modelOf(task);
        std::int64_t cpu = next.model.cpu;
        std::int64_t memMb = next.model.memMb;
        for (const auto &[other, item] : this->running) {
            cpu += item.model.cpu;
            memMb += item.model.memMb;
        }
        if (cpu > this->options.cpu || memMb > this->options.memMb) {
            return this->refuse("room");
        }
        next.startedAt = this->clockMs();
        const std::string how = this->world.outcome ? this->world.outcome(task, run, this->name) : std::string();
        next.outcome = how.empty() ? "done" : how;
        this->running[task] = next;
        this->world.started(task, run, this->name, " fence " + std::to_string(this->fence));
        return respond(200, {{"clockMs", this->clockMs()}});
    }

    Message runStop(const json::object &body)
    {
        const std::lock_guard lock(this->mutex);
        if (!this->takeFence(body)) {
            return this->refuse("fence");
        }
        const std::string task(body.at("task").as_string());
        const auto run = static_cast<unsigned>(number(body, "run", 0));
        const auto present = this->running.find(task);
        if (present != this->running.end() && present->second.number <= run) {
            present->second.stopAt = this->clockMs() + 20;
        } else {
            this->closedRuns[task] = std::max(this->closedRuns[task], run);
        }
        return respond(200, {{"clockMs", this->clockMs()}});
    }

    Message hold(const json::object &body)
    {
        std::unique_lock lock(this->mutex);
        if (!this->takeFence(body)) {
            return this->refuse("fence");
        }
        const auto acked = static_cast<std::uint64_t>(number(body, "ackedThrough", 0));
        std::erase_if(this->ends, [acked](const End &end) {
            return end.number <= acked;
        });
        this->takeDeadline(body);
        const std::int64_t until = this->clockMs() + number(body, "waitMs", 0);
        while (this->ends.empty() && this->clockMs() < until && !this->dead) {
            this->changed.wait_for(lock, std::chrono::milliseconds(10));
        }
        json::array runs;
        for (const auto &[task, run] : this->running) {
            const std::int64_t percent =
                run.model.lasts ? 100 : std::min<std::int64_t>(99, (this->clockMs() - run.startedAt) * 100 / std::max<std::int64_t>(1, run.model.workMs));
            runs.push_back(json::array{task, run.number, "", percent, run.model.lasts ? 5 : run.model.cpu});
        }
        json::array ended;
        for (const End &end : this->ends) {
            if (ended.size() < 500) {
                ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
            }
        }
        return respond(200, {{"clockMs", this->clockMs()}, {"born", this->born}, {"running", runs}, {"endedRuns", ended}});
    }

    /** Called with the mutex held. */
    void endRun(const std::string &task, const std::string &how)
    {
        const unsigned run = this->running.at(task).number;
        this->running.erase(task);
        this->closedRuns[task] = std::max(this->closedRuns[task], run);
        this->ends.push_back({++this->lastEnd, task, run, how});
        this->world.ended(task, run, this->name, how);
        this->changed.notify_all();
    }

    void tickLoop()
    {
        while (!this->dead) {
            {
                const std::lock_guard lock(this->mutex);
                const std::int64_t now = this->clockMs();
                std::vector<std::pair<std::string, std::string>> over;
                for (const auto &[task, run] : this->running) {
                    if (now >= this->leaseEnd) {
                        over.emplace_back(task, "lapsed");
                    } else if (run.stopAt > 0 && now >= run.stopAt) {
                        over.emplace_back(task, "stopped");
                    } else if ((!run.model.lasts || run.outcome == "failed") && now >= run.startedAt + run.model.workMs) {
                        over.emplace_back(task, run.outcome);
                    }
                }
                for (const auto &[task, how] : over) {
                    this->endRun(task, how);
                }
            }
            sleepMs(5);
        }
    }

    void reportLoop()
    {
        std::mt19937 random(static_cast<unsigned>(this->born));
        std::optional<Endpoint> reportTo;
        while (!this->dead) {
            if (!this->cutOff) {
                const std::uint64_t seq = ++this->sequence;
                const std::string body = json::serialize(this->statusReport(seq));
                const std::string target = "/instances/" + this->options.id;
                Message response;
                if (reportTo) {
                    response = httpCall(*reportTo, "PUT", target, {}, body, 1'000);
                }
                if (response.status != 200) {
                    reportTo.reset();
                    response = this->dead ? response : controlCall(this->controls, random() % this->controls.size(), "PUT", target, body, 3);
                }
                if (response.status == 200) {
                    ++this->acknowledged;
                    boost::system::error_code error;
                    const json::value parsed = json::parse(response.body, error);
                    const json::value *next = error || !parsed.is_object() ? nullptr : parsed.as_object().if_contains("heartbeatAddr");
                    if (next != nullptr) {
                        reportTo = parseEndpoint(std::string(next->as_string()));
                    }
                    if (this->acknowledged == 1) {
                        record().line("worker " + this->name + ": its first status report is acknowledged");
                    }
                }
            }
            for (int waited = 0; waited < 1'000 && !this->dead; waited += 10) {
                sleepMs(10);
            }
        }
    }

    std::vector<Endpoint> controls;
    World &world;
    std::int64_t born;
    std::int64_t bornAt;
    std::atomic<bool> dead{false};
    std::atomic<bool> cutOff{false};
    std::atomic<bool> draining{false};
    std::atomic<int> acknowledged{0};
    std::atomic<std::uint64_t> sequence{0};
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Run> running;
    std::map<std::string, unsigned> closedRuns;
    std::vector<End> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseEnd = 0;
    std::unique_ptr<HttpServer> server;
    std::thread ticker;
    std::thread reporter;
};

/** Runs a case: opens the record, catches what keeps it from running, and returns the exit code. Arguments: repository root, folder of the case. */
inline int runCase(int argc, char **argv, const std::function<int(const std::filesystem::path &root, bool hasTrouble)> &body)
{
    if (argc != 3) {
        std::cerr << "usage: CASE REPOSITORY FOLDER\n";
        return ExitNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record().open(std::filesystem::path(argv[2]) / "record.txt");
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    record().line(hasTrouble ? "with the disruption" : "without the disruption");
    try {
        return body(std::filesystem::absolute(argv[1]), hasTrouble);
    } catch (const std::exception &error) {
        record().say(std::string("not run: ") + error.what());
        return ExitNotRun;
    }
}

} // namespace Review
