/** @file soak_callers.h Simulated callers and a simulated operator: they submit, query and cancel jobs, upload manifests, and retry like real clients. */

#pragma once

#include "core/random.h"
#include "network/http_client.h"
#include "soak/soak_account_checks.h"
#include "soak/soak_checks.h"
#include "soak/soak_manifests.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace Filbertlanding {

/** Simulates all callers and the operator. */
class SoakCallers
{
public:
    /** The entry and control addresses have the form "IP:port". The control addresses may change later. */
    SoakCallers(boost::asio::io_context &loop,
                const SoakSettings &soakSettings,
                std::vector<std::string> entryAddresses,
                const std::vector<std::string> &controlAddresses,
                SoakManifests &soakManifests,
                SoakChecks &soakChecks);

    /** Uploads the first manifest until it is accepted, then starts to submit jobs. */
    void start();

    /** Stops submitting jobs and cancels the long-running ones. Uploads a last manifest if the manifests have accounts. */
    void stopSubmitting();

    /** Returns whether callers have seen the final state of every accepted job. */
    bool haveAllJobsEnded() const;

    /** Returns whether the manifest has been read successfully since stopSubmitting(). */
    bool hasReadManifest() const;

    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    SoakAccountChecks *accountChecks = nullptr; ///< Null if the manifests have no accounts.
    std::vector<std::int64_t> acceptTimes; ///< Response times in ms of the submissions that were accepted at the first attempt.

private:
    void submitNext();
    void submitCrashing();
    JobSpec makeRandomJob();
    SoakJob makeCrashingJob();
    void armCrashingJobs();
    void submit(const JobId &id, int attemptsLeft);
    void queryState(const JobId &id);
    void cancel(const JobId &id, int attemptsLeft);
    void armSubmit();
    void armStatusPoll();
    void armOperator();
    void putManifest(std::uint64_t version, int attemptsLeft);
    void readManifest();
    void sendToEntry(const JobId &id, HttpRequest request, HttpDone done);
    void sendToControl(HttpRequest request, HttpDone done);
    void runAfter(Duration delay, std::function<void()> action);

    boost::asio::io_context &io;
    const SoakSettings &settings;
    std::vector<std::string> entries;
    const std::vector<std::string> &controls;
    SoakManifests &manifests;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    Random random;
    Random crashRandom; ///< For jobs that crash their workers, so that the other jobs of a seed stay the same.
    Random queueRandom; ///< For the queues of jobs.
    boost::asio::steady_timer submitTimer;
    boost::asio::steady_timer statusPollTimer;
    boost::asio::steady_timer operatorTimer;
    bool hasManifest = false;
    bool isSubmittingStopped = false;
    bool hasReadManifestSinceStop = false;
};

} // namespace Filbertlanding
