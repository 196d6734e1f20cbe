/** @file raft_cluster.h A cluster of replicas on simulated time, disks and network, which checks the guarantees of Raft after every step. */

#pragma once

#include "memory_disk.h"
#include "replication/raft_func.h"
#include "replication/raft_internal.h"
#include "storage/data_folder.h"

#include <sstream>
#include <stdexcept>

namespace Filbertlanding {

using KeyValues = std::map<std::string, std::string>;

inline std::string encodeKeyValues(const KeyValues &values)
{
    std::string text;
    for (const auto &[key, value] : values) {
        text.append(key).append("=").append(value).append("\n");
    }
    return text;
}

inline void applyKeyValue(KeyValues &values, const std::string &line)
{
    const auto split = line.find('=');
    if (split != std::string::npos) {
        values[line.substr(0, split)] = line.substr(split + 1);
    }
}

inline KeyValues decodeKeyValues(const std::string &text)
{
    KeyValues values;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line)) {
        applyKeyValue(values, line);
    }
    return values;
}

/** One daemon with its disk. */
struct TestNode {
    DaemonName name;
    bool hasDisk = true;
    MemoryDisk disk;
    DataFolder folder;
    std::optional<RaftState> raft; ///< Nothing while the process is down.
    bool isPaused = false;
    bool isGone = false; ///< Ended for good.
    ZoneName availabilityZone;
    std::vector<DaemonName> contacts; ///< If there are any, they are the founding voters too, as in the product.
    std::int64_t clockOffset = 0;
    std::int64_t clockPermille = 1000; ///< Speed of the clock; 990 to 1010.
    std::uint64_t newIncarnation = 1; ///< For a new data folder.
    KeyValues values; ///< State machine.
    std::uint64_t applied = 0;
    std::size_t snapshotsInstalled = 0;
    TimePoint ownerLease; ///< End of the leader's lease as its owner last saw it, on the node's clock; the owner may act until then.
};

/** Thrown when a guarantee is broken. */
struct GuaranteeBroken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct TestCluster {
    struct Accepted {
        std::uint64_t term;
        std::uint64_t acceptedIn; ///< Term in which the first node applied it; at least that of the leader that accepted it.
        std::string payload;
        KeyValues after; ///< Plain map after this entry.
    };

    std::vector<std::unique_ptr<TestNode>> nodes;
    std::multimap<std::int64_t, RaftEnvelope> network;
    std::set<std::pair<DaemonName, DaemonName>> blocked; ///< Directed links that lose everything.
    std::uint64_t dropPercent = 0;
    std::uint64_t doublePercent = 0;
    std::uint64_t maxDelay = 5; ///< Milliseconds; messages overtake each other when above the smallest delay.
    std::int64_t now = 0;
    Random random;
    bool guardsLeaderLease = false; ///< As in the settings of a replica; no two owners may then hold a lease at once.
    Membership bootstrap;
    std::uint64_t snapshotEvery = 40;
    std::uint64_t maxBatchBytes = 200;
    std::uint64_t lastIncarnation = 1;
    bool admitsNewVoters = false; ///< As in the settings of a replica; takes effect at the next start of a node.
    RaftSettings common; ///< What the settings of all replicas have in common; takes effect at the next start of a node.

    std::vector<Accepted> accepted; ///< Entry i + 1 as first applied by any node.
    std::map<std::uint64_t, VoterId> leaders;
    std::map<std::uint64_t, std::uint64_t> readFloor; ///< For each read, what was accepted when it was asked.
    std::uint64_t lastRead = 0;
    std::uint64_t readsAnswered = 0;
    std::uint64_t proposals = 0;
    std::string lastProposal; ///< Last value that proposeNext has proposed.

    explicit TestCluster(std::uint64_t seed, std::size_t voters = 3, std::size_t learners = 1, bool checksLeases = false)
        : random{seed}
        , guardsLeaderLease(checksLeases)
    {
        for (std::size_t i = 0; i < voters + learners; ++i) {
            auto node = std::make_unique<TestNode>();
            node->name = std::string(1, static_cast<char>('a' + i));
            node->hasDisk = i < voters;
            node->clockOffset = static_cast<std::int64_t>(this->random.below(1000000));
            node->clockPermille = 990 + static_cast<std::int64_t>(this->random.below(21));
            (node->hasDisk ? this->bootstrap.voters : this->bootstrap.learners).push_back({node->name, node->hasDisk ? 1U : 0U});
            this->nodes.push_back(std::move(node));
        }
        for (auto &node : this->nodes) {
            this->start(*node);
        }
    }

