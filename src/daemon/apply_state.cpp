/** @file apply_state.cpp Applies the replicated log to the daemon. */

#include "daemon/apply_state.h"

#include "core/clock_func.h"
#include "daemon/drain_restriction.h"
#include "daemon/propose_func.h"
#include "job/job_shard_func.h"
#include "membership/worker_registry_func.h"
#include "runtime/log_func.h"
#include "settings/settings_func.h"

namespace Filbertlanding {

namespace {

    constexpr Duration PeerAliveFor{2000}; ///< Four heartbeat intervals.

    /** Returns the job that a command is about, or an empty id. */
    JobId jobOf(const LogCommand &command)
    {
        return std::visit(
            [](const auto &value) -> JobId {
                if constexpr (
                    requires { value.epoch; } || requires { value.spec; } || std::is_same_v<std::decay_t<decltype(value)>, CancelJob>) {
                    return value.job;
                } else {
                    return {};
                }
            },
            command);
    }

    /** Returns the unfinished tasks of an assignment. */
    std::vector<TaskSpan> unfinishedTasks(const JobRecord &record, const JobAssignment &assignment)
    {
        TaskRanges left{assignment.tasks};
        for (const TaskRange &finished : record.finished) {
            removeRange(left, finished);
        }
        std::vector<TaskSpan> spans;
        for (const TaskRange &range : left) {
            spans.push_back({range.first, range.count()});
        }
        return spans;
    }

    AssignedJob assignedJob(const JobRecord &record, const JobAssignment &assignment, bool assignedBeforeRestart)
    {
        AssignedJob result;
        result.job = record.id;
        result.epoch = assignment.epoch;
        result.spec.service = record.spec.service;
        result.spec.team = record.spec.team;
        result.spec.jobClass = record.spec.jobClass;
        result.spec.declared = record.spec.size;
        result.spec.payload = record.spec.payload;
        result.spec.urgent = record.spec.urgent;
        result.spec.taskCount = record.spec.taskCount;
        result.checkpoint = assignment.checkpoint.empty() ? assignment.resumeCheckpoint : assignment.checkpoint;
        result.tasks = unfinishedTasks(record, assignment);
        result.evictions = static_cast<std::uint32_t>(record.evictions);
        result.assignedBeforeRestart = assignedBeforeRestart;
        return result;
    }

    /** Makes the shard's assignments of one job equal to the catalog's. */
    void syncJob(Daemon &daemon, const JobId &job, TimePoint now)
    {
        ControlState &state = daemon.controlState;
        const auto record = state.catalog.jobs.jobs.find(job);
        std::set<std::uint64_t> wanted;
        if (record != state.catalog.jobs.jobs.end() && !isTerminal(record->second.state)) {
            for (const JobAssignment &assignment : record->second.assignments) {
                if (assignment.daemon == daemon.settings.daemon) {
                    wanted.insert(assignment.epoch);
                }
            }
        }
        std::set<std::uint64_t> &known = state.assignedEpochs[job];
        for (const std::uint64_t epoch : known) {
            if (!wanted.contains(epoch)) {
                shardRevoke(state.shard, job, epoch, now);
            }
        }
        for (const std::uint64_t epoch : wanted) {
            if (known.contains(epoch)) {
                continue;
            }
            for (const JobAssignment &assignment : record->second.assignments) {
                if (assignment.epoch == epoch) {
                    // An assignment that is known before the first contact with the leader was made before this process started.
                    shardAssign(state.shard, assignedJob(record->second, assignment, !state.shard.caughtUp), now);
                }
            }
        }
        if (wanted.empty()) {
            state.assignedEpochs.erase(job);
            return;
        }
        known = std::move(wanted);
    }

    void syncAllJobs(Daemon &daemon, TimePoint now)
    {
        std::set<JobId> jobs;
        for (const auto &[job, epochs] : daemon.controlState.assignedEpochs) {
            jobs.insert(job);
        }
        for (const auto &[job, record] : daemon.controlState.catalog.jobs.jobs) {
            jobs.insert(job);
        }
        for (const JobId &job : jobs) {
            syncJob(daemon, job, now);
        }
    }

