/**
 * @file standin.h Stand-ins for the review scripts of the second review: a process launcher for the project's daemons, an HTTP client for callers
 * and operators, and a worker that follows the pages on running tasks. Loopback addresses and the real clock only.
 */

#pragma once

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace StandIn {

namespace json = boost::json;

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

/** The file record.txt: what was sent, answered and run, with the time since the start in ms. */
class Record
{
public:
    void open(const std::string &path)
    {
        this->file.open(path, std::ios::trunc);
        this->start = steadyMs();
    }

    void line(const std::string &text)
    {
        const std::lock_guard guard(this->mutex);
        this->file << (steadyMs() - this->start) << " ms  " << text << "\n";
        this->file.flush();
    }

private:
    std::mutex mutex;
    std::ofstream file;
    std::int64_t start = 0;
};

inline Record record;

/** Ends the whole script after a time, with the code for a case that could not run. */
inline std::function<void()> onGiveUp;
inline void giveUp(const std::string &why)
{
    record.line("the case could not run: " + why);
    if (onGiveUp) {
        onGiveUp();
    }
    std::_Exit(2);
}

struct Answer {
    int status = 0; ///< 0 if there was no whole response.
    std::string body;
    std::string location;
};

inline int connectTo(const std::string &address, int timeoutMs)
{
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&wait, 1, timeoutMs) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

/** Reads one HTTP message with a Content-Length. Returns false at the end of the stream or after the deadline. */
inline bool readMessage(int fd, std::string &buffer, std::string &head, std::string &body, std::int64_t deadline)
{
    for (;;) {
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            std::size_t length = 0;
            std::string lower = buffer.substr(0, end + 2);
            for (char &c : lower) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            const auto found = lower.find("\r\ncontent-length:");
            if (found != std::string::npos) {
                length = std::strtoul(lower.c_str() + found + 17, nullptr, 10);
            }
            if (buffer.size() >= end + 4 + length) {
                head = buffer.substr(0, end + 2);
                body = buffer.substr(end + 4, length);
                buffer.erase(0, end + 4 + length);
                return true;
            }
        }
        const std::int64_t left = deadline - steadyMs();
        pollfd wait{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char bytes[16384];
        const ssize_t got = ::recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(got));
    }
}

inline bool sendAll(int fd, const std::string &data)
{
    std::size_t done = 0;
    while (done < data.size()) {
        const ssize_t sent = ::send(fd, data.data() + done, data.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

inline std::string headerOf(const std::string &head, const std::string &name)
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos || strcasecmp(line.substr(0, colon).c_str(), name.c_str()) != 0) {
            continue;
        }
        std::string value = line.substr(colon + 1);
        while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
            value.pop_back();
        }
        value.erase(0, value.find_first_not_of(' '));
        return value;
    }
    return {};
}

