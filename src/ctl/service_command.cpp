/** @file service_command.cpp Closes a service. */

#include "catalog/intent_merge.h"
#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/json_access.h"
#include "ctl/state_change.h"
#include "ctl/wait_func.h"

#include <CLI/CLI.hpp>

#include <memory>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    /** Arguments of the subcommand. */
    struct ServiceArguments {
        ServiceName service; ///< Service.
        WaitOptions wait; ///< Whether to wait.
    };

    bool isConfigured(const std::vector<IntentFile> &files, const ServiceName &service)
    {
        const MergedIntent merged = mergeIntent(files);
        const auto section = merged.root.members.find("services");
        return section != merged.root.members.end() && section->second.members.contains(service);
    }

    std::string missingCounts(const json::value &report)
    {
        std::string text;
        for (const char *list : {"missing", "damaged"}) {
            for (const json::value &entry : listOf(report, list)) {
                text += (text.empty() ? "" : ", ") + textOf(entry, "daemon") + " incarnation " + textOf(entry, "incarnation");
            }
        }
        return text;
    }

    WaitLook lookAtReport(CtlContext &context, const ServiceName &service)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/report/" + encodeSegment(service));
        if (reply.code != ResultCode::Ok) {
            return {false, "no report: " + reply.message};
        }
        const json::value report = parseBody(reply.body);
        if (flagOf(report, "final")) {
            return {true, {}};
        }
        std::string progress = textOf(memberOf(report, "total"), "unfinished") + " jobs are unfinished";
        const std::string missing = missingCounts(report);
        progress += missing.empty() ? "" : "; counts are missing of " + missing;
        return {false, progress};
    }

    ResultCode closeService(CtlContext &context, const ServiceArguments &arguments)
    {
        const std::string file = "90-close-" + arguments.service + ".json";
        if (!isValidName(file)) {
            return writeError(context, ResultCode::OutOfRange, "\"" + arguments.service + "\": a name has letters, digits, dots, hyphens and underscores");
        }
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        if (!isConfigured(state.files, arguments.service)) {
            return writeError(context, ResultCode::NotFound, "no service named " + arguments.service + " is configured");
        }
        StateChange change;
        change.path = {"services", arguments.service, "state"};
        change.wanted = "closed";
        change.fallback = "open";
        change.change = {ChangeKind::Put, {{file, stateFileText(change.path, change.wanted)}}};
        const std::string overridden = findOverride(state.files, change);
        if (!overridden.empty()) {
            return writeError(context, ResultCode::ConflictingSettings, overridden);
        }
        const CtlReply reply = sendChange(context, change.change, state.version);
        const ResultCode written = writeOutcome(context, reply, arguments.service + " is closed by version " + std::to_string(versionOf(reply)));
        if (written != ResultCode::Ok || !arguments.wait.wait) {
            return written;
        }
        context.streams.out.flush();
        const ResultCode waited = waitUntilDone(context, arguments.wait, [&context, &arguments] {
            return lookAtReport(context, arguments.service);
        });
        if (waited == ResultCode::Ok && !context.options.json) {
            context.streams.out << "the report is final; read it with `filbertctl report " << arguments.service << "`\n";
        }
        return waited;
    }

    void addService(CLI::App &root, CtlContext &context)
    {
        const auto arguments = std::make_shared<ServiceArguments>();
        CLI::App *service = addCommand(root, "service", "services", "filbertctl service close quote-desk --wait");
        service->require_subcommand(1);
        CLI::App *close = addCommand(*service, "close", "close a service: writes the file 90-close-NAME.json", "filbertctl service close quote-desk --wait");
        close->add_option("NAME", arguments->service, "service")->required();
        addWaitOptions(*close, arguments->wait);
        close->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return closeService(context, *arguments);
            };
        });
    }

    const CtlRegistration Registered{"service", addService};

} // namespace

} // namespace Filbertlanding
