/** @file ledger_test.cpp Tests of the ledger of non-repeatable requests. Home and replica crash, lose messages and lose disks. */

#include "core/random.h"
#include "request/ledger_func.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <set>

using namespace Filbertlanding;

namespace {

constexpr std::size_t Home = 0;
constexpr std::size_t Replica = 1;

using LedgerMessage = std::variant<ReplicaRecordRequest, ReplicaOutcome, ReplicaAnswer>;

struct Envelope {
    std::int64_t dueAt = 0;
    std::size_t target = Home;
    LedgerMessage message;
};

struct Voter {
    Ledger ledger;
    std::map<LedgerKey, LedgerRecord> disk;
    std::deque<PersistLedgerRecord> unsynced;
    std::uint64_t instance = 0;
    std::uint64_t incarnation = 1; ///< Incarnation of the disk.
    bool complete = true;
    bool up = false;
};

struct Submission {
    LedgerKey key;
    std::uint64_t bodyHash = 0;
    SubmissionIdentity identity;
    std::int64_t homeTimeoutAt = 0;
    bool queried = false;
    std::optional<ResultCode> answeredCode;
};

struct Run {
    RunLedgerRequest request;
    std::int64_t endsAt = 0;
    ResultCode code = ResultCode::Ok;
};

struct Faults {
    std::uint64_t lossPercent = 10;
    std::uint64_t maxDelay = 40;
    std::uint64_t meanStepsBetweenCrashes = 60; ///< For each voter; 0 for no crashes.
    std::uint64_t lostDiskPercent = 20; ///< Percentage of crashes in which the disk is lost.
    std::uint64_t homeTimeoutMs = 0;
    std::uint64_t maxForwardDelay = 0; ///< Time until a submission reaches the home; its daemon may time out earlier.
};

/** Simulates home, replica and the daemons that forward submissions, and keeps the set of requests that ran. */
struct LedgerModel {
    Random random;
    Faults faults;
    std::array<Voter, 2> voters;
    std::vector<Envelope> network;
    std::vector<Run> runs;
    std::map<SubmissionToken, Submission> submissions;
    std::multimap<std::int64_t, SubmissionToken> forwards; ///< Submissions in transit to the home, by arrival time.
    std::map<SubmissionToken, std::int64_t> queries; ///< Arrival times of queries at the replica.
    std::map<LedgerKey, int> sentToWorker;
    std::set<std::pair<LedgerKey, std::uint64_t>> ran;
    std::map<ResultCode, int> answerCounts;
    std::int64_t now = 0;

    LedgerModel(std::uint64_t seed, const Faults &given)
        : random{seed}
        , faults(given)
    {
        this->start(Home);
        this->start(Replica);
    }

    bool chance(std::uint64_t percent)
    {
        return this->random.below(100) < percent;
    }

    void start(std::size_t index)
    {
        Voter &voter = this->voters[index];
        LedgerSettings settings;
        settings.instance = ++voter.instance;
        settings.self = {index == Home ? "home" : "replica", voter.incarnation};
        settings.complete = voter.complete;
        settings.replicaTimeout = Duration{80};
        voter.ledger = loadLedger(settings, {voter.disk.begin(), voter.disk.end()}, TimePoint{this->now});
        voter.up = true;
    }

    /** Crashes a voter. Some of its unsynced writes may have reached the disk. */
    void crash(std::size_t index, bool loseDisk)
    {
        Voter &voter = this->voters[index];
        for (std::uint64_t kept = this->random.below(voter.unsynced.size() + 1); kept > 0; --kept) {
            voter.disk[voter.unsynced.front().key] = voter.unsynced.front().record;
            voter.unsynced.pop_front();
        }
        voter.unsynced.clear();
        voter.up = false;
        if (loseDisk) {
            voter.disk.clear();
            ++voter.incarnation;
            voter.complete = false;
        }
        if (index == Home) {
            this->runs.clear();
            for (auto &[token, submission] : this->submissions) {
                this->startReplicaQuery(token, submission);
            }
        }
    }

