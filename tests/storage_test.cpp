/** @file storage_test.cpp Journals, log, snapshots and data folder under torn writes, damage, loss of power and failing disks. */

#include "memory_disk.h"
#include "storage/data_folder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <random>

using namespace Filbertlanding;

namespace {

const Membership Voters{{{"a", 1}}, {}, {}}; ///< A snapshot without voters counts as damaged.

RaftActions appendActions(std::uint64_t index, std::uint64_t term, const std::string &payload)
{
    RaftActions actions;
    actions.persistHardState = HardState{term, VoterId{"a", 1}, index - 1};
    actions.append = {{index, term, EntryKind::Command, payload}};
    return actions;
}

RaftActions snapshotActions(std::uint64_t index, std::uint64_t term)
{
    RaftActions actions;
    actions.persistSnapshot = Snapshot{index, term, Voters, "state"};
    return actions;
}

/** Writes a log of some entries into a new data folder and closes it. */
void writeFolder(MemoryDisk &disk, std::uint64_t entries)
{
    DataFolder folder = openDataFolder(disk.functions(), "data", 1);
    REQUIRE(folder.code == ResultCode::Ok);
    for (std::uint64_t index = 1; index <= entries; ++index) {
        REQUIRE(persistActions(folder, appendActions(index, 1, "payload")) == ResultCode::Ok);
    }
}

std::string &fileOn(MemoryDisk &disk, const std::string &name)
{
    return disk.names.at("data/current/" + name)->data;
}

bool isPrefixOf(const std::vector<std::string> &records, const std::vector<std::string> &all)
{
    return records.size() <= all.size() && std::equal(records.begin(), records.end(), all.begin());
}

std::string journalOf(const std::vector<std::string> &records)
{
    std::string bytes = journalHeader();
    for (const auto &record : records) {
        bytes += encodeRecord(record);
    }
    return bytes;
}

/** Applies actions to the persisted state as a plain model. */
void applyToModel(PersistedState &model, const RaftActions &actions)
{
    if (actions.persistHardState) {
        model.hardState = *actions.persistHardState;
    }
    if (actions.truncateFrom) {
        std::erase_if(model.log, [&actions](const LogEntry &entry) {
            return entry.index >= *actions.truncateFrom;
        });
    }
    model.log.insert(model.log.end(), actions.append.begin(), actions.append.end());
    if (!actions.persistSnapshot) {
        return;
    }
    model.snapshot = actions.persistSnapshot;
    std::erase_if(model.log, [&actions](const LogEntry &entry) {
        return entry.index <= actions.persistSnapshot->index;
    });
}

/** Draws the next actions that fit to a state. */
RaftActions drawActions(const PersistedState &model, Random &random)
{
    const std::uint64_t base = model.snapshot ? model.snapshot->index : 0;
    const std::uint64_t last = base + model.log.size();
    const std::uint64_t kind = random.below(5);
    if (kind == 0 && last > base) {
        const std::uint64_t index = base + 1 + random.below(last - base);
        return snapshotActions(index, model.log[index - base - 1].term);
    }
    const std::uint64_t term = model.hardState.term + random.below(2);
    if (kind == 1 && last > base) {
        const std::uint64_t from = base + 1 + random.below(last - base);
        RaftActions actions = appendActions(from, term, "replacement" + std::to_string(random.below(1000)));
        actions.truncateFrom = from;
        return actions;
    }
    return appendActions(last + 1, term, std::string(random.below(50), 'x'));
}

} // namespace

TEST_CASE("A torn last record is cut, at every length")
{
    MemoryDisk disk;
    writeFolder(disk, 3);
    const std::string whole = fileOn(disk, "raft.log");
    const std::size_t lastStart = decodeJournal(whole.substr(0, whole.size() - 1)).validBytes;
    for (std::size_t size = lastStart; size < whole.size(); ++size) {
        fileOn(disk, "raft.log") = whole.substr(0, size);
        DataFolder folder = openDataFolder(disk.functions(), "data", 77);
        REQUIRE(folder.code == ResultCode::Ok);
        CHECK(folder.incarnation == 1);
        CHECK(folder.persisted.log.size() == 2);
        // Guards against a cut that later appends would turn into a damaged record in the middle.
        CHECK(persistActions(folder, appendActions(3, 2, "again")) == ResultCode::Ok);
        folder = {};
        CHECK(openDataFolder(disk.functions(), "data", 77).persisted.log.size() == 3);
    }
}

