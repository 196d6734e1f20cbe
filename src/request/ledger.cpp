/** @file ledger.cpp The home part of the ledger of non-repeatable requests. */

#include "request/ledger_func.h"

#include "core/random.h"
#include "request/ledger_detail.h"

namespace Filbertlanding {

namespace LedgerDetail {

    bool isFull(const Ledger &ledger)
    {
        return ledger.records.size() >= ledger.settings.maxRecords || ledger.answerBytes >= ledger.settings.maxAnswerBytes;
    }

    LedgerRecord &ensureRecord(Ledger &ledger, const LedgerKey &key, TimePoint now)
    {
        const auto [it, isNew] = ledger.records.try_emplace(key);
        it->second.recordedAt = now;
        if (isNew) {
            ledger.retentionQueue.emplace_back(now, &it->first);
        }
        return it->second;
    }

    std::uint64_t persist(Ledger &ledger, LedgerActions &actions, const LedgerKey &key, const LedgerRecord &record)
    {
        const std::uint64_t number = ++ledger.lastWrite;
        actions.emplace_back(PersistLedgerRecord{number, key, record});
        return number;
    }

    std::uint64_t storedBytes(const LedgerRecord &record)
    {
        std::uint64_t bytes = record.answer.size();
        for (const std::string &name : record.fencedSubmissions) {
            bytes += name.size();
        }
        return bytes;
    }

    void setAnswer(Ledger &ledger, LedgerRecord &record, ResultCode code, std::string answer)
    {
        ledger.answerBytes -= record.answer.size();
        record.answer = std::move(answer);
        record.code = code;
        ledger.answerBytes += record.answer.size();
    }

} // namespace LedgerDetail

namespace {

    using LedgerDetail::ensureRecord;
    using LedgerDetail::isFull;
    using LedgerDetail::persist;
    using LedgerDetail::setAnswer;

    void answerAll(LedgerActions &actions, const ActiveRequest &active, ResultCode code, const std::string &answer)
    {
        for (const SubmissionToken submission : active.submissions) {
            actions.emplace_back(AnswerSubmission{submission, code, answer});
        }
    }

    /** Starts an attempt by writing the records at home and replica concurrently. */
    void startAttempt(Ledger &ledger, LedgerActions &actions, const LedgerSubmission &submit, TimePoint now)
    {
        const auto known = ledger.records.find(submit.key);
        const bool withdrawn = known != ledger.records.end() && known->second.state == LedgerState::Withdrawn;
        LedgerRecord &record = ensureRecord(ledger, submit.key, now);
        const LedgerAttempt earlier = withdrawn ? record.attempt : LedgerAttempt{};
        record.bodyHash = submit.bodyHash;
        record.attempt = {ledger.settings.instance, ++ledger.lastAttempt};
        record.first = withdrawn ? record.first : record.attempt;
        record.state = LedgerState::Recorded;
        ActiveRequest &active = ledger.active[submit.key];
        active.replicaRequestedAt = now;
        active.bodyHash = submit.bodyHash;
        active.submissions.push_back(submit.submission);
        active.write = persist(ledger, actions, submit.key, record);
        ledger.homeWrites.emplace(active.write, submit.key);
        actions.emplace_back(RequestReplicaRecord{{.key = submit.key,
                                                   .bodyHash = submit.bodyHash,
                                                   .attempt = record.attempt,
                                                   .first = record.first,
                                                   .withdrawn = earlier,
                                                   .fenceSeen = record.fence,
                                                   .submission = submit.identity}});
    }

    /** Abandons an attempt before any data was sent. */
    void withdraw(Ledger &ledger, LedgerActions &actions, const LedgerKey &key, ResultCode code)
    {
        const auto it = ledger.active.find(key);
        const ActiveRequest active = std::move(it->second);
        ledger.active.erase(it);
        ledger.homeWrites.erase(active.write);
        LedgerRecord &record = ledger.records.at(key);
        record.state = LedgerState::Withdrawn;
        persist(ledger, actions, key, record);
        actions.emplace_back(SendReplicaOutcome{{.key = key, .attempt = record.attempt, .state = LedgerState::Withdrawn, .answer = {}}});
        answerAll(actions, active, code, {});
    }