    void post(std::size_t target, const LedgerMessage &message)
    {
        const int copies = this->chance(this->faults.lossPercent) ? 0 : (this->chance(this->faults.lossPercent) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            this->network.push_back({this->now + 1 + static_cast<std::int64_t>(this->random.below(this->faults.maxDelay)), target, message});
        }
    }

    /** The forwarding daemon got no answer from the home and queries the replica. */
    void startReplicaQuery(SubmissionToken token, Submission &submission)
    {
        if (!submission.answeredCode && !submission.queried) {
            submission.queried = true;
            this->queries[token] = this->now + static_cast<std::int64_t>(this->random.below(this->faults.maxDelay));
        }
    }

    void answerCaller(const AnswerSubmission &answer)
    {
        Submission &submission = this->submissions.at(answer.submission);
        if (submission.answeredCode) {
            return;
        }
        submission.answeredCode = answer.code;
        ++this->answerCounts[answer.code];
        const bool hasRun = this->ran.contains({submission.key, submission.bodyHash});
        RC_ASSERT(!isRefusal(answer.code) || !hasRun);
        RC_ASSERT(answer.code != ResultCode::Ok || hasRun);
        RC_ASSERT(answer.code != ResultCode::Ok || answer.answer == submission.key + std::to_string(submission.bodyHash));
    }

    void startRun(const RunLedgerRequest &request)
    {
        const Submission &submission = this->submissions.at(request.submission);
        // The request of a caller that was told "not run" must not run later.
        RC_ASSERT(!submission.answeredCode || !isRefusal(*submission.answeredCode));
        RC_ASSERT(this->voters[Home].disk.at(submission.key).attempt == request.attempt);
        const std::uint64_t kind = this->random.below(10);
        const bool byteSent = kind >= 2;
        if (byteSent) {
            RC_ASSERT(++this->sentToWorker[submission.key] == 1);
            this->ran.insert({submission.key, submission.bodyHash});
        }
        ResultCode code = kind >= 4 ? ResultCode::Ok : ResultCode::OutcomeUnknown;
        code = byteSent ? code : ResultCode::ConnectFailed;
        this->runs.push_back({request, this->now + static_cast<std::int64_t>(this->random.below(120)), code});
    }

    void execute(std::size_t index, const LedgerActions &actions)
    {
        for (const LedgerAction &action : actions) {
            if (const auto *write = std::get_if<PersistLedgerRecord>(&action)) {
                this->voters[index].unsynced.push_back(*write);
            } else if (const auto *replicaRequest = std::get_if<RequestReplicaRecord>(&action)) {
                this->post(Replica, replicaRequest->replicaRequest);
            } else if (const auto *outcome = std::get_if<SendReplicaOutcome>(&action)) {
                this->post(Replica, outcome->outcome);
            } else if (const auto *request = std::get_if<RunLedgerRequest>(&action)) {
                this->startRun(*request);
            } else if (const auto *answer = std::get_if<AnswerSubmission>(&action)) {
                this->answerCaller(*answer);
            } else if (const auto *reply = std::get_if<SendReplicaAnswer>(&action)) {
                this->reply(*reply);
            }
        }
    }

    void reply(const SendReplicaAnswer &reply)
    {
        if (reply.requester == 0) {
            this->post(Home, reply.answer);
        } else if (!this->chance(this->faults.lossPercent)) {
            this->answerCaller(answerWithoutHome(reply.requester, this->submissions.at(reply.requester).bodyHash, reply.answer));
        } else {
            this->answerCaller(answerWithoutHome(reply.requester, this->submissions.at(reply.requester).bodyHash, std::nullopt));
        }
    }

    void submit(const LedgerKey &key, std::uint64_t bodyHash)
    {
        const SubmissionToken token = this->submissions.size() + 1;
        Submission &submission = this->submissions[token];
        const SubmissionIdentity identity{"send-" + std::to_string(token), {"replica", this->voters[Replica].incarnation}};
        submission = {
            key, bodyHash, identity, this->now + static_cast<std::int64_t>(this->faults.homeTimeoutMs + this->random.below(200)), false, std::nullopt};
        if (this->faults.maxForwardDelay != 0) {
            this->forwards.emplace(this->now + static_cast<std::int64_t>(this->random.below(this->faults.maxForwardDelay)), token);
            return;
        }
        this->forward(token);
    }

