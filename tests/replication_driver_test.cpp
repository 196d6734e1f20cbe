/** @file replication_driver_test.cpp Tests of the start of the replicated log on a real folder. */

#include "runtime/replication_driver.h"
#include "storage/file_functions.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <filesystem>
#include <thread>

using namespace Filbertlanding;

namespace {

constexpr std::chrono::milliseconds ObstacleTime{500}; ///< Time after which the data folder can be opened.

ReplicationStart startIn(ReplicationDriver &driver, const std::filesystem::path &folder)
{
    ReplicationConfig config;
    config.raft.self.daemon = "a";
    config.raft.bootstrap.voters = {{"a", FirstIncarnation}};
    config.dataFolder = folder.string();
    config.votesAtOnce = true;
    ReplicationHooks hooks;
    hooks.send = [](const DaemonName &, const RaftMessage &) {};
    hooks.install = [](const Snapshot &) {};
    hooks.apply = [](const std::vector<LogEntry> &) {};
    hooks.statusChanged = [](const ReplicationStatus &) {};
    hooks.snapshotWanted = [](std::uint64_t) {};
    hooks.synced = [](std::int64_t) {};
    hooks.failed = [](ResultCode) {};
    return driver.start(std::move(config), std::move(hooks));
}

} // namespace

TEST_CASE("A data folder that can be opened a moment later does not end the daemon")
{
    // Guards against a restart loop while a disk refuses writes or a predecessor still stops.
    const auto parent = std::filesystem::temp_directory_path() / ("replication-driver-" + std::to_string(::getpid()));
    const auto folder = parent / "data";
    ReplicationDriver driver;
    ReplicationStart started;

    SUBCASE("a predecessor still has it open")
    {
        std::filesystem::create_directories(folder);
        const FileFunctions files = systemFiles();
        const auto lock = files.lock((folder / "lock").string());
        REQUIRE(lock);
        std::thread predecessor([&files, file = *lock] {
            std::this_thread::sleep_for(ObstacleTime);
            files.close(file);
        });
        started = startIn(driver, folder);
        predecessor.join();
    }

    SUBCASE("the disk refuses to create it")
    {
        std::thread disk([&parent] {
            std::this_thread::sleep_for(ObstacleTime);
            std::filesystem::create_directories(parent);
        });
        started = startIn(driver, folder);
        disk.join();
    }

    CHECK(started.code == ResultCode::Ok);
    driver.stop();
    std::filesystem::remove_all(parent);
}
