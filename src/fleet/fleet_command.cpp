/** @file fleet_command.cpp Encoding of the fleet commands. */

#include "fleet/fleet_command.h"

#include "core/bounded_archive.h"

namespace Filbertlanding {

namespace {

    constexpr char CommandVersion = JobStartCommandFormat; ///< First byte of every payload.
    constexpr char OldestCommandVersion = 1; ///< Oldest version that can be read.

} // namespace

std::string encodeCommands(const std::vector<FleetCommand> &commands)
{
    return encodeVersioned(CommandVersion, commands);
}

EncodedEntry encodeFirstCommands(const std::vector<FleetCommand> &commands, std::size_t maxBytes)
{
    EncodedEntry entry{encodeCommands(commands), commands.size()};
    // Nearly always all fit, so they are encoded at once, and parts of them only if they don't.
    while (entry.payload.size() > maxBytes && entry.commands > 1) {
        entry.commands /= 2;
        entry.payload = encodeCommands({commands.begin(), commands.begin() + static_cast<std::ptrdiff_t>(entry.commands)});
    }
    return entry;
}

std::optional<std::vector<FleetCommand>> decodeCommands(std::string_view payload)
{
    std::vector<FleetCommand> commands;
    if (decodeVersioned(OldestCommandVersion, CommandVersion, payload, commands) != ResultCode::Ok) {
        return std::nullopt;
    }
    return commands;
}

} // namespace Filbertlanding
