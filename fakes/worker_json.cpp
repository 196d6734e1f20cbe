/** @file worker_json.cpp The worker's side of POST /v1/workers/report in JSON. */

#include "fakes/worker_json.h"

#include <boost/json.hpp>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    json::object encodeResources(const Resources &resources)
    {
        return {{"cpuMillis", resources.cpuMillis}, {"memoryMb", resources.memoryMb}, {"accelerators", resources.accelerators}};
    }

    Resources decodeResources(const json::object &object)
    {
        return {object.at("cpuMillis").to_number<std::int64_t>(),
                object.at("memoryMb").to_number<std::int64_t>(),
                object.at("accelerators").to_number<std::int64_t>()};
    }

    std::string textOf(const json::value &value)
    {
        return std::string(value.as_string());
    }

    json::object encodeTask(const TaskReport &task)
    {
        return {{"job", task.job},
                {"epoch", task.epoch},
                {"state", TaskStateNames.nameOf(task.state)},
                {"progress", task.progress},
                {"checkpoint", task.checkpoint},
                {"used", encodeResources(task.used)},
                {"result", task.result}};
    }

    json::object encodeUsage(const Usage &usage)
    {
        json::array latencies;
        for (const ServiceLatency &latency : usage.latencies) {
            latencies.push_back(json::object{{"service", latency.service}, {"quantileMs", latency.quantileMs}, {"samples", latency.samples}});
        }
        return {{"used", encodeResources(usage.used)}, {"ageMs", usage.age.ms}, {"latencies", std::move(latencies)}};
    }

    TaskSpec decodeSpec(const json::object &object)
    {
        return {textOf(object.at("service")),
                textOf(object.at("team")),
                textOf(object.at("jobClass")),
                decodeResources(object.at("declared").as_object()),
                decodeResources(object.at("limit").as_object()),
                textOf(object.at("payload"))};
    }

    TaskCommand decodeCommand(const json::object &object)
    {
        TaskCommand command;
        const auto kind = TaskCommandKindNames.valueOf(textOf(object.at("kind")));
        if (!kind) {
            throw std::invalid_argument("unknown task command");
        }
        command.kind = *kind;
        command.job = textOf(object.at("job"));
        command.epoch = object.at("epoch").to_number<std::uint64_t>();
        if (command.kind == TaskCommandKind::Start) {
            command.spec = decodeSpec(object.at("spec").as_object());
            command.checkpoint = textOf(object.at("checkpoint"));
        }
        return command;
    }

    ReportAnswer decodeAnswerObject(const json::object &object)
    {
        ReportAnswer answer;
        answer.code = static_cast<ResultCode>(object.at("code").to_number<std::uint16_t>());
        answer.number = object.at("number").to_number<std::uint64_t>();
        answer.ownerEpoch = object.at("ownerEpoch").to_number<std::uint64_t>();
        answer.ownerIncarnation = object.at("ownerIncarnation").to_number<std::uint64_t>();
        answer.ownerAddress = textOf(object.at("ownerAddress"));
        answer.ownerPort = object.at("ownerPort").to_number<std::uint16_t>();
        answer.reportInterval = {object.at("reportIntervalMs").to_number<std::int64_t>()};
        answer.ownerLease = {object.at("ownerLeaseMs").to_number<std::int64_t>()};
        answer.taskLease = {object.at("taskLeaseMs").to_number<std::int64_t>()};
        for (const json::value &command : object.at("commands").as_array()) {
            answer.commands.push_back(decodeCommand(command.as_object()));
        }
        return answer;
    }

} // namespace

std::string encodeReport(const WorkerReport &report)
{
    json::array services;
    for (const ServiceSlots &service : report.services) {
        services.push_back(json::object{{"service", service.service}, {"slots", service.slots}, {"earlierInFlight", service.earlierInFlight}});
    }
    json::array tasks;
    for (const TaskReport &task : report.tasks) {
        tasks.push_back(encodeTask(task));
    }
    return json::serialize(json::object{{"worker", report.worker},
                                        {"incarnation", report.incarnation},
                                        {"availabilityZone", report.availabilityZone},
                                        {"rack", report.rack},
                                        {"address", report.address},
                                        {"port", report.port},
                                        {"services", std::move(services)},
                                        {"capacity", encodeResources(report.capacity)},
                                        {"leaving", report.leaving},
                                        {"sequence", report.sequence},
                                        {"ownerEpoch", report.ownerEpoch},
                                        {"acknowledged", report.acknowledged},
                                        {"ownerIncarnation", report.ownerIncarnation},
                                        {"inFlight", report.inFlight},
                                        {"usage", encodeUsage(report.usage)},
                                        {"tasks", std::move(tasks)}});
}

std::optional<ReportAnswer> decodeAnswer(const std::string &text)
{
    try {
        return decodeAnswerObject(json::parse(text).as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Filbertlanding
