/** @file intent_store.cpp Changes of intent files. */

#include "catalog/intent_store.h"

#include "catalog/command_result.h"
#include "catalog/config_check.h"
#include "catalog/intent_merge.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    CommandResult refuseVersion(const IntentStore &store, const ChangeFiles &command)
    {
        if (command.baseVersion > store.version) {
            return refuse(ResultCode::VersionConflict, "the base version is newer than the configuration");
        }
        auto result = refuse(ResultCode::VersionConflict);
        const auto winner = std::find_if(store.history.begin(), store.history.end(), [&command](const ChangeRecord &record) {
            return record.version == command.baseVersion + 1;
        });
        if (winner == store.history.end()) {
            result.message += "; it is older than the kept history";
            return result;
        }
        result.winner = winner->operation;
        result.winnerOperator = winner->operatorName;
        result.winnerFiles = winner->files;
        result.message += ": operation " + winner->operation + " by " + winner->operatorName;
        return result;
    }

    CommandResult refuseErrors(std::vector<IntentError> errors)
    {
        const auto &first = errors.front();
        auto result = refuse(ResultCode::IntentInvalid, first.file + " " + first.pointer + ": " + first.message);
        result.errorCount = errors.size();
        errors.resize(std::min(errors.size(), MaxErrorsInResult));
        result.errors = std::move(errors);
        return result;
    }

    CommandResult checkChange(const ChangeFiles &command)
    {
        if (command.operatorName.empty() || command.operatorName.size() > MaxNameBytes) {
            return refuse(ResultCode::MissingField, "the operator's name has 1 to 100 bytes");
        }
        if (command.files.empty() && command.kind != ChangeKind::Sync) {
            return refuse(ResultCode::MissingField, "the change names no file");
        }
        for (const auto &file : command.files) {
            if (!isValidName(file.name)) {
                return refuse(ResultCode::BadRequest, "a file name has 1 to 100 letters, digits, dots, hyphens and underscores");
            }
        }
        return {};
    }

    bool isOpen(const Configuration &configuration, const ServiceName &name)
    {
        const auto found = configuration.services.find(name);
        return found != configuration.services.end() && found->second.state == ServiceState::Open;
    }

    void recordTransitions(const Configuration &before, const Configuration &after, ChangeRecord &record)
    {
        for (const auto &[name, zone] : after.availabilityZones) {
            if (after.isDrained(name) && !before.isDrained(name)) {
                record.drained.push_back(name);
            }
        }
        for (const auto &[name, zone] : before.availabilityZones) {
            if (before.isDrained(name) && !after.isDrained(name)) {
                record.returned.push_back(name);
            }
        }
        for (const auto &[name, service] : after.services) {
            if (isOpen(after, name) && !isOpen(before, name)) {
                record.opened.push_back(name);
            }
        }
        for (const auto &[name, service] : before.services) {
            if (isOpen(before, name) && !isOpen(after, name)) {
                record.closed.push_back(name);
            }
        }
    }

    void accept(IntentStore &store, const ChangeFiles &command, std::vector<IntentFile> files, Configuration configuration, std::uint64_t index)
    {
        ++store.version;
        ChangeRecord record;
        record.version = store.version;
        record.index = index;
        record.kind = command.kind;
        record.operation = command.operation;
        record.operatorName = command.operatorName;
        record.wallTime = command.wallTime;
        for (const auto &file : command.files) {
            record.files.push_back(file.name);
        }
        recordTransitions(store.configuration, configuration, record);
        store.files.clear();
        for (auto &file : files) {
            store.files.emplace(std::move(file.name), std::move(file.text));
        }
        store.configuration = std::move(configuration);
        store.history.push_back(std::move(record));
        if (store.history.size() > MaxHistory) {
            store.history.erase(store.history.begin());
        }
    }

} // namespace

std::vector<IntentFile> storedFiles(const IntentStore &store)
{
    std::vector<IntentFile> files;
    for (const auto &[name, text] : store.files) {
        files.push_back({name, text});
    }
    return files;
}

std::vector<IntentFile> changedFiles(const IntentStore &store, const ChangeFiles &command, std::string &missing)
{
    if (command.kind == ChangeKind::Sync) {
        return command.files;
    }
    auto texts = store.files;
    std::vector<IntentFile> files;
    for (const auto &file : command.files) {
        if (command.kind == ChangeKind::Remove && texts.erase(file.name) == 0) {
            missing = file.name;
        }
        // A file that is put twice stays in the set twice, so that the check refuses it.
        if (command.kind == ChangeKind::Put) {
            texts.erase(file.name);
            files.push_back(file);
        }
    }
    for (auto &[name, text] : texts) {
        files.push_back({name, std::move(text)});
    }
    return files;
}

CommandResult applyChange(IntentStore &store, const ChangeFiles &command, std::uint64_t index)
{
    auto result = checkChange(command);
    if (result.code != ResultCode::Ok) {
        return result;
    }
    if (command.baseVersion != store.version) {
        return refuseVersion(store, command);
    }
    std::string missing;
    auto files = changedFiles(store, command, missing);
    if (!missing.empty()) {
        return refuse(ResultCode::NotFound, "there is no intent file " + missing);
    }
    auto check = checkIntent(files);
    if (!check.errors.empty()) {
        return refuseErrors(std::move(check.errors));
    }
    accept(store, command, std::move(files), std::move(check.configuration), index);
    return result;
}

} // namespace Filbertlanding
