/** @file report_command.cpp The report of a service. */

#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/daemon_call.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <memory>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    /** Arguments of the subcommands. */
    struct ReportArguments {
        ServiceName service; ///< Service.
        DaemonName daemon; ///< Daemon whose counts are missing.
        std::int64_t incarnation = 0; ///< Its incarnation.
    };

    ResultCode showReport(CtlContext &context, const ServiceName &service)
    {
        if (service.empty()) {
            return writeError(context, ResultCode::MissingField, "name the service, for example filbertctl report quote-desk");
        }
        const std::string format = context.options.json ? "" : "?format=text";
        const CtlReply reply = readFromDaemons(context, "/v1/report/" + encodeSegment(service) + format);
        if (reply.code != ResultCode::Ok) {
            return writeReplyError(context, reply);
        }
        const std::string text = context.options.json ? reply.body : printable(reply.body, true);
        context.streams.out << text << (text.ends_with('\n') ? "" : "\n");
        return ResultCode::Ok;
    }

    ResultCode acceptGap(CtlContext &context, const ReportArguments &arguments)
    {
        const json::object body{{"daemon", arguments.daemon}, {"incarnation", arguments.incarnation}};
        HttpRequest request = makeCall(context, "POST", "/v1/report/" + encodeSegment(arguments.service) + "/accept-gap", json::serialize(body));
        request.headers.push_back({"Operation-Id", context.operation});
        request.headers.push_back({"Operator", context.options.operatorName});
        const CtlReply reply = callDaemons(context, request, CtlResend::Idempotent);
        if (reply.code == ResultCode::ChangeOutcomeUnknown) {
            context.streams.err << "filbertctl: to send the same change again, repeat the command with --operation-id " << context.operation << " --operator "
                                << context.options.operatorName << "\n";
        }
        const std::string name = arguments.daemon + " incarnation " + std::to_string(arguments.incarnation);
        return writeOutcome(context, reply, "the report of " + arguments.service + " is accepted without the counts of " + name);
    }

    void addReport(CLI::App &root, CtlContext &context)
    {
        const auto arguments = std::make_shared<ReportArguments>();
        CLI::App *report = addCommand(root, "report", "report of a service; it says whether it is final", "filbertctl report quote-desk");
        report->require_subcommand(0, 1);
        report->add_option("SERVICE", arguments->service, "service");
        CLI::App *gap = addCommand(
            *report, "accept-gap", "accept a report without the counts of one daemon incarnation", "filbertctl report accept-gap quote-desk bole-2 1796360000");
        gap->add_option("SERVICE", arguments->service, "service")->required();
        gap->add_option("DAEMON", arguments->daemon, "daemon whose counts are missing")->required();
        gap->add_option("INCARNATION", arguments->incarnation, "its incarnation, as the report names it")->required();
        gap->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return acceptGap(context, *arguments);
            };
        });
        report->callback([&context, arguments, gap] {
            if (gap->parsed()) {
                return;
            }
            context.action = [&context, arguments] {
                return showReport(context, arguments->service);
            };
        });
    }

    const CtlRegistration Registered{"report", addReport};

} // namespace

} // namespace Filbertlanding
