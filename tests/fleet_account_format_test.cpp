/** @file fleet_account_format_test.cpp Tests that snapshots and logs from before client accounts are read, and mean the same. */

#include "account/api_key.h"
#include "core/bounded_archive.h"
#include "fleet_jobs.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

constexpr char OldSnapshotVersion = 5; ///< Version before client accounts.
constexpr char OldCommandVersion = 3; ///< Version before client accounts.
constexpr WallTime Noon{1'800'000'000'000};

// The layouts of those versions, written down again so that a change of the present ones does not change them too.

struct OldQueueConfig {
    std::string name;
    std::string host;
    std::string pathPrefix;
    ServiceName service;
    std::int64_t priority = 0;
    std::uint32_t maxAttempts = 1;
    std::int64_t stretchPerMille = 1000;
    Duration latencyAllowance;
    Duration requestTimeout;
    PlacementHintSettings placementHint;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->host, this->pathPrefix, this->service, this->priority, this->maxAttempts, this->stretchPerMille);
        archive(this->latencyAllowance, this->requestTimeout, this->placementHint);
    }
};

struct OldFleetManifest {
    std::uint64_t version = 0;
    std::string document;
    std::vector<OldQueueConfig> queues;
    std::vector<FleetService> services;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->document, this->queues, this->services);
    }
};

struct OldFleetJob {
    JobNumber number = 0;
    JobId id;
    std::string host;
    std::string pathPrefix;
    OldQueueConfig queue;
    JobSpec spec;
    FleetJobState state = FleetJobState::Queued;
    WallTime acceptedAt;
    WallTime endedAt;
    std::map<std::uint32_t, Occurrence> occurrences;
    std::uint32_t completeCount = 0;
    JobFailure failure = JobFailure::None;
    Duration endedOnClock;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->id, this->host, this->pathPrefix, this->queue, this->spec, this->state, this->acceptedAt, this->endedAt);
        archive(this->occurrences, this->completeCount, this->failure, this->endedOnClock);
    }
};

struct OldEarlyCancellation {
    WallTime at;
    Duration onClock;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->at, this->onClock);
    }
};

struct OldStoredState {
    OldFleetManifest manifest;
    std::vector<ZoneName> drainedZones;
    std::map<IncarnationNumber, WorkerIncarnation> incarnations;
    std::map<JobNumber, OldFleetJob> jobs;
    std::map<JobId, OldEarlyCancellation> cancelledBeforeSubmission;
    std::map<std::uint64_t, MaintenanceWave> waves;
    std::string learnedModel;
    JobNumber lastJobNumber = 0;
    IncarnationNumber lastIncarnationNumber = 0;
    Duration retentionClock;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->manifest, this->drainedZones, this->incarnations, this->jobs, this->cancelledBeforeSubmission, this->waves, this->learnedModel);
        archive(this->lastJobNumber, this->lastIncarnationNumber, this->retentionClock);
    }
};

struct OldPutManifest {
    OldFleetManifest manifest;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->manifest);
    }
};

struct OldSubmitFleetJob {
    JobId id;
    std::string host;
    std::string pathPrefix;
    WallTime at;
    JobSpec spec;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->host, this->pathPrefix, this->at, this->spec);
    }
};

struct OldCancelFleetJob {
    JobId id;
    WallTime at;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->at);
    }
};

using OldFleetCommand = std::variant<OldPutManifest,
                                     SetZoneDrained,
                                     RegisterWorker,
                                     EndIncarnation,
                                     OldSubmitFleetJob,
                                     OldCancelFleetJob,
                                     OpenOccurrence,
                                     StartRun,
                                     EndRun,
                                     StartMaintenanceWave,
                                     SetMaintenanceStage,
                                     SaveLearnedModel,
                                     RecordCrash,
                                     AdvanceRetentionClock>;

