/** @file catalog_test.cpp Tests of the replicated state. */

#include "catalog/catalog_func.h"
#include "catalog/operation_table.h"
#include "core/random.h"
#include "test_seed.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <utility>

using namespace Filbertlanding;

namespace {

constexpr const char *BaseFile = R"({"services": {"survey": {}, "quote-desk": {}}, "teams": {"field": {}, "office": {"weight": 2}}})";

/** A catalog with helpers that apply commands at the next index. */
struct CatalogFixture {
    Catalog catalog;

    CatalogFixture()
    {
        REQUIRE(this->change("base", 0, BaseFile).code == ResultCode::Ok);
    }

    CommandResult apply(const LogCommand &command)
    {
        return applyCommand(this->catalog, command, this->catalog.appliedIndex + 1);
    }

    CommandResult change(const std::string &operation, std::uint64_t base, const std::string &text, std::int64_t wallTimeMs = 0)
    {
        return this->apply(ChangeFiles{ChangeKind::Put, {{"file-" + operation, text}}, base, operation, "abebe", {wallTimeMs}});
    }

    CommandResult submit(const JobId &job, std::uint32_t tasks = 1)
    {
        return this->apply(SubmitJob{"submit-" + job, job, {"survey", "field", "slab", {1000, 100, 0}, 0, false, tasks}});
    }

    ResultCode assign(const JobId &job, std::uint64_t epoch, TaskRange tasks, std::uint64_t resumeFrom = 0, const DaemonName &daemon = "bole-1")
    {
        return this->apply(AssignJob{job, epoch, daemon, daemon.substr(0, daemon.find('-')), tasks, resumeFrom}).code;
    }

    void restoreFromSnapshot()
    {
        auto decoded = decodeCatalog(encodeCatalog(this->catalog));
        REQUIRE(decoded.code == ResultCode::Ok);
        REQUIRE(decoded.value == this->catalog);
        this->catalog = std::move(decoded.value);
    }
};

/** What the catalog must hold of one job, written down task by task. */
struct NaiveJob {
    static constexpr std::uint32_t Tasks = 4;
    enum class End { None, Finished, Failed, Cancelled };

    bool submitted = false;
    End end = End::None;
    std::uint64_t lastEpoch = 0;
    std::array<std::uint64_t, Tasks> owner{}; ///< Epoch that runs the task; 0 for none.
    std::array<bool, Tasks> finished{};
    std::map<std::uint64_t, std::vector<std::uint32_t>> tasksOf; ///< Tasks given to each epoch, ended or not.
    std::map<std::uint64_t, DaemonName> daemonOf; ///< Daemon of each epoch.
    std::set<std::uint64_t> live;
    std::map<std::uint64_t, std::string> committed; ///< Last committed checkpoint of each live epoch.
    std::map<std::uint64_t, std::string> waiting; ///< Checkpoints by epoch that nobody has resumed from.
    std::set<std::uint64_t> resumed; ///< Epochs whose checkpoint was used.
    int finishes = 0;

    void endEpoch(std::uint64_t epoch)
    {
        this->live.erase(epoch);
        this->committed.erase(epoch);
        std::replace(this->owner.begin(), this->owner.end(), epoch, std::uint64_t{0});
    }

    bool isActive() const
    {
        return this->submitted && this->end == End::None;
    }

    bool assign(const AssignJob &command)
    {
        if (!this->isActive() || command.epoch != this->lastEpoch + 1 || command.tasks.count() == 0 || command.tasks.end > Tasks) {
            return false;
        }
        std::vector<std::uint32_t> tasks;
        for (auto task = command.tasks.first; task < command.tasks.end; ++task) {
            if (this->owner[task] != 0 || this->finished[task]) {
                return false;
            }
            tasks.push_back(task);
        }
        if (command.resumeFrom != 0) {
            const auto &covered = this->tasksOf[command.resumeFrom];
            const bool isCovered = std::includes(covered.begin(), covered.end(), tasks.begin(), tasks.end());
            if (!this->waiting.contains(command.resumeFrom) || !isCovered) {
                return false;
            }
            RC_ASSERT(this->resumed.insert(command.resumeFrom).second);
        }
        std::erase_if(this->waiting, [&](const auto &checkpoint) {
            const auto &covered = this->tasksOf[checkpoint.first];
            return std::any_of(tasks.begin(), tasks.end(), [&covered](std::uint32_t task) {
                return std::find(covered.begin(), covered.end(), task) != covered.end();
            });
        });
        this->lastEpoch = command.epoch;
        this->live.insert(command.epoch);
        this->tasksOf[command.epoch] = tasks;
        RC_ASSERT(this->daemonOf.emplace(command.epoch, command.daemon).second);
        for (const auto task : tasks) {
            this->owner[task] = command.epoch;
        }
        return true;
    }

