/** @file soak_operators.h Two operators that change the manifest at short intervals, and readers of the manifest at each core daemon. */

#pragma once

#include "core/random.h"
#include "network/http_client.h"
#include "soak/soak_checks.h"
#include "soak/soak_manifests.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Filbertlanding {

/** Changes the manifest, one in seven times with an invalid one, and checks which manifests are in force. It draws its own random numbers. */
class SoakOperators
{
public:
    SoakOperators(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakManifests &soakManifests, SoakChecks &soakChecks);

    /** Starts to send. The control addresses have the form "IP:port" and may change later. */
    void start(const std::vector<std::string> &controlAddresses);

    /** Changes and reads the manifest no more. */
    void stop();

    std::uint64_t sent = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t refused = 0; ///< Invalid manifests that were refused.
    std::uint64_t read = 0;

private:
    void armChange(std::size_t timer);
    void armReading(std::size_t timer);
    void change();
    void putValid(std::uint64_t version, const std::string &control);
    void putInvalid(std::uint64_t version, const std::string &control);
    void readFrom(const std::string &control);

    boost::asio::io_context &io;
    SoakManifests &manifests;
    SoakChecks &checks;
    NetworkCounters counters;
    HttpClient client;
    Random random;
    const std::vector<std::string> *controls = nullptr; ///< Changes when a core is replaced.
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers; ///< Those of the operators come first, then those of the readers.
    bool hasStopped = false;
};

} // namespace Filbertlanding
