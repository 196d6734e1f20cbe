/** @file settings_func.cpp Reads and checks the settings of a daemon. */

#include "settings/settings_func.h"

#include "settings/settings_reader.h"

namespace Filbertlanding {

namespace {

    namespace json = boost::json;
    using namespace SettingsReader;

    constexpr std::size_t MaxPeers = 64; ///< More daemons than an installation has, so that a wrong file is found early.

    void checkAddress(const std::string &text, std::string pointer, Errors &errors)
    {
        if (!parsesAsAddress(text)) {
            addError(errors, ResultCode::BadAddress, std::move(pointer), "\"" + text + "\" is not an IP address");
        }
    }

    /** Reports every object of the table that has another type, for example "http": 5. */
    void findWrongObjects(const json::value &root, Errors &errors)
    {
        for (const std::string_view name : {"http", "peer", "log", "worker", "lease", "raft"}) {
            const json::value *value = valueAt(root, "/" + std::string(name));
            if (value != nullptr && !value->is_object()) {
                addError(errors, ResultCode::BadFieldType, "/" + std::string(name), "expected an object");
            }
        }
    }

    void readPort(const json::value &root, const std::string &pointer, std::uint16_t &port, Errors &errors)
    {
        std::int64_t number = 0;
        if (valueAt(root, pointer) == nullptr) {
            addError(errors, ResultCode::MissingField, pointer, "this key is required");
            return;
        }
        readNumber(root, pointer, number, 1, 65535, errors);
        port = static_cast<std::uint16_t>(number);
    }

    void readRequiredText(const json::value &root, const std::string &pointer, std::string &member, Errors &errors)
    {
        if (valueAt(root, pointer) == nullptr) {
            addError(errors, ResultCode::MissingField, pointer, "this key is required");
            return;
        }
        readText(root, pointer, member, errors);
        if (member.empty()) {
            addError(errors, ResultCode::OutOfRange, pointer, "must not be empty");
        }
    }

    void readVoterFlag(const json::value &root, const std::string &pointer, bool &voter, Errors &errors)
    {
        const json::value *value = valueAt(root, pointer);
        if (value == nullptr) {
            return;
        }
        if (!value->is_bool()) {
            addError(errors, ResultCode::BadFieldType, pointer, "expected true or false");
            return;
        }
        voter = value->as_bool();
    }

    PeerSettings readPeer(const json::value &root, const std::string &pointer, Errors &errors)
    {
        PeerSettings peer;
        readRequiredText(root, pointer + "/daemon", peer.daemon, errors);
        readRequiredText(root, pointer + "/availabilityZone", peer.availabilityZone, errors);
        readRequiredText(root, pointer + "/address", peer.address, errors);
        readPort(root, pointer + "/tcpPort", peer.tcpPort, errors);
        readPort(root, pointer + "/udpPort", peer.udpPort, errors);
        readPort(root, pointer + "/httpPort", peer.httpPort, errors);
        readVoterFlag(root, pointer + "/voter", peer.voter, errors);
        peer.httpAddress = peer.address;
        readText(root, pointer + "/httpAddress", peer.httpAddress, errors);
        checkAddress(peer.address, pointer + "/address", errors);
        checkAddress(peer.httpAddress, pointer + "/httpAddress", errors);
        return peer;
    }

    void readPeers(const json::value &root, std::vector<PeerSettings> &peers, Errors &errors)
    {
        static const std::set<std::string, std::less<>> names{
            "daemon", "availabilityZone", "address", "tcpPort", "udpPort", "httpAddress", "httpPort", "voter"};
        const json::value *list = valueAt(root, "/peers");
        if (list == nullptr) {
            return;
        }
        if (!list->is_array()) {
            addError(errors, ResultCode::BadFieldType, "/peers", "expected a list");
            return;
        }
        if (list->as_array().size() > MaxPeers) {
            addError(errors, ResultCode::OutOfRange, "/peers", "more than " + std::to_string(MaxPeers) + " peers");
            return;
        }
        for (std::size_t i = 0; i < list->as_array().size(); ++i) {
            const std::string pointer = "/peers/" + std::to_string(i);
            const json::value &entry = list->as_array()[i];
            if (!entry.is_object()) {
                addError(errors, ResultCode::BadFieldType, pointer, "expected an object");
                continue;
            }
            for (const auto &member : entry.as_object()) {
                if (!names.contains(std::string_view(member.key()))) {
                    addError(errors, ResultCode::UnknownField, pointer + "/" + std::string(member.key()), "this key is not known");
                }
            }
            peers.push_back(readPeer(root, pointer, errors));
        }
    }

    void checkPeers(const Settings &settings, Errors &errors)
    {
        std::set<std::string> names{settings.daemon};
        std::size_t voters = isVoter(settings) ? 1 : 0;
        for (std::size_t i = 0; i < settings.peers.size(); ++i) {
            const PeerSettings &peer = settings.peers[i];
            voters += peer.voter ? 1 : 0;
            if (!names.insert(peer.daemon).second) {
                addError(errors, ResultCode::ConflictingSettings, "/peers/" + std::to_string(i) + "/daemon", "the name " + peer.daemon + " is used twice");
            }
        }
        if (voters == 0) {
            addError(errors, ResultCode::ConflictingSettings, "/dataFolder", "no daemon of the installation has a disk; at least one voter is needed");
        }
        if (!settings.peers.empty() && settings.peerKeyFile.empty()) {
            addError(errors, ResultCode::MissingField, "/peer/keyFile", "required when peers are listed");
        }
        if (!isVoter(settings) && settings.operatorKeyFile.empty()) {
            addError(errors, ResultCode::MissingField, "/operatorKeyFile", "required without a dataFolder");
        }
    }

