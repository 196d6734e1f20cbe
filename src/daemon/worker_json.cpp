/** @file worker_json.cpp JSON form of worker reports and their answers. */

#include "daemon/worker_json.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::size_t MaxServices = 64; ///< Services on one worker.
    constexpr std::size_t MaxTasks = 4096; ///< Tasks in one report.
    constexpr std::size_t MaxNameBytes = 200; ///< Names of workers, racks and services.
    constexpr std::uint64_t MaxIncarnation = (1ULL << 37) - 1; ///< The owner epoch is derived from it and must not overflow.
    constexpr std::uint32_t MaxSlots = 100'000; ///< Slots of one service on one worker.

    /** A fault in a report; caught in parseWorkerReport. */
    struct ReportFault {
        ResultCode code;
        std::string message;
    };

    const json::value &require(const json::object &object, std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr) {
            throw ReportFault{ResultCode::MissingField, "the field " + std::string(name) + " is missing"};
        }
        return *value;
    }

    [[noreturn]] void wrongType(std::string_view name, std::string_view expected)
    {
        throw ReportFault{ResultCode::BadFieldType, "the field " + std::string(name) + " must be " + std::string(expected)};
    }

    std::string textOf(const json::object &object, std::string_view name, std::size_t maxBytes, bool required)
    {
        if (!required && !object.contains(name)) {
            return {};
        }
        const json::value &value = require(object, name);
        if (!value.is_string()) {
            wrongType(name, "a text");
        }
        if (value.as_string().size() > maxBytes || (required && value.as_string().empty())) {
            throw ReportFault{ResultCode::OutOfRange, "the field " + std::string(name) + " must have 1 to " + std::to_string(maxBytes) + " bytes"};
        }
        return std::string(value.as_string());
    }

    std::uint64_t numberOf(const json::object &object, std::string_view name, std::uint64_t highest, bool required)
    {
        const json::value *value = required ? &require(object, name) : object.if_contains(name);
        if (value == nullptr) {
            return 0;
        }
        boost::system::error_code error;
        const auto number = value->to_number<std::uint64_t>(error);
        if (error || !(value->is_int64() || value->is_uint64())) {
            wrongType(name, "a whole number that is not negative");
        }
        if (number > highest) {
            throw ReportFault{ResultCode::OutOfRange, "the field " + std::string(name) + " must be at most " + std::to_string(highest)};
        }
        return number;
    }

    double realOf(const json::object &object, std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr) {
            return 0;
        }
        boost::system::error_code error;
        const auto number = value->to_number<double>(error);
        if (error) {
            wrongType(name, "a number");
        }
        return number;
    }

    bool flagOf(const json::object &object, std::string_view name)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr) {
            return false;
        }
        if (!value->is_bool()) {
            wrongType(name, "true or false");
        }
        return value->as_bool();
    }

    const json::object &objectOf(const json::value &value, std::string_view name)
    {
        if (!value.is_object()) {
            wrongType(name, "an object");
        }
        return value.as_object();
    }

    /** Calls a function for each object of a list that may be missing. */
    template<class Function>
    void forEachObject(const json::object &object, std::string_view name, std::size_t most, Function function)
    {
        const json::value *value = object.if_contains(name);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            wrongType(name, "a list");
        }
        if (value->as_array().size() > most) {
            throw ReportFault{ResultCode::OutOfRange, "the list " + std::string(name) + " must have at most " + std::to_string(most) + " entries"};
        }
        for (const json::value &entry : value->as_array()) {
            function(objectOf(entry, name));
        }
    }

    Resources resourcesOf(const json::object &object, std::string_view name)
    {
        constexpr std::uint64_t MaxAmount = 1'000'000'000;
        const json::value *value = object.if_contains(name);
        if (value == nullptr) {
            return {};
        }
        const json::object &parts = objectOf(*value, name);
        return {static_cast<std::int64_t>(numberOf(parts, "cpuMillis", MaxAmount, false)),
                static_cast<std::int64_t>(numberOf(parts, "memoryMb", MaxAmount, false)),
                static_cast<std::int64_t>(numberOf(parts, "accelerators", MaxAmount, false))};
    }

    Usage usageOf(const json::object &object)
    {
        constexpr std::uint64_t MaxAgeMs = 3'600'000;
        Usage usage;
        const json::value *value = object.if_contains("usage");
        if (value == nullptr) {
            return usage;
        }
        const json::object &parts = objectOf(*value, "usage");
        usage.used = resourcesOf(parts, "used");
        usage.age = {static_cast<std::int64_t>(numberOf(parts, "ageMs", MaxAgeMs, false))};
        forEachObject(parts, "latencies", MaxServices, [&usage](const json::object &entry) {
            const auto samples = static_cast<std::uint32_t>(numberOf(entry, "samples", UINT32_MAX, false));
            usage.latencies.push_back({textOf(entry, "service", MaxNameBytes, true), realOf(entry, "quantileMs"), samples});
        });
        return usage;
    }

    TaskReport taskOf(const json::object &object)
    {
        constexpr std::size_t MaxTextBytes = 4096;
        TaskReport task;
        task.job = textOf(object, "job", MaxNameBytes, true);
        task.epoch = numberOf(object, "epoch", UINT64_MAX, true);
        const auto state = TaskStateNames.valueOf(textOf(object, "state", MaxNameBytes, true));
        if (!state) {
            throw ReportFault{ResultCode::OutOfRange, "the field state of a task is not known"};
        }
        task.state = *state;
        task.progress = realOf(object, "progress");
        task.checkpoint = textOf(object, "checkpoint", MaxTextBytes, false);
        task.result = textOf(object, "result", MaxTextBytes, false);
        task.used = resourcesOf(object, "used");
        return task;
    }

    WorkerReport reportOf(const json::object &object)
    {
        WorkerReport report;
        report.worker = textOf(object, "worker", MaxNameBytes, true);
        report.incarnation = numberOf(object, "incarnation", MaxIncarnation, true);
        report.availabilityZone = textOf(object, "availabilityZone", MaxNameBytes, true);
        report.rack = textOf(object, "rack", MaxNameBytes, false);
        report.address = textOf(object, "address", MaxNameBytes, true);
        report.port = static_cast<std::uint16_t>(numberOf(object, "port", 65535, true));
        boost::system::error_code error;
        boost::asio::ip::make_address(report.address, error);
        if (error || report.port == 0) {
            throw ReportFault{ResultCode::BadAddress, "address and port must be an IP number and a port"};
        }
        forEachObject(object, "services", MaxServices, [&report](const json::object &entry) {
            ServiceSlots slots;
            slots.service = textOf(entry, "service", MaxNameBytes, true);
            slots.slots = static_cast<std::uint32_t>(numberOf(entry, "slots", MaxSlots, true));
            slots.earlierInFlight = static_cast<std::uint32_t>(numberOf(entry, "earlierInFlight", MaxSlots, false));
            report.services.push_back(std::move(slots));
        });
        report.capacity = resourcesOf(object, "capacity");
        report.leaving = flagOf(object, "leaving");
        report.sequence = numberOf(object, "sequence", UINT64_MAX, false);
        report.ownerEpoch = numberOf(object, "ownerEpoch", UINT64_MAX, false);
        report.acknowledged = numberOf(object, "acknowledged", UINT64_MAX, false);
        report.ownerIncarnation = numberOf(object, "ownerIncarnation", UINT64_MAX, false);
        report.inFlight = static_cast<std::uint32_t>(numberOf(object, "inFlight", UINT32_MAX, false));
        report.usage = usageOf(object);
        forEachObject(object, "tasks", MaxTasks, [&report](const json::object &entry) {
            report.tasks.push_back(taskOf(entry));
        });
        return report;
    }

    json::object resourcesAsJson(const Resources &amount)
    {
        return {{"cpuMillis", amount.cpuMillis}, {"memoryMb", amount.memoryMb}, {"accelerators", amount.accelerators}};
    }

    json::object commandAsJson(const TaskCommand &command)
    {
        json::object object{{"kind", TaskCommandKindNames.nameOf(command.kind)}, {"job", command.job}, {"epoch", command.epoch}};
        if (command.kind != TaskCommandKind::Start) {
            return object;
        }
        object["checkpoint"] = command.checkpoint;
        object["spec"] = {{"service", command.spec.service},
                          {"team", command.spec.team},
                          {"jobClass", command.spec.jobClass},
                          {"declared", resourcesAsJson(command.spec.declared)},
                          {"limit", resourcesAsJson(command.spec.limit)},
                          {"payload", command.spec.payload}};
        return object;
    }

} // namespace

