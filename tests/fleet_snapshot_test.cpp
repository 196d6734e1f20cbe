/** @file fleet_snapshot_test.cpp Tests that the state of the fleet survives a snapshot, and that snapshots and logs of earlier versions are read. */

#include "core/bounded_archive.h"
#include "fleet_jobs.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

constexpr char OldSnapshotVersion = 2; ///< Version before the history of crashes.

// The layouts of that version, written down again so that a change of the present ones does not change them too.

struct OldTaskRecord {
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    bool isDone = false;
    std::string checkpoint;
    std::vector<ActiveRun> active;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->lastRun, this->failures, this->isDone, this->checkpoint, this->active);
    }
};

struct OldStepRecord {
    std::vector<OldTaskRecord> tasks;
    std::uint32_t doneCount = 0;
    std::uint32_t activeCount = 0;
    std::uint32_t lastFailedRun = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->tasks, this->doneCount, this->activeCount, this->lastFailedRun);
    }
};

struct OldOccurrence {
    std::vector<OldStepRecord> steps;
    bool isComplete = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->steps, this->isComplete);
    }
};

struct OldFleetJob {
    JobNumber number = 0;
    JobId id;
    std::string host;
    std::string pathPrefix;
    QueueConfig queue;
    JobSpec spec;
    FleetJobState state = FleetJobState::Queued;
    WallTime acceptedAt;
    WallTime endedAt;
    std::map<std::uint32_t, OldOccurrence> occurrences;
    std::uint32_t completeCount = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->id, this->host, this->pathPrefix, this->queue, this->spec, this->state, this->acceptedAt, this->endedAt);
        archive(this->occurrences, this->completeCount);
    }
};

struct OldWorkerIncarnation {
    IncarnationNumber number = 0;
    WorkerProfile profile;
    bool hasEnded = false;
    bool hasPredecessor = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->number, this->profile, this->hasEnded, this->hasPredecessor);
    }
};

struct OldStoredState {
    FleetManifest manifest;
    std::vector<ZoneName> drainedZones;
    std::map<IncarnationNumber, OldWorkerIncarnation> incarnations;
    std::map<JobNumber, OldFleetJob> jobs;
    std::map<JobId, WallTime> cancelledBeforeSubmission;
    std::map<std::uint64_t, MaintenanceWave> waves;
    std::string learnedModel;
    JobNumber lastJobNumber = 0;
    IncarnationNumber lastIncarnationNumber = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->manifest,
                this->drainedZones,
                this->incarnations,
                this->jobs,
                this->cancelledBeforeSubmission,
                this->waves,
                this->learnedModel,
                this->lastJobNumber,
                this->lastIncarnationNumber);
    }
};

OldFleetJob toOld(const FleetJob &job)
{
    OldFleetJob old{job.number, job.id, job.host, job.pathPrefix, job.queue, job.spec, job.state, job.acceptedAt, job.endedAt, {}, job.completeCount};
    for (const auto &[number, occurrence] : job.occurrences) {
        OldOccurrence &oldOccurrence = old.occurrences[number];
        oldOccurrence.isComplete = occurrence.isComplete;
        for (const StepRecord &step : occurrence.steps) {
            OldStepRecord oldStep{{}, step.doneCount, step.activeCount, step.lastFailedRun};
            for (const TaskRecord &task : step.tasks) {
                oldStep.tasks.push_back({task.lastRun, task.failures, task.isDone, task.checkpoint, task.active});
            }
            oldOccurrence.steps.push_back(oldStep);
        }
    }
    return old;
}

/** Returns the snapshot that a daemon of the old version would have written of a state. */
std::string encodeOld(const FleetState &state)
{
    OldStoredState stored;
    stored.manifest = state.manifest;
    stored.drainedZones.assign(state.drainedZones.begin(), state.drainedZones.end());
    for (const auto &[number, incarnation] : state.incarnations) {
        stored.incarnations[number] = {incarnation.number, incarnation.profile, incarnation.hasEnded, incarnation.hasPredecessor};
    }
    for (const auto &[number, job] : state.jobs) {
        stored.jobs[number] = toOld(job);
    }
    for (const auto &[id, cancellation] : state.cancelledBeforeSubmission) {
        stored.cancelledBeforeSubmission[id] = cancellation.at;
    }
    stored.waves = state.waves;
    stored.learnedModel = state.learnedModel;
    stored.lastJobNumber = state.lastJobNumber;
    stored.lastIncarnationNumber = state.lastIncarnationNumber;
    return encodeVersioned(OldSnapshotVersion, stored);
}

