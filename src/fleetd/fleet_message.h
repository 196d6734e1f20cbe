/** @file fleet_message.h Messages between fleet daemons, carried by the peer links. */

#pragma once

#include "core/names_type.h"
#include "network/http_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Filbertlanding {

/** Kinds of messages on peer links. */
enum class FleetMessageKind : std::uint8_t {
    Replication = 1, ///< A RaftMessage; no answer.
    FindLeader, ///< Empty; answered by LeaderInfo.
    RelayedRequest, ///< A call of a caller for the leader; answered by RelayedAnswer.
};

/** What a daemon knows of the leader. */
struct LeaderInfo {
    DaemonName leader; ///< Address of the leader; empty if not known.
    bool isSelf = false; ///< The daemon that answers leads and can answer calls.
    std::vector<DaemonName> voters; ///< Addresses of all voters.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->leader, this->isSelf, this->voters);
    }
};

/** A caller's HTTP request, with the headers that matter. */
struct RelayedRequest {
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->method, this->target, this->headers, this->body);
    }
};

/** What became of a relayed call. */
enum class RelayOutcome : std::uint8_t {
    Answered, ///< The response is there.
    NotLeader, ///< The daemon does not lead; it has done nothing.
    Unknown, ///< The daemon has lost the lead meanwhile; the call may take effect. It may be relayed again, since jobs are known by their ids.
};

constexpr RelayOutcome lastEnumerator(RelayOutcome)
{
    return RelayOutcome::Unknown;
}

/** Answer to a relayed call. */
struct RelayedResponse {
    RelayOutcome outcome = RelayOutcome::NotLeader;
    std::uint32_t status = 0; ///< HTTP status.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->outcome, this->status, this->headers, this->body);
    }
};

/** Returns the encoded form of a message: of those above, or of a RaftMessage. */
template<class Message>
std::string encodeFleetMessage(const Message &message);

/** Decodes a message; nothing when the bytes are damaged. */
template<class Message>
std::optional<Message> decodeFleetMessage(std::string_view bytes);

} // namespace Filbertlanding
