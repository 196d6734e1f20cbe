/** @file file_mode_test.cpp Tests that no file or folder of a store, which may hold API keys, can be read by anyone but its owner. */

#include "storage/data_folder.h"
#include "storage/file_functions.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>

#include <sys/stat.h>

using namespace Filbertlanding;

namespace {

constexpr mode_t PrivateFile = 0600;
constexpr mode_t PrivateFolder = 0700;

/** A folder of its own for a test, removed at its end. */
struct TestFolder {
    std::string path = (std::filesystem::temp_directory_path() / "filbertlanding-modes-XXXXXX").string();
    mode_t previousMask = ::umask(0); ///< Nothing but the given modes restricts the files.

    TestFolder()
    {
        REQUIRE(::mkdtemp(this->path.data()) != nullptr);
    }
    TestFolder(const TestFolder &) = delete;
    TestFolder &operator=(const TestFolder &) = delete;
    ~TestFolder()
    {
        ::umask(this->previousMask);
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
};

mode_t modeOf(const std::string &path)
{
    struct stat status {
    };
    REQUIRE(::stat(path.c_str(), &status) == 0);
    return status.st_mode & ~S_IFMT;
}

/** Writes a log, a ledger and a snapshot. */
void fill(const std::string &path)
{
    DataFolder folder = openDataFolder(systemFiles(), path, 1);
    REQUIRE(folder.code == ResultCode::Ok);
    RaftActions actions;
    actions.persistHardState = HardState{1, VoterId{"a", 1}, 0};
    actions.append = {{1, 1, EntryKind::Command, "manifest with keys"}, {2, 1, EntryKind::Command, "more"}};
    REQUIRE(persistActions(folder, actions) == ResultCode::Ok);
    RaftActions compaction;
    compaction.persistSnapshot = Snapshot{1, 1, Membership{{{"a", 1}}, {}, {}}, "state with keys"};
    REQUIRE(persistActions(folder, compaction) == ResultCode::Ok);
    REQUIRE(folder.ledger->append("record") == ResultCode::Ok);
}

std::size_t checkPrivate(const std::string &path)
{
    std::size_t files = 0;
    CHECK_MESSAGE(modeOf(path) == PrivateFolder, path);
    for (const auto &item : std::filesystem::recursive_directory_iterator(path)) {
        const std::string name = item.path().string();
        CHECK_MESSAGE(modeOf(name) == (item.is_directory() ? PrivateFolder : PrivateFile), name);
        files += item.is_regular_file() ? 1 : 0;
    }
    return files;
}

/** Gives a data folder the modes with which earlier versions created it. */
void widen(const std::string &path)
{
    REQUIRE(::chmod(path.c_str(), 0750) == 0);
    for (const auto &item : std::filesystem::recursive_directory_iterator(path)) {
        REQUIRE(::chmod(item.path().c_str(), item.is_directory() ? 0750 : 0640) == 0);
    }
}

} // namespace

TEST_CASE("A new data folder is private")
{
    // Guards against API keys that other users of the host read from the log or a snapshot.
    const TestFolder test;
    const std::string path = test.path + "/data";
    fill(path);
    CHECK(checkPrivate(path) >= 5);
}

TEST_CASE("A data folder of an earlier version becomes private when it is opened")
{
    // Guards against an upgrade after which keys are appended to a log that the group can read.
    const TestFolder test;
    const std::string path = test.path + "/data";
    fill(path);
    widen(path);
    {
        const DataFolder folder = openDataFolder(systemFiles(), path, 2);
        REQUIRE(folder.code == ResultCode::Ok);
        CHECK(folder.incarnation == 1);
        REQUIRE(folder.persisted.snapshot);
        CHECK(folder.persisted.snapshot->state == "state with keys");
        CHECK(folder.persisted.log.size() == 1);
    }
    CHECK(checkPrivate(path) >= 5);
}

TEST_CASE("The folder that holds the data folder keeps its mode")
{
    // Guards against a daemon that takes a shared folder, such as /var/lib, from everyone else.
    const TestFolder test;
    REQUIRE(::chmod(test.path.c_str(), 0755) == 0);
    fill(test.path + "/data");
    CHECK(modeOf(test.path) == 0755);
}
