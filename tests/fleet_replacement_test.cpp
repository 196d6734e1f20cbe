/** @file fleet_replacement_test.cpp Core daemons that are replaced by daemons on new hosts, one at a time, as real processes. */

#include "core/clock_func.h"
#include "fleet_installation.h"
#include "fleet_load.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace Filbertlanding;

namespace {

constexpr std::int64_t CatchUpMs = 4'200; ///< A replaced core stops counting as lost 4 s after the start of its successor.
constexpr std::int64_t RestartMs = 1'500;
constexpr Duration RecoveryLimit{12'000};
constexpr FleetShape ThreeCores{.cores = 3, .entries = 2};

/** The cores of an installation, one of which is replaced after the other. */
class ReplacedCores
{
public:
    explicit ReplacedCores(FleetShape shape = ThreeCores)
        : installation(shape)
        , load(installation)
    {
        REQUIRE(this->installation.startAll());
        REQUIRE(this->load.putFirstManifest());
        const FleetProcess *leader = this->installation.awaitLeader();
        REQUIRE(leader != nullptr);
        this->turn = static_cast<std::size_t>(leader - this->installation.cores.data());
    }

    /** Returns the core that is replaced next: first the leader, then those of the other zones in turn. */
    FleetProcess &next()
    {
        return this->installation.cores[this->turn++ % ThreeCores.cores];
    }

    /** Starts the successor of a core, which goes on. Returns the process of the old one. */
    std::unique_ptr<ChildProcess> startSuccessor(FleetProcess &core)
    {
        auto old = this->installation.replaceHost(core);
        this->installation.startAgain(core);
        this->since = steadyNow();
        return old;
    }

    /** Starts the successor of a core, which ends at the same moment. */
    void replace(FleetProcess &core, int endSignal = SIGKILL)
    {
        const auto old = this->startSuccessor(core);
        old->signal(endSignal);
        old->waitForEnd(RecoveryLimit);
    }

    /** Kills these daemons at once and starts them again, one of them without its disk. */
    void restart(const std::vector<FleetProcess *> &daemons, const FleetProcess *withoutDisk = nullptr)
    {
        for (FleetProcess *daemon : daemons) {
            daemon->process->signal(SIGKILL);
        }
        for (FleetProcess *daemon : daemons) {
            daemon->process.reset();
            if (daemon == withoutDisk) {
                std::filesystem::remove_all(this->installation.dataPath(*daemon));
                std::filesystem::create_directories(this->installation.dataPath(*daemon));
            }
            this->installation.startAgain(*daemon);
        }
        this->since = steadyNow();
    }

    /** Waits until this time after the last start of a successor. */
    void waitUntil(std::int64_t ms) const
    {
        const std::int64_t left = ms - (steadyNow() - this->since).ms;
        std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(left, 0)));
    }

    /** Checks that some core serves the manifest in time, and no older one, and that operators and callers are served. */
    void checkServed()
    {
        const TimePoint begin = steadyNow();
        bool isRead = false;
        while (!isRead && steadyNow() - begin < RecoveryLimit) {
            for (const FleetProcess &core : this->installation.cores) {
                isRead = isRead || this->load.readOnce(core) == 200;
            }
        }
        const std::int64_t readMs = (steadyNow() - begin).ms;
        REQUIRE(isRead);
        CHECK(this->load.operators().stale == 0);
        CHECK(this->load.putManifest());
        for (const FleetProcess &entry : this->installation.entries) {
            CHECK(eventually(
                [&] {
                    return this->load.submitOnce(entry) == 200;
                },
                RecoveryLimit));
        }
        MESSAGE("read after " << readMs << " ms, newer manifest after " << (steadyNow() - begin).ms << " ms");
    }

    /** Replaces cores in turn, each as soon as the one before stops counting as lost. */
    void replaceInRow(int count, int endSignal)
    {
        for (int i = 0; i < count; ++i) {
            CAPTURE(i);
            this->waitUntil(CatchUpMs);
            this->replace(this->next(), endSignal);
            this->checkServed();
        }
    }

    FleetInstallation installation;
    FleetLoad load;
    std::size_t turn = 0;
    TimePoint since; ///< Last start of a successor, or of all daemons.
};

} // namespace

// Guards against voters that still name two cores that are gone: what remains is no majority, for good.
TEST_CASE("the configuration can be read while cores are replaced one after the other")
{
    ReplacedCores cores;
    cores.replaceInRow(4, SIGKILL);
}

TEST_CASE("the configuration can be read while cores are replaced in a long row")
{
    ReplacedCores cores;
    SUBCASE("they end at once")
    {
        cores.replaceInRow(8, SIGKILL);
    }
    SUBCASE("they end in order")
    {
        cores.replaceInRow(8, SIGTERM);
    }
}

// Guards against a successor that waits for the end of the core that it stands in for.
TEST_CASE("a core and that of the next zone end at once when the successor of the first has caught up")
{
    ReplacedCores cores;
    for (int round = 0; round < 2; ++round) {
        CAPTURE(round);
        cores.waitUntil(CatchUpMs);
        auto old = cores.startSuccessor(cores.next());
        cores.waitUntil(CatchUpMs);
        old.reset();
        cores.replace(cores.next());
        cores.checkServed();
    }
}

// Guards against a change of voters that a restart begins anew.
TEST_CASE("a core is replaced after all were killed in the middle of the replacement of another")
{
    ReplacedCores cores;
    cores.replace(cores.next());
    cores.waitUntil(RestartMs);
    cores.restart(cores.installation.daemons());
    cores.waitUntil(CatchUpMs);
    cores.replace(cores.next());
    cores.checkServed();
}

// Guards against a disk that is needed although a replaced core no longer counts as lost.
TEST_CASE("a core loses its disk and all are killed when the successor of another has caught up")
{
    ReplacedCores cores;
    cores.replace(cores.next());
    cores.waitUntil(CatchUpMs);
    cores.restart(cores.installation.daemons(), &cores.next());
    cores.checkServed();
}

// Guards against a paused core that loses its vote and comes back when another one is replaced.
TEST_CASE("a core is replaced after another one was paused beside a core that waits")
{
    ReplacedCores cores(FleetShape{.cores = 4, .entries = 2});
    for (const int pauseMs : {2'000, 6'000}) {
        CAPTURE(pauseMs);
        cores.waitUntil(CatchUpMs);
        FleetProcess &paused = cores.next();
        paused.process->signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
        paused.process->signal(SIGCONT);
        cores.since = steadyNow();
        cores.waitUntil(CatchUpMs);
        cores.replace(cores.next());
        cores.checkServed();
    }
}
