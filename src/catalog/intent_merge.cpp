/** @file intent_merge.cpp Merge of intent files (RFC 7396) that remembers which file set each value. */

#include "catalog/intent_merge.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    IntentScalar scalarOf(const json::value &value)
    {
        switch (value.kind()) {
        case json::kind::bool_:
            return value.get_bool();
        case json::kind::int64:
            return value.get_int64();
        case json::kind::uint64:
            return value.get_uint64();
        case json::kind::double_:
            return value.get_double();
        case json::kind::string:
            return std::string(value.get_string());
        default:
            return JsonArrayText{json::serialize(value)};
        }
    }

    void applyObject(MergedValue &target, const json::object &patch, std::uint32_t file)
    {
        for (const auto &[key, value] : patch) {
            const std::string_view name(key.data(), key.size());
            const auto found = target.members.find(name);
            if (value.is_null()) {
                if (found != target.members.end()) {
                    target.members.erase(found);
                }
                continue;
            }
            auto &member = found != target.members.end() ? found->second : target.members[std::string(name)];
            const bool isNew = found == target.members.end();
            if (!value.is_object()) {
                member = MergedValue{false, file, scalarOf(value), {}};
                continue;
            }
            if (isNew || !member.isObject) {
                member = MergedValue{true, file, {}, {}};
            }
            applyObject(member, value.get_object(), file);
        }
    }

    std::size_t lineOf(std::string_view text, std::size_t position)
    {
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(position, text.size()));
        return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
    }

    json::value parseFile(const IntentFile &file, std::vector<IntentError> &errors)
    {
        json::parse_options options;
        options.max_depth = MaxIntentDepth;
        json::stream_parser parser({}, options);
        json::error_code code;
        const auto consumed = parser.write_some(file.text, code);
        const bool hasTrailingText = !code && file.text.find_first_not_of(" \t\r\n", consumed) != std::string::npos;
        const auto where = "line " + std::to_string(lineOf(file.text, consumed)) + ": ";
        if (code == json::error::too_deep) {
            errors.push_back({ResultCode::TooLarge, file.name, "", where + "more than " + std::to_string(MaxIntentDepth) + " nested levels"});
            return nullptr;
        }
        if (!code && !hasTrailingText) {
            parser.finish(code);
        }
        if (code || hasTrailingText) {
            const auto reason = code ? code.message() : std::string("text after the end of the object");
            errors.push_back({ResultCode::BadJson, file.name, "", where + reason});
            return nullptr;
        }
        auto value = parser.release();
        if (!value.is_object()) {
            errors.push_back({ResultCode::BadFieldType, file.name, "", "the file does not hold a JSON object"});
            return nullptr;
        }
        return value;
    }

    bool checkSizes(const std::vector<IntentFile> &files, std::vector<IntentError> &errors)
    {
        if (files.size() > MaxIntentFiles) {
            errors.push_back({ResultCode::TooLarge, "", "", "more than " + std::to_string(MaxIntentFiles) + " intent files"});
        }
        std::size_t total = 0;
        for (const auto &file : files) {
            total += file.text.size();
        }
        if (total > MaxIntentTotalBytes) {
            errors.push_back({ResultCode::TooLarge, "", "", "the intent files have more than " + std::to_string(MaxIntentTotalBytes) + " bytes together"});
        }
        return errors.empty();
    }

    bool checkFile(const IntentFile &file, bool isDuplicate, std::vector<IntentError> &errors)
    {
        if (!isValidName(file.name)) {
            errors.push_back({ResultCode::BadRequest, file.name, "", "a file name has 1 to 100 letters, digits, dots, hyphens and underscores"});
            return false;
        }
        if (isDuplicate) {
            errors.push_back({ResultCode::BadRequest, file.name, "", "the file is named twice"});
            return false;
        }
        if (file.text.size() > MaxIntentFileBytes) {
            errors.push_back({ResultCode::TooLarge, file.name, "", "the file has more than " + std::to_string(MaxIntentFileBytes) + " bytes"});
            return false;
        }
        return true;
    }

    json::value toJson(const MergedValue &value)
    {
        if (value.isObject) {
            json::object object;
            for (const auto &[key, member] : value.members) {
                object.emplace(key, toJson(member));
            }
            return object;
        }
        return std::visit(
            [](const auto &scalar) -> json::value {
                if constexpr (std::is_same_v<std::decay_t<decltype(scalar)>, JsonArrayText>) {
                    return json::parse(scalar.text);
                } else {
                    return json::value(scalar);
                }
            },
            value.scalar);
    }

} // namespace

MergedIntent mergeIntent(const std::vector<IntentFile> &files)
{
    MergedIntent merged;
    if (!checkSizes(files, merged.errors)) {
        return merged;
    }
    std::vector<const IntentFile *> sorted;
    sorted.reserve(files.size());
    for (const auto &file : files) {
        sorted.push_back(&file);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const IntentFile *left, const IntentFile *right) {
        return left->name < right->name;
    });
    for (const auto *file : sorted) {
        const bool isDuplicate = !merged.fileNames.empty() && merged.fileNames.back() == file->name;
        merged.fileNames.push_back(file->name);
        if (!checkFile(*file, isDuplicate, merged.errors)) {
            continue;
        }
        const auto value = parseFile(*file, merged.errors);
        if (value.is_object()) {
            applyObject(merged.root, value.get_object(), static_cast<std::uint32_t>(merged.fileNames.size() - 1));
        }
    }
    return merged;
}

std::string mergedAsJson(const MergedValue &value)
{
    return json::serialize(toJson(value));
}

bool isValidName(std::string_view name)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
    };
    return !name.empty() && name.size() <= MaxNameBytes && std::all_of(name.begin(), name.end(), isAllowed);
}

std::string extendPointer(const std::string &pointer, std::string_view key)
{
    std::string result = pointer + "/";
    for (const char c : key) {
        if (c == '~') {
            result += "~0";
        } else if (c == '/') {
            result += "~1";
        } else {
            result += c;
        }
    }
    return result;
}

} // namespace Filbertlanding
