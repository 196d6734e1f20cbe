/** @file fleet_process_test.cpp Starts, signals and stops of the fleet daemon as real processes. */

#include "core/clock_func.h"
#include "core/random.h"
#include "fleet_installation.h"
#include "raw_socket.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace Filbertlanding;

namespace {

constexpr Duration EndLimit{10'000}; ///< Far above the grace period of the test.

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool hasEnded(const FleetProcess &daemon)
{
    return daemon.process->waitForEnd(Duration{0}).has_value();
}

/** Listens on an address in place of a daemon; the socket is not open if that fails. */
RawSocket listenOn(const std::string &address, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in endpoint = RawSocket::loopback(port);
    ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&endpoint), sizeof(endpoint)) != 0 || ::listen(descriptor, 1) != 0) {
        ::close(descriptor);
        return RawSocket(-1);
    }
    return RawSocket(descriptor);
}

/**
 * Starts a daemon whose settings come from a pipe, so that it is known to be in its start, and passes it a signal each millisecond until it has
 * read them and for a while after.
 */
void restartWithSignals(FleetInstallation &installation, FleetProcess &daemon, int signal, int count)
{
    const std::filesystem::path path = installation.settingsPath(daemon);
    const std::string text = installation.settingsText(daemon);
    const std::filesystem::path whole = path.string() + ".whole";
    writeText(whole, text);
    daemon.process.reset();
    std::filesystem::remove(path);
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    installation.start(daemon);
    const int pipe = ::open(path.c_str(), O_WRONLY | O_CLOEXEC); // Waits until the daemon opens it.
    REQUIRE(pipe >= 0);
    std::filesystem::rename(whole, path);
    daemon.process->signal(signal);
    sleepMs(20);
    CHECK(!hasEnded(daemon));
    std::signal(SIGPIPE, SIG_IGN);
    CHECK(::write(pipe, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    ::close(pipe);
    for (int i = 1; i < count; ++i) {
        daemon.process->signal(signal);
        sleepMs(1);
    }
}

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
/** Returns the shared libraries that the dynamic loader loads before the first code of the fleet daemon. */
std::vector<std::string> librariesAtStart()
{
    const std::string command = "LD_TRACE_LOADED_OBJECTS=1 " + fleetDaemonProgram();
    std::vector<std::string> names;
    std::FILE *output = ::popen(command.c_str(), "r");
    REQUIRE(output != nullptr);
    char line[512];
    while (std::fgets(line, sizeof line, output) != nullptr) {
        std::istringstream words(line);
        words >> names.emplace_back();
    }
    ::pclose(output);
    return names;
}
#endif

} // namespace

// Guards against a signal that takes its default action before the handlers are registered.
TEST_CASE("a signal in the start of a fleet daemon does not end it out of order")
{
    FleetInstallation installation;
    REQUIRE(installation.startAll());
    SUBCASE("SIGHUP does not end it")
    {
        for (FleetProcess *daemon : {&installation.entry, &installation.core}) {
            for (const int count : {1, 50, 200}) {
                CAPTURE(daemon->name);
                CAPTURE(count);
                restartWithSignals(installation, *daemon, SIGHUP, count);
                CHECK(eventually([&] {
                    return hasEnded(*daemon) || installation.isReady(*daemon);
                }));
                CHECK(!hasEnded(*daemon));
            }
        }
    }
    SUBCASE("SIGTERM stops it in order")
    {
        for (FleetProcess *daemon : {&installation.entry, &installation.core}) {
            for (const int count : {1, 50}) {
                CAPTURE(daemon->name);
                CAPTURE(count);
                const int endedBefore = installation.countEvents(*daemon, "ended");
                restartWithSignals(installation, *daemon, SIGTERM, count);
                CHECK(daemon->process->waitForEnd(EndLimit) == 0);
                CHECK(installation.countEvents(*daemon, "ended") == endedBefore + 1);
            }
        }
    }
}

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
TEST_CASE("The program needs no library but the C library until its signals are blocked")
{
    // Guards against a SIGHUP that ends a daemon while the dynamic loader works, which took most of the time before the first code.
    const std::vector<std::string> libraries = librariesAtStart();
    CHECK(std::count_if(libraries.begin(),
                        libraries.end(),
                        [](const std::string &name) {
                            return name.starts_with("libc.so");
                        })
          == 1);
    for (const std::string &name : libraries) {
        const bool isOfSystem = name.starts_with("linux-vdso") || name.starts_with("libc.so") || name.find("/ld-linux") != std::string::npos;
        CHECK_MESSAGE(isOfSystem, name);
    }
}
#endif

// Guards against a program that does not find its module when it is not started by the path of its file.
TEST_CASE("The program finds its module however it is started")
{
    FleetInstallation installation;
    const std::filesystem::path settings = installation.settingsPath(installation.entry);
    writeText(settings, installation.settingsText(installation.entry));
    std::string program = fleetDaemonProgram();
    SUBCASE("by an absolute path")
    {
    }
    SUBCASE("by a path relative to the working directory")
    {
        program = std::filesystem::relative(program).string();
    }
    SUBCASE("by a symbolic link in another folder")
    {
        const std::filesystem::path link = settings.parent_path() / "daemon";
        std::filesystem::create_symlink(program, link);
        program = link.string();
    }
    ChildProcess check({program, "--settings", settings.string(), "--check"}, installation.logPath(installation.entry));
    CHECK(check.waitForEnd(EndLimit) == 0);
}

// Guards against a moment without a handler while signals are handled.
TEST_CASE("volleys of SIGHUP do not end a running fleet daemon")
{
    FleetInstallation installation;
    REQUIRE(installation.startAll());
    constexpr int Signals = 4'000;
    constexpr int SignalsPerRequests = 200;
    constexpr int Requests = 32;
    constexpr std::uint64_t MaxGapUs = 300;
    Random random{testSeed()};
    for (FleetProcess *daemon : {&installation.entry, &installation.core}) {
        CAPTURE(daemon->name);
        int unanswered = 0;
        for (int sent = 0; sent < Signals && !hasEnded(*daemon); sent += SignalsPerRequests) {
            const auto answers = installation.sendMany(installation.entry, FleetInstallation::CallerPort, Requests);
            for (int i = 0; i < SignalsPerRequests; ++i) {
                daemon->process->signal(SIGHUP);
                std::this_thread::sleep_for(std::chrono::microseconds(random.below(MaxGapUs)));
            }
            unanswered += answers();
        }
        CHECK(unanswered == 0);
        REQUIRE(!hasEnded(*daemon));
        CHECK(installation.isReady(*daemon));
    }
}

// Guards against a daemon that relies on the signal mask and the actions of the process that started it.
TEST_CASE("a fleet daemon that is started with blocked or ignored signals takes them")
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, SIGTERM);
    sigset_t before;
    FleetInstallation installation;
    SUBCASE("blocked")
    {
        pthread_sigmask(SIG_BLOCK, &set, &before);
        CHECK(installation.startAll());
        pthread_sigmask(SIG_SETMASK, &before, nullptr);
    }
    SUBCASE("ignored")
    {
        std::signal(SIGHUP, SIG_IGN);
        CHECK(installation.startAll());
        std::signal(SIGHUP, SIG_DFL);
    }
    installation.core.process->signal(SIGHUP);
    CHECK(installation.get(installation.core, FleetInstallation::MetricsPort, "/metrics") == 200);
    installation.entry.process->signal(SIGTERM);
    CHECK(installation.entry.process->waitForEnd(EndLimit) == 0);
    installation.core.process->signal(SIGTERM);
    CHECK(installation.core.process->waitForEnd(EndLimit) == 0);
}