    bool evict(const EvictJob &command)
    {
        if (!this->isActive() || !this->live.contains(command.epoch)) {
            return false;
        }
        const auto &checkpoint = command.checkpoint.empty() ? this->committed[command.epoch] : command.checkpoint;
        if (!checkpoint.empty()) {
            this->waiting[command.epoch] = checkpoint;
        }
        this->endEpoch(command.epoch);
        return true;
    }

    bool finish(const FinishTasks &command)
    {
        if (!this->isActive() || !this->live.contains(command.epoch)) {
            return false;
        }
        for (const auto &range : command.tasks) {
            for (auto task = range.first; task < range.end; ++task) {
                const auto &own = this->tasksOf[command.epoch];
                if (std::find(own.begin(), own.end(), task) == own.end()) {
                    return false;
                }
            }
            if (range.count() == 0) {
                return false;
            }
        }
        for (auto task = command.tasks[0].first; task < command.tasks[0].end; ++task) {
            this->finished[task] = true;
            this->owner[task] = 0;
        }
        const auto &own = this->tasksOf[command.epoch];
        if (std::all_of(own.begin(), own.end(), [this](std::uint32_t task) {
                return this->finished[task];
            })) {
            this->endEpoch(command.epoch);
        }
        if (std::all_of(this->finished.begin(), this->finished.end(), [](bool isFinished) {
                return isFinished;
            })) {
            this->end = End::Finished;
            ++this->finishes;
        }
        return true;
    }
};

/** Draws a command for one of two jobs; small numbers, so that most commands are nearly valid. */
LogCommand makeRandomCommand(Random &random, std::map<JobId, NaiveJob> &jobs)
{
    const JobId id = random.below(2) == 0 ? "j1" : "j2";
    const auto &job = jobs[id];
    // Mostly the current epoch or the next one; sometimes an older or a far one.
    const auto epoch = random.below(4) == 0 ? random.below(8) : job.lastEpoch + (random.below(2));
    const auto first = static_cast<std::uint32_t>(random.below(NaiveJob::Tasks));
    const TaskRange tasks{first, first + static_cast<std::uint32_t>(random.below(NaiveJob::Tasks))};
    const auto checkpoint = random.below(2) == 0 ? std::string() : "c" + std::to_string(random.below(3));
    switch (random.below(14)) {
    case 0:
        return SubmitJob{"submit-" + id, id, {"survey", "field", "slab", {1000, 100, 0}, 0, false, NaiveJob::Tasks}};
    case 1:
    case 2:
    case 3:
    case 4:
    case 5: {
        const auto resumeFrom = !job.waiting.empty() && random.below(3) > 0 ? job.waiting.begin()->first : random.below(3);
        return AssignJob{id,
                         job.lastEpoch + 1 - std::min<std::uint64_t>(random.below(5) / 4, job.lastEpoch),
                         random.below(2) == 0 ? "bole-1" : "piassa-1",
                         "bole",
                         tasks,
                         resumeFrom};
    }
    case 6:
        return CheckpointJob{id, epoch, "k" + std::to_string(random.below(3))};
    case 7:
    case 8:
    case 9:
        return EvictJob{id, epoch, checkpoint, EvictCause::Eviction};
    case 10:
    case 11:
    case 12:
        if (!job.live.empty() && random.below(4) > 0) {
            const auto &own = job.tasksOf.at(*job.live.begin());
            return FinishTasks{id, *job.live.begin(), {{own.front(), own.back() + 1}}, "done"};
        }
        return FinishTasks{id, epoch, {tasks}, "done"};
    default:
        return random.below(8) == 0
            ? LogCommand(CancelJob{id})
            : (random.below(16) == 0 ? LogCommand(FailJob{id, epoch, ResultCode::JobFailed, "broken"}) : LogCommand(CheckpointJob{id, epoch, "k"}));
    }
}

/** Applies a command to the naive model. Returns whether it changes anything. */
bool applyNaively(std::map<JobId, NaiveJob> &jobs, const LogCommand &command)
{
    if (const auto *submit = std::get_if<SubmitJob>(&command)) {
        return !std::exchange(jobs[submit->job].submitted, true);
    }
    if (const auto *assign = std::get_if<AssignJob>(&command)) {
        return jobs[assign->job].assign(*assign);
    }
    if (const auto *evict = std::get_if<EvictJob>(&command)) {
        return jobs[evict->job].evict(*evict);
    }
    if (const auto *finish = std::get_if<FinishTasks>(&command)) {
        return jobs[finish->job].finish(*finish);
    }
    if (const auto *checkpoint = std::get_if<CheckpointJob>(&command)) {
        auto &job = jobs[checkpoint->job];
        const bool isLive = job.isActive() && job.live.contains(checkpoint->epoch);
        if (isLive) {
            job.committed[checkpoint->epoch] = checkpoint->checkpoint;
        }
        return isLive;
    }
    if (const auto *fail = std::get_if<FailJob>(&command)) {
        auto &job = jobs[fail->job];
        const bool isValid = job.isActive() && (job.live.contains(fail->epoch) || (job.live.empty() && fail->epoch == job.lastEpoch));
        job.end = isValid ? NaiveJob::End::Failed : job.end;
        return isValid;
    }
    auto &job = jobs[std::get<CancelJob>(command).job];
    const bool isValid = job.isActive();
    job.end = isValid ? NaiveJob::End::Cancelled : job.end;
    return isValid;
}

void compareJob(const JobRecord &record, const NaiveJob &naive)
{
    constexpr JobState Ends[] = {JobState::Waiting, JobState::Finished, JobState::Failed, JobState::Cancelled};
    RC_ASSERT(naive.finishes <= 1);
    if (naive.end != NaiveJob::End::None) {
        RC_ASSERT(record.state == Ends[static_cast<std::size_t>(naive.end)]);
        RC_ASSERT(record.assignments.empty());
        return;
    }
    RC_ASSERT(record.state == (naive.live.empty() ? JobState::Waiting : JobState::Running));
    RC_ASSERT(record.lastEpoch == naive.lastEpoch);
    RC_ASSERT(record.assignments.size() == naive.live.size());
    for (const auto &assignment : record.assignments) {
        RC_ASSERT(naive.daemonOf.at(assignment.epoch) == assignment.daemon);
        for (auto task = assignment.tasks.first; task < assignment.tasks.end; ++task) {
            RC_ASSERT(naive.owner[task] == assignment.epoch || naive.finished[task]);
        }
    }
    RC_ASSERT(record.checkpoints.size() == naive.waiting.size());
    for (const auto &checkpoint : record.checkpoints) {
        RC_ASSERT(naive.waiting.at(checkpoint.epoch) == checkpoint.data);
    }
    for (std::uint32_t task = 0; task < NaiveJob::Tasks; ++task) {
        RC_ASSERT(naive.finished[task] == containsRange(record.finished, {task, task + 1}));
    }
}

/** A catalog with something of everything, for the encoding. */
Catalog makeFullCatalog()
{
    CatalogFixture fixture;
    fixture.apply(DaemonLifeCycleEvent{"bole-1", 1, true});
    fixture.change("bad", 1, R"({"teams": 1})");
    fixture.change("late", 0, "{}");
    fixture.submit("j1", 4);
    fixture.submit("j2");
    fixture.submit("j3");
    fixture.assign("j1", 1, {0, 3});
    fixture.apply(FinishTasks{"j1", 1, {{0, 1}, {2, 3}}, "half"});
    fixture.apply(EvictJob{"j1", 1, "checkpoint", EvictCause::Eviction});
    fixture.assign("j1", 2, {1, 2}, 1);
    fixture.assign("j2", 1, {0, 1});
    fixture.apply(EvictJob{"j2", 1, "more", EvictCause::Eviction});
    fixture.apply(FailJob{"j3", 0, ResultCode::FitsNoWorker, "memoryMb"});
    fixture.change("drain", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}, "services": {"survey": {"state": "closed"}}})");
    fixture.apply(FinalCounters{"survey", "bole-1", 1, 1, "counts"});
    fixture.apply(DaemonLifeCycleEvent{"bole-1", 2, true});
    fixture.apply(AcceptGap{"quote-desk", "bole-1", 1, "gap", "abebe", {7}});
    return fixture.catalog;
}

} // namespace

