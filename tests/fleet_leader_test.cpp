/** @file fleet_leader_test.cpp Leadership of core daemons that cannot serve, and planned stops of the leader, as real processes. */

#include "core/clock_func.h"
#include "core/random.h"
#include "fleet_installation.h"
#include "fleet_load.h"
#include "raw_socket.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/stat.h>

#include <csignal>

using namespace Filbertlanding;

namespace {

constexpr Duration ServiceLimit{5'000}; ///< An election with its retries, and the takeover.
constexpr Duration EndLimit{10'000}; ///< Far above the grace period.
constexpr Duration CallLimit{1'000}; ///< Time after which an entry has answered each call.
constexpr FleetShape ThreeCores{.cores = 3, .entries = 2, .stopGraceMs = 6'000};

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

/** Listens on an address in place of a daemon; the socket is not open if that fails. */
RawSocket listenOn(const FleetProcess &daemon, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in endpoint = RawSocket::loopback(port);
    ::inet_pton(AF_INET, daemon.address.c_str(), &endpoint.sin_addr);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&endpoint), sizeof(endpoint)) != 0 || ::listen(descriptor, 1) != 0) {
        ::close(descriptor);
        return RawSocket(-1);
    }
    return RawSocket(descriptor);
}

/** Returns the core that is neither of two others. */
FleetProcess &otherCore(FleetInstallation &installation, const FleetProcess &first, const FleetProcess &second)
{
    for (FleetProcess &core : installation.cores) {
        if (&core != &first && &core != &second) {
            return core;
        }
    }
    throw std::logic_error("there are only two cores");
}

/** Returns the core after this one. */
FleetProcess &nextCore(FleetInstallation &installation, const FleetProcess &core)
{
    const auto index = static_cast<std::size_t>(&core - installation.cores.data());
    return installation.cores[(index + 1) % installation.cores.size()];
}

/** Returns how long it takes until a call has this status; the limit if it does not come. */
std::int64_t msUntil(const std::function<unsigned()> &call, unsigned status, Duration limit)
{
    const TimePoint begin = steadyNow();
    while (steadyNow() - begin < limit && call() != status) {
        sleepMs(20);
    }
    return (steadyNow() - begin).ms;
}

/** Replaces the settings file by a pipe without a writer, so that the daemon's event loop blocks when it reads the file. */
void blockEventLoop(const FleetInstallation &installation, FleetProcess &daemon)
{
    const std::filesystem::path path = installation.settingsPath(daemon);
    std::filesystem::rename(path, path.string() + ".whole");
    REQUIRE(::mkfifo(path.c_str(), 0600) == 0);
    daemon.process->signal(SIGHUP);
}

/** Lets the event loop go on. */
void unblockEventLoop(const FleetInstallation &installation, const FleetProcess &daemon)
{
    const std::filesystem::path path = installation.settingsPath(daemon);
    const int pipe = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
    REQUIRE(pipe >= 0);
    std::filesystem::rename(path.string() + ".whole", path);
    ::close(pipe);
}

/** Sends SIGTERM and waits for the end. Returns the time until then. */
std::int64_t stopInOrder(FleetProcess &daemon)
{
    const TimePoint begin = steadyNow();
    daemon.process->signal(SIGTERM);
    CHECK(daemon.process->waitForEnd(EndLimit) == 0);
    return (steadyNow() - begin).ms;
}

void checkNothingLost(const CallCounts &counts)
{
    CHECK(counts.lost == 0);
    CHECK(counts.stale == 0);
}

void checkAllAnswered(const CallCounts &counts)
{
    CHECK(counts.answered > 100);
    CHECK(counts.refused == 0);
    CHECK(counts.unknown == 0);
    CHECK(counts.cut == 0);
    checkNothingLost(counts);
}

} // namespace

// Guards against a cluster that is led by a daemon whose control port another program has.
TEST_CASE("the configuration can be read when a core without its control port is there and the leader ends")
{
    FleetInstallation installation(ThreeCores);
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    constexpr int Rounds = 6;
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        FleetProcess *leader = installation.awaitLeader();
        REQUIRE(leader != nullptr);
        FleetProcess &withoutPort = nextCore(installation, *leader);
        FleetProcess &sound = otherCore(installation, *leader, withoutPort);
        withoutPort.process.reset();
        {
            const RawSocket holder = listenOn(withoutPort, FleetInstallation::ControlPort);
            REQUIRE(holder.isOpen());
            const int found = installation.countEvents(withoutPort, "role_changed");
            installation.start(withoutPort);
            REQUIRE(eventually([&] {
                return installation.countEvents(withoutPort, "role_changed") > found;
            }));
            sleepMs(500);
            leader->process.reset();
            const auto read = [&] {
                return load.readOnce(sound);
            };
            CHECK(msUntil(read, 200, ServiceLimit) < ServiceLimit.ms);
            CHECK(msUntil(
                      [&] {
                          return load.submitOnce(installation.entry);
                      },
                      200,
                      ServiceLimit)
                  < ServiceLimit.ms);
        }
        installation.start(*leader);
        REQUIRE(installation.areAllReady());
        sleepMs(500);
    }
}

