/** @file replica_reopen_test.cpp Replicas whose disk refuses, hangs or loses pages, and which take part again inside the same process. */

#include "memory_disk.h"
#include "replication/raft_func.h"
#include "runtime/replica_opening.h"
#include "runtime/replication_driver.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <mutex>
#include <thread>

using namespace Filbertlanding;

namespace {

constexpr std::chrono::milliseconds PollInterval{5};
constexpr Duration RecoveryBound{1'000}; ///< A replica takes part again within this time after its disk is sound.
constexpr Duration SilenceLimit{300};
constexpr Duration WaitBound{10'000}; ///< For what has no bound of its own, on a busy machine.

template<class Condition>
bool waitFor(Condition condition, Duration bound = WaitBound)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(bound.ms);
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(PollInterval);
    }
    return condition();
}

/** The only voter of an installation, on a folder whose disk refuses or hangs on demand. */
class FaultyReplica
{
public:
    FaultyReplica()
        : folder(std::filesystem::temp_directory_path() / ("replica-reopen-" + std::to_string(::getpid())))
    {
        std::filesystem::remove_all(this->folder);
    }

    ~FaultyReplica()
    {
        this->isRefusing = false;
        this->isHanging = false;
        this->driver.stop();
        std::filesystem::remove_all(this->folder);
    }

    FaultyReplica(const FaultyReplica &) = delete;
    FaultyReplica &operator=(const FaultyReplica &) = delete;

    void start()
    {
        ReplicationConfig config;
        config.raft.self.daemon = "a";
        config.raft.bootstrap.voters = {{"a", FirstIncarnation}};
        config.raft.admitsNewVoters = true;
        config.raft.electionTimeoutMin = {50};
        config.raft.electionTimeoutMax = {100};
        config.dataFolder = this->folder.string();
        config.votesAtOnce = true;
        config.files = this->files();
        ReplicationHooks hooks;
        hooks.send = [](const DaemonName &, const RaftMessage &) {};
        hooks.install = [](const Snapshot &) {};
        hooks.apply = [this](const std::vector<LogEntry> &entries) {
            this->apply(entries);
        };
        hooks.statusChanged = [](const ReplicationStatus &) {};
        hooks.snapshotWanted = [](std::uint64_t) {};
        hooks.synced = [](std::int64_t) {};
        hooks.failed = [this](ResultCode code) {
            this->lastFailure = code;
            ++this->failures;
        };
        hooks.opened = [this](const ReplicationStart &start) {
            const std::lock_guard guard(this->mutex);
            this->applied.clear();
            this->incarnation = start.incarnation;
        };
        this->driver.startInBackground(std::move(config), std::move(hooks));
    }

    bool isIn(ReplicaCondition condition) const
    {
        return this->driver.health(SilenceLimit).condition == condition;
    }

    bool leads() const
    {
        return this->driver.leaseEnd() != TimePoint();
    }

    /** Proposes a command without a wait. */
    void propose(const std::string &payload)
    {
        this->driver.propose(payload, [](const ProposedEntry &) {});
    }

    bool hasApplied(const std::string &payload)
    {
        const std::lock_guard guard(this->mutex);
        return std::find(this->applied.begin(), this->applied.end(), payload) != this->applied.end();
    }

    /** Returns the outcome of a read of the log. */
    ResultCode read()
    {
        std::promise<ResultCode> outcome;
        this->driver.read([&outcome](const ReadReady &ready) {
            outcome.set_value(ready.code);
        });
        return outcome.get_future().get();
    }

    std::filesystem::path folder;
    ReplicationDriver driver;
    std::atomic<bool> isRefusing{false};
    std::atomic<bool> isHanging{false};
    std::atomic<bool> isApplyFailing{false};
    std::atomic<int> failures{0};
    std::atomic<ResultCode> lastFailure{ResultCode::Ok};
    std::atomic<std::uint64_t> incarnation{0};

private:
    FileFunctions files()
    {
        FileFunctions faulty = systemFiles();
        const auto system = systemFiles();
        faulty.write = [this, system](int file, std::string_view data) {
            return this->passes() ? system.write(file, data) : std::nullopt;
        };
        faulty.sync = [this, system](int file) {
            return this->passes() && system.sync(file);
        };
        return faulty;
    }

    bool passes() const
    {
        while (this->isHanging) {
            std::this_thread::sleep_for(PollInterval);
        }
        return !this->isRefusing;
    }

    void apply(const std::vector<LogEntry> &entries)
    {
        if (this->isApplyFailing.exchange(false)) {
            throw std::bad_alloc();
        }
        const std::lock_guard guard(this->mutex);
        for (const LogEntry &entry : entries) {
            this->applied.push_back(entry.payload);
        }
    }

    std::mutex mutex;
    std::vector<std::string> applied;
};

} // namespace

