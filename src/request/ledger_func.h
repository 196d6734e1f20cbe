/** @file ledger_func.h Functions of the ledger of non-repeatable requests. */

#pragma once

#include "request/ledger_base.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/** Creates the key of a request. The key contains the length of the caller's name, so that different pairs have different keys. */
LedgerKey ledgerKey(std::string_view caller, std::string_view requestId);

/** The voters that record a request. */
struct LedgerVoters {
    DaemonName home; ///< Runs the request.
    DaemonName replica; ///< Holds the second record.
};

/** Chooses home and replica by rendezvous hashing. @return Nothing if there are fewer than two voters. */
std::optional<LedgerVoters> chooseLedgerVoters(const std::vector<DaemonName> &voters, const LedgerKey &key);

/** Creates a ledger from the records of the journal. */
Ledger loadLedger(const LedgerSettings &settings, std::vector<std::pair<LedgerKey, LedgerRecord>> &&records, TimePoint now);

/** Home: handles a submission of a caller. */
LedgerActions ledgerSubmit(Ledger &ledger, const LedgerSubmission &submit, TimePoint now);

/** Home or replica: handles the completion of a synced write. */
LedgerActions ledgerPersisted(Ledger &ledger, std::uint64_t number, TimePoint now);

/** Home: handles the replica's answer to a ReplicaRecordRequest. */
LedgerActions ledgerReplicaAnswered(Ledger &ledger, const ReplicaAnswer &answer, TimePoint now);

/** Home: handles that the replica could not be reached for this attempt. */
LedgerActions ledgerReplicaFailed(Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, TimePoint now);

/** Result of running a request. */
struct LedgerRunResult {
    ResultCode code = ResultCode::Ok; ///< Ok with an answer, OutcomeUnknown, or a refusal if no data was sent.
    std::string answer; ///< Answer of the worker, which may be an error.
};

/** Home: handles the end of a run. */
LedgerActions ledgerFinished(Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, LedgerRunResult result, TimePoint now);

/** Home: withdraws attempts whose replica has not answered in time, and removes expired records. */
LedgerActions ledgerTick(Ledger &ledger, TimePoint now);

/** Replica: records an attempt for the home. @param requester Token that is returned with the answer. */
LedgerActions replicaRecord(Ledger &ledger, const ReplicaRecordRequest &replicaRequest, SubmissionToken requester, TimePoint now);

/** Replica: answers the query of a daemon that cannot reach the home. Fences the submission if there is no record. */
LedgerActions replicaQuery(Ledger &ledger, const ReplicaQuery &query, SubmissionToken requester, TimePoint now);

/** Replica: stores the outcome of an attempt. */
LedgerActions replicaOutcome(Ledger &ledger, const ReplicaOutcome &outcome, TimePoint now);

/**
 * Returns what a daemon answers its caller if the home did not answer.
 * @param replica Answer of the replica to a query, or nothing if the replica could not be reached either.
 */
AnswerSubmission answerWithoutHome(SubmissionToken submission, std::uint64_t bodyHash, const std::optional<ReplicaAnswer> &replica);

} // namespace Filbertlanding
