/** @file route_test.cpp Tests of routing, outlier ejection and connection health. */

#include "membership/worker_registry_func.h"
#include "request/connection_health.h"
#include "request/ejection_base.h"
#include "request/route_entries.h"
#include "request/route_func.h"
#include "test_seed.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>

using namespace Filbertlanding;

namespace {

constexpr const char *Service = "quote-desk";
constexpr TimePoint Now{100'000};

std::shared_ptr<WorkerEntry> makeEntry(const WorkerName &name, std::uint32_t capacity)
{
    auto entry = std::make_shared<WorkerEntry>();
    entry->worker = name;
    entry->service = Service;
    entry->slots.setCapacity(capacity);
    entry->leaseEndMs = Now.ms + 1000;
    return entry;
}

PeerRoute makePeer(const DaemonName &name, const ZoneName &zone, std::uint32_t inUse)
{
    PeerRoute peer{.daemon = name, .availabilityZone = zone, .slots = 10, .inUse = inUse, .receivedAt = Now, .entry = std::make_shared<PeerEntry>()};
    peer.entry->slots.setCapacity(3);
    return peer;
}

/** Creates a random table in which any target may be unusable for any reason. */
RoutingTable makeRandomTable(Random &random)
{
    RoutingTable table;
    table.availabilityZone = "bole";
    table.drained = random.below(8) == 0;
    ServiceRoutes &routes = table.services[Service];
    const std::size_t count = random.below(20);
    for (std::size_t i = 0; i < count; ++i) {
        const auto entry = makeEntry("stone-" + std::to_string(i), static_cast<std::uint32_t>(random.below(3)));
        entry->slots.tryAcquire();
        entry->leaving = random.below(3) == 0;
        entry->probation = random.below(3) == 0;
        entry->leaseEndMs = Now.ms + static_cast<std::int64_t>(random.below(3)) - 1;
        entry->ejectedUntilMs = Now.ms + static_cast<std::int64_t>(random.below(3)) - 1;
        routes.workers.push_back(entry);
    }
    for (std::size_t i = random.below(5); i > 0; --i) {
        PeerRoute peer = makePeer("daemon-" + std::to_string(i), random.below(2) == 0 ? "bole" : "piassa", static_cast<std::uint32_t>(random.below(11)));
        peer.drained = random.below(4) == 0;
        peer.stopping = random.below(4) == 0;
        peer.receivedAt = Now - Duration{static_cast<std::int64_t>(random.below(4000))};
        routes.peers.push_back(peer);
    }
    return table;
}

/** Independent implementation of the rule for own workers. */
bool isExpectedUsable(const WorkerEntry &entry, const RoutingTable &table)
{
    const bool owned = Now.ms < entry.leaseEndMs;
    const bool ejected = Now.ms < entry.ejectedUntilMs || (entry.probation && entry.slots.inUse() > 0);
    return !table.drained && owned && !ejected && !entry.leaving && entry.slots.inUse() < entry.slots.capacity();
}

/** Independent implementation of the rule for peers. */
bool isExpectedUsable(const PeerRoute &peer, const RoutingTable &table, const RouteRequest &request)
{
    const bool sameZone = peer.availabilityZone == table.availabilityZone;
    const bool alive = !peer.drained && !peer.stopping && (Now - peer.receivedAt).ms <= 2000;
    const bool loadAllows = sameZone ? peer.inUse * 100 < peer.slots * 95 : peer.inUse * 10 < peer.slots * 7;
    return !request.forwarded && alive && loadAllows && !(sameZone && table.drained);
}

template<class Targets, class Rule>
bool hasUsable(const Targets &targets, const Rule &rule)
{
    return std::any_of(targets.begin(), targets.end(), rule);
}

} // namespace

TEST_CASE("Every routing policy chooses only usable targets and finds one whenever there is one")
{
    // Guards against requests to a leaving, ejected or drained target, repeated forwarding, and a refusal although a target is free.
    CHECK(RoutePolicies::names() == std::vector<std::string>{"least-wait", "random"});
    for (const std::string &name : RoutePolicies::names()) {
        CHECK(rc::check("targets of " + name, [&](std::uint64_t seed) {
            Random random{seed};
            const RoutingTable table = makeRandomTable(random);
            const ServiceRoutes &routes = table.services.at(Service);
            const RouteRequest request{.service = Service, .forwarded = random.below(3) == 0, .tried = {}};
            const auto peerRule = [&](const ZoneName &zone) {
                return hasUsable(routes.peers, [&](const PeerRoute &peer) {
                    return (peer.availabilityZone == zone) && isExpectedUsable(peer, table, request);
                });
            };
            const bool own = hasUsable(routes.workers, [&](const auto &entry) {
                return isExpectedUsable(*entry, table);
            });
            RouteTarget expected = peerRule("piassa") ? RouteTarget::OtherZonePeer : RouteTarget::None;
            expected = peerRule("bole") ? RouteTarget::ZonePeer : expected;
            expected = own ? RouteTarget::OwnWorker : expected;

            const RouteDecision decision = routeRequest(table, {}, *RoutePolicies::find(name), request, random, Now);
            RC_ASSERT(decision.target == expected);
            RC_ASSERT((decision.code == ResultCode::Ok) == (expected != RouteTarget::None));
            if (expected == RouteTarget::OwnWorker) {
                const WorkerEntry &chosen = *decision.slot.worker();
                RC_ASSERT(!chosen.leaving && Now.ms < chosen.leaseEndMs && Now.ms >= chosen.ejectedUntilMs);
                RC_ASSERT(chosen.slots.inUse() <= chosen.slots.capacity());
            }
            for (const PeerRoute &peer : routes.peers) {
                RC_ASSERT(peer.daemon != decision.name || isExpectedUsable(peer, table, request));
            }
        }));
    }
}

TEST_CASE("A routing decision is formatted for the log with the number of excluded targets by reason")
{
    RoutingTable table;
    table.services[Service].workers = {makeEntry("stone-1", 1), makeEntry("stone-2", 1), makeEntry("stone-3", 1)};
    table.services[Service].workers[0]->leaving = true;
    table.services[Service].workers[1]->ejectedUntilMs = Now.ms + 1;
    table.services[Service].workers[2]->slots.tryAcquire();
    Random random{testSeed()};
    const RouteDecision decision = routeRequest(table, {}, *RoutePolicies::find("least-wait"), {.service = Service, .tried = {}}, random, Now);
    CHECK(describeDecision(decision) == "target=none name= candidates=3 first=0 second=0 ownerEpoch=0 code=NoWorker full=1 leaving=1 ejected=1");
    CHECK(routeRequest(table, {}, *RoutePolicies::find("random"), {.service = "tender", .tried = {}}, random, Now).code == ResultCode::ServiceUnknown);
}

TEST_CASE("least-wait avoids slow workers and workers that are slowed down by batch tasks")
{
    // Guards against a policy that ignores the latency estimate or the expected slowdown by batch tasks. The random policy is the baseline.
    std::map<std::string, int> slowChoices;
    for (const std::string &name : RoutePolicies::names()) {
        RoutingTable table;
        for (int i = 0; i < 10; ++i) {
            table.services[Service].workers.push_back(makeEntry("stone-" + std::to_string(i), 8));
            table.services[Service].workers.back()->latency.add(i == 0 ? 90 : 10);
            table.services[Service].workers.back()->batchSlowdownPermille = i == 1 ? 8000 : 0;
        }
        Random random{testSeed()};
        for (int i = 0; i < 1000; ++i) {
            const RouteDecision decision = routeRequest(table, {}, *RoutePolicies::find(name), {.service = Service, .tried = {}}, random, Now);
            slowChoices[name] += decision.name == "stone-0" || decision.name == "stone-1" ? 1 : 0;
        }
    }
    CHECK(slowChoices["random"] > 150);
    CHECK(slowChoices["least-wait"] < slowChoices["random"] / 4);
}

TEST_CASE("The latency estimate converges to the quantile, not to the mean")
{
    // Guards against an estimate that hides a slow tail. 15% of the samples take 100 ms, so the 90th percentile is 100 ms and the mean is 23.5 ms.
    Random random{testSeed()};
    LatencyEstimate estimate;
    CHECK_FALSE(estimate.hasSamples());
    for (int i = 0; i < 2000; ++i) {
        estimate.add(random.below(100) < 15 ? 100 : 10);
    }
    CHECK(estimate.quantileMs() > 60);
    for (int i = 0; i < 300; ++i) {
        estimate.add(10);
    }
    CHECK(estimate.quantileMs() < 20);
}

TEST_CASE("The entry of a worker is kept while requests are in flight")
{
    // Guards against counting the slots of running requests as free when a worker is lost and returns under the same epoch.
    RegistrySettings settings;
    settings.self = {"bole-1", "bole", "127.0.0.1", 4000};
    WorkerRegistry registry = makeWorkerRegistry(settings);
    WorkerReport report;
    report.worker = "stone-7";
    report.services = {{Service, 3, 1}};
    report.ownerEpoch = 1;
    report.acknowledged = handleReport(registry, report, TimePoint{0}).number;
    handleReport(registry, report, TimePoint{10});
    const WorkerRecord &record = *findWorker(registry, "stone-7");
    RouteEntries entries;
    CHECK(updateWorkerEntries(entries, record, TimePoint{10}));
    CHECK_FALSE(updateWorkerEntries(entries, record, TimePoint{10}));
    const auto table = buildRoutingTable(entries, "bole", false, {});
    const auto entry = table->services.at(Service).workers.front();
    // One of the three slots is in use under an earlier owner.
    CHECK(entry->slots.capacity() == 2);
    SlotRefusal refusal = SlotRefusal::None;
    SlotGuard slot = SlotGuard::acquireWorker(entry, TimePoint{10}, refusal);
    CHECK(slot);
    CHECK_FALSE(removeWorkerEntries(entries, "stone-7"));
    CHECK_FALSE(SlotGuard::acquireWorker(entry, TimePoint{10}, refusal));
    CHECK_FALSE(updateWorkerEntries(entries, record, TimePoint{10}));
    CHECK(entries.workers.begin()->second->slots.inUse() == 1);
    slot.release();
    CHECK(removeWorkerEntries(entries, "stone-7"));
}

TEST_CASE("At most half of the free slots of a peer are used between two of its load summaries")
{
    RouteEntries entries;
    const PeerSummary summary{.daemon = "piassa-1", .availabilityZone = "piassa", .receivedAt = Now, .services = {{Service, 10, 2, 5.0}}};
    updatePeerEntries(entries, summary);
    const auto table = buildRoutingTable(entries, "bole", false, {summary});
    Random random{testSeed()};
    std::vector<RouteDecision> decisions;
    do {
        decisions.push_back(routeRequest(*table, {}, *RoutePolicies::find("random"), {.service = Service, .tried = {}}, random, Now));
    } while (decisions.back().target == RouteTarget::OtherZonePeer);
    CHECK(decisions.size() == 5);
}

TEST_CASE("At most a third of the workers are ejected, and the ejection time doubles")
{
    // Guards against ejecting the whole capacity of a service when the service itself is at fault.
    CHECK(rc::check("the limit holds for any sequence of events", [](const std::vector<std::uint16_t> &steps, std::uint8_t countSeed) {
        EjectionState state;
        setWorkerCount(state, countSeed % 20, TimePoint{0});
        std::int64_t now = 0;
        for (const std::uint16_t step : steps) {
            now += step % 997;
            if (step % 7 == 0) {
                setWorkerCount(state, step % 20, TimePoint{now});
            } else if (step % 11 == 0) {
                ejectionTick(state, TimePoint{now});
            } else {
                for (int i = 0; i < 3; ++i) {
                    recordOutcome(state, "stone-" + std::to_string(step % 20), step % 5 == 0, TimePoint{now});
                }
            }
            const auto ejected = std::count_if(state.workers.begin(), state.workers.end(), [](const auto &entry) {
                return entry.second.ejected;
            });
            RC_ASSERT(static_cast<std::uint32_t>(ejected) == state.ejectedCount);
            RC_ASSERT(state.ejectedCount * 3 <= state.workerCount);
        }
    }));

    Ejection ejection;
    const std::vector<std::shared_ptr<WorkerEntry>> entries{makeEntry("stone-1", 4), makeEntry("stone-2", 4), makeEntry("stone-3", 4)};
    WorkerEntry &entry = *entries.front();
    ejection.tick(entries, TimePoint{0});
    for (int i = 0; i < 4; ++i) {
        ejection.record(entry, false, TimePoint{100});
    }
    CHECK(entry.ejectedUntilMs == 0);
    ejection.record(entry, false, TimePoint{100});
    CHECK(entry.ejectedUntilMs == 10'100);
    ejection.tick(entries, TimePoint{10'100});
    CHECK(entry.ejectedUntilMs == 0);
    CHECK(entry.probation);
    SUBCASE("one failure on probation ejects the worker again for twice the time")
    {
        ejection.record(entry, false, TimePoint{10'200});
        CHECK(entry.ejectedUntilMs == 30'200);
    }
    SUBCASE("one success ends the probation")
    {
        ejection.record(entry, true, TimePoint{10'200});
        CHECK_FALSE(entry.probation);
        ejection.record(entry, false, TimePoint{10'300});
        CHECK(entry.ejectedUntilMs == 0);
    }
}

TEST_CASE("A silent connection is detected without reporting a worker that is alive")
{
    const ConnectionSettings settings;
    ConnectionHealth health;
    connectionSent(health, TimePoint{0});
    CHECK_FALSE(isReusable(health));
    CHECK_FALSE(connectionTick(health, settings, TimePoint{1999}).openProbe);
    CHECK(connectionTick(health, settings, TimePoint{2000}).openProbe);
    SUBCASE("the probe fails: the worker is reported")
    {
        const ConnectionAction action = connectionProbeEnded(health, false);
        CHECK((action.close && action.reportTargetFailure));
    }
    SUBCASE("the probe times out: the worker is reported")
    {
        const ConnectionAction action = connectionTick(health, settings, TimePoint{3000});
        CHECK((action.close && action.reportTargetFailure));
    }
    SUBCASE("the probe is answered: the request may take until the response timeout, and the worker is not reported")
    {
        CHECK_FALSE(connectionProbeEnded(health, true).close);
        CHECK_FALSE(isReusable(health));
        CHECK_FALSE(connectionTick(health, settings, TimePoint{9999}).close);
        const ConnectionAction action = connectionTick(health, settings, TimePoint{10'000});
        CHECK((action.close && !action.reportTargetFailure));
    }
    SUBCASE("the response arrives: the connection can be reused")
    {
        connectionReceived(health, true, TimePoint{2500});
        CHECK(isReusable(health));
        CHECK(connectionTick(health, settings, TimePoint{3500}).sendHeartbeat);
        CHECK_FALSE(isReusable(health));
        SUBCASE("a connection with only a heartbeat pending is closed once a probe shows that the worker is alive")
        {
            CHECK(connectionTick(health, settings, TimePoint{5500}).openProbe);
            const ConnectionAction action = connectionProbeEnded(health, true);
            CHECK((action.close && !action.reportTargetFailure));
        }
    }
    SUBCASE("a request is abandoned: its late response must not reach the next caller")
    {
        CHECK(connectionRequestAbandoned(health).close);
        CHECK_FALSE(isReusable(health));
    }
    SUBCASE("unexpected data closes the connection")
    {
        connectionReceived(health, true, TimePoint{2500});
        CHECK(connectionReceived(health, false, TimePoint{2501}).close);
    }
}
