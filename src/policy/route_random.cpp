/** @file route_random.cpp Baseline routing policy random: the first eligible worker from a random index. */

#include "request/route_func.h"

namespace Filbertlanding {

namespace {

    std::optional<RouteChoice> pickRandom(const RouteCandidates &candidates, Random &random, std::array<std::uint32_t, RouteExclusionCount> &excluded)
    {
        const std::size_t count = candidates.workers.size();
        std::size_t index = random.below(count);
        for (std::size_t i = 0; i < count; ++i) {
            const WorkerEntry &entry = *candidates.workers[index];
            const auto reason = workerExclusion(entry, candidates.request, candidates.now);
            if (!reason) {
                return RouteChoice{.index = index, .firstScore = expectedWaitMs(entry), .secondScore = 0};
            }
            ++excluded[static_cast<std::size_t>(*reason)];
            index = index + 1 == count ? 0 : index + 1;
        }
        return std::nullopt;
    }

    const Registration<RoutePolicy, RoutePolicyTag> RandomPolicy("random", pickRandom);

} // namespace

} // namespace Filbertlanding
