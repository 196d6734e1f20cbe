/** @file fleet_message.h Messages that fleet daemons exchange over peer links. */

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

/** Message kinds on peer links; the numbers are part of the wire format. */
enum class FleetMessageKind : std::uint8_t {
    Replication = 1, ///< A RaftMessage, without a reply.
    FindLeader, ///< Empty; the reply is a LeaderInfo.
    RelayedRequest, ///< Request of a caller, forwarded to the leader; the reply is a RelayedResponse.
};

/** What a daemon knows about the current leader. */
struct LeaderInfo {
    DaemonName leader; ///< Address of the leader; empty if unknown.
    bool isSelf = false; ///< The replying daemon is the leader and can handle requests.
    std::vector<DaemonName> voters; ///< Addresses of all voters.

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->leader, this->isSelf, this->voters);
    }
};

/** HTTP request of a caller, without hop-by-hop and other transport-related headers. */
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

/** Outcome of a relayed request. */
enum class RelayOutcome : std::uint8_t {
    Answered, ///< The message contains the response.
    NotLeader, ///< The daemon is not the leader; the request was not processed.
    Unknown, ///< Leadership was lost during processing and the request may still take effect. Relaying it again is safe: job ids make requests idempotent.
};

constexpr RelayOutcome lastEnumerator(RelayOutcome)
{
    return RelayOutcome::Unknown;
}

/** Response to a relayed request. */
struct RelayedResponse {
    RelayOutcome outcome = RelayOutcome::NotLeader;
    std::uint32_t status = 0; ///< HTTP status code.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->outcome, this->status, this->headers, this->body);
    }
};

/** Encodes one of the messages above, or a RaftMessage. */
template<class Message>
std::string encodeFleetMessage(const Message &message);

/** Decodes a message. Returns nothing if the bytes are malformed. */
template<class Message>
std::optional<Message> decodeFleetMessage(std::string_view bytes);

} // namespace Filbertlanding
