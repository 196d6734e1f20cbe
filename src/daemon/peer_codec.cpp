/** @file peer_codec.cpp Encodes and decodes the payloads of peer messages with cereal. */

#include "daemon/peer_codec.h"

#include "core/bounded_archive.h"
#include "daemon/peer_message_type.h"
#include "replication/raft_type.h"
#include "request/ledger_base.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace Filbertlanding {

template<class Message>
std::string encodePeerMessage(const Message &message)
{
    std::string bytes;
    BoundedOutputArchive archive(bytes);
    archive(message);
    return bytes;
}

template<class Message>
std::optional<Message> decodePeerMessage(std::string_view bytes)
{
    try {
        Message message;
        BoundedInputArchive archive(bytes);
        archive(message);
        if (archive.remaining() != 0) {
            return std::nullopt;
        }
        return message;
    } catch (const std::exception &) {
        // cereal and the archive report damaged bytes by exceptions; the caller counts and drops the message.
        return std::nullopt;
    }
}

#define PEER_MESSAGE(Type) \
    template std::string encodePeerMessage<Type>(const Type &); \
    template std::optional<Type> decodePeerMessage<Type>(std::string_view);

PEER_MESSAGE(RaftMessage)
PEER_MESSAGE(ForwardedRequest)
PEER_MESSAGE(ForwardedAnswer)
PEER_MESSAGE(LedgerQuery)
PEER_MESSAGE(ProposeRequest)
PEER_MESSAGE(ProposeAnswer)
PEER_MESSAGE(ProbeRequest)
PEER_MESSAGE(ProbeAnswer)
PEER_MESSAGE(Heartbeat)
PEER_MESSAGE(CounterSnapshot)
PEER_MESSAGE(CounterSnapshots)
PEER_MESSAGE(ReplicaAsk)
PEER_MESSAGE(ReplicaAnswer)
PEER_MESSAGE(ReplicaOutcome)

} // namespace Filbertlanding
