/** @file leader_handover.h Orderly end of a leadership: what is proposed is finished, and another voter stands for election at once. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <string>

namespace Filbertlanding {

/** Progress of a hand-over. */
enum class HandoverStage : std::uint8_t {
    None,
    Finishing, ///< No new calls and orders; what is proposed is being committed.
    Transferring, ///< The scheduler has ended, and the replicated log transfers the leadership.
};

/** The hand-over of the present leadership. */
struct LeaderHandover {
    HandoverStage stage = HandoverStage::None;
    std::string reason;
    TimePoint deadline; ///< End of the present stage at the latest.
};

} // namespace Filbertlanding