    /** Writes the outcome. The submissions are answered once it is synced. */
    void storeOutcome(Ledger &ledger, LedgerActions &actions, const LedgerKey &key, ActiveRequest &active, const LedgerRecord &record)
    {
        active.phase = LedgerPhase::Storing;
        ledger.homeWrites.erase(active.write);
        active.write = persist(ledger, actions, key, record);
        ledger.homeWrites.emplace(active.write, key);
    }

    void runIfRecorded(Ledger &ledger, LedgerActions &actions, const LedgerKey &key, ActiveRequest &active)
    {
        if (!active.homeRecorded || !active.replicaRecorded) {
            return;
        }
        active.phase = LedgerPhase::Running;
        actions.emplace_back(RunLedgerRequest{key, ledger.records.at(key).attempt, active.submissions.front()});
    }

    /** Returns the result code for a request that this voter has no record of while the replica is unavailable. */
    ResultCode codeWithoutReplica(const Ledger &ledger)
    {
        return ledger.settings.complete ? ResultCode::HomeUnreachable : ResultCode::OutcomeUnknown;
    }

    /** Adopts the replica's record of an earlier submission. */
    void adoptReplicaRecord(Ledger &ledger, LedgerActions &actions, const ReplicaAnswer &answer, ActiveRequest &active, LedgerRecord &record)
    {
        const bool answered = answer.state == LedgerState::Answered;
        const bool reused = answer.bodyHash != record.bodyHash;
        record.state = answered ? LedgerState::Answered : LedgerState::Unknown;
        // Keep the record of the earlier request, so that a retry of it still gets the right answer.
        record.bodyHash = answer.bodyHash;
        setAnswer(ledger, record, answered ? answer.code : ResultCode::OutcomeUnknown, answered ? answer.answer : std::string());
        const bool certain = ledger.settings.complete || answer.complete || answered;
        active.code = reused ? (certain ? ResultCode::RequestIdReused : ResultCode::OutcomeUnknown) : record.code;
        active.answer = reused ? std::string() : record.answer;
        storeOutcome(ledger, actions, answer.key, active, record);
    }

    /** Returns the state of the record after a run. */
    LedgerState stateAfterRun(const Ledger &ledger, const LedgerRunResult &result)
    {
        const bool answered = result.code == ResultCode::Ok || result.code == ResultCode::WorkerFailed;
        if (answered && result.answer.size() <= ledger.settings.maxAnswerSize) {
            return LedgerState::Answered;
        }
        return isRefusal(result.code) ? LedgerState::Withdrawn : LedgerState::Unknown;
    }

    ActiveRequest *findRecording(Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt)
    {
        const auto it = ledger.active.find(key);
        const bool matches = it != ledger.active.end() && it->second.phase == LedgerPhase::Recording && ledger.records.at(key).attempt == attempt;
        return matches ? &it->second : nullptr;
    }

    void homePersisted(Ledger &ledger, LedgerActions &actions, const LedgerKey &key)
    {
        ActiveRequest &active = ledger.active.at(key);
        if (active.phase == LedgerPhase::Recording) {
            active.homeRecorded = true;
            runIfRecorded(ledger, actions, key, active);
            return;
        }
        answerAll(actions, active, active.code, active.answer);
        ledger.active.erase(key);
    }

