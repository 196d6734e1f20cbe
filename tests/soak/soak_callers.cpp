/** @file soak_callers.cpp Simulated callers and operator of the soak. */

#include "soak/soak_callers.h"

#include "core/clock_func.h"
#include "core/name_table.h"
#include "fleet/fleet_names.h"
#include "soak/soak_client.h"
#include "soak/soak_unauthorized.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;
    namespace json = boost::json;

    constexpr int SubmitAttempts = 5;
    constexpr int CancelAttempts = 8;
    constexpr int ManifestAttempts = 12;
    constexpr Duration RetryDelay{400};
    constexpr Duration CallTimeout{3'000};
    constexpr Duration ControlTimeout{1'000};
    constexpr std::chrono::milliseconds StatusPollInterval{500};
    constexpr std::chrono::milliseconds OperatorInterval{1'500};
    constexpr int LongRunningPercent = 8;
    constexpr int SpareCapacityPercent = 35;
    constexpr int FailingPercent = 4;
    constexpr int CancelPercent = 12;
    constexpr std::uint64_t CrashingRunPercent = 50; ///< Runs of the soak that have jobs with a task that crashes its workers.
    constexpr std::uint64_t MaxCrashingJobs = 3;
    constexpr std::uint64_t CrashDelayRangeMs = 600;
    constexpr Duration CrashingJobDelay{3'000}; ///< Earliest submission of such a job.

    constexpr auto StateNames = makeNameTable<FleetJobState>({{FleetJobState::Queued, "queued"},
                                                              {FleetJobState::Running, "running"},
                                                              {FleetJobState::Completed, "completed"},
                                                              {FleetJobState::Failed, "failed"},
                                                              {FleetJobState::Cancelled, "cancelled"}});

    std::string formatJobId(std::uint64_t number)
    {
        std::ostringstream id;
        id << std::hex << std::setw(16) << std::setfill('0') << number;
        return id.str();
    }

    /** Returns whether a status says that this submission has no effect. */
    bool isRefusalOfSubmission(unsigned status)
    {
        constexpr std::array Refusals{401U, 404U, 409U, 422U, 429U, 503U};
        return std::find(Refusals.begin(), Refusals.end(), status) != Refusals.end();
    }

    json::object writeStep(const StepSpec &step)
    {
        json::object body{{"count", step.taskCount}, {"cpu", step.request.cpuMillis}, {"memMb", step.request.memoryMb}, {"estimatedMs", step.estimate.ms}};
        if (!step.dependsOn.empty()) {
            body["dependsOn"] = json::array(step.dependsOn.begin(), step.dependsOn.end());
        }
        if (step.isCheckpointed) {
            body["checkpointed"] = true;
        }
        if (step.isLongRunning) {
            body["longRunning"] = true;
            body["targetMs"] = step.latencyTarget.ms;
        }
        if (step.usesSpareCapacity) {
            body["fills"] = true;
        }
        if (!step.image.empty()) {
            body["image"] = step.image;
        }
        return body;
    }

} // namespace

SoakCallers::SoakCallers(asio::io_context &loop,
                         const SoakSettings &soakSettings,
                         std::vector<std::string> entryAddresses,
                         const std::vector<std::string> &controlAddresses,
                         SoakManifests &soakManifests,
                         SoakChecks &soakChecks)
    : io(loop)
    , settings(soakSettings)
    , entries(std::move(entryAddresses))
    , controls(controlAddresses)
    , manifests(soakManifests)
    , checks(soakChecks)
    , client(soakClientSettings(loop), counters)
    , random{soakSettings.seed ^ 0xca11ULL}
    , crashRandom{soakSettings.seed ^ 0xf00dULL}
    , queueRandom{soakSettings.seed ^ 0x9e0eULL}
    , submitTimer(loop)
    , statusPollTimer(loop)
    , operatorTimer(loop)
{
}

void SoakCallers::start()
{
    if (this->settings.hasMovingQueue) {
        this->manifests.addMovingQueue();
    }
    this->putManifest(this->manifests.next(1), ManifestAttempts);
    this->armSubmit();
    this->armStatusPoll();
    this->armOperator();
    this->armCrashingJobs();
}

void SoakCallers::stopSubmitting()
{
    this->isSubmittingStopped = true;
    if (this->accountChecks != nullptr) {
        this->putManifest(this->manifests.next(1), ManifestAttempts);
    }
    for (const auto &[id, job] : this->checks.jobs) {
        if (job.spec.steps.front().isLongRunning && !job.finalState) {
            this->cancel(id, CancelAttempts);
        }
    }
}

bool SoakCallers::haveAllJobsEnded() const
{
    return std::all_of(this->checks.jobs.begin(), this->checks.jobs.end(), [](const auto &item) {
        return !item.second.isAccepted || item.second.finalState;
    });
}

bool SoakCallers::hasReadManifest() const
{
    return this->hasReadManifestSinceStop;
}

void SoakCallers::runAfter(Duration delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->io, std::chrono::milliseconds(delay.ms));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) {
        action();
    });
}

