/** @file failed_placements.cpp Requests for which a placement pass has found no worker. */

#include "fleet/failed_placements.h"

#include <algorithm>

namespace Filbertlanding {

FailedPlacements::Key FailedPlacements::keyOf(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance)
{
    return {service, step.requiredLabel, step.usesSpareCapacity ? step.image : std::string(), step.usesSpareCapacity, step.isLongRunning, harmTolerance};
}

bool FailedPlacements::cannotFit(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance, Duration runTime) const
{
    const auto found = this->smallestRequests.find(keyOf(step, service, harmTolerance));
    return found != this->smallestRequests.end() && std::any_of(found->second.begin(), found->second.end(), [&step, runTime](const FailedRequest &failed) {
               return fitsInto(failed.request, step.request) && failed.runTime <= runTime;
           });
}

void FailedPlacements::note(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance, Duration runTime)
{
    std::vector<FailedRequest> &requests = this->smallestRequests[keyOf(step, service, harmTolerance)];
    std::erase_if(requests, [&step, runTime](const FailedRequest &failed) {
        return fitsInto(step.request, failed.request) && runTime <= failed.runTime;
    });
    requests.push_back({step.request, runTime});
}

} // namespace Filbertlanding