    /** Returns the name of the node that is added next. */
    DaemonName nextName() const
    {
        return std::string(1, static_cast<char>('a' + this->nodes.size()));
    }

    /** Adds a node with an empty disk that no membership names. */
    TestNode &addNode(ZoneName availabilityZone = {}, std::vector<DaemonName> contacts = {})
    {
        auto node = std::make_unique<TestNode>();
        node->availabilityZone = std::move(availabilityZone);
        node->contacts = std::move(contacts);
        node->name = this->nextName();
        node->newIncarnation = ++this->lastIncarnation;
        this->nodes.push_back(std::move(node));
        this->start(*this->nodes.back());
        return *this->nodes.back();
    }

    /** Returns how many nodes hold the leader's lease. */
    std::size_t leaseHolders() const
    {
        return static_cast<std::size_t>(std::count_if(this->nodes.begin(), this->nodes.end(), [this](const auto &node) {
            return node->raft && leaderLeaseEnd(*node->raft) > this->clockOf(*node);
        }));
    }

    static void require(bool condition, const std::string &text)
    {
        if (!condition) {
            throw GuaranteeBroken(text);
        }
    }

    TimePoint clockOf(const TestNode &node) const
    {
        return {node.clockOffset + this->now * node.clockPermille / 1000};
    }

    void start(TestNode &node)
    {
        if (node.raft || node.isGone) {
            return;
        }
        RaftSettings settings = this->common;
        settings.self = {node.name, 0};
        settings.hasDisk = node.hasDisk;
        settings.bootstrap = node.contacts.empty() ? this->bootstrap : Membership();
        settings.contacts = node.contacts;
        settings.availabilityZone = node.availabilityZone;
        for (const DaemonName &contact : node.contacts) {
            settings.bootstrap.voters.push_back({contact, 1});
        }
        settings.snapshotEvery = this->snapshotEvery;
        settings.maxBatchBytes = this->maxBatchBytes;
        settings.seed = this->random.next();
        settings.admitsNewVoters = this->admitsNewVoters;
        settings.guardsLeaderLease = this->admitsNewVoters || this->guardsLeaderLease;
        settings.zoneVoters = node.hasDisk ? std::vector<DaemonName>() : std::vector<DaemonName>{"a"};
        PersistedState persisted;
        if (node.hasDisk) {
            node.folder = openDataFolder(node.disk.functions(), "data", node.newIncarnation);
            if (node.folder.code != ResultCode::Ok) {
                require(node.folder.code == ResultCode::DiskFailed, "an intact data folder does not open");
                this->stop(node, true);
                return;
            }
            settings.self.incarnation = node.folder.incarnation;
            persisted = node.folder.persisted;
            if (this->admitsNewVoters && keepFoundingMembership(node.folder, settings.bootstrap) != ResultCode::Ok) {
                this->stop(node, true);
                return;
            }
        }
        node.values.clear();
        node.applied = 0;
        node.isPaused = false;
        RaftStart started = raftStart(settings, persisted, this->clockOf(node));
        require(started.code == ResultCode::Ok, "an intact data folder does not start");
        node.raft = std::move(started.state);
    }

    void stop(TestNode &node, bool losesPower)
    {
        node.raft.reset();
        node.ownerLease = {};
        node.folder = {};
        node.disk.endProcess();
        if (losesPower) {
            node.disk.losePower(this->random);
        }
    }

    /** Ends a node for good. */
    void remove(TestNode &node, bool losesPower)
    {
        this->stop(node, losesPower);
        node.isGone = true;
    }

    /** Stops a node and replaces its disk by an empty one. */
    void loseDisk(TestNode &node)
    {
        this->stop(node, true);
        node.disk = {};
        node.newIncarnation = ++this->lastIncarnation;
    }

    void send(const RaftEnvelope &envelope)
    {
        const bool isDoubled = this->random.below(100) < this->doublePercent;
        for (int copy = 0; copy < (isDoubled ? 2 : 1); ++copy) {
            if (this->random.below(100) >= this->dropPercent) {
                this->network.emplace(this->now + 1 + static_cast<std::int64_t>(this->random.below(this->maxDelay)), envelope);
            }
        }
    }

    void install(TestNode &node, const Snapshot &snapshot)
    {
        node.values = decodeKeyValues(snapshot.state);
        node.applied = snapshot.index;
        ++node.snapshotsInstalled;
        require(snapshot.index <= this->accepted.size(), "a snapshot holds an entry that was never accepted");
        require(node.values == this->accepted[snapshot.index - 1].after, "a snapshot differs from the plain map");
    }