    /** Notes which zones were drained or returned since the last configuration. */
    void noteZoneChanges(Daemon &daemon, TimePoint now)
    {
        ControlState &state = daemon.controlState;
        for (const auto &[zone, config] : state.configuration.availabilityZones) {
            if (config.state == ZoneState::Drained) {
                state.drainedSince.try_emplace(zone, now);
                state.returnedAt.erase(zone);
            }
        }
        for (auto it = state.drainedSince.begin(); it != state.drainedSince.end();) {
            if (state.configuration.isDrained(it->first)) {
                ++it;
                continue;
            }
            state.returnedAt[it->first] = now;
            shardUpdateZone(state.shard, it->first, false, Duration{0}, 0, now);
            it = state.drainedSince.erase(it);
        }
    }

    void updateShardTeams(Daemon &daemon)
    {
        ControlState &state = daemon.controlState;
        for (const auto &[team, config] : state.configuration.teams) {
            shardUpdateTeam(state.shard, team, static_cast<double>(config.weight), config.quotaCpuMillis.value_or(0));
        }
    }

    /** Gives the shard its part of each service's eviction budget, and the policy. */
    void updateShardPolicy(Daemon &daemon)
    {
        constexpr double LatencyFirst = 0.9; // The weights of docs/measurements.md.
        constexpr double ThroughputFirst = 0.1;
        ControlState &state = daemon.controlState;
        const auto daemons = static_cast<std::int64_t>(daemon.settings.peers.size()) + 1;
        for (const auto &[service, config] : state.configuration.services) {
            // The configured number is for the whole installation; every daemon evicts at least its rounded up part.
            shardSetEvictionLimit(state.shard, service, static_cast<std::uint32_t>((config.maxEvictionsPerMinute + daemons - 1) / daemons));
        }
        const PolicyConfig &policy = state.configuration.policy;
        if (!shardSetPolicy(state.shard, policy.placement, policy.weighing == Weighing::Latency ? LatencyFirst : ThroughputFirst)) {
            logLine(LogArea::Place, LogLevel::Error, "placement-policy-unknown", {{"policy", policy.placement}});
        }
    }

    void updateLeavingWorkers(Daemon &daemon)
    {
        std::set<WorkerName> leaving;
        for (const auto &[worker, config] : daemon.controlState.configuration.workers) {
            if (config.state == WorkerIntent::Leaving) {
                leaving.insert(worker);
            }
        }
        setLeavingWorkers(daemon.controlState.registry, std::move(leaving));
    }

    void markConfigured(Daemon &daemon)
    {
        ControlState &state = daemon.controlState;
        state.configured = true;
        if (state.lifeCycle.handle(DaemonEvent::Configured)) {
            daemon.state = state.lifeCycle.state();
            logLine(LogArea::Daemon, LogLevel::Info, "serving", {{"index", state.appliedIndex}, {"version", state.catalog.intent.version}});
        }
    }

    void applyCommandEntry(Daemon &daemon, const LogEntry &entry, TimePoint now)
    {
        ControlState &state = daemon.controlState;
        const auto decoded = decodeCommand(entry.payload);
        CommandResult result;
        if (decoded.code != ResultCode::Ok) {
            // Every daemon refuses the same bytes, so the catalogs stay equal.
            result.code = decoded.code;
            logLine(LogArea::Replication, LogLevel::Error, "command-undecodable", {{"index", entry.index}, {"code", resultCodeRow(decoded.code).name}});
            finishProposal(daemon, entry.index, entry.term, result);
            return;
        }
        result = applyCommand(state.catalog, decoded.value, entry.index);
        const JobId job = jobOf(decoded.value);
        if (!job.empty()) {
            syncJob(daemon, result.job.empty() ? job : result.job, now);
            logLine(LogArea::Job, LogLevel::Debug, "job-command", {{"job", job}, {"index", entry.index}, {"code", resultCodeRow(result.code).name}});
        }
        finishProposal(daemon, entry.index, entry.term, result);
    }

