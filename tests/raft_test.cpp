/** @file raft_test.cpp Scenarios of the replicated log and of the leases that its leader grants. */

#include "raft_steps.h"
#include "replication/lease_view.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

RaftMessage voteRequest(const VoterId &from, const VoterId &to, std::uint64_t term, bool preVote = false)
{
    return {from, to, term, VoteRequest{preVote, 1000, term - 1}};
}

RaftSettings voterSettings(std::uint64_t incarnation)
{
    RaftSettings settings;
    settings.self = {"c", incarnation};
    settings.hasDisk = true;
    settings.bootstrap.voters = {{"a", 1}, {"b", 1}, {"c", 1}};
    return settings;
}

/** Three voters whose messages are delivered by hand, one at a time. */
struct Trio {
    std::map<DaemonName, RaftState> replicas;
    std::map<DaemonName, std::vector<LogEntry>> applied;
    std::deque<RaftMessage> network;

    void start(const DaemonName &name, const HardState &hardState, std::vector<LogEntry> log)
    {
        RaftSettings settings = voterSettings(1);
        settings.self.daemon = name;
        settings.maxBatchBytes = 1; // A message holds one command at most.
        RaftStart started = raftStart(settings, {hardState, std::nullopt, std::move(log)}, {});
        REQUIRE(started.code == ResultCode::Ok);
        this->replicas.emplace(name, std::move(started.state));
    }

    void carryOut(const DaemonName &name, const RaftActions &actions)
    {
        auto &entries = this->applied[name];
        entries.insert(entries.end(), actions.apply.begin(), actions.apply.end());
        for (const auto &envelope : actions.send) {
            this->network.push_back(envelope.message);
        }
    }

    /** Delivers messages between two replicas until a condition holds; all others are lost, as are those on the way at the end. */
    template<class Condition>
    bool exchange(const DaemonName &left, const DaemonName &right, TimePoint now, Condition condition)
    {
        while (!condition() && !this->network.empty()) {
            const RaftMessage message = std::move(this->network.front());
            this->network.pop_front();
            const auto &from = message.from.daemon;
            const auto &to = message.to.daemon;
            if ((from == left && to == right) || (from == right && to == left)) {
                this->carryOut(to, raftReceive(this->replicas.at(to), message, now));
            }
        }
        this->network.clear();
        return condition();
    }

    /** Lets a replica become the leader with the vote of another one, and stops before it sends anything as the leader. */
    void elect(const DaemonName &name, const DaemonName &voter, TimePoint now)
    {
        RaftState &candidate = this->replicas.at(name);
        const auto isLeader = [&candidate] {
            return candidate.role == RaftRole::Leader;
        };
        // In the first round the candidate may only learn of a later term.
        for (std::int64_t round = 0; round < 2 && !isLeader(); ++round) {
            this->carryOut(name, raftTick(candidate, now + Duration{3000 * round}));
            this->exchange(name, voter, now + Duration{3000 * round}, isLeader);
        }
        REQUIRE(isLeader());
    }
};

} // namespace

TEST_CASE("A leader is silently isolated for a long time, then healed")
{
    TestCluster cluster(1);
    TestNode &old = waitForLeader(cluster);
    const std::uint64_t oldTerm = old.raft->term;
    cluster.isolate(old, true);
    cluster.read(old);
    cluster.propose(old, "lost=1");

    // Guards against an isolated leader that keeps granting leases: check-quorum ends its role within the longest election timeout.
    CHECK(cluster.runUntil(2100, [&old] {
        return old.raft->role != RaftRole::Leader;
    }));
    CHECK(cluster.readsAnswered == 0);
    TestNode &next = waitForLeader(cluster);
    CHECK(next.name != old.name);
    CHECK(canCommit(cluster));
    cluster.run(600000);
    const std::uint64_t term = next.raft->term;
    CHECK(term > oldTerm);

    SUBCASE("its return neither deposes the leader nor brings back its own entry")
    {
        // Without pre-vote its term would have grown in every election that it could not win.
        cluster.isolate(old, false);
        cluster.run(3000);
        CHECK(next.raft->role == RaftRole::Leader);
        CHECK(next.raft->term == term);
        CHECK(cluster.hasConverged(cluster.accepted.size()));
        CHECK_FALSE(old.values.contains("lost"));
    }
}

