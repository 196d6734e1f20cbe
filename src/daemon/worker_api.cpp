/** @file worker_api.cpp HTTP form of workers and their reports. */

#include "core/clock_func.h"
#include "daemon/api_func.h"
#include "daemon/http_service.h"
#include "daemon/worker_json.h"
#include "daemon/worker_service.h"
#include "membership/worker_registry_func.h"

#include <boost/json.hpp>

namespace Filbertlanding {

namespace json = boost::json;

void serveWorkerReport(Daemon &daemon, const HttpRequest &request, const HttpRespond &respond)
{
    if (request.method != "POST") {
        respond(errorResponse(ResultCode::MethodNotAllowed));
        return;
    }
    const ParsedReport parsed = parseWorkerReport(request.body);
    if (parsed.code != ResultCode::Ok) {
        respond(errorResponse(parsed.code, parsed.message));
        return;
    }
    respond(jsonResponse(200, reportAnswerAsJson(serveReport(daemon, parsed.report))));
}

void serveWorkers(Daemon &daemon, const HttpRespond &respond)
{
    const TimePoint now = steadyNow();
    json::array workers;
    for (const auto &[name, record] : daemon.controlState.registry.workers) {
        json::array services;
        for (const ServiceSlots &slots : record.lastReport.services) {
            const auto entry = daemon.controlState.routes.workers.find({name, slots.service});
            const std::uint32_t inUse = entry == daemon.controlState.routes.workers.end() ? 0 : entry->second->slots.inUse();
            services.push_back({{"service", slots.service}, {"slots", slots.slots}, {"inUse", inUse}});
        }
        workers.push_back({{"worker", name},
                           {"availabilityZone", record.lastReport.availabilityZone},
                           {"rack", record.lastReport.rack},
                           {"address", record.lastReport.address},
                           {"port", record.lastReport.port},
                           {"state", WorkerStateNames.nameOf(record.lifeCycle.state())},
                           {"owned", ownsWorker(daemon.controlState.registry, name, now)},
                           {"ownerEpoch", record.lastReport.ownerEpoch},
                           {"leaving", record.lastReport.leaving || record.leavingByIntent},
                           {"services", std::move(services)}});
    }
    respond(jsonResponse(200, json::serialize(json::object{{"daemon", daemon.settings.daemon}, {"workers", std::move(workers)}})));
}

} // namespace Filbertlanding