void SoakCallers::sendToEntry(const JobId &id, HttpRequest request, HttpDone done)
{
    if (this->accountChecks != nullptr) {
        const SoakCall call = this->accountChecks->accounts.drawCall(this->checks.jobs.at(id), request.method);
        addKey(request, call);
        done = [this, id, call, isSubmission = request.method == "POST", rest = std::move(done)](const HttpExchange &exchange) {
            const unsigned status = exchange.code == ResultCode::Ok ? exchange.response.status : 0;
            this->accountChecks->onAnswered(call, status);
            if (isSubmission) {
                this->accountChecks->onSubmissionAnswered(this->checks.jobs.at(id), call, status);
            }
            rest(exchange);
        };
    }
    request.headers.push_back({"Host", std::string(SoakManifests::QueueHost)});
    request.headers.push_back({"Content-Type", "application/json"});
    request.headers.push_back({"X-Deadline-Ms", std::to_string(CallTimeout.ms)});
    const std::string &entry = this->entries[this->random.below(this->entries.size())];
    const TimePoint sentAt = steadyNow();
    this->client.send(soakAddressOf(entry), std::move(request), {.timeout = CallTimeout}, [this, sentAt, done = std::move(done)](HttpExchange exchange) {
        this->checks.onCallEnded(SoakSender::Caller, sentAt, CallTimeout, exchange);
        done(std::move(exchange));
    });
}

void SoakCallers::sendToControl(HttpRequest request, HttpDone done)
{
    const std::string &control = this->controls[this->random.below(this->controls.size())];
    sendToLeader(this->client, control, std::move(request), ControlTimeout, std::move(done));
}

JobSpec SoakCallers::makeRandomJob()
{
    JobSpec spec;
    const auto kind = static_cast<int>(this->random.below(100));
    const auto variant = std::to_string(this->random.below(2));
    spec.payload = "job";
    StepSpec step;
    step.taskCount = 1 + static_cast<std::uint32_t>(this->random.below(6));
    step.request = {2'000 + static_cast<std::int64_t>(this->random.below(5'000)), 2'000, 0};
    step.estimate = {200 + static_cast<std::int64_t>(this->random.below(700))};
    if (kind < LongRunningPercent) {
        step.isLongRunning = true;
        step.latencyTarget = {20};
        step.image = "lasting-" + variant;
        spec.steps.push_back(step);
        return spec;
    }
    if (kind < LongRunningPercent + SpareCapacityPercent) {
        step.usesSpareCapacity = true;
        step.isCheckpointed = true;
        step.image = "filling-" + variant;
        step.estimate = step.estimate * 4;
    } else if (kind < LongRunningPercent + SpareCapacityPercent + FailingPercent) {
        spec.payload = "fails";
    }
    const std::uint64_t steps = 1 + this->random.below(3);
    for (std::uint32_t i = 0; i < steps; ++i) {
        step.dependsOn = i == 0 ? std::vector<std::uint32_t>() : std::vector<std::uint32_t>{i - 1};
        spec.steps.push_back(step);
    }
    return spec;
}

void SoakCallers::submitNext()
{
    const JobId id = formatJobId(this->random.next());
    this->checks.jobs[id].spec = this->makeRandomJob();
    if (this->settings.hasMovingQueue && this->queueRandom.below(2) == 0) {
        this->checks.jobs[id].queue = SoakManifests::MovingQueue;
    }
    if (this->accountChecks != nullptr) {
        this->accountChecks->accounts.assign(this->checks.jobs.at(id));
    }
    this->submit(id, SubmitAttempts);
}

