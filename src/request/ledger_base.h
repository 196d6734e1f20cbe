/**
 * @file ledger_base.h The ledger of non-repeatable requests.
 *
 * Two voters record each request before it is sent to a worker: its home, which runs it, and its replica.
 * This ensures that the request runs at most once and that a caller is told "not run" only if it has not run and will not run.
 */

#pragma once

#include "core/clock_type.h"
#include "core/name_table.h"
#include "core/names_type.h"
#include "core/result_code.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Filbertlanding {

using LedgerKey = std::string; ///< Identifies a request by caller and request id; created by ledgerKey().
using SubmissionToken = std::uint64_t; ///< Identifies one submission of a request within this process. Chosen by the adapter to route the answer.

/** State of a ledger record. */
enum class LedgerState : std::uint8_t {
    Recorded, ///< Recorded before any data is sent; no answer yet. After a restart of the home the outcome is unknown.
    Withdrawn, ///< At the home: the attempt was abandoned before any data was sent, so another attempt may run.
    Fenced, ///< At the replica: no record existed when a daemon queried it. Attempts that do not know of the fence are refused.
    Answered, ///< The request has run and its answer is stored.
    Unknown, ///< The request may have run; it is never sent again.
};

/** Returns the last enumerator, for range checks of decoded values. */
constexpr LedgerState lastEnumerator(LedgerState)
{
    return LedgerState::Unknown;
}

constexpr auto LedgerStateNames = makeNameTable<LedgerState>({{LedgerState::Recorded, "recorded"},
                                                              {LedgerState::Withdrawn, "withdrawn"},
                                                              {LedgerState::Fenced, "fenced"},
                                                              {LedgerState::Answered, "answered"},
                                                              {LedgerState::Unknown, "unknown"}});

/** Identifies one attempt to run a request; unique across restarts of the home. */
struct LedgerAttempt {
    std::uint64_t instance = 0; ///< Instance number of the home's process.
    std::uint64_t number = 0; ///< Sequence number within the process.

    bool operator==(const LedgerAttempt &) const = default;

    /** Returns whether this attempt is the same as or earlier than the other. */
    bool isAtMost(const LedgerAttempt &other) const
    {
        return this->instance < other.instance || (this->instance == other.instance && this->number <= other.number);
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->instance, this->number);
    }
};

/** A voter together with the disk that stores its ledger. A fence is valid on one disk only. */
struct LedgerDisk {
    DaemonName daemon; ///< The voter.
    std::uint64_t incarnation = 0; ///< Incarnation of its data folder, as in the committed list of voters.

    bool operator==(const LedgerDisk &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->daemon, this->incarnation);
    }
};

/**
 * Identity of one submission that a daemon forwards to the home, assigned by that daemon before forwarding.
 * The record and the fence of a submission are kept on the same disk, so a voter that lost the fence does not record the submission either.
 */
struct SubmissionIdentity {
    std::string name; ///< Unique across daemons and restarts. Empty if no daemon will query the replica about it; such a submission cannot be fenced.
    LedgerDisk replica; ///< The replica that the daemon queries if the home does not answer.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->replica);
    }
};

/** One record, as kept in memory and in the journal. */
struct LedgerRecord {
    std::uint64_t bodyHash = 0; ///< Hash of the request body; the same request id with another body is refused.
    LedgerAttempt first; ///< The home knows the outcome of this attempt and of all later ones. Set anew after the loss of the home's disk.
    LedgerAttempt attempt; ///< Latest attempt.
    std::uint64_t fence = 0; ///< Number of fences that the replica has set, as far as known here.
    std::vector<std::string> fencedSubmissions; ///< At the replica: submissions whose caller was told "not run". Kept as long as the record.
    std::string answer; ///< Stored answer in state Answered, otherwise empty.
    TimePoint recordedAt; ///< When this process created or loaded the record; start of the retention period.
    ResultCode code = ResultCode::Ok; ///< Result code of the stored answer.
    LedgerState state = LedgerState::Recorded;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->bodyHash, this->first, this->attempt, this->fence, this->fencedSubmissions, this->answer, this->code, this->state);
    }
};