    void applyEntry(TestNode &node, const LogEntry &entry)
    {
        require(entry.index == node.applied + 1, "an entry is applied out of order on " + node.name);
        node.applied = entry.index;
        if (entry.kind == EntryKind::Command) {
            applyKeyValue(node.values, entry.payload);
        }
        if (entry.index == this->accepted.size() + 1) {
            KeyValues after = this->accepted.empty() ? KeyValues() : this->accepted.back().after;
            if (entry.kind == EntryKind::Command) {
                applyKeyValue(after, entry.payload);
            }
            this->accepted.push_back({entry.term, node.raft->term, entry.payload, std::move(after)});
        }
        const Accepted &first = this->accepted.at(entry.index - 1);
        require(first.term == entry.term && first.payload == entry.payload, "two nodes apply different entries at one index");
        require(node.values == first.after, "the replicated map differs from the plain map");
    }

    /** Lets the owner of a leader see its lease; an owner that has asked for a transfer acts no more. */
    void showLease(TestNode &node) const
    {
        if (node.raft && node.raft->role == RaftRole::Leader && !node.raft->transferDue) {
            node.ownerLease = std::max(node.ownerLease, leaderLeaseEnd(*node.raft));
        }
    }

    void checkLeases() const
    {
        const auto holders = std::count_if(this->nodes.begin(), this->nodes.end(), [this](const auto &node) {
            return node->ownerLease > this->clockOf(*node);
        });
        require(!this->guardsLeaderLease || holders <= 1, "the leases of two leaders overlap");
    }

    /** Carries actions out in their order. Stops the node when its disk fails. */
    void carryOut(TestNode &node, const RaftActions &actions)
    {
        this->showLease(node);
        this->checkLeases();
        if (node.hasDisk && persistActions(node.folder, actions) != ResultCode::Ok) {
            this->stop(node, true);
            return;
        }
        for (const auto &envelope : actions.send) {
            this->send(envelope);
        }
        if (actions.installSnapshot) {
            this->install(node, *actions.installSnapshot);
        }
        for (const auto &entry : actions.apply) {
            this->applyEntry(node, entry);
        }
        for (const auto &read : actions.reads) {
            require(read.code != ResultCode::Ok || read.index >= this->readFloor.at(read.token), "a read is older than an accepted entry");
            this->readsAnswered += read.code == ResultCode::Ok ? 1 : 0;
        }
        this->checkLeader(node);
        if (node.raft && node.applied > 0 && wantsSnapshot(*node.raft)) {
            this->carryOut(node, raftSnapshotTaken(*node.raft, node.applied, encodeKeyValues(node.values), this->clockOf(node)));
        }
    }

    void checkLeader(const TestNode &node)
    {
        if (!node.raft || node.raft->role != RaftRole::Leader) {
            return;
        }
        const RaftState &raft = *node.raft;
        const auto [found, isNew] = this->leaders.emplace(raft.term, raft.settings.self);
        require(found->second == raft.settings.self, "two leaders in one term");
        for (std::uint64_t index = raft.baseIndex + 1; isNew && index <= this->accepted.size(); ++index) {
            // A candidate that was paused may learn of its election after a leader of a later term has accepted more.
            const Accepted &entry = this->accepted[index - 1];
            require(entry.acceptedIn > raft.term || entryTerm(raft, index) == entry.term, "a new leader lacks an accepted entry");
        }
    }

    bool isUp(const TestNode &node) const
    {
        return node.raft && !node.isPaused;
    }

    TestNode &nodeNamed(const DaemonName &name)
    {
        return *this->nodes.at(static_cast<std::size_t>(name[0] - 'a'));
    }

    void deliver()
    {
        while (!this->network.empty() && this->network.begin()->first <= this->now) {
            const RaftEnvelope envelope = this->network.begin()->second;
            this->network.erase(this->network.begin());
            TestNode &node = this->nodeNamed(envelope.to);
            if (this->blocked.contains({envelope.message.from.daemon, envelope.to}) || !node.raft) {
                continue;
            }
            if (node.isPaused) {
                // The operating system keeps what arrives for a paused process.
                this->network.emplace(this->now + 10, envelope);
                continue;
            }
            this->carryOut(node, raftReceive(*node.raft, envelope.message, this->clockOf(node)));
        }
    }

    /** Lets simulated time pass. */
    void run(std::int64_t ms)
    {
        for (const std::int64_t end = this->now + ms; this->now < end;) {
            this->now += 5;
            this->deliver();
            this->checkLeases();
            for (auto &node : this->nodes) {
                if (this->now % 20 == 0 && this->isUp(*node)) {
                    this->carryOut(*node, raftTick(*node->raft, this->clockOf(*node)));
                }
            }
        }
    }