/** One call on a connection of its own. */
inline Answer call(const std::string &address,
                   const std::string &method,
                   const std::string &target,
                   const std::string &host,
                   const std::string &body,
                   int timeoutMs = 1000,
                   const std::string &moreHeaders = {})
{
    Answer answer;
    const std::int64_t deadline = steadyMs() + timeoutMs;
    const int fd = connectTo(address, timeoutMs);
    if (fd < 0) {
        return answer;
    }
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + (host.empty() ? address : host) + "\r\n" + moreHeaders;
    if (!body.empty()) {
        text += "Content-Type: application/json\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    std::string buffer;
    std::string head;
    if (sendAll(fd, text) && readMessage(fd, buffer, head, answer.body, deadline)) {
        answer.status = std::atoi(head.c_str() + 9);
        answer.location = headerOf(head, "Location");
    }
    ::close(fd);
    return answer;
}

/** A call of a worker or an operator: tries the control addresses in turn, and follows up to two redirects of each. */
inline Answer controlCall(const std::vector<std::string> &controls, const std::string &method, const std::string &target, const std::string &body)
{
    Answer answer;
    for (const std::string &first : controls) {
        std::string address = first;
        for (int hops = 0; hops < 3; ++hops) {
            answer = call(address, method, target, {}, body);
            if (answer.status != 307) {
                break;
            }
            const auto slashes = answer.location.find("//");
            const auto path = answer.location.find('/', slashes + 2);
            address = answer.location.substr(slashes + 2, path - slashes - 2);
        }
        if (answer.status >= 200 && answer.status < 300) {
            return answer;
        }
        if (answer.status == 400 || answer.status == 409 || answer.status == 412 || answer.status == 413 || answer.status == 422) {
            return answer;
        }
    }
    return answer;
}

/** Repeats a control call until it has a 2xx; gives the case up after the time. */
inline Answer controlUntilAcked(const std::vector<std::string> &controls, const std::string &method, const std::string &target, const std::string &body, int ms)
{
    const std::int64_t end = steadyMs() + ms;
    for (;;) {
        const Answer answer = controlCall(controls, method, target, body);
        if (answer.status >= 200 && answer.status < 300) {
            return answer;
        }
        if (steadyMs() >= end) {
            giveUp(method + " " + target + " was not acknowledged, last status " + std::to_string(answer.status));
        }
        sleepMs(200);
    }
}

/** Returns a TCP port that is free on all loopback addresses now. */
inline std::uint16_t freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof any;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&any), sizeof any) != 0 || getsockname(fd, reinterpret_cast<sockaddr *>(&any), &size) != 0) {
        giveUp("no free port");
    }
    ::close(fd);
    return ntohs(any.sin_port);
}

/** A small deployment: one daemon with a disk in each of three zones, and one entry daemon, all on loopback addresses of their own. */
class Deployment
{
public:
    struct Machine {
        std::string name;
        std::string zone;
        std::string ip;
        bool isCore = false;
        pid_t pid = -1;
        std::string settingsPath;
        std::string logPath;
    };

    std::string folder;
    std::string program = "target/platform/filbertlanding-platform"; ///< As in the line `run` of the deploy file.
    std::vector<Machine> machines;
    std::uint16_t controlPort = 0;
    std::uint16_t frontPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t peerPort = 0;
    int memoryMb = 256;

    explicit Deployment(const std::string &temporaryFolder)
        : folder(temporaryFolder)
    {
        this->controlPort = freePort();
        this->frontPort = freePort();
        this->readyPort = freePort();
        this->peerPort = freePort();
        const std::string block = "127." + std::to_string(20 + ::getpid() % 200) + ".";
        for (int i = 1; i <= 3; ++i) {
            const std::string zone = "z" + std::to_string(i);
            this->machines.push_back({"core-" + std::to_string(i), zone, block + std::to_string(i) + ".16", true, -1, {}, {}});
        }
        this->machines.push_back({"front-1", "z1", block + "1.13", false, -1, {}, {}});
    }

    std::vector<std::string> controls() const
    {
        std::vector<std::string> list;
        for (const Machine &machine : this->machines) {
            if (machine.isCore) {
                list.push_back(machine.ip + ":" + std::to_string(this->controlPort));
            }
        }
        return list;
    }

    std::string front() const
    {
        return this->machines.back().ip + ":" + std::to_string(this->frontPort);
    }

    /** Writes the settings that the template of the deploy file gives for a machine. */
    void writeSettings(Machine &machine, bool isFirstStart)
    {
        const auto at = [&machine](std::uint16_t port) {
            return machine.ip + ":" + std::to_string(port);
        };
        json::object settings;
        settings["daemon"] = machine.name;
        settings["availabilityZone"] = machine.zone;
        settings["availabilityZones"] = json::array{"z1", "z2", "z3"};
        settings["address"] = machine.ip;
        settings["dataFolder"] = machine.isCore ? this->folder + "/" + machine.name : "";
        settings["firstStart"] = isFirstStart;
        json::array contacts;
        for (const std::string &control : this->controls()) {
            contacts.push_back(json::value(control));
        }
        settings["contacts"] = contacts;
        json::object listen;
        listen["callers"] = machine.isCore ? "" : at(this->frontPort);
        listen["readiness"] = machine.isCore ? "" : at(this->readyPort);
        listen["control"] = machine.isCore ? at(this->controlPort) : "";
        listen["metrics"] = "";
        settings["listen"] = listen;
        settings["peer"] = json::object{{"port", this->peerPort}, {"key", "no secret on this platform"}, {"fromOwnAddress", true}};
        settings["limits"] = json::object{{"diskMegabytes", machine.isCore ? 128 : 0}, {"memoryMegabytes", machine.isCore ? this->memoryMb : 260}};
        settings["tolerated"] = json::object{{"hosts", 1}};
        settings["task"] = json::object{
            {"longestLeaseMs", 10000}, {"stopTimeoutMs", 200}, {"restoreMs", 250}, {"farFactor", 2}, {"paceDelayMs", 100}, {"harmLimitMs", 4000}};
        machine.settingsPath = this->folder + "/" + machine.name + ".json";
        std::ofstream(machine.settingsPath) << json::serialize(settings);
    }

