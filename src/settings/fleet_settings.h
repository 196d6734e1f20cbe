/** @file fleet_settings.h Settings of a fleet daemon, read from JSON and checked. */

#pragma once

#include "settings/settings_type.h"

#include <optional>
#include <string_view>
#include <utility>

namespace Filbertlanding {

/** Settings of a fleet daemon after the check. Members and their defaults are listed in table/fleet_settings_keys.h. */
struct FleetDaemonSettings {
#define SETTING_TEXT(pointer, member, fallback, sentence) std::string member = fallback;
#define SETTING_NUMBER(pointer, member, fallback, lowest, highest, unit, sentence) std::int64_t member = fallback;
#define SETTING_FLAG(pointer, member, fallback, sentence) bool member = fallback;
#define SETTING_LIST(pointer, member, sentence) std::vector<std::string> member;
#include "settings/table/fleet_settings_keys.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
#undef SETTING_FLAG
#undef SETTING_LIST
};

/**
 * Reads settings from JSON. Unknown keys are findings, since a misspelt key would otherwise go unnoticed.
 * @param settings [out] The settings; meaningful only when there is no finding.
 */
std::vector<SettingsError> parseFleetSettings(std::string_view text, FleetDaemonSettings &settings);

/** Returns the rows of the table of settings, in the order of the documentation. */
std::vector<SettingsRow> fleetSettingsRows();

/** Splits "address:port"; nothing if it is not an IP address and a port. */
std::optional<std::pair<std::string, std::uint16_t>> splitAddress(std::string_view text);

} // namespace Filbertlanding