OldQueueConfig toOld(const QueueConfig &queue)
{
    return {queue.name,
            queue.host,
            queue.pathPrefix,
            queue.service,
            queue.priority,
            queue.maxAttempts,
            queue.stretchPerMille,
            queue.latencyAllowance,
            queue.requestTimeout,
            queue.placementHint};
}

OldFleetManifest toOld(const FleetManifest &manifest)
{
    OldFleetManifest old{manifest.version, manifest.document, {}, manifest.services};
    for (const QueueConfig &queue : manifest.queues) {
        old.queues.push_back(toOld(queue));
    }
    return old;
}

OldFleetJob toOld(const FleetJob &job)
{
    OldFleetJob old{job.number, job.id, job.host, job.pathPrefix, toOld(job.queue), job.spec, job.state, job.acceptedAt, job.endedAt};
    old.occurrences = job.occurrences;
    old.completeCount = job.completeCount;
    old.failure = job.failure;
    old.endedOnClock = job.endedOnClock;
    return old;
}

/** Returns the snapshot that a daemon of the old version would have written of a state. */
std::string encodeOld(const FleetState &state)
{
    OldStoredState stored;
    stored.manifest = toOld(state.manifest);
    stored.drainedZones.assign(state.drainedZones.begin(), state.drainedZones.end());
    stored.incarnations = state.incarnations;
    for (const auto &[number, job] : state.jobs) {
        stored.jobs[number] = toOld(job);
    }
    for (const auto &[id, cancellation] : state.cancelledBeforeSubmission) {
        stored.cancelledBeforeSubmission[id] = {cancellation.at, cancellation.onClock};
    }
    stored.waves = state.waves;
    stored.learnedModel = state.learnedModel;
    stored.lastJobNumber = state.lastJobNumber;
    stored.lastIncarnationNumber = state.lastIncarnationNumber;
    stored.retentionClock = state.retentionClock;
    return encodeVersioned(OldSnapshotVersion, stored);
}

FleetManifest oldManifest()
{
    FleetManifest manifest;
    manifest.version = 4;
    manifest.document = "document";
    manifest.services.push_back({"render", true, false});
    QueueConfig queue;
    queue.name = "queue";
    queue.host = "queue.test";
    queue.pathPrefix = "/";
    queue.service = "render";
    queue.priority = 3;
    queue.placementHint = {true, {700}};
    manifest.queues.push_back(queue);
    return manifest;
}

