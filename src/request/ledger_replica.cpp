/** @file ledger_replica.cpp The replica part of the ledger of non-repeatable requests. */

#include "request/ledger_detail.h"
#include "request/ledger_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    using LedgerDetail::ensureRecord;
    using LedgerDetail::isFull;
    using LedgerDetail::persist;
    using LedgerDetail::setAnswer;

    ReplicaAnswer makeReplicaAnswer(const Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, ReplicaResult result)
    {
        ReplicaAnswer answer;
        answer.key = key;
        answer.attempt = attempt;
        answer.result = result;
        answer.complete = ledger.settings.complete;
        return answer;
    }

    ReplicaAnswer makeKnownAnswer(const Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, const LedgerRecord &record)
    {
        ReplicaAnswer answer = makeReplicaAnswer(ledger, key, attempt, ReplicaResult::Known);
        answer.state = record.state;
        answer.bodyHash = record.bodyHash;
        answer.code = record.code;
        answer.answer = record.answer;
        return answer;
    }

    /** Returns whether a record forbids a new attempt. */
    bool forbidsAttempt(const LedgerRecord &record, const ReplicaRecordRequest &replicaRequest)
    {
        switch (record.state) {
        case LedgerState::Withdrawn:
        case LedgerState::Fenced:
            return false;
        case LedgerState::Recorded: {
            const bool sameAttempt = record.attempt == replicaRequest.attempt;
            const bool knownNotRun = replicaRequest.first.isAtMost(record.attempt) && record.attempt.isAtMost(replicaRequest.withdrawn);
            return !sameAttempt && !knownNotRun;
        }
        case LedgerState::Answered:
        case LedgerState::Unknown:
            return true;
        }
        return true;
    }

    /** Returns whether a caller was told "not run" for this submission, or for one whose fence the home does not know of. */
    bool isFenced(const LedgerRecord &record, const ReplicaRecordRequest &replicaRequest)
    {
        // The fence number alone is not sufficient: once the attempt of a retry has reported it to the home, a delayed submission would pass.
        const bool sendFenced =
            std::find(record.fencedSubmissions.begin(), record.fencedSubmissions.end(), replicaRequest.submission.name) != record.fencedSubmissions.end();
        return sendFenced || record.fence > replicaRequest.fenceSeen;
    }

    /** Returns whether there is space to fence another submission of this key. */
    bool hasRoomForFence(const Ledger &ledger, const LedgerKey &key)
    {
        const auto found = ledger.records.find(key);
        if (found == ledger.records.end()) {
            return !isFull(ledger);
        }
        return found->second.fencedSubmissions.size() < ledger.settings.maxFencedSubmissions && ledger.answerBytes < ledger.settings.maxAnswerBytes;
    }

    /** Sends the answer once the record is synced. */
    void answerWhenSynced(Ledger &ledger, LedgerActions &actions, const LedgerRecord &record, SubmissionToken requester, ReplicaAnswer answer)
    {
        const std::uint64_t number = persist(ledger, actions, answer.key, record);
        ledger.replicaWrites.emplace(number, PendingReplicaAnswer{requester, std::move(answer)});
    }

} // namespace

LedgerActions replicaRecord(Ledger &ledger, const ReplicaRecordRequest &replicaRequest, SubmissionToken requester, TimePoint now)
{
    LedgerActions actions;
    const auto found = ledger.records.find(replicaRequest.key);
    // If the request is in progress here, the voters disagree about the home. The earlier attempt takes precedence.
    if (found != ledger.records.end() && (ledger.active.contains(replicaRequest.key) || forbidsAttempt(found->second, replicaRequest))) {
        actions.emplace_back(SendReplicaAnswer{requester, makeKnownAnswer(ledger, replicaRequest.key, replicaRequest.attempt, found->second)});
        return actions;
    }
    if (!replicaRequest.submission.name.empty() && replicaRequest.submission.replica != ledger.settings.self) {
        // The fence of this submission may have been on a lost disk or may be kept by another voter.
        actions.emplace_back(SendReplicaAnswer{requester, makeReplicaAnswer(ledger, replicaRequest.key, replicaRequest.attempt, ReplicaResult::OtherDisk)});
        return actions;
    }
    if (found == ledger.records.end() && isFull(ledger)) {
        actions.emplace_back(SendReplicaAnswer{requester, makeReplicaAnswer(ledger, replicaRequest.key, replicaRequest.attempt, ReplicaResult::Full)});
        return actions;
    }
    if (found != ledger.records.end() && isFenced(found->second, replicaRequest)) {
        ReplicaAnswer answer = makeReplicaAnswer(ledger, replicaRequest.key, replicaRequest.attempt, ReplicaResult::Fenced);
        answer.fence = found->second.fence;
        actions.emplace_back(SendReplicaAnswer{requester, std::move(answer)});
        return actions;
    }
    LedgerRecord &record = ensureRecord(ledger, replicaRequest.key, now);
    record.bodyHash = replicaRequest.bodyHash;
    record.first = replicaRequest.first;
    record.attempt = replicaRequest.attempt;
    record.state = LedgerState::Recorded;
    answerWhenSynced(ledger, actions, record, requester, makeReplicaAnswer(ledger, replicaRequest.key, replicaRequest.attempt, ReplicaResult::Recorded));
    return actions;
}

