/** @file request_view_type.h What the request threads know: published as one immutable object by read-copy-update. */

#pragma once

#include "catalog/config_type.h"
#include "report/outcome_counters.h"
#include "request/admission_base.h"
#include "request/ejection_base.h"
#include "request/ledger_base.h"
#include "request/retry_budget_base.h"
#include "request/route_func.h"
#include "request/routing_type.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Filbertlanding {

/** How a request ended. */
struct RequestOutcome {
    ResultCode code = ResultCode::Internal; ///< Outcome.
    unsigned status = 0; ///< HTTP status of the worker, when it answered.
    std::string contentType; ///< Content type of the worker's answer.
    std::string body; ///< Body of the worker's answer.
    std::string worker; ///< Worker that answered.
    Duration retryAfter; ///< When a resend makes sense; 0 when not known.
};

struct ServiceRuntime;

/** A latency-critical request on its way through the daemon. */
struct CallerRequest {
    ServiceName service; ///< Service.
    TeamName team; ///< Team.
    CallerName caller; ///< Caller.
    RequestId id; ///< Request id.
    bool repeatable = true; ///< Whether it may be sent to a worker more than once.
    bool forwarded = false; ///< Came from another daemon.
    bool recorded = false; ///< Non-repeatable and recorded in the ledger of this home, so that it may run.
    bool admitted = false; ///< Holds a place in admission control.
    TimePoint deadline; ///< Deadline.
    std::int64_t startedUs = 0; ///< Arrival, for the latency.
    std::string contentType; ///< Content type of the body.
    std::string body; ///< Body.
    std::shared_ptr<ServiceRuntime> runtime; ///< Shared state of its service.
    TicketId ticket = 0; ///< Number in admission control.
    SubmissionIdentity submission; ///< Identity of a non-repeatable send.
    std::uint32_t attempts = 0; ///< Attempts so far.
    std::vector<std::string> tried; ///< Targets that failed it.
    std::function<void(RequestOutcome)> done; ///< Takes the outcome; called exactly once.
};

/** State of a service that the request threads share. */
struct ServiceRuntime {
    ServiceRuntime(const AdmissionSettings &admissionSettings, const RetryBudgetSettings &budgetSettings)
        : admission(admissionSettings)
        , budget(budgetSettings)
    {
    }

    Admission admission; ///< Admission control.
    RetryBudget budget; ///< Retry budget.
    Ejection ejection; ///< Outlier ejection.
    std::atomic<std::int64_t> inFlight{0}; ///< Requests received and not answered.
    std::mutex mutex; ///< Guards the waiting requests.
    std::unordered_map<TicketId, std::shared_ptr<CallerRequest>> waiting; ///< Requests that admission control has not let run.
};

/** Non-repeatable sends of callers and peers that wait for the ledger of this home. */
struct OpenSubmissions {
    /** One send. */
    struct Submission {
        std::shared_ptr<CallerRequest> request; ///< The request.
        std::function<void(RequestOutcome)> done; ///< Takes the outcome.
    };

    std::mutex mutex; ///< Guards all members.
    bool refusesPeers = false; ///< This daemon stops and takes no further sends from peers.
    SubmissionToken last = 0; ///< Token of the latest send.
    std::unordered_map<SubmissionToken, Submission> submissions; ///< Sends by token.
};

/** What a request thread needs to decide. */
struct RequestView {
    std::unique_ptr<const RoutingTable> table; ///< Targets.
    std::shared_ptr<const Configuration> configuration; ///< Configuration in force.
    std::uint64_t version = 0; ///< Its version.
    std::unordered_map<ServiceName, std::shared_ptr<ServiceRuntime>> services; ///< Shared state of each configured service.
    std::vector<LedgerDisk> voters; ///< Voters and their disks, which keep the ledger of non-repeatable requests.
    const std::function<RoutePolicy> *policy = nullptr; ///< Routing policy.
    bool finishing = false; ///< The daemon takes no new request.
};

} // namespace Filbertlanding