// Guards against a daemon that ends, or says that it is ready, because a port is taken for a while.
TEST_CASE("a port that is taken does not end a fleet daemon")
{
    FleetInstallation installation;
    REQUIRE(installation.startAll());
    FleetProcess *daemon = &installation.entry;
    std::uint16_t port = FleetInstallation::CallerPort;
    SUBCASE("the port of the metrics: the daemon serves without it")
    {
        port = FleetInstallation::MetricsPort;
    }
    SUBCASE("the port for callers")
    {
    }
    SUBCASE("the port of the readiness check")
    {
        port = FleetInstallation::ReadinessPort;
    }
    SUBCASE("the port of the peer links")
    {
        port = FleetInstallation::PeerPort;
    }
    SUBCASE("the control port of a core")
    {
        daemon = &installation.core;
        port = FleetInstallation::ControlPort;
    }
    SUBCASE("the port of the peer links of a core")
    {
        daemon = &installation.core;
        port = FleetInstallation::PeerPort;
    }
    const bool isRequired = port != FleetInstallation::MetricsPort;
    daemon->process.reset();
    {
        const RawSocket holder = listenOn(daemon->address, port);
        REQUIRE(holder.isOpen());
        installation.start(*daemon);
        CHECK(eventually([&] {
            return hasEnded(*daemon) || installation.countEvents(*daemon, "listen_failed") > 0;
        }));
        if (!isRequired) {
            CHECK(eventually([&] {
                return hasEnded(*daemon) || installation.isReady(*daemon);
            }));
        }
        sleepMs(1'000);
        CHECK(!hasEnded(*daemon));
        CHECK(installation.isReady(*daemon) == !isRequired);
    }
    CHECK(eventually([&] {
        return hasEnded(*daemon) || (installation.isReady(*daemon) && installation.get(*daemon, FleetInstallation::MetricsPort, "/metrics") == 200);
    }));
    CHECK(!hasEnded(*daemon));
    CHECK(installation.countEvents(*daemon, "listen_opened") == 1);
    CHECK(installation.sendMany(installation.entry, FleetInstallation::CallerPort, 8)() == 0);
}

// Guards against a daemon that cannot be stopped while it waits for a port.
TEST_CASE("SIGTERM stops a fleet daemon that waits for a port")
{
    FleetInstallation installation;
    for (FleetProcess *daemon : {&installation.entry, &installation.core}) {
        const RawSocket holder = listenOn(daemon->address, FleetInstallation::PeerPort);
        REQUIRE(holder.isOpen());
        installation.start(*daemon);
        CHECK(eventually([&] {
            return hasEnded(*daemon) || installation.countEvents(*daemon, "listen_failed") > 0;
        }));
        daemon->process->signal(SIGHUP);
        daemon->process->signal(SIGTERM);
        CHECK(daemon->process->waitForEnd(EndLimit) == 0);
        CHECK(installation.countEvents(*daemon, "ended") == 1);
    }
}

// Guards against a daemon that ends, or takes half of its settings, because the file is being written.
TEST_CASE("a settings file that is being written does not end a fleet daemon")
{
    FleetInstallation installation;
    FleetProcess &core = installation.core;
    const std::filesystem::path path = installation.settingsPath(core);
    const std::string text = installation.settingsText(core);
    const std::string half = text.substr(0, text.size() / 2);
    SUBCASE("it is whole a moment after the start")
    {
        for (const std::string &early : {std::string(), half}) {
            CAPTURE(early);
            writeText(path, early);
            installation.start(core);
            sleepMs(700);
            CHECK(!hasEnded(core));
            writeText(path, text);
            CHECK(eventually([&] {
                return hasEnded(core) || installation.isReady(core);
            }));
            CHECK(!hasEnded(core));
            core.process.reset();
        }
    }
    SUBCASE("it comes a moment after the start")
    {
        std::filesystem::remove(path);
        installation.start(core);
        sleepMs(700);
        CHECK(!hasEnded(core));
        writeText(path, text);
        CHECK(eventually([&] {
            return hasEnded(core) || installation.isReady(core);
        }));
    }
    SUBCASE("SIGTERM ends the wait for it")
    {
        writeText(path, half);
        installation.start(core);
        sleepMs(700);
        core.process->signal(SIGTERM);
        CHECK(core.process->waitForEnd(Duration{2'000}) == 0);
    }
    SUBCASE("it stays incomplete")
    {
        writeText(path, half);
        installation.start(core);
        CHECK(core.process->waitForEnd(EndLimit) == 1);
        CHECK(installation.log(core).find("BadJson") != std::string::npos);
    }
    SUBCASE("it is whole but wrong: the daemon ends at once")
    {
        writeText(path, R"({"nonsense": 1})");
        installation.start(core);
        CHECK(core.process->waitForEnd(Duration{2'000}) == 1);
        CHECK(installation.log(core).find("/nonsense") != std::string::npos);
    }
    SUBCASE("it is checked without a wait")
    {
        writeText(path, half);
        ChildProcess check({fleetDaemonProgram(), "--check", "--settings", path.string()}, installation.logPath(core));
        CHECK(check.waitForEnd(Duration{2'000}) == 1);
    }
    SUBCASE("it is half written while the daemon runs")
    {
        installation.start(core);
        REQUIRE(eventually([&] {
            return installation.isReady(core);
        }));
        writeText(path, half);
        core.process->signal(SIGHUP);
        CHECK(eventually([&] {
            return installation.countEvents(core, "settings_refused") == 1;
        }));
        writeText(path, text + "\n");
        core.process->signal(SIGHUP);
        CHECK(eventually([&] {
            return installation.countEvents(core, "settings_reloaded") == 1;
        }));
        CHECK(installation.isReady(core));
    }
}

// Guards against lines that are lost at the end, because the log is closed before all that writes to it is gone.
TEST_CASE("the last line of a fleet daemon's log says that it has ended")
{
    FleetInstallation installation;
    REQUIRE(installation.startAll());
    for (FleetProcess *daemon : {&installation.entry, &installation.core}) {
        CAPTURE(daemon->name);
        daemon->process->signal(SIGTERM);
        CHECK(daemon->process->waitForEnd(EndLimit) == 0);
        const std::string log = installation.log(*daemon);
        const std::string lastLine = log.substr(log.rfind('\n', log.size() - 2) + 1);
        CHECK(lastLine.find("\"event\":\"ended\"") != std::string::npos);
        CHECK(log.find("appender") == std::string::npos);
    }
}

// Guards against requests that end without an answer because the daemon is stopped while it waits for a port that does not concern them.
TEST_CASE("SIGTERM to an entry that waits for its readiness port lets requests end")
{
    FleetInstallation installation;
    FleetProcess &entry = installation.entry;
    const RawSocket holder = listenOn(entry.address, FleetInstallation::ReadinessPort);
    REQUIRE(holder.isOpen());
    installation.start(entry);
    REQUIRE(eventually([&] {
        return installation.countEvents(entry, "listen_failed") > 0;
    }));
    sleepMs(300);
    const auto answers = installation.sendMany(entry, FleetInstallation::CallerPort, 16); // No leader: each waits 400 ms for its refusal.
    sleepMs(100);
    entry.process->signal(SIGTERM);
    CHECK(answers() == 0);
    CHECK(entry.process->waitForEnd(EndLimit) == 0);
}

// Guards against a core that cannot be stopped in order while its data folder is in use.
TEST_CASE("SIGTERM stops a core that waits for its data folder within the grace period")
{
    FleetInstallation installation;
    FleetProcess other{"other", installation.core.address, true, nullptr};
    REQUIRE(installation.startAll());
    const std::string text = installation.settingsText(installation.core);
    std::string changed = text;
    const auto replaceAll = [&changed](const std::string &from, const std::string &to) {
        for (std::size_t at = changed.find(from); at != std::string::npos; at = changed.find(from, at + to.size())) {
            changed.replace(at, from.size(), to);
        }
    };
    // The same data folder, on ports of its own.
    replaceAll(":8101\"", ":9101\"");
    replaceAll(":8102\"", ":9102\"");
    replaceAll(":8103\"", ":9103\"");
    replaceAll("\"port\":7700", "\"port\":7701");
    writeText(installation.settingsPath(other), changed);
    installation.start(other);
    sleepMs(500);
    REQUIRE(!hasEnded(other));
    const TimePoint sentAt = steadyNow();
    other.process->signal(SIGTERM);
    CHECK(other.process->waitForEnd(EndLimit) == 0);
    const std::int64_t waited = (steadyNow() - sentAt).ms;
    CHECK(waited < 2'500);
}