TEST_CASE("A host returns after 500 changes")
{
    TestCluster cluster(2);
    TestNode &leader = waitForLeader(cluster);
    TestNode &late = otherVoter(cluster, leader);
    cluster.stop(late, false);
    for (int i = 0; i < 500; ++i) {
        cluster.proposeNext();
        cluster.run(10);
    }
    // Guards against a log that grows without bound, and against a host that cannot catch up once entries are dropped.
    CHECK(leader.raft->log.size() < 100);
    const std::size_t before = late.snapshotsInstalled;
    cluster.start(late);
    CHECK(cluster.runUntil(5000, [&cluster] {
        return cluster.hasConverged(500);
    }));
    CHECK(late.snapshotsInstalled > before);
}

TEST_CASE("A few large entries fill neither the memory nor the disk")
{
    // Guards against a log that is bounded in entries only: three voters with the same log reach their limits at the same time.
    constexpr std::uint64_t Bound = 16000;
    constexpr std::size_t EntryBytes = 1000;
    TestCluster cluster(2);
    cluster.snapshotEvery = 1000000;
    cluster.common.snapshotEveryBytes = Bound;
    for (auto &node : cluster.nodes) {
        cluster.stop(*node, false);
        cluster.start(*node);
    }
    TestNode &leader = waitForLeader(cluster);
    TestNode &late = otherVoter(cluster, leader);
    cluster.stop(late, false);
    const auto payloadOf = [](const TestNode &node) {
        std::uint64_t bytes = 0;
        for (const LogEntry &entry : node.raft->log) {
            bytes += entry.payload.size();
        }
        return bytes;
    };
    std::uint64_t mostInMemory = 0;
    std::uint64_t mostOnDisk = 0;
    for (int i = 0; i < 200; ++i) {
        cluster.propose(leader, "key=" + std::string(EntryBytes, static_cast<char>('a' + i % 26)));
        cluster.run(10);
        mostInMemory = std::max(mostInMemory, payloadOf(leader));
        mostOnDisk = std::max(mostOnDisk, leader.folder.log->size());
        REQUIRE(leader.raft->bytesSinceSnapshot <= payloadOf(leader));
    }
    CHECK(mostInMemory <= Bound + Bound / 8 + 2 * EntryBytes);
    CHECK(mostOnDisk <= Bound + Bound / 4);
    CHECK(payloadOf(leader) >= EntryBytes);

    SUBCASE("a host that was down for all of them catches up")
    {
        cluster.start(late);
        CHECK(cluster.runUntil(5000, [&cluster] {
            return cluster.hasConverged(200);
        }));
        CHECK(late.snapshotsInstalled > 0);
    }

    SUBCASE("the bytes are counted on from the log that a start reads")
    {
        cluster.stop(leader, true);
        cluster.start(leader);
        CHECK(payloadOf(leader) < Bound + EntryBytes);
        CHECK(cluster.runUntil(ElectionBound, [&leader] {
            return leader.raft->appliedIndex >= 200;
        }));
        CHECK(payloadOf(leader) <= Bound + Bound / 8 + 2 * EntryBytes);
    }
}

TEST_CASE("All hosts lose power at once")
{
    TestCluster cluster(3, 3, 0);
    waitForLeader(cluster);
    for (int i = 0; i < 25; ++i) {
        cluster.proposeNext();
    }
    cluster.run(1000);
    const std::size_t accepted = cluster.accepted.size();
    for (auto &node : cluster.nodes) {
        cluster.stop(*node, true);
    }
    for (auto &node : cluster.nodes) {
        cluster.start(*node);
        cluster.isolate(*node, true);
    }
    cluster.run(100);
    // Guards against a configuration that reverts after a restart: each host serves what it had applied, without any peer.
    for (const auto &node : cluster.nodes) {
        CHECK(node->applied == accepted);
    }
    cluster.blocked.clear();
    waitForLeader(cluster);
    CHECK(canCommit(cluster));
}

