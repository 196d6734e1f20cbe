/** @file run_checks.h Checks of the ledgers of workers and callers after a run. Each returns one line for each breach; none means that the guarantee held. */

#pragma once

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Lines of ledgers. */
using LedgerLines = std::vector<boost::json::object>;

/** P7: a request that the caller marked as not repeatable runs at most once. */
std::vector<std::string> findRepeatedRuns(const LedgerLines &workers, const LedgerLines &caller);

/** P6: what a caller was told was not run has not run. Only requests that were sent once, since an earlier send may have run. */
std::vector<std::string> findFalseRefusals(const LedgerLines &workers, const LedgerLines &caller);

/** P2: no two runs of one task overlap, by the clock that all processes of a host share. */
std::vector<std::string> findOverlappingTasks(const LedgerLines &workers);

/** P1: no worker has more requests at once than slots, nor was one refused there because it was full. */
std::vector<std::string> findOverfullWorkers(const LedgerLines &workers, std::uint64_t slots);

/** P5, P9: every request that a caller was answered was answered by a worker, and no answer was wrong. */
std::vector<std::string> findUnfoundedAnswers(const LedgerLines &workers, const LedgerLines &caller);

/** Returns the number of lines with an event, in a zone if one is named, from one time to another on the steady clock. */
std::uint64_t
countEvents(const LedgerLines &lines, const std::string &event, const std::string &zone = {}, std::int64_t fromMs = 0, std::int64_t toMs = INT64_MAX);

/** Returns the number of requests by what the caller was told, for example "answered". */
std::map<std::string, std::uint64_t> countOutcomes(const LedgerLines &caller);

/** Joins breaches for the message of a failed check. */
std::string joinLines(const std::vector<std::string> &lines);

} // namespace Filbertlanding
