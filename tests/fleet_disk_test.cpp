/** @file fleet_disk_test.cpp Core daemons whose disk refuses, hangs or is in use, as real processes. */

#include "core/clock_func.h"
#include "fleet_installation.h"
#include "fleet_load.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <sstream>

using namespace Filbertlanding;

namespace {

constexpr Duration ReturnLimit{1'000}; ///< Between the end of a fault and a replica that takes part.
constexpr Duration RecoveryLimit{12'000}; ///< Between the last fault and a configuration that can be read and changed.
constexpr Duration CallLimit{1'000}; ///< For the answer of a control port whose replica does not run.
constexpr Duration NoticeLimit{2'000}; ///< Between the first write that a disk does not serve and the metric that says so.
constexpr Duration PollInterval{20};
constexpr FleetShape ThreeCores{.cores = 3, .entries = 1, .stopGraceMs = 4'000};

void sleepFor(Duration time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(time.ms, 0)));
}

/** Returns the time until a condition holds, or nothing at the limit. */
std::optional<Duration> timeUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint begin = steadyNow();
    while (!condition()) {
        if (steadyNow() - begin >= limit) {
            return std::nullopt;
        }
        sleepFor(PollInterval);
    }
    return steadyNow() - begin;
}

/** Three cores whose disks can be switched, beside callers, operators and readers. */
class FaultyDisks
{
public:
    FaultyDisks()
        : installation(ThreeCores)
        , load(installation)
    {
        this->installation.switchableDisks = true;
        REQUIRE(this->installation.startAll());
        REQUIRE(this->load.putFirstManifest());
        for (const FleetProcess &core : this->installation.cores) {
            this->processIds[&core] = core.process->id();
        }
    }

    /** Returns the core that leads. */
    FleetProcess &leader()
    {
        FleetProcess *found = this->installation.awaitLeader();
        REQUIRE(found != nullptr);
        return *found;
    }

    /** Returns the core that stands a number of places behind the leader. */
    FleetProcess &behindLeader(std::size_t places)
    {
        return this->behind(this->leader(), places);
    }

    FleetProcess &behind(const FleetProcess &core, std::size_t places)
    {
        const auto index = static_cast<std::size_t>(&core - this->installation.cores.data());
        return this->installation.cores[(index + places) % ThreeCores.cores];
    }

    /** Kills cores at once and starts them again. */
    void restart(const std::vector<FleetProcess *> &cores)
    {
        for (FleetProcess *core : cores) {
            if (core->process) {
                core->process->signal(SIGKILL);
            }
        }
        for (FleetProcess *core : cores) {
            this->installation.restart(*core);
            this->processIds[core] = core->process->id();
        }
    }

    /** Starts the successor of a core, which ends at the same moment. */
    void replace(FleetProcess &core)
    {
        this->installation.replaceHost(core);
        this->installation.startAgain(core);
        this->processIds[&core] = core.process->id();
    }

    /** Returns the condition of the replica that the metrics name; empty without an answer. */
    std::string conditionOf(const FleetProcess &core)
    {
        const HttpExchange metrics =
            this->installation.exchange(core, FleetInstallation::MetricsPort, {"GET", "/metrics", {}, {}, {}}, {.timeout = {500}, .freshConnection = true});
        for (const char *condition : {"opening", "running", "silent", "failed"}) {
            if (metrics.response.body.find("filbertlanding_replica{condition=\"" + std::string(condition) + "\"} 1") != std::string::npos) {
                return condition;
            }
        }
        return {};
    }

    /** Checks that a core says everywhere, while the fault lasts, that its replica does not run. */
    void checkSaysSo(const FleetProcess &core, const std::string &condition, const std::string &code)
    {
        CAPTURE(core.name);
        CAPTURE(condition);
        CHECK(timeUntil(
            [&] {
                return this->conditionOf(core) == condition;
            },
            NoticeLimit));
        CHECK(this->installation.get(core, FleetInstallation::ReadinessPort, "/") == 503);
        const std::string line = R"("replica":")" + condition + "\"";
        CHECK(timeUntil(
            [&] {
                this->checkRefuses(core);
                return this->hasLogLine(core, "call_not_leading", line, R"("replicaCode":")" + code + "\"");
            },
            NoticeLimit));
        CHECK(this->hasLogLine(core, "replica_changed", line, R"("code":")" + code + "\""));
    }