    void start(Machine &machine, bool isFirstStart)
    {
        this->writeSettings(machine, isFirstStart);
        machine.logPath = this->folder + "/" + machine.name + ".log";
        if (machine.isCore) {
            ::mkdir((this->folder + "/" + machine.name).c_str(), 0700);
        }
        const pid_t pid = ::fork();
        if (pid == 0) {
            const int log = ::open(machine.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const std::string settings = "FILBERTLANDING_SETTINGS=" + machine.settingsPath;
            const char *home = std::getenv("HOME");
            const std::string homeText = std::string("HOME=") + (home == nullptr ? "/" : home);
            char *const arguments[] = {const_cast<char *>(this->program.c_str()), nullptr};
            char *const environment[] = {const_cast<char *>(settings.c_str()),
                                         const_cast<char *>("PATH=/usr/bin:/bin"),
                                         const_cast<char *>(homeText.c_str()),
                                         const_cast<char *>("LANG=C.UTF-8"),
                                         nullptr};
            ::execve(this->program.c_str(), arguments, environment);
            std::_Exit(127);
        }
        machine.pid = pid;
        record.line("start " + machine.name + " at " + machine.ip + " pid " + std::to_string(pid));
    }

    void startAll()
    {
        for (Machine &machine : this->machines) {
            this->start(machine, true);
        }
    }

    /** Returns whether the process of a machine has ended, and collects it. */
    bool hasEnded(Machine &machine)
    {
        int status = 0;
        if (machine.pid > 0 && ::waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
            record.line(machine.name + " ended with wait status " + std::to_string(status));
            machine.pid = -1;
        }
        return machine.pid < 0;
    }

    void kill(Machine &machine, int signal)
    {
        if (machine.pid > 0) {
            ::kill(machine.pid, signal);
        }
    }

    void killAndWait(Machine &machine)
    {
        if (machine.pid > 0) {
            ::kill(machine.pid, SIGKILL);
            ::waitpid(machine.pid, nullptr, 0);
            machine.pid = -1;
        }
    }

    void stopAll()
    {
        for (Machine &machine : this->machines) {
            this->killAndWait(machine);
        }
    }

    /** Waits until callers are answered: the entry is ready. */
    void waitReady(int ms)
    {
        const std::int64_t end = steadyMs() + ms;
        const Machine &entry = this->machines.back();
        while (call(entry.ip + ":" + std::to_string(this->readyPort), "GET", "/ready", {}, {}).status != 200) {
            if (steadyMs() >= end) {
                giveUp("the entry is not ready");
            }
            sleepMs(100);
        }
    }
};

/** A run that a worker has begun. */
struct WorkerRun {
    std::string task;
    std::int64_t run = 0;
    std::int64_t beganAt = 0; ///< On the steady clock of the script.
    std::int64_t endsAt = 0;
    std::int64_t endedAt = -1; ///< -1 while it is at work.
    std::string how;
    std::string spec;
};

/** A sound worker, as PROTOCOL.md tells: one lifetime of one id. */
class Worker
{
public:
    std::string id;
    std::string zone;
    std::string service;
    std::string address;
    std::int64_t born = 0;
    std::int64_t cpu = 32'000;
    std::int64_t memMb = 128'000;
    std::int64_t taskMs = 1'000; ///< How long each task works, ...
    std::map<std::string, std::int64_t> taskMsOfSpec; ///< ... unless its `spec` is named here.
    std::vector<std::string> controls;
    std::function<void(const WorkerRun &)> began; ///< Told of each run that begins.
    std::vector<WorkerRun> history; ///< All runs, in the order in which they began. Under the mutex.
    std::mutex mutex;
    std::string state = "ready";
    std::atomic<bool> refusesStarts{false}; ///< Answers starts with 503, and does nothing.

