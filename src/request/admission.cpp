/** @file admission.cpp Admission control of one service. */

#include "request/admission_base.h"

#include <algorithm>
#include <cmath>

namespace Filbertlanding {

namespace {

    using TeamIterator = std::map<TeamName, AdmissionQueue, std::less<>>::iterator;

    TeamShare findTeamShare(const AdmissionSettings &settings, const TeamName &team)
    {
        const auto found = settings.teams.find(team);
        return found == settings.teams.end() ? TeamShare{} : found->second;
    }

    bool isBelowConcurrencyLimit(const AdmissionState &state)
    {
        return static_cast<double>(state.running.size()) + 1 <= std::max<double>(state.concurrency.limit, 1);
    }

    Duration retryAfter(const AdmissionState &state)
    {
        constexpr double MinRetryAfterMs = 50; // The queue hardly changes in a shorter time, so an earlier retry would be refused too.
        return {static_cast<std::int64_t>(std::ceil(std::max(expectedQueueMs(state), MinRetryAfterMs)))};
    }

    void refuse(const AdmissionState &state, AdmissionResult &result, TicketId ticket, ResultCode code)
    {
        result.refused.push_back({ticket, code, retryAfter(state)});
    }

    /** Removes a request from the queue, so that it can no longer start from there. */
    void removeWaiting(AdmissionState &state, TicketId ticket)
    {
        const auto found = state.waiting.find(ticket);
        const auto &[team, deadline] = found->second;
        state.teams.find(team)->second.waiting.erase({deadline, ticket});
        state.waiting.erase(found);
    }

    void startRunning(AdmissionState &state, AdmissionResult &result, const TeamName &team, TicketId ticket, TimePoint now)
    {
        AdmissionQueue &queue = state.teams.find(team)->second;
        state.virtualTime = std::max(state.virtualTime, queue.virtualTime);
        queue.virtualTime += 1 / findTeamShare(state.settings, team).weight;
        ++queue.running;
        state.running.emplace(ticket, std::make_pair(team, now));
        result.run.push_back(ticket);
    }

    /** Returns the next team to serve: the lowest virtual time among the teams that have waiting requests and are below their quota. */
    TeamIterator nextTeam(AdmissionState &state)
    {
        TeamIterator best = state.teams.end();
        for (TeamIterator it = state.teams.begin(); it != state.teams.end(); ++it) {
            const AdmissionQueue &queue = it->second;
            if (queue.waiting.empty() || queue.running >= findTeamShare(state.settings, it->first).quota) {
                continue;
            }
            if (best == state.teams.end() || queue.virtualTime < best->second.virtualTime) {
                best = it;
            }
        }
        return best;
    }

    /** Starts waiting requests while concurrency is below the limit. */
    void startWaiting(AdmissionState &state, AdmissionResult &result, TimePoint now)
    {
        while (isBelowConcurrencyLimit(state)) {
            const TeamIterator it = nextTeam(state);
            if (it == state.teams.end()) {
                return;
            }
            const auto [deadline, ticket] = *it->second.waiting.begin();
            removeWaiting(state, ticket);
            if (deadline <= now) {
                refuse(state, result, ticket, ResultCode::DeadlineExpired);
                continue;
            }
            startRunning(state, result, it->first, ticket, now);
        }
    }

    /** Returns a queue length divided by the weight of its team. */
    double weightedQueueLength(const AdmissionState &state, const TeamName &team, double waiting)
    {
        return waiting / findTeamShare(state.settings, team).weight;
    }

    /**
     * Refuses the request with the latest deadline of the team whose queue is longest relative to its weight.
     * Does nothing if that is the team of the new request.
     * @return Whether a place in the queue became free.
     */
    bool evictFromLongestQueue(AdmissionState &state, AdmissionResult &result, const TeamName &requestingTeam)
    {
        const auto requester = state.teams.find(requestingTeam);
        const double requesterLength =
            weightedQueueLength(state, requestingTeam, 1.0 + (requester == state.teams.end() ? 0.0 : static_cast<double>(requester->second.waiting.size())));
        TeamIterator longest = state.teams.end();
        double longestLength = requesterLength;
        for (TeamIterator it = state.teams.begin(); it != state.teams.end(); ++it) {
            const double length = weightedQueueLength(state, it->first, static_cast<double>(it->second.waiting.size()));
            if (length > longestLength && it->first != requestingTeam) {
                longest = it;
                longestLength = length;
            }
        }
        if (longest == state.teams.end()) {
            return false;
        }
        const TicketId last = longest->second.waiting.rbegin()->second;
        removeWaiting(state, last);
        refuse(state, result, last, ResultCode::QueueFull);
        return true;
    }

