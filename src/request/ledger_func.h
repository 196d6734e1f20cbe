/** @file ledger_func.h Steps of the ledger of non-repeatable requests. */

#pragma once

#include "request/ledger_base.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/** Makes the key of a request. Lengths keep different pairs apart. */
LedgerKey ledgerKey(std::string_view caller, std::string_view requestId);

/** The voters that record a request. */
struct LedgerVoters {
    DaemonName home; ///< Runs the request.
    DaemonName replica; ///< Holds the second record.
};

/** Chooses home and replica by rendezvous hash. @return Nothing when there are fewer than two voters. */
std::optional<LedgerVoters> chooseLedgerVoters(const std::vector<DaemonName> &voters, const LedgerKey &key);

/** Makes a ledger from the records of the journal. */
Ledger loadLedger(const LedgerSettings &settings, std::vector<std::pair<LedgerKey, LedgerRecord>> &&records, TimePoint now);

/** Home: a caller's send has come. */
LedgerActions ledgerSubmit(Ledger &ledger, const LedgerSubmission &submit, TimePoint now);

/** Home or replica: a write is synced. */
LedgerActions ledgerPersisted(Ledger &ledger, std::uint64_t number, TimePoint now);

/** Home: the replica has answered. */
LedgerActions ledgerReplicaAnswered(Ledger &ledger, const ReplicaAnswer &answer, TimePoint now);

/** Home: the replica could not be reached for this attempt. */
LedgerActions ledgerReplicaFailed(Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, TimePoint now);

/** How a run ended. */
struct LedgerRunResult {
    ResultCode code = ResultCode::Ok; ///< Ok with an answer, OutcomeUnknown, or a refusal when no byte was sent.
    std::string answer; ///< The answer, also an error answer of the worker.
};

/** Home: a run has ended. */
LedgerActions ledgerFinished(Ledger &ledger, const LedgerKey &key, const LedgerAttempt &attempt, LedgerRunResult result, TimePoint now);

/** Home: time has passed. Gives up on replicas that do not answer and drops records past their retention. */
LedgerActions ledgerTick(Ledger &ledger, TimePoint now);

/** Replica: the home asks to record an attempt. @param asker Where the answer goes. */
LedgerActions replicaRecord(Ledger &ledger, const ReplicaRecordRequest &replicaRequest, SubmissionToken requester, TimePoint now);

/** Replica: a daemon that cannot reach the home asks what is known. Sets a fence for its send when nothing is. */
LedgerActions replicaQuery(Ledger &ledger, const ReplicaQuery &query, SubmissionToken requester, TimePoint now);

/** Replica: the home tells how an attempt ended. */
LedgerActions replicaOutcome(Ledger &ledger, const ReplicaOutcome &outcome, TimePoint now);

/**
 * What a daemon tells its caller when the home did not answer.
 * @param replica Answer of the replica to a query, or nothing when it could not be reached either.
 */
AnswerSubmission answerWithoutHome(SubmissionToken submission, std::uint64_t bodyHash, const std::optional<ReplicaAnswer> &replica);

} // namespace Filbertlanding
