/** @file settings_file.h Reads the settings file of a fleet daemon, also while another program is writing it. */

#pragma once

#include "core/clock_type.h"
#include "settings/fleet_settings.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Outcome of reading a settings file. */
struct SettingsFile {
    std::string text; ///< Content that was read.
    FleetDaemonSettings settings; ///< Settings; meaningful only without errors.
    std::vector<SettingsError> errors; ///< Everything that is wrong.
    bool isIncomplete = false; ///< The file is missing, empty or no whole JSON text, as while it is being written.
};

/** Reads a settings file once. */
SettingsFile readSettingsFile(const std::string &path);

/**
 * Reads a settings file; while it is incomplete, reads it again until the time is over or the wait is to end.
 * @param waits Told once, before the first wait.
 */
SettingsFile awaitSettingsFile(const std::string &path, Duration limit, const std::function<bool()> &endsWait, const std::function<void()> &waits);

/** Returns a function that reads the settings again, and returns them if the file has changed since the last call and is valid. */
std::function<std::optional<FleetDaemonSettings>()> settingsReloadFrom(const std::string &path, std::string initialText);

} // namespace Filbertlanding
