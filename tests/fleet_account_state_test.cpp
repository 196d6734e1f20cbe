/** @file fleet_account_state_test.cpp Tests that the replicated state keeps keys, terms and usage of accounts alike on all replicas. */

#include "account/account_limit.h"
#include "account/api_key.h"
#include "fleet/state_memory.h"
#include "fleet_jobs.h"
#include "test_seed.h"

#include <doctest/doctest.h>

#include <utility>

using namespace Filbertlanding;

namespace {

constexpr WallTime Noon{1'800'000'000'000};
constexpr std::uint64_t Few = 4;

std::string keyOf(const AccountName &account, std::uint64_t number)
{
    return "key-" + account + std::to_string(number);
}

ClientAccount account(const AccountName &name, const std::vector<std::uint64_t> &keys, std::int64_t cpuMillis = 0)
{
    ClientAccount made{{name, 1, {cpuMillis, 0, 0}}, {}};
    for (const std::uint64_t key : keys) {
        made.keys.push_back(digestOfKey(keyOf(name, key)));
    }
    return made;
}

/** Returns a manifest with the queues "closed.test" and "public.test". */
FleetManifest manifest(std::uint64_t version, const std::vector<ClientAccount> &accounts)
{
    FleetManifest made;
    made.version = version;
    made.document = "manifest " + std::to_string(version);
    for (const char *host : {"closed.test", "public.test"}) {
        QueueConfig queue;
        queue.name = host;
        queue.host = host;
        queue.pathPrefix = "/";
        queue.maxAttempts = 2;
        queue.isPublic = queue.host == "public.test";
        made.queues.push_back(queue);
    }
    made.hasAccounts = true;
    made.accounts = accounts;
    return made;
}

SubmitFleetJob submission(const JobId &id, const AccountName &account, std::uint64_t key, const std::string &host = "closed.test")
{
    SubmitFleetJob command{id, host, "/", Noon, oneStepJob(3, SmallTask, {100})};
    command.account = account;
    command.keyDigest = account.empty() ? KeyDigest() : digestOfKey(keyOf(account, key));
    return command;
}

CancelFleetJob cancellation(const JobId &id, const AccountName &account)
{
    return {id, Noon, account};
}

/** Returns the usage as a plain count over all active runs. */
AccountUsage countRuns(const FleetState &state)
{
    AccountUsage usage;
    for (const auto &[number, job] : state.jobs) {
        for (const auto &[index, occurrence] : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                for (const TaskRecord &task : occurrence.steps[step].tasks) {
                    for (std::size_t run = 0; run < task.active.size() && !job.account.name.empty(); ++run) {
                        usage[job.account.name] = usage[job.account.name] + job.spec.steps[step].request;
                    }
                }
            }
        }
    }
    std::erase_if(usage, [](const auto &item) {
        return item.second == Resources();
    });
    return usage;
}

/** Draws a command log as a leader under changing manifests would write it, with some commands that are outdated. */
struct LogWriter {
    Random random;
    std::uint64_t version = 0;

    std::uint64_t few()
    {
        return this->random.below(Few);
    }

    AccountName anyAccount()
    {
        const std::uint64_t drawn = this->few();
        return drawn == 0 ? AccountName() : "account" + std::to_string(drawn);
    }

    JobId anyJob()
    {
        return "job" + std::to_string(this->random.below(24));
    }

    TaskRef anyTask(const FleetState &state)
    {
        TaskRef ref{state.lastJobNumber == 0 ? 1 : 1 + this->random.below(state.lastJobNumber), 0, 0, 0};
        ref.step = static_cast<std::uint32_t>(this->random.below(2));
        ref.index = static_cast<std::uint32_t>(this->few());
        ref.occurrence = static_cast<std::uint32_t>(this->random.below(2));
        return ref;
    }

