/** @file soak_callers.h Callers and an operator of the soak: they submit, ask, cancel, send manifests, and resend as real ones do. */

#pragma once

#include "core/random.h"
#include "network/http_client.h"
#include "soak/soak_checks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace Filbertlanding {

/** All callers and the operator. */
class SoakCallers
{
public:
    /** Entries and controls are addresses, "IP:port". */
    SoakCallers(boost::asio::io_context &loop,
                const SoakSettings &soakSettings,
                std::vector<std::string> entryAddresses,
                std::vector<std::string> controlAddresses,
                SoakChecks &soakChecks);

    /** Sends the first manifest until it is accepted, then begins to submit. */
    void start();

    /** Submits nothing more, and cancels the jobs that last. */
    void stopSubmitting();

    /** Returns whether everything accepted has ended, as callers were told. */
    bool haveAllJobsEnded() const;

    /** Reads the manifest until it is answered; returns whether that has happened since settle(). */
    bool hasReadManifest() const;

    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
    std::vector<std::int64_t> acceptTimes; ///< In ms, of submissions that were accepted at the first try.

private:
    void submitNext();
    JobSpec makeRandomJob();
    void submit(const JobId &id, int attemptsLeft);
    void queryState(const JobId &id);
    void cancel(const JobId &id, int attemptsLeft);
    void armSubmit();
    void armStatusPoll();
    void armOperator();
    void putManifest(std::uint64_t version, int attemptsLeft);
    void readManifest();
    void sendToEntry(HttpRequest request, Duration timeout, HttpDone done);
    void sendToControl(HttpRequest request, HttpDone done);
    void runAfter(Duration delay, std::function<void()> action);
    std::string manifest(std::uint64_t version) const;

    boost::asio::io_context &io;
    const SoakSettings &settings;
    std::vector<std::string> entries;
    std::vector<std::string> controls;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    Random random;
    boost::asio::steady_timer submitTimer;
    boost::asio::steady_timer statusPollTimer;
    boost::asio::steady_timer operatorTimer;
    std::uint64_t version = 0;
    bool hasManifest = false;
    bool isSubmittingStopped = false;
    bool hasReadManifestSinceStop = false;
};

} // namespace Filbertlanding