// Guards against a ban in place of a preference: somebody has to lead.
TEST_CASE("callers are served while no core has its control port")
{
    FleetInstallation installation(ThreeCores);
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    std::vector<RawSocket> holders;
    for (FleetProcess &core : installation.cores) {
        core.process.reset();
        holders.push_back(listenOn(core, FleetInstallation::ControlPort));
        REQUIRE(holders.back().isOpen());
    }
    for (FleetProcess &core : installation.cores) {
        installation.start(core);
    }
    CHECK(msUntil(
              [&] {
                  return load.submitOnce(installation.entry);
              },
              200,
              EndLimit)
          < EndLimit.ms);
    FleetProcess *leader = installation.awaitLeader();
    REQUIRE(leader != nullptr);
    CHECK(eventually([&] {
        return installation.countEvents(*leader, "leads_without_control") > 0;
    }));
    // The leadership moves to a core that gets its port, although the leader's is still taken.
    FleetProcess &next = nextCore(installation, *leader);
    holders[static_cast<std::size_t>(&next - installation.cores.data())].close();
    CHECK(msUntil(
              [&] {
                  return load.readOnce(next);
              },
              200,
              ServiceLimit)
          < ServiceLimit.ms);
    CHECK(installation.awaitLeader() == &next);
    CHECK(msUntil(
              [&] {
                  return load.submitOnce(installation.entry);
              },
              200,
              ServiceLimit)
          < ServiceLimit.ms);
    holders.clear();
    CHECK(installation.areAllReady());
    CHECK(msUntil(
              [&] {
                  return load.readOnce(installation.core);
              },
              200,
              ServiceLimit)
          < ServiceLimit.ms);
}

// Guards against a leader that can take no connection and goes on leading, as without descriptors.
TEST_CASE("the configuration can be read when the leader can accept no connection")
{
    FleetInstallation installation(ThreeCores);
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    FleetProcess *leader = installation.awaitLeader();
    REQUIRE(leader != nullptr);
    constexpr rlim_t NoFreeDescriptors = 3;
    constexpr rlim_t ManyDescriptors = 1'000;
    leader->process->limit(RLIMIT_NOFILE, {.rlim_cur = NoFreeDescriptors, .rlim_max = ManyDescriptors});
    const auto read = [&] {
        return load.readOnce(nextCore(installation, *leader));
    };
    const auto newRead = [&] {
        return installation.exchange(*leader, FleetInstallation::ControlPort, {"GET", "/config", {}, {}, {}}, {.timeout = {200}, .freshConnection = true}).code
            == ResultCode::Ok;
    };
    CHECK(!newRead());
    CHECK(eventually([&] {
        newRead();
        FleetProcess *next = installation.leader();
        return next != nullptr && next != leader;
    }));
    CHECK(msUntil(read, 200, ServiceLimit) < ServiceLimit.ms);
    leader->process->limit(RLIMIT_NOFILE, {.rlim_cur = ManyDescriptors, .rlim_max = ManyDescriptors});
    CHECK(installation.areAllReady());
}

