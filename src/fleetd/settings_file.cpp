/** @file settings_file.cpp Reads the settings file of a fleet daemon. */

#include "fleetd/settings_file.h"

#include "core/clock_func.h"
#include "runtime/log_func.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <thread>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds ReadInterval{50}; ///< Interval of the attempts to read an incomplete file.

    std::optional<std::string> readFile(const std::string &path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file) {
            return std::nullopt;
        }
        try {
            return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
        } catch (const std::ios_base::failure &) {
            return std::nullopt; // The disk has refused the read.
        }
    }

    bool isNoJson(const SettingsError &error)
    {
        return error.code == ResultCode::BadJson;
    }

} // namespace

SettingsFile readSettingsFile(const std::string &path)
{
    SettingsFile file;
    auto text = readFile(path);
    if (!text) {
        file.errors.push_back({ResultCode::BadJson, "", "cannot be read"});
        file.isIncomplete = true;
        return file;
    }
    file.text = std::move(*text);
    file.errors = parseFleetSettings(file.text, file.settings);
    file.isIncomplete = std::any_of(file.errors.begin(), file.errors.end(), isNoJson);
    return file;
}

SettingsFile awaitSettingsFile(const std::string &path, Duration limit, const std::function<bool()> &endsWait, const std::function<void()> &waits)
{
    const TimePoint end = steadyNow() + limit;
    SettingsFile file = readSettingsFile(path);
    if (file.isIncomplete) {
        waits();
    }
    while (file.isIncomplete && steadyNow() < end && !endsWait()) {
        std::this_thread::sleep_for(ReadInterval);
        file = readSettingsFile(path);
    }
    return file;
}

std::function<std::optional<FleetDaemonSettings>()> settingsReloadFrom(const std::string &path, std::string initialText)
{
    return [path, lastText = std::move(initialText)]() mutable -> std::optional<FleetDaemonSettings> {
        auto text = readFile(path);
        if (!text || *text == lastText) {
            return std::nullopt;
        }
        FleetDaemonSettings settings;
        const std::vector<SettingsError> errors = parseFleetSettings(*text, settings);
        lastText = std::move(*text);
        if (!errors.empty()) {
            logLine(LogArea::Daemon, LogLevel::Error, "settings_refused", {{"pointer", errors.front().pointer}, {"message", errors.front().message}});
            return std::nullopt;
        }
        return settings;
    };
}

} // namespace Filbertlanding
