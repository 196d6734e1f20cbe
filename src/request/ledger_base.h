/** @file ledger_base.h The ledger of non-repeatable requests on a voter, as home and as replica. */

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

using LedgerKey = std::string; ///< Caller and request id; made by ledgerKey().
using SubmissionToken = std::uint64_t; ///< One send of a request, chosen by the adapter; its answer goes back by this number.

/** State of a record. */
enum class LedgerState : std::uint8_t {
    Recorded, ///< Recorded before the first byte; no answer yet. After a restart of the home it means that the outcome is unknown.
    Withdrawn, ///< At the home: recorded, but the attempt was given up before a byte was sent, so it may run again.
    Fenced, ///< At the replica: no record existed when a daemon asked; an attempt that does not know of the fence is refused.
    Answered, ///< The request ran and its answer is stored.
    Unknown, ///< The request may have run; it is never sent again.
};

/** Returns the last enumerator, for checks of decoded numbers. */
constexpr LedgerState lastEnumerator(LedgerState)
{
    return LedgerState::Unknown;
}

constexpr auto LedgerStateNames = makeNameTable<LedgerState>({{LedgerState::Recorded, "recorded"},
                                                              {LedgerState::Withdrawn, "withdrawn"},
                                                              {LedgerState::Fenced, "fenced"},
                                                              {LedgerState::Answered, "answered"},
                                                              {LedgerState::Unknown, "unknown"}});

/** Number of one attempt to run a request; unique over restarts of the home. */
struct LedgerAttempt {
    std::uint64_t instance = 0; ///< Start number of the home's process.
    std::uint64_t number = 0; ///< Counter of the process.

    bool operator==(const LedgerAttempt &) const = default;

    /** Returns whether this attempt is the other one or an earlier one. */
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

/** A voter with the disk on which it keeps its ledger. A fence holds on one disk only. */
struct LedgerDisk {
    DaemonName daemon; ///< Voter.
    std::uint64_t incarnation = 0; ///< Incarnation of its data folder, as in the accepted list of voters.

    bool operator==(const LedgerDisk &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->daemon, this->incarnation);
    }
};

/**
 * Identity of one send on its way from a daemon to the home, given by that daemon before the send leaves.
 * Record and fence of a send are kept on the same disk, so a voter that lost the fence does not record the send either.
 */
struct SubmissionIdentity {
    std::string name; ///< Unique over daemons and restarts. Empty for a send that no daemon asks the replica about; it cannot be fenced.
    LedgerDisk replica; ///< The replica that the daemon asks when the home does not answer.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->replica);
    }
};

/** One record as kept in memory and in the journal. */
struct LedgerRecord {
    std::uint64_t bodyHash = 0; ///< Hash of the body; the same id with another body is refused.
    LedgerAttempt first; ///< First attempt of which the home knows the fate of all later ones; a lost disk starts anew.
    LedgerAttempt attempt; ///< Latest attempt.
    std::uint64_t fence = 0; ///< Number of fences set by the replica, as far as known.
    std::vector<std::string> fencedSubmissions; ///< At the replica: sends whose caller was told "not run"; kept as long as the record.
    std::string answer; ///< Stored answer in state Answered, empty otherwise.
    TimePoint recordedAt; ///< When this process recorded or loaded it; the retention counts from here.
    ResultCode code = ResultCode::Ok; ///< Code of the stored answer.
    LedgerState state = LedgerState::Recorded; ///< State.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->bodyHash, this->first, this->attempt, this->fence, this->fencedSubmissions, this->answer, this->code, this->state);
    }
};