LedgerActions replicaQuery(Ledger &ledger, const ReplicaQuery &query, SubmissionToken requester, TimePoint now)
{
    LedgerActions actions;
    const auto found = ledger.records.find(query.key);
    const bool notRun = found == ledger.records.end() || found->second.state == LedgerState::Withdrawn || found->second.state == LedgerState::Fenced;
    if (!notRun || ledger.active.contains(query.key)) {
        actions.emplace_back(SendReplicaAnswer{requester, makeKnownAnswer(ledger, query.key, {}, found->second)});
        return actions;
    }
    if (query.submission.name.empty() || query.submission.replica != ledger.settings.self) {
        actions.emplace_back(SendReplicaAnswer{requester, makeReplicaAnswer(ledger, query.key, {}, ReplicaResult::OtherDisk)});
        return actions;
    }
    if (!hasRoomForFence(ledger, query.key)) {
        actions.emplace_back(SendReplicaAnswer{requester, makeReplicaAnswer(ledger, query.key, {}, ReplicaResult::Full)});
        return actions;
    }
    LedgerRecord &record = ensureRecord(ledger, query.key, now);
    record.state = LedgerState::Fenced;
    ++record.fence;
    record.fencedSubmissions.push_back(query.submission.name);
    ledger.answerBytes += query.submission.name.size();
    answerWhenSynced(ledger, actions, record, requester, makeReplicaAnswer(ledger, query.key, {}, ReplicaResult::NotRecorded));
    return actions;
}

LedgerActions replicaOutcome(Ledger &ledger, const ReplicaOutcome &outcome, TimePoint /*now*/)
{
    LedgerActions actions;
    const auto found = ledger.records.find(outcome.key);
    if (found == ledger.records.end() || ledger.active.contains(outcome.key)) {
        return actions;
    }
    LedgerRecord &record = found->second;
    if (record.state != LedgerState::Recorded || record.attempt != outcome.attempt) {
        return actions;
    }
    record.state = outcome.state;
    if (outcome.state == LedgerState::Answered) {
        setAnswer(ledger, record, outcome.code, outcome.answer);
    }
    persist(ledger, actions, outcome.key, record);
    return actions;
}

AnswerSubmission answerWithoutHome(SubmissionToken submission, std::uint64_t bodyHash, const std::optional<ReplicaAnswer> &replica)
{
    AnswerSubmission answer{submission, ResultCode::OutcomeUnknown, {}};
    if (!replica) {
        return answer;
    }
    if (replica->result == ReplicaResult::NotRecorded && replica->complete) {
        answer.code = ResultCode::HomeUnreachable;
    }
    if (replica->result != ReplicaResult::Known) {
        return answer;
    }
    const bool answered = replica->state == LedgerState::Answered;
    if (replica->bodyHash != bodyHash) {
        // A record without an outcome may belong to an attempt that the home withdrew. The home may still run this submission.
        const bool final = answered || replica->state == LedgerState::Unknown;
        const bool certain = replica->complete || answered;
        answer.code = final && certain ? ResultCode::RequestIdReused : ResultCode::OutcomeUnknown;
    } else if (answered) {
        answer.code = replica->code;
        answer.answer = replica->answer;
    }
    return answer;
}

} // namespace Filbertlanding