    /** Begins the lifetime. A port of 0 takes a free one. */
    void start(const std::string &ip, std::uint16_t port = 0)
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &own.sin_addr);
        socklen_t size = sizeof own;
        if (::bind(this->listener, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0
            || ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size) != 0 || ::listen(this->listener, 64) != 0) {
            giveUp("a worker cannot listen");
        }
        this->address = ip + ":" + std::to_string(ntohs(own.sin_port));
        this->born = wallMs();
        this->startedAt = steadyMs();
        std::thread([this] {
            this->acceptLoop();
        }).detach();
        std::thread([this] {
            this->timeLoop();
        }).detach();
        std::thread([this] {
            this->reportLoop();
        }).detach();
    }

    /** Ends the lifetime without a word, as a process that is killed: the ports close, and all that runs is gone. */
    void crash()
    {
        const std::lock_guard guard(this->mutex);
        this->isDown = true;
        ::shutdown(this->listener, SHUT_RDWR);
        ::close(this->listener);
        for (const int fd : this->connections) {
            ::shutdown(fd, SHUT_RDWR);
        }
        for (const auto &[task, index] : this->running) {
            this->history[index].endedAt = steadyMs();
            this->history[index].how = "crashed";
            record.line(this->id + ": the worker crashes under " + task + " run " + std::to_string(this->history[index].run));
        }
        this->running.clear();
        this->changed.notify_all();
    }

    json::object reportBody()
    {
        json::object body;
        body["service"] = this->service;
        body["address"] = this->address;
        body["zone"] = this->zone;
        body["version"] = "v1";
        body["slots"] = 8;
        body["state"] = this->state;
        body["coldRemainingMs"] = 0;
        body["capacity"] = json::object{{"cpu", this->cpu}, {"memMb", this->memMb}, {"gpu", 0}};
        body["labels"] = json::array{"a", "r" + this->zone};
        body["clockMs"] = this->clockMs();
        body["born"] = this->born;
        body["seq"] = ++this->sequence;
        return body;
    }

    std::int64_t clockMs() const
    {
        return steadyMs() - this->startedAt;
    }