// Guards against planned stops that cost an election and cut what was being answered.
TEST_CASE("a planned stop of the leader costs callers and operators nothing")
{
    FleetInstallation installation(ThreeCores);
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    load.start();
    sleepMs(500);
    CallCounts callers;
    CallCounts operators;
    const auto stopAndStart = [&](FleetProcess &core) {
        const CallCounts callersBefore = load.callers();
        const CallCounts operatorsBefore = load.operators();
        CHECK(stopInOrder(core) < ThreeCores.stopGraceMs);
        sleepMs(static_cast<int>(CallLimit.ms));
        callers += load.callers() - callersBefore;
        operators += load.operators() - operatorsBefore;
        installation.start(core);
        REQUIRE(installation.areAllReady());
        sleepMs(1'000);
    };
    SUBCASE("the leader, several times")
    {
        constexpr int Rounds = 5;
        for (int round = 0; round < Rounds; ++round) {
            FleetProcess *leader = installation.awaitLeader();
            REQUIRE(leader != nullptr);
            stopAndStart(*leader);
        }
    }
    SUBCASE("all cores in turn")
    {
        for (FleetProcess &core : installation.cores) {
            stopAndStart(core);
        }
    }
    load.stop();
    checkAllAnswered(callers);
    checkAllAnswered(operators);
    checkNothingLost(load.callers());
    checkNothingLost(load.operators());
    MESSAGE("not sent because no process listened: " << callers.unreachable << " calls of callers, " << operators.unreachable << " of operators");
}

// Guards against a stop that waits for a successor that never comes.
TEST_CASE("a core that stops while the leadership is handed to it passes it on")
{
    // Guards against a stopping daemon that is elected, starts no scheduler and leads until its grace period ends.
    FleetInstallation installation(FleetShape{.cores = 3, .entries = 1, .stopGraceMs = 6'000});
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    constexpr Duration WatchTime{4'000};
    for (const int gapMs : {10, 11, 12}) {
        CAPTURE(gapMs);
        FleetProcess *leader = installation.awaitLeader();
        REQUIRE(leader != nullptr);
        FleetProcess &successor = leader == installation.cores.data() ? installation.cores[1] : installation.cores[0];
        const TimePoint begin = steadyNow();
        leader->process->signal(SIGTERM);
        sleepMs(gapMs);
        successor.process->signal(SIGTERM);
        int failed = 0;
        std::thread caller([&] {
            while (steadyNow() - begin < WatchTime) {
                const unsigned status = load.submitOnce(installation.entry);
                failed += status >= 200 && status < 300 ? 0 : 1;
                sleepMs(30);
            }
        });
        // A process ends with the thread that has started it.
        for (FleetProcess *core : {leader, &successor}) {
            CHECK(core->process->waitForEnd(EndLimit) == 0);
            core->process.reset();
            installation.start(*core);
        }
        caller.join();
        CHECK(failed == 0);
        REQUIRE(installation.areAllReady());
    }
}

TEST_CASE("core daemons end within their grace period")
{
    FleetInstallation installation(FleetShape{.cores = 3, .entries = 1, .stopGraceMs = 4'000});
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    load.start();
    FleetProcess *leader = installation.awaitLeader();
    REQUIRE(leader != nullptr);
    constexpr std::int64_t GraceMs = 4'000;
    const auto stopAll = [&] {
        const TimePoint begin = steadyNow();
        for (FleetProcess &core : installation.cores) {
            core.process->signal(SIGTERM);
        }
        for (FleetProcess &core : installation.cores) {
            CHECK(core.process->waitForEnd(EndLimit) == 0);
        }
        CHECK((steadyNow() - begin).ms < GraceMs);
    };
    SUBCASE("all at once")
    {
        stopAll();
    }
    SUBCASE("all at once, each of them told twice")
    {
        for (FleetProcess &core : installation.cores) {
            core.process->signal(SIGTERM);
        }
        sleepMs(100);
        stopAll();
    }
    SUBCASE("the others are paused")
    {
        for (FleetProcess &core : installation.cores) {
            if (&core != leader) {
                core.process->signal(SIGSTOP);
            }
        }
        CHECK(stopInOrder(*leader) < GraceMs);
    }
    SUBCASE("the others are gone")
    {
        for (FleetProcess &core : installation.cores) {
            if (&core != leader) {
                core.process.reset();
            }
        }
        CHECK(stopInOrder(*leader) < GraceMs);
    }
    SUBCASE("the others come back in the middle of the stop")
    {
        for (FleetProcess &core : installation.cores) {
            if (&core != leader) {
                installation.restart(core);
            }
        }
        CHECK(stopInOrder(*leader) < GraceMs);
    }
    load.stop();
    checkNothingLost(load.callers());
    checkNothingLost(load.operators());
}

// Guards against a stop that answers calls with 503 although no other daemon could answer them.
TEST_CASE("the only core answers what it has read before it ends")
{
    FleetInstallation installation(FleetShape{.cores = 1, .entries = 1, .stopGraceMs = 4'000});
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    load.start();
    sleepMs(500);
    CHECK(stopInOrder(installation.core) < 4'000);
    const CallCounts operators = load.operators();
    load.stop();
    CHECK(operators.answered > 10);
    CHECK(operators.refused == 0);
    CHECK(operators.unknown == 0);
    CHECK(operators.cut == 0);
    checkNothingLost(load.callers());
}

// Guards against a lease that outlives a hand-over, and against an old offer of leadership that takes effect late.
TEST_CASE("no read goes back and no job is lost when a successor is paused around a hand-over")
{
    FleetInstallation installation(ThreeCores);
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    load.start();
    sleepMs(500);
    constexpr int Rounds = 6;
    Random random{testSeed()};
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        FleetProcess *leader = installation.awaitLeader();
        REQUIRE(leader != nullptr);
        FleetProcess &paused = round % 2 == 0 ? nextCore(installation, *leader) : otherCore(installation, *leader, nextCore(installation, *leader));
        leader->process->signal(SIGTERM);
        std::this_thread::sleep_for(std::chrono::microseconds(random.below(30'000)));
        paused.process->signal(SIGSTOP);
        CHECK(leader->process->waitForEnd(EndLimit) == 0);
        installation.start(*leader);
        CHECK(msUntil(
                  [&] {
                      return load.readOnce(*leader);
                  },
                  200,
                  ServiceLimit)
              < ServiceLimit.ms);
        paused.process->signal(SIGCONT);
        REQUIRE(installation.areAllReady());
        sleepMs(700);
    }
    load.stop();
    CHECK(load.operators().answered > 100);
    checkNothingLost(load.callers());
    checkNothingLost(load.operators());
}

// Guards against a leader whose other threads keep the leadership while its event loop stands still.
TEST_CASE("another core leads while the event loop of the leader stands still")
{
    FleetInstallation installation(ThreeCores);
    REQUIRE(installation.startAll());
    FleetLoad load(installation);
    REQUIRE(load.putFirstManifest());
    constexpr int Rounds = 3;
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        FleetProcess *leader = installation.awaitLeader();
        REQUIRE(leader != nullptr);
        blockEventLoop(installation, *leader);
        sleepMs(300);
        const auto read = [&] {
            return load.readOnce(nextCore(installation, *leader));
        };
        const std::int64_t readMs = msUntil(read, 200, ServiceLimit);
        CHECK(readMs < ServiceLimit.ms);
        const auto submit = [&] {
            return load.submitOnce(installation.entry);
        };
        const std::int64_t submitMs = msUntil(submit, 200, ServiceLimit);
        CHECK(submitMs < ServiceLimit.ms);
        MESSAGE("read after " << readMs << " ms, caller served after " << submitMs << " ms more");
        unblockEventLoop(installation, *leader);
        CHECK(eventually([&] {
            return installation.isReady(*leader) && load.readOnce(*leader) == 200;
        }));
        FleetProcess *next = installation.awaitLeader();
        CHECK(next != leader);
        CHECK(installation.areAllReady());
        sleepMs(500);
    }
}