TEST_CASE("A host that lost its disk")
{
    SUBCASE("does not answer for its old identity")
    {
        RaftState raft = raftStart(voterSettings(2), {}, {}).state;
        CHECK(raft.role == RaftRole::Learner);
        CHECK(raftReceive(raft, voteRequest({"a", 1}, {"c", 1}, 5), {5000}).send.empty());
        CHECK(raftReceive(raft, voteRequest({"a", 1}, {"c", 1}, 5, true), {5000}).send.empty());
        CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 5, AppendRequest{}}, {5000}).send.empty());
        // A candidate whose membership lists the new incarnation may count on it.
        CHECK(grantsVote(raftReceive(raft, voteRequest({"a", 1}, {"c", 2}, 5), {5000})));
    }

    SUBCASE("does not complete a majority before it has been taken in again")
    {
        // Guards against accepted entries that vanish: "b" may hold entries that only "b" and the lost disk had.
        TestCluster cluster(4, 3, 0);
        waitForLeader(cluster);
        const std::uint64_t term = cluster.leader()->raft->term;
        cluster.isolate(cluster.nodeNamed("b"), true);
        cluster.loseDisk(cluster.nodeNamed("c"));
        cluster.stop(cluster.nodeNamed("a"), true);
        cluster.start(cluster.nodeNamed("c"));
        cluster.start(cluster.nodeNamed("a"));
        cluster.run(60000);
        CHECK(cluster.leader() == nullptr);
        CHECK(cluster.leaders.rbegin()->first == term);

        cluster.blocked.clear();
        CHECK(cluster.runUntil(ElectionBound, [&cluster] {
            return cluster.isRepaired();
        }));
        CHECK(holdsId(currentMembership(*cluster.leader()->raft).voters, {"c", 2}));
        // The old identity comes back, as from a disk that was put in again: nobody votes for it.
        TestNode &voter = cluster.nodeNamed("b");
        const auto actions = raftReceive(*voter.raft, voteRequest({"c", 1}, {"b", 1}, 99), {voter.raft->electionDue.ms + 100000});
        CHECK(actions.send.empty());
    }

    SUBCASE("is not replaced while its old identity answers")
    {
        // Guards against a second process with the same name, which would push the healthy one out.
        TestCluster cluster(5, 3, 0);
        TestNode &leader = waitForLeader(cluster);
        TestNode &twin = otherVoter(cluster, leader);
        const RaftMessage join{{twin.name, 9}, {leader.name, 0}, 0, JoinRequest{true}};
        cluster.carryOut(leader, raftReceive(*leader.raft, join, cluster.clockOf(leader)));
        cluster.run(1000);
        CHECK(holdsId(currentMembership(*leader.raft).joining, {twin.name, 9}));
        CHECK(holdsId(currentMembership(*leader.raft).voters, {twin.name, 1}));
    }
}

TEST_CASE("Two leaders never hold the lease at once")
{
    // Guards against a deposed leader that grants leases which its successor does not count.
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        TestCluster cluster(seed, 3, 0);
        cluster.admitsNewVoters = true;
        for (auto &node : cluster.nodes) {
            cluster.stop(*node, false);
            cluster.start(*node);
        }
        std::size_t held = 0;
        for (int i = 0; i < 60; ++i) {
            TestNode &node = *cluster.nodes[cluster.random.below(3)];
            switch (cluster.random.below(4)) {
            case 0:
                cluster.isolate(node, true);
                break;
            case 1:
                cluster.isolate(node, false);
                break;
            case 2:
                cluster.stop(node, cluster.random.below(2) == 0);
                cluster.start(node);
                break;
            default:
                cluster.proposeNext();
                break;
            }
            for (std::uint64_t step = cluster.random.below(300); step > 0; --step) {
                cluster.run(5);
                held = std::max(held, cluster.leaseHolders());
            }
        }
        CHECK_MESSAGE(held == 1, "seed " << seed);
    }
}