TEST_CASE("Two operators change the configuration at the same version")
{
    CatalogFixture fixture;
    const auto won = fixture.change("drain-bole", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}})", 100);
    const auto lost = fixture.change("close-survey", 1, R"({"services": {"survey": {"state": "closed"}}})", 100);

    SUBCASE("exactly one change is accepted and the other operator learns which")
    {
        CHECK(won.code == ResultCode::Ok);
        CHECK(won.version == 2);
        CHECK(lost.code == ResultCode::VersionConflict);
        CHECK(lost.winner == "drain-bole");
        CHECK(lost.winnerOperator == "abebe");
        CHECK(lost.winnerFiles == std::vector<std::string>{"file-drain-bole"});
        CHECK(fixture.catalog.intent.configuration.services.at("survey").state == ServiceState::Open);
        CHECK(fixture.catalog.intent.history.back().drained == std::vector<ZoneName>{"bole"});
    }

    SUBCASE("a resend gets the first answer, also after a restart from a snapshot and after later changes")
    {
        // Guards against a change that is applied twice, or refused on the resend although it was accepted.
        fixture.change("later", 2, "{}");
        fixture.restoreFromSnapshot();
        CHECK(fixture.change("drain-bole", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}})", 999) == won);
        CHECK(fixture.change("close-survey", 1, R"({"services": {"survey": {"state": "closed"}}})", 999) == lost);
        CHECK(fixture.catalog.intent.version == 3);
        CHECK(fixture.change("drain-bole", 3, "{}").code == ResultCode::OperationIdReused);
    }

    SUBCASE("an invalid change or sync changes nothing and names file and pointer")
    {
        const auto before = fixture.catalog.intent;
        const auto sync = fixture.apply(ChangeFiles{ChangeKind::Sync, {{"a", "{}"}, {"b", R"({"teams": {"field": {"weight": 0}}})"}}, 2, "sync", "abebe", {}});
        CHECK(sync.code == ResultCode::IntentInvalid);
        REQUIRE(sync.errors.size() == 1);
        CHECK(sync.errors[0].file == "b");
        CHECK(sync.errors[0].pointer == "/teams/field/weight");
        CHECK(fixture.apply(ChangeFiles{ChangeKind::Remove, {{"file-base", ""}, {"no-such", ""}}, 2, "remove", "abebe", {}}).code == ResultCode::NotFound);
        CHECK(fixture.catalog.intent == before);

        const auto accepted = fixture.apply(ChangeFiles{ChangeKind::Sync, {{"only", BaseFile}}, 2, "sync-2", "abebe", {}});
        CHECK(accepted.code == ResultCode::Ok);
        CHECK(fixture.catalog.intent.files == std::map<std::string, std::string>{{"only", BaseFile}});
        CHECK(fixture.catalog.intent.history.back().returned == std::vector<ZoneName>{"bole"});
    }
}

