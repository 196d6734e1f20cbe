/** @file process_checks.h Steps and checks that the tests of failures share. */

#pragma once

#include "process_cluster.h"

#include <boost/json/fwd.hpp>

namespace Filbertlanding {

/** Numbers of all daemons of the test installation. */
inline const std::vector<std::size_t> AllDaemons{0, 1, 2, 3, 4, 5};

/** Opens quote-desk and waits until all daemons have it. */
void openService(ProcessCluster &cluster);

/** Checks the ledgers of the workers and of one caller against the guarantees that hold in every run. */
void checkGuarantees(const ProcessCluster &cluster, const std::string &callerName);

/** Returns the jobs of the catalog as one daemon knows them; null without an answer. */
boost::json::value jobsOf(ProcessCluster &cluster, std::size_t daemon);

/** Waits until all jobs are finished, and checks that every job that a caller was told is accepted is finished in the catalog, each once. */
void checkJobsFinish(ProcessCluster &cluster, std::size_t daemon, const std::string &callerName);

/** Closes the service and checks that the report balances, or names exactly one incarnation of a daemon as missing. */
void checkReport(ProcessCluster &cluster, std::size_t daemon, const std::string &mayMiss, std::int64_t incarnation);

/** Returns arguments of fakecaller for a load of requests, more than half of them not repeatable, and surveys. */
std::vector<std::string> mixedLoad(int ratePerSecond, int count);

} // namespace Filbertlanding
