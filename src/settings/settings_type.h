/** @file settings_type.h Settings of a daemon. */

#pragma once

#include "core/names_type.h"
#include "core/result_code.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Another daemon of the installation, as named in the settings. */
struct PeerSettings {
    DaemonName daemon; ///< Name of the peer.
    ZoneName availabilityZone; ///< Availability zone of the peer.
    std::string address; ///< IP address of the peer.
    std::uint16_t tcpPort = 0; ///< TCP port of peer links.
    std::uint16_t udpPort = 0; ///< UDP port of heartbeats.
    std::string httpAddress; ///< IP address of the peer's HTTP listener; workers are referred to it.
    std::uint16_t httpPort = 0; ///< Port of the peer's HTTP listener.
    bool voter = false; ///< Whether the peer has a disk and votes.
};

/** Settings of a daemon after the check. Members and their defaults are listed in table/settings_keys.h. */
struct Settings {
#define SETTING_TEXT(pointer, member, fallback, sentence) std::string member = fallback;
#define SETTING_NUMBER(pointer, member, fallback, lowest, highest, unit, sentence) std::int64_t member = fallback;
#include "settings/table/settings_keys.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
    std::vector<PeerSettings> peers; ///< All other daemons of the installation.
};

/** A finding of the check of the settings. */
struct SettingsError {
    ResultCode code; ///< What is wrong.
    std::string pointer; ///< JSON pointer to the place.
    std::string message; ///< One sentence for people.
};

/** One row of the table of settings, for documentation. */
struct SettingsRow {
    std::string_view pointer; ///< JSON pointer of the key.
    std::string fallback; ///< Default as text.
    std::string range; ///< Allowed range, or "text".
    std::string_view unit; ///< Unit of a number; empty for text.
    std::string_view sentence; ///< Meaning.
};

} // namespace Filbertlanding
