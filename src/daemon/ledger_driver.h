/** @file ledger_driver.h Runs the ledger of non-repeatable requests on a thread of its own, with its journal. */

#pragma once

#include "request/ledger_base.h"
#include "storage/journal.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Outputs of the driver; called on the ledger thread. */
struct LedgerHooks {
    /** Runs a request; `finished` takes the result and may be called from any thread. */
    std::function<void(const LedgerKey &key, SubmissionToken submission, std::function<void(ResultCode code, std::string answer)> finished)> run;
    /** Asks the replica of a key to record an attempt; `answered` takes its answer, or nothing when it cannot be reached. */
    std::function<void(const ReplicaRecordRequest &replicaRequest, std::function<void(std::optional<ReplicaAnswer>)> answered)> replicaRequest;
    std::function<void(const ReplicaOutcome &outcome)> tell; ///< Tells the replica of a key how an attempt ended.
    std::function<void(SubmissionToken submission, ResultCode code, std::string answer)> answer; ///< Answers a send.
    std::function<void(ResultCode code)> failed; ///< The disk has failed; the process has to stop.
};

/** The driver. Functions may be called from any thread. Without a journal every submit is refused. */
class LedgerDriver
{
public:
    LedgerDriver();
    ~LedgerDriver();
    LedgerDriver(const LedgerDriver &) = delete;
    LedgerDriver &operator=(const LedgerDriver &) = delete;

    /**
     * Starts the thread with the records of the journal.
     * @param completeAfter Time after which the ledger counts as complete again, when the settings say that it is not.
     */
    void
    start(const LedgerSettings &settings, Duration completeAfter, std::unique_ptr<Journal> journal, const std::vector<std::string> &records, LedgerHooks hooks);

    /** Ends the thread. */
    void stop();

    /** As home: a send has come. It is answered by the hook `answer`. */
    void submit(LedgerSubmission submit);

    /** As replica: the home asks to record an attempt. */
    void record(ReplicaRecordRequest replicaRequest, std::function<void(ReplicaAnswer)> reply);

    /** As replica: a daemon that cannot reach the home asks what is known. */
    void query(ReplicaQuery query, std::function<void(ReplicaAnswer)> reply);

    /** As replica: the home tells how an attempt ended. */
    void outcome(ReplicaOutcome outcome);

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace Filbertlanding