TEST_CASE("A replica outlives the faults of its disk")
{
    FaultyReplica replica;

    SUBCASE("a disk that refuses from the start is tried again")
    {
        replica.isRefusing = true;
        replica.start();
        CHECK(waitFor([&replica] {
            return replica.driver.health(SilenceLimit).code == ResultCode::DiskFailed;
        }));
        CHECK(replica.isIn(ReplicaCondition::Opening));
        CHECK(replica.read() == ResultCode::NoQuorum);
        replica.isRefusing = false;
        CHECK(waitFor(
            [&replica] {
                return replica.isIn(ReplicaCondition::Running);
            },
            RecoveryBound));
        CHECK(replica.incarnation == FirstIncarnation);
        CHECK_FALSE(std::filesystem::exists(replica.folder / "damaged-2"));
    }

    SUBCASE("a write that is refused")
    {
        replica.start();
        REQUIRE(waitFor([&replica] {
            return replica.leads();
        }));
        replica.propose("before");
        REQUIRE(waitFor([&replica] {
            return replica.hasApplied("before");
        }));
        replica.isRefusing = true;
        replica.propose("refused");
        REQUIRE(waitFor([&replica] {
            return replica.failures == 1;
        }));

        SUBCASE("ends the leadership, and nothing is acknowledged")
        {
            CHECK(replica.isIn(ReplicaCondition::Failed));
            CHECK(replica.lastFailure == ResultCode::DiskFailed);
            CHECK_FALSE(replica.leads());
            CHECK(replica.read() == ResultCode::NoQuorum);
            CHECK_FALSE(replica.hasApplied("refused"));
            std::this_thread::sleep_for(std::chrono::milliseconds(RecoveryBound.ms));
            CHECK(replica.isIn(ReplicaCondition::Failed));
        }
        SUBCASE("is forgotten once the disk is sound, and what was accepted is applied again")
        {
            replica.isRefusing = false;
            CHECK(waitFor(
                [&replica] {
                    return replica.isIn(ReplicaCondition::Running);
                },
                RecoveryBound));
            CHECK(waitFor([&replica] {
                return replica.leads() && replica.hasApplied("before");
            }));
            replica.propose("after");
            CHECK(waitFor([&replica] {
                return replica.hasApplied("after");
            }));
            CHECK(replica.read() == ResultCode::Ok);
            CHECK(replica.incarnation == FirstIncarnation);
        }
        SUBCASE("and a folder that is lost meanwhile has another incarnation")
        {
            // Guards against a second vote under the number of the lost folder.
            std::filesystem::remove_all(replica.folder);
            replica.isRefusing = false;
            CHECK(waitFor([&replica] {
                return replica.incarnation > FirstIncarnation;
            }));
        }
    }

    SUBCASE("a sync that hangs")
    {
        replica.start();
        REQUIRE(waitFor([&replica] {
            return replica.leads();
        }));
        replica.isHanging = true;
        replica.propose("late");
        CHECK(waitFor([&replica] {
            return replica.isIn(ReplicaCondition::Silent);
        }));

        SUBCASE("does not keep the process from its end")
        {
            CHECK_FALSE(replica.driver.stop(SilenceLimit));
        }
        SUBCASE("leaves a replica that runs on after it")
        {
            replica.isHanging = false;
            CHECK(waitFor(
                [&replica] {
                    return replica.isIn(ReplicaCondition::Running) && replica.hasApplied("late");
                },
                RecoveryBound));
            CHECK(replica.failures == 0);
        }
    }

    SUBCASE("an exception on its thread starts it anew from the disk")
    {
        replica.start();
        REQUIRE(waitFor([&replica] {
            return replica.leads();
        }));
        replica.isApplyFailing = true;
        replica.propose("thrown");
        CHECK(waitFor([&replica] {
            return replica.failures == 1;
        }));
        CHECK(replica.lastFailure == ResultCode::Internal);
        CHECK(waitFor([&replica] {
            return replica.hasApplied("thrown");
        }));
    }
}

TEST_CASE("What was acknowledged after a failed sync survives a loss of power")
{
    // Guards against records that are read back from pages that the failed sync has left unwritten.
    constexpr int Operations = 60;
    for (int failAfter = 0; failAfter < Operations; ++failAfter) {
        CAPTURE(failAfter);
        MemoryDisk disk;
        disk.losesPagesOfFailedSync = true;
        disk.failOnce = true;
        ReplicationConfig config;
        config.raft.self.daemon = "a";
        config.raft.bootstrap.voters = {{"a", FirstIncarnation}};
        config.dataFolder = "data";
        config.votesAtOnce = true;
        config.files = disk.functions();
        OpenedReplica replica = openReplica(config, std::nullopt);
        REQUIRE(replica.start.code == ResultCode::Ok);
        disk.failAfter = failAfter;
        std::uint64_t acknowledged = 0;
        for (std::uint64_t index = 1; index <= 20; ++index) {
            RaftActions actions;
            actions.append.push_back({index, 1, EntryKind::Command, "entry " + std::to_string(index)});
            actions.persistHardState = HardState{1, std::nullopt, acknowledged};
            if (persistActions(replica.folder, actions) != ResultCode::Ok) {
                const EarlierFailure failure{replica.folder.failedBytes};
                replica.folder = {};
                replica = openReplica(config, failure);
                REQUIRE(replica.start.code == ResultCode::Ok);
                REQUIRE(lastLogIndex(replica.raft) >= acknowledged);
                index = lastLogIndex(replica.raft);
            }
            acknowledged = index;
        }
        Random random{static_cast<std::uint64_t>(failAfter)};
        replica.folder = {};
        disk.losePower(random);
        replica = openReplica(config, std::nullopt);
        REQUIRE(replica.start.code == ResultCode::Ok);
        CHECK(replica.start.setAside.empty());
        CHECK(lastLogIndex(replica.raft) >= acknowledged);
    }
}