    /** Checks that the control port of a core answers at once, and that it acknowledges nothing. */
    void checkRefuses(const FleetProcess &core)
    {
        const TimePoint begin = steadyNow();
        const HttpExchange answer =
            this->installation.exchange(core, FleetInstallation::ControlPort, {"GET", "/config", {}, {}, {}}, {.timeout = CallLimit, .freshConnection = true});
        CHECK((steadyNow() - begin) < CallLimit);
        const bool isRefusedOrRedirected = answer.response.status == 503 || answer.response.status == 307;
        CHECK_MESSAGE(isRefusedOrRedirected, "status " << answer.response.status);
    }

    /** Checks that a core takes part soon after the end of its fault. */
    void checkReturns(const FleetProcess &core, TimePoint soundSince)
    {
        CAPTURE(core.name);
        const auto returned = timeUntil(
            [&] {
                return this->conditionOf(core) == "running" && this->installation.isReady(core);
            },
            ReturnLimit - (steadyNow() - soundSince));
        CHECK(returned);
        if (returned) {
            MESSAGE(core.name << " is back " << (steadyNow() - soundSince).ms << " ms after the fault");
        }
    }

    /** Checks that the manifest can be read at a core, or at the leader that it names. */
    void checkServes(const FleetProcess &core, TimePoint since)
    {
        CAPTURE(core.name);
        CHECK(timeUntil(
            [&] {
                return this->load.readOnce(core) == 200;
            },
            RecoveryLimit - (steadyNow() - since)));
    }

    /** Requires that no core has ended by itself: what follows would only fail for the same reason. */
    void requireAllLive()
    {
        for (const FleetProcess &core : this->installation.cores) {
            CAPTURE(core.name);
            const auto end = core.process->waitForEnd(Duration{0});
            REQUIRE_MESSAGE(!end, core.name << " ended with " << end.value_or(0));
            REQUIRE(core.process->id() == this->processIds[&core]);
        }
    }

    /** Checks that all cores take part, that the configuration can be read and changed, and that nothing acknowledged is lost. */
    void checkWhole(TimePoint soundSince)
    {
        for (const FleetProcess &core : this->installation.cores) {
            this->checkServes(core, soundSince);
            CHECK(this->installation.isReady(core));
        }
        CHECK(this->load.putManifest());
        CHECK(this->load.readOnce(this->installation.core) == 200);
        this->requireAllLive();
        CHECK(this->load.operators().stale == 0);
        CHECK(this->load.callers().lost == 0);
    }

    /** The disk of a core refuses or hangs for a time, while the others serve. */
    void playFault(FleetProcess &core, const std::string &fault, const std::string &condition, Duration length)
    {
        CAPTURE(fault);
        CAPTURE(core.name);
        const TimePoint begin = steadyNow();
        this->installation.setDiskFault(core, fault);
        this->checkSaysSo(core, condition, fault == "hang" ? "Ok" : "DiskFailed");
        this->checkServes(this->behind(core, 1), begin);
        this->checkServes(this->behind(core, 2), begin);
        sleepFor(length - (steadyNow() - begin));
        this->endFault(core);
    }

    /** A core starts while its disk refuses; it has been killed, with the other cores or alone. */
    void playStart(const std::vector<FleetProcess *> &killed, const std::string &fault, Duration length)
    {
        CAPTURE(fault);
        FleetProcess &core = *killed.front();
        this->installation.setDiskFault(core, fault);
        this->restart(killed);
        const TimePoint begin = steadyNow();
        this->checkSaysSo(core, "opening", "DiskFailed");
        this->checkServes(this->behind(core, 1), begin);
        this->checkServes(this->behind(core, 2), begin);
        sleepFor(length - (steadyNow() - begin));
        this->endFault(core);
    }

