/** @file owner_watch.cpp Tells whether the event loop that owns a replica still runs. */

#include "runtime/owner_watch.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration MaxCountedGap{100}; ///< Part of the time between two checks that counts as silence.

} // namespace

OwnerWatch startOwnerWatch(Duration timeout, TimePoint now)
{
    OwnerWatch watch;
    watch.timeout = timeout;
    watch.checkedAt = now;
    return watch;
}

bool checkOwner(OwnerWatch &watch, std::uint64_t confirmations, TimePoint now)
{
    const Duration gap = std::min(now - watch.checkedAt, MaxCountedGap);
    watch.checkedAt = now;
    watch.silence = confirmations == watch.confirmations ? watch.silence + gap : Duration{0};
    watch.confirmations = confirmations;
    return watch.timeout.ms > 0 && watch.silence >= watch.timeout;
}

} // namespace Filbertlanding
