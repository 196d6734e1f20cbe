/** @file status_command.cpp State of the installation as one daemon sees it, and the workers. */

#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/json_access.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <memory>
#include <set>

#include <cstdio>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    void writeDaemons(const CtlStreams &streams, const json::value &status)
    {
        std::set<std::string> voters;
        for (const json::value &voter : listOf(status, "voters")) {
            voters.insert(textOf(voter, "daemon"));
        }
        const std::string leader = textOf(status, "leader");
        std::vector<TableRow> rows;
        for (const json::value &daemon : listOf(status, "daemons")) {
            const std::string name = textOf(daemon, "daemon");
            const std::string state = !flagOf(daemon, "alive") ? "silent" : (flagOf(daemon, "stopping") ? "stopping" : "alive");
            const std::string role = name == leader ? "leader" : (voters.contains(name) ? "voter" : "learner");
            rows.push_back({name,
                            textOf(daemon, "availabilityZone"),
                            role,
                            stateCell(state),
                            TableCell(numberOf(daemon, "version")),
                            TableCell(numberOf(daemon, "workers")),
                            textOf(daemon, "silentMs") == "-1" ? "never heard" : textOf(daemon, "silentMs") + " ms ago"});
        }
        writeTable(streams, {"DAEMON", "ZONE", "ROLE", "STATE", "VERSION", "WORKERS", "HEARD"}, rows);
    }

    void writeZones(const CtlStreams &streams, const json::value &status)
    {
        std::vector<TableRow> rows;
        for (const json::value &zone : listOf(status, "availabilityZones")) {
            const bool isDrained = textOf(zone, "state") == "drained";
            rows.push_back({textOf(zone, "availabilityZone"),
                            stateCell(textOf(zone, "state")),
                            isDrained ? std::to_string(numberOf(zone, "drainedForMs") / 1000) + " s" : "-",
                            TableCell(numberOf(zone, "runningAssignments"))});
        }
        writeTable(streams, {"ZONE", "STATE", "DRAINED FOR", "ASSIGNMENTS"}, rows);
    }

    /** Latency estimate of a service; a daemon without slots for it has none. */
    std::string latencyText(const json::value &service)
    {
        const json::value *value = service.is_object() ? service.as_object().if_contains("quantileMs") : nullptr;
        if (value == nullptr || !value->is_number() || numberOf(service, "slots") == 0) {
            return "-";
        }
        char text[32];
        std::snprintf(text, sizeof text, "%.1f", value->to_number<double>());
        return text;
    }

    void writeServices(const CtlStreams &streams, const json::value &status)
    {
        std::vector<TableRow> rows;
        for (const json::value &service : listOf(status, "services")) {
            rows.push_back({textOf(service, "service"),
                            stateCell(textOf(service, "state")),
                            TableCell(numberOf(service, "slots")),
                            TableCell(numberOf(service, "inUse")),
                            TableCell(numberOf(service, "waiting")),
                            TableCell(numberOf(service, "inFlight")),
                            latencyText(service)});
        }
        writeTable(streams, {"SERVICE", "STATE", "SLOTS", "IN USE", "QUEUED", "IN FLIGHT", "LATENCY MS"}, rows);
    }

    ResultCode showStatus(CtlContext &context)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/status");
        if (reply.code != ResultCode::Ok || context.options.json) {
            return writeOutcome(context, reply, {});
        }
        const json::value status = parseBody(reply.body);
        const CtlStreams &streams = context.streams;
        streams.out << printable(textOf(status, "daemon")) << " in " << printable(textOf(status, "availabilityZone")) << " is "
                    << printable(textOf(status, "state")) << ", " << printable(textOf(status, "role")) << " of term " << numberOf(status, "term") << ", leader "
                    << (textOf(status, "leader").empty() ? "unknown" : printable(textOf(status, "leader"))) << "\nconfiguration version "
                    << numberOf(status, "version") << ", log applied " << numberOf(status, "appliedIndex") << " of " << numberOf(status, "commitIndex")
                    << (flagOf(status, "fresh") ? "" : "; not fresh: it starts no new batch task") << "\n\n";
        writeDaemons(streams, status);
        streams.out << "\n";
        writeZones(streams, status);
        streams.out << "\nservices on this daemon's " << numberOf(status, "workers") << " workers\n";
        writeServices(streams, status);
        streams.out << "\njobs of the installation: ";
        const json::value &jobs = memberOf(status, "jobs");
        std::string counts;
        for (const char *state : {"waiting", "running", "finished", "failed", "cancelled"}) {
            counts += (counts.empty() ? "" : ", ") + std::to_string(numberOf(jobs, state)) + " " + state;
        }
        streams.out << counts << "\n";
        return ResultCode::Ok;
    }

    std::string slotsOf(const json::value &worker)
    {
        std::string text;
        for (const json::value &service : listOf(worker, "services")) {
            text += (text.empty() ? "" : ", ") + textOf(service, "service") + " " + textOf(service, "inUse") + "/" + textOf(service, "slots");
        }
        return text;
    }

    ResultCode listWorkers(CtlContext &context)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/workers");
        if (reply.code != ResultCode::Ok || context.options.json) {
            return writeOutcome(context, reply, {});
        }
        const json::value root = parseBody(reply.body);
        std::vector<TableRow> rows;
        for (const json::value &worker : listOf(root, "workers")) {
            rows.push_back({textOf(worker, "worker"),
                            textOf(worker, "availabilityZone"),
                            textOf(worker, "rack"),
                            stateCell(textOf(worker, "state")),
                            flagOf(worker, "owned") ? "yes" : "no",
                            flagOf(worker, "leaving") ? "yes" : "no",
                            slotsOf(worker)});
        }
        context.streams.out << "workers known to " << printable(textOf(root, "daemon")) << "\n\n";
        writeTable(context.streams, {"WORKER", "ZONE", "RACK", "STATE", "OWNED", "LEAVING", "SLOTS IN USE"}, rows);
        return ResultCode::Ok;
    }

    ResultCode showWorker(CtlContext &context, const WorkerName &name)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/workers");
        if (reply.code != ResultCode::Ok) {
            return writeReplyError(context, reply);
        }
        const json::value root = parseBody(reply.body);
        const json::array &workers = listOf(root, "workers");
        const auto worker = std::find_if(workers.begin(), workers.end(), [&name](const json::value &each) {
            return textOf(each, "worker") == name;
        });
        if (worker == workers.end()) {
            return writeError(
                context, ResultCode::NotFound, "the daemon " + textOf(root, "daemon") + " knows no worker " + name + "; ask the daemons of the worker's zone");
        }
        if (context.options.json) {
            context.streams.out << json::serialize(*worker) << "\n";
            return ResultCode::Ok;
        }
        std::vector<TableRow> rows;
        for (const char *field : {"worker", "availabilityZone", "rack", "address", "port", "state", "owned", "ownerEpoch", "leaving"}) {
            rows.push_back({field, std::string(field) == "state" ? stateCell(textOf(*worker, field)) : TableCell(textOf(*worker, field))});
        }
        rows.push_back({"slots in use", slotsOf(*worker)});
        writeTable(context.streams, {"FIELD", "VALUE"}, rows);
        return ResultCode::Ok;
    }

    void addStatus(CLI::App &root, CtlContext &context)
    {
        CLI::App *status = addCommand(
            root, "status", "zones, daemons with the configuration version that each has in effect, voters, workers, slots, queues", "filbertctl status");
        status->callback([&context] {
            context.action = [&context] {
                return showStatus(context);
            };
        });
        const auto name = std::make_shared<WorkerName>();
        CLI::App *workers = addCommand(root, "workers", "workers known to the daemon that answers", "filbertctl workers list");
        workers->require_subcommand(1);
        addCommand(*workers, "list", "list the workers", "filbertctl --daemon 10.2.0.5:8100 workers list")->callback([&context] {
            context.action = [&context] {
                return listWorkers(context);
            };
        });
        CLI::App *show = addCommand(*workers, "show", "show a worker", "filbertctl workers show bole-worker-12");
        show->add_option("WORKER", *name, "name of the worker")->required();
        show->callback([&context, name] {
            context.action = [&context, name] {
                return showWorker(context, *name);
            };
        });
    }

    const CtlRegistration Registered{"status", addStatus};

} // namespace

} // namespace Filbertlanding