SoakJob SoakCallers::makeCrashingJob()
{
    SoakJob job;
    const bool crashesAtOnce = this->crashRandom.below(2) == 0;
    job.crashesAfter = Duration{crashesAtOnce ? 0 : static_cast<std::int64_t>(this->crashRandom.below(CrashDelayRangeMs))};
    job.spec.payload = "crashes";
    StepSpec step;
    step.request = {2'000 + static_cast<std::int64_t>(this->crashRandom.below(5'000)), 2'000, 0};
    step.estimate = {static_cast<std::int64_t>(CrashDelayRangeMs + this->crashRandom.below(CrashDelayRangeMs))};
    step.usesSpareCapacity = this->crashRandom.below(3) == 0;
    const std::uint64_t steps = 1 + this->crashRandom.below(2);
    for (std::uint32_t i = 0; i < steps; ++i) {
        step.taskCount = 1 + static_cast<std::uint32_t>(this->crashRandom.below(3));
        step.dependsOn = i == 0 ? std::vector<std::uint32_t>() : std::vector<std::uint32_t>{i - 1};
        job.spec.steps.push_back(step);
    }
    return job;
}

void SoakCallers::submitCrashing()
{
    if (this->isSubmittingStopped || !this->hasManifest) {
        return;
    }
    const JobId id = formatJobId(this->crashRandom.next());
    this->checks.jobs[id] = this->makeCrashingJob();
    if (this->accountChecks != nullptr) {
        this->accountChecks->accounts.assign(this->checks.jobs.at(id));
    }
    this->submit(id, SubmitAttempts);
}

void SoakCallers::armCrashingJobs()
{
    constexpr std::uint64_t Percent = 100;
    if (!this->settings.hasFaults || this->settings.hasReachFaults || this->settings.hasSilentLinks || this->crashRandom.below(Percent) >= CrashingRunPercent) {
        return;
    }
    const std::uint64_t count = 1 + this->crashRandom.below(MaxCrashingJobs);
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto wait = static_cast<std::int64_t>(this->crashRandom.below(static_cast<std::uint64_t>(this->settings.faultTime.ms)));
        this->runAfter(CrashingJobDelay + Duration{wait}, [this] {
            this->submitCrashing();
        });
    }
}

void SoakCallers::submit(const JobId &id, int attemptsLeft)
{
    SoakJob &job = this->checks.jobs.at(id);
    // From now on tasks of the job may start, even before the response arrives.
    const bool mayBeAcceptedBefore = std::exchange(job.mayBeAccepted, true);
    json::array steps;
    for (const StepSpec &step : job.spec.steps) {
        steps.push_back(writeStep(step));
    }
    const json::object body{{"spec", job.spec.payload}, {"steps", std::move(steps)}};
    const TimePoint sentAt = steadyNow();
    HttpRequest request{"POST", job.queue + id, {}, json::serialize(body), {}};
    this->sendToEntry(id, std::move(request), [this, id, attemptsLeft, mayBeAcceptedBefore, sentAt](const HttpExchange &exchange) {
        SoakJob &later = this->checks.jobs.at(id);
        const unsigned status = exchange.code == ResultCode::Ok ? exchange.response.status : 0;
        if (status == 200) {
            ++this->accepted;
            if (attemptsLeft == SubmitAttempts) {
                this->acceptTimes.push_back((steadyNow() - sentAt).ms);
            }
            later.isAccepted = true;
            if (later.spec.steps.front().isLongRunning || static_cast<int>(this->random.below(100)) < CancelPercent) {
                const Duration delay{static_cast<std::int64_t>(this->random.below(later.spec.steps.front().isLongRunning ? 12'000 : 1'500))};
                this->runAfter(delay, [this, id] {
                    this->cancel(id, CancelAttempts);
                });
            }
            return;
        }
        const bool isRefusal = isRefusalOfSubmission(status) || !exchange.bytesSent;
        later.mayBeAccepted = mayBeAcceptedBefore || !isRefusal;
        this->refused += isRefusal ? 1 : 0;
        this->unanswered += isRefusal ? 0 : 1;
        if (attemptsLeft > 1 && !later.cancelSentAt) {
            this->runAfter(RetryDelay, [this, id, attemptsLeft] {
                this->submit(id, attemptsLeft - 1);
            });
        }
    });
}