/** Settings of a ledger. */
struct LedgerSettings {
    std::uint64_t instance = 0; ///< Start number of this process: higher at each start, also after the disk was lost.
    LedgerDisk self; ///< This voter and its disk; a lost disk is replaced by one with another incarnation.
    /** False for the retention time after the disk was lost or the voter was added: earlier records may be missing. */
    bool complete = true;
    std::uint32_t maxRecords = 50'000; ///< Records on this voter.
    std::uint32_t maxFencedSubmissions = 8; ///< Of one record; a send above it gets OutcomeUnknown, so that resends do not fill the memory.
    std::uint64_t maxAnswerBytes = 16'777'216; ///< Stored answers and names of fenced sends on this voter, in bytes; new ids are refused above it.
    std::uint32_t maxAnswerSize = 65'536; ///< A longer answer is given to the caller once and not stored; a resend gets OutcomeUnknown.
    Duration retention{86'400'000}; ///< Records are kept for this time.
    Duration replicaTimeout{1000}; ///< Time that the replica has to answer.
};

/** One send that the home is asked to run. */
struct LedgerSubmission {
    LedgerKey key; ///< Caller and request id.
    std::uint64_t bodyHash = 0; ///< Hash of the body.
    SubmissionToken submission = 0; ///< The send.
    SubmissionIdentity identity; ///< Its identity on the way here.
};

/** The home asks the replica to record an attempt. */
struct ReplicaRecordRequest {
    LedgerKey key; ///< Caller and request id.
    std::uint64_t bodyHash = 0; ///< Hash of the body.
    LedgerAttempt attempt; ///< The attempt.
    LedgerAttempt first; ///< The home knows that the attempts from this one ...
    LedgerAttempt withdrawn; ///< ... up to this one have not run; empty when there is none.
    std::uint64_t fenceSeen = 0; ///< Fences that the home knows of.
    SubmissionIdentity submission; ///< The send whose body would run.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->bodyHash, this->attempt, this->first, this->withdrawn, this->fenceSeen, this->submission);
    }
};

/** A daemon whose send the home did not answer asks the replica what is known. */
struct ReplicaQuery {
    LedgerKey key; ///< Caller and request id.
    SubmissionIdentity submission; ///< The send that is to be fenced when there is no record.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->submission);
    }
};

/** What the replica says to a ReplicaAsk or a ReplicaQuery. */
enum class ReplicaResult : std::uint8_t {
    Recorded, ///< The attempt is on the replica's disk.
    Known, ///< The replica has an earlier record; its state and answer are given.
    Fenced, ///< A daemon was told that the request was not recorded; this attempt must not run.
    Full, ///< The replica's ledger is full, or a query finds no room for another fence.
    NotRecorded, ///< To a query: there was no record, and the fence is on the replica's disk now.
    OtherDisk, ///< There is no record here, but the send belongs to another disk or has no identity: it is neither recorded nor fenced.
};

/** Returns the last enumerator, for checks of decoded numbers. */
constexpr ReplicaResult lastEnumerator(ReplicaResult)
{
    return ReplicaResult::OtherDisk;
}

/** Answer of the replica. */
struct ReplicaAnswer {
    LedgerKey key; ///< Caller and request id.
    LedgerAttempt attempt; ///< The attempt that was asked about; empty for a query.
    ReplicaResult result = ReplicaResult::Recorded; ///< The verdict.
    bool complete = true; ///< The replica misses no earlier record.
    LedgerState state = LedgerState::Recorded; ///< For Known.
    std::uint64_t bodyHash = 0; ///< For Known.
    std::uint64_t fence = 0; ///< For Fenced: number to give in the next ask.
    ResultCode code = ResultCode::Ok; ///< For Known in state Answered.
    std::string answer; ///< For Known in state Answered.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->attempt, this->result, this->complete, this->state, this->bodyHash, this->fence, this->code, this->answer);
    }
};

/** The home tells the replica how an attempt ended. Needs no answer; a loss is harmless. */
struct ReplicaOutcome {
    LedgerKey key; ///< Caller and request id.
    LedgerAttempt attempt; ///< The attempt.
    LedgerState state = LedgerState::Answered; ///< Answered, Unknown or Withdrawn.
    ResultCode code = ResultCode::Ok; ///< Code of the answer in state Answered.
    std::string answer; ///< The answer in state Answered.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->key, this->attempt, this->state, this->code, this->answer);
    }
};

