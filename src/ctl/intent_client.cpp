/** @file intent_client.cpp Reads and changes the intent files of an installation. */

#include "ctl/intent_client.h"

#include "catalog/intent_merge.h"
#include "ctl/json_access.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <variant>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;
    namespace fs = std::filesystem;

    LocalFiles fault(ResultCode code, std::string message)
    {
        return {code, std::move(message), {}};
    }

    /** Returns the base version of an operation that is already in the history, since a resend must equal the first try. */
    std::optional<std::uint64_t> baseVersionOf(CtlContext &context, const OperationId &operation)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/intent/history");
        const json::value root = parseBody(reply.body);
        for (const json::value &change : listOf(root, "changes")) {
            const std::uint64_t version = numberOf(change, "version");
            if (textOf(change, "operation") == operation && version > 0) {
                return version - 1;
            }
        }
        return std::nullopt;
    }

    std::uint64_t chooseVersion(CtlContext &context, std::uint64_t versionRead)
    {
        if (context.options.ifVersion) {
            return *context.options.ifVersion;
        }
        if (context.options.operationId.empty()) {
            return versionRead;
        }
        return baseVersionOf(context, context.options.operationId).value_or(versionRead);
    }

    HttpRequest changeRequest(const CtlContext &context, const IntentChange &change)
    {
        if (change.kind != ChangeKind::Sync) {
            const IntentFile &file = change.files.front();
            const bool isRemoval = change.kind == ChangeKind::Remove;
            return makeCall(context, isRemoval ? "DELETE" : "PUT", "/v1/intent/files/" + encodeSegment(file.name), isRemoval ? std::string() : file.text);
        }
        json::object files;
        for (const IntentFile &file : change.files) {
            files[file.name] = file.text;
        }
        return makeCall(context, "POST", "/v1/intent/sync", json::serialize(json::object{{"files", std::move(files)}}));
    }

} // namespace

IntentState readIntent(CtlContext &context)
{
    IntentState state;
    state.reply = readFromDaemons(context, "/v1/intent");
    if (state.reply.code != ResultCode::Ok) {
        return state;
    }
    const json::value root = parseBody(state.reply.body);
    const json::value &files = memberOf(root, "files");
    if (!files.is_object() || !memberOf(root, "version").is_number()) {
        state.reply.code = ResultCode::BadJson;
        state.reply.message = "the daemon's answer has no version and files";
        state.reply.body.clear();
        return state;
    }
    state.version = numberOf(root, "version");
    for (const auto &file : files.as_object()) {
        const bool isText = file.value().is_string();
        state.files.push_back({std::string(file.key()), isText ? std::string(file.value().as_string()) : json::serialize(file.value())});
    }
    std::sort(state.files.begin(), state.files.end(), [](const IntentFile &left, const IntentFile &right) {
        return left.name < right.name;
    });
    return state;
}

LocalFiles readLocalFile(const std::string &path)
{
    std::error_code error;
    if (!fs::is_regular_file(path, error)) {
        return fault(ResultCode::NotFound, path + (fs::exists(path, error) ? " is no file" : " does not exist or cannot be looked at"));
    }
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return fault(ResultCode::NotFound, path + " cannot be read");
    }
    // One byte more than allowed tells a file that is too large from one that just fits.
    std::string text(MaxIntentFileBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad()) {
        return fault(ResultCode::NotFound, path + " cannot be read");
    }
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (text.size() > MaxIntentFileBytes) {
        return fault(ResultCode::TooLarge, path + " has more than " + std::to_string(MaxIntentFileBytes) + " bytes");
    }
    return {ResultCode::Ok, {}, {{fs::path(path).filename().string(), std::move(text)}}};
}

LocalFiles readLocalFolder(const std::string &folder)
{
    std::error_code error;
    fs::directory_iterator entry(folder, error);
    if (error) {
        return fault(ResultCode::NotFound, "cannot read the folder " + folder + ": " + error.message());
    }
    LocalFiles result;
    for (; entry != fs::directory_iterator(); entry.increment(error)) {
        const std::string name = entry->path().filename().string();
        if (name.starts_with('.')) {
            continue;
        }
        if (!isValidName(name) || !name.ends_with(".json")) {
            return fault(ResultCode::OutOfRange,
                         entry->path().string() + ": an intent file is named by 1 to 100 letters, digits, dots, hyphens and underscores, ending in .json");
        }
        LocalFiles file = readLocalFile(entry->path().string());
        if (file.code != ResultCode::Ok) {
            return file;
        }
        result.files.push_back(std::move(file.files.front()));
    }
    if (error) {
        return fault(ResultCode::NotFound, "cannot read the folder " + folder + ": " + error.message());
    }
    if (result.files.empty()) {
        return fault(ResultCode::NotFound, "the folder " + folder + " has no intent files");
    }
    std::sort(result.files.begin(), result.files.end(), [](const IntentFile &left, const IntentFile &right) {
        return left.name < right.name;
    });
    return result;
}

std::vector<IntentError> findMalformed(const std::vector<IntentFile> &files)
{
    return mergeIntent(files).errors;
}

std::vector<IntentFile> filesAfter(const std::vector<IntentFile> &files, const IntentChange &change)
{
    if (change.kind == ChangeKind::Sync) {
        return change.files;
    }
    std::map<std::string, std::string> texts;
    for (const IntentFile &file : files) {
        texts[file.name] = file.text;
    }
    for (const IntentFile &file : change.files) {
        if (change.kind == ChangeKind::Remove) {
            texts.erase(file.name);
        } else {
            texts[file.name] = file.text;
        }
    }
    std::vector<IntentFile> result;
    result.reserve(texts.size());
    for (auto &[name, text] : texts) {
        result.push_back({name, std::move(text)});
    }
    return result;
}

MergedText mergedTextAt(const std::vector<IntentFile> &files, const std::vector<std::string> &path)
{
    const MergedIntent merged = mergeIntent(files);
    const MergedValue *value = &merged.root;
    for (const std::string &key : path) {
        const auto member = value->members.find(key);
        if (member == value->members.end()) {
            return {};
        }
        value = &member->second;
    }
    const auto *text = value->isObject ? nullptr : std::get_if<std::string>(&value->scalar);
    return text == nullptr ? MergedText{} : MergedText{*text, merged.fileNames.at(value->file)};
}

CtlReply sendChange(CtlContext &context, const IntentChange &change, std::uint64_t versionRead)
{
    const std::uint64_t version = chooseVersion(context, versionRead);
    HttpRequest request = changeRequest(context, change);
    request.headers.push_back({"If-Version", std::to_string(version)});
    request.headers.push_back({"Operation-Id", context.operation});
    request.headers.push_back({"Operator", context.options.operatorName});
    CtlReply reply = callDaemons(context, request, CtlResend::Idempotent);
    if (reply.code == ResultCode::ChangeOutcomeUnknown) {
        context.streams.err << "filbertctl: to send the same change again, repeat the command with --operation-id " << context.operation << " --if-version "
                            << version << " --operator " << context.options.operatorName << "\n";
    }
    return reply;
}

std::uint64_t versionOf(const CtlReply &reply)
{
    return numberOf(parseBody(reply.body), "version");
}

} // namespace Filbertlanding
