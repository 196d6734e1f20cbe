/**
 * @file learned_model.h Models learned by the leader, and the encoding in which they are stored in the log for the next leader.
 *
 * Safety does not depend on the model: if it is missing, outdated or corrupt, it is learned again.
 */

#pragma once

#include "fleet/pair_interference.h"
#include "fleet/run_time.h"

#include <string>
#include <string_view>

namespace Filbertlanding {

/** Models of run times and interference of the tasks that a leader runs. */
struct LearnedModel {
    RunTimeModel runTimes;
    PairInterference interference;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->runTimes, this->interference);
    }
};

/** Encodes a model. */
std::string encodeLearned(const LearnedModel &model);

/** Decodes a model; returns an empty one if the bytes are malformed, and leaves out inconsistent parts. */
LearnedModel decodeLearned(std::string_view bytes, TimePoint now);

} // namespace Filbertlanding