    /** Delivers a submission to the home, or loses it. */
    void forward(SubmissionToken token)
    {
        Submission &submission = this->submissions.at(token);
        if (this->voters[Home].up && !this->chance(this->faults.lossPercent)) {
            this->execute(Home,
                          ledgerSubmit(this->voters[Home].ledger, {submission.key, submission.bodyHash, token, submission.identity}, TimePoint{this->now}));
        } else {
            this->startReplicaQuery(token, submission);
        }
    }

    void forwardDue()
    {
        while (!this->forwards.empty() && this->forwards.begin()->first <= this->now) {
            const SubmissionToken token = this->forwards.begin()->second;
            this->forwards.erase(this->forwards.begin());
            this->forward(token);
        }
    }

    void receive(const Envelope &envelope)
    {
        Ledger &ledger = this->voters[envelope.target].ledger;
        const TimePoint time{this->now};
        if (const auto *replicaRequest = std::get_if<ReplicaRecordRequest>(&envelope.message)) {
            this->execute(Replica, replicaRecord(ledger, *replicaRequest, 0, time));
        } else if (const auto *outcome = std::get_if<ReplicaOutcome>(&envelope.message)) {
            this->execute(Replica, replicaOutcome(ledger, *outcome, time));
        } else {
            this->execute(Home, ledgerReplicaAnswered(ledger, std::get<ReplicaAnswer>(envelope.message), time));
        }
    }

    void deliver()
    {
        std::vector<Envelope> due;
        std::erase_if(this->network, [&](const Envelope &envelope) {
            if (envelope.dueAt <= this->now) {
                due.push_back(envelope);
            }
            return envelope.dueAt <= this->now;
        });
        for (const Envelope &envelope : due) {
            if (this->voters[envelope.target].up) {
                this->receive(envelope);
            }
        }
    }

    void sync(std::size_t index)
    {
        Voter &voter = this->voters[index];
        for (std::uint64_t count = this->random.below(4); count > 0 && !voter.unsynced.empty(); --count) {
            const PersistLedgerRecord write = voter.unsynced.front();
            voter.unsynced.pop_front();
            voter.disk[write.key] = write.record;
            this->execute(index, ledgerPersisted(voter.ledger, write.number, TimePoint{this->now}));
        }
    }

    void endRuns()
    {
        std::vector<Run> due;
        std::erase_if(this->runs, [&](const Run &run) {
            if (run.endsAt <= this->now) {
                due.push_back(run);
            }
            return run.endsAt <= this->now;
        });
        for (const Run &run : due) {
            const Submission &submission = this->submissions.at(run.request.submission);
            LedgerRunResult result{run.code, run.code == ResultCode::Ok ? submission.key + std::to_string(submission.bodyHash) : std::string()};
            this->execute(Home, ledgerFinished(this->voters[Home].ledger, run.request.key, run.request.attempt, std::move(result), TimePoint{this->now}));
        }
    }

    void askReplica()
    {
        const std::map<SubmissionToken, std::int64_t> asked = this->queries;
        for (const auto &[token, dueAt] : asked) {
            if (dueAt > this->now) {
                continue;
            }
            this->queries.erase(token);
            const Submission submission = this->submissions.at(token);
            if (this->voters[Replica].up && !this->chance(this->faults.lossPercent)) {
                this->execute(Replica, replicaQuery(this->voters[Replica].ledger, {submission.key, submission.identity}, token, TimePoint{this->now}));
            } else {
                this->answerCaller(answerWithoutHome(token, submission.bodyHash, std::nullopt));
            }
        }
    }