TEST_CASE("Damaged data counts as a lost disk")
{
    MemoryDisk disk;
    writeFolder(disk, 5);

    SUBCASE("a damaged record with valid ones after it")
    {
        fileOn(disk, "raft.log")[fileOn(disk, "raft.log").size() / 2] ^= 1;
    }
    SUBCASE("a damaged file header")
    {
        fileOn(disk, "raft.log")[0] ^= 1;
    }
    SUBCASE("a missing log")
    {
        disk.names.erase("data/current/raft.log");
    }
    SUBCASE("a missing ledger")
    {
        disk.names.erase("data/current/ledger.journal");
    }
    SUBCASE("a missing incarnation")
    {
        disk.names.erase("data/current/incarnation");
    }
    SUBCASE("a damaged snapshot")
    {
        {
            DataFolder folder = openDataFolder(disk.functions(), "data", 77);
            REQUIRE(persistActions(folder, snapshotActions(4, 1)) == ResultCode::Ok);
        }
        fileOn(disk, "snapshot-4").back() ^= 1;
    }
    SUBCASE("a missing snapshot of which the log was compacted")
    {
        {
            DataFolder folder = openDataFolder(disk.functions(), "data", 77);
            REQUIRE(persistActions(folder, snapshotActions(4, 1)) == ResultCode::Ok);
        }
        disk.names.erase("data/current/snapshot-4");
    }

    std::multiset<std::string> before;
    for (const auto &[name, inode] : disk.names) {
        before.insert(inode->data);
    }
    DataFolder folder = openDataFolder(disk.functions(), "data", 1);
    REQUIRE(folder.code == ResultCode::Ok);
    // Guards against a daemon that votes under an identity whose votes and entries it has forgotten.
    CHECK(folder.isNew);
    CHECK(folder.persisted == PersistedState());
    CHECK(folder.setAside == "data/damaged-1");
    const bool isOldKnown = disk.names.contains("data/damaged-1/incarnation");
    CHECK(folder.incarnation == (isOldKnown ? 2 : 1));
    // Nothing is deleted.
    std::multiset<std::string> after;
    for (const auto &[name, inode] : disk.names) {
        if (name.starts_with("data/damaged-1/")) {
            after.insert(inode->data);
        }
    }
    CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
}

TEST_CASE("A read that fails does not make a data folder count as lost")
{
    // Guards against a sound disk that is given up for one error, which beside one lost disk loses what two of three voters had accepted.
    SUBCASE("a folder with a log, a snapshot and a founding membership")
    {
        // The folder, its incarnation, names, founding membership, names again, snapshot, log and ledger. Then only old snapshots are looked for.
        constexpr int NeededReads = 8;
        MemoryDisk disk;
        writeFolder(disk, 5);
        {
            DataFolder folder = openDataFolder(disk.functions(), "data", 1);
            Membership founding = Voters;
            REQUIRE(keepFoundingMembership(folder, founding) == ResultCode::Ok);
            REQUIRE(persistActions(folder, snapshotActions(4, 1)) == ResultCode::Ok);
            REQUIRE(folder.ledger->append("request") == ResultCode::Ok);
        }
        const PersistedState persisted = openDataFolder(disk.functions(), "data", 1).persisted;
        REQUIRE(persisted.log.size() == 1);
        for (int reads = 0; reads <= NeededReads; ++reads) {
            disk.failReadAfter = reads;
            CHECK(openDataFolder(disk.functions(), "data", 77).code == (reads < NeededReads ? ResultCode::DiskFailed : ResultCode::Ok));
            REQUIRE(disk.failReadAfter == -1);
            const DataFolder again = openDataFolder(disk.functions(), "data", 77);
            REQUIRE(again.code == ResultCode::Ok);
            CHECK(again.setAside.empty());
            CHECK(again.incarnation == 1);
            CHECK(again.persisted == persisted);
            CHECK(again.foundingMembership == Voters);
            CHECK(again.ledgerRecords == std::vector<std::string>{"request"});
        }
        CHECK_FALSE(disk.folders.contains("data/damaged-1"));
    }

    SUBCASE("a folder that is set aside, whose incarnation must not be used again")
    {
        bool isWhole = false;
        for (int reads = 0; !isWhole; ++reads) {
            MemoryDisk disk;
            writeFolder(disk, 2);
            fileOn(disk, "raft.log")[0] ^= 1;
            disk.failReadAfter = reads;
            const ResultCode code = openDataFolder(disk.functions(), "data", 1).code;
            isWhole = disk.failReadAfter >= 0;
            CHECK(code == (isWhole ? ResultCode::Ok : ResultCode::DiskFailed));
            disk.failReadAfter = -1;
            const DataFolder again = openDataFolder(disk.functions(), "data", 1);
            CHECK(again.code == ResultCode::Ok);
            CHECK(again.incarnation == 2);
            CHECK_FALSE(disk.folders.contains("data/damaged-2"));
        }
    }
}

