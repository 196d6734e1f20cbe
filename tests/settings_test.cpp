/** @file settings_test.cpp Tests of the daemon's settings. */

#include "catalog/intent_type.h"
#include "settings/fleet_settings.h"
#include "settings/host_limits.h"
#include "settings/settings_func.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace Filbertlanding;

namespace {

std::vector<SettingsError> errorsOf(std::string_view text)
{
    Settings settings;
    return parseSettings(text, settings);
}

bool hasError(const std::vector<SettingsError> &errors, ResultCode code, std::string_view pointer)
{
    for (const auto &error : errors) {
        if (error.code == code && error.pointer == pointer) {
            return true;
        }
    }
    return false;
}

/** Checks that a page has the row of every setting. */
void checkPage(const std::string &path, const std::vector<SettingsRow> &rows)
{
    std::ifstream page(path);
    std::stringstream text;
    text << page.rdbuf();
    for (const auto &row : rows) {
        std::ostringstream line;
        line << "| `" << row.pointer << "` | " << (row.fallback.empty() ? "-" : row.fallback) << " | " << row.range << " | "
             << (row.unit.empty() ? "-" : row.unit) << " | " << row.sentence << " |\n";
        CHECK_MESSAGE(text.str().find(line.str()) != std::string::npos, line.str());
    }
}

} // namespace

TEST_CASE("Settings of a daemon")
{
    SUBCASE("a data folder alone is enough to start on a laptop")
    {
        Settings settings;
        CHECK(parseSettings(R"({"dataFolder": "data"})", settings).empty());
        CHECK(settings.httpPort == 8100);
        CHECK(isVoter(settings));
        // Guards against a default by which a sync of the largest allowed set of intent files is refused as TooLarge.
        CHECK(static_cast<std::size_t>(settings.maxBodyBytes) > MaxIntentTotalBytes);

        SUBCASE("and the settings in effect can be read back as they are")
        {
            Settings again;
            CHECK(parseSettings(settingsAsJson(settings), again).empty());
            CHECK(settingsAsJson(again) == settingsAsJson(settings));
        }
    }

    SUBCASE("a mistake is named with its place, and all mistakes are named at once")
    {
        // Guards against a daemon that starts with a misspelt or misplaced setting silently ignored.
        const auto errors = errorsOf(R"({"dataFolder": "d", "htpp": {}, "http": {"port": "8100", "requestThreads": 0, "address": "localhost"},
                                         "log": 5, "worker": {"reportIntervalMs": 4000}, "peers": [{"daemon": "local-1", "zone": "x"}]})");
        CHECK(hasError(errors, ResultCode::UnknownField, "/htpp"));
        CHECK(hasError(errors, ResultCode::BadFieldType, "/http/port"));
        CHECK(hasError(errors, ResultCode::OutOfRange, "/http/requestThreads"));
        CHECK(hasError(errors, ResultCode::BadAddress, "/http/address"));
        CHECK(hasError(errors, ResultCode::BadFieldType, "/log"));
        CHECK(hasError(errors, ResultCode::ConflictingSettings, "/worker/reportIntervalMs"));
        CHECK(hasError(errors, ResultCode::UnknownField, "/peers/0/zone"));
        CHECK(hasError(errors, ResultCode::MissingField, "/peers/0/tcpPort"));
        CHECK(hasError(errors, ResultCode::ConflictingSettings, "/peers/0/daemon"));
        CHECK(hasError(errors, ResultCode::MissingField, "/peer/keyFile"));
    }

    SUBCASE("an installation without a disk cannot keep anything and is refused")
    {
        CHECK(hasError(errorsOf("{}"), ResultCode::ConflictingSettings, "/dataFolder"));
    }

    SUBCASE("text that is not JSON is refused")
    {
        CHECK(hasError(errorsOf("{\"daemon\": "), ResultCode::BadJson, ""));
        CHECK(hasError(errorsOf("[]"), ResultCode::BadFieldType, ""));
    }

    SUBCASE("the page for users lists every key with default, range and unit")
    {
        checkPage(FILBERTLANDING_SOURCE_DIR "/docs/settings.md", settingsRows());
    }
}

