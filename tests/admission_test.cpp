/** @file admission_test.cpp Tests of admission control, the retry budget and the retry decision. */

#include "core/random.h"
#include "request/admission_base.h"
#include "request/retry_budget_base.h"
#include "request/retry_decision.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <atomic>
#include <thread>

using namespace Filbertlanding;

namespace {

const std::vector<TeamName> Teams{"survey", "tender", "wells"};

AdmissionSettings makeSettings()
{
    AdmissionSettings settings;
    settings.maxQueueLength = 12;
    settings.minLimit = 2;
    settings.initialLimit = 4;
    settings.maxLimit = 8;
    settings.teams = {{"survey", {1, 2}}, {"tender", {3, 100}}, {"wells", {1, 5}}};
    return settings;
}

/** Reference model that tracks the expected state of each request. */
struct AdmissionModel {
    AdmissionState state = makeAdmission(makeSettings());
    std::map<TicketId, AdmissionRequest> waiting;
    std::map<TicketId, TeamName> running;
    std::set<TicketId> ended;
    TimePoint now{1000};
    TicketId next = 1;

    /** Returns whether a request of the same team with an earlier deadline is waiting. */
    bool overtakes(const AdmissionRequest &request) const
    {
        return std::any_of(this->waiting.begin(), this->waiting.end(), [&](const auto &entry) {
            return entry.second.team == request.team && entry.second.deadline < request.deadline;
        });
    }

    void take(const AdmissionResult &result)
    {
        for (const AdmissionRefusal &refusal : result.refused) {
            RC_ASSERT(this->waiting.erase(refusal.ticket) == 1U);
            RC_ASSERT(!this->running.contains(refusal.ticket));
            RC_ASSERT(isRefusal(refusal.code));
            RC_ASSERT(refusal.retryAfter.ms > 0);
            RC_ASSERT(this->ended.insert(refusal.ticket).second);
        }
        for (const TicketId ticket : result.run) {
            RC_ASSERT(this->waiting.contains(ticket));
            const AdmissionRequest request = this->waiting.at(ticket);
            this->waiting.erase(ticket);
            RC_ASSERT(!this->overtakes(request));
            RC_ASSERT(request.deadline > this->now);
            this->running.emplace(ticket, request.team);
        }
    }

    void check() const
    {
        RC_ASSERT(this->waiting.size() == this->state.waiting.size());
        RC_ASSERT(this->waiting.size() <= 12U);
        RC_ASSERT(this->running.size() <= 8U);
        for (const TeamName &team : Teams) {
            const auto count = std::count_if(this->running.begin(), this->running.end(), [&](const auto &entry) {
                return entry.second == team;
            });
            RC_ASSERT(static_cast<std::uint32_t>(count) <= this->state.settings.teams.at(team).quota);
        }
    }

