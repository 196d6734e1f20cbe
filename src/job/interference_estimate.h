/** @file interference_estimate.h Learned slowdown of latency-critical requests by batch classes on the same worker. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Filbertlanding {

using ServiceIndex = std::uint16_t; ///< Interned service.
using ClassIndex = std::uint16_t; ///< Interned class of batch jobs.

/** Constants of the interference estimate. */
struct InterferenceSettings {
    double prior = 0.3; ///< Slowdown assumed for an unknown pair when the class uses the whole worker.
    double priorWeight = 4.0; ///< Number of measurements that the prior counts for.
    double maxWeight = 60.0; ///< Bound on the confidence, so that the estimate follows a shift of load.
    Duration halfLife{600'000}; ///< Confidence halves in this time without measurements.
};

/** Estimate for one pair. */
struct PairEstimate {
    double slowdown = 0; ///< Relative slowdown of requests when the class uses the whole worker; 0.5 means half as long again.
    double weight = 0; ///< Confidence, in measurements.
    TimePoint at; ///< Last measurement.
};

/** How much of a worker one batch class used while latency was measured. */
struct ClassShare {
    ClassIndex jobClass = 0; ///< The class.
    double share = 0; ///< Its part of the worker's processors, 0 to 1.
};

/** Estimates of all pairs. */
struct InterferenceTable {
    InterferenceSettings settings; ///< Constants.
    std::vector<std::vector<PairEstimate>> pairs; ///< By service, then by class.
};

/** Returns the estimate of a pair: the prior for an unknown one. */
double expectedSlowdown(const InterferenceTable &table, ServiceIndex service, ClassIndex jobClass);

/** Returns the confidence in a pair's estimate, 0 to 1. */
double slowdownConfidence(const InterferenceTable &table, ServiceIndex service, ClassIndex jobClass);

/**
 * Learns from one measurement.
 * The error of the prediction is split among the classes by share and by uncertainty (normalised least mean squares),
 * so that classes that share workers in different mixes are told apart.
 * @param classes Classes that were running during the measurement, not the ones placed since: measurements are late.
 * @param slowdown Measured latency divided by the latency without batch work, minus 1.
 */
void learnInterference(InterferenceTable &table, ServiceIndex service, std::span<const ClassShare> classes, double slowdown, TimePoint now);

} // namespace Filbertlanding
