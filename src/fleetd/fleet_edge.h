/**
 * @file fleet_edge.h The boundary between the fleet daemon and the language that callers, operators and workers speak.
 * An edge only translates: it decides nothing, keeps no state and starts no timer.
 */

#pragma once

#include "fleet/fleet_command.h"
#include "fleet/fleet_scheduler_func.h"
#include "fleet/worker_order_type.h"
#include "network/http_client.h"
#include "network/http_type.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace Filbertlanding {

/** What a caller wants. */
enum class CallerVerb : std::uint8_t { Submit, Show, Cancel };

/** A call of a caller. The path holds the queue and, unless the queue itself is asked for, the id of a job. */
struct JobApiRequest {
    CallerVerb verb = CallerVerb::Show;
    std::string host; ///< Lower case, without a port.
    std::string path;
    Duration timeLimit{3'000}; ///< How long the caller waits.
    ResultCode code = ResultCode::Ok; ///< What is wrong with the call; Ok if nothing.
    std::string message; ///< Sentence on what is wrong.
    JobSpec spec; ///< Submit: what is submitted.
};

/** A worker reports. */
struct WorkerReportRequest {
    FleetWorkerReport report;
};

/** A worker says that it ends. */
struct WorkerLeavingRequest {
    WorkerName worker;
};

/** An operator sends a manifest. */
struct PutManifestRequest {
    FleetManifest manifest;
};

/** An operator reads the manifest. */
struct GetManifestRequest {
};

/** An operator takes a zone out of use or back. */
struct DrainZoneRequest {
    ZoneName availabilityZone;
    bool isDrained = false;
};

/** An operator starts a wave of maintenance. */
struct StartWaveRequest {
    StartMaintenanceWave wave;
};

/** An operator asks how far a wave is. */
struct GetWaveRequest {
    std::uint64_t wave = 0;
};

/** A call that cannot be understood. */
struct MalformedRequest {
    ResultCode code = ResultCode::BadRequest;
    std::string message;
};

using ControlRequest = std::variant<WorkerReportRequest,
                                    WorkerLeavingRequest,
                                    PutManifestRequest,
                                    GetManifestRequest,
                                    DrainZoneRequest,
                                    StartWaveRequest,
                                    GetWaveRequest,
                                    MalformedRequest>;

/** Answer to a call. */
struct ApiResponse {
    ResultCode code = ResultCode::Ok;
    std::string message; ///< Sentence for people; empty for the one of the code.
    Duration retryAfter; ///< When the caller should come back; 0 says nothing.
    std::optional<FleetJobState> state; ///< State of a job.
    std::optional<std::uint64_t> waiting; ///< Jobs of a queue that wait.
    std::string document; ///< A manifest.
    std::string redirect; ///< Address and port of the daemon that can answer; empty if this one has.
    std::string path; ///< Path of the call, for a redirect.
    std::string reportTo; ///< Address and port for the worker's next reports; empty to leave it.
    std::optional<bool> isWaveCompleted;
};

/** Translations of one language. */
struct ProtocolAdapter {
    std::function<JobApiRequest(const HttpRequest &)> parseJobRequest;
    std::function<ControlRequest(const HttpRequest &)> parseControlRequest;
    std::function<HttpResponse(const ApiResponse &)> serializeResponse;
    std::function<HttpRequest(const WorkerOrder &)> serializeOrder;
    std::function<OrderResponse(const WorkerOrder &, const HttpExchange &)> parseOrderResponse;
};

} // namespace Filbertlanding