/** Write and sync a record in the journal, then call ledgerPersisted with the number. A failed sync stops the process (design 4.1). */
struct PersistLedgerRecord {
    std::uint64_t number = 0; ///< Number of the write.
    LedgerKey key; ///< Caller and request id.
    LedgerRecord record; ///< The record; it replaces an earlier one of the key.
};

/** Send the question to the replica; on failure or timeout call ledgerReplicaFailed. */
struct RequestReplicaRecord {
    ReplicaRecordRequest replicaRequest; ///< The question.
};

/** Send the outcome to the replica. */
struct SendReplicaOutcome {
    ReplicaOutcome outcome; ///< The outcome.
};

/** Run the request now, then call ledgerFinished. This is the only action that lets a byte go out. */
struct RunLedgerRequest {
    LedgerKey key; ///< Caller and request id.
    LedgerAttempt attempt; ///< The attempt.
    SubmissionToken submission = 0; ///< The send whose body is used.
};

/** Answer a send. */
struct AnswerSubmission {
    SubmissionToken submission = 0; ///< The send.
    ResultCode code = ResultCode::Ok; ///< Ok with an answer, or a refusal.
    std::string answer; ///< The answer for Ok.
};

/** As replica: send an answer to the daemon that asked. */
struct SendReplicaAnswer {
    SubmissionToken requester = 0; ///< Given with the question.
    ReplicaAnswer answer; ///< The answer.
};

using LedgerAction =
    std::variant<PersistLedgerRecord, RequestReplicaRecord, SendReplicaOutcome, RunLedgerRequest, AnswerSubmission, SendReplicaAnswer>; ///< One action.
using LedgerActions = std::vector<LedgerAction>; ///< Actions in the order in which to start them.

/** What the home is doing with a request. */
enum class LedgerPhase : std::uint8_t {
    Recording, ///< The two records are being written.
    Running, ///< The request was handed to the adapter.
    Storing, ///< The outcome is being written.
};

/** A request in progress at the home. */
struct ActiveRequest {
    LedgerPhase phase = LedgerPhase::Recording; ///< What is being done.
    bool homeRecorded = false; ///< The home's record is synced.
    bool replicaRecorded = false; ///< The replica's record is synced.
    std::uint64_t write = 0; ///< Write that is awaited.
    TimePoint replicaRequestedAt; ///< When the replica was asked.
    ResultCode code = ResultCode::Ok; ///< Outcome that is being stored.
    std::string answer; ///< Answer that is being stored.
    std::uint64_t bodyHash = 0; ///< Hash of the body of the sends that wait; the record's may become that of an earlier request.
    std::vector<SubmissionToken> submissions; ///< Sends that wait for the answer; the first one's body is used.
};

/** A message of the replica that waits for a write. */
struct PendingReplicaAnswer {
    SubmissionToken requester = 0; ///< Who asked.
    ReplicaAnswer answer; ///< The answer.
};

/** The ledger of one voter. Functions are in ledger_func.h. It is not copied, since ages points into records. */
struct Ledger {
    Ledger() = default;
    Ledger(Ledger &&) = default;
    Ledger &operator=(Ledger &&) = default;

    LedgerSettings settings; ///< Settings.
    std::unordered_map<LedgerKey, LedgerRecord> records; ///< Records as home and as replica.
    std::unordered_map<LedgerKey, ActiveRequest> active; ///< Requests in progress at this home.
    std::unordered_map<std::uint64_t, LedgerKey> homeWrites; ///< Writes that the home waits for.
    std::unordered_map<std::uint64_t, PendingReplicaAnswer> replicaWrites; ///< Writes that answers of the replica wait for.
    std::deque<std::pair<TimePoint, const LedgerKey *>> retentionQueue; ///< One entry for each record, oldest first.
    std::uint64_t lastWrite = 0; ///< Number of the latest write.
    std::uint64_t lastAttempt = 0; ///< Number of the latest attempt.
    std::uint64_t answerBytes = 0; ///< Size of the stored answers and of the names of fenced sends.
};

} // namespace Filbertlanding
