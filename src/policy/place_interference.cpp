/** @file place_interference.cpp Placement policy interference: weighs expected slowdown of requests, batch progress and spreading over racks. */

#include "job/place_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    double utilizationAfter(const Resources &size, const PlaceCandidate &worker)
    {
        const double cpu =
            static_cast<double>(worker.used.cpuMillis + size.cpuMillis) / static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1));
        const double memory =
            static_cast<double>(worker.used.memoryMb + size.memoryMb) / static_cast<double>(std::max<std::int64_t>(worker.capacity.memoryMb, 1));
        return std::max(cpu, memory);
    }

    double scoreOf(const PlaceRequest &request, const PlaceCandidate &worker, double added, const Resources &size, const PlaceSettings &settings)
    {
        // Tail latency grows faster than linearly with the slowdown, so the cost is higher on a worker that is already slowed down.
        const double latency = added * (1.0 + 4.0 * (worker.slowdown + added));
        const double load = utilizationAfter(size, worker);
        const double progress = load * load;
        const double rackShare = request.totalTasks == 0 ? 0.0 : static_cast<double>(request.rackTasks[worker.rack]) / request.totalTasks;
        return settings.latencyWeight * latency + (1.0 - settings.latencyWeight) * 0.25 * progress + settings.rackWeight * rackShare;
    }

    PlaceResult placeInterference(const PlaceRequest &request,
                                  std::span<const PlaceCandidate> workers,
                                  const InterferenceTable &interference,
                                  const PlaceSettings &settings)
    {
        PlaceResult result;
        const double limit = slowdownLimit(settings);
        const auto exclude = [&result](ExcludeReason reason) {
            ++result.excluded[static_cast<std::size_t>(reason)];
        };
        for (std::uint32_t i = 0; i < workers.size(); ++i) {
            const PlaceCandidate &worker = workers[i];
            if (worker.excluded != 0) {
                ++result.excluded[worker.excluded - 1U];
                continue;
            }
            const auto size = fittingSize(request, worker, settings);
            if (!size) {
                exclude(ExcludeReason::Capacity);
                continue;
            }
            if (!request.failedOn.empty() && failedOnWorker(request, i)) {
                exclude(ExcludeReason::FailedHere);
                continue;
            }
            const double added = addedSlowdown(request, worker, interference);
            // An urgent task is placed even if it slows down requests, since its start time is bounded; throttling takes effect afterwards.
            if (!request.urgent && worker.tasks != 0 && worker.slowdown + added > limit) {
                exclude(ExcludeReason::Interference);
                continue;
            }
            const double score = scoreOf(request, worker, added, *size, settings);
            ++result.candidates;
            if (result.chosen < 0 || score < result.firstScore) {
                result.secondScore = result.chosen < 0 ? 0 : result.firstScore;
                result.firstScore = score;
                result.chosen = static_cast<std::int32_t>(i);
            } else if (result.candidates == 2 || score < result.secondScore) {
                result.secondScore = score;
            }
        }
        return result;
    }

    const PlacePolicyRegistration Interference("interference", placeInterference);

} // namespace

} // namespace Filbertlanding