    AdmissionSettings admissionSettings(const Configuration &configuration, const ServiceConfig &service)
    {
        AdmissionSettings settings;
        settings.maxQueueLength = static_cast<std::uint32_t>(service.queueLimit);
        for (const auto &[team, config] : configuration.teams) {
            const std::uint32_t quota = config.quotaSlots ? static_cast<std::uint32_t>(*config.quotaSlots) : UINT32_MAX;
            settings.teams[team] = {static_cast<double>(config.weight), quota};
        }
        return settings;
    }

    /** Returns the shared state of a service, made on first use; its settings follow the configuration. */
    std::shared_ptr<ServiceRuntime> runtimeOf(Daemon &daemon, const ServiceName &name, const ServiceConfig &config, bool configChanged)
    {
        ControlState &state = daemon.controlState;
        const AdmissionSettings admission = admissionSettings(state.configuration, config);
        auto &runtime = state.services[name];
        if (runtime == nullptr) {
            const RetryBudgetSettings budget{static_cast<double>(config.retryBudgetPercent) / 100, static_cast<std::uint32_t>(config.retryBudgetMinPerSecond)};
            runtime = std::make_shared<ServiceRuntime>(admission, budget);
        } else if (configChanged) {
            runtime->admission.changeSettings(admission, steadyNow());
        }
        return runtime;
    }

    std::vector<PeerSummary> peerSummaries(const Daemon &daemon)
    {
        std::vector<PeerSummary> summaries;
        for (const auto &[name, peer] : daemon.controlState.peers) {
            if (!peer.heartbeat) {
                continue;
            }
            PeerSummary summary{name, peer.settings.availabilityZone, peer.heartbeat->drained, peer.heartbeat->stopping, peer.heardAt, {}};
            for (const HeartbeatService &service : peer.heartbeat->services) {
                summary.services.push_back({service.service, service.slots, service.inUse, service.quantileMs});
            }
            summaries.push_back(std::move(summary));
        }
        return summaries;
    }