TEST_CASE("Operation ids are bounded by age, count and memory")
{
    OperationTable table;
    CommandResult result;
    for (std::uint64_t i = 1; i <= MaxOperations + 5; ++i) {
        recordResult(table, std::to_string(i), i, i, result);
    }
    CHECK(table.records.size() == MaxOperations);
    CHECK_FALSE(findResult(table, "5", 5));
    CHECK(findResult(table, "6", 6));
    recordResult(table, "late", 0, MaxOperationAge + 100, result);
    CHECK_FALSE(findResult(table, "99", 99));
    CHECK(findResult(table, "100", 100));
    result.message = std::string(MaxOperationBytes / 2, 'x');
    recordResult(table, "large-1", 0, MaxOperationAge + 101, result);
    recordResult(table, "large-2", 0, MaxOperationAge + 102, result);
    CHECK(table.records.size() == 1);
    CHECK(table.bytes <= MaxOperationBytes);
}

TEST_CASE("Jobs follow a naive model under duplicates, reordering and stale epochs")
{
    // Guards against a survey that runs in two places, finishes twice or resumes twice from one checkpoint.
    std::map<ResultCode, int> codes;
    CHECK(rc::check([&codes] {
        Random random{*rc::gen::arbitrary<std::uint64_t>()};
        CatalogFixture fixture;
        std::map<JobId, NaiveJob> naive;
        std::vector<LogCommand> sent;
        for (int step = 0; step < 120; ++step) {
            const bool isResend = !sent.empty() && random.below(4) == 0;
            auto command = isResend ? sent[random.below(sent.size())] : makeRandomCommand(random, naive);
            sent.push_back(command);
            const auto jobsBefore = fixture.catalog.jobs;
            const auto result = fixture.apply(command);
            ++codes[result.code];
            const bool isChange = applyNaively(naive, command);
            // A command that the model ignores must change nothing, whether it is refused or known already.
            RC_ASSERT((isChange ? result.code == ResultCode::Ok : fixture.catalog.jobs == jobsBefore));
            for (const auto &[id, record] : fixture.catalog.jobs.jobs) {
                compareJob(record, naive[id]);
            }
            if (random.below(20) == 0) {
                fixture.restoreFromSnapshot();
            }
        }
    }));
    // The sequences must reach the refusals that they are meant to test.
    for (const auto code : {ResultCode::StaleEpoch, ResultCode::CheckpointUsed, ResultCode::JobCancelled, ResultCode::JobFinished, ResultCode::JobFailed}) {
        CHECK_MESSAGE(codes[code] > 20, resultCodeRow(code).name);
    }
}

