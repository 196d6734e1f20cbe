/** @file codec_test.cpp Property-based tests of everything that is decoded: from other daemons, from the log and from the disk. */

#include "allocation_count.h"
#include "catalog/catalog_func.h"
#include "core/bounded_archive.h"
#include "daemon/peer_codec.h"
#include "daemon/peer_message_type.h"
#include "memory_disk.h"
#include "random_fill.h"
#include "replication/raft_internal.h"
#include "report/outcome_type.h"
#include "request/ledger_base.h"
#include "storage/data_folder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Filbertlanding;

namespace {

/**
 * Memory that decoding may take for each byte. The largest element that a few bytes stand for is a string of a vector:
 * 4 bytes become 32, and three times as much while the vector grows. Rows of counters copy their names as well.
 */
constexpr std::size_t BytesPerByte = 40;
constexpr std::size_t FixedBytes = 65536; ///< The value itself and the histograms of 32 zones.

std::size_t memoryBound(std::size_t messageBytes)
{
    return messageBytes * BytesPerByte + FixedBytes;
}

/** Decodes within the bound of memory; returns whether the bytes were accepted. */
template<class Decode>
bool decodesWithinBound(const std::string &bytes, Decode decode)
{
    bool isAccepted = false;
    const std::size_t peak = peakBytes([&] {
        isAccepted = decode(bytes);
    });
    RC_ASSERT(peak <= memoryBound(bytes.size()));
    return isAccepted;
}

/** Every truncation is refused; damaged bytes and hostile sizes are decoded or refused within the bound. */
template<class Decode>
void checkDamage(const std::string &bytes, Random random, Decode decode)
{
    RC_ASSERT(decodesWithinBound(bytes, decode));
    RC_ASSERT(!decodesWithinBound(bytes + '\0', decode));
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        RC_ASSERT(!decodesWithinBound(bytes.substr(0, size), decode));
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ static_cast<char>(1 + random.below(255)));
        decodesWithinBound(damaged, decode);
        damaged = bytes.substr(0, at) + "\xff\xff\xff\x7f" + bytes.substr(std::min(bytes.size(), at + 4));
        decodesWithinBound(damaged, decode);
    }
    // Enough bytes follow for a size to be plausible, but each of them announces an empty element.
    constexpr std::size_t Padding = 16384;
    const std::size_t at = random.below(bytes.size());
    std::string padded = bytes.substr(0, at) + std::string("\0\x3f\0\0", 4) + std::string(Padding, '\0');
    decodesWithinBound(padded, decode);
}

/** Decodes a message; what is accepted must be the only encoding of its value, so no byte of it went unchecked. */
template<class Message>
bool decodesPeerMessage(const std::string &bytes)
{
    const auto decoded = decodePeerMessage<Message>(bytes);
    return decoded && encodePeerMessage(*decoded) == bytes;
}

template<class Message>
void checkPeerMessage(const char *name)
{
    CHECK(rc::check(name, [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const std::string bytes = encodePeerMessage(randomValue<Message>(seed));
        checkDamage(bytes, Random{seed}, [](const std::string &each) {
            const auto decoded = decodePeerMessage<Message>(each);
            return decoded.has_value();
        });
        RC_ASSERT(decodesPeerMessage<Message>(bytes));
        std::string damaged = bytes;
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        damaged[at] = static_cast<char>(damaged[at] ^ *rc::gen::inRange(1, 256));
        RC_ASSERT(!decodePeerMessage<Message>(damaged) || decodesPeerMessage<Message>(damaged));
    }));
}

JobSpec drawSpec(RandomFill &fill)
{
    JobSpec spec;
    fill(spec.service, spec.team, spec.jobClass, spec.size, spec.priority, spec.urgent, spec.taskCount, spec.payload);
    return spec;
}

TaskRanges drawRanges(RandomFill &fill)
{
    TaskRanges ranges(fill.random.below(4));
    for (auto &range : ranges) {
        fill(range.first, range.end);
    }
    return ranges;
}

std::vector<IntentFile> drawFiles(RandomFill &fill)
{
    std::vector<IntentFile> files(fill.random.below(4));
    for (auto &file : files) {
        fill(file.name, file.text);
    }
    return files;
}