    void step()
    {
        this->now += 5;
        for (std::size_t index : {Home, Replica}) {
            if (!this->voters[index].up) {
                if (this->chance(20)) {
                    this->start(index);
                }
                continue;
            }
            if (this->faults.meanStepsBetweenCrashes != 0 && this->random.below(this->faults.meanStepsBetweenCrashes) == 0) {
                this->crash(index, this->chance(this->faults.lostDiskPercent));
                continue;
            }
            this->sync(index);
        }
        this->forwardDue();
        this->deliver();
        if (this->voters[Home].up) {
            this->endRuns();
            this->execute(Home, ledgerTick(this->voters[Home].ledger, TimePoint{this->now}));
        }
        for (auto &[token, submission] : this->submissions) {
            if (submission.homeTimeoutAt <= this->now) {
                this->startReplicaQuery(token, submission);
            }
        }
        this->askReplica();
    }

    /** Stops all faults and runs until every request has ended. Then every caller has an answer, unless its query was lost with the replica. */
    void stopFaultsAndFinish()
    {
        this->faults.meanStepsBetweenCrashes = 0;
        this->faults.lossPercent = 0;
        for (int i = 0; i < 200; ++i) {
            this->step();
        }
        RC_ASSERT(this->voters[Home].ledger.active.empty());
        RC_ASSERT(this->voters[Home].ledger.homeWrites.empty());
        RC_ASSERT(this->voters[Replica].ledger.replicaWrites.empty());
    }
};

/** Returns the first answer to a submission among the actions, or nothing. */
std::optional<AnswerSubmission> findSubmissionAnswer(const LedgerActions &actions)
{
    for (const LedgerAction &action : actions) {
        if (const auto *answer = std::get_if<AnswerSubmission>(&action)) {
            return *answer;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("A request id is sent to a worker at most once, and a caller is told \"not run\" only if it never ran")
{
    // Guards against running a request twice after a crash, a lost disk or a retry, and against refusing a request that has run or runs later.
    std::map<ResultCode, int> answerCounts;
    CHECK(rc::check("crashes, lost messages, lost disks, retries of callers", [&](std::uint64_t seed) {
        LedgerModel model(seed, {});
        for (int i = 0; i < 600; ++i) {
            if (model.chance(8)) {
                model.submit(ledgerKey("caller", std::to_string(model.random.below(6))), model.chance(90) ? 1 : 2);
            }
            model.step();
        }
        model.stopFaultsAndFinish();
        for (const auto &[code, count] : model.answerCounts) {
            answerCounts[code] += count;
        }
    }));
    // The property would be vacuous if nothing ran or nothing was refused.
    CHECK(answerCounts[ResultCode::Ok] > 300);
    CHECK(answerCounts[ResultCode::HomeUnreachable] > 100);
    CHECK(answerCounts[ResultCode::ConnectFailed] > 20);
    CHECK(answerCounts[ResultCode::RequestIdReused] > 50);
}

TEST_CASE("Regression seeds of P6 (a caller is told \"not run\" only if the request was not run)")
{
    // 0: a replica's record without an outcome led to RequestIdReused. 226: a late submission with the earlier body got the same code.
    // 3765 and 5847: the replica lost its fence with its disk while the home's request was in transit.
    for (const std::uint64_t seed : {0, 226, 3765, 5847}) {
        LedgerModel model(seed, {});
        for (int i = 0; i < 600; ++i) {
            if (model.chance(8)) {
                model.submit(ledgerKey("caller", std::to_string(model.random.below(6))), model.chance(90) ? 1 : 2);
            }
            model.step();
        }
        CHECK_FALSE(model.answerCounts.empty());
    }
}

TEST_CASE("A submission that reaches the home after its caller was told \"not run\" does not run")
{
    // Guards against running a delayed submission after its caller was told "not run" and a retry has reported the fence to the home.
    std::map<ResultCode, int> answerCounts;
    CHECK(rc::check("delayed submissions, retries of callers, lost disks of both voters", [&](std::uint64_t seed) {
        LedgerModel model(seed, {.lossPercent = 3, .meanStepsBetweenCrashes = 150, .lostDiskPercent = 60, .maxForwardDelay = 400});
        for (int i = 0; i < 600; ++i) {
            if (model.chance(15)) {
                model.submit(ledgerKey("caller", std::to_string(model.random.below(12))), 1);
            }
            model.step();
        }
        model.stopFaultsAndFinish();
        for (const auto &[code, count] : model.answerCounts) {
            answerCounts[code] += count;
        }
    }));
    // The property would be vacuous if no submission was fenced or none ran.
    CHECK(answerCounts[ResultCode::Ok] > 300);
    CHECK(answerCounts[ResultCode::HomeUnreachable] > 300);
}

TEST_CASE("A fence applies to one submission and to the disk that stores it")
{
    const TimePoint now{0};
    const LedgerDisk disk{"replica", 1};
    LedgerSettings settings;
    settings.self = disk;
    Ledger replica = loadLedger(settings, {}, now);
    const auto resultIn = [&](const LedgerActions &actions) {
        for (const LedgerAction &action : actions) {
            if (const auto *write = std::get_if<PersistLedgerRecord>(&action)) {
                return std::get<SendReplicaAnswer>(ledgerPersisted(replica, write->number, now).front()).answer.result;
            }
        }
        return std::get<SendReplicaAnswer>(actions.front()).answer.result;
    };
    const auto record = [&](const std::string &submission, const LedgerDisk &named, std::uint64_t number, std::uint64_t fenceSeen) {
        const ReplicaRecordRequest replicaRequest{
            .key = "key", .bodyHash = 1, .attempt = {1, number}, .first = {1, number}, .fenceSeen = fenceSeen, .submission = {submission, named}};
        return resultIn(replicaRecord(replica, replicaRequest, 1, now));
    };
    const auto query = [&](const std::string &submission, const LedgerDisk &named) {
        return resultIn(replicaQuery(replica, {"key", {submission, named}}, 1, now));
    };
    SUBCASE("a delayed submission stays refused after a retry has reported the fence to the home, and the retry runs")
    {
        CHECK(query("first", disk) == ReplicaResult::NotRecorded);
        CHECK(record("resend", disk, 1, 0) == ReplicaResult::Fenced);
        CHECK(record("first", disk, 2, 1) == ReplicaResult::Fenced);
        CHECK(record("resend", disk, 3, 1) == ReplicaResult::Recorded);
    }
    SUBCASE("the fence survives a restart")
    {
        CHECK(query("first", disk) == ReplicaResult::NotRecorded);
        replica = loadLedger(settings, {{"key", replica.records.at("key")}}, now);
        CHECK(record("first", disk, 2, 1) == ReplicaResult::Fenced);
    }
    SUBCASE("a voter that lost the disk with the fence does not record the submission, but records a later one")
    {
        CHECK(query("first", disk) == ReplicaResult::NotRecorded);
        settings.self.incarnation = 2;
        settings.complete = false;
        replica = loadLedger(settings, {}, now);
        CHECK(record("first", disk, 1, 0) == ReplicaResult::OtherDisk);
        CHECK(record("later", settings.self, 2, 0) == ReplicaResult::Recorded);
    }
    SUBCASE("the caller of a submission that cannot be fenced is not told \"not run\"")
    {
        CHECK(query("first", {"replica", 2}) == ReplicaResult::OtherDisk);
        CHECK(query("first", {"other", 1}) == ReplicaResult::OtherDisk);
        CHECK(query("", disk) == ReplicaResult::OtherDisk);
        for (std::uint32_t i = 0; i < settings.maxFencedSubmissions; ++i) {
            CHECK(query("send-" + std::to_string(i), disk) == ReplicaResult::NotRecorded);
        }
        CHECK(query("one-more", disk) == ReplicaResult::Full);
        for (const ReplicaResult result : {ReplicaResult::OtherDisk, ReplicaResult::Full}) {
            CHECK(answerWithoutHome(1, 1, ReplicaAnswer{.result = result}).code == ResultCode::OutcomeUnknown);
        }
    }
}

TEST_CASE("Home or replica crashes at every step of one request")
{
    // Guards against a crash at any single point between the two records and the answer.
    CHECK(rc::check("one crash at one step, then retries of the caller", [&](std::uint64_t seed) {
        for (std::size_t victim : {Home, Replica}) {
            for (int crashAt = 0; crashAt < 50; ++crashAt) {
                LedgerModel model(seed, {.lossPercent = 0, .maxDelay = 10, .meanStepsBetweenCrashes = 0});
                for (int i = 0; i < 100; ++i) {
                    if (i % 25 == 0) {
                        model.submit("key", 1);
                    }
                    if (i == crashAt && model.voters[victim].up) {
                        model.crash(victim, seed % 2 == 0);
                    }
                    model.step();
                }
                model.stopFaultsAndFinish();
            }
        }
    }));
}

TEST_CASE("The ledger enforces its limits")
{
    LedgerSettings settings;
    settings.instance = 1;
    settings.maxRecords = 2;
    Ledger ledger = loadLedger(settings, {}, TimePoint{0});
    ledgerSubmit(ledger, {"a", 1, 1}, TimePoint{0});
    ledgerSubmit(ledger, {"b", 1, 2}, TimePoint{10});
    SUBCASE("when the ledger is full, a new request id is refused and a recorded one is not")
    {
        CHECK(findSubmissionAnswer(ledgerSubmit(ledger, {"c", 1, 3}, TimePoint{20}))->code == ResultCode::LedgerFull);
        CHECK_FALSE(findSubmissionAnswer(ledgerSubmit(ledger, {"a", 1, 4}, TimePoint{20})));
        CHECK(findSubmissionAnswer(ledgerSubmit(ledger, {"a", 2, 5}, TimePoint{20}))->code == ResultCode::RequestIdReused);
    }
    SUBCASE("records are removed after 24 h, but not those of requests in progress")
    {
        ledgerReplicaFailed(ledger, "a", {1, 1}, TimePoint{30});
        for (const std::int64_t hours : {23, 24}) {
            const TimePoint time{hours * 3'600'000 + 5};
            ledger.active.at("b").replicaRecorded = true;
            ledgerTick(ledger, time);
            CHECK(ledger.records.contains("a") == (hours == 23));
            CHECK(ledger.records.contains("b"));
        }
    }
    SUBCASE("after a restart, the outcome of a record without an answer is unknown, and stored answers are kept")
    {
        LedgerRecord open;
        open.bodyHash = 1;
        LedgerRecord answered = open;
        answered.answer = "price";
        answered.state = LedgerState::Answered;
        Ledger restarted = loadLedger(settings, {{"a", answered}, {"b", open}}, TimePoint{0});
        CHECK(findSubmissionAnswer(ledgerSubmit(restarted, {"a", 1, 1}, TimePoint{0}))->answer == "price");
        CHECK(findSubmissionAnswer(ledgerSubmit(restarted, {"b", 1, 2}, TimePoint{0}))->code == ResultCode::OutcomeUnknown);
    }
    SUBCASE("50,000 records fit into half of the memory budget of 32 MB, with a key of 48 bytes and allocation overhead")
    {
        constexpr std::size_t NodeOverhead = 16 + 16;
        constexpr std::size_t Key = sizeof(LedgerKey) + 64;
        constexpr std::size_t Age = sizeof(std::pair<TimePoint, const LedgerKey *>);
        CHECK((sizeof(LedgerRecord) + NodeOverhead + Key + Age) * 50'000 <= 16'000'000);
    }
}

TEST_CASE("Home and replica are chosen deterministically and change as little as possible")
{
    const std::vector<DaemonName> voters{"bole-1", "piassa-1", "kazanchis-1"};
    std::map<DaemonName, int> homes;
    int replicaBecomesHome = 0;
    for (int i = 0; i < 3000; ++i) {
        const LedgerKey key = ledgerKey("caller", std::to_string(i));
        const LedgerVoters chosen = *chooseLedgerVoters(voters, key);
        CHECK(chosen.home != chosen.replica);
        ++homes[chosen.home];
        std::vector<DaemonName> others = voters;
        std::erase(others, chosen.home);
        replicaBecomesHome += chooseLedgerVoters(others, key)->home == chosen.replica ? 1 : 0;
    }
    // The voter that becomes the new home already has the record.
    CHECK(replicaBecomesHome == 3000);
    for (const DaemonName &voter : voters) {
        CHECK(homes[voter] > 850);
    }
    CHECK_FALSE(chooseLedgerVoters({"bole-1"}, "key"));
    CHECK(ledgerKey("ab", "c") != ledgerKey("a", "bc"));
}