TEST_CASE("The life of a survey")
{
    CatalogFixture fixture;
    REQUIRE(fixture.submit("j1").code == ResultCode::Ok);

    SUBCASE("a resend of the submission through another daemon gets the id of the first job")
    {
        auto resend = fixture.submit("j2");
        CHECK(resend.job == "j2");
        resend = fixture.apply(SubmitJob{"submit-j1", "other", {"survey", "field", "slab", {1000, 100, 0}, 0, false, 1}});
        CHECK(resend.code == ResultCode::Ok);
        CHECK(resend.job == "j1");
        CHECK(fixture.catalog.jobs.jobs.size() == 2);
    }

    SUBCASE("a resent command is answered like the first one")
    {
        CHECK(fixture.assign("j1", 1, {0, 1}) == ResultCode::Ok);
        CHECK(fixture.assign("j1", 1, {0, 1}) == ResultCode::Ok);
        CHECK(fixture.assign("j1", 1, {0, 1}, 0, "bole-2") == ResultCode::StaleEpoch);
        CHECK(fixture.apply(FinishTasks{"j1", 1, {{0, 1}}, "done"}).code == ResultCode::Ok);
        CHECK(fixture.apply(FinishTasks{"j1", 1, {{0, 1}}, "done"}).code == ResultCode::Ok);
        CHECK(fixture.apply(FinishTasks{"j1", 2, {{0, 1}}, "other"}).code == ResultCode::JobFinished);
        CHECK(fixture.catalog.jobs.jobs.at("j1").result == "done");
        CHECK(fixture.apply(CancelJob{"j1"}).code == ResultCode::JobFinished);
    }

    SUBCASE("when a daemon dies, the job resumes from its last committed checkpoint")
    {
        fixture.assign("j1", 1, {0, 1});
        fixture.apply(CheckpointJob{"j1", 1, "half way"});
        fixture.apply(EvictJob{"j1", 1, "", EvictCause::LeaseEnded});
        CHECK(fixture.assign("j1", 2, {0, 1}, 1) == ResultCode::Ok);
        CHECK(fixture.catalog.jobs.jobs.at("j1").assignments[0].resumeCheckpoint == "half way");
        CHECK(fixture.catalog.jobs.jobs.at("j1").evictions == 0);
    }

    SUBCASE("nothing is assigned into a drained zone, even by a leader with an old view")
    {
        fixture.change("drain", 1, R"({"availabilityZones": {"bole": {"state": "drained"}}})");
        CHECK(fixture.assign("j1", 1, {0, 1}) == ResultCode::ZoneDrained);
        CHECK(fixture.assign("j1", 1, {0, 1}, 0, "piassa-1") == ResultCode::Ok);
    }

    SUBCASE("submissions are checked against the configuration and the bounds")
    {
        const JobSpec good{"survey", "field", "slab", {1, 1, 0}, 0, false, 1};
        int number = 0;
        const auto submit = [&fixture, &number](const JobSpec &spec) {
            const auto name = "x" + std::to_string(++number);
            return fixture.apply(SubmitJob{name, name, spec}).code;
        };
        const auto with = [&good](auto change) {
            auto spec = good;
            change(spec);
            return spec;
        };
        CHECK(submit(good) == ResultCode::Ok);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.service = "none";
              }))
              == ResultCode::ServiceUnknown);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.team = "none";
              }))
              == ResultCode::TeamUnknown);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.taskCount = MaxTasksPerJob + 1;
              }))
              == ResultCode::OutOfRange);
        CHECK(submit(with([](JobSpec &spec) {
                  spec.size.memoryMb = -1;
              }))
              == ResultCode::OutOfRange);
        fixture.change("close", 1, R"({"services": {"survey": {"state": "closed"}}})");
        CHECK(submit(good) == ResultCode::ServiceClosed);
    }

    SUBCASE("records of ended jobs are dropped, but stay in the tally")
    {
        const auto total = MaxTerminalJobs + 10;
        for (std::size_t i = 0; i < total; ++i) {
            const auto id = "n" + std::to_string(i);
            fixture.submit(id);
            fixture.apply(CancelJob{id});
        }
        CHECK(fixture.catalog.jobs.jobs.size() == MaxTerminalJobs + 1);
        CHECK_FALSE(fixture.catalog.jobs.jobs.contains("n9"));
        CHECK(fixture.catalog.jobs.tallies.at({"survey", "field", ""}) == JobTally{total + 1, 0, 0, total, 0, 0});
    }
}