    /**
     * Returns the daemons with a disk, and the disk with which each is a voter now; 0 while a lost disk is being replaced.
     * The names come from the settings: while a voter is replaced it is out of the membership, and home and replica
     * of a non-repeatable request must not move to daemons without its record.
     */
    std::vector<LedgerDisk> ledgerVoters(const Daemon &daemon)
    {
        std::vector<LedgerDisk> voters;
        const auto add = [&daemon, &voters](const DaemonName &name) {
            LedgerDisk disk{name, 0};
            for (const VoterId &voter : daemon.controlState.replication.membership.voters) {
                disk.incarnation = voter.daemon == name ? voter.incarnation : disk.incarnation;
            }
            voters.push_back(disk);
        };
        if (isVoter(daemon.settings)) {
            add(daemon.settings.daemon);
        }
        for (const PeerSettings &peer : daemon.settings.peers) {
            if (peer.voter) {
                add(peer.daemon);
            }
        }
        return voters;
    }

} // namespace

void configurationChanged(Daemon &daemon, TimePoint now)
{
    ControlState &state = daemon.controlState;
    noteZoneChanges(daemon, now);
    updateShardZones(daemon, now);
    updateShardTeams(daemon);
    updateShardPolicy(daemon);
    updateLeavingWorkers(daemon);
    state.viewVersion = state.catalog.intent.version;
    publishView(daemon);
    logLine(LogArea::Intent, LogLevel::Info, "configuration-in-force", {{"version", state.viewVersion}, {"index", state.appliedIndex}});
}

bool isOwnZoneDrained(const Daemon &daemon)
{
    return daemon.controlState.configuration.isDrained(daemon.settings.availabilityZone);
}

std::vector<DaemonEndpoint> liveZoneDaemons(const Daemon &daemon, TimePoint now)
{
    std::vector<DaemonEndpoint> live;
    if (daemon.state != DaemonState::Draining && daemon.state != DaemonState::Finishing) {
        live.push_back(
            {daemon.settings.daemon, daemon.settings.availabilityZone, daemon.settings.httpAddress, static_cast<std::uint16_t>(daemon.settings.httpPort)});
    }
    for (const auto &[name, peer] : daemon.controlState.peers) {
        const bool alive = peer.heartbeat && !peer.heartbeat->stopping && now - peer.heardAt < PeerAliveFor;
        if (alive && peer.settings.availabilityZone == daemon.settings.availabilityZone) {
            live.push_back({name, peer.settings.availabilityZone, peer.settings.httpAddress, peer.settings.httpPort});
        }
    }
    return live;
}

void updateShardZones(Daemon &daemon, TimePoint now)
{
    ControlState &state = daemon.controlState;
    for (const auto &[zone, since] : state.drainedSince) {
        const auto config = state.configuration.availabilityZones.find(zone);
        const Duration limit = config == state.configuration.availabilityZones.end() ? ZoneConfig().drainLimit : config->second.drainLimit;
        shardUpdateZone(state.shard, zone, true, limit, state.spareCpuMillis, now);
    }
}

void publishView(Daemon &daemon)
{
    const StepTimer timer(daemon.timings, TimedStep::ViewPublication);
    ControlState &state = daemon.controlState;
    const Configuration &configuration = state.configuration;
    const std::uint64_t published = daemon.view.read()->version;
    auto view = std::make_unique<RequestView>();
    view->version = state.catalog.intent.version;
    view->configuration = std::make_shared<const Configuration>(configuration);
    view->table = buildRoutingTable(state.routes, daemon.settings.availabilityZone, isOwnZoneDrained(daemon), peerSummaries(daemon));
    for (const auto &[name, config] : configuration.services) {
        view->services[name] = runtimeOf(daemon, name, config, published != view->version);
    }
    view->voters = ledgerVoters(daemon);
    view->policy = RoutePolicies::find(configuration.policy.routing);
    if (view->policy == nullptr) {
        view->policy = RoutePolicies::find(PolicyConfig().routing);
    }
    view->finishing = daemon.state == DaemonState::Finishing || daemon.state == DaemonState::Stopped;
    daemon.view.publish(std::move(view));
}

void applyEntries(Daemon &daemon, const std::vector<LogEntry> &entries)
{
    ControlState &state = daemon.controlState;
    const TimePoint now = steadyNow();
    for (const LogEntry &entry : entries) {
        if (entry.kind == EntryKind::Command) {
            applyCommandEntry(daemon, entry, now);
        }
        state.appliedIndex = entry.index;
    }
    markConfigured(daemon);
    if (state.catalog.intent.version != state.viewVersion) {
        updateEffectiveConfiguration(daemon);
        configurationChanged(daemon, now);
    }
}

void installSnapshot(Daemon &daemon, const Snapshot &snapshot)
{
    ControlState &state = daemon.controlState;
    auto decoded = decodeCatalog(snapshot.state);
    if (decoded.code != ResultCode::Ok) {
        logLine(LogArea::Replication, LogLevel::Error, "snapshot-undecodable", {{"index", snapshot.index}, {"code", resultCodeRow(decoded.code).name}});
        daemon.stopped(ResultCode::DataDamaged);
        return;
    }
    const TimePoint now = steadyNow();
    state.catalog = std::move(decoded.value);
    state.appliedIndex = snapshot.index;
    syncAllJobs(daemon, now);
    markConfigured(daemon);
    updateEffectiveConfiguration(daemon);
    configurationChanged(daemon, now);
}

void takeSnapshot(Daemon &daemon)
{
    daemon.replication.snapshotTaken(daemon.controlState.appliedIndex, encodeCatalog(daemon.controlState.catalog));
}

} // namespace Filbertlanding
