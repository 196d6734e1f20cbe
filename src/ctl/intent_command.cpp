/** @file intent_command.cpp Subcommands for the intent files. */

#include "catalog/config_check.h"
#include "catalog/intent_diff.h"
#include "catalog/intent_merge.h"
#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/intent_client.h"
#include "ctl/json_access.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <memory>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    /** Arguments of the subcommands. */
    struct IntentArguments {
        std::string path; ///< File or folder on this host.
        std::string name; ///< Name of an intent file.
    };

    json::object diffAsJson(const IntentDiff &diff)
    {
        json::array values;
        for (const ValueChange &change : diff.values) {
            values.push_back(json::object{{"pointer", change.pointer}, {"before", change.before}, {"after", change.after}});
        }
        return {{"added", json::value_from(diff.added)},
                {"removed", json::value_from(diff.removed)},
                {"changed", json::value_from(diff.changed)},
                {"values", std::move(values)}};
    }

    bool isEmpty(const IntentDiff &diff)
    {
        return diff.added.empty() && diff.removed.empty() && diff.changed.empty();
    }

    void writeDiff(const CtlStreams &streams, const IntentDiff &diff)
    {
        std::vector<TableRow> rows;
        for (const std::string &name : diff.added) {
            rows.push_back({TableCell("added", CellColour::Green), name});
        }
        for (const std::string &name : diff.removed) {
            rows.push_back({TableCell("removed", CellColour::Red), name});
        }
        for (const std::string &name : diff.changed) {
            rows.push_back({TableCell("changed", CellColour::Yellow), name});
        }
        if (rows.empty()) {
            streams.out << "the files are the same\n";
            return;
        }
        writeTable(streams, {"FILE", "NAME"}, rows);
        rows.clear();
        for (const ValueChange &change : diff.values) {
            rows.push_back({change.pointer, change.before.empty() ? "-" : change.before, change.after.empty() ? "-" : change.after});
        }
        streams.out << "\n";
        if (rows.empty()) {
            streams.out << "the merged configuration is the same\n";
            return;
        }
        writeTable(streams, {"VALUE", "BEFORE", "AFTER"}, rows);
    }

    ResultCode listFiles(CtlContext &context)
    {
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        if (context.options.json) {
            context.streams.out << state.reply.body << "\n";
            return ResultCode::Ok;
        }
        std::vector<TableRow> rows;
        for (const IntentFile &file : state.files) {
            rows.push_back({file.name, TableCell(static_cast<std::uint64_t>(file.text.size()))});
        }
        context.streams.out << "configuration version " << state.version << "\n\n";
        writeTable(context.streams, {"FILE", "BYTES"}, rows);
        return ResultCode::Ok;
    }

    /** Shows one file as it is, or the merge of all files. */
    ResultCode showIntent(CtlContext &context, const std::string &name)
    {
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        if (name.empty()) {
            const std::string merged = mergedAsJson(mergeIntent(state.files).root);
            if (context.options.json) {
                context.streams.out << "{\"version\":" << state.version << ",\"configuration\":" << merged << "}\n";
            } else {
                context.streams.out << merged << "\n";
            }
            return ResultCode::Ok;
        }
        const auto file = std::find_if(state.files.begin(), state.files.end(), [&name](const IntentFile &each) {
            return each.name == name;
        });
        if (file == state.files.end()) {
            return writeError(context, ResultCode::NotFound, "there is no intent file " + name + " in version " + std::to_string(state.version));
        }
        if (context.options.json) {
            context.streams.out << json::serialize(json::object{{"version", state.version}, {"file", file->name}, {"text", file->text}}) << "\n";
            return ResultCode::Ok;
        }
        const std::string text = printable(file->text, true);
        context.streams.out << text << (text.ends_with('\n') ? "" : "\n");
        return ResultCode::Ok;
    }

    ResultCode putFile(CtlContext &context, const IntentArguments &arguments)
    {
        LocalFiles local = readLocalFile(arguments.path);
        if (local.code != ResultCode::Ok) {
            return writeError(context, local.code, local.message);
        }
        IntentChange change{ChangeKind::Put, std::move(local.files)};
        std::string &name = change.files.front().name;
        name = arguments.name.empty() ? name : arguments.name;
        if (!isValidName(name)) {
            return writeError(context, ResultCode::OutOfRange, "\"" + name + "\": a file name has 1 to 100 letters, digits, dots, hyphens and underscores");
        }
        const std::vector<IntentError> errors = findMalformed(change.files);
        if (!errors.empty()) {
            return writeIntentErrors(context, errors);
        }
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        const CtlReply reply = sendChange(context, change, state.version);
        return writeOutcome(context, reply, name + " is in version " + std::to_string(versionOf(reply)));
    }

    ResultCode removeFile(CtlContext &context, const std::string &name)
    {
        if (!isValidName(name)) {
            return writeError(context, ResultCode::OutOfRange, "\"" + name + "\": a file name has 1 to 100 letters, digits, dots, hyphens and underscores");
        }
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        const CtlReply reply = sendChange(context, {ChangeKind::Remove, {{name, {}}}}, state.version);
        return writeOutcome(context, reply, name + " is gone in version " + std::to_string(versionOf(reply)));
    }

    ResultCode compareFolder(CtlContext &context, const std::string &folder)
    {
        const LocalFiles local = readLocalFolder(folder);
        if (local.code != ResultCode::Ok) {
            return writeError(context, local.code, local.message);
        }
        // Nothing is sent, so the check of this program stands in for that of the daemon.
        const ConfigCheck check = checkIntent(local.files);
        if (!check.errors.empty()) {
            return writeIntentErrors(context, check.errors);
        }
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        const IntentDiff diff = diffIntent(state.files, local.files);
        if (context.options.json) {
            context.streams.out << json::serialize(json::object{{"version", state.version}, {"diff", diffAsJson(diff)}}) << "\n";
        } else {
            context.streams.out << "against version " << state.version << "\n\n";
            writeDiff(context.streams, diff);
        }
        return ResultCode::Ok;
    }

    ResultCode writeSyncOutcome(const CtlContext &context, const IntentDiff &diff, const CtlReply &reply)
    {
        if (!context.options.json || !isSuccess(reply.code)) {
            return writeOutcome(context, reply, "version " + std::to_string(versionOf(reply)) + " has the files of the folder");
        }
        context.streams.out << json::serialize(json::object{{"diff", diffAsJson(diff)}, {"result", parseBody(reply.body)}}) << "\n";
        return reply.code;
    }

    ResultCode syncFolder(CtlContext &context, const std::string &folder)
    {
        LocalFiles local = readLocalFolder(folder);
        if (local.code != ResultCode::Ok) {
            return writeError(context, local.code, local.message);
        }
        // The daemon checks the meaning; it may be newer than this program and know more fields.
        const std::vector<IntentError> errors = findMalformed(local.files);
        if (!errors.empty()) {
            return writeIntentErrors(context, errors);
        }
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        const IntentDiff diff = diffIntent(state.files, local.files);
        if (!context.options.json) {
            writeDiff(context.streams, diff);
            context.streams.out.flush();
        }
        // With an operation id of its own the change is a resend, and the first answer is wanted.
        if (isEmpty(diff) && context.options.operationId.empty()) {
            const json::object same{{"code", 0}, {"name", "Ok"}, {"message", "the files are the same"}, {"version", state.version}};
            if (context.options.json) {
                context.streams.out << json::serialize(json::object{{"diff", diffAsJson(diff)}, {"result", same}}) << "\n";
            }
            return ResultCode::Ok;
        }
        return writeSyncOutcome(context, diff, sendChange(context, {ChangeKind::Sync, std::move(local.files)}, state.version));
    }

    /** What a change did to zones and services. */
    std::string effectOf(const json::value &change)
    {
        std::string text;
        for (const char *verb : {"drained", "returned", "opened", "closed"}) {
            const std::string names = namesOf(change, verb);
            if (!names.empty()) {
                text += (text.empty() ? "" : "; ") + std::string(verb) + " " + names;
            }
        }
        return text;
    }

    ResultCode showHistory(CtlContext &context)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/intent/history");
        if (reply.code != ResultCode::Ok || context.options.json) {
            return writeOutcome(context, reply, {});
        }
        const json::value root = parseBody(reply.body);
        std::vector<TableRow> rows;
        for (const json::value &change : listOf(root, "changes")) {
            rows.push_back({TableCell(numberOf(change, "version")),
                            textOf(change, "time"),
                            textOf(change, "operator"),
                            textOf(change, "kind"),
                            namesOf(change, "files"),
                            effectOf(change),
                            textOf(change, "operation")});
        }
        writeTable(context.streams, {"VERSION", "TIME", "OPERATOR", "KIND", "FILES", "EFFECT", "OPERATION"}, rows);
        return ResultCode::Ok;
    }

    void addIntent(CLI::App &root, CtlContext &context)
    {
        const auto arguments = std::make_shared<IntentArguments>();
        CLI::App *intent = addCommand(root, "intent", "desired state: a folder of small files, merged in the order of their names", "filbertctl intent list");
        intent->require_subcommand(1);

        addCommand(*intent, "list", "list the files", "filbertctl intent list")->callback([&context] {
            context.action = [&context] {
                return listFiles(context);
            };
        });
        CLI::App *show = addCommand(*intent, "show", "show a file, or the merge of all files", "filbertctl intent show 20-teams.json");
        show->add_option("FILE", arguments->name, "name of the file");
        show->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return showIntent(context, arguments->name);
            };
        });
        CLI::App *put = addCommand(*intent, "put", "add or replace a file", "filbertctl intent put examples/intent/20-teams.json");
        put->add_option("FILE", arguments->path, "file on this host")->required();
        put->add_option("--name", arguments->name, "name in the installation; default: the name of the file");
        put->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return putFile(context, *arguments);
            };
        });
        CLI::App *remove = addCommand(*intent, "remove", "remove a file", "filbertctl intent remove 90-drain-piassa.json");
        remove->add_option("FILE", arguments->name, "name of the file")->required();
        remove->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return removeFile(context, arguments->name);
            };
        });
        CLI::App *sync = addCommand(*intent,
                                    "sync",
                                    "show the difference, then replace the whole set of files by those of a folder, or change nothing",
                                    "filbertctl intent sync examples/intent");
        sync->add_option("DIR", arguments->path, "folder on this host")->required();
        sync->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return syncFolder(context, arguments->path);
            };
        });
        CLI::App *diff = addCommand(*intent, "diff", "show what a sync of a folder would change", "filbertctl intent diff examples/intent");
        diff->add_option("DIR", arguments->path, "folder on this host")->required();
        diff->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return compareFolder(context, arguments->path);
            };
        });
        addCommand(*intent, "history", "list the accepted changes", "filbertctl intent history")->callback([&context] {
            context.action = [&context] {
                return showHistory(context);
            };
        });
    }

    const CtlRegistration Registered{"intent", addIntent};

} // namespace

} // namespace Filbertlanding