/** Configuration of a ledger. */
struct LedgerSettings {
    std::uint64_t instance = 0; ///< Instance number of this process. Increases with each start, also after the loss of the disk.
    LedgerDisk self; ///< This voter and its disk. A replacement disk has another incarnation.
    /** False during the retention period after the disk was lost or the voter was added, since earlier records may be missing. */
    bool complete = true;
    std::uint32_t maxRecords = 50'000; ///< Maximum number of records on this voter.
    std::uint32_t maxFencedSubmissions = 8; ///< Per record. Submissions beyond it get OutcomeUnknown, so that retries cannot exhaust the memory.
    std::uint64_t maxAnswerBytes = 16'777'216; ///< Total size of stored answers and names of fenced submissions; above it, new request ids are refused.
    std::uint32_t maxAnswerSize = 65'536; ///< A larger answer is returned to the caller but not stored; later submissions get OutcomeUnknown.
    Duration retention{86'400'000}; ///< How long records are kept.
    Duration replicaTimeout{1000}; ///< How long the home waits for the replica.
};

/** One submission of a request, for the home to run. */
struct LedgerSubmission {
    LedgerKey key;
    std::uint64_t bodyHash = 0; ///< Hash of the request body.
    SubmissionToken submission = 0;
    SubmissionIdentity identity; ///< Assigned by the forwarding daemon.
};

/** Request of the home to the replica to record an attempt. */
struct ReplicaRecordRequest {
    LedgerKey key;
    std::uint64_t bodyHash = 0; ///< Hash of the request body.
    LedgerAttempt attempt; ///< The attempt to record.
    LedgerAttempt first; ///< First attempt that the home knows has not run.
    LedgerAttempt withdrawn; ///< Last attempt that the home knows has not run; empty if there is none.
    std::uint64_t fenceSeen = 0; ///< Number of fences that the home knows of.
    SubmissionIdentity submission; ///< The submission whose body will be sent.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->bodyHash, this->attempt, this->first, this->withdrawn, this->fenceSeen, this->submission);
    }
};

/** Query of a daemon to the replica after the home did not answer. */
struct ReplicaQuery {
    LedgerKey key;
    SubmissionIdentity submission; ///< The submission to fence if there is no record.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->submission);
    }
};

/** Result of a ReplicaRecordRequest or a ReplicaQuery. */
enum class ReplicaResult : std::uint8_t {
    Recorded, ///< The attempt is stored on the replica's disk.
    Known, ///< The replica has an earlier record; its state and answer are returned.
    Fenced, ///< A daemon was told that the request was not recorded, so this attempt must not run.
    Full, ///< The replica's ledger is full, or it has no space for the fence of a query.
    NotRecorded, ///< Answer to a query: there was no record, and the fence is stored on the replica's disk.
    OtherDisk, ///< There is no record here, but the submission names another disk or has no identity. It was neither recorded nor fenced.
};

/** Returns the last enumerator, for range checks of decoded values. */
constexpr ReplicaResult lastEnumerator(ReplicaResult)
{
    return ReplicaResult::OtherDisk;
}

/** Answer of the replica. */
struct ReplicaAnswer {
    LedgerKey key;
    LedgerAttempt attempt; ///< The attempt to be recorded; empty for a query.
    ReplicaResult result = ReplicaResult::Recorded;
    bool complete = true; ///< The replica has all earlier records.
    LedgerState state = LedgerState::Recorded; ///< State of the record; for Known.
    std::uint64_t bodyHash = 0; ///< Hash of the request body of the record; for Known.
    std::uint64_t fence = 0; ///< Value for fenceSeen in the next request; for Fenced.
    ResultCode code = ResultCode::Ok; ///< Result code of the stored answer; for Known in state Answered.
    std::string answer; ///< Stored answer; for Known in state Answered.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->attempt, this->result, this->complete, this->state, this->bodyHash, this->fence, this->code, this->answer);
    }
};

/** Message from the home to the replica about the end of an attempt. It is not acknowledged, and its loss is harmless. */
struct ReplicaOutcome {
    LedgerKey key;
    LedgerAttempt attempt;
    LedgerState state = LedgerState::Answered; ///< Answered, Unknown or Withdrawn.
    ResultCode code = ResultCode::Ok; ///< Result code of the answer; for Answered.
    std::string answer; ///< The answer; for Answered.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->attempt, this->state, this->code, this->answer);
    }
};