    /** Runs until a condition holds; returns whether it did within the time. */
    template<class Condition>
    bool runUntil(std::int64_t ms, Condition condition)
    {
        for (const std::int64_t end = this->now + ms; this->now < end && !condition();) {
            this->run(5);
        }
        return condition();
    }

    /** Returns the leader of the highest term among running nodes, or nullptr. */
    TestNode *leader()
    {
        TestNode *best = nullptr;
        for (auto &node : this->nodes) {
            if (this->isUp(*node) && node->raft->role == RaftRole::Leader && (best == nullptr || node->raft->term > best->raft->term)) {
                best = node.get();
            }
        }
        return best;
    }

    ProposeResult propose(TestNode &node, const std::string &line)
    {
        ProposeResult result = raftPropose(*node.raft, line, this->clockOf(node));
        this->carryOut(node, result.actions);
        return result;
    }

    /** Proposes a new value on the newest leader; returns its index, or 0 without a leader. */
    std::uint64_t proposeNext()
    {
        TestNode *node = this->leader();
        if (node == nullptr) {
            return 0;
        }
        ++this->proposals;
        this->lastProposal = "key" + std::to_string(this->proposals % 7) + "=" + std::to_string(this->proposals);
        return this->propose(*node, this->lastProposal).index;
    }

    /** Lets the owner of a node end its work and ask for a transfer of the leadership. */
    void transfer(TestNode &node)
    {
        node.ownerLease = node.raft->role == RaftRole::Leader ? TimePoint() : node.ownerLease;
        this->carryOut(node, raftTransferLeadership(*node.raft, this->clockOf(node)));
    }

    void setServing(TestNode &node, bool isServing)
    {
        this->carryOut(node, raftSetServing(*node.raft, isServing, this->clockOf(node)));
    }

    void setElectable(TestNode &node, bool isElectable)
    {
        this->carryOut(node, raftSetElectable(*node.raft, isElectable, this->clockOf(node)));
    }

    /** Returns the node to which an offer of leadership is on its way, or nullptr. */
    TestNode *offeredNode()
    {
        for (const auto &[time, envelope] : this->network) {
            if (std::holds_alternative<TimeoutNow>(envelope.message.body)) {
                return &this->nodeNamed(envelope.to);
            }
        }
        return nullptr;
    }

    void read(TestNode &node)
    {
        ++this->lastRead;
        this->readFloor[this->lastRead] = this->accepted.size();
        this->carryOut(node, raftRead(*node.raft, this->lastRead, this->clockOf(node)));
    }

    /** Blocks or unblocks all links between a node and the others. */
    void isolate(const TestNode &node, bool isIsolated)
    {
        for (const auto &other : this->nodes) {
            for (const auto &link : {std::pair(node.name, other->name), std::pair(other->name, node.name)}) {
                if (isIsolated) {
                    this->blocked.insert(link);
                } else {
                    this->blocked.erase(link);
                }
            }
        }
    }

    /** Returns whether every voter runs under its present identity and is a voter of the accepted membership, with nobody joining. */
    bool isRepaired()
    {
        const TestNode *node = this->leader();
        if (node == nullptr || node->raft->memberships.back().index > node->raft->commitIndex || node->raft->commitIndex < node->raft->termStart) {
            return false;
        }
        const Membership &membership = currentMembership(*node->raft);
        std::size_t current = 0;
        for (const auto &other : this->nodes) {
            const bool isCurrent = other->raft && holdsId(membership.voters, other->raft->settings.self);
            current += isCurrent ? 1 : 0;
        }
        return current == this->bootstrap.voters.size() && membership.voters.size() == current && membership.joining.empty();
    }

    /** Returns whether all nodes run and have applied everything that was accepted, at least up to an index. */
    bool hasConverged(std::uint64_t index)
    {
        for (const auto &node : this->nodes) {
            if (node->isGone) {
                continue;
            }
            if (!this->isUp(*node) || node->applied < index || node->applied != this->accepted.size()) {
                return false;
            }
        }
        return true;
    }

    /** Ends all faults and starts what is down. */
    void healAll()
    {
        this->blocked.clear();
        this->dropPercent = 0;
        this->doublePercent = 0;
        this->maxDelay = 5;
        for (auto &node : this->nodes) {
            node->isPaused = false;
            node->disk.failAfter = -1;
            this->start(*node);
            if (node->raft) { // Its disk may have failed again.
                this->setServing(*node, true);
                this->setElectable(*node, true);
            }
        }
    }
};

} // namespace Filbertlanding
