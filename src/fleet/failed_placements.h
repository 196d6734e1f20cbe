/** @file failed_placements.h Requests for which a placement pass has found no worker, so that it does not search for like ones again. */

#pragma once

#include "fleet/place_run.h"

#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Filbertlanding {

/** Requests that could not be placed in a pass. A request of the same kind for at least as many resources cannot be placed either. */
class FailedPlacements
{
public:
    /** Returns whether a request that needs no more than one of the step, and runs no longer than a time, is known to fit on no worker. */
    bool cannotFit(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance, Duration runTime) const;

    /**
     * Notes a request that no worker can take, whatever else of its step runs there.
     * @param runTime Expected run time, if one that is shorter might be taken; otherwise 0.
     */
    void note(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance, Duration runTime);

private:
    /** Service, required label, image and use of spare capacity, whether it is long-running, and the harm that is tolerated. */
    using Key = std::tuple<ServiceName, std::string, std::string, bool, bool, HarmTolerance>;

    /** A request that could not be placed. */
    struct FailedRequest {
        Resources request;
        Duration runTime;
    };

    static Key keyOf(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance);

    std::map<Key, std::vector<FailedRequest>> smallestRequests; ///< Of each kind, the requests of which none needs as much for as long as another.
};

} // namespace Filbertlanding