TEST_CASE("Final counters and gaps")
{
    CatalogFixture fixture;
    const auto &served = fixture.catalog.services.services;
    fixture.apply(DaemonLifeCycleEvent{"bole-1", 5, true});
    CHECK(fixture.apply(DaemonLifeCycleEvent{"bole-1", 4, true}).code == ResultCode::StaleEpoch);
    CHECK(fixture.apply(FinalCounters{"survey", "piassa-1", 1, 1, "x"}).code == ResultCode::NotFound);
    CHECK(fixture.apply(AcceptGap{"survey", "bole-1", 5, "gap-0", "abebe", {}}).code == ResultCode::GapNotFound);

    SUBCASE("a late duplicate does not replace newer counts")
    {
        CHECK(fixture.apply(FinalCounters{"survey", "bole-1", 5, 2, "new"}).code == ResultCode::Ok);
        CHECK(fixture.apply(FinalCounters{"survey", "bole-1", 5, 1, "old"}).code == ResultCode::StaleEpoch);
        CHECK(served.at("survey").served.at({"bole-1", 5}).counters == "new");
    }

    SUBCASE("a daemon that died is missing until its gap is accepted; a late resend of its start does not revive it")
    {
        fixture.apply(DaemonLifeCycleEvent{"bole-1", 6, true});
        CHECK(fixture.apply(AcceptGap{"survey", "bole-1", 5, "gap", "abebe", {3}}).code == ResultCode::Ok);
        CHECK(fixture.apply(AcceptGap{"survey", "bole-1", 7, "gap-7", "abebe", {3}}).code == ResultCode::GapNotFound);
        CHECK(served.at("survey").served.at({"bole-1", 5}).gapAccepted);
        fixture.apply(DaemonLifeCycleEvent{"bole-1", 6, false});
        fixture.apply(DaemonLifeCycleEvent{"bole-1", 6, true});
        CHECK_FALSE(fixture.catalog.services.daemons.at("bole-1").running);
    }

    SUBCASE("counts that were final at a close are awaited again when the service reopens")
    {
        fixture.change("close", 1, R"({"services": {"survey": {"state": "closed"}}})");
        fixture.apply(FinalCounters{"survey", "bole-1", 5, 1, "x"});
        CHECK(served.at("survey").closedVersion == 2);
        fixture.change("open", 2, R"({"services": {"survey": {"state": "open"}}})");
        CHECK_FALSE(served.at("survey").served.at({"bole-1", 5}).delivered);
        fixture.apply(FinalCounters{"survey", "bole-1", 5, 1, "x"});
        CHECK_FALSE(served.at("survey").served.at({"bole-1", 5}).delivered);
        fixture.apply(FinalCounters{"survey", "bole-1", 5, 2, "y"});
        CHECK(served.at("survey").served.at({"bole-1", 5}).delivered);
    }
}

