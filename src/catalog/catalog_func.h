/** @file catalog_func.h Applies commands to the replicated state, and encodes commands and snapshots. */

#pragma once

#include "catalog/catalog_base.h"

#include <string_view>

namespace Filbertlanding {

constexpr std::size_t MaxCommandBytes =
    std::size_t{4} * 1024 * 1024 - std::size_t{64} * 1024; ///< Encoded command; with its envelope it fits into a peer frame of 4 MiB.
constexpr std::size_t MaxSnapshotBytes = std::size_t{256} * 1024 * 1024; ///< Encoded catalog.

/**
 * Applies a committed command. Deterministic: equal catalogs and equal commands give equal results on every daemon.
 * @param catalog State.
 * @param command Command.
 * @param index Log index of the command; an index that was already applied is refused with Internal and changes nothing.
 * @return Outcome. Unless the code is Ok nothing changes but the applied index and the recorded answer to the operation id.
 */
CommandResult applyCommand(Catalog &catalog, const LogCommand &command, std::uint64_t index);

/** Returns the bytes of a command for the log; they begin with a format version. */
std::string encodeCommand(const LogCommand &command);

/** Result of decoding: the code is Ok, TooLarge, VersionUnsupported or FrameCorrupt. */
template<class Value>
struct Decoded {
    ResultCode code = ResultCode::FrameCorrupt; ///< Outcome.
    Value value; ///< Valid only when the code is Ok.
};

/** Decodes a command from bytes that may be damaged or hostile. */
Decoded<LogCommand> decodeCommand(std::string_view bytes);

/** Returns the bytes of a snapshot. */
std::string encodeCatalog(const Catalog &catalog);

/** Decodes a snapshot from bytes that may be damaged or hostile; checks the configuration again. */
Decoded<Catalog> decodeCatalog(std::string_view bytes);

} // namespace Filbertlanding