/** Draws a command of the given kind; all fields are random. */
LogCommand drawCommand(std::size_t kind, RandomFill &fill)
{
    LogCommand commands[] = {ChangeFiles{},
                             SubmitJob{},
                             AssignJob{},
                             CheckpointJob{},
                             EvictJob{},
                             FinishTasks{},
                             FailJob{},
                             CancelJob{},
                             DaemonLifeCycleEvent{},
                             FinalCounters{},
                             AcceptGap{}};
    static_assert(std::size(commands) == std::variant_size_v<LogCommand>);
    struct Draw {
        RandomFill &fill;
        void operator()(ChangeFiles &c) const
        {
            c.files = drawFiles(this->fill);
            this->fill(c.kind, c.baseVersion, c.operation, c.operatorName, c.wallTime);
        }
        void operator()(SubmitJob &c) const
        {
            c.spec = drawSpec(this->fill);
            this->fill(c.operation, c.job);
        }
        void operator()(AssignJob &c) const
        {
            this->fill(c.job, c.epoch, c.daemon, c.zone, c.tasks.first, c.tasks.end, c.resumeFrom);
        }
        void operator()(CheckpointJob &c) const
        {
            this->fill(c.job, c.epoch, c.checkpoint);
        }
        void operator()(EvictJob &c) const
        {
            this->fill(c.job, c.epoch, c.checkpoint, c.cause);
        }
        void operator()(FinishTasks &c) const
        {
            c.tasks = drawRanges(this->fill);
            this->fill(c.job, c.epoch, c.result);
        }
        void operator()(FailJob &c) const
        {
            this->fill(c.job, c.epoch, c.code, c.reason);
        }
        void operator()(CancelJob &c) const
        {
            this->fill(c.job);
        }
        void operator()(DaemonLifeCycleEvent &c) const
        {
            this->fill(c.daemon, c.incarnation, c.started);
        }
        void operator()(FinalCounters &c) const
        {
            this->fill(c.service, c.daemon, c.incarnation, c.revision, c.counters);
        }
        void operator()(AcceptGap &c) const
        {
            this->fill(c.service, c.daemon, c.incarnation, c.operation, c.operatorName, c.wallTime);
        }
    };
    std::visit(Draw{fill}, commands[kind]);
    return commands[kind];
}

/** A catalog with files, jobs in several states, known operations and services. */
Catalog drawCatalog(std::uint64_t seed)
{
    Random random{seed};
    Catalog catalog;
    const auto apply = [&catalog](const LogCommand &command) {
        applyCommand(catalog, command, catalog.appliedIndex + 1);
    };
    const std::string text = R"({"services": {"survey": {}, "quote-desk": {}}, "teams": {"field": {}}})";
    apply(ChangeFiles{ChangeKind::Put, {{"base", text}}, 0, "open", "abebe", {5}});
    apply(ChangeFiles{ChangeKind::Put, {{"next", text}}, 0, "conflict", "kaja", {6}});
    apply(DaemonLifeCycleEvent{"bole-1", 1, true});
    for (auto jobs = 1 + random.below(3); jobs > 0; --jobs) {
        const JobId job = "job" + std::to_string(jobs);
        apply(SubmitJob{"submit-" + job, job, {"survey", "field", "slab", {1000, 100, 0}, 0, false, 4}});
        apply(AssignJob{job, 1, "bole-1", "bole", {0, 2}, 0});
        apply(CheckpointJob{job, 1, "checkpoint"});
        switch (random.below(5)) {
        case 0:
            apply(EvictJob{job, 1, "last", EvictCause::Eviction});
            break;
        case 1:
            apply(FailJob{job, 1, ResultCode::JobFailed, "why"});
            break;
        case 2:
            apply(FinishTasks{job, 1, {{0, 1}}, "result"});
            break;
        case 3:
            apply(CancelJob{job});
            break;
        default:
            break;
        }
    }
    apply(FinalCounters{"survey", "bole-1", 1, 1, "counters"});
    return catalog;
}

OutcomeCounts drawCounts(RandomFill &fill)
{
    OutcomeCounts counts;
    for (auto rows = fill.random.below(5); rows > 0; --rows) {
        TeamName team;
        ZoneName zone;
        auto code = ResultCode::Ok;
        fill(team, zone, code);
        fill(counts.received[{team, zone}], counts.outcomes[{team, zone, code}], counts.latency[zone].counts[fill.random.below(LatencyBuckets)]);
        fill(counts.examples[code]);
    }
    return counts;
}

} // namespace