TEST_CASE("A vote survives a restart")
{
    // Guards against two leaders in one term.
    RaftState raft = raftStart(voterSettings(1), {}, {}).state;
    const RaftActions first = raftReceive(raft, voteRequest({"a", 1}, {"c", 1}, 5), {});
    REQUIRE(grantsVote(first));
    REQUIRE(first.persistHardState);
    PersistedState persisted;
    persisted.hardState = *first.persistHardState;
    RaftState restarted = raftStart(voterSettings(1), persisted, {}).state;
    CHECK_FALSE(grantsVote(raftReceive(restarted, voteRequest({"b", 1}, {"c", 1}, 5), {})));
    CHECK(grantsVote(raftReceive(restarted, voteRequest({"a", 1}, {"c", 1}, 5), {})));
}

TEST_CASE("An entry of an older term on a majority of disks is not accepted by counting")
{
    // Guards against an accepted entry that a later leader removes (Ongaro and Ousterhout, 2014, figure 8).
    const LogEntry older{1, 2, EntryKind::Command, "of term 2"};
    const LogEntry newer{1, 3, EntryKind::Command, "of term 3"};
    Trio trio;
    trio.start("a", {3, VoterId{"b", 1}, 0}, {});
    trio.start("b", {3, VoterId{"b", 1}, 0}, {newer});
    trio.start("c", {3, std::nullopt, 0}, {older});
    const RaftState &a = trio.replicas.at("a");
    const RaftState &b = trio.replicas.at("b");
    const RaftState &c = trio.replicas.at("c");

    trio.elect("c", "a", {5000});
    REQUIRE(c.term == 4);
    trio.carryOut("c", raftTick(trio.replicas.at("c"), {5300}));
    REQUIRE(trio.exchange("c", "a", {5300}, [&c] {
        return c.progress.at({"a", 1}).match == 1;
    }));
    REQUIRE(a.log.size() == 1);
    REQUIRE(a.log[0] == older);
    CHECK(c.commitIndex == 0);
    CHECK(trio.applied["c"].empty());

    trio.elect("b", "a", {20000});
    REQUIRE(b.term == 5);
    trio.carryOut("b", raftTick(trio.replicas.at("b"), {23300}));
    REQUIRE(trio.exchange("b", "a", {23300}, [&a] {
        return a.commitIndex == 2;
    }));
    trio.carryOut("b", raftTick(trio.replicas.at("b"), {23600}));
    CHECK(trio.exchange("b", "c", {23600}, [&c] {
        return c.commitIndex == 2;
    }));
    for (const DaemonName name : {"a", "b", "c"}) {
        REQUIRE(trio.applied[name].size() == 2);
        CHECK(trio.applied[name][0] == newer);
    }
}

TEST_CASE("A malformed message is dropped and changes nothing")
{
    // Guards against one message that ends every replica that receives it.
    RaftState raft = raftStart(voterSettings(1), {}, {}).state;
    const LogEntry membership{1, 1, EntryKind::Membership, encodeMembership({{{"a", 1}}, {}, {}})};
    LogEntry damaged = membership;

    SUBCASE("a membership that ends early")
    {
        damaged.payload.pop_back();
    }
    SUBCASE("a membership that announces more voters than it has")
    {
        damaged.payload[0] = '\xff';
    }
    SUBCASE("a membership without voters")
    {
        damaged.payload = encodeMembership({});
    }
    SUBCASE("an entry out of order")
    {
        damaged.index = 2;
    }
    SUBCASE("an entry of a later term than the leader's")
    {
        damaged.term = 2;
    }

    const VoterId from{"a", 1};
    const VoterId self{"c", 1};
    const RaftActions dropped = raftReceive(raft, {from, self, 1, AppendRequest{0, 0, {damaged}, 1, 1}}, {});
    CHECK(dropped.send.empty());
    CHECK(dropped.append.empty());
    CHECK_FALSE(dropped.persistHardState);
    CHECK(raft.log.empty());
    CHECK(raftReceive(raft, {from, self, 1, AppendRequest{0, 0, {membership}, 1, 1}}, {}).append.size() == 1);

    PersistedState persisted;
    persisted.log = {membership};
    CHECK(raftStart(voterSettings(1), persisted, {}).code == ResultCode::Ok);
    persisted.log[0].payload.pop_back();
    CHECK(raftStart(voterSettings(1), persisted, {}).code == ResultCode::DataDamaged);
}

