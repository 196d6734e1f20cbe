/** @file interference_estimate.h Learned slowdown of latency-critical requests caused by batch classes on the same worker. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Filbertlanding {

using ServiceIndex = std::uint16_t; ///< Index of an interned service name.
using ClassIndex = std::uint16_t; ///< Index of an interned job class name.

/** Parameters of the interference estimate. */
struct InterferenceSettings {
    double prior = 0.3; ///< Slowdown assumed for a pair without measurements when the class uses the whole worker.
    double priorWeight = 4.0; ///< Weight of the prior, in measurements.
    double maxWeight = 60.0; ///< Limit on the weight, so that the estimate keeps following load shifts.
    Duration halfLife{600'000}; ///< Time without measurements after which the weight halves.
};

/** Estimate for one pair of service and job class. */
struct PairEstimate {
    double slowdown = 0; ///< Relative slowdown of requests when the class uses the whole worker; 0.5 means 50% longer.
    double weight = 0; ///< Weight of the estimate, in measurements.
    TimePoint updatedAt; ///< Last measurement.
};

/** Share of a worker that one batch class used while latency was measured. */
struct ClassShare {
    ClassIndex jobClass = 0;
    double share = 0; ///< Fraction of the worker's processors, 0 to 1.
};

/** Estimates of all pairs of service and job class. */
struct InterferenceTable {
    InterferenceSettings settings;
    std::vector<std::vector<PairEstimate>> pairs; ///< Indexed by service, then by class.
};

/** Returns the estimated slowdown of a pair, or the prior for a pair without measurements. */
double expectedSlowdown(const InterferenceTable &table, ServiceIndex service, ClassIndex jobClass);

/** Returns the confidence in the estimate of a pair, 0 to 1. */
double slowdownConfidence(const InterferenceTable &table, ServiceIndex service, ClassIndex jobClass);

/**
 * Updates the estimates from one measurement.
 * The prediction error is distributed among the classes by share and uncertainty (normalised least mean squares),
 * which separates the effects of classes that run together in varying proportions.
 * @param classes Classes that were running during the measurement. Measurements are delayed, so classes placed since then must be left out.
 * @param slowdown Measured latency divided by the latency without batch load, minus 1.
 */
void learnInterference(InterferenceTable &table, ServiceIndex service, std::span<const ClassShare> classes, double slowdown, TimePoint now);

} // namespace Filbertlanding
