/** @file catalog_model_test.cpp Test of the jobs of the replicated state against a naive model, with random commands. */

#include "catalog_fixture.h"
#include "core/random.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Filbertlanding;

namespace {

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

} // namespace

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