TEST_CASE("A malformed snapshot or answer of another replica does no harm")
{
    RaftState raft = raftStart(voterSettings(1), {}, {}).state;
    const VoterId from{"a", 1};
    const VoterId self{"c", 1};

    SUBCASE("a snapshot without voters, or with a part outside of it, is not installed")
    {
        const Membership voters{{{"a", 1}}, {}, {}};
        CHECK(raftReceive(raft, {from, self, 1, SnapshotChunk{5, 1, {}, 0, 3, "abc", 1}}, {}).send.empty());
        CHECK(raftReceive(raft, {from, self, 1, SnapshotChunk{5, 1, voters, 0, 2, "abc", 1}}, {}).send.empty());
        CHECK(raftReceive(raft, {from, self, 1, SnapshotChunk{5, 1, voters, 4, 3, "", 1}}, {}).send.empty());
        CHECK(raftReceive(raft, {from, self, 1, SnapshotChunk{5, 1, voters, 0, 3, "abc", 1}}, {}).installSnapshot);
    }

    SUBCASE("an answer about entries or rounds that the leader never sent is not counted")
    {
        raftTick(raft, {5000});
        raftReceive(raft, {from, self, 1, VoteAnswer{true, true}}, {5001});
        raftReceive(raft, {from, self, 1, VoteAnswer{false, true}}, {5002});
        REQUIRE(raft.role == RaftRole::Leader);
        raftRead(raft, 7, {5003});
        CHECK(raftReceive(raft, {from, self, 1, AppendAnswer{true, 1, 0, raft.round + 1}}, {5004}).reads.empty());
        raftReceive(raft, {from, self, 1, AppendAnswer{true, 1000, 0, raft.round}}, {5004});
        raftReceive(raft, {from, self, 1, AppendAnswer{false, 1000, 1000, raft.round}}, {5004});
        CHECK(raft.commitIndex == 0);
        // The next message to the replica follows an entry that the leader has.
        CHECK(raft.progress.at(from).next <= lastLogIndex(raft) + 1);
        CHECK_FALSE(raftTick(raft, {5300}).send.empty());
    }
}

TEST_CASE("A daemon without a disk restarts in a partitioned availability zone")
{
    // Guards against a daemon that cannot serve under the configuration that its zone had accepted.
    TestCluster cluster(6, 3, 1);
    waitForLeader(cluster);
    for (int i = 0; i < 90; ++i) {
        cluster.proposeNext();
        cluster.run(10);
    }
    cluster.run(1000);
    TestNode &learner = cluster.nodeNamed("d");
    for (const DaemonName inside : {"a", "d"}) {
        for (const DaemonName outside : {"b", "c"}) {
            cluster.blocked.insert({inside, outside});
            cluster.blocked.insert({outside, inside});
        }
    }
    cluster.run(5000);
    const std::uint64_t known = cluster.nodeNamed("a").applied;
    cluster.stop(learner, false);
    cluster.start(learner);
    cluster.run(5000);
    CHECK(known >= 90);
    CHECK(learner.applied == known);
    CHECK(learner.values == cluster.nodeNamed("a").values);
}