void SoakCallers::queryState(const JobId &id)
{
    const TimePoint sentAt = steadyNow();
    this->sendToEntry(id, {"GET", this->checks.jobs.at(id).queue + id, {}, {}, {}}, [this, id, sentAt](const HttpExchange &exchange) {
        if (exchange.code != ResultCode::Ok) {
            return;
        }
        if (exchange.response.status == 410) {
            this->checks.onJobStateRead(id, std::nullopt, JobFailure::None, sentAt);
            return;
        }
        if (exchange.response.status == 200) {
            const json::object body = json::parse(exchange.response.body).as_object();
            const json::value *reason = body.if_contains("reason");
            const JobFailure failure = reason == nullptr ? JobFailure::None : JobFailureNames.valueOf(reason->as_string()).value_or(JobFailure::None);
            this->checks.onJobStateRead(id, StateNames.valueOf(body.at("state").as_string()), failure, sentAt);
        }
    });
}

void SoakCallers::cancel(const JobId &id, int attemptsLeft)
{
    SoakJob &job = this->checks.jobs.at(id);
    if (job.cancelAcknowledgedAt) {
        return;
    }
    job.cancelSentAt = job.cancelSentAt.value_or(steadyNow());
    this->sendToEntry(id, {"DELETE", job.queue + id, {}, {}, {}}, [this, id, attemptsLeft](const HttpExchange &exchange) {
        const unsigned status = exchange.code == ResultCode::Ok ? exchange.response.status : 0;
        if (status == 200 || status == 410) {
            SoakJob &later = this->checks.jobs.at(id);
            later.cancelAcknowledgedAt = later.cancelAcknowledgedAt.value_or(steadyNow());
            return;
        }
        if (attemptsLeft > 1) {
            this->runAfter(RetryDelay, [this, id, attemptsLeft] {
                this->cancel(id, attemptsLeft - 1);
            });
        }
    });
}

void SoakCallers::armSubmit()
{
    this->submitTimer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(1e6 / this->settings.jobsPerSecond)));
    this->submitTimer.async_wait([this](const boost::system::error_code &error) {
        if (error || this->isSubmittingStopped) {
            return;
        }
        if (this->hasManifest) {
            this->submitNext();
        }
        this->armSubmit();
    });
}

void SoakCallers::armStatusPoll()
{
    this->statusPollTimer.expires_after(StatusPollInterval);
    this->statusPollTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (const auto &[id, job] : this->checks.jobs) {
            if (job.isAccepted && (!job.finalState || this->random.below(20) == 0)) {
                this->queryState(id);
            }
        }
        this->armStatusPoll();
    });
}

void SoakCallers::armOperator()
{
    this->operatorTimer.expires_after(OperatorInterval);
    this->operatorTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        if (!this->isSubmittingStopped && this->hasManifest) {
            this->putManifest(this->manifests.next(1 + this->random.below(3)), ManifestAttempts);
        }
        this->readManifest();
        this->armOperator();
    });
}

void SoakCallers::putManifest(std::uint64_t number, int attemptsLeft)
{
    this->sendToControl({"PUT", "/config", {{"Content-Type", "application/json"}}, this->manifests.document(number), {}},
                        [this, number, attemptsLeft](const HttpExchange &exchange) {
                            const unsigned status = exchange.code == ResultCode::Ok ? exchange.response.status : 0;
                            if (status == 200) {
                                this->hasManifest = true;
                                this->checks.onManifestAcknowledged(number, steadyNow());
                                this->manifests.onAcknowledged(number, steadyNow());
                                return;
                            }
                            if (isRejection(status)) {
                                this->checks.addViolation("a valid manifest was rejected with HTTP status " + std::to_string(status));
                                return;
                            }
                            if (attemptsLeft > 1 || !this->hasManifest) {
                                this->runAfter(RetryDelay, [this, number, attemptsLeft] {
                                    this->putManifest(number, attemptsLeft - 1);
                                });
                            }
                        });
}

void SoakCallers::readManifest()
{
    const TimePoint sentAt = steadyNow();
    this->sendToControl({"GET", "/config", {}, {}, {}}, [this, sentAt](const HttpExchange &exchange) {
        if (exchange.code != ResultCode::Ok || exchange.response.status != 200) {
            return;
        }
        const json::object body = json::parse(exchange.response.body).as_object();
        const auto version = body.at("version").to_number<std::uint64_t>();
        this->checks.onManifestRead(version, sentAt);
        if (this->manifests.isInvalid(version)) {
            this->checks.addViolation("an invalid manifest is in force: version " + std::to_string(version));
        }
        this->hasReadManifestSinceStop = this->hasReadManifestSinceStop || this->isSubmittingStopped;
    });
}

} // namespace Filbertlanding
