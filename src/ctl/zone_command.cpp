/** @file zone_command.cpp Takes an availability zone out of service and back. */

#include "catalog/intent_merge.h"
#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/json_access.h"
#include "ctl/state_change.h"
#include "ctl/wait_func.h"

#include <CLI/CLI.hpp>

#include <memory>
#include <optional>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    /** Arguments of the subcommands. */
    struct ZoneArguments {
        ZoneName zone; ///< Availability zone.
        std::optional<std::uint64_t> limitSeconds; ///< Drain limit; without it that of the configuration.
        WaitOptions wait; ///< Whether to wait.
    };

    std::string fileNameOf(const ZoneName &zone)
    {
        return "90-drain-" + zone + ".json";
    }

    std::string drainText(const ZoneArguments &arguments)
    {
        json::object zone{{"state", "drained"}};
        if (arguments.limitSeconds) {
            zone["drainLimitMs"] = *arguments.limitSeconds * 1000;
        }
        return json::serialize(json::object{{"availabilityZones", json::object{{arguments.zone, std::move(zone)}}}}) + "\n";
    }

    const json::value *findZone(const json::value &status, const ZoneName &zone)
    {
        for (const json::value &entry : listOf(status, "availabilityZones")) {
            if (textOf(entry, "availabilityZone") == zone) {
                return &entry;
            }
        }
        return nullptr;
    }

    /** Guards against a drain of a zone whose name is misspelt, which would be accepted and do nothing. */
    ResultCode checkZone(CtlContext &context, const ZoneName &zone)
    {
        if (!isValidName(fileNameOf(zone))) {
            return writeError(context, ResultCode::OutOfRange, "\"" + zone + "\": a name has letters, digits, dots, hyphens and underscores");
        }
        const CtlReply reply = readFromDaemons(context, "/v1/status");
        if (reply.code != ResultCode::Ok) {
            return writeReplyError(context, reply);
        }
        const json::value status = parseBody(reply.body);
        if (findZone(status, zone) != nullptr) {
            return ResultCode::Ok;
        }
        std::string known;
        for (const json::value &entry : listOf(status, "availabilityZones")) {
            known += (known.empty() ? "" : ", ") + textOf(entry, "availabilityZone");
        }
        return writeError(context, ResultCode::NotFound, "no daemon is in an availability zone named " + zone + "; there are " + known);
    }

    WaitLook lookAtZone(CtlContext &context, const ZoneName &zone, std::uint64_t version, bool isDrain)
    {
        const CtlReply reply = readFromDaemons(context, "/v1/status");
        if (reply.code != ResultCode::Ok) {
            return {false, "no status: " + reply.message};
        }
        const json::value status = parseBody(reply.body);
        const json::value *entry = findZone(status, zone);
        const std::uint64_t running = entry == nullptr ? 0 : numberOf(*entry, "runningAssignments");
        const bool hasState = entry != nullptr && textOf(*entry, "state") == (isDrain ? "drained" : "in-service");
        const std::string missing = missingVersions(reply, version);
        if (hasState && missing.empty() && (!isDrain || running == 0)) {
            return {true, {}};
        }
        std::string progress = "version " + std::to_string(version) + (missing.empty() ? " is in effect on every daemon that is heard" : ", but " + missing);
        if (isDrain) {
            progress += "; " + std::to_string(running) + " assignments still run in " + zone;
        }
        return {false, progress};
    }

    ResultCode changeZone(CtlContext &context, const ZoneArguments &arguments, const StateChange &change)
    {
        const bool isDrain = change.wanted == "drained";
        const ResultCode checked = checkZone(context, arguments.zone);
        if (checked != ResultCode::Ok) {
            return checked;
        }
        const IntentState state = readIntent(context);
        if (state.reply.code != ResultCode::Ok) {
            return writeReplyError(context, state.reply);
        }
        const std::string overridden = findOverride(state.files, change);
        if (!overridden.empty()) {
            return writeError(context, ResultCode::ConflictingSettings, overridden);
        }
        const bool hasFile = filesAfter(state.files, {ChangeKind::Remove, change.change.files}).size() < state.files.size();
        // A resend of a removal that was accepted finds no file, and is answered from the first time.
        if (!isDrain && !hasFile && context.options.operationId.empty()) {
            const std::string sentence = arguments.zone + " is in service already";
            const json::object body{{"code", 0}, {"name", "Ok"}, {"message", sentence}, {"version", state.version}};
            return writeOutcome(context, {ResultCode::Ok, {}, json::serialize(body)}, sentence);
        }
        const CtlReply reply = sendChange(context, change.change, state.version);
        const std::uint64_t version = versionOf(reply);
        const ResultCode written = writeOutcome(context, reply, arguments.zone + " is " + change.wanted + " by version " + std::to_string(version));
        if (written != ResultCode::Ok || !arguments.wait.wait) {
            return written;
        }
        context.streams.out.flush();
        return waitUntilDone(context, arguments.wait, [&context, &arguments, version, isDrain] {
            return lookAtZone(context, arguments.zone, version, isDrain);
        });
    }

    StateChange changeOf(const ZoneArguments &arguments, bool isDrain)
    {
        StateChange change;
        change.change = {isDrain ? ChangeKind::Put : ChangeKind::Remove, {{fileNameOf(arguments.zone), isDrain ? drainText(arguments) : std::string()}}};
        change.path = {"availabilityZones", arguments.zone, "state"};
        change.wanted = isDrain ? "drained" : "in-service";
        change.fallback = "in-service";
        return change;
    }

    void addZones(CLI::App &root, CtlContext &context)
    {
        const auto arguments = std::make_shared<ZoneArguments>();
        CLI::App *drain = addCommand(
            root, "drain", "take an availability zone out of service: writes the file 90-drain-ZONE.json", "filbertctl drain piassa --drain-limit 300 --wait");
        drain->add_option("ZONE", arguments->zone, "availability zone")->required();
        drain->add_option("--drain-limit", arguments->limitSeconds, "time in seconds after which the remaining jobs are forced out")
            ->check(CLI::Range(0, 86'400));
        addWaitOptions(*drain, arguments->wait);
        drain->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return changeZone(context, *arguments, changeOf(*arguments, true));
            };
        });
        CLI::App *back =
            addCommand(root, "return", "take an availability zone back into service: removes the file 90-drain-ZONE.json", "filbertctl return piassa --wait");
        back->add_option("ZONE", arguments->zone, "availability zone")->required();
        addWaitOptions(*back, arguments->wait);
        back->callback([&context, arguments] {
            context.action = [&context, arguments] {
                return changeZone(context, *arguments, changeOf(*arguments, false));
            };
        });
    }

    const CtlRegistration Registered{"zone", addZones};

} // namespace

} // namespace Filbertlanding
