/** @file drain_restriction.cpp Restrictive changes given to a daemon without a quorum. */

#include "daemon/drain_restriction.h"

#include "catalog/config_check.h"
#include "catalog/intent_diff.h"
#include "core/clock_func.h"
#include "daemon/apply_state.h"
#include "daemon/propose_func.h"
#include "runtime/log_func.h"
#include "settings/settings_func.h"

#include <filesystem>

namespace Filbertlanding {

namespace {

    constexpr Duration ProposeAgain{8000}; ///< Time for one attempt to get a kept restriction accepted.
    constexpr std::string_view FileName = "restrictions.journal"; ///< Stands beside the log, in the data folder.

    /** Writes all kept restrictions. */
    ResultCode saveRestrictions(Daemon &daemon)
    {
        ControlState &state = daemon.controlState;
        if (state.restrictionJournal == nullptr) {
            return ResultCode::Ok;
        }
        std::vector<std::string> records;
        records.reserve(state.restrictions.size());
        for (const ChangeFiles &change : state.restrictions) {
            records.push_back(encodeCommand(change));
        }
        return state.restrictionJournal->rewrite(records);
    }

    /** Returns the files of the accepted intent after the first restrictions. */
    std::map<std::string, std::string> filesWithRestrictions(const Daemon &daemon)
    {
        std::map<std::string, std::string> files = daemon.controlState.catalog.intent.files;
        for (const ChangeFiles &change : daemon.controlState.restrictions) {
            std::map<std::string, std::string> next;
            for (const IntentFile &file : filesAfterChange(files, change)) {
                next[file.name] = file.text;
            }
            files = std::move(next);
        }
        return files;
    }

    std::vector<IntentFile> asList(const std::map<std::string, std::string> &files)
    {
        std::vector<IntentFile> list;
        list.reserve(files.size());
        for (const auto &[name, text] : files) {
            list.push_back({name, text});
        }
        return list;
    }

    void dropRestriction(Daemon &daemon, const OperationId &operation)
    {
        auto &restrictions = daemon.controlState.restrictions;
        std::erase_if(restrictions, [&operation](const ChangeFiles &change) {
            return change.operation == operation;
        });
        if (saveRestrictions(daemon) != ResultCode::Ok) {
            daemon.stopped(ResultCode::DiskFailed);
        }
        updateEffectiveConfiguration(daemon);
        configurationChanged(daemon, steadyNow());
    }

    /** Another change was accepted meanwhile: the restriction is made again on top of it, under an operation id of its own. */
    void rebaseRestriction(Daemon &daemon, const OperationId &operation)
    {
        ControlState &state = daemon.controlState;
        for (ChangeFiles &change : state.restrictions) {
            if (change.operation == operation) {
                change.baseVersion = state.catalog.intent.version;
                change.operation += "+" + std::to_string(change.baseVersion);
            }
        }
        if (saveRestrictions(daemon) != ResultCode::Ok) {
            daemon.stopped(ResultCode::DiskFailed);
        }
    }

    void restrictionAnswered(Daemon &daemon, const OperationId &operation, const CommandResult &result)
    {
        daemon.controlState.restrictionProposed = false;
        logLine(LogArea::Intent, LogLevel::Info, "restriction-proposed", {{"operation", operation}, {"code", resultCodeRow(result.code).name}});
        switch (result.code) {
        case ResultCode::VersionConflict:
            rebaseRestriction(daemon, operation);
            return;
        case ResultCode::NotLeader:
        case ResultCode::NoQuorum:
        case ResultCode::ChangeOutcomeUnknown:
            return;
        default:
            dropRestriction(daemon, operation);
        }
    }

} // namespace

ResultCode openRestrictions(Daemon &daemon)
{
    if (!isVoter(daemon.settings)) {
        return ResultCode::Ok;
    }
    ControlState &state = daemon.controlState;
    state.restrictionJournal = std::make_unique<Journal>(systemFiles(), daemon.settings.dataFolder, std::string(FileName));
    const bool exists = std::filesystem::exists(std::filesystem::path(daemon.settings.dataFolder) / FileName);
    std::vector<std::string> records;
    const ResultCode code = exists ? state.restrictionJournal->open(records) : state.restrictionJournal->create();
    for (const std::string &record : records) {
        const auto decoded = decodeCommand(record);
        const auto *change = std::get_if<ChangeFiles>(&decoded.value);
        if (decoded.code == ResultCode::Ok && change != nullptr) {
            state.restrictions.push_back(*change);
        }
    }
    return code;
}

std::vector<IntentFile> filesAfterChange(const std::map<std::string, std::string> &files, const ChangeFiles &change)
{
    std::map<std::string, std::string> after;
    if (change.kind != ChangeKind::Sync) {
        after = files;
    }
    for (const IntentFile &file : change.files) {
        if (change.kind == ChangeKind::Remove) {
            after.erase(file.name);
        } else {
            after[file.name] = file.text;
        }
    }
    return asList(after);
}

bool isRestriction(const Daemon &daemon, const ChangeFiles &change)
{
    const ConfigCheck after = checkIntent(filesAfterChange(filesWithRestrictions(daemon), change));
    return after.errors.empty() && isPurelyRestrictive(daemon.controlState.configuration, after.configuration);
}

bool isWithoutQuorum(const Daemon &daemon, TimePoint now)
{
    return !isFresh(daemon.controlState.lease, daemon.controlState.appliedIndex, now);
}

ResultCode keepRestriction(Daemon &daemon, const ChangeFiles &change)
{
    auto &restrictions = daemon.controlState.restrictions;
    const bool known = std::any_of(restrictions.begin(), restrictions.end(), [&change](const ChangeFiles &kept) {
        return kept.operation == change.operation;
    });
    if (known) {
        return ResultCode::KeptLocally;
    }
    restrictions.push_back(change);
    if (saveRestrictions(daemon) != ResultCode::Ok) {
        return ResultCode::DiskFailed;
    }
    updateEffectiveConfiguration(daemon);
    configurationChanged(daemon, steadyNow());
    logLine(LogArea::Intent, LogLevel::Warn, "restriction-kept", {{"operation", change.operation}, {"operator", change.operatorName}});
    return ResultCode::KeptLocally;
}

void updateEffectiveConfiguration(Daemon &daemon)
{
    ControlState &state = daemon.controlState;
    state.configuration = state.catalog.intent.configuration;
    if (state.restrictions.empty()) {
        return;
    }
    ConfigCheck check = checkIntent(asList(filesWithRestrictions(daemon)));
    // A restriction that no longer fits the accepted files is dropped by restrictionTick.
    if (check.errors.empty()) {
        state.configuration = std::move(check.configuration);
    }
}

void restrictionTick(Daemon &daemon, TimePoint now)
{
    ControlState &state = daemon.controlState;
    if (state.restrictions.empty() || state.restrictionProposed || isWithoutQuorum(daemon, now)) {
        return;
    }
    state.restrictionProposed = true;
    const ChangeFiles change = state.restrictions.front();
    proposeUntil(daemon, change, now + ProposeAgain, [&daemon, operation = change.operation](const CommandResult &result, std::uint64_t) {
        restrictionAnswered(daemon, operation, result);
    });
}

} // namespace Filbertlanding