TEST_CASE("A creation that fails in the middle is finished in place")
{
    // Guards against one more folder that is set aside at each retry while a disk refuses.
    bool isWhole = false;
    for (int failAfter = 0; !isWhole; ++failAfter) {
        MemoryDisk disk;
        disk.failAfter = failAfter;
        isWhole = openDataFolder(disk.functions(), "data", 5).code == ResultCode::Ok;
        for (int retry = 0; retry < 3 && !isWhole; ++retry) {
            disk.endProcess();
            disk.failAfter = failAfter / 2;
            openDataFolder(disk.functions(), "data", 6);
        }
        disk.endProcess();
        DataFolder folder = openDataFolder(disk.functions(), "data", 7);
        REQUIRE(folder.code == ResultCode::Ok);
        CHECK(folder.setAside.empty());
        CHECK_FALSE(disk.folders.contains("data/damaged-1"));
        CHECK(persistActions(folder, appendActions(1, 1, "one")) == ResultCode::Ok);
    }
}

TEST_CASE("What was set aside or left over does not fill the disk")
{
    MemoryDisk disk;
    const auto damage = [&disk](int times) {
        for (int i = 0; i < times; ++i) {
            writeFolder(disk, 5);
            fileOn(disk, "raft.log")[0] ^= 1;
        }
        disk.endProcess();
    };

    SUBCASE("only the newest damaged folder keeps its data, and no incarnation is used again")
    {
        damage(4);
        const DataFolder folder = openDataFolder(disk.functions(), "data", 1);
        CHECK(folder.setAside == "data/damaged-4");
        CHECK(folder.incarnation == 5);
        CHECK(disk.listFolder("data/damaged-4").size() == 3);
        for (const std::string older : {"data/damaged-1", "data/damaged-2", "data/damaged-3"}) {
            CHECK(disk.listFolder(older) == std::vector<std::string>{"incarnation"});
        }
    }

    SUBCASE("a rewrite that fails leaves no file behind")
    {
        for (int failAfter = 0; failAfter < 9; ++failAfter) {
            disk = {};
            writeFolder(disk, 5);
            DataFolder folder = openDataFolder(disk.functions(), "data", 1);
            disk.failAfter = failAfter;
            const ResultCode code = persistActions(folder, snapshotActions(4, 1));
            CHECK(code == (failAfter < 8 ? ResultCode::DiskFailed : ResultCode::Ok));
            for (const auto &name : disk.listFolder("data/current")) {
                CHECK_FALSE(name.ends_with(".new"));
            }
        }
    }

    SUBCASE("files that a crash left are removed when the folder is opened")
    {
        writeFolder(disk, 5);
        {
            DataFolder folder = openDataFolder(disk.functions(), "data", 1);
            REQUIRE(persistActions(folder, snapshotActions(4, 1)) == ResultCode::Ok);
        }
        const auto names = disk.listFolder("data/current");
        for (const std::string left : {"raft.log.new", "snapshot-9.new", "snapshot-2", "founding-membership.new"}) {
            disk.names["data/current/" + left] = std::make_shared<MemoryDisk::Inode>();
        }
        disk.endProcess();
        CHECK(openDataFolder(disk.functions(), "data", 1).code == ResultCode::Ok);
        CHECK(disk.listFolder("data/current") == names);
    }
}

