/** @file soak_starvation.h Checks in calm phases that accepted jobs run where there is room. */

#pragma once

#include "soak/soak_checks.h"
#include "soak/soak_daemons.h"
#include "soak/soak_manifests.h"
#include "soak/soak_workers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>

namespace Filbertlanding {

/**
 * While the daemons and workers are undisturbed, a job must not wait for some seconds with nothing running although a task of it could start and there
 * is room for that task twice over. A job that ends may wait while half of the capacity is in use. Each task of a long-running job is checked by itself.
 */
class SoakStarvation
{
public:
    SoakStarvation(boost::asio::io_context &loop,
                   const SoakDaemons &soakDaemons,
                   const SoakWorkers &soakWorkers,
                   const SoakManifests &soakManifests,
                   SoakChecks &soakChecks);

    /** No fault is injected from now on, except those that the check is told about. */
    void start();

    /** Daemons or workers were disturbed now. */
    void onDisturbance();

    std::uint64_t checked = 0; ///< Waiting tasks that were seen with room for them, at any check.
    std::function<bool(const SoakJob &, Duration)> mayBeHeld; ///< Whether a job may wait for the limit of its account, so long after the last fault.
    Duration longestWait; ///< Longest time that one of them waited.

private:
    void arm();
    void check();
    bool isCalm() const;
    std::vector<SoakRoom> roomsFor(const SoakJob &job) const;
    void checkJob(const JobId &id, const SoakJob &job, std::map<TaskName, TimePoint, TaskNameOrder> &waiting);

    const SoakDaemons &daemons;
    const SoakWorkers &workers;
    const SoakManifests &manifests;
    SoakChecks &checks;
    boost::asio::steady_timer timer;
    TimePoint calmSince;
    std::map<TaskName, TimePoint, TaskNameOrder> waitingSince;
    std::set<TaskName, TaskNameOrder> reported;
};

} // namespace Filbertlanding
