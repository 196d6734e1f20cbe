/**
 * @file learned_model.h What a leader has learned, in the form in which it is kept in the log for the next leader.
 *
 * Nothing learned is needed for safety: a model that is missing, old or damaged is learned anew.
 */

#pragma once

#include "fleet/pair_interference.h"
#include "fleet/run_time.h"

#include <string>
#include <string_view>

namespace Filbertlanding {

/** What a leader has learned of the tasks that it runs. */
struct LearnedModel {
    RunTimeModel runTimes;
    PairInterference interference;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->runTimes, this->interference);
    }
};

/** Returns the encoded form. */
std::string encodeLearned(const LearnedModel &model);

/** Returns the model, or one that knows nothing if the bytes can't be read. */
LearnedModel decodeLearned(std::string_view bytes, TimePoint now);

} // namespace Filbertlanding
