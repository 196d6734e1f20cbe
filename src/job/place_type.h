/** @file place_type.h What a placement policy gets and returns. */

#pragma once

#include "core/names_type.h"
#include "core/registry.h"
#include "job/interference_estimate.h"
#include "job/job_type.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace Filbertlanding {

/** A service on a candidate worker. */
struct CandidateService {
    ServiceIndex service = 0; ///< The service.
    double load = 0; ///< Part of its slots in use, 0 to 1.
};

/** A worker as a placement policy sees it. Kept up to date by the shard, so that a decision only reads. */
struct PlaceCandidate {
    Resources capacity; ///< Announced capacity.
    Resources used; ///< Requests, running tasks and what was placed since the last usage report, at the sizes in force.
    Resources declared; ///< Declared sizes of the tasks on the worker, for baselines.
    std::vector<CandidateService> services; ///< Services on it.
    std::uint32_t rack = 0; ///< Interned rack.
    std::uint32_t tasks = 0; ///< Batch tasks on it.
    double slowdown = 0; ///< Slowdown already expected from its tasks.
    std::uint8_t excluded = 0; ///< ExcludeReason + 1 when no task may start on it; 0 when one may.
};

/** The task to place. */
struct PlaceRequest {
    Resources declared; ///< Declared size.
    Resources size; ///< Size in force: learned, or the declared one times the prior factor.
    ClassIndex jobClass = 0; ///< Its class.
    bool urgent = false; ///< May use the reserved share.
    std::span<const std::uint32_t> failedOn; ///< Indexes of the workers on which the job failed.
    std::span<const std::uint32_t> rackTasks; ///< Batch tasks by rack.
    std::uint32_t totalTasks = 0; ///< Sum of rackTasks.
};

/** Settings of placement. */
struct PlaceSettings {
    double latencyWeight = 0.5; ///< 1 weighs only the latency of requests, 0 only batch progress.
    double reservedShare = 0.1; ///< Part of a worker that only urgent tasks may use.
    double rackWeight = 0.1; ///< Weight of the spread over racks.
};

/** Outcome of a placement. */
struct PlaceResult {
    std::int32_t chosen = -1; ///< Index of the worker, or -1.
    std::uint32_t candidates = 0; ///< Workers that were possible.
    double firstScore = 0; ///< Score of the chosen one; lower is better.
    double secondScore = 0; ///< Score of the second; 0 without one.
    std::array<std::uint32_t, static_cast<std::size_t>(ExcludeReason::Count)> excluded{}; ///< Workers left out, by reason.
};

/** A placement policy. */
using PlacePolicy = PlaceResult(const PlaceRequest &request,
                                std::span<const PlaceCandidate> workers,
                                const InterferenceTable &interference,
                                const PlaceSettings &settings);

/** Tag of the registry of placement policies. */
struct PlacePolicyTag {
};

using PlacePolicyRegistry = Registry<PlacePolicy, PlacePolicyTag>; ///< Placement policies by name.
using PlacePolicyRegistration = Registration<PlacePolicy, PlacePolicyTag>; ///< Adds a placement policy.

} // namespace Filbertlanding