    /** Returns the estimated delay before the request would start, in milliseconds; 0 while no latency is known. */
    double expectedStartMs(const AdmissionState &state, const AdmissionRequest &request)
    {
        if (state.concurrency.baselineMs == 0) {
            return 0;
        }
        const auto team = state.teams.find(request.team);
        double ahead = 0;
        double weights = findTeamShare(state.settings, request.team).weight;
        for (const auto &[name, queue] : state.teams) {
            weights += name != request.team && !queue.waiting.empty() ? findTeamShare(state.settings, name).weight : 0;
        }
        if (team != state.teams.end()) {
            const auto &waiting = team->second.waiting;
            ahead = static_cast<double>(std::distance(waiting.begin(), waiting.upper_bound({request.deadline, request.ticket})));
        }
        const double share = findTeamShare(state.settings, request.team).weight / weights;
        const double parallel = std::min<double>(std::max(state.concurrency.limit * share, 1.0), findTeamShare(state.settings, request.team).quota);
        return (ahead + 1) * state.concurrency.baselineMs / std::max(parallel, 1.0);
    }

    bool teamAllowed(const AdmissionState &state, const TeamName &team)
    {
        return state.settings.teams.empty() || state.settings.teams.contains(team);
    }

    /**
     * Removes a team without requests, unless its virtual time is more than one request ahead of that of the service.
     * Teams up to one request ahead are removed too; otherwise teams that send a single request would never be removed.
     */
    void removeIdleTeam(AdmissionState &state, const TeamName &team)
    {
        const auto found = state.teams.find(team);
        if (found == state.teams.end()) {
            return;
        }
        const AdmissionQueue &queue = found->second;
        if (queue.waiting.empty() && queue.running == 0 && queue.virtualTime <= state.virtualTime + 1 / findTeamShare(state.settings, team).weight) {
            state.teams.erase(found);
        }
    }

} // namespace

void addLatencySample(ConcurrencyLimit &limit, const AdmissionSettings &settings, double latencyMs, bool saturated)
{
    constexpr std::uint32_t SamplesPerAdjustment = 16;
    constexpr double RecentWeight = 0.2;
    // The baseline follows improvements quickly but rises slowly, so that overload does not become the new baseline.
    constexpr double BaselineDecreaseWeight = 0.1;
    constexpr double BaselineIncreaseWeight = 0.002;
    constexpr double ShrinkFactor = 0.9;
    const double sample = std::max(latencyMs, 0.001);
    if (limit.baselineMs == 0) {
        limit.baselineMs = sample;
        limit.recentMs = sample;
    }
    limit.recentMs += RecentWeight * (sample - limit.recentMs);
    limit.baselineMs += (sample < limit.baselineMs ? BaselineDecreaseWeight : BaselineIncreaseWeight) * (sample - limit.baselineMs);
    ++limit.samples;
    if (limit.samples < SamplesPerAdjustment) {
        return;
    }
    limit.samples = 0;
    if (limit.recentMs > settings.tolerance * limit.baselineMs) {
        limit.limit *= ShrinkFactor;
    } else if (saturated) {
        limit.limit += std::max(1.0, std::sqrt(limit.limit) / 4);
    }
    limit.limit = std::clamp<double>(limit.limit, settings.minLimit, settings.maxLimit);
}

AdmissionState makeAdmission(const AdmissionSettings &settings)
{
    AdmissionState state;
    state.settings = settings;
    state.concurrency.limit = std::clamp(settings.initialLimit, settings.minLimit, settings.maxLimit);
    return state;
}

AdmissionResult admit(AdmissionState &state, const AdmissionRequest &request, TimePoint now)
{
    AdmissionResult result;
    if (!teamAllowed(state, request.team)) {
        refuse(state, result, request.ticket, ResultCode::TeamUnknown);
        return result;
    }
    if (request.deadline <= now) {
        refuse(state, result, request.ticket, ResultCode::DeadlineExpired);
        return result;
    }
    const TeamShare share = findTeamShare(state.settings, request.team);
    const auto found = state.teams.find(request.team);
    const std::size_t waitingOfTeam = found == state.teams.end() ? 0 : found->second.waiting.size();
    const bool quotaUsed = (found == state.teams.end() ? 0 : found->second.running) >= share.quota;
    if (quotaUsed && waitingOfTeam >= share.quota) {
        refuse(state, result, request.ticket, ResultCode::QuotaExceeded);
        return result;
    }
    const bool startsNow = isBelowConcurrencyLimit(state) && !quotaUsed && waitingOfTeam == 0;
    const double startMs = startsNow ? 0 : expectedStartMs(state, request);
    const double neededMs = startMs + state.concurrency.baselineMs;
    if (static_cast<double>((request.deadline - now).ms) < neededMs) {
        refuse(state, result, request.ticket, ResultCode::DeadlineUnreachable);
        return result;
    }
    const bool full = !startsNow && state.waiting.size() >= state.settings.maxQueueLength;
    if (full && !evictFromLongestQueue(state, result, request.team)) {
        refuse(state, result, request.ticket, ResultCode::QueueFull);
        return result;
    }
    AdmissionQueue &queue = state.teams[request.team];
    if (queue.waiting.empty() && queue.running == 0) {
        // An idle team accumulates no credit for the time in which it sent no requests.
        queue.virtualTime = std::max(queue.virtualTime, state.virtualTime);
    }
    queue.waiting.emplace(request.deadline, request.ticket);
    state.waiting.emplace(request.ticket, std::make_pair(request.team, request.deadline));
    startWaiting(state, result, now);
    return result;
}

AdmissionResult finishRequest(AdmissionState &state, TicketId ticket, bool measured, TimePoint now)
{
    AdmissionResult result;
    const auto found = state.running.find(ticket);
    if (found == state.running.end()) {
        return result;
    }
    const TeamName team = found->second.first;
    const TimePoint startedAt = found->second.second;
    if (measured) {
        const bool saturated = static_cast<double>(state.running.size()) >= state.concurrency.limit / 2;
        addLatencySample(state.concurrency, state.settings, static_cast<double>((now - startedAt).ms), saturated);
    }
    state.running.erase(found);
    --state.teams.find(team)->second.running;
    startWaiting(state, result, now);
    removeIdleTeam(state, team);
    return result;
}

AdmissionResult admissionTick(AdmissionState &state, TimePoint now)
{
    AdmissionResult result;
    std::vector<TicketId> expired;
    for (const auto &[name, queue] : state.teams) {
        for (const auto &[deadline, ticket] : queue.waiting) {
            if (deadline > now) {
                break;
            }
            expired.push_back(ticket);
        }
    }
    for (const TicketId ticket : expired) {
        removeWaiting(state, ticket);
        refuse(state, result, ticket, ResultCode::DeadlineExpired);
    }
    startWaiting(state, result, now);
    return result;
}

bool cancelWaiting(AdmissionState &state, TicketId ticket)
{
    if (!state.waiting.contains(ticket)) {
        return false;
    }
    removeWaiting(state, ticket);
    return true;
}

AdmissionResult refuseWaiting(AdmissionState &state, ResultCode code)
{
    AdmissionResult result;
    while (!state.waiting.empty()) {
        const TicketId ticket = state.waiting.begin()->first;
        removeWaiting(state, ticket);
        refuse(state, result, ticket, code);
    }
    return result;
}

AdmissionResult changeSettings(AdmissionState &state, const AdmissionSettings &settings, TimePoint now)
{
    state.settings = settings;
    state.concurrency.limit = std::clamp<double>(state.concurrency.limit, settings.minLimit, settings.maxLimit);
    AdmissionResult result;
    startWaiting(state, result, now);
    return result;
}

double expectedQueueMs(const AdmissionState &state)
{
    if (isBelowConcurrencyLimit(state)) {
        return 0;
    }
    return (static_cast<double>(state.waiting.size()) + 1) * state.concurrency.baselineMs / std::max(state.concurrency.limit, 1.0);
}

Admission::Admission(const AdmissionSettings &settings)
    : state(makeAdmission(settings))
{
}

AdmissionResult Admission::admit(const AdmissionRequest &request, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return Filbertlanding::admit(this->state, request, now);
}

AdmissionResult Admission::finish(TicketId ticket, bool measured, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return finishRequest(this->state, ticket, measured, now);
}

AdmissionResult Admission::tick(TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return admissionTick(this->state, now);
}

bool Admission::cancelWaiting(TicketId ticket)
{
    const std::lock_guard lock(this->mutex);
    return Filbertlanding::cancelWaiting(this->state, ticket);
}

AdmissionResult Admission::refuseWaiting(ResultCode code)
{
    const std::lock_guard lock(this->mutex);
    return Filbertlanding::refuseWaiting(this->state, code);
}

AdmissionResult Admission::changeSettings(const AdmissionSettings &settings, TimePoint now)
{
    const std::lock_guard lock(this->mutex);
    return Filbertlanding::changeSettings(this->state, settings, now);
}

std::size_t Admission::waitingCount()
{
    const std::lock_guard lock(this->mutex);
    return this->state.waiting.size();
}

} // namespace Filbertlanding