/** Returns a log of the old version, with a run that is active at its end and a cancellation whose job has not arrived. */
std::vector<OldFleetCommand> oldLog()
{
    WorkerProfile profile;
    profile.worker = "w";
    const TaskRef task{1, 0, 0, 0};
    return {OldPutManifest{toOld(oldManifest())},
            RegisterWorker{profile, 7},
            OldSubmitFleetJob{"runs", "queue.test", "/", Noon, twoStepJob(2, {100})},
            StartRun{task, 1, 1},
            OldCancelFleetJob{"early", Noon},
            OldCancelFleetJob{"late", Noon},
            AdvanceRetentionClock{{5'000}},
            OldSubmitFleetJob{"late", "queue.test", "/", Noon, oneStepJob(1, SmallTask, {100})}};
}

FleetState stateOfOldLog()
{
    const auto commands = decodeCommands(encodeVersioned(OldCommandVersion, oldLog()));
    REQUIRE(commands);
    REQUIRE(commands->size() == oldLog().size());
    FleetState state;
    for (const FleetCommand &command : *commands) {
        applyFleetCommand(state, command);
    }
    return state;
}

} // namespace

TEST_CASE("A log from before client accounts is read and means the same")
{
    // Guards against an upgrade after which a daemon sets its whole log aside, or refuses the jobs in it for want of a key.
    const FleetState state = stateOfOldLog();
    CHECK(state.manifest.document == "document");
    CHECK_FALSE(state.manifest.hasAccounts);
    CHECK(state.manifest.accounts.empty());
    REQUIRE(state.manifest.queues.size() == 1);
    CHECK(state.manifest.queues.front() == oldManifest().queues.front());
    REQUIRE(findJob(state, "runs") != nullptr);
    CHECK(findJob(state, "runs")->state == FleetJobState::Running);
    CHECK(findJob(state, "runs")->account == AccountTerms());
    CHECK(findJob(state, "late")->state == FleetJobState::Cancelled);
    CHECK(state.cancelledBeforeSubmission.contains("early"));
    CHECK(state.accountUsage.empty());
    CHECK(state.retentionClock.ms == 5'000);
}

TEST_CASE("A snapshot from before client accounts is read with all that it holds")
{
    // Guards against an upgrade that loses jobs, or cancellations whose jobs have not arrived.
    const FleetState state = stateOfOldLog();
    FleetState restored;
    REQUIRE(decodeFleetState(encodeOld(state), restored) == ResultCode::Ok);
    CHECK(encodeFleetState(restored) == encodeFleetState(state));
    CHECK(restored.jobNumbers == state.jobNumbers);
    CHECK(restored.accountUsage.empty());

    SUBCASE("and an early cancellation in it still counts")
    {
        applyFleetCommand(restored, SubmitFleetJob{"early", "queue.test", "/", Noon, oneStepJob(1, SmallTask, {100})});
        CHECK(findJob(restored, "early")->state == FleetJobState::Cancelled);
    }
    SUBCASE("and its jobs stay without an account when accounts are configured")
    {
        FleetManifest manifest = oldManifest();
        manifest.version = 5;
        manifest.hasAccounts = true;
        manifest.accounts.push_back({{"a", 1, {1'000, 0, 0}}, {digestOfKey("key")}});
        applyFleetCommand(restored, PutManifest{manifest});
        CHECK(findJob(restored, "runs")->account == AccountTerms());
        CHECK(applyFleetCommand(restored, CancelFleetJob{"runs", Noon, "a"}).isApplied);
        applyFleetCommand(restored, SubmitFleetJob{"early", "queue.test", "/", Noon, oneStepJob(1, SmallTask, {100}), "a", digestOfKey("key")});
        CHECK(findJob(restored, "early")->state == FleetJobState::Queued);
    }
    SUBCASE("but not if it is damaged")
    {
        const std::string bytes = encodeOld(state);
        FleetState other;
        CHECK(decodeFleetState(bytes.substr(0, bytes.size() - 1), other) == ResultCode::FrameCorrupt);
        CHECK(decodeFleetState(bytes + '\0', other) == ResultCode::FrameCorrupt);
    }
}

TEST_CASE("Accounts survive the encoding of commands and snapshots")
{
    // Guards against a field of an account that one of the encodings leaves out.
    FleetManifest manifest = oldManifest();
    manifest.queues.front().isPublic = true;
    manifest.hasAccounts = true;
    manifest.accounts = {{{"a", 7, {1'000, 2'000, 3}}, {digestOfKey("k1"), digestOfKey("k2")}}, {{"b", 0, {}}, {}}};
    SubmitFleetJob submission{"job", "queue.test", "/", Noon, oneStepJob(1, SmallTask, {100}), "a", digestOfKey("k2")};
    const auto commands = decodeCommands(encodeCommands({PutManifest{manifest}, submission, CancelFleetJob{"early", Noon, "b"}}));
    REQUIRE(commands);
    FleetState state;
    for (const FleetCommand &command : *commands) {
        applyFleetCommand(state, command);
    }
    FleetState restored;
    REQUIRE(decodeFleetState(encodeFleetState(state), restored) == ResultCode::Ok);
    for (const FleetState *each : {&state, &restored}) {
        CHECK(each->manifest.hasAccounts);
        CHECK(each->manifest.accounts == manifest.accounts);
        CHECK(each->manifest.queues == manifest.queues);
        CHECK(findJob(*each, "job")->account == manifest.accounts.front().terms);
        CHECK(each->cancelledBeforeSubmission.at("early").accounts == std::vector<AccountName>{"b"});
    }
}
