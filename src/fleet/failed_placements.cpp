/** @file failed_placements.cpp Requests for which a placement pass has found no worker. */

#include "fleet/failed_placements.h"

#include <algorithm>

namespace Filbertlanding {

FailedPlacements::Key FailedPlacements::keyOf(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance)
{
    return {service, step.requiredLabel, step.usesSpareCapacity ? step.image : std::string(), step.usesSpareCapacity, harmTolerance};
}

bool FailedPlacements::cannotFit(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance) const
{
    const auto found = this->smallestRequests.find(keyOf(step, service, harmTolerance));
    return found != this->smallestRequests.end() && std::any_of(found->second.begin(), found->second.end(), [&step](const Resources &failed) {
               return fitsInto(failed, step.request);
           });
}

void FailedPlacements::note(const StepSpec &step, const ServiceName &service, HarmTolerance harmTolerance)
{
    std::vector<Resources> &requests = this->smallestRequests[keyOf(step, service, harmTolerance)];
    std::erase_if(requests, [&step](const Resources &failed) {
        return fitsInto(step.request, failed);
    });
    requests.push_back(step.request);
}

} // namespace Filbertlanding
