/**
 * @file protocol_adapter.h Interface between the fleet daemon and the wire protocol of callers, operators and workers.
 * A protocol adapter only translates: it makes no decisions, keeps no state and starts no timers.
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

/** Operation that a caller requests on a job. */
enum class CallerVerb : std::uint8_t { Submit, Show, Cancel };

/** Request of a caller. The path names the queue, followed by the job id unless the request is about the queue itself. */
struct JobApiRequest {
    CallerVerb verb = CallerVerb::Show;
    std::string host; ///< Lower case, without the port.
    std::string path;
    Duration timeLimit{3'000}; ///< Time that the caller waits for the response.
    ResultCode code = ResultCode::Ok; ///< Result of parsing; Ok if the request is valid.
    std::string message; ///< Description of the parse error.
    JobSpec spec; ///< Submit: the submitted job.
    std::string apiKey; ///< API key of the caller; empty if the call has none.
};

/** Periodic status report of a worker. */
struct WorkerReportRequest {
    FleetWorkerReport report;
};

/** A worker announces that it is shutting down. */
struct WorkerLeavingRequest {
    WorkerName worker;
};

/** An operator uploads a manifest. */
struct PutManifestRequest {
    FleetManifest manifest;
};

/** An operator reads the manifest. */
struct GetManifestRequest {
};

/** An operator drains an availability zone, or puts it back into use. */
struct DrainZoneRequest {
    ZoneName availabilityZone;
    bool isDrained = false;
};

/** An operator starts a maintenance wave. */
struct StartWaveRequest {
    StartMaintenanceWave wave;
};

/** An operator queries the progress of a maintenance wave. */
struct GetWaveRequest {
    std::uint64_t wave = 0;
};

/** A request that cannot be parsed. */
struct MalformedRequest {
    ResultCode code = ResultCode::BadRequest;
    std::string message;
    std::string manifest; ///< Text of a refused manifest; empty for other requests.
};

using ControlRequest = std::variant<WorkerReportRequest,
                                    WorkerLeavingRequest,
                                    PutManifestRequest,
                                    GetManifestRequest,
                                    DrainZoneRequest,
                                    StartWaveRequest,
                                    GetWaveRequest,
                                    MalformedRequest>;

/** Response to a request, independent of the wire protocol. */
struct ApiResponse {
    ResultCode code = ResultCode::Ok;
    std::string message; ///< Human-readable message; empty for the default message of the code.
    Duration retryAfter; ///< Time after which the client should retry; 0 if unspecified.
    std::optional<FleetJobState> state; ///< State of the requested job.
    JobFailure failure = JobFailure::None; ///< Why the requested job has failed.
    std::optional<std::uint64_t> waiting; ///< Number of queued jobs of the requested queue.
    std::string document; ///< The requested manifest.
    std::string redirect; ///< Address and port of the leader to redirect to; empty if this daemon handled the request.
    std::string path; ///< Request path, for a redirect.
    std::string reportTo; ///< Address and port for the worker's next reports; empty to keep the current one.
    std::optional<bool> isWaveCompleted;
};

/** Parsers and serializers of one wire protocol. */
struct ProtocolAdapter {
    std::function<JobApiRequest(const HttpRequest &)> parseJobRequest;
    std::function<ControlRequest(const HttpRequest &)> parseControlRequest;
    std::function<HttpResponse(const ApiResponse &)> serializeResponse;
    std::function<HttpRequest(const WorkerOrder &)> serializeOrder;
    std::function<OrderResponse(const WorkerOrder &, const HttpExchange &)> parseOrderResponse;
};

} // namespace Filbertlanding