TEST_CASE("A data folder is used by one process")
{
    const auto path = std::filesystem::temp_directory_path() / ("filbertlanding-storage-test-" + std::to_string(std::random_device()()));
    {
        // On the real file system, so that the adapter is tested too.
        DataFolder first = openDataFolder(systemFiles(), path, 5);
        REQUIRE(first.code == ResultCode::Ok);
        CHECK(first.isNew);
        CHECK(openDataFolder(systemFiles(), path, 6).code == ResultCode::DataFolderInUse);
        CHECK(persistActions(first, appendActions(1, 3, "one")) == ResultCode::Ok);
        CHECK(persistActions(first, appendActions(2, 3, "two")) == ResultCode::Ok);
        CHECK(persistActions(first, snapshotActions(1, 3)) == ResultCode::Ok);
        CHECK(first.ledger->append("request 1") == ResultCode::Ok);
        CHECK(first.ledger->append("request 2") == ResultCode::Ok);
    }
    DataFolder again = openDataFolder(systemFiles(), path, 6);
    REQUIRE(again.code == ResultCode::Ok);
    CHECK_FALSE(again.isNew);
    CHECK(again.incarnation == 5);
    CHECK(again.persisted.hardState.term == 3);
    CHECK(again.persisted.snapshot == Snapshot{1, 3, Voters, "state"});
    CHECK(again.persisted.log == std::vector<LogEntry>{{2, 3, EntryKind::Command, "two"}});
    CHECK(again.ledgerRecords == std::vector<std::string>{"request 1", "request 2"});
    std::filesystem::remove_all(path);
}

TEST_CASE("A failed write or sync is final")
{
    // Guards against trust in a sync that succeeds after one that failed: the pages may be gone already.
    for (int failAfter = 0; failAfter < 2; ++failAfter) {
        MemoryDisk disk;
        DataFolder folder = openDataFolder(disk.functions(), "data", 1);
        disk.failAfter = failAfter;
        disk.failOnce = true;
        CHECK(folder.ledger->append("one") == ResultCode::DiskFailed);
        CHECK(folder.ledger->append("two") == ResultCode::DiskFailed);
        CHECK(folder.ledger->rewrite({}) == ResultCode::DiskFailed);
        disk.failAfter = failAfter;
        CHECK(persistActions(folder, snapshotActions(1, 1)) == ResultCode::DiskFailed);
        CHECK(persistActions(folder, appendActions(1, 1, "one")) == ResultCode::DiskFailed);
    }
}

TEST_CASE("A data folder with a malformed membership counts as lost")
{
    // Guards against a voter that ends at every start, or votes in a membership that it cannot read.
    MemoryDisk disk;
    writeFolder(disk, 2);
    RaftActions actions;

    SUBCASE("in a log record with a valid checksum")
    {
        actions = appendActions(3, 1, "no membership");
        actions.append[0].kind = EntryKind::Membership;
    }

    SUBCASE("in a snapshot")
    {
        actions = snapshotActions(2, 1);
        actions.persistSnapshot->membership = {};
    }

    {
        DataFolder folder = openDataFolder(disk.functions(), "data", 1);
        REQUIRE(persistActions(folder, actions) == ResultCode::Ok);
    }
    disk.endProcess();
    const DataFolder again = openDataFolder(disk.functions(), "data", 1);
    CHECK(again.code == ResultCode::Ok);
    CHECK(again.isNew);
    CHECK(again.incarnation == 2);
    CHECK_FALSE(again.setAside.empty());
    CHECK(again.persisted == PersistedState());
}

TEST_CASE("The membership before the first entry stays the one of the first start")
{
    // Guards against majorities that follow the settings, and against a folder that counts as damaged because of the settings it was made with.
    const Membership founding{{{"a", 1}, {"b", 1}, {"c", 1}}, {}, {}};
    const Membership changed{{{"a", 1}}, {}, {}};
    const Membership repeated{{{"a", 1}, {"a", 1}}, {}, {}};
    MemoryDisk disk;
    const auto keepAtStart = [&disk](Membership membership) {
        DataFolder folder = openDataFolder(disk.functions(), "data", 1);
        REQUIRE(folder.code == ResultCode::Ok);
        CHECK(folder.setAside.empty());
        CHECK(keepFoundingMembership(folder, membership) == ResultCode::Ok);
        return membership;
    };

    SUBCASE("other settings at a later start do not change it")
    {
        CHECK(keepAtStart(founding) == founding);
        Random random{1};
        disk.losePower(random);
        CHECK(keepAtStart(changed) == founding);
    }

    SUBCASE("a folder of an earlier version takes it from the settings once")
    {
        writeFolder(disk, 2);
        disk.endProcess();
        CHECK(keepAtStart(founding) == founding);
        disk.endProcess();
        CHECK(keepAtStart(changed) == founding);
        disk.endProcess();
        CHECK(openDataFolder(disk.functions(), "data", 1).persisted.log.size() == 2);
    }

    SUBCASE("one that names a daemon twice, or nobody, is not stored and does not damage the folder")
    {
        for (const Membership &malformed : {repeated, Membership()}) {
            CHECK(keepAtStart(malformed) == malformed);
            disk.endProcess();
        }
        CHECK(keepAtStart(founding) == founding);
    }
}