TEST_CASE("Encoding")
{
    const auto catalog = makeFullCatalog();
    const auto snapshot = encodeCatalog(catalog);
    const std::vector<LogCommand> commands{ChangeFiles{ChangeKind::Sync, {{"a", "{}"}}, 3, "op", "abebe", {5}},
                                           SubmitJob{"op", "j", {"s", "t", "c", {1, 2, 3}, -4, true, 5}},
                                           AssignJob{"j", 1, "d", "z", {2, 3}, 4},
                                           CheckpointJob{"j", 1, "c"},
                                           EvictJob{"j", 1, "c", EvictCause::LeaseEnded},
                                           FinishTasks{"j", 1, {{1, 2}, {4, 9}}, "r"},
                                           FailJob{"j", 1, ResultCode::FitsNoWorker, "why"},
                                           CancelJob{"j"},
                                           DaemonLifeCycleEvent{"d", 1, false},
                                           FinalCounters{"s", "d", 1, 2, "c"},
                                           AcceptGap{"s", "d", 1, "op", "abebe", {6}}};

    SUBCASE("a snapshot and every command survive the round trip")
    {
        const auto decoded = decodeCatalog(snapshot);
        REQUIRE(decoded.code == ResultCode::Ok);
        CHECK(decoded.value == catalog);
        for (const auto &command : commands) {
            const auto bytes = encodeCommand(command);
            const auto again = decodeCommand(bytes);
            REQUIRE(again.code == ResultCode::Ok);
            CHECK(again.value.index() == command.index());
            CHECK(encodeCommand(again.value) == bytes);
        }
        CHECK(std::get<SubmitJob>(decodeCommand(encodeCommand(commands[1])).value).spec == std::get<SubmitJob>(commands[1]).spec);
    }

    SUBCASE("damaged bytes are refused or decode to something that can be encoded again")
    {
        // Guards against a crash, an endless allocation or an invalid enumerator from a hostile peer or a bad disk.
        Random random{testSeed()};
        int refused = 0;
        for (int round = 0; round < 20'000; ++round) {
            const bool isSnapshot = round % 4 == 0;
            auto bytes = isSnapshot ? snapshot : encodeCommand(commands[random.below(commands.size())]);
            for (auto damages = 1 + random.below(3); damages > 0; --damages) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(3) == 0 ? 0xff : random.next());
            }
            bytes.resize(random.below(3) == 0 ? random.below(bytes.size()) : bytes.size());
            if (isSnapshot) {
                const auto decoded = decodeCatalog(bytes);
                refused += decoded.code == ResultCode::Ok ? 0 : 1;
                const bool isStable = decoded.code != ResultCode::Ok || decodeCatalog(encodeCatalog(decoded.value)).value == decoded.value;
                REQUIRE(isStable);
            } else {
                const auto decoded = decodeCommand(bytes);
                refused += decoded.code == ResultCode::Ok ? 0 : 1;
                const bool isStable =
                    decoded.code != ResultCode::Ok || encodeCommand(decodeCommand(encodeCommand(decoded.value)).value) == encodeCommand(decoded.value);
                REQUIRE(isStable);
                Catalog target = catalog;
                applyCommand(target, decoded.value, catalog.appliedIndex + 1);
            }
        }
        CHECK(refused > 5'000);
    }

    SUBCASE("every truncation, a size that announces gigabytes, another version and an oversized command are refused")
    {
        for (std::size_t length = 0; length < snapshot.size(); ++length) {
            REQUIRE(decodeCatalog(std::string_view(snapshot).substr(0, length)).code == ResultCode::FrameCorrupt);
        }
        auto hostile = encodeCommand(commands[7]);
        hostile.replace(5, 4, "\xff\xff\xff\x7f");
        CHECK(decodeCommand(hostile).code == ResultCode::FrameCorrupt);
        CHECK(decodeCommand("\x02").code == ResultCode::VersionUnsupported);
        CHECK(decodeCommand(encodeCommand(commands[7]) + "x").code == ResultCode::FrameCorrupt);
        CHECK(decodeCommand(std::string(MaxCommandBytes + 1, '\x01')).code == ResultCode::TooLarge);
    }
}
