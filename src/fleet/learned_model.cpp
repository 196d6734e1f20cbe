/** @file learned_model.cpp Encoding of the learned models. */

#include "fleet/learned_model.h"

#include "core/bounded_archive.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr char LearnedVersion = 1; ///< First byte of every encoded model.

    bool allFinite(const std::vector<double> &values)
    {
        return std::all_of(values.begin(), values.end(), [](double value) {
            return std::isfinite(value);
        });
    }

    /** Returns whether the dimensions of a model agree and all values are finite. */
    bool isConsistent(const TailLatencyModel &tails)
    {
        const std::size_t inputs = tails.images.size() + 1;
        const bool hasRows = tails.products.size() == inputs && std::all_of(tails.products.begin(), tails.products.end(), [inputs](const auto &row) {
                                 return row.size() == inputs && allFinite(row);
                             });
        return hasRows && tails.targets.size() == inputs && tails.slopes.size() == inputs && allFinite(tails.targets) && allFinite(tails.slopes)
            && allFinite({tails.errorWeight, tails.squaredErrors});
    }

    bool isConsistent(const RunTimeSums &sums)
    {
        return allFinite({sums.weight, sums.x, sums.y, sums.xx, sums.xy, sums.errorWeight, sums.squaredErrors}) && sums.weight >= 0 && sums.errorWeight >= 0
            && sums.squaredErrors >= 0 && std::all_of(sums.images.begin(), sums.images.end(), [](const auto &item) {
                   return allFinite({item.second.weight, item.second.sum}) && item.second.weight >= 0;
               });
    }

} // namespace

std::string encodeLearned(const LearnedModel &model)
{
    return encodeVersioned(LearnedVersion, model);
}

LearnedModel decodeLearned(std::string_view bytes, TimePoint now)
{
    LearnedModel model;
    if (decodeVersioned(LearnedVersion, bytes, model) != ResultCode::Ok) {
        return {};
    }
    std::erase_if(model.runTimes.queues, [](const auto &item) {
        return !isConsistent(item.second);
    });
    std::erase_if(model.interference.models, [](const auto &item) {
        return !isConsistent(item.second);
    });
    for (const auto &[image, tails] : model.interference.models) {
        model.interference.spareImages.insert(tails.images.begin(), tails.images.end());
    }
    model.interference.fittedAt = now;
    return model;
}

} // namespace Filbertlanding