    /** Ends the fault of a disk and checks what follows. */
    void endFault(FleetProcess &core)
    {
        this->requireAllLive();
        this->installation.setDiskFault(core, "");
        const TimePoint soundSince = steadyNow();
        this->checkReturns(core, soundSince);
        this->checkWhole(soundSince);
    }

    /** Stops a core in order while its disk hangs, and starts it again on a sound one. */
    void playStop(FleetProcess &core)
    {
        CAPTURE(core.name);
        const TimePoint begin = steadyNow();
        core.process->signal(SIGTERM);
        const auto end = core.process->waitForEnd(RecoveryLimit);
        CHECK((steadyNow() - begin).ms < ThreeCores.stopGraceMs);
        REQUIRE(end);
        CHECK_MESSAGE(*end < 128, "ended by signal " << *end - 128);
        MESSAGE(core.name << " ended with " << *end << " after " << (steadyNow() - begin).ms << " ms");
        this->installation.setDiskFault(core, "");
        this->restart({&core});
        const TimePoint soundSince = steadyNow();
        REQUIRE(this->installation.areAllReady());
        this->checkWhole(soundSince);
    }

    bool hasLogLine(const FleetProcess &core, const std::string &event, const std::string &part, const std::string &otherPart = {}) const
    {
        std::istringstream lines(this->installation.log(core));
        for (std::string line; std::getline(lines, line);) {
            const auto has = [&line](const std::string &text) {
                return line.find(text) != std::string::npos;
            };
            if (has("\"event\":\"" + event + "\"") && has(part) && has(otherPart)) {
                return true;
            }
        }
        return false;
    }

    FleetInstallation installation;
    FleetLoad load;
    std::map<const FleetProcess *, pid_t> processIds; ///< Of the processes that the test started last.
};

/** Holds the lock of a data folder, as another process would. */
class FolderLock
{
public:
    explicit FolderLock(const std::filesystem::path &dataFolder)
        : file(::open((dataFolder / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600))
    {
        REQUIRE(::flock(this->file, LOCK_EX | LOCK_NB) == 0);
    }
    FolderLock(const FolderLock &) = delete;
    FolderLock &operator=(const FolderLock &) = delete;
    ~FolderLock()
    {
        ::close(this->file);
    }

private:
    int file;
};

} // namespace