    void removeExpiredRecords(Ledger &ledger, TimePoint now)
    {
        while (!ledger.retentionQueue.empty() && now - ledger.retentionQueue.front().first >= ledger.settings.retention) {
            const LedgerKey *key = ledger.retentionQueue.front().second;
            const auto it = ledger.records.find(*key);
            ledger.retentionQueue.pop_front();
            const bool renewed = now - it->second.recordedAt < ledger.settings.retention;
            if (renewed || ledger.active.contains(*key)) {
                ledger.retentionQueue.emplace_back(renewed ? it->second.recordedAt : now, key);
                continue;
            }
            ledger.answerBytes -= LedgerDetail::storedBytes(it->second);
            ledger.records.erase(it);
        }
    }

} // namespace

LedgerKey ledgerKey(std::string_view caller, std::string_view requestId)
{
    LedgerKey key = std::to_string(caller.size());
    key += ':';
    key += caller;
    key += requestId;
    return key;
}

std::optional<LedgerVoters> chooseLedgerVoters(const std::vector<DaemonName> &voters, const LedgerKey &key)
{
    std::pair<std::uint64_t, const DaemonName *> first{0, nullptr};
    std::pair<std::uint64_t, const DaemonName *> second{0, nullptr};
    for (const DaemonName &voter : voters) {
        std::string text = voter;
        text += '/';
        text += key;
        const std::pair<std::uint64_t, const DaemonName *> score{stableHash(text), &voter};
        if (first.second == nullptr || score.first > first.first) {
            second = first;
            first = score;
        } else if (second.second == nullptr || score.first > second.first) {
            second = score;
        }
    }
    if (second.second == nullptr) {
        return std::nullopt;
    }
    return LedgerVoters{*first.second, *second.second};
}

Ledger loadLedger(const LedgerSettings &settings, std::vector<std::pair<LedgerKey, LedgerRecord>> &&records, TimePoint now)
{
    Ledger ledger;
    ledger.settings = settings;
    for (auto &[key, loaded] : records) {
        LedgerRecord &record = ensureRecord(ledger, key, now);
        ledger.answerBytes -= LedgerDetail::storedBytes(record);
        record = std::move(loaded);
        record.recordedAt = now;
        ledger.answerBytes += LedgerDetail::storedBytes(record);
    }
    return ledger;
}

LedgerActions ledgerSubmit(Ledger &ledger, const LedgerSubmission &submit, TimePoint now)
{
    LedgerActions actions;
    const auto found = ledger.records.find(submit.key);
    if (found == ledger.records.end()) {
        if (isFull(ledger)) {
            actions.emplace_back(AnswerSubmission{submit.submission, ResultCode::LedgerFull, {}});
            return actions;
        }
        startAttempt(ledger, actions, submit, now);
        return actions;
    }
    const LedgerRecord &record = found->second;
    const auto active = ledger.active.find(submit.key);
    const bool neverRan = record.state == LedgerState::Fenced || record.state == LedgerState::Withdrawn;
    if (!neverRan && record.bodyHash != submit.bodyHash) {
        // After the loss of a disk, this body may have run before the record of the other body was created.
        const bool certain = ledger.settings.complete || record.state == LedgerState::Answered;
        actions.emplace_back(AnswerSubmission{submit.submission, certain ? ResultCode::RequestIdReused : ResultCode::OutcomeUnknown, {}});
        return actions;
    }
    // The replica may have reported an earlier request with this body while submissions with another body were waiting.
    // The refusal of those does not apply to this submission.
    if (active != ledger.active.end() && (neverRan || active->second.bodyHash == submit.bodyHash)) {
        active->second.submissions.push_back(submit.submission);
        return actions;
    }
    switch (record.state) {
    case LedgerState::Answered:
        actions.emplace_back(AnswerSubmission{submit.submission, record.code, record.answer});
        break;
    case LedgerState::Recorded:
    case LedgerState::Unknown:
        // Recorded but not in progress: the process has restarted, or this voter was only the replica.
        actions.emplace_back(AnswerSubmission{submit.submission, ResultCode::OutcomeUnknown, {}});
        break;
    case LedgerState::Withdrawn:
    case LedgerState::Fenced:
        startAttempt(ledger, actions, submit, now);
        break;
    }
    return actions;
}

LedgerActions ledgerPersisted(Ledger &ledger, std::uint64_t number, TimePoint /*now*/)
{
    LedgerActions actions;
    const auto home = ledger.homeWrites.find(number);
    if (home != ledger.homeWrites.end()) {
        const LedgerKey key = home->second;
        ledger.homeWrites.erase(home);
        homePersisted(ledger, actions, key);
        return actions;
    }
    const auto replica = ledger.replicaWrites.find(number);
    if (replica != ledger.replicaWrites.end()) {
        actions.emplace_back(SendReplicaAnswer{replica->second.requester, std::move(replica->second.answer)});
        ledger.replicaWrites.erase(replica);
    }
    return actions;
}

LedgerActions ledgerReplicaAnswered(Ledger &ledger, const ReplicaAnswer &answer, TimePoint /*now*/)
{
    LedgerActions actions;
    ActiveRequest *active = findRecording(ledger, answer.key, answer.attempt);
    if (active == nullptr || active->replicaRecorded) {
        return actions;
    }
    LedgerRecord &record = ledger.records.at(answer.key);
    switch (answer.result) {
    case ReplicaResult::Recorded:
        if (!ledger.settings.complete && !answer.complete) {
            // Both voters may have lost the record of an earlier submission that ran.
            withdraw(ledger, actions, answer.key, ResultCode::OutcomeUnknown);
            break;
        }
        active->replicaRecorded = true;
        runIfRecorded(ledger, actions, answer.key, *active);
        break;
    case ReplicaResult::Known:
        adoptReplicaRecord(ledger, actions, answer, *active, record);
        break;
    case ReplicaResult::Fenced:
        record.fence = answer.fence;
        withdraw(ledger, actions, answer.key, answer.complete ? ResultCode::HomeUnreachable : codeWithoutReplica(ledger));
        break;
    case ReplicaResult::Full:
        withdraw(ledger, actions, answer.key, ledger.settings.complete ? ResultCode::LedgerFull : ResultCode::OutcomeUnknown);
        break;
    case ReplicaResult::OtherDisk:
        withdraw(ledger, actions, answer.key, codeWithoutReplica(ledger));
        break;
    case ReplicaResult::NotRecorded:
        break;
    }
    return actions;
}

LedgerActions ledgerReplicaFailed(Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, TimePoint /*now*/)
{
    LedgerActions actions;
    const ActiveRequest *active = findRecording(ledger, key, attempt);
    if (active != nullptr && !active->replicaRecorded) {
        withdraw(ledger, actions, key, codeWithoutReplica(ledger));
    }
    return actions;
}

LedgerActions ledgerFinished(Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, LedgerRunResult result, TimePoint /*now*/)
{
    LedgerActions actions;
    const auto it = ledger.active.find(key);
    if (it == ledger.active.end() || it->second.phase != LedgerPhase::Running) {
        return actions;
    }
    LedgerRecord &record = ledger.records.at(key);
    if (record.attempt != attempt) {
        return actions;
    }
    ActiveRequest &active = it->second;
    const bool answered = result.code == ResultCode::Ok || result.code == ResultCode::WorkerFailed;
    const bool outcomeIsKnown = answered || isRefusal(result.code);
    record.state = stateAfterRun(ledger, result);
    active.code = outcomeIsKnown ? result.code : ResultCode::OutcomeUnknown;
    active.answer = std::move(result.answer);
    if (record.state == LedgerState::Answered) {
        setAnswer(ledger, record, active.code, active.answer);
    }
    actions.emplace_back(SendReplicaOutcome{{.key = key, .attempt = record.attempt, .state = record.state, .code = active.code, .answer = record.answer}});
    storeOutcome(ledger, actions, key, active, record);
    return actions;
}

LedgerActions ledgerTick(Ledger &ledger, TimePoint now)
{
    LedgerActions actions;
    std::vector<LedgerKey> timedOut;
    for (const auto &[key, active] : ledger.active) {
        const bool waits = active.phase == LedgerPhase::Recording && !active.replicaRecorded;
        if (waits && now - active.replicaRequestedAt >= ledger.settings.replicaTimeout) {
            timedOut.push_back(key);
        }
    }
    for (const LedgerKey &key : timedOut) {
        withdraw(ledger, actions, key, codeWithoutReplica(ledger));
    }
    removeExpiredRecords(ledger, now);
    return actions;
}

} // namespace Filbertlanding
