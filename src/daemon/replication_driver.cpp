/** @file replication_driver.cpp Runs the replicated log on a thread of its own. */

#include "daemon/replication_driver.h"

#include "core/clock_func.h"
#include "core/random.h"
#include "daemon/log_func.h"
#include "replication/raft_func.h"
#include "settings/settings_func.h"
#include "storage/data_folder.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>
#include <unordered_map>

namespace Filbertlanding {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds TickInterval{20}; ///< Well below the shortest heartbeat interval, so that elections and heartbeats are on time.

    /** Membership before the first log entry: every daemon derives the same one from its settings. */
    Membership bootstrapMembership(const Settings &settings)
    {
        Membership membership;
        const auto add = [&membership](const DaemonName &daemon, bool voter) {
            if (voter) {
                membership.voters.push_back({daemon, FirstIncarnation});
            } else {
                membership.learners.push_back({daemon, 0});
            }
        };
        add(settings.daemon, isVoter(settings));
        for (const PeerSettings &peer : settings.peers) {
            add(peer.daemon, peer.voter);
        }
        std::sort(membership.voters.begin(), membership.voters.end());
        std::sort(membership.learners.begin(), membership.learners.end());
        return membership;
    }

    RaftSettings raftSettings(const Settings &settings, std::uint64_t incarnation)
    {
        RaftSettings result;
        result.self = {settings.daemon, incarnation};
        result.hasDisk = isVoter(settings);
        result.bootstrap = bootstrapMembership(settings);
        result.electionTimeoutMin = {settings.electionTimeoutMinMs};
        result.electionTimeoutMax = {settings.electionTimeoutMaxMs};
        result.heartbeatInterval = {settings.raftHeartbeatMs};
        result.snapshotEvery = static_cast<std::uint64_t>(settings.snapshotEvery);
        result.seed = stableHash(settings.daemon) ^ static_cast<std::uint64_t>(wallNow().ms);
        for (const PeerSettings &peer : settings.peers) {
            if (peer.voter && peer.availabilityZone == settings.availabilityZone) {
                result.zoneVoters.push_back(peer.daemon);
            }
        }
        return result;
    }

} // namespace

struct ReplicationDriver::Core {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(this->context)};
    asio::steady_timer timer{this->context};
    std::thread thread;
    ReplicationHooks hooks;
    DataFolder folder;
    bool hasDisk = false;
    bool diskFailed = false;
    RaftState raft;
    std::uint64_t lastToken = 0;
    std::unordered_map<std::uint64_t, std::function<void(ReadReady)>> reads;
    ReplicationStatus reported;
    bool snapshotRequested = false;

    /** Carries out actions in their order: disk first, then messages, then the state machine. */
    void carryOut(RaftActions actions)
    {
        if (this->hasDisk && !this->persist(actions)) {
            return;
        }
        for (const RaftEnvelope &envelope : actions.send) {
            this->hooks.send(envelope.to, envelope.message);
        }
        if (actions.installSnapshot) {
            this->hooks.install(std::move(*actions.installSnapshot));
        }
        if (!actions.apply.empty()) {
            this->hooks.apply(std::move(actions.apply));
        }
        for (const ReadReady &ready : actions.reads) {
            this->finishRead(ready);
        }
        this->reportStatus();
    }

    /** Returns false when the disk has failed: nothing may be acknowledged from then on. */
    bool persist(const RaftActions &actions)
    {
        if (this->diskFailed) {
            return false;
        }
        const bool writes = actions.persistHardState || actions.persistSnapshot || actions.truncateFrom || !actions.append.empty();
        const std::int64_t startedUs = steadyMicroseconds();
        const ResultCode code = persistActions(this->folder, actions);
        if (code == ResultCode::Ok) {
            if (writes) {
                this->hooks.synced(steadyMicroseconds() - startedUs);
            }
            return true;
        }
        this->diskFailed = true;
        this->hooks.failed(code);
        return false;
    }

    void finishRead(const ReadReady &ready)
    {
        const auto found = this->reads.find(ready.token);
        if (found == this->reads.end()) {
            return;
        }
        const auto done = std::move(found->second);
        this->reads.erase(found);
        done(ready);
    }

    void reportStatus()
    {
        ReplicationStatus status;
        status.role = this->raft.role;
        status.term = this->raft.term;
        status.leader = leaderName(this->raft);
        status.commitIndex = this->raft.commitIndex;
        status.lastIndex = lastLogIndex(this->raft);
        status.leaderSince = this->raft.leaderSince;
        status.membership = currentMembership(this->raft);
        status.self = this->raft.settings.self;
        const bool changed = status.role != this->reported.role || status.term != this->reported.term || status.leader != this->reported.leader
            || status.commitIndex != this->reported.commitIndex || status.membership != this->reported.membership;
        if (!changed) {
            return;
        }
        this->reported = status;
        this->hooks.statusChanged(std::move(status));
    }

    void askForSnapshot()
    {
        if (this->snapshotRequested || !wantsSnapshot(this->raft)) {
            return;
        }
        this->snapshotRequested = true;
        this->hooks.snapshotWanted(this->raft.appliedIndex);
    }

    void tick()
    {
        this->carryOut(raftTick(this->raft, steadyNow()));
        this->askForSnapshot();
        this->timer.expires_after(TickInterval);
        this->timer.async_wait([this](const boost::system::error_code &error) {
            if (!error) {
                this->tick();
            }
        });
    }
};

