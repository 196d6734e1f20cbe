/** @file job_command.cpp Subcommands for batch jobs. */

#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/intent_client.h"
#include "ctl/json_access.h"

#include <CLI/CLI.hpp>

#include <memory>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    /** Arguments of the subcommands. */
    struct JobArguments {
        ServiceName service; ///< Lists only jobs of this service.
        std::string state; ///< Lists only jobs in this state.
        JobId job; ///< Job.
        std::string file; ///< File with the submission.
        std::string payload; ///< File with the input of the tasks.
    };

    std::string placesOf(const json::value &job)
    {
        std::string text;
        for (const json::value &assignment : listOf(job, "assignments")) {
            text += (text.empty() ? "" : ", ") + textOf(assignment, "daemon") + "/" + textOf(assignment, "availabilityZone");
        }
        return text;
    }

    ResultCode listJobs(CtlContext &context, const JobArguments &arguments)
    {
        const std::string target = "/v1/jobs?service=" + encodeSegment(arguments.service) + "&state=" + encodeSegment(arguments.state);
        const CtlReply reply = readFromDaemons(context, target);
        if (reply.code != ResultCode::Ok || context.options.json) {
            return writeOutcome(context, reply, {});
        }
        const json::value root = parseBody(reply.body);
        const json::array &jobs = listOf(root, "jobs");
        std::vector<TableRow> rows;
        for (const json::value &job : jobs) {
            rows.push_back({textOf(job, "job"),
                            textOf(job, "service"),
                            textOf(job, "team"),
                            textOf(job, "jobClass"),
                            stateCell(textOf(job, "state")),
                            textOf(job, "finishedTasks") + "/" + textOf(job, "taskCount"),
                            TableCell(numberOf(job, "evictions")),
                            placesOf(job)});
        }
        writeTable(context.streams, {"JOB", "SERVICE", "TEAM", "CLASS", "STATE", "TASKS", "EVICTIONS", "RUNS ON"}, rows);
        if (numberOf(root, "total") > jobs.size()) {
            context.streams.out << "\n" << jobs.size() << " of " << numberOf(root, "total") << " jobs; narrow the list with --service or --state\n";
        }
        return ResultCode::Ok;
    }

    ResultCode showJob(CtlContext &context, const JobId &id)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/jobs/" + encodeSegment(id));
        if (reply.code != ResultCode::Ok || context.options.json) {
            return writeOutcome(context, reply, {});
        }
        const json::value job = parseBody(reply.body);
        std::vector<TableRow> rows;
        for (const char *name : {"job", "service", "team", "jobClass", "state", "urgent", "taskCount", "finishedTasks", "epoch", "evictions", "resumes"}) {
            rows.push_back({name, std::string(name) == "state" ? stateCell(textOf(job, name)) : TableCell(textOf(job, name))});
        }
        rows.push_back({"runs on", placesOf(job)});
        rows.push_back({"result", textOf(job, "result")});
        if (numberOf(job, "reasonCode") != 0) {
            rows.push_back({"reason", textOf(job, "reasonCode") + " " + textOf(job, "reason")});
        }
        writeTable(context.streams, {"FIELD", "VALUE"}, rows);
        return ResultCode::Ok;
    }

    ResultCode submitJob(CtlContext &context, const JobArguments &arguments)
    {
        const LocalFiles local = readLocalFile(arguments.file);
        if (local.code != ResultCode::Ok) {
            return writeError(context, local.code, local.message);
        }
        json::value root = parseBody(local.files.front().text);
        if (!root.is_object()) {
            return writeError(context, ResultCode::BadJson, arguments.file + " is no JSON object");
        }
        json::object &job = root.as_object();
        if (!arguments.payload.empty()) {
            const LocalFiles payload = readLocalFile(arguments.payload);
            if (payload.code != ResultCode::Ok) {
                return writeError(context, payload.code, payload.message);
            }
            job["payload"] = payload.files.front().text;
        }
        // The id of the command line goes first, then that of the file, which makes a second submission of one file a resend.
        if (!context.options.operationId.empty() || !job.contains("operationId")) {
            job["operationId"] = context.operation;
        }
        const std::string operation = textOf(root, "operationId");
        const CtlReply reply = callDaemons(context, makeCall(context, "POST", "/v1/jobs", json::serialize(root)), CtlResend::Idempotent);
        if (reply.code == ResultCode::ChangeOutcomeUnknown) {
            context.streams.err << "filbertctl: to send the same job again, repeat the command with --operation-id " << printable(operation) << "\n";
        }
        return writeOutcome(context, reply, "job " + textOf(parseBody(reply.body), "job") + " is accepted");
    }

    ResultCode cancelJob(CtlContext &context, const JobId &id)
    {
        const CtlReply reply = callDaemons(context, makeCall(context, "DELETE", "/v1/jobs/" + encodeSegment(id)), CtlResend::Idempotent);
        return writeOutcome(context, reply, "job " + id + " is cancelled");
    }

    void addJobs(CLI::App &root, CtlContext &context)
    {
        const auto arguments = std::make_shared<JobArguments>();
        CLI::App *jobs = addCommand(root, "jobs", "batch jobs", "filbertctl jobs list --state running");
        jobs->require_subcommand(1);

        CLI::App *list = addCommand(*jobs, "list", "list the jobs", "filbertctl jobs list --service surveys --state running");
        list->add_option("--service", arguments->service, "only jobs of this service");
        list->add_option("--state", arguments->state, "only jobs in this state")
            ->check(CLI::IsMember({"waiting", "running", "finished", "failed", "cancelled"}));
        list->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return listJobs(context, *arguments);
            };
        });
        CLI::App *show = addCommand(*jobs, "show", "show a job", "filbertctl jobs show j-bole-1-1796362221-17");
        show->add_option("JOB", arguments->job, "id of the job")->required();
        show->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return showJob(context, arguments->job);
            };
        });
        CLI::App *submit = addCommand(*jobs,
                                      "submit",
                                      "submit a job; the answer comes after it is on the disks of a majority of voters",
                                      "filbertctl jobs submit examples/inputs/site-survey-job.json --payload examples/inputs/soil-log.json");
        submit->add_option("FILE", arguments->file, "file with the submission, a JSON object")->required();
        submit->add_option("--payload", arguments->payload, "file that becomes the input of the tasks");
        submit->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return submitJob(context, *arguments);
            };
        });
        CLI::App *cancel = addCommand(*jobs, "cancel", "cancel a job; it never starts afterwards", "filbertctl jobs cancel j-bole-1-1796362221-17");
        cancel->add_option("JOB", arguments->job, "id of the job")->required();
        cancel->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return cancelJob(context, arguments->job);
            };
        });
    }

    const CtlRegistration Registered{"jobs", addJobs};

} // namespace

} // namespace Filbertlanding