    void checkDurations(const Settings &settings, Errors &errors)
    {
        checkElectionTimes(settings, errors);
        if (settings.runningLeaseMs <= settings.freshnessLeaseMs) {
            addError(errors, ResultCode::ConflictingSettings, "/lease/runningMs", "must be above /lease/freshnessMs");
        }
        if (settings.probeIntervalMs * 2 > settings.freshnessLeaseMs) {
            addError(errors, ResultCode::ConflictingSettings, "/lease/probeIntervalMs", "must be at most half of /lease/freshnessMs");
        }
        // A worker that reports once per lease would lose its owner with every delayed report.
        if (settings.reportIntervalMs * 2 > settings.ownerLeaseMs || settings.reportIntervalMs * 2 > settings.taskLeaseMs) {
            addError(errors, ResultCode::ConflictingSettings, "/worker/reportIntervalMs", "must be at most half of the owner lease and of the task lease");
        }
    }

    void checkLogLevel(const Settings &settings, Errors &errors)
    {
        static const std::set<std::string, std::less<>> levels{"trace", "debug", "info", "warn", "error"};
        if (!levels.contains(settings.logLevel)) {
            addError(errors, ResultCode::OutOfRange, "/log/level", "expected trace, debug, info, warn or error");
        }
    }

    /** Sets a value at a pointer of two levels at most, creating the object above it. */
    void setAt(json::object &root, std::string_view pointer, json::value value)
    {
        const std::string_view path = pointer.substr(1);
        const std::size_t slash = path.find('/');
        if (slash == std::string_view::npos) {
            root[path] = std::move(value);
            return;
        }
        json::value &section = root[path.substr(0, slash)];
        if (!section.is_object()) {
            section = json::object();
        }
        section.as_object()[path.substr(slash + 1)] = std::move(value);
    }

} // namespace

std::vector<SettingsError> parseSettings(std::string_view text, Settings &settings)
{
    Errors errors;
    settings = Settings();
    boost::system::error_code failure;
    const json::value root = text.empty() ? json::value(json::object()) : json::parse(text, failure);
    if (failure) {
        addError(errors, ResultCode::BadJson, "", failure.message());
        return errors;
    }
    if (!root.is_object()) {
        addError(errors, ResultCode::BadFieldType, "", "expected an object");
        return errors;
    }
    auto known = pointersOf(settingsRows());
    known.insert("/peers");
    findUnknownKeys(root, "", known, errors);
    findWrongObjects(root, errors);
#define SETTING_TEXT(pointer, member, fallback, sentence) readText(root, pointer, settings.member, errors);
#define SETTING_NUMBER(pointer, member, fallback, lowest, highest, unit, sentence) readNumber(root, pointer, settings.member, lowest, highest, errors);
#include "settings/table/settings_keys.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
    readPeers(root, settings.peers, errors);
    checkAddress(settings.httpAddress, "/http/address", errors);
    checkAddress(settings.peerAddress, "/peer/address", errors);
    checkPeers(settings, errors);
    checkDurations(settings, errors);
    checkLogLevel(settings, errors);
    return errors;
}

std::string settingsAsJson(const Settings &settings)
{
    json::object root;
#define SETTING_TEXT(pointer, member, fallback, sentence) setAt(root, pointer, json::value(settings.member));
#define SETTING_NUMBER(pointer, member, fallback, lowest, highest, unit, sentence) setAt(root, pointer, json::value(settings.member));
#include "settings/table/settings_keys.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
    json::array peers;
    for (const PeerSettings &peer : settings.peers) {
        peers.push_back({{"daemon", peer.daemon},
                         {"availabilityZone", peer.availabilityZone},
                         {"address", peer.address},
                         {"tcpPort", peer.tcpPort},
                         {"udpPort", peer.udpPort},
                         {"httpAddress", peer.httpAddress},
                         {"httpPort", peer.httpPort},
                         {"voter", peer.voter}});
    }
    root["peers"] = std::move(peers);
    return json::serialize(root);
}

std::vector<SettingsRow> settingsRows()
{
    return {
#define SETTING_TEXT(pointer, member, fallback, sentence) {pointer, fallback, "text", "", sentence},
#define SETTING_NUMBER(pointer, member, fallback, lowest, highest, unit, sentence) \
    {pointer, std::to_string(fallback), std::to_string(lowest) + " to " + std::to_string(highest), unit, sentence},
#include "settings/table/settings_keys.h"
#undef SETTING_TEXT
#undef SETTING_NUMBER
    };
}

bool isVoter(const Settings &settings)
{
    return !settings.dataFolder.empty();
}

} // namespace Filbertlanding