ReplicationDriver::ReplicationDriver()
    : core(std::make_unique<Core>())
{
}

ReplicationDriver::~ReplicationDriver()
{
    this->stop();
}

ReplicationStart ReplicationDriver::start(const Settings &settings, bool firstStart, ReplicationHooks hooks)
{
    Core &state = *this->core;
    state.hooks = std::move(hooks);
    state.hasDisk = isVoter(settings);
    ReplicationStart result;
    PersistedState persisted;
    if (state.hasDisk) {
        // With peers, an empty folder may be a lost disk; only the operator knows that it is not.
        const bool votesAtOnce = firstStart || settings.peers.empty();
        const auto newIncarnation = votesAtOnce ? FirstIncarnation : static_cast<std::uint64_t>(wallNow().ms);
        state.folder = openDataFolder(systemFiles(), settings.dataFolder, newIncarnation);
        result.code = state.folder.code;
        result.incarnation = state.folder.incarnation;
        result.isNew = state.folder.isNew;
        result.setAside = state.folder.setAside;
        if (result.code != ResultCode::Ok) {
            return result;
        }
        persisted = std::move(state.folder.persisted);
        result.ledgerRecords = std::move(state.folder.ledgerRecords);
        result.ledger = std::move(state.folder.ledger);
    }
    RaftStart started = raftStart(raftSettings(settings, result.incarnation), std::move(persisted), steadyNow());
    result.code = started.code;
    if (result.code != ResultCode::Ok) {
        return result;
    }
    state.raft = std::move(started.state);
    asio::post(state.context, [&state] {
        state.tick();
    });
    state.thread = std::thread([&state] {
        state.context.run();
    });
    return result;
}

void ReplicationDriver::stop()
{
    if (!this->core->thread.joinable()) {
        return;
    }
    this->core->context.stop();
    this->core->thread.join();
}

void ReplicationDriver::propose(std::string payload, std::function<void(ProposedEntry)> done)
{
    asio::post(this->core->context, [state = this->core.get(), payload = std::move(payload), done = std::move(done)]() mutable {
        ProposeResult result = raftPropose(state->raft, std::move(payload), steadyNow());
        done({result.code, result.index, result.term, result.leaderHint});
        state->carryOut(std::move(result.actions));
    });
}

void ReplicationDriver::read(std::function<void(ReadReady)> done)
{
    asio::post(this->core->context, [state = this->core.get(), done = std::move(done)]() mutable {
        const std::uint64_t token = ++state->lastToken;
        state->reads.emplace(token, std::move(done));
        state->carryOut(raftRead(state->raft, token, steadyNow()));
    });
}

void ReplicationDriver::receive(RaftMessage message)
{
    asio::post(this->core->context, [state = this->core.get(), message = std::move(message)] {
        state->carryOut(raftReceive(state->raft, message, steadyNow()));
    });
}

void ReplicationDriver::snapshotTaken(std::uint64_t index, std::string snapshot)
{
    asio::post(this->core->context, [state = this->core.get(), index, snapshot = std::move(snapshot)]() mutable {
        state->snapshotRequested = false;
        state->carryOut(raftSnapshotTaken(state->raft, index, std::move(snapshot), steadyNow()));
    });
}

} // namespace Filbertlanding
