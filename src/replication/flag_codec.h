/** @file flag_codec.h Encodes flags and optional values as checked bytes: loading a byte other than 0 and 1 into a bool is undefined behaviour. */

#pragma once

#include <cstdint>
#include <optional>

namespace Filbertlanding {

/** Encodes or decodes a flag as one byte; every byte but 0 is true. */
template<class Archive>
void serializeFlag(Archive &archive, bool &flag)
{
    std::uint8_t byte = flag ? 1 : 0;
    archive(byte);
    // Encoding must not write, since the object may be constant.
    if (flag != (byte != 0)) {
        flag = byte != 0;
    }
}

/** Encodes or decodes an optional value as a flag and the value. */
template<class Archive, class Value>
void serializeOptional(Archive &archive, std::optional<Value> &value)
{
    bool isPresent = value.has_value();
    serializeFlag(archive, isPresent);
    if (isPresent != value.has_value()) {
        value = isPresent ? std::optional<Value>(Value()) : std::nullopt;
    }
    if (isPresent) {
        archive(*value);
    }
}

} // namespace Filbertlanding