TEST_CASE("Messages between daemons survive the way, and damaged ones are refused or decoded within a bound of memory")
{
    // Guards against a daemon that ends, or runs out of memory, by one damaged or hostile message.
    checkPeerMessage<RaftMessage>("RaftMessage");
    checkPeerMessage<ForwardedRequest>("ForwardedRequest");
    checkPeerMessage<ForwardedAnswer>("ForwardedAnswer");
    checkPeerMessage<ReplicaQuery>("ReplicaQuery");
    checkPeerMessage<ProposeRequest>("ProposeRequest");
    checkPeerMessage<ProposeAnswer>("ProposeAnswer");
    checkPeerMessage<ProbeRequest>("ProbeRequest");
    checkPeerMessage<ProbeAnswer>("ProbeAnswer");
    checkPeerMessage<Heartbeat>("Heartbeat");
    checkPeerMessage<CounterSnapshot>("CounterSnapshot");
    checkPeerMessage<CounterSnapshots>("CounterSnapshots");
    checkPeerMessage<ReplicaRecordRequest>("ReplicaAsk");
    checkPeerMessage<ReplicaAnswer>("ReplicaAnswer");
    checkPeerMessage<ReplicaOutcome>("ReplicaOutcome");
}

namespace {

/** A value that finds no memory while it is decoded. */
struct ValueWithoutMemory {
    template<class Archive>
    void serialize(Archive &)
    {
        throw std::bad_alloc();
    }
};

} // namespace

// Guards against a sound data folder that counts as lost, since its records could not be decoded for want of memory.
TEST_CASE("Want of memory is not taken for damaged bytes")
{
    ValueWithoutMemory value;
    CHECK_THROWS_AS(static_cast<void>(decodeBounded({}, value)), std::bad_alloc);
    CHECK_THROWS_AS(static_cast<void>(decodeVersioned(1, std::string_view("\1"), value)), std::bad_alloc);
    CHECK_FALSE(decodeBounded<ValueWithoutMemory>({}).has_value());
}

TEST_CASE("A decoded Raft message of any content leaves a replica running")
{
    // Guards against a message that decodes, but whose numbers or memberships the transitions do not expect.
    CHECK(rc::check("raftReceive", [] {
        RandomFill fill(*rc::gen::arbitrary<std::uint64_t>());
        RaftSettings settings;
        settings.self = {"a", 1};
        settings.hasDisk = true;
        settings.bootstrap.voters = {{"a", 1}, {"b", 1}, {"c", 1}};
        RaftState raft = raftStart(settings, {}, {}).state;
        const auto receive = [&raft](RaftMessage message) {
            message.from = {"b", 1};
            message.to = raft.settings.self;
            raftReceive(raft, message, {5000});
        };
        if (fill.random.below(2) == 0) {
            raftTick(raft, {5000});
            receive({{}, {}, 1, VoteAnswer{true, true}});
            receive({{}, {}, 1, VoteAnswer{false, true}});
            RC_ASSERT(raft.role == RaftRole::Leader);
        }
        for (int i = 0; i < 20; ++i) {
            RaftMessage message;
            fill(message);
            // Terms near the own one reach further than random ones; also small indexes.
            message.term = fill.random.below(3);
            if (auto *append = std::get_if<AppendRequest>(&message.body)) {
                append->prevIndex = fill.random.below(3);
                append->prevTerm = fill.random.below(2);
                for (std::size_t k = 0; k < append->entries.size(); ++k) {
                    append->entries[k].index = append->prevIndex + 1 + k;
                    append->entries[k].term = append->prevTerm;
                }
            }
            receive(std::move(message));
            raftTick(raft, {5000 + 300 * i});
        }
    }));
}

TEST_CASE("Commands of the log survive, and damaged ones are refused or decoded within a bound of memory")
{
    CHECK(rc::check("command", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto kind = *rc::gen::inRange<std::size_t>(0, std::variant_size_v<LogCommand>);
        RandomFill fill(seed);
        const std::string bytes = encodeCommand(drawCommand(kind, fill));
        const auto decoded = decodeCommand(bytes);
        RC_ASSERT(decoded.code == ResultCode::Ok);
        RC_ASSERT(decoded.value.index() == kind);
        RC_ASSERT(encodeCommand(decoded.value) == bytes);
        checkDamage(bytes, Random{seed}, [](const std::string &each) {
            return decodeCommand(each).code == ResultCode::Ok;
        });
    }));
}

TEST_CASE("Snapshots of the catalog survive, and damaged ones are refused or decoded within a bound of memory")
{
    CHECK(rc::check("catalog", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const Catalog catalog = drawCatalog(seed);
        const std::string bytes = encodeCatalog(catalog);
        const auto decoded = decodeCatalog(bytes);
        RC_ASSERT(decoded.code == ResultCode::Ok);
        RC_ASSERT(decoded.value == catalog);
        checkDamage(bytes, Random{seed}, [](const std::string &each) {
            return decodeCatalog(each).code == ResultCode::Ok;
        });
    }));
}

