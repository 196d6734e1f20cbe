/** @file soak_unauthorized.cpp Callers that have no access to a queue or to a job. */

#include "soak/soak_unauthorized.h"

#include "core/clock_func.h"
#include "soak/soak_client.h"

#include <array>

namespace Filbertlanding {

namespace {

    constexpr std::chrono::milliseconds CallInterval{60};
    constexpr Duration CallTimeout{3'000};
    constexpr std::string_view Payload = "unauthorized";
    constexpr std::string_view JobBody = R"({"spec":"unauthorized","steps":[{"count":1,"cpu":1000,"memMb":100,"estimatedMs":100}]})";
    constexpr std::array Methods{"GET", "DELETE", "POST"};

} // namespace

void addKey(HttpRequest &request, const SoakCall &call)
{
    if (!call.apiKey.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + call.apiKey});
    }
}

SoakUnauthorizedCallers::SoakUnauthorizedCallers(
    boost::asio::io_context &loop, std::uint64_t seed, std::vector<std::string> entryAddresses, SoakAccountChecks &soakAccountChecks, SoakChecks &soakChecks)
    : entries(std::move(entryAddresses))
    , accountChecks(soakAccountChecks)
    , checks(soakChecks)
    , client(soakClientSettings(loop), counters)
    , random{seed ^ 0x1407ULL}
    , timer(loop)
{
}

void SoakUnauthorizedCallers::start()
{
    this->arm();
}

void SoakUnauthorizedCallers::stop()
{
    this->timer.cancel();
}

void SoakUnauthorizedCallers::arm()
{
    this->timer.expires_after(CallInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        // Without a manifest the accounts are not in force yet.
        if (this->accountChecks.accounts.acknowledgedFrom(0)) {
            if (this->random.below(4) == 0) {
                this->callForNewJob();
            } else {
                this->callForAcceptedJob();
            }
        }
        this->arm();
    });
}

std::string SoakUnauthorizedCallers::drawInvalidKey()
{
    return this->random.below(2) == 0 ? std::string() : this->accountChecks.accounts.makeKey();
}

void SoakUnauthorizedCallers::callForNewJob()
{
    if (this->random.below(2) == 0) {
        // The number of waiting jobs.
        this->send("GET", {}, {std::string(SoakManifests::MainQueue), this->drawInvalidKey(), steadyNow()});
        return;
    }
    const JobId id = this->accountChecks.accounts.makeKey().substr(3, 16);
    // The job must never run, so that it counts as refused from the beginning.
    SoakJob &job = this->checks.jobs[id];
    job.spec.payload = Payload;
    job.spec.steps.emplace_back();
    this->send("POST", id, {job.queue, this->drawInvalidKey(), steadyNow()});
}

std::optional<JobId> SoakUnauthorizedCallers::drawAcceptedJob()
{
    std::vector<JobId> accepted;
    for (const auto &[id, job] : this->checks.jobs) {
        if (job.isAccepted && !job.account.empty()) {
            accepted.push_back(id);
        }
    }
    return accepted.empty() ? std::nullopt : std::optional(accepted[this->random.below(accepted.size())]);
}

void SoakUnauthorizedCallers::callForAcceptedJob()
{
    const std::optional<JobId> id = this->drawAcceptedJob();
    if (!id) {
        return;
    }
    const SoakJob &job = this->checks.jobs.at(*id);
    std::string method = Methods[this->random.below(Methods.size())];
    SoakCall call{job.queue, {}, steadyNow()};
    switch (this->random.below(3)) {
    case 0:
        call.apiKey = this->drawInvalidKey();
        break;
    case 1:
        call.apiKey = this->accountChecks.accounts.drawSettledKey(this->accountChecks.accounts.drawOther(job.account).name);
        break;
    default:
        // The public queue shows only jobs that were submitted to it.
        call.queue = SoakManifests::PublicQueue;
        method = method == "POST" ? "GET" : method;
        break;
    }
    this->send(method, *id, call);
}

void SoakUnauthorizedCallers::send(const std::string &method, const JobId &id, const SoakCall &call)
{
    HttpRequest request{method, call.queue + id, {}, method == "POST" ? std::string(JobBody) : std::string(), {}};
    request.headers.push_back({"Host", std::string(SoakManifests::QueueHost)});
    request.headers.push_back({"Content-Type", "application/json"});
    request.headers.push_back({"X-Deadline-Ms", std::to_string(CallTimeout.ms)});
    addKey(request, call);
    const HttpAddress entry = soakAddressOf(this->entries[this->random.below(this->entries.size())]);
    this->client.send(entry, std::move(request), {.timeout = CallTimeout}, [this, id, call](const HttpExchange &exchange) {
        this->accountChecks.onForeignAnswered(id, call, exchange.code == ResultCode::Ok ? exchange.response.status : 0);
    });
}

} // namespace Filbertlanding
