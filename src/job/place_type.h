/** @file place_type.h Input and output of placement policies. */

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

/** Service on a candidate worker. */
struct CandidateService {
    ServiceIndex service = 0;
    double load = 0; ///< Fraction of its slots in use, 0 to 1.
};

/** Worker as seen by a placement policy. The shard keeps it up to date, so that decisions only read it. */
struct PlaceCandidate {
    Resources capacity; ///< Announced capacity.
    Resources used; ///< Usage by requests, plus the charges of running tasks and of tasks placed since the last usage report.
    Resources declared; ///< Declared sizes of its tasks, for baseline policies.
    std::vector<CandidateService> services;
    std::uint32_t rack = 0; ///< Index of an interned rack name.
    std::uint32_t tasks = 0; ///< Number of batch tasks.
    double slowdown = 0; ///< Expected slowdown of requests caused by its current tasks.
    std::uint8_t excluded = 0; ///< 0 if tasks may start on it, otherwise ExcludeReason + 1.
};

/** Task to place. */
struct PlaceRequest {
    Resources declared; ///< Declared size.
    Resources size; ///< Size to charge: the learned size, or the declared size times the prior factor.
    ClassIndex jobClass = 0;
    bool urgent = false; ///< May use the reserved share.
    std::span<const std::uint32_t> failedOn; ///< Indexes of workers on which the job has failed.
    std::span<const std::uint32_t> rackTasks; ///< Number of batch tasks by rack.
    std::uint32_t totalTasks = 0; ///< Sum of rackTasks.
};

/** Settings of placement. */
struct PlaceSettings {
    double latencyWeight = 0.5; ///< Weight of request latency against batch progress: 1 for only latency, 0 for only progress.
    double reservedShare = 0.1; ///< Fraction of a worker that only urgent tasks may use.
    double rackWeight = 0.1; ///< Weight of spreading over racks.
};

/** Result of a placement. */
struct PlaceResult {
    std::int32_t chosen = -1; ///< Index of the chosen worker, or -1.
    std::uint32_t candidates = 0; ///< Number of eligible workers.
    double firstScore = 0; ///< Score of the chosen worker; lower is better.
    double secondScore = 0; ///< Score of the runner-up; 0 if there was none.
    std::array<std::uint32_t, static_cast<std::size_t>(ExcludeReason::Count)> excluded{}; ///< Number of excluded workers, by reason.
};

/** Placement policy: chooses a worker for a task. */
using PlacePolicy = PlaceResult(const PlaceRequest &request,
                                std::span<const PlaceCandidate> workers,
                                const InterferenceTable &interference,
                                const PlaceSettings &settings);

/** Registry tag of placement policies. */
struct PlacePolicyTag {
};

using PlacePolicyRegistry = Registry<PlacePolicy, PlacePolicyTag>; ///< Registry of placement policies by name.
using PlacePolicyRegistration = Registration<PlacePolicy, PlacePolicyTag>; ///< Registers a placement policy.

} // namespace Filbertlanding