TEST_CASE("Log records, snapshot files and ledger records survive, and damaged ones are refused within a bound of memory")
{
    // The checksum of the journal is valid here, as when a record was written by another version.
    SUBCASE("log records")
    {
        CHECK(rc::check("log record", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            RandomFill fill(seed);
            RaftActions actions;
            actions.persistHardState.emplace();
            fill(*actions.persistHardState, actions.append);
            for (std::size_t i = 0; i < actions.append.size(); ++i) {
                actions.append[i].index = i + 1;
            }
            MemoryDisk disk;
            DataFolder folder = openDataFolder(disk.functions(), "data", 1);
            RC_ASSERT(folder.log->persist(actions) == ResultCode::Ok);
            const auto records = decodeJournal(disk.names.at("data/current/raft.log")->data).records;
            RC_ASSERT(records.size() == 1U);
            LogContent content;
            RC_ASSERT(replayLog(records, content) == ResultCode::Ok);
            RC_ASSERT(content.log == actions.append);
            RC_ASSERT(content.hardState == *actions.persistHardState);
            checkDamage(records.front(), Random{seed}, [](const std::string &each) {
                LogContent damaged;
                return replayLog({each}, damaged) == ResultCode::Ok;
            });
        }));
    }

    SUBCASE("snapshot files")
    {
        CHECK(rc::check("snapshot file", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const auto snapshot = randomValue<Snapshot>(seed);
            MemoryDisk disk;
            const FileFunctions files = disk.functions();
            files.makeFolder("data");
            SnapshotStore store(files, "data");
            RC_ASSERT(store.save(snapshot) == ResultCode::Ok);
            std::string &file = disk.names.at("data/snapshot-" + std::to_string(snapshot.index))->data;
            const std::string record = decodeJournal(file).records.front();
            std::optional<Snapshot> loaded;
            RC_ASSERT(store.load(loaded) == ResultCode::Ok);
            RC_ASSERT(loaded == snapshot);
            const auto at = *rc::gen::inRange<std::size_t>(0, record.size());
            std::string damaged = record;
            damaged[at] = static_cast<char>(damaged[at] ^ *rc::gen::inRange(1, 256));
            file = journalHeader() + encodeRecord(damaged);
            const ResultCode code = store.load(loaded);
            RC_ASSERT(code == ResultCode::DataDamaged || (loaded && *loaded != snapshot));
            file = journalHeader() + encodeRecord(record.substr(0, at));
            RC_ASSERT(store.load(loaded) == ResultCode::DataDamaged);
        }));
    }

    SUBCASE("ledger records")
    {
        CHECK(rc::check("ledger record", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<std::pair<LedgerKey, LedgerRecord>> records{{"key", randomValue<LedgerRecord>(seed)},
                                                                          {"other", randomValue<LedgerRecord>(seed + 1)}};
            checkDamage(encodeBounded(records), Random{seed}, [](const std::string &each) {
                std::vector<std::pair<LedgerKey, LedgerRecord>> decoded;
                return decodeBounded(each, decoded) && encodeBounded(decoded) == each;
            });
        }));
    }

    SUBCASE("memberships")
    {
        CHECK(rc::check("membership", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            auto membership = randomValue<Membership>(seed);
            membership.voters = {{"a", 1}, {"b", 2}};
            RC_ASSERT(decodeMembership(encodeMembership(membership)) == membership);
            auto earlier = membership;
            earlier.admissions.clear();
            RC_ASSERT(encodeMembership(earlier) == encodeBounded(std::pair(earlier.voters, std::pair(earlier.learners, earlier.joining))));
            checkDamage(encodeMembership(membership), Random{seed}, [](const std::string &each) {
                return decodeMembership(each).has_value();
            });
        }));
    }
}

TEST_CASE("Outcome counters survive, and damaged ones are refused or decoded within a bound of memory")
{
    CHECK(rc::check("counts", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        RandomFill fill(seed);
        const OutcomeCounts counts = drawCounts(fill);
        RC_ASSERT(decodeCounts(encodeCounts(counts)) == counts);
        checkDamage(encodeCounts(counts), Random{seed}, [](const std::string &each) {
            return decodeCounts(each).has_value();
        });
    }));
}

