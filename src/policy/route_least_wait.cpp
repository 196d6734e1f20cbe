/** @file route_least_wait.cpp Routing policy least-wait: power of two choices, by the lower expected wait. */

#include "request/route_func.h"

namespace Filbertlanding {

namespace {

    constexpr int MaxDraws = 8; ///< Random samples before falling back to a linear search.

    /** Counts the exclusion reason of a worker that cannot take the request. @return Whether it can take the request. */
    bool isUsable(const RouteCandidates &candidates, std::size_t index, std::array<std::uint32_t, RouteExclusionCount> &excluded)
    {
        const auto reason = workerExclusion(*candidates.workers[index], candidates.request, candidates.now);
        if (reason) {
            ++excluded[static_cast<std::size_t>(*reason)];
        }
        return !reason;
    }

    /** Adds a worker to the choice, keeping the best score first. */
    void addChoice(std::optional<RouteChoice> &pick, std::size_t index, double score)
    {
        if (!pick) {
            pick = {.index = index, .firstScore = score, .secondScore = 0};
            return;
        }
        if (score < pick->firstScore) {
            pick = {.index = index, .firstScore = score, .secondScore = pick->firstScore};
            return;
        }
        pick->secondScore = score;
    }

    std::optional<RouteChoice> pickLeastWait(const RouteCandidates &candidates, Random &random, std::array<std::uint32_t, RouteExclusionCount> &excluded)
    {
        const std::size_t count = candidates.workers.size();
        std::optional<RouteChoice> pick;
        std::size_t found = 0;
        for (int i = 0; i < MaxDraws && found < 2 && count > 0; ++i) {
            const std::size_t index = random.below(count);
            const bool repeated = pick && pick->index == index;
            if (repeated || !isUsable(candidates, index, excluded)) {
                continue;
            }
            addChoice(pick, index, expectedWaitMs(*candidates.workers[index]));
            ++found;
        }
        if (pick) {
            return pick;
        }
        // Few workers can take the request: searches linearly from a random index and compares the first two eligible workers.
        excluded.fill(0);
        // Wraps around by comparison, since a division per worker would double the search time.
        std::size_t index = random.below(count);
        for (std::size_t i = 0; i < count && found < 2; ++i) {
            if (isUsable(candidates, index, excluded)) {
                addChoice(pick, index, expectedWaitMs(*candidates.workers[index]));
                ++found;
            }
            index = index + 1 == count ? 0 : index + 1;
        }
        return pick;
    }

    const Registration<RoutePolicy, RoutePolicyTag> LeastWait("least-wait", pickLeastWait);

} // namespace

} // namespace Filbertlanding
