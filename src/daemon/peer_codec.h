/** @file peer_codec.h Encodes and decodes the payloads of peer messages with cereal. */

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Filbertlanding {

/** Returns the bytes of a message. Defined for the messages of peer_message_type.h, Raft messages and ledger messages. */
template<class Message>
std::string encodePeerMessage(const Message &message);

/** Decodes a message from bytes that may be damaged or hostile; nothing when they are. */
template<class Message>
std::optional<Message> decodePeerMessage(std::string_view bytes);

} // namespace Filbertlanding
