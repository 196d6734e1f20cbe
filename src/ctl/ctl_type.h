/** @file ctl_type.h Options and surroundings of one run of filbertctl. */

#pragma once

#include "core/clock_type.h"
#include "core/names_type.h"
#include "network/http_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <ostream>

namespace Filbertlanding {

class HttpClient;
struct NetworkCounters;

/** Where the tool writes and how it waits; tests put their own in. */
struct CtlStreams {
    std::ostream &out; ///< Results.
    std::ostream &err; ///< Errors, progress, and which daemon answered.
    bool colours = false; ///< Whether results go to a terminal that shows colours.
    std::function<void(Duration)> pause; ///< Sleeps between two looks or two tries.
};

/** Options that all subcommands share. */
struct CtlOptions {
    std::vector<std::string> daemons; ///< Addresses as IP:PORT, in the order in which they are tried.
    std::string keyFile; ///< File with the operator key; empty sends no key.
    bool json = false; ///< Writes JSON for programs.
    std::string operatorName; ///< Name that goes into the history of changes.
    OperationId operationId; ///< Given by the operator for a resend; otherwise empty.
    std::optional<std::uint64_t> ifVersion; ///< Version that a change is based on; without it the one read just before.
    Duration timeout{30'000}; ///< Time for one call with all its tries.
};

/** One run of the tool. */
struct CtlContext {
    explicit CtlContext(CtlStreams where);
    CtlContext(const CtlContext &) = delete;
    CtlContext &operator=(const CtlContext &) = delete;
    ~CtlContext();

    CtlStreams streams; ///< Where to write.
    CtlOptions options; ///< From the command line.
    std::function<ResultCode()> action; ///< What the chosen subcommand does; set while the command line is read.

    std::vector<HttpAddress> daemons; ///< Parsed addresses.
    std::string key; ///< Operator key; empty without a key file.
    OperationId operation; ///< Id of this run's change: the given one, or a random one.
    std::size_t current = 0; ///< Index of the daemon that is asked first: the one that answered last.
    std::optional<std::size_t> announced; ///< Index of the daemon that was last named on the error stream.
    std::unique_ptr<NetworkCounters> counters; ///< Counters that the client wants.
    std::unique_ptr<HttpClient> client; ///< Connections to the daemons.
};

} // namespace Filbertlanding