TEST_CASE("A new leader answers no read before it has accepted an entry of its own term")
{
    // Guards against a read that misses entries which the leader holds but does not know to be accepted.
    RaftState raft = raftStart(voterSettings(1), {}, {}).state;
    raftTick(raft, {5000});
    raftReceive(raft, {{"a", 1}, {"c", 1}, 1, VoteAnswer{true, true}}, {5001});
    raftReceive(raft, {{"a", 1}, {"c", 1}, 1, VoteAnswer{false, true}}, {5002});
    REQUIRE(raft.role == RaftRole::Leader);
    raftRead(raft, 7, {5003});
    const std::uint64_t round = raft.round;
    CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{false, 0, 0, round}}, {5004}).reads.empty());
    const RaftActions done = raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{true, 1, 0, round}}, {5005});
    REQUIRE(done.reads.size() == 1);
    CHECK(done.reads[0].code == ResultCode::Ok);
    CHECK(done.reads[0].index == 1);

    SUBCASE("an answer to an earlier round confirms nothing")
    {
        raftRead(raft, 8, {5010});
        CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{true, 1, 0, raft.round - 1}}, {5011}).reads.empty());
        CHECK(raftReceive(raft, {{"a", 1}, {"c", 1}, 1, AppendAnswer{true, 1, 0, raft.round}}, {5012}).reads.size() == 1);
    }

    SUBCASE("an answer from an identity outside the membership confirms nothing")
    {
        raftRead(raft, 8, {5010});
        CHECK(raftReceive(raft, {{"a", 2}, {"c", 1}, 1, AppendAnswer{true, 1, 0, raft.round}}, {5011}).reads.empty());
        CHECK(raftReceive(raft, {{"a", 2}, {"c", 1}, 50, AppendAnswer{}}, {5011}).reads.empty());
        CHECK(raft.role == RaftRole::Leader);
    }
}

TEST_CASE("Leases end at the requester before the leader gives the jobs away")
{
    SUBCASE("for every clock drift within 1% and every delay of the messages")
    {
        // Guards against a survey that runs in two places.
        for (std::int64_t requesterPermille = 990; requesterPermille <= 1010; ++requesterPermille) {
            for (const std::int64_t delay : {0, 40, 2000}) {
                LeaseView view;
                LeaseGrants grants = startLeaseGrants({0});
                const std::uint64_t probe = startProbe(view, {0});
                grantLease(grants, "a", {delay});
                probeAnswered(view, probe, 12);
                for (std::int64_t now = 0; now < 40000; now += 10) {
                    const bool isUsed = isRunning(view, 12, {now * requesterPermille / 1000});
                    REQUIRE_FALSE((isUsed && mayReassign(grants, "a", {now})));
                }
                CHECK(mayReassign(grants, "a", {40000}));
            }
        }
    }

    SUBCASE("a new leader waits for leases that an earlier one may have granted")
    {
        const LeaseGrants grants = startLeaseGrants({50000});
        CHECK_FALSE(mayReassign(grants, "a", {80400}));
        CHECK(mayReassign(grants, "a", {80401}));
    }

    SUBCASE("a daemon is fresh only with the accepted state applied, and counts from before it asked")
    {
        LeaseView view;
        CHECK_FALSE(isFresh(view, 100, {0}));
        const std::uint64_t first = startProbe(view, {1000});
        const std::uint64_t second = startProbe(view, {1500});
        probeAnswered(view, second, 12);
        CHECK_FALSE(isFresh(view, 11, {2000}));
        CHECK(isFresh(view, 12, {4499}));
        CHECK_FALSE(isFresh(view, 12, {4500}));
        CHECK(isRunning(view, 12, {31499}));
        CHECK(runningLeaseEnd(view) == TimePoint{31500});
        probeAnswered(view, first, 5);
        CHECK(runningLeaseEnd(view) == TimePoint{31500});
        CHECK_FALSE(isFresh(view, 11, {2000}));
    }
}
