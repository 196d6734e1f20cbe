/** @file place_func.cpp Helper functions shared by placement policies. */

#include "job/place_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    std::int64_t scaledBy(std::int64_t capacity, double part)
    {
        return static_cast<std::int64_t>(static_cast<double>(capacity) * part);
    }

    Resources componentwiseMin(const Resources &left, const Resources &right)
    {
        return {std::min(left.cpuMillis, right.cpuMillis), std::min(left.memoryMb, right.memoryMb), std::min(left.accelerators, right.accelerators)};
    }

} // namespace

Resources usableCapacity(const PlaceCandidate &worker, bool urgent, const PlaceSettings &settings)
{
    if (urgent) {
        return worker.capacity;
    }
    const double part = 1.0 - settings.reservedShare;
    return {scaledBy(worker.capacity.cpuMillis, part), scaledBy(worker.capacity.memoryMb, part), worker.capacity.accelerators};
}

std::optional<Resources> fittingSize(const PlaceRequest &request, const PlaceCandidate &worker, const PlaceSettings &settings)
{
    const Resources available = usableCapacity(worker, request.urgent, settings) - worker.used;
    if (fitsInto(request.size, available)) {
        return request.size;
    }
    if (worker.tasks != 0 || !fitsInto(request.declared, available)) {
        return std::nullopt;
    }
    return componentwiseMin(request.size, available);
}

double addedSlowdown(const PlaceRequest &request, const PlaceCandidate &worker, const InterferenceTable &interference)
{
    const double share = static_cast<double>(request.size.cpuMillis) / static_cast<double>(std::max<std::int64_t>(worker.capacity.cpuMillis, 1));
    double slowdown = 0;
    for (const auto &[service, load] : worker.services) {
        // An idle service still contributes 20%, since its load may return before the task ends.
        slowdown += expectedSlowdown(interference, service, request.jobClass) * share * (0.2 + 0.8 * load);
    }
    return slowdown;
}

double slowdownLimit(const PlaceSettings &settings)
{
    constexpr double LatencyLimit = 0.25;
    constexpr double ThroughputLimit = 1.0;
    return ThroughputLimit + (LatencyLimit - ThroughputLimit) * settings.latencyWeight;
}

bool failedOnWorker(const PlaceRequest &request, std::uint32_t worker)
{
    return std::find(request.failedOn.begin(), request.failedOn.end(), worker) != request.failedOn.end();
}

} // namespace Filbertlanding
