/** @file fleet_command.cpp Encoding of the fleet commands. */

#include "fleet/fleet_command.h"

#include "core/bounded_archive.h"

namespace Filbertlanding {

namespace {

    constexpr char CommandVersion = 3; ///< First byte of every payload.
    constexpr char OldestCommandVersion = 1; ///< Oldest version that can be read.

} // namespace

std::string encodeCommands(const std::vector<FleetCommand> &commands)
{
    return encodeVersioned(CommandVersion, commands);
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
