/** @file settings_func.h Reads and checks the settings of a daemon. */

#pragma once

#include "settings/settings_type.h"

#include <string_view>

namespace Filbertlanding {

/**
 * Reads settings from JSON.
 * @param text The JSON document; an empty text means all defaults.
 * @param settings [out] The settings; meaningful only when there is no error.
 * @return All findings: malformed JSON, unknown keys, wrong types, values out of range, bad addresses, impossible combinations.
 */
std::vector<SettingsError> parseSettings(std::string_view text, Settings &settings);

/** Returns the settings in effect as a JSON document, with every key. */
std::string settingsAsJson(const Settings &settings);

/** Returns the rows of the table of settings, in the order of the documentation. */
std::vector<SettingsRow> settingsRows();

/** Returns whether this daemon has a disk and therefore votes. */
bool isVoter(const Settings &settings);

} // namespace Filbertlanding