TEST_CASE("Properties of the stores")
{
    SUBCASE("decoding damaged bytes returns only records that were written, in order")
    {
        CHECK(rc::check("damaged journal", [] {
            const auto records = *rc::gen::arbitrary<std::vector<std::string>>();
            const auto changes = *rc::gen::nonEmpty(rc::gen::arbitrary<std::vector<std::tuple<std::uint32_t, std::uint8_t, std::uint8_t>>>());
            std::string bytes = journalOf(records);
            for (const auto &[position, kind, value] : changes) {
                const std::size_t at = bytes.empty() ? 0 : mixBits(position) % bytes.size();
                if (kind % 4 == 0) {
                    bytes.resize(at);
                } else if (kind % 4 == 1) {
                    bytes.insert(at, std::string(value, static_cast<char>(value)));
                } else if (kind % 4 == 2) {
                    bytes.erase(at, value);
                } else if (!bytes.empty()) {
                    bytes[at] = static_cast<char>(bytes[at] ^ (1 << (value % 8)));
                }
            }
            const JournalContent content = decodeJournal(bytes);
            RC_ASSERT(isPrefixOf(content.records, records));
            RC_ASSERT(content.validBytes <= bytes.size());
            LogContent log;
            replayLog(content.records, log);
        }));
    }

    SUBCASE("one changed bit before the last record is never taken for a torn end")
    {
        CHECK(rc::check("changed bit", [] {
            const auto records = *rc::gen::nonEmpty(rc::gen::arbitrary<std::vector<std::string>>());
            std::string bytes = journalOf(records);
            const std::size_t lastStart = bytes.size() - encodeRecord(records.back()).size();
            const std::size_t bit = *rc::gen::inRange<std::size_t>(0, bytes.size() * 8);
            bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
            RC_ASSERT((decodeJournal(bytes).code == ResultCode::DataDamaged) == (bit / 8 < lastStart));
        }));
    }

    SUBCASE("after failures and losses of power the folder holds the state before or after the last call")
    {
        CHECK(rc::check("power", [] {
            Random random{*rc::gen::arbitrary<std::uint64_t>()};
            const auto faults = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
            MemoryDisk disk;
            PersistedState model;
            DataFolder folder = openDataFolder(disk.functions(), "data", 1);
            for (const std::uint8_t fault : faults) {
                const RaftActions actions = drawActions(model, random);
                PersistedState next = model;
                applyToModel(next, actions);
                disk.maxWrite = 1 + fault % 40;
                disk.failAfter = fault % 3 == 0 ? fault % 13 : -1;
                const ResultCode code = persistActions(folder, actions);
                const bool fails = code != ResultCode::Ok;
                if (!fails && fault % 5 != 0) {
                    model = next;
                    continue;
                }
                folder = {};
                disk.endProcess();
                if (fault % 2 == 0) {
                    disk.losePower(random);
                }
                folder = openDataFolder(disk.functions(), "data", 1);
                RC_ASSERT(folder.code == ResultCode::Ok);
                RC_ASSERT(!folder.isNew);
                RC_ASSERT(folder.persisted == next || (fails && folder.persisted == model));
                model = folder.persisted;
            }
        }));
    }

    SUBCASE("a rewritten ledger holds the old or the new records")
    {
        CHECK(rc::check("ledger", [] {
            Random random{*rc::gen::arbitrary<std::uint64_t>()};
            const auto before = *rc::gen::arbitrary<std::vector<std::string>>();
            const auto after = *rc::gen::arbitrary<std::vector<std::string>>();
            MemoryDisk disk;
            DataFolder folder = openDataFolder(disk.functions(), "data", 1);
            for (const auto &record : before) {
                RC_ASSERT(folder.ledger->append(record) == ResultCode::Ok);
            }
            disk.failAfter = *rc::gen::inRange(0, 6);
            const ResultCode code = folder.ledger->rewrite(after);
            folder = {};
            disk.losePower(random);
            folder = openDataFolder(disk.functions(), "data", 1);
            RC_ASSERT(folder.code == ResultCode::Ok);
            RC_ASSERT(folder.ledgerRecords == after || (code == ResultCode::DiskFailed && folder.ledgerRecords == before));
        }));
    }
}
