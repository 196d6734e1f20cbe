/** @file intent_api.cpp HTTP form of the intent files. */

#include "catalog/config_check.h"
#include "catalog/intent_diff.h"
#include "catalog/intent_json.h"
#include "core/clock_func.h"
#include "daemon/api_func.h"
#include "daemon/drain_restriction.h"
#include "daemon/http_service.h"
#include "daemon/propose_func.h"
#include "job/place_type.h"
#include "runtime/log_func.h"

#include <boost/json.hpp>

#include <charconv>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr Duration ChangeTimeout{8000}; ///< Time for a change, over one election; the operator's tool waits longer.

    HttpResponse changeResponse(const CommandResult &result)
    {
        const ResultCodeRow &row = resultCodeRow(result.code);
        json::object body{{"code", static_cast<int>(result.code)},
                          {"name", row.name},
                          {"message", result.message.empty() ? row.sentence : std::string_view(result.message)},
                          {"version", result.version}};
        if (!result.errors.empty()) {
            body["errors"] = errorsAsJson(result.errors);
            body["errorCount"] = result.errorCount;
        }
        if (result.code == ResultCode::VersionConflict) {
            body["winner"] = {{"operation", result.winner}, {"operator", result.winnerOperator}, {"files", json::value_from(result.winnerFiles)}};
        }
        return jsonResponse(row.httpStatus, json::serialize(body));
    }

    /** Says for each zone what a restriction has come to that this daemon keeps. */
    HttpResponse keptResponse(const Daemon &daemon, ResultCode code)
    {
        const ResultCodeRow &row = resultCodeRow(code);
        json::object zones;
        for (const auto &[name, peer] : daemon.controlState.peers) {
            zones[peer.settings.availabilityZone] = "not reached";
        }
        zones[daemon.settings.availabilityZone] = "in force on daemon " + daemon.settings.daemon + " only";
        const json::object body{{"code", static_cast<int>(code)},
                                {"name", row.name},
                                {"message", row.sentence},
                                {"version", daemon.controlState.catalog.intent.version},
                                {"daemon", daemon.settings.daemon},
                                {"durable", daemon.controlState.restrictionJournal != nullptr},
                                {"availabilityZones", std::move(zones)}};
        return jsonResponse(row.httpStatus, json::serialize(body));
    }

    PolicyNames knownPolicies()
    {
        PolicyNames names;
        for (const std::string &name : RoutePolicies::names()) {
            names.routing.insert(name);
        }
        for (const std::string &name : PlacePolicyRegistry::names()) {
            names.placement.insert(name);
        }
        return names;
    }

    /** Reads the headers that every change carries. Returns an error response for a fault. */
    std::optional<HttpResponse> readChangeHeaders(const HttpRequest &request, ChangeFiles &change)
    {
        const std::string_view version = headerValue(request.headers, "If-Version");
        const auto end = std::from_chars(version.data(), version.data() + version.size(), change.baseVersion);
        if (version.empty() || end.ec != std::errc() || end.ptr != version.data() + version.size()) {
            return errorResponse(ResultCode::MissingField, "the header If-Version must name the configuration version that the change is based on");
        }
        change.operation = std::string(headerValue(request.headers, "Operation-Id"));
        change.operatorName = std::string(headerValue(request.headers, "Operator"));
        if (change.operation.empty() || change.operatorName.empty()) {
            return errorResponse(ResultCode::MissingField, "the headers Operation-Id and Operator are required");
        }
        return std::nullopt;
    }

    void proposeChange(Daemon &daemon, const ChangeFiles &change, const HttpRespond &respond)
    {
        const ConfigCheck check = checkIntent(filesAfterChange(daemon.controlState.catalog.intent.files, change));
        const PolicyNames policies = knownPolicies();
        const ConfigCheck withPolicies = checkIntent(filesAfterChange(daemon.controlState.catalog.intent.files, change), &policies);
        // The log checks everything again; only what depends on this program's plug-ins has to be checked here.
        if (check.errors.empty() && !withPolicies.errors.empty()) {
            CommandResult result;
            result.code = ResultCode::IntentInvalid;
            result.version = daemon.controlState.catalog.intent.version;
            result.errors = withPolicies.errors;
            result.errorCount = withPolicies.errors.size();
            respond(changeResponse(result));
            return;
        }
        const TimePoint now = steadyNow();
        if (isWithoutQuorum(daemon, now) && isRestriction(daemon, change)) {
            respond(keptResponse(daemon, keepRestriction(daemon, change)));
            return;
        }
        proposeUntil(daemon, change, now + ChangeTimeout, [&daemon, respond, change](const CommandResult &result, std::uint64_t) {
            logLine(
                LogArea::Intent,
                LogLevel::Info,
                "change",
                {{"operation", change.operation}, {"operator", change.operatorName}, {"code", resultCodeRow(result.code).name}, {"version", result.version}});
            const bool lost = result.code == ResultCode::NoQuorum || result.code == ResultCode::NotLeader || result.code == ResultCode::ChangeOutcomeUnknown;
            if (lost && isRestriction(daemon, change)) {
                respond(keptResponse(daemon, keepRestriction(daemon, change)));
                return;
            }
            respond(changeResponse(result));
        });
    }

    void changeFile(Daemon &daemon, const std::string &name, const HttpRequest &request, const HttpRespond &respond)
    {
        ChangeFiles change;
        change.kind = request.method == "DELETE" ? ChangeKind::Remove : ChangeKind::Put;
        change.files.push_back({name, request.method == "DELETE" ? std::string() : request.body});
        change.wallTime = wallNow();
        if (const auto fault = readChangeHeaders(request, change)) {
            respond(*fault);
            return;
        }
        proposeChange(daemon, change, respond);
    }

    void syncFiles(Daemon &daemon, const HttpRequest &request, const HttpRespond &respond)
    {
        ChangeFiles change;
        change.kind = ChangeKind::Sync;
        change.wallTime = wallNow();
        if (const auto fault = readChangeHeaders(request, change)) {
            respond(*fault);
            return;
        }
        boost::system::error_code error;
        const json::value root = json::parse(request.body, error);
        const json::value *files = error || !root.is_object() ? nullptr : root.as_object().if_contains("files");
        if (files == nullptr || !files->is_object()) {
            respond(errorResponse(ResultCode::BadJson, "the body must be a JSON object with a member files that maps names to texts"));
            return;
        }
        for (const auto &file : files->as_object()) {
            if (!file.value().is_string()) {
                respond(errorResponse(ResultCode::BadFieldType, "the text of file " + std::string(file.key()) + " must be a JSON text"));
                return;
            }
            change.files.push_back({std::string(file.key()), std::string(file.value().as_string())});
        }
        proposeChange(daemon, change, respond);
    }

    void showIntent(const Daemon &daemon, const HttpRespond &respond)
    {
        const IntentStore &store = daemon.controlState.catalog.intent;
        json::object files;
        for (const auto &[name, text] : store.files) {
            files[name] = text;
        }
        respond(jsonResponse(200, json::serialize(json::object{{"version", store.version}, {"daemon", daemon.settings.daemon}, {"files", std::move(files)}})));
    }

    void showHistory(const Daemon &daemon, const HttpRespond &respond)
    {
        json::array changes;
        for (const ChangeRecord &record : daemon.controlState.catalog.intent.history) {
            changes.push_back({{"version", record.version},
                               {"kind", ChangeKindNames.nameOf(record.kind)},
                               {"operation", record.operation},
                               {"operator", record.operatorName},
                               {"time", formatWallTime(record.wallTime)},
                               {"files", json::value_from(record.files)},
                               {"drained", json::value_from(record.drained)},
                               {"returned", json::value_from(record.returned)},
                               {"opened", json::value_from(record.opened)},
                               {"closed", json::value_from(record.closed)}});
        }
        respond(jsonResponse(200, json::serialize(json::object{{"changes", std::move(changes)}})));
    }

} // namespace

void serveIntent(Daemon &daemon, const std::vector<std::string> &path, const HttpRequest &request, const HttpRespond &respond)
{
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (path.size() == 2 && get) {
        showIntent(daemon, respond);
    } else if (path.size() == 3 && path[2] == "history" && get) {
        showHistory(daemon, respond);
    } else if (path.size() == 3 && path[2] == "sync" && post) {
        syncFiles(daemon, request, respond);
    } else if (path.size() == 4 && path[2] == "files" && (request.method == "PUT" || request.method == "DELETE")) {
        changeFile(daemon, path[3], request, respond);
    } else {
        respond(errorResponse(ResultCode::NotFound));
    }
}

} // namespace Filbertlanding