/**
 * Action: write and sync a record in the journal, then call ledgerPersisted with the number.
 * A failed sync must stop the process (design 4.1).
 */
struct PersistLedgerRecord {
    std::uint64_t number = 0; ///< Number of the write.
    LedgerKey key;
    LedgerRecord record; ///< Replaces an earlier record of the key.
};

/** Action: send the request to the replica. On failure or timeout, call ledgerReplicaFailed. */
struct RequestReplicaRecord {
    ReplicaRecordRequest replicaRequest;
};

/** Action: send the outcome to the replica. */
struct SendReplicaOutcome {
    ReplicaOutcome outcome;
};

/** Action: run the request now, then call ledgerFinished. No other action sends data to a worker. */
struct RunLedgerRequest {
    LedgerKey key;
    LedgerAttempt attempt;
    SubmissionToken submission = 0; ///< The submission whose body is sent.
};

/** Action: answer a submission. */
struct AnswerSubmission {
    SubmissionToken submission = 0;
    ResultCode code = ResultCode::Ok; ///< Ok with an answer, or a refusal.
    std::string answer; ///< The answer for Ok.
};

/** Action of a replica: send an answer to the daemon that sent the request or query. */
struct SendReplicaAnswer {
    SubmissionToken requester = 0; ///< Token passed with the request or query.
    ReplicaAnswer answer;
};

using LedgerAction = std::variant<PersistLedgerRecord, RequestReplicaRecord, SendReplicaOutcome, RunLedgerRequest, AnswerSubmission, SendReplicaAnswer>;
using LedgerActions = std::vector<LedgerAction>; ///< To be started in this order.

/** Progress of a request at its home. */
enum class LedgerPhase : std::uint8_t {
    Recording, ///< The records at home and replica are being written.
    Running, ///< The adapter is running the request.
    Storing, ///< The outcome is being written.
};

/** A request in progress at the home. */
struct ActiveRequest {
    LedgerPhase phase = LedgerPhase::Recording;
    bool homeRecorded = false; ///< The home's record is synced.
    bool replicaRecorded = false; ///< The replica's record is synced.
    std::uint64_t write = 0; ///< Number of the pending write.
    TimePoint replicaRequestedAt; ///< When the request was sent to the replica.
    ResultCode code = ResultCode::Ok; ///< Outcome that is being stored.
    std::string answer; ///< Answer that is being stored.
    std::uint64_t bodyHash = 0; ///< Body hash of the waiting submissions. The record's hash may be replaced by that of an earlier request.
    std::vector<SubmissionToken> submissions; ///< Submissions that wait for the answer. The body of the first one is sent.
};

/** Answer of the replica that is sent once its write is synced. */
struct PendingReplicaAnswer {
    SubmissionToken requester = 0; ///< Token passed with the request or query.
    ReplicaAnswer answer;
};

/** The ledger of one voter. Functions are in ledger_func.h. Not copyable, since retentionQueue points to the keys in records. */
struct Ledger {
    Ledger() = default;
    Ledger(Ledger &&) = default;
    Ledger &operator=(Ledger &&) = default;

    LedgerSettings settings;
    std::unordered_map<LedgerKey, LedgerRecord> records; ///< Records of this voter, as home and as replica.
    std::unordered_map<LedgerKey, ActiveRequest> active; ///< Requests in progress with this voter as home.
    std::unordered_map<std::uint64_t, LedgerKey> homeWrites; ///< Pending writes of the home, by number.
    std::unordered_map<std::uint64_t, PendingReplicaAnswer> replicaWrites; ///< Pending writes of the replica, with the answer to send afterwards.
    std::deque<std::pair<TimePoint, const LedgerKey *>> retentionQueue; ///< One entry per record, oldest first.
    std::uint64_t lastWrite = 0; ///< Number of the latest write.
    std::uint64_t lastAttempt = 0; ///< Number of the latest attempt.
    std::uint64_t answerBytes = 0; ///< Total size of the stored answers and of the names of fenced submissions.
};

} // namespace Filbertlanding