    void step(Random &random)
    {
        this->now = this->now + Duration{static_cast<std::int64_t>(random.below(20))};
        const std::uint64_t kind = random.below(10);
        if (kind < 5) {
            const AdmissionRequest request{this->next++, Teams[random.below(3)], this->now + Duration{static_cast<std::int64_t>(random.below(300))}};
            this->waiting.emplace(request.ticket, request);
            this->take(admit(this->state, request, this->now));
        } else if (kind < 8 && !this->running.empty()) {
            const TicketId ticket = std::next(this->running.begin(), static_cast<std::ptrdiff_t>(random.below(this->running.size())))->first;
            this->running.erase(ticket);
            this->ended.insert(ticket);
            this->take(finishRequest(this->state, ticket, random.below(2) == 0, this->now));
        } else if (kind == 8) {
            this->take(admissionTick(this->state, this->now));
        } else if (!this->waiting.empty()) {
            const TicketId ticket = this->waiting.begin()->first;
            RC_ASSERT(Filbertlanding::cancelWaiting(this->state, ticket));
            this->waiting.erase(ticket);
            RC_ASSERT(!Filbertlanding::cancelWaiting(this->state, ticket));
        }
    }
};

/** Creates a service without quotas whose concurrency limit is reached, so that further requests wait. */
AdmissionState makeSaturatedAdmission(double baselineMs)
{
    AdmissionSettings settings;
    settings.initialLimit = 4;
    settings.teams = {{"survey", {1, 1000}}, {"tender", {3, 1000}}};
    AdmissionState state = makeAdmission(settings);
    for (TicketId ticket = 1; ticket <= 4; ++ticket) {
        admit(state, {ticket, "survey", TimePoint{100'000}}, TimePoint{0});
    }
    state.concurrency.baselineMs = baselineMs;
    return state;
}

} // namespace

TEST_CASE("A request runs or is refused, never both, in order of deadlines and within quotas")
{
    // Guards against refusing a request that runs, and against a team that exceeds its quota.
    CHECK(rc::check("any order of requests, completions, ticks and cancellations", [](std::uint64_t seed) {
        Random random{seed};
        AdmissionModel model;
        for (int i = 0; i < 400; ++i) {
            model.step(random);
            model.check();
        }
        model.take(refuseWaiting(model.state, ResultCode::Draining));
        RC_ASSERT(model.waiting.empty());
    }));
}

TEST_CASE("Admission refuses early and shares fairly")
{
    SUBCASE("a request that cannot meet its deadline is refused immediately, any other waits")
    {
        AdmissionState state = makeSaturatedAdmission(100);
        const AdmissionResult late = admit(state, {10, "survey", TimePoint{110}}, TimePoint{0});
        CHECK(late.refused.at(0).code == ResultCode::DeadlineUnreachable);
        CHECK(state.waiting.empty());
        CHECK(admit(state, {11, "survey", TimePoint{500}}, TimePoint{0}).refused.empty());
        CHECK(state.waiting.size() == 1);
    }
    SUBCASE("requests of teams start in proportion to the weights, 1 to 3")
    {
        AdmissionState state = makeSaturatedAdmission(0);
        TicketId next = 10;
        for (int i = 0; i < 60; ++i) {
            admit(state, {next++, "survey", TimePoint{100'000}}, TimePoint{0});
            admit(state, {next++, "tender", TimePoint{100'000}}, TimePoint{0});
        }
        int tender = 0;
        for (int i = 0; i < 60; ++i) {
            const TicketId ended = state.running.begin()->first;
            for (const TicketId ticket : finishRequest(state, ended, false, TimePoint{1}).run) {
                tender += ticket % 2 == 1 ? 1 : 0;
            }
        }
        CHECK(tender >= 44);
        CHECK(tender <= 50);
    }
    SUBCASE("in a full queue, requests of the team with the longest queue are refused in favour of another team, not vice versa")
    {
        AdmissionState state = makeSaturatedAdmission(0);
        for (TicketId ticket = 10; ticket < 210; ++ticket) {
            admit(state, {ticket, "survey", TimePoint{100'000}}, TimePoint{0});
        }
        const AdmissionResult mine = admit(state, {300, "survey", TimePoint{50'000}}, TimePoint{0});
        CHECK(mine.refused.at(0).ticket == 300);
        const AdmissionResult other = admit(state, {301, "tender", TimePoint{50'000}}, TimePoint{0});
        CHECK(other.refused.at(0).ticket == 209);
        CHECK(state.waiting.contains(301));
    }
    SUBCASE("an unknown team and an exhausted quota are refused with their own result codes")
    {
        AdmissionState state = makeAdmission(makeSettings());
        CHECK(admit(state, {1, "stranger", TimePoint{100}}, TimePoint{0}).refused.at(0).code == ResultCode::TeamUnknown);
        for (TicketId ticket = 2; ticket <= 5; ++ticket) {
            CHECK(admit(state, {ticket, "survey", TimePoint{100}}, TimePoint{0}).refused.empty());
        }
        CHECK(admit(state, {6, "survey", TimePoint{100}}, TimePoint{0}).refused.at(0).code == ResultCode::QuotaExceeded);
    }
    SUBCASE("the concurrency limit decreases when latency rises and recovers afterwards")
    {
        const AdmissionSettings settings;
        ConcurrencyLimit limit{.limit = 64};
        for (int i = 0; i < 200; ++i) {
            addLatencySample(limit, settings, 10, true);
        }
        const double before = limit.limit;
        CHECK(before > 64);
        for (int i = 0; i < 200; ++i) {
            addLatencySample(limit, settings, 80, true);
        }
        CHECK(limit.limit < before / 2);
        CHECK(limit.limit >= settings.minLimit);
        const double after = limit.limit;
        for (int i = 0; i < 200; ++i) {
            addLatencySample(limit, settings, 10, true);
        }
        CHECK(limit.limit > after);
    }
    SUBCASE("teams that sent a single request are removed")
    {
        AdmissionState state = makeAdmission({});
        for (TicketId ticket = 1; ticket <= 1000; ++ticket) {
            admit(state, {ticket, "team-" + std::to_string(ticket), TimePoint{100}}, TimePoint{0});
            finishRequest(state, ticket, false, TimePoint{0});
        }
        CHECK(state.teams.empty());
    }
}

TEST_CASE("Several threads share one admission control")
{
    // Guards against exceeding the concurrency limit through a data race. Also run under the thread sanitizer.
    AdmissionSettings settings;
    settings.initialLimit = settings.maxLimit = settings.minLimit = 4;
    Admission admission(settings);
    std::atomic<int> running{0};
    std::atomic<int> violations{0};
    std::atomic<int> ended{0};
    const auto work = [&](TicketId first) {
        std::vector<TicketId> mine;
        const auto begin = [&](const AdmissionResult &result) {
            for (const TicketId ticket : result.run) {
                violations += running.fetch_add(1) >= 4 ? 1 : 0;
                mine.push_back(ticket);
            }
            ended += static_cast<int>(result.refused.size());
        };
        for (TicketId i = 0; i < 500; ++i) {
            begin(admission.admit({first + i, "survey", TimePoint{1000}}, TimePoint{0}));
            while (!mine.empty()) {
                const TicketId ticket = mine.back();
                mine.pop_back();
                running.fetch_sub(1);
                ++ended;
                begin(admission.finish(ticket, true, TimePoint{0}));
            }
        }
    };
    std::vector<std::thread> threads;
    for (TicketId i = 0; i < 4; ++i) {
        threads.emplace_back(work, i * 1000);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(violations == 0);
    CHECK(ended == 2000);
    CHECK(admission.waitingCount() == 0);
}

TEST_CASE("Retries are limited to a tenth of the traffic, or to ten per second")
{
    // Guards against retry storms, in which retries multiply the load of a service that is already failing.
    CHECK(rc::check("every second of any traffic", [](std::uint64_t seed) {
        Random random{seed};
        RetryBudgetState state;
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> retries;
        std::int64_t now = 0;
        const std::uint64_t pace = 1 + random.below(30);
        for (int i = 0; i < 4000; ++i) {
            now += static_cast<std::int64_t>(random.below(pace));
            countRequest(state, TimePoint{now});
            requests.push_back(now);
            if (tryAcquireRetry(state, {}, TimePoint{now})) {
                retries.push_back(now);
            }
        }
        std::size_t first = 0;
        for (std::size_t i = 0; i < retries.size(); ++i) {
            while (retries[i] - retries[first] >= 1000) {
                ++first;
            }
            const auto counted =
                std::upper_bound(requests.begin(), requests.end(), retries[i]) - std::lower_bound(requests.begin(), requests.end(), retries[i] - 1100);
            const double allowed = std::max(10.0, 0.1 * static_cast<double>(counted));
            RC_ASSERT(static_cast<double>(i - first + 1) <= allowed);
        }
        // The minimum budget must actually be granted: at least nine retries in each second with more demand.
        RC_ASSERT(static_cast<std::int64_t>(retries.size()) >= now / 1100 * 10);
    }));
}

TEST_CASE("A request is retried only if that cannot run it twice or if it is repeatable")
{
    // Guards against running a non-repeatable request twice, and against telling a caller "not run" for a request that may have run.
    for (int bits = 0; bits < 8; ++bits) {
        FailedAttempt attempt{.code = ResultCode::ConnectionClosed, .deadline = TimePoint{1000}, .expectedMs = 50};
        attempt.byteSent = (bits & 1) != 0;
        attempt.refusedBeforeExecution = (bits & 2) != 0;
        attempt.repeatable = (bits & 4) != 0;
        const bool mayHaveRun = attempt.byteSent && !attempt.refusedBeforeExecution;
        CHECK(decideRetry(attempt, TimePoint{0}).mayRetry == (!mayHaveRun || attempt.repeatable));
        CHECK(isRefusal(decideRetry(attempt, TimePoint{0}).code) == !mayHaveRun);
        CHECK_FALSE(decideRetry(attempt, TimePoint{950}).mayRetry);
        attempt.attempts = MaxAttempts;
        CHECK_FALSE(decideRetry(attempt, TimePoint{0}).mayRetry);
    }
    const FailedAttempt failed{.code = ResultCode::WorkerFailed, .byteSent = true, .deadline = TimePoint{1000}};
    CHECK(decideRetry(failed, TimePoint{0}).code == ResultCode::WorkerFailed);
}