TEST_CASE("Settings of a fleet daemon")
{
    FleetDaemonSettings settings;
    const auto errorsIn = [&settings](const std::string &text) {
        return parseFleetSettings(text, settings);
    };

    SUBCASE("a key is required, everything else has a default")
    {
        CHECK(hasError(errorsIn("{}"), ResultCode::MissingField, "/peer/key"));
        CHECK(errorsIn(R"({"peer": {"key": "k"}})").empty());
        CHECK(settings.peerPort == 8200);
    }

    SUBCASE("a bound that is a fraction is rounded up")
    {
        CHECK(errorsIn(R"({"peer": {"key": "k"}, "task": {"farFactor": 2.5}})").empty());
        CHECK(settings.farFactor == 3);
    }

    SUBCASE("mistakes are named")
    {
        CHECK(hasError(errorsIn(R"({"peer": {"key": "k"}, "firstStart": 1})"), ResultCode::BadFieldType, "/firstStart"));
        CHECK(hasError(errorsIn(R"({"peer": {"key": "k"}, "contacts": "x"})"), ResultCode::BadFieldType, "/contacts"));
        CHECK(hasError(errorsIn(R"({"peer": {"key": "k"}, "contacts": ["x"]})"), ResultCode::BadAddress, "/contacts"));
        CHECK(hasError(errorsIn(R"({"peer": {"key": "k"}, "listen": {"control": "1.2.3.4"}})"), ResultCode::BadAddress, "/listen/control"));
        CHECK(hasError(errorsIn(R"({"peer": {"key": "k", "prot": 1}})"), ResultCode::UnknownField, "/peer/prot"));
        CHECK(hasError(errorsIn("{"), ResultCode::BadJson, ""));
    }

    SUBCASE("the limits of the host bound the log, and are not known by default")
    {
        // Guards against a log that fills the disk or the memory of its host before a snapshot replaces it.
        constexpr std::uint64_t Megabyte = 1'048'576;
        constexpr std::uint64_t Most = 32 * Megabyte;
        CHECK(errorsIn(R"({"peer": {"key": "k"}})").empty());
        CHECK(settings.limitDiskMegabytes == 0);
        CHECK(settings.limitMemoryMegabytes == 0);
        CHECK(logBytesWithin({}, Most) == Most);
        CHECK(logBytesWithin({1'000'000, 1'000'000}, Most) == Most);
        for (const std::uint64_t megabytes : {16U, 128U, 200U}) {
            const std::uint64_t ofDisk = logBytesWithin({megabytes, 0}, Most);
            const std::uint64_t ofMemory = logBytesWithin({0, megabytes}, Most);
            CHECK(4 * ofDisk <= megabytes * Megabyte / 2);
            CHECK(4 * ofMemory <= megabytes * Megabyte / 4);
            CHECK(logBytesWithin({megabytes, megabytes}, Most) == std::min(ofDisk, ofMemory));
        }
        CHECK(logBytesWithin({1, 1}, Most) == Megabyte);
    }

    SUBCASE("the page for users lists every key with default, range and unit")
    {
        checkPage(FILBERTLANDING_SOURCE_DIR "/docs/fleet-settings.md", fleetSettingsRows());
    }
}

TEST_CASE("Both daemons refuse times with which no leader could last")
{
    // Guards against elections that split for ever, and against followers that give up a leader after few lost heartbeats.
    const std::string times = R"("raft": {"electionTimeoutMinMs": 500, "electionTimeoutMaxMs": 500, "heartbeatIntervalMs": 200})";
    FleetDaemonSettings settings;
    for (const auto &errors : {errorsOf(R"({"dataFolder": "d", )" + times + "}"), parseFleetSettings(R"({"peer": {"key": "k"}, )" + times + "}", settings)}) {
        CHECK(errors.size() == 2);
        CHECK(hasError(errors, ResultCode::ConflictingSettings, "/raft/electionTimeoutMaxMs"));
        CHECK(hasError(errors, ResultCode::ConflictingSettings, "/raft/heartbeatIntervalMs"));
    }
}