// Guards against a core that ends by itself when a write or sync fails.
TEST_CASE("the disk of a core refuses while manifests are put")
{
    FaultyDisks disks;
    disks.load.start();
    SUBCASE("that of the leader with EIO, then that of a follower with ENOSPC")
    {
        disks.playFault(disks.leader(), "eio", "failed", {3'500});
        disks.playFault(disks.behindLeader(1), "enospc", "failed", {3'500});
    }
    SUBCASE("by hand: the other way round, and for a long time")
    {
        disks.playFault(disks.leader(), "enospc", "failed", {3'500});
        disks.playFault(disks.behindLeader(1), "eio", "failed", {3'500});
        disks.playFault(disks.leader(), "eio", "failed", {20'000});
        disks.playFault(disks.behindLeader(1), "eio", "failed", {60'000});
    }
}

// Guards against a core that gives up opening its data folder after some seconds.
TEST_CASE("a core starts while its disk refuses")
{
    FaultyDisks disks;
    disks.load.start();
    SUBCASE("it alone was killed, then all were")
    {
        disks.playStart({&disks.behindLeader(1)}, "eio", {3'500});
        FleetProcess &last = disks.leader();
        disks.playStart({&last, &disks.behind(last, 1), &disks.behind(last, 2)}, "enospc", {5'000});
    }
    SUBCASE("by hand: all were killed, for a long time")
    {
        FleetProcess &first = disks.leader();
        disks.playStart({&first, &disks.behind(first, 1), &disks.behind(first, 2)}, "eio", {12'000});
        disks.playStart({&disks.behindLeader(1)}, "enospc", {20'000});
        disks.playStart({&disks.behindLeader(1)}, "eio", {60'000});
    }
}

// Guards against a core that ends because the process before it still holds its data folder.
TEST_CASE("another process holds the lock of a data folder for 5 s")
{
    FaultyDisks disks;
    FleetProcess &core = disks.behindLeader(1);
    core.process.reset();
    TimePoint begin;
    {
        const FolderLock lock(disks.installation.dataPath(core));
        disks.restart({&core});
        begin = steadyNow();
        disks.checkSaysSo(core, "opening", "DataFolderInUse");
        disks.checkServes(disks.behind(core, 1), begin);
        sleepFor(Duration{5'000} - (steadyNow() - begin));
        disks.requireAllLive();
    }
    const TimePoint soundSince = steadyNow();
    disks.checkReturns(core, soundSince);
    disks.checkWhole(soundSince);
}

// Guards against a replication thread that waits for its disk while the rest of the core takes itself for a healthy one.
TEST_CASE("the disk of a core hangs while manifests are put")
{
    FaultyDisks disks;
    disks.load.start();
    SUBCASE("that of the leader, then that of a follower")
    {
        disks.playFault(disks.leader(), "hang", "silent", {3'500});
        disks.playFault(disks.behindLeader(1), "hang", "silent", {3'500});
    }
    SUBCASE("by hand: for a long time")
    {
        disks.playFault(disks.leader(), "hang", "silent", {12'000});
        disks.playFault(disks.behindLeader(1), "hang", "silent", {12'000});
    }
}

// Guards against a stop that waits for the disk.
TEST_CASE("a core ends within its grace period while its disk hangs")
{
    FaultyDisks disks;
    disks.load.start();
    for (const std::size_t places : {0, 1}) {
        CAPTURE(places);
        FleetProcess &core = disks.behindLeader(places);
        disks.installation.setDiskFault(core, "hang");
        sleepFor({1'000});
        disks.playStop(core);
    }
    FleetProcess &core = disks.behindLeader(1);
    disks.installation.setDiskFault(core, "hang");
    disks.restart({&core});
    sleepFor({1'000});
    disks.requireAllLive();
    disks.playStop(core);
}

// Guards against a quorum that is lost for good because one disk refuses while another core is replaced.
TEST_CASE("a core is replaced while the disk of another refuses")
{
    FaultyDisks disks;
    FleetProcess &faulty = disks.behindLeader(1);
    FleetProcess &replaced = disks.behind(faulty, 1);
    const TimePoint begin = steadyNow();
    disks.installation.setDiskFault(faulty, "eio");
    CHECK(disks.load.putManifest());
    sleepFor(Duration{1'000} - (steadyNow() - begin));
    disks.replace(replaced);
    sleepFor(Duration{3'500} - (steadyNow() - begin));
    disks.requireAllLive();
    disks.installation.setDiskFault(faulty, "");
    const TimePoint soundSince = steadyNow();
    CHECK(timeUntil(
        [&] {
            return disks.conditionOf(faulty) == "running";
        },
        ReturnLimit));
    disks.checkServes(faulty, soundSince);
    REQUIRE(disks.installation.areAllReady());
    disks.checkWhole(soundSince);
}

// Guards against votes, acknowledged entries or reads that a failed write leaves behind in memory.
TEST_CASE("disks refuse in turn while other cores are killed")
{
    FaultyDisks disks;
    disks.load.start();
    constexpr int Rounds = 2;
    for (int round = 0; round < Rounds; ++round) {
        for (FleetProcess &core : disks.installation.cores) {
            CAPTURE(round);
            CAPTURE(core.name);
            disks.installation.setDiskFault(core, round == 0 ? "eio" : "enospc");
            sleepFor({600});
            disks.restart({&disks.behind(core, 1)});
            sleepFor({600});
            disks.requireAllLive();
            disks.installation.setDiskFault(core, "");
        }
    }
    const TimePoint soundSince = steadyNow();
    for (const FleetProcess &core : disks.installation.cores) {
        disks.checkServes(core, soundSince);
    }
    REQUIRE(disks.installation.areAllReady());
    disks.checkWhole(soundSince);
}