/** Commands of the log before crashes were recorded. */
using OldFleetCommand = std::variant<PutManifest,
                                     SetZoneDrained,
                                     RegisterWorker,
                                     EndIncarnation,
                                     SubmitFleetJob,
                                     CancelFleetJob,
                                     OpenOccurrence,
                                     StartRun,
                                     EndRun,
                                     StartMaintenanceWave,
                                     SetMaintenanceStage,
                                     SaveLearnedModel>;

/** Plays a fleet with jobs in all states, workers that have crashed, and a drained zone. */
void playMixedDay(FleetSimulation &simulation)
{
    simulation.run({100});
    simulation.submit("done", twoStepJob(4, {300}));
    JobSpec failing = twoStepJob(1, {200});
    failing.payload = "fails";
    simulation.submit("failing", failing);
    simulation.submit("watch", longRunningJob(6, "watch"));
    JobSpec checkpointed = oneStepJob(20, SmallTask, {30'000});
    checkpointed.steps.front().isCheckpointed = true;
    simulation.submit("long", checkpointed);
    simulation.run({3'000});
    simulation.drainZone("z2", true);
    simulation.cancel("unknown");
    simulation.submit("queued", oneStepJob(1, {64'000, 4'000, 0}, {300}));
    simulation.run({500});
}

/** Returns the histories of all tasks with a crash. */
std::vector<CrashHistory> historiesWithCrash(const FleetState &state)
{
    std::vector<CrashHistory> histories;
    for (const auto &[number, job] : state.jobs) {
        for (const auto &[index, occurrence] : job.occurrences) {
            for (const StepRecord &step : occurrence.steps) {
                for (const TaskRecord &task : step.tasks) {
                    if (task.crashHistory.crashes > 0) {
                        histories.push_back(task.crashHistory);
                    }
                }
            }
        }
    }
    return histories;
}

} // namespace

TEST_CASE("A snapshot of the version before the history of crashes can still be read")
{
    FleetSimulation simulation({});
    playMixedDay(simulation);
    FleetState restored;
    REQUIRE(decodeFleetState(encodeOld(simulation.state), restored) == ResultCode::Ok);

    SUBCASE("with all that it holds")
    {
        FleetState expected = simulation.state;
        for (auto &[number, job] : expected.jobs) {
            job.failure = JobFailure::None;
            job.endedOnClock = {};
        }
        for (auto &[id, cancellation] : expected.cancelledBeforeSubmission) {
            cancellation.onClock = {};
        }
        expected.retentionClock = {};
        for (auto &[number, incarnation] : expected.incarnations) {
            incarnation.reportSequence = 0;
        }
        CHECK(encodeFleetState(restored) == encodeFleetState(expected));
        CHECK(restored.jobNumbers == simulation.state.jobNumbers);
        CHECK(restored.latestIncarnation == simulation.state.latestIncarnation);
    }

    SUBCASE("and the next leader goes on with it")
    {
        simulation.changeLeader({700});
        simulation.state = restored;
        simulation.run({45'000});
        CHECK(simulation.outcomes.at("long").state == FleetJobState::Completed);
        CHECK_MESSAGE(simulation.violations.empty(), firstViolations(simulation.violations));
    }

    SUBCASE("but not if it is damaged, or of a version that is not known")
    {
        const std::string bytes = encodeOld(simulation.state);
        FleetState other;
        CHECK(decodeFleetState(bytes.substr(0, bytes.size() - 1), other) == ResultCode::FrameCorrupt);
        CHECK(decodeFleetState(bytes + '\0', other) == ResultCode::FrameCorrupt);
        CHECK(decodeFleetState(std::string(1, OldSnapshotVersion - 1) + bytes.substr(1), other) == ResultCode::VersionUnsupported);
        CHECK(decodeFleetState(std::string(1, 100) + bytes.substr(1), other) == ResultCode::VersionUnsupported);
        CHECK(decodeFleetState({}, other) == ResultCode::FrameCorrupt);
    }
}

TEST_CASE("The history of crashes survives a snapshot")
{
    FleetSimulationSettings settings;
    settings.restartTime = {3'000};
    settings.resetsConnections = true;
    FleetSimulation simulation(settings);
    playMixedDay(simulation);
    simulation.crash("w0", true);
    simulation.run({5'000});
    simulation.makeCrashing("crash", 0, 0, {{150}, {}});
    simulation.submit("crash", oneStepJob(1, SmallTask, {9'000}));
    simulation.run({30'000});
    REQUIRE(simulation.outcomes.at("crash").failure == JobFailure::CrashesWorkers);

    FleetState restored;
    REQUIRE(decodeFleetState(encodeFleetState(simulation.state), restored) == ResultCode::Ok);
    CHECK(encodeFleetState(restored) == encodeFleetState(simulation.state));
    const std::vector<CrashHistory> before = historiesWithCrash(simulation.state);
    const std::vector<CrashHistory> after = historiesWithCrash(restored);
    REQUIRE(before.size() > 1);
    REQUIRE(after.size() == before.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        CHECK(after[i].crashes == before[i].crashes);
        CHECK(after[i].singledOut == before[i].singledOut);
        CHECK(after[i].wasYoungest == before[i].wasYoungest);
        CHECK(after[i].weight == before[i].weight);
        CHECK(after[i].longestRun == before[i].longestRun);
    }
    const auto crash = findJobStatus(restored, "crash");
    REQUIRE(crash);
    CHECK(crash->failure == JobFailure::CrashesWorkers);
}

TEST_CASE("An entry of a log from before crashes were recorded can still be read")
{
    const TaskRef task{3, 1, 0, 7};
    const WallTime wall{1'700'000'000'000};
    const EndRun end{task, 4, 9, RunOutcome::Lost, "checkpoint", wall};
    const std::vector<OldFleetCommand> old{StartRun{task, 4, 9}, end, EndIncarnation{9}, SaveLearnedModel{"model"}};
    const std::vector<FleetCommand> present{StartRun{task, 4, 9}, end, EndIncarnation{9}, SaveLearnedModel{"model"}};
    const std::string bytes = encodeCommands(present);
    // The payload begins with what precedes the commands, if anything does.
    const std::string commands = encodeBounded(old);
    REQUIRE(bytes.size() >= commands.size());
    CHECK(bytes.substr(bytes.size() - commands.size()) == commands);
    const auto decoded = decodeCommands(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->size() == old.size());
    CHECK(std::get<EndRun>(decoded->at(1)).checkpoint == "checkpoint");
    CHECK(std::get<SaveLearnedModel>(decoded->at(3)).model == "model");
}

TEST_CASE("Commands that wait together are spread over entries that can be replicated")
{
    // Guards against an entry that is larger than a peer frame: no follower ever gets it, nor any later one.
    constexpr std::size_t MaxBytes = 4'000;
    std::vector<FleetCommand> commands;
    for (std::uint64_t version = 1; version <= 9; ++version) {
        PutManifest command;
        command.manifest.version = version;
        command.manifest.document = std::string(version == 5 ? 2 * MaxBytes : MaxBytes / 3, 'x');
        commands.emplace_back(command);
    }
    std::vector<std::uint64_t> versions;
    while (!commands.empty()) {
        const EncodedEntry entry = encodeFirstCommands(commands, MaxBytes);
        REQUIRE(entry.commands >= 1);
        CHECK((entry.payload.size() <= MaxBytes || entry.commands == 1));
        const auto decoded = decodeCommands(entry.payload);
        REQUIRE(decoded);
        REQUIRE(decoded->size() == entry.commands);
        for (const FleetCommand &command : *decoded) {
            versions.push_back(std::get<PutManifest>(command).manifest.version);
        }
        commands.erase(commands.begin(), commands.begin() + static_cast<std::ptrdiff_t>(entry.commands));
    }
    CHECK(versions == std::vector<std::uint64_t>{1, 2, 3, 4, 5, 6, 7, 8, 9});
    CHECK(encodeFirstCommands({SetZoneDrained{}, SetZoneDrained{}}, MaxBytes).commands == 2);
}
