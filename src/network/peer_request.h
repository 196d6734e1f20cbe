/** @file peer_request.h Requests to peers that wait for their answers; plain data without a timer of its own. */

#pragma once

#include "core/clock_type.h"
#include "network/peer_link.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Filbertlanding {

/** Requests that wait, by correlation id. A link is named by its address, which is only compared. */
class PeerRequestTable
{
public:
    /** Adds a request that is to be sent on a link. */
    void add(std::uint64_t correlation, const void *link, TimePoint deadline, PeerAnswerCallback callback);

    /** Notes that bytes of a request may leave from now on. Returns false if it has ended, so that it must not be sent. */
    bool markSent(std::uint64_t correlation);

    /** Ends a request; does nothing if it has ended. */
    void end(std::uint64_t correlation, ResultCode code, std::string payload = {});

    /** Takes an answer that came on a link; one that nobody waits for there is dropped. */
    void answer(std::uint64_t correlation, const void *link, std::string payload);

    /** Ends all requests of a link that has closed. */
    void endAllOf(const void *link);

    /** Ends the requests whose time is over. Returns how many. */
    std::size_t expire(TimePoint now);

    /** Returns the earliest deadline. */
    std::optional<TimePoint> nextDeadline() const;

private:
    /** One request. */
    struct Pending {
        const void *link = nullptr; ///< Link that carries it.
        TimePoint deadline; ///< End of its time.
        PeerAnswerCallback callback; ///< Takes the outcome.
        bool bytesSent = false; ///< Whether bytes may have left.
    };

    std::map<std::uint64_t, Pending> pending;
    std::set<std::pair<TimePoint, std::uint64_t>> deadlines;
};

} // namespace Filbertlanding
