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
    /** Returns whether a request of the step, or one that needs no more, is known to fit on no worker. */
    bool cannotFit(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance) const;

    /** Notes a request that no worker can take, whatever else of its step runs there. */
    void note(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance);

private:
    /** Service, required label, image and use of spare capacity, and the harm that is tolerated. */
    using Key = std::tuple<ServiceName, std::string, std::string, bool, HarmTolerance>;

    static Key keyOf(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance);

    std::map<Key, std::vector<Resources>> smallestRequests; ///< Of each kind, the requests of which none needs as much as another.
};

} // namespace Filbertlanding
