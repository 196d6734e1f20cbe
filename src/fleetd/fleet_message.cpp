/** @file fleet_message.cpp Serialization of the messages between fleet daemons. */

#include "fleetd/fleet_message.h"

#include "core/bounded_archive.h"
#include "replication/raft_type.h"

namespace Filbertlanding {

template<class Message>
std::string encodeFleetMessage(const Message &message)
{
    return encodeBounded(message);
}

template<class Message>
std::optional<Message> decodeFleetMessage(std::string_view bytes)
{
    return decodeBounded<Message>(bytes);
}

#define FLEET_MESSAGE(Type) \
    template std::string encodeFleetMessage<Type>(const Type &); \
    template std::optional<Type> decodeFleetMessage<Type>(std::string_view);

FLEET_MESSAGE(LeaderInfo)
FLEET_MESSAGE(RelayedRequest)
FLEET_MESSAGE(RelayedResponse)
FLEET_MESSAGE(RaftMessage)
#undef FLEET_MESSAGE

} // namespace Filbertlanding
