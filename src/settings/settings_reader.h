/** @file settings_reader.h Readers of single settings that the tables of settings share. Include it only in source files. */

#pragma once

#include "settings/settings_type.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include <set>
#include <string_view>

namespace Filbertlanding::SettingsReader {

namespace json = boost::json;

using Errors = std::vector<SettingsError>;

inline void addError(Errors &errors, ResultCode code, std::string pointer, std::string message)
{
    errors.push_back({code, std::move(pointer), std::move(message)});
}

/** Returns the value at a JSON pointer, or nullptr when a part of the path is missing. */
inline const json::value *valueAt(const json::value &root, std::string_view pointer)
{
    boost::system::error_code ignored;
    return root.find_pointer(pointer, ignored);
}

inline void readText(const json::value &root, std::string_view pointer, std::string &member, Errors &errors)
{
    const json::value *value = valueAt(root, pointer);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        addError(errors, ResultCode::BadFieldType, std::string(pointer), "expected a text");
        return;
    }
    member = std::string(value->as_string());
}

inline void readNumber(const json::value &root, std::string_view pointer, std::int64_t &member, std::int64_t lowest, std::int64_t highest, Errors &errors)
{
    const json::value *value = valueAt(root, pointer);
    if (value == nullptr) {
        return;
    }
    if (!value->is_int64()) {
        addError(errors, ResultCode::BadFieldType, std::string(pointer), "expected a whole number");
        return;
    }
    const std::int64_t number = value->as_int64();
    if (number < lowest || number > highest) {
        addError(errors, ResultCode::OutOfRange, std::string(pointer), "expected a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return;
    }
    member = number;
}

/** Checks the times of elections, which both daemons have under the same keys. */
template<class DaemonSettings>
void checkElectionTimes(const DaemonSettings &settings, Errors &errors)
{
    if (settings.electionTimeoutMaxMs <= settings.electionTimeoutMinMs) {
        addError(errors, ResultCode::ConflictingSettings, "/raft/electionTimeoutMaxMs", "must be above /raft/electionTimeoutMinMs");
    }
    if (settings.raftHeartbeatMs * 3 > settings.electionTimeoutMinMs) {
        addError(errors, ResultCode::ConflictingSettings, "/raft/heartbeatIntervalMs", "must be at most a third of /raft/electionTimeoutMinMs");
    }
}

inline bool parsesAsAddress(const std::string &text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error;
}

/** Returns the pointers of all keys of a table, with the objects above them. */
inline std::set<std::string, std::less<>> pointersOf(const std::vector<SettingsRow> &rows)
{
    std::set<std::string, std::less<>> known;
    for (const auto &row : rows) {
        std::string pointer(row.pointer);
        while (!pointer.empty()) {
            known.insert(pointer);
            pointer.resize(pointer.rfind('/'));
        }
    }
    return known;
}

/** Reports every key that is not in the table. Lists are checked by their own readers. */
inline void findUnknownKeys(const json::value &value, const std::string &pointer, const std::set<std::string, std::less<>> &known, Errors &errors)
{
    if (!value.is_object()) {
        return;
    }
    for (const auto &member : value.as_object()) {
        const std::string path = pointer + "/" + std::string(member.key());
        if (!known.contains(path)) {
            addError(errors, ResultCode::UnknownField, path, "this key is not known");
            continue;
        }
        findUnknownKeys(member.value(), path, known, errors);
    }
}

} // namespace Filbertlanding::SettingsReader