    const TaskRecord *find(const FleetState &state, const TaskRef &ref)
    {
        const auto job = state.jobs.find(ref.job);
        if (job == state.jobs.end() || !job->second.occurrences.contains(ref.occurrence)) {
            return nullptr;
        }
        const auto &steps = job->second.occurrences.at(ref.occurrence).steps;
        return ref.step < steps.size() && ref.index < steps[ref.step].tasks.size() ? &steps[ref.step].tasks[ref.index] : nullptr;
    }

    FleetCommand anyManifest()
    {
        std::vector<ClientAccount> accounts;
        for (std::uint64_t number = 1; number < Few; ++number) {
            if (this->few() > 0) {
                accounts.push_back(
                    account("account" + std::to_string(number), {this->few(), this->few()}, static_cast<std::int64_t>(this->random.below(9'000))));
            }
        }
        FleetManifest made = manifest(++this->version, accounts);
        if (this->random.below(10) == 0) {
            made.hasAccounts = false;
            made.accounts.clear();
        }
        return PutManifest{made};
    }

    FleetCommand anySubmission()
    {
        SubmitFleetJob command = submission(this->anyJob(), this->anyAccount(), this->few(), this->few() == 0 ? "public.test" : "closed.test");
        command.spec = this->few() == 0 ? twoStepJob(3, {100}) : command.spec;
        command.spec.steps.front().allowsSpeculativeCopies = this->few() == 0;
        command.spec.steps.front().isLongRunning = this->few() == 0;
        command.spec.steps.front().isGang = this->few() == 0;
        command.spec.repeatCount = this->few() == 0 ? 2 : 0;
        if (this->few() == 0) {
            command.spec.steps.front().request = {};
        }
        return command;
    }

    FleetCommand anyEnd(const FleetState &state)
    {
        const TaskRef ref = this->anyTask(state);
        const TaskRecord *task = this->find(state, ref);
        EndRun command{ref, 1, 1, static_cast<RunOutcome>(this->random.below(8)), {}, Noon};
        if (task != nullptr && !task->active.empty()) {
            command.run = task->active.front().run;
            command.incarnation = task->active.front().incarnation;
        }
        return command;
    }

    FleetCommand anyCrash(const FleetState &state)
    {
        RecordCrash command;
        command.incarnation = this->anyIncarnation(state);
        command.at = Noon;
        command.runs.push_back({this->anyTask(state), 1, true, {100}, {200}, 1'000});
        return command;
    }

    IncarnationNumber anyIncarnation(const FleetState &state)
    {
        return state.lastIncarnationNumber - static_cast<IncarnationNumber>(this->random.below(std::min<std::uint64_t>(Few, state.lastIncarnationNumber)));
    }

    FleetCommand anyWorker()
    {
        WorkerProfile profile;
        profile.worker = "w" + std::to_string(this->few());
        profile.startedAtMs = static_cast<std::int64_t>(this->random.below(1'000'000));
        profile.capacity = {64'000, 64'000, 4};
        return RegisterWorker{profile, 0};
    }

    FleetCommand next(const FleetState &state)
    {
        const std::uint64_t drawn = this->random.below(100);
        if (drawn < 6) {
            return this->anyManifest();
        }
        if (drawn < 14) {
            return this->anyWorker();
        }
        if (drawn < 32) {
            return this->anySubmission();
        }
        if (drawn < 67) {
            const TaskRef ref = this->anyTask(state);
            const TaskRecord *task = this->find(state, ref);
            return StartRun{ref, task == nullptr ? 1 : task->lastRun + 1, this->anyIncarnation(state)};
        }
        if (drawn < 82) {
            return this->anyEnd(state);
        }
        if (drawn < 85) {
            return EndIncarnation{this->anyIncarnation(state)};
        }
        if (drawn < 87) {
            return this->anyCrash(state);
        }
        if (drawn < 92) {
            return cancellation(this->anyJob(), this->anyAccount());
        }
        return drawn < 95 ? FleetCommand(OpenOccurrence{this->anyTask(state).job, static_cast<std::uint32_t>(this->random.below(2))})
                          : FleetCommand(AdvanceRetentionClock{MaxRetentionClockAdvance});
    }
};

} // namespace

TEST_CASE("The same log gives the same accounts on each replica, also through a snapshot at any point")
{
    // Guards against usage that depends on how a replica got its state: a new leader would hold tasks back, or exceed a limit.
    std::size_t withUsage = 0;
    for (std::uint64_t seed = testSeed(); seed < testSeed() + testRuns(30); ++seed) {
        LogWriter writer{Random{seed}};
        FleetState state;
        FleetState restored;
        for (int i = 0; i < 1'500; ++i) {
            state.appliedAt = {i};
            restored.appliedAt = {2 * i};
            const std::string payload = encodeCommands({i == 0 ? writer.anyManifest() : i < 5 ? writer.anyWorker() : writer.next(state)});
            const auto commands = decodeCommands(payload);
            REQUIRE(commands);
            const FleetChange change = applyFleetCommand(state, commands->front());
            CHECK(applyFleetCommand(restored, commands->front()).isApplied == change.isApplied);
            REQUIRE_MESSAGE(state.accountUsage == countRuns(state), "seed " << seed << ", command " << i);
            REQUIRE_MESSAGE(restored.accountUsage == state.accountUsage, "seed " << seed << ", command " << i);
            REQUIRE_MESSAGE(state.memory == estimateStateMemory(state), "seed " << seed << ", command " << i);
            REQUIRE_MESSAGE(restored.memory == state.memory, "seed " << seed << ", command " << i);
            withUsage += state.accountUsage.empty() ? 0 : 1;
            if (writer.random.below(40) == 0) {
                REQUIRE(encodeFleetState(restored) == encodeFleetState(state));
                REQUIRE(decodeFleetState(encodeFleetState(state), restored) == ResultCode::Ok);
            }
        }
        CHECK(encodeFleetState(restored) == encodeFleetState(state));
        CHECK(state.lastJobNumber > 20);
    }
    CHECK(withUsage > 1'000);
}

TEST_CASE("A submission counts only before the removal of its key in the log")
{
    // Guards against a replica that accepts a call under a key whose removal it has applied.
    FleetState state;
    applyFleetCommand(state, PutManifest{manifest(1, {account("a", {1, 2}), account("b", {1})})});
    REQUIRE(applyFleetCommand(state, submission("before", "a", 1)).isApplied);
    CHECK(findJob(state, "before")->account.name == "a");
    applyFleetCommand(state, PutManifest{manifest(2, {account("a", {2}), account("b", {1})})});

    SUBCASE("behind it the job is not known")
    {
        const FleetChange change = applyFleetCommand(state, submission("behind", "a", 1));
        CHECK_FALSE(change.isApplied);
        CHECK(change.job == 0);
        CHECK(findJob(state, "behind") == nullptr);
    }
    SUBCASE("another key of the account still counts")
    {
        CHECK(applyFleetCommand(state, submission("behind", "a", 2)).isApplied);
    }
    SUBCASE("a key of another account, no key and no account do not")
    {
        SubmitFleetJob foreign = submission("behind", "b", 1);
        foreign.account = "a";
        CHECK_FALSE(applyFleetCommand(state, foreign).isApplied);
        CHECK_FALSE(applyFleetCommand(state, submission("behind", "", 0)).isApplied);
        CHECK_FALSE(applyFleetCommand(state, submission("behind", "unknown", 1)).isApplied);
    }
    SUBCASE("on a public queue the job is accepted, but not for the account that has lost the key")
    {
        // Guards against a revoked key whose jobs still count for its account, and are shown to its callers only.
        REQUIRE(applyFleetCommand(state, submission("behind", "a", 1, "public.test")).isApplied);
        CHECK(findJob(state, "behind")->account == AccountTerms());
        REQUIRE(applyFleetCommand(state, submission("known", "a", 2, "public.test")).isApplied);
        CHECK(findJob(state, "known")->account.name == "a");
        REQUIRE(applyFleetCommand(state, submission("anyone", "", 0, "public.test")).isApplied);
        CHECK(findJob(state, "anyone")->account == AccountTerms());
    }
    SUBCASE("an empty list of accounts refuses all, no list accepts all")
    {
        FleetManifest next = manifest(3, {});
        applyFleetCommand(state, PutManifest{next});
        CHECK_FALSE(applyFleetCommand(state, submission("behind", "a", 2)).isApplied);
        CHECK_FALSE(applyFleetCommand(state, submission("behind", "", 0)).isApplied);
        next.version = 4;
        next.hasAccounts = false;
        applyFleetCommand(state, PutManifest{next});
        REQUIRE(applyFleetCommand(state, submission("behind", "", 0)).isApplied);
        CHECK(findJob(state, "behind")->account == AccountTerms());
    }
    SUBCASE("a resend of a known job changes nothing")
    {
        const std::string bytes = encodeFleetState(state);
        CHECK(applyFleetCommand(state, submission("before", "b", 1)).job == findJob(state, "before")->number);
        CHECK(encodeFleetState(state) == bytes);
    }
}

TEST_CASE("Open jobs follow the terms of their account")
{
    FleetState state;
    applyFleetCommand(state, PutManifest{manifest(1, {account("a", {1}, 8'000), account("b", {1}, 9'000)})});
    applyFleetCommand(state, submission("open", "a", 1));
    applyFleetCommand(state, submission("ended", "a", 1));
    applyFleetCommand(state, submission("other", "b", 1));
    applyFleetCommand(state, cancellation("ended", "a"));

    SUBCASE("a lowered limit reaches them")
    {
        // Guards against open jobs that start tasks under the limit of their submission.
        applyFleetCommand(state, PutManifest{manifest(2, {account("b", {1}, 9'000), account("a", {}, 2'000)})});
        CHECK(findJob(state, "open")->account.limit.cpuMillis == 2'000);
        CHECK(findJob(state, "ended")->account.limit.cpuMillis == 8'000);
        CHECK(findJob(state, "other")->account.limit.cpuMillis == 9'000);
    }
    SUBCASE("they keep the last ones of a removed account, also through a snapshot")
    {
        // Guards against jobs that lose their limit, or their owner, with the account.
        applyFleetCommand(state, PutManifest{manifest(2, {account("b", {1}, 9'000)})});
        FleetState restored;
        REQUIRE(decodeFleetState(encodeFleetState(state), restored) == ResultCode::Ok);
        CHECK(findJob(restored, "open")->account == AccountTerms{"a", 1, {8'000, 0, 0}});
        applyFleetCommand(restored, PutManifest{manifest(3, {account("a", {2}, 1'000)})});
        CHECK(findJob(restored, "open")->account.limit.cpuMillis == 1'000);
    }
    SUBCASE("an outdated manifest changes nothing")
    {
        CHECK_FALSE(applyFleetCommand(state, PutManifest{manifest(1, {account("a", {1}, 1)})}).isApplied);
        CHECK(findJob(state, "open")->account.limit.cpuMillis == 8'000);
    }
}

TEST_CASE("Usage holds until the end of a run is in the log")
{
    // Guards against room that a cancelled job seems to leave while its tasks still run.
    FleetState state;
    applyFleetCommand(state, PutManifest{manifest(1, {account("a", {1})})});
    WorkerProfile profile;
    profile.worker = "w";
    const IncarnationNumber worker = applyFleetCommand(state, RegisterWorker{profile, 0}).incarnation;
    applyFleetCommand(state, submission("job", "a", 1));
    const TaskRef first{1, 0, 0, 0};
    const TaskRef second{1, 0, 0, 1};
    applyFleetCommand(state, StartRun{first, 1, worker});
    applyFleetCommand(state, StartRun{second, 1, worker});
    applyFleetCommand(state, StartRun{second, 2, worker}); // No second copy is allowed.
    CHECK(usageOf(state.accountUsage, "a") == SmallTask + SmallTask);
    applyFleetCommand(state, PutManifest{manifest(2, {})});
    applyFleetCommand(state, cancellation("job", "a"));
    CHECK(usageOf(state.accountUsage, "a") == SmallTask + SmallTask);
    applyFleetCommand(state, EndRun{first, 1, worker, RunOutcome::Stopped, {}, Noon});
    applyFleetCommand(state, EndRun{first, 1, worker, RunOutcome::Stopped, {}, Noon});
    CHECK(usageOf(state.accountUsage, "a") == SmallTask);
    applyFleetCommand(state, EndIncarnation{worker});
    CHECK(state.accountUsage.empty());
}

TEST_CASE("A cancellation counts for the jobs of its account only")
{
    FleetState state;
    applyFleetCommand(state, PutManifest{manifest(1, {account("a", {1}), account("b", {1})})});

    SUBCASE("before the submission")
    {
        // Guards against an account that cancels the future jobs of another one.
        applyFleetCommand(state, cancellation("mine", "a"));
        applyFleetCommand(state, cancellation("theirs", "a"));
        applyFleetCommand(state, cancellation("both", "a"));
        applyFleetCommand(state, cancellation("both", "b"));
        applyFleetCommand(state, cancellation("both", "a"));
        FleetState restored;
        REQUIRE(decodeFleetState(encodeFleetState(state), restored) == ResultCode::Ok);
        for (FleetState *each : {&state, &restored}) {
            applyFleetCommand(*each, submission("mine", "a", 1));
            applyFleetCommand(*each, submission("theirs", "b", 1));
            applyFleetCommand(*each, submission("both", "b", 1));
            CHECK(findJob(*each, "mine")->state == FleetJobState::Cancelled);
            CHECK(findJob(*each, "theirs")->state == FleetJobState::Queued);
            CHECK(findJob(*each, "both")->state == FleetJobState::Cancelled);
            CHECK(each->cancelledBeforeSubmission.empty());
        }
    }
    SUBCASE("a submission that is not accepted leaves it")
    {
        applyFleetCommand(state, cancellation("mine", "a"));
        applyFleetCommand(state, submission("mine", "a", 7));
        applyFleetCommand(state, submission("mine", "a", 1));
        CHECK(findJob(state, "mine")->state == FleetJobState::Cancelled);
    }
    SUBCASE("behind a submission that the leader had not applied when it checked the call")
    {
        // Guards against a cancellation of an unknown id that meets the job of another account in the log.
        applyFleetCommand(state, submission("theirs", "b", 1));
        const FleetChange change = applyFleetCommand(state, cancellation("theirs", "a"));
        CHECK_FALSE(change.isApplied);
        CHECK(change.endedJobs.empty());
        CHECK(findJob(state, "theirs")->state == FleetJobState::Queued);
        CHECK_FALSE(applyFleetCommand(state, cancellation("theirs", "")).isApplied);
        CHECK(state.cancelledBeforeSubmission.empty());
        CHECK(applyFleetCommand(state, cancellation("theirs", "b")).isApplied);
    }
    SUBCASE("anyone cancels a job without an account or of a public queue")
    {
        applyFleetCommand(state, submission("anyone", "", 0, "public.test"));
        applyFleetCommand(state, submission("public", "b", 1, "public.test"));
        CHECK(applyFleetCommand(state, cancellation("anyone", "a")).isApplied);
        CHECK(applyFleetCommand(state, cancellation("public", "")).isApplied);
    }
    SUBCASE("anyone cancels any job once no accounts are configured")
    {
        // Guards against jobs that nobody can cancel after the list of accounts was removed.
        applyFleetCommand(state, submission("theirs", "b", 1));
        FleetManifest next = manifest(2, {});
        next.hasAccounts = false;
        applyFleetCommand(state, PutManifest{next});
        CHECK(applyFleetCommand(state, cancellation("theirs", "")).isApplied);
    }
}
