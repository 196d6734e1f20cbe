/** @file interference_estimate.cpp Learned slowdown of latency-critical requests caused by batch classes. */

#include "job/interference_estimate.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr double MinShare = 0.02; ///< Smaller shares carry no signal: measurement noise would be divided by a value near 0.

    const PairEstimate *findPair(const InterferenceTable &table, ServiceIndex service, ClassIndex jobClass)
    {
        if (service >= table.pairs.size() || jobClass >= table.pairs[service].size()) {
            return nullptr;
        }
        return &table.pairs[service][jobClass];
    }

    PairEstimate &pairOf(InterferenceTable &table, ServiceIndex service, ClassIndex jobClass)
    {
        if (service >= table.pairs.size()) {
            table.pairs.resize(service + 1U);
        }
        auto &row = table.pairs[service];
        if (jobClass >= row.size()) {
            row.resize(jobClass + 1U, PairEstimate{table.settings.prior, 0, {}});
        }
        return row[jobClass];
    }

    void decay(PairEstimate &pair, TimePoint now, const InterferenceSettings &settings)
    {
        const double age = static_cast<double>((now - pair.updatedAt).ms) / static_cast<double>(settings.halfLife.ms);
        pair.weight *= std::exp2(-std::max(age, 0.0));
        pair.updatedAt = now;
    }

} // namespace

double expectedSlowdown(const InterferenceTable &table, ServiceIndex service, ClassIndex jobClass)
{
    const PairEstimate *pair = findPair(table, service, jobClass);
    return pair == nullptr ? table.settings.prior : pair->slowdown;
}

double slowdownConfidence(const InterferenceTable &table, ServiceIndex service, ClassIndex jobClass)
{
    const PairEstimate *pair = findPair(table, service, jobClass);
    return pair == nullptr ? 0 : pair->weight / (pair->weight + table.settings.priorWeight);
}

void learnInterference(InterferenceTable &table, ServiceIndex service, std::span<const ClassShare> classes, double slowdown, TimePoint now)
{
    double predicted = 0;
    double norm = 0;
    for (const auto &[jobClass, share] : classes) {
        PairEstimate &pair = pairOf(table, service, jobClass);
        decay(pair, now, table.settings);
        predicted += pair.slowdown * share;
        norm += share * share / (pair.weight + table.settings.priorWeight);
    }
    if (norm <= 0) {
        return;
    }
    const double error = slowdown - predicted;
    for (const auto &[jobClass, share] : classes) {
        if (share < MinShare) {
            continue;
        }
        PairEstimate &pair = table.pairs[service][jobClass];
        const double uncertainty = 1.0 / (pair.weight + table.settings.priorWeight);
        // The step size decreases with the confidence, and uncertain pairs take most of the error.
        const double gain = share * uncertainty / norm;
        const double rate = std::max(uncertainty * 2.0, 0.05);
        pair.slowdown = std::max(0.0, pair.slowdown + std::min(rate, 1.0) * gain * error);
        pair.weight = std::min(pair.weight + share, table.settings.maxWeight);
    }
}

} // namespace Filbertlanding
