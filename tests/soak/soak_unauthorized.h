/** @file soak_unauthorized.h Callers without a key, with an unknown one, or with that of another account than the job they call for. */

#pragma once

#include "core/random.h"
#include "network/http_client.h"
#include "soak/soak_account_checks.h"
#include "soak/soak_checks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace Filbertlanding {

/** Calls for new jobs and for accepted jobs of accounts. It draws its own random numbers. */
class SoakUnauthorizedCallers
{
public:
    /** The entry addresses have the form "IP:port". */
    SoakUnauthorizedCallers(boost::asio::io_context &loop,
                            std::uint64_t seed,
                            std::vector<std::string> entryAddresses,
                            SoakAccountChecks &soakAccountChecks,
                            SoakChecks &soakChecks);

    void start();

    /** Calls no more. */
    void stop();

private:
    void arm();
    void callForNewJob();
    void callForAcceptedJob();
    std::string drawInvalidKey();
    std::optional<JobId> drawAcceptedJob();
    void send(const std::string &method, const JobId &id, const SoakCall &call);

    std::vector<std::string> entries;
    SoakAccountChecks &accountChecks;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    Random random;
    boost::asio::steady_timer timer;
};

/** Adds the header with the key of a call to a request, if the call has one. */
void addKey(HttpRequest &request, const SoakCall &call);

} // namespace Filbertlanding