private:
    struct Ended {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    int listener = -1;
    std::atomic<bool> isDown{false};
    std::set<int> connections; ///< Open connections. Under the mutex.
    std::int64_t startedAt = 0;
    std::atomic<std::int64_t> sequence{0};
    std::uint64_t highestFence = 0;
    std::int64_t leaseEnd = 0; ///< On the worker's clock.
    std::map<std::string, std::size_t> running; ///< Index in the history, by task.
    std::map<std::string, std::int64_t> highestEnded; ///< Highest run that was stopped or has ended, by task.
    std::vector<Ended> ended;
    std::int64_t lastEnd = 0;
    std::condition_variable changed;

    /** Ends a run. The mutex is held. */
    void end(const std::string &task, const std::string &how)
    {
        const auto found = this->running.find(task);
        WorkerRun &run = this->history[found->second];
        run.endedAt = steadyMs();
        run.how = how;
        this->highestEnded[task] = std::max(this->highestEnded[task], run.run);
        this->ended.push_back({++this->lastEnd, task, run.run, how});
        record.line(this->id + ": run ends " + task + " run " + std::to_string(run.run) + " " + how);
        this->running.erase(found);
        this->changed.notify_all();
    }

    void timeLoop()
    {
        for (;;) {
            sleepMs(5);
            const std::lock_guard guard(this->mutex);
            if (this->isDown) {
                return;
            }
            std::vector<std::string> over;
            const bool hasLapsed = !this->running.empty() && this->clockMs() > this->leaseEnd;
            for (const auto &[task, index] : this->running) {
                if (hasLapsed || steadyMs() >= this->history[index].endsAt) {
                    over.push_back(task);
                }
            }
            for (const std::string &task : over) {
                this->end(task, hasLapsed ? "lapsed" : "done");
            }
        }
    }

    void reportLoop()
    {
        std::vector<std::string> order = this->controls;
        for (;;) {
            json::object body;
            {
                const std::lock_guard guard(this->mutex);
                if (this->isDown) {
                    return;
                }
                body = this->reportBody();
            }
            const Answer answer = controlCall(order, "PUT", "/instances/" + this->id, json::serialize(body));
            if (answer.status < 200 || answer.status >= 300) {
                record.line(this->id + ": its status report was answered " + std::to_string(answer.status) + " " + answer.body);
            }
            sleepMs(1'500);
        }
    }

    void acceptLoop()
    {
        for (;;) {
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (this->isDown) {
                if (fd >= 0) {
                    ::close(fd);
                }
                return;
            }
            if (fd >= 0) {
                std::thread([this, fd] {
                    this->serve(fd);
                }).detach();
            }
        }
    }

    void serve(int fd)
    {
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
            const std::lock_guard guard(this->mutex);
            if (this->isDown) {
                ::close(fd);
                return;
            }
            this->connections.insert(fd);
        }
        std::string buffer;
        std::string head;
        std::string body;
        while (!this->isDown && readMessage(fd, buffer, head, body, steadyMs() + 60'000)) {
            int status = 200;
            std::string answer;
            const std::string expected = headerOf(head, "X-Expected-Instance");
            if (!expected.empty() && expected != this->id) {
                status = 421;
                answer = "{}";
            } else {
                answer = this->handle(head, body, status);
            }
            const std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(answer.size()) + "\r\n\r\n" + answer;
            if (this->isDown || !sendAll(fd, text)) {
                break;
            }
        }
        const std::lock_guard guard(this->mutex);
        this->connections.erase(fd);
        ::close(fd);
    }

    std::string reply(json::object body)
    {
        body["clockMs"] = this->clockMs();
        return json::serialize(body);
    }

    void takeDeadline(const json::object &order)
    {
        constexpr std::int64_t MaxHoldMs = 10'000;
        if (const json::value *deadline = order.if_contains("deadlineMs")) {
            const std::int64_t end = std::min(deadline->to_number<std::int64_t>(), this->clockMs() + MaxHoldMs);
            this->leaseEnd = std::max(this->leaseEnd, end);
        }
    }

    std::string refuse(int &status, const char *reason)
    {
        status = 409;
        return this->reply({{"reason", reason}});
    }

    std::string handle(const std::string &head, const std::string &body, int &status)
    {
        const std::string path = head.substr(head.find(' ') + 1, head.find(' ', head.find(' ') + 1) - head.find(' ') - 1);
        boost::system::error_code error;
        const json::value parsed = json::parse(body, error);
        if (error || !parsed.is_object()) {
            status = 400;
            return "{}";
        }
        const json::object &order = parsed.get_object();
        std::unique_lock lock(this->mutex);
        if (this->isDown) {
            return "{}"; // The connection is gone.
        }
        const std::uint64_t fence = order.contains("fence") ? order.at("fence").to_number<std::uint64_t>() : 0;
        if (fence < this->highestFence) {
            return this->refuse(status, "fence");
        }
        this->highestFence = fence;
        if (path == "/hold") {
            return this->hold(order, lock);
        }
        const std::string task(order.at("task").as_string());
        const std::int64_t run = order.at("run").to_number<std::int64_t>();
        if (path == "/run-start") {
            return this->startRun(order, task, run, status);
        }
        if (path == "/run-stop") {
            this->highestEnded[task] = std::max(this->highestEnded[task], run);
            const auto found = this->running.find(task);
            if (found != this->running.end() && this->history[found->second].run <= run) {
                this->end(task, "stopped");
            }
            return this->reply({});
        }
        return this->reply({});
    }

    std::string startRun(const json::object &order, const std::string &task, std::int64_t run, int &status)
    {
        const auto found = this->running.find(task);
        if (found != this->running.end() && this->history[found->second].run == run) {
            this->takeDeadline(order);
            return this->reply({});
        }
        if (found != this->running.end() || run <= this->highestEnded[task]) {
            this->takeDeadline(order);
            return this->refuse(status, "old");
        }
        if (order.contains("deadlineMs") && order.at("deadlineMs").to_number<std::int64_t>() <= this->clockMs()) {
            return this->refuse(status, "late");
        }
        this->takeDeadline(order);
        if (this->refusesStarts) {
            status = 503;
            record.line(this->id + ": refuses " + task + " run " + std::to_string(run));
            return this->reply({});
        }
        const std::int64_t now = steadyMs();
        this->running[task] = this->history.size();
        const std::string spec(order.at("spec").as_string());
        const auto named = this->taskMsOfSpec.find(spec);
        this->history.push_back({task, run, now, now + (named == this->taskMsOfSpec.end() ? this->taskMs : named->second), -1, {}, spec});
        record.line(this->id + ": run begins " + task + " run " + std::to_string(run) + " spec " + this->history.back().spec.substr(0, 40));
        if (this->began) {
            this->began(this->history.back());
        }
        return this->reply({});
    }

    std::string hold(const json::object &order, std::unique_lock<std::mutex> &lock)
    {
        this->takeDeadline(order);
        if (const json::value *acked = order.if_contains("ackedThrough")) {
            const std::int64_t through = acked->to_number<std::int64_t>();
            std::erase_if(this->ended, [through](const Ended &item) {
                return item.number <= through;
            });
        }
        const std::int64_t waitMs = order.contains("waitMs") ? order.at("waitMs").to_number<std::int64_t>() : 0;
        const std::int64_t until = steadyMs() + std::min<std::int64_t>(waitMs, 2'000);
        const std::int64_t before = this->lastEnd;
        while (!this->isDown && this->ended.empty() && this->lastEnd == before && steadyMs() < until) {
            this->changed.wait_for(lock, std::chrono::milliseconds(until - steadyMs()));
        }
        json::array runs;
        for (const auto &[task, index] : this->running) {
            const WorkerRun &run = this->history[index];
            const std::int64_t percent = std::min<std::int64_t>(99, (steadyMs() - run.beganAt) * 100 / std::max<std::int64_t>(1, run.endsAt - run.beganAt));
            runs.push_back(json::array{task, run.run, "", percent, 0});
        }
        json::array ends;
        for (const Ended &item : this->ended) {
            ends.push_back(json::array{item.number, item.task, item.run, item.how, ""});
            if (ends.size() >= 500) {
                break;
            }
        }
        return this->reply({{"running", std::move(runs)}, {"endedRuns", std::move(ends)}, {"born", this->born}});
    }
};

inline json::object routeOf(const std::string &name, const std::string &prefix, const std::string &service)
{
    return {{"name", name},
            {"host", "shop.example"},
            {"pathPrefix", prefix},
            {"kind", "unsafe"},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 250},
            {"priority", 0},
            {"service", service},
            {"maxAttempts", 3},
            {"stretch", 2.0}};
}

inline std::string manifestOf(std::int64_t version, json::array routes, const std::vector<std::string> &services)
{
    json::array list;
    for (const std::string &name : services) {
        list.push_back(json::object{{"name", name},
                                    {"healthPath", "/health"},
                                    {"maxConns", 64},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"coldStartS", 0.0},
                                    {"coldPerS", 0.0},
                                    {"admissionCheck", true},
                                    {"standby", false}});
    }
    const json::object limits{{"maxHeaderBytes", 16384}, {"maxBodyBytes", 262144}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return json::serialize(json::object{{"version", version}, {"routes", std::move(routes)}, {"services", std::move(list)}, {"limits", limits}});
}

/** Reads TROUBLE: 0 plays the case without its disruption. */
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace StandIn
