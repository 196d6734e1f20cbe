/** @file fleet_settings.cpp Reads and checks the settings of a fleet daemon. */

#include "settings/fleet_settings.h"

#include "settings/settings_reader.h"

#include <charconv>
#include <cmath>

namespace Filbertlanding {

namespace {

    using namespace SettingsReader;

    void readFlag(const json::value &root, std::string_view pointer, bool &member, Errors &errors)
    {
        const json::value *value = valueAt(root, pointer);
        if (value == nullptr) {
            return;
        }
        if (!value->is_bool()) {
            addError(errors, ResultCode::BadFieldType, std::string(pointer), "expected true or false");
            return;
        }
        member = value->as_bool();
    }

    /** Like readNumber, but rounds a fraction up: bounds of an installation may be stated as fractions. */
    void readBound(const json::value &root, std::string_view pointer, std::int64_t &member, std::int64_t lowest, std::int64_t highest, Errors &errors)
    {
        const json::value *value = valueAt(root, pointer);
        if (value == nullptr || !value->is_double()) {
            readNumber(root, pointer, member, lowest, highest, errors);
            return;
        }
        const double rounded = std::ceil(value->as_double());
        if (!(rounded >= static_cast<double>(lowest) && rounded <= static_cast<double>(highest))) {
            addError(
                errors, ResultCode::OutOfRange, std::string(pointer), "expected a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
            return;
        }
        member = static_cast<std::int64_t>(rounded);
    }

    void readList(const json::value &root, std::string_view pointer, std::vector<std::string> &member, Errors &errors)
    {
        const json::value *value = valueAt(root, pointer);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            addError(errors, ResultCode::BadFieldType, std::string(pointer), "expected a list of texts");
            return;
        }
        for (const json::value &entry : value->as_array()) {
            if (!entry.is_string()) {
                addError(errors, ResultCode::BadFieldType, std::string(pointer), "expected a list of texts");
                return;
            }
            member.emplace_back(entry.as_string());
        }
    }

    void checkEndpoint(const std::string &text, std::string_view pointer, Errors &errors)
    {
        if (!text.empty() && !splitAddress(text)) {
            addError(errors, ResultCode::BadAddress, std::string(pointer), "\"" + text + "\" is not an IP address and a port");
        }
    }

    void checkCombinations(const FleetDaemonSettings &settings, Errors &errors)
    {
        if (!parsesAsAddress(settings.address)) {
            addError(errors, ResultCode::BadAddress, "/address", "\"" + settings.address + "\" is not an IP address");
        }
        for (const std::string &contact : settings.contacts) {
            checkEndpoint(contact, "/contacts", errors);
        }
        checkEndpoint(settings.listenCallers, "/listen/callers", errors);
        checkEndpoint(settings.listenReadiness, "/listen/readiness", errors);
        checkEndpoint(settings.listenControl, "/listen/control", errors);
        checkEndpoint(settings.listenMetrics, "/listen/metrics", errors);
        if (settings.peerKey.empty()) {
            addError(errors, ResultCode::MissingField, "/peer/key", "required; daemons prove with it that they belong together");
        }
        checkElectionTimes(settings, errors);
    }

} // namespace

std::vector<SettingsError> parseFleetSettings(std::string_view text, FleetDaemonSettings &settings)
{
    Errors errors;
    settings = FleetDaemonSettings();
    boost::system::error_code failure;
    const json::value root = json::parse(text, failure);
    if (failure || !root.is_object()) {
        addError(errors, ResultCode::BadJson, "", failure ? failure.message() : "expected an object");
        return errors;
    }
    findUnknownKeys(root, "", pointersOf(fleetSettingsRows()), errors);
#define SETTING_TEXT(pointer, member, fallback, sentence) readText(root, pointer, settings.member, errors);
#define SETTING_NUMBER(pointer, member, fallback, lowest, highest, unit, sentence) readBound(root, pointer, settings.member, lowest, highest, errors);
#define SETTING_FLAG(pointer, member, fallback, sentence) readFlag(root, pointer, settings.member, errors);
#define SETTING_LIST(pointer, member, sentence) readList(root, pointer, settings.member, errors);
#include "settings/table/fleet_settings_keys.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
#undef SETTING_FLAG
#undef SETTING_LIST
    checkCombinations(settings, errors);
    return errors;
}

std::vector<SettingsRow> fleetSettingsRows()
{
    return {
#define SETTING_TEXT(pointer, member, fallback, sentence) {pointer, fallback, "text", "", sentence},
#define SETTING_NUMBER(pointer, member, fallback, lowest, highest, unit, sentence) \
    {pointer, std::to_string(fallback), std::to_string(lowest) + " to " + std::to_string(highest), unit, sentence},
#define SETTING_FLAG(pointer, member, fallback, sentence) {pointer, (fallback) ? "true" : "false", "true or false", "", sentence},
#define SETTING_LIST(pointer, member, sentence) {pointer, "", "list of texts", "", sentence},
#include "settings/table/fleet_settings_keys.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
#undef SETTING_FLAG
#undef SETTING_LIST
    };
}

std::optional<std::pair<std::string, std::uint16_t>> splitAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !parsesAsAddress(std::string(text.substr(0, colon)))) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return std::pair{std::string(text.substr(0, colon)), port};
}

} // namespace Filbertlanding