ParsedReport parseWorkerReport(std::string_view text)
{
    ParsedReport result;
    boost::system::error_code error;
    const json::value root = json::parse(text, error);
    if (error) {
        result.code = ResultCode::BadJson;
        result.message = error.message();
        return result;
    }
    try {
        result.report = reportOf(objectOf(root, "report"));
    } catch (const ReportFault &fault) {
        result.code = fault.code;
        result.message = fault.message;
    }
    return result;
}

std::string reportAnswerAsJson(const ReportAnswer &answer)
{
    json::array commands;
    for (const TaskCommand &command : answer.commands) {
        commands.push_back(commandAsJson(command));
    }
    const json::object object{{"code", static_cast<int>(answer.code)},
                              {"name", resultCodeRow(answer.code).name},
                              {"number", answer.number},
                              {"ownerEpoch", answer.ownerEpoch},
                              {"ownerIncarnation", answer.ownerIncarnation},
                              {"ownerAddress", answer.ownerAddress},
                              {"ownerPort", answer.ownerPort},
                              {"reportIntervalMs", answer.reportInterval.ms},
                              {"ownerLeaseMs", answer.ownerLease.ms},
                              {"taskLeaseMs", answer.taskLease.ms},
                              {"commands", std::move(commands)}};
    return json::serialize(object);
}

} // namespace Filbertlanding
