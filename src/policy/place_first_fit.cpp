/** @file place_first_fit.cpp Baseline placement policy first-fit: the first worker with enough capacity by declared sizes. */

#include "job/place_func.h"

namespace Filbertlanding {

namespace {

    PlaceResult placeFirstFit(const PlaceRequest &request, std::span<const PlaceCandidate> workers, const InterferenceTable &, const PlaceSettings &settings)
    {
        PlaceResult result;
        for (std::uint32_t i = 0; i < workers.size(); ++i) {
            const PlaceCandidate &worker = workers[i];
            if (worker.excluded != 0) {
                ++result.excluded[worker.excluded - 1U];
                continue;
            }
            if (!fitsInto(request.declared, usableCapacity(worker, request.urgent, settings) - worker.declared)) {
                ++result.excluded[static_cast<std::size_t>(ExcludeReason::Capacity)];
                continue;
            }
            result.chosen = static_cast<std::int32_t>(i);
            result.candidates = 1;
            return result;
        }
        return result;
    }

    const PlacePolicyRegistration FirstFit("first-fit", placeFirstFit);

} // namespace

} // namespace Filbertlanding
