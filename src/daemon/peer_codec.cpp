/** @file peer_codec.cpp Encodes and decodes the payloads of peer messages with cereal. */

#include "daemon/peer_codec.h"

#include "core/bounded_archive.h"
#include "daemon/peer_message_type.h"
#include "replication/raft_type.h"
#include "request/ledger_base.h"

namespace Filbertlanding {

template<class Message>
std::string encodePeerMessage(const Message &message)
{
    return encodeBounded(message);
}

template<class Message>
std::optional<Message> decodePeerMessage(std::string_view bytes)
{
    return decodeBounded<Message>(bytes);
}

#define PEER_MESSAGE(Type) \
    template std::string encodePeerMessage<Type>(const Type &); \
    template std::optional<Type> decodePeerMessage<Type>(std::string_view);

PEER_MESSAGE(RaftMessage)
PEER_MESSAGE(ForwardedRequest)
PEER_MESSAGE(ForwardedAnswer)
PEER_MESSAGE(ReplicaQuery)
PEER_MESSAGE(ProposeRequest)
PEER_MESSAGE(ProposeAnswer)
PEER_MESSAGE(ProbeRequest)
PEER_MESSAGE(ProbeAnswer)
PEER_MESSAGE(Heartbeat)
PEER_MESSAGE(CounterSnapshot)
PEER_MESSAGE(CounterSnapshots)
PEER_MESSAGE(ReplicaRecordRequest)
PEER_MESSAGE(ReplicaAnswer)
PEER_MESSAGE(ReplicaOutcome)

} // namespace Filbertlanding
