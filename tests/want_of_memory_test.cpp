/** @file want_of_memory_test.cpp A data folder and a replica while the process, or the replication thread, finds no memory. */

#include "failing_allocations.h"
#include "runtime/replication_driver.h"
#include "storage/data_folder.h"

#include <doctest/doctest.h>

#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <new>
#include <thread>

using namespace Filbertlanding;

namespace {

constexpr std::chrono::milliseconds PollInterval{5};
constexpr std::chrono::milliseconds ShortageTime{500};
constexpr std::chrono::milliseconds RecoveryBound{1'000}; ///< A replica takes part again within this time after memory is back.
constexpr std::chrono::seconds WaitBound{10}; ///< For what has no bound of its own, on a busy machine.

template<class Condition>
bool waitFor(Condition condition, std::chrono::milliseconds bound = WaitBound)
{
    const auto deadline = std::chrono::steady_clock::now() + bound;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(PollInterval);
    }
    return condition();
}

/** A folder that is removed at the end. */
struct TestFolder {
    TestFolder()
        : path(std::filesystem::temp_directory_path() / ("want-of-memory-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(this->path);
    }
    TestFolder(const TestFolder &) = delete;
    TestFolder &operator=(const TestFolder &) = delete;
    ~TestFolder()
    {
        std::filesystem::remove_all(this->path);
    }

    std::filesystem::path path;
};

/** Returns the lowest free descriptor, which rises with each one that is not closed. */
int nextDescriptor()
{
    const int file = ::dup(STDIN_FILENO);
    ::close(file);
    return file;
}

ReplicationConfig configFor(const std::filesystem::path &folder)
{
    ReplicationConfig config;
    config.raft.self.daemon = "a";
    config.raft.bootstrap.voters = {{"a", FirstIncarnation}};
    config.raft.electionTimeoutMin = {50};
    config.raft.electionTimeoutMax = {100};
    config.dataFolder = folder.string();
    config.votesAtOnce = true;
    return config;
}

ReplicationHooks emptyHooks()
{
    ReplicationHooks hooks;
    hooks.send = [](const DaemonName &, const RaftMessage &) {};
    hooks.install = [](const Snapshot &) {};
    hooks.apply = [](const std::vector<LogEntry> &) {};
    hooks.statusChanged = [](const ReplicationStatus &) {};
    hooks.snapshotWanted = [](std::uint64_t) {};
    hooks.synced = [](std::int64_t) {};
    hooks.failed = [](ResultCode) {};
    hooks.opened = [](const ReplicationStart &) {};
    return hooks;
}

bool isRunning(const ReplicationDriver &driver)
{
    return driver.health({10'000}).condition == ReplicaCondition::Running && driver.leaseEnd() != TimePoint();
}

ino_t logFileOf(const std::filesystem::path &folder)
{
    struct stat status {
    };
    ::stat((folder / "current" / "raft.log").c_str(), &status);
    return status.st_ino;
}

} // namespace

// Guards against a sound data folder that is given up, and against a descriptor or a process that is lost on the way.
TEST_CASE("A data folder that is opened without memory stays as it is")
{
    const TestFolder folder;
    {
        DataFolder first = openDataFolder(systemFiles(), folder.path.string(), 1);
        RaftActions actions;
        actions.persistHardState = HardState{1, VoterId{"a", 1}, 0};
        actions.append.push_back({1, 1, EntryKind::Command, std::string(100'000, 'x')});
        REQUIRE(persistActions(first, actions) == ResultCode::Ok);
    }
    const int descriptor = nextDescriptor();
    bool isWhole = false;
    int failures = 0;
    for (long allocations = 0; !isWhole; ++allocations) {
        allocationsLeft = allocations;
        try {
            const DataFolder opened = openDataFolder(systemFiles(), folder.path.string(), 777);
            isWhole = allocationsLeft >= 0;
            allocationsLeft = -1;
            CHECK((opened.code != ResultCode::Ok || opened.incarnation == 1));
        } catch (const std::bad_alloc &) {
            allocationsLeft = -1;
            ++failures;
        }
        REQUIRE_FALSE(std::filesystem::exists(folder.path / "damaged-1"));
        REQUIRE(nextDescriptor() == descriptor);
    }
    CHECK(failures > 10);
}

// Guards against a replica that is never opened again, since the wait for the next attempt found no memory either.
TEST_CASE("A replica takes part again once memory is back")
{
    const TestFolder folder;
    ReplicationDriver driver;
    ReplicationHooks hooks = emptyHooks();
    const auto starve = [] {
        isStarvedThread = true;
        isStarving = true;
    };
    SUBCASE("when it was short while the replica ran")
    {
        driver.startInBackground(configFor(folder.path), hooks);
        REQUIRE(waitFor([&driver] {
            return isRunning(driver);
        }));
        driver.inspect([starve](const ReplicationDetail &) {
            starve();
        });
        driver.propose("without memory", [](const ProposedEntry &) {});
    }
    SUBCASE("when it was short as the replica had failed")
    {
        hooks.failed = [starve](ResultCode) {
            starve();
        };
        driver.startInBackground(configFor(folder.path), std::move(hooks));
        REQUIRE(waitFor([&driver] {
            return isRunning(driver);
        }));
        driver.restart(ResultCode::DiskFailed);
    }
    REQUIRE(waitFor([] {
        return isStarving.load();
    }));
    std::this_thread::sleep_for(ShortageTime);
    isStarving = false;
    CHECK(waitFor(
        [&driver] {
            return isRunning(driver);
        },
        RecoveryBound));
}

// Guards against records that are trusted although the sync that failed at the first attempt has left their pages unwritten.
TEST_CASE("A sync that fails while a folder is opened lets the next attempt write the log anew")
{
    const TestFolder folder;
    {
        ReplicationDriver first;
        first.startInBackground(configFor(folder.path), emptyHooks());
        REQUIRE(waitFor([&first] {
            return isRunning(first);
        }));
    }
    const ino_t before = logFileOf(folder.path);
    std::atomic<int> syncs{0};
    ReplicationConfig config = configFor(folder.path);
    config.files.sync = [&syncs, sync = systemFiles().sync](int file) {
        return ++syncs > 1 && sync(file);
    };
    ReplicationDriver driver;
    driver.startInBackground(std::move(config), emptyHooks());
    REQUIRE(waitFor([&driver] {
        return isRunning(driver);
    }));
    CHECK(logFileOf(folder.path) != before);
}

// Guards against a process that ends since a repeated start finds the thread already there.
TEST_CASE("A start that is repeated finds the replica running")
{
    const TestFolder folder;
    ReplicationDriver driver;
    driver.startInBackground(configFor(folder.path), emptyHooks());
    driver.startInBackground(configFor(folder.path), emptyHooks());
    CHECK(waitFor([&driver] {
        return isRunning(driver);
    }));
}
