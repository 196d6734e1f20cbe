/** @file peer_message_type.h Messages between daemons. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "core/result_code.h"
#include "request/ledger_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Kind of a frame on a peer link. Numbers are part of the protocol and never change their meaning. */
enum class PeerKind : std::uint8_t {
    Raft = 1, ///< One-way: a Raft message.
    Forward = 2, ///< Request: a latency-critical request for the peer's own workers.
    Propose = 3, ///< Request: a command for the leader.
    Probe = 4, ///< Request: renews the leases and carries the load summary.
    LedgerSubmission = 5, ///< Request: a non-repeatable request for its home.
    LedgerRecord = 6, ///< Request: the home asks the replica to record an attempt.
    LedgerQuery = 7, ///< Request: asks the replica what it knows of a request.
    LedgerOutcome = 8, ///< One-way: the home tells the replica how an attempt ended.
    CounterSnapshot = 9, ///< One-way: outcome counters of a daemon.
    ReportQuery = 10, ///< Request: asks a voter for the counters that it holds of other daemons.
};

/** A latency-critical request on its way to another daemon. */
struct ForwardedRequest {
    ServiceName service; ///< Service.
    TeamName team; ///< Team.
    CallerName caller; ///< Caller.
    RequestId request; ///< Request id.
    bool repeatable = true; ///< Whether it may be sent to a worker more than once.
    Duration remaining; ///< Time until the deadline, counted by the receiver from the arrival.
    SubmissionIdentity submission; ///< Identity of a non-repeatable send on its way to the home.
    std::string contentType; ///< Content type of the body.
    std::string body; ///< Body.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->service, this->team, this->caller, this->request, this->repeatable, this->remaining, this->submission, this->contentType, this->body);
    }
};

/** Outcome of a request as it travels between daemons. */
struct ForwardedAnswer {
    ResultCode code = ResultCode::Internal; ///< Outcome.
    std::uint32_t status = 0; ///< HTTP status of the worker, when it answered.
    std::string contentType; ///< Content type of the worker's answer.
    std::string body; ///< Body of the worker's answer.
    std::string worker; ///< Worker that answered.
    Duration retryAfter; ///< When a resend makes sense; zero when not known.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->code, this->status, this->contentType, this->body, this->worker, this->retryAfter);
    }
};

/** A command for the log. */
struct ProposeRequest {
    std::string command; ///< Encoded command.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->command);
    }
};

/** A fault in intent files, as it travels between daemons. */
struct PeerIntentError {
    ResultCode code = ResultCode::Ok; ///< Kind of fault.
    std::string file; ///< File.
    std::string pointer; ///< JSON pointer.
    std::string message; ///< One sentence for people.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->code, this->file, this->pointer, this->message);
    }
};

/** What an operator's change or a command came to. */
struct ProposeAnswer {
    ResultCode code = ResultCode::Internal; ///< Outcome.
    std::string message; ///< One sentence for people.
    std::uint64_t version = 0; ///< Configuration version after the command.
    std::uint64_t index = 0; ///< Log index of the command; 0 when it was not accepted.
    std::vector<PeerIntentError> errors; ///< First faults of an invalid configuration.
    std::uint64_t errorCount = 0; ///< Number of all faults.
    std::string winner; ///< Operation that won a conflict.
    std::string winnerOperator; ///< Its operator.
    std::vector<std::string> winnerFiles; ///< Its files.
    JobId job; ///< Job of a submission.
    DaemonName leaderHint; ///< Leader as far as known, for NotLeader.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->code, this->message, this->version, this->index, this->errors, this->errorCount);
        archive(this->winner, this->winnerOperator, this->winnerFiles, this->job, this->leaderHint);
    }
};

/** Batch load of one daemon. */
struct ShardSummary {
    Resources capacity; ///< Capacity of its workers.
    Resources free; ///< Free part.
    Resources largestFree; ///< Most that is free on one worker.
    std::vector<Resources> shapes; ///< Distinct capacities of its workers.
    std::uint32_t workers = 0; ///< Workers that it owns.
    std::uint32_t runningTasks = 0; ///< Tasks that run.
    std::uint32_t queuedTasks = 0; ///< Tasks that wait for a worker.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->capacity, this->free, this->largestFree, this->shapes, this->workers, this->runningTasks, this->queuedTasks);
    }
};

/** Renews a daemon's leases. */
struct ProbeRequest {
    DaemonName daemon; ///< Daemon.
    ZoneName availabilityZone; ///< Its zone.
    std::uint64_t incarnation = 0; ///< Its start number.
    std::uint64_t appliedIndex = 0; ///< Last entry that it has applied.
    std::uint64_t version = 0; ///< Configuration version that it has in force.
    ShardSummary load; ///< Its batch load.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->daemon, this->availabilityZone, this->incarnation, this->appliedIndex, this->version, this->load);
    }
};

/** Answer to a probe; granted only by a leader that a quorum has confirmed. */
struct ProbeAnswer {
    ResultCode code = ResultCode::Internal; ///< Ok, NotLeader or NoQuorum.
    std::uint64_t commitIndex = 0; ///< Index that must be applied for the leases to count.
    std::int64_t spareCpuMillis = 0; ///< Free processors of the zones that are in service, for jobs of drained zones.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->code, this->commitIndex, this->spareCpuMillis);
    }
};

/** Load of one service in a heartbeat. */
struct HeartbeatService {
    ServiceName service; ///< Service.
    std::uint32_t slots = 0; ///< Slots of the workers that the daemon owns.
    std::uint32_t inUse = 0; ///< Slots in use.
    double quantileMs = 1; ///< Latency estimate in milliseconds.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->service, this->slots, this->inUse, this->quantileMs);
    }
};

/** Datagram that daemons send each other. */
struct Heartbeat {
    bool stopping = false; ///< The daemon is stopping.
    bool drained = false; ///< Its zone is drained, as far as it knows.
    std::uint64_t version = 0; ///< Configuration version that it has in force.
    std::uint32_t workers = 0; ///< Workers that it owns.
    std::vector<HeartbeatService> services; ///< Load by service.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->stopping, this->drained, this->version, this->workers, this->services);
    }
};

/** Outcome counters of one daemon incarnation for one service. */
struct CounterSnapshot {
    DaemonName daemon; ///< Daemon.
    std::uint64_t incarnation = 0; ///< Its start number.
    ServiceName service; ///< Service.
    std::string counters; ///< Encoded counters.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->daemon, this->incarnation, this->service, this->counters);
    }
};

/** Counters that a voter holds of one service. */
struct CounterSnapshots {
    std::vector<CounterSnapshot> snapshots; ///< One for each daemon incarnation.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->snapshots);
    }
};

} // namespace Filbertlanding