TEST_CASE("A small message cannot take many times its size of memory")
{
    const auto peakOf = [](const std::string &bytes, auto decode) {
        return peakBytes([&] {
            decode(bytes);
        });
    };

    SUBCASE("many elements that are larger in memory than in the message")
    {
        // Guards against resizing a container to the number that the message announces.
        CounterSnapshots many;
        many.snapshots.resize(20'000);
        const std::string whole = encodePeerMessage(many);
        REQUIRE(decodePeerMessage<CounterSnapshots>(whole));
        const auto decode = [](const std::string &bytes) {
            return decodePeerMessage<CounterSnapshots>(bytes).has_value();
        };
        CHECK(peakOf(whole, decode) <= memoryBound(whole.size()));
        std::string hostile = whole;
        const auto announced = static_cast<std::uint32_t>(whole.size() - 4);
        for (std::size_t i = 0; i < 4; ++i) {
            hostile[i] = static_cast<char>(announced >> (8 * i));
        }
        CHECK_FALSE(decode(hostile));
        CHECK(peakOf(hostile, decode) <= memoryBound(hostile.size()));
    }

    SUBCASE("a long name in many short rows of counters")
    {
        // Without the bound on copied names, these 340 KB took 1 GB.
        OutcomeCounts counts;
        for (int i = 0; i < 10'000; ++i) {
            counts.received[{"team" + std::to_string(i), "zone"}] = 1;
        }
        std::string bytes = encodeCounts(counts);
        const std::size_t at = bytes.find("zone");
        REQUIRE(at != std::string::npos);
        constexpr std::uint32_t Longer = 100'000;
        bytes.replace(at, 4, std::string(Longer, 'z'));
        for (std::size_t i = 0; i < 4; ++i) {
            bytes[at - 4 + i] = static_cast<char>(Longer >> (8 * i));
        }
        CHECK(peakOf(bytes,
                     [](const std::string &each) {
                         return decodeCounts(each).has_value();
                     })
              <= memoryBound(bytes.size()));
    }

    SUBCASE("many zones without requests")
    {
        // Without the bound on zones each of them would take 1.7 KB for about 20 bytes.
        OutcomeCounts counts;
        for (int i = 0; i < 5000; ++i) {
            counts.latency["z" + std::to_string(i)] = {};
        }
        const std::string bytes = encodeCounts(counts);
        CHECK(peakOf(bytes,
                     [](const std::string &each) {
                         return decodeCounts(each).has_value();
                     })
              <= memoryBound(bytes.size()));
    }
}

TEST_CASE("Numbers that stand for no value are refused")
{
    // Loading them into a bool or an enum is undefined behaviour; a comparison with NaN is always false.
    bool flag = false;
    CHECK(decodeBounded(std::string(1, '\1'), flag));
    CHECK_FALSE(decodeBounded(std::string(1, '\2'), flag));
    auto kind = EntryKind::Command;
    CHECK(decodeBounded(std::string(1, '\2'), kind));
    CHECK_FALSE(decodeBounded(std::string(1, '\3'), kind));
    auto code = ResultCode::Ok;
    CHECK(decodeBounded(encodeBounded(ResultCode::Internal), code));
    CHECK_FALSE(decodeBounded(std::string("\xff\xff"), code));
    double number = 0;
    CHECK(decodeBounded(encodeBounded(1.5), number));
    CHECK(number == 1.5);
    CHECK_FALSE(decodeBounded(encodeBounded(std::nan("")), number));
    std::map<std::string, std::uint8_t> map;
    CHECK_FALSE(decodeBounded(std::string("\2\0\0\0\1\0\0\0a\1\1\0\0\0a\1", 16), map));
}

TEST_CASE("The encoding is little endian with sizes of 32 bits")
{
    // Guards against a change of the format without a change of the versions.
    CHECK(encodeBounded(std::uint32_t{0x01020304}) == std::string("\4\3\2\1", 4));
    CHECK(encodeBounded(std::string("ab")) == std::string("\2\0\0\0ab", 6));
    CHECK(encodeBounded(std::optional<bool>(true)) == std::string("\1\1", 2));
    CHECK(encodeBounded(std::vector<std::uint16_t>{1, 2}) == std::string("\2\0\0\0\1\0\2\0", 8));
    CHECK(encodeBounded(std::variant<bool, std::uint8_t>(std::uint8_t{7})) == std::string("\1\0\0\0\7", 5));
    CHECK(encodeBounded(ResultCode::FrameCorrupt) == std::string("\x89\x13", 2));
}
