/** @file membership_test.cpp Tests of ownership leases and of the life cycle and quarantine of workers. */

#include "core/random.h"
#include "membership/owner_lease_grantor.h"
#include "membership/worker_registry_func.h"
#include "request/route_entries.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <deque>

using namespace Filbertlanding;

namespace {

constexpr std::uint32_t Slots = 4;
constexpr const char *Service = "quote-desk";

/** A clock that runs up to 0.5% fast or slow, so that two clocks drift apart by at most 1%. */
struct SkewedClock {
    std::int64_t offset = 0;
    std::int64_t driftPerTenThousand = 0;

    TimePoint at(std::int64_t realMs) const
    {
        return {this->offset + realMs + realMs * this->driftPerTenThousand / 10000};
    }
};

struct Message {
    std::int64_t dueAt = 0;
    std::size_t daemon = 0;
    WorkerReport report;
    ReportAnswer answer;
};

struct SimulatedRequest {
    std::int64_t dueAt = 0; ///< Arrival at the worker, end of the run, or arrival of the answer, depending on the stage.
    std::uint64_t ownerEpoch = 0;
    std::size_t daemon = 0;
    std::uint64_t process = 0;
    std::shared_ptr<SlotGuard> slot;
    int stage = 0; ///< 0: in transit to the worker, 1: running, 2: answer in transit to the daemon.
};

struct SimulatedDaemon {
    SkewedClock clock;
    WorkerRegistry registry;
    RouteEntries entries;
    std::uint64_t process = 0;
    std::int64_t pausedUntil = 0;
    std::deque<WorkerReport> inbox;
};

DaemonEndpoint endpoint(std::size_t index)
{
    return {"bole-" + std::to_string(index), "bole", "127.0.0.1", static_cast<std::uint16_t>(4000 + index)};
}

/** Simulates several daemons and one worker with lost, delayed and duplicated messages, pauses and restarts. */
struct Cluster {
    Random random;
    std::array<SimulatedDaemon, 3> daemons;
    SkewedClock workerClock;
    OwnerLeaseGrantor grantor;
    std::uint64_t workerProcess = 1;
    std::vector<Message> reports;
    std::vector<Message> answers;
    std::vector<SimulatedRequest> requests;
    std::int64_t now = 0;
    int owners = 0; ///< Number of steps in which a daemon owned the worker.
    int handled = 0; ///< Number of requests that ran.

    explicit Cluster(std::uint64_t seed)
        : random{seed}
    {
        for (std::size_t i = 0; i < 3; ++i) {
            this->daemons[i].clock = this->makeRandomClock();
            this->startDaemon(i);
        }
        this->workerClock = this->makeRandomClock();
        this->startWorker(Duration{0});
    }

    SkewedClock makeRandomClock()
    {
        return {static_cast<std::int64_t>(this->random.below(1'000'000)), static_cast<std::int64_t>(this->random.below(101)) - 50};
    }

    bool chance(std::uint64_t percent)
    {
        return this->random.below(100) < percent;
    }

    std::int64_t delay()
    {
        return static_cast<std::int64_t>(this->chance(10) ? this->random.below(9000) : this->random.below(60));
    }

    void startDaemon(std::size_t index)
    {
        SimulatedDaemon &daemon = this->daemons[index];
        RegistrySettings settings;
        settings.self = endpoint(index);
        settings.incarnation = ++daemon.process;
        settings.handOverAfter = Duration{8000};
        daemon.registry = makeWorkerRegistry(settings);
        setLiveDaemons(daemon.registry, {endpoint(0), endpoint(1), endpoint(2)});
        daemon.entries = RouteEntries{};
        daemon.inbox.clear();
    }

    void startWorker(Duration quiet)
    {
        LeaseGrantorSettings settings;
        settings.incarnation = this->workerProcess;
        settings.daemons = {endpoint(0), endpoint(1), endpoint(2)};
        settings.startupReportDelay = quiet;
        this->grantor = makeLeaseGrantor(settings, this->workerClock.at(this->now));
    }

    std::uint32_t inFlight(std::uint64_t belowEpoch = UINT64_MAX) const
    {
        return static_cast<std::uint32_t>(std::count_if(this->requests.begin(), this->requests.end(), [&](const SimulatedRequest &request) {
            return request.stage == 1 && request.ownerEpoch < belowEpoch;
        }));
    }

    void sendReport()
    {
        WorkerReport report;
        report.worker = "stone-7";
        report.availabilityZone = "bole";
        report.services = {{Service, Slots, this->inFlight(this->grantor.ownerEpoch)}};
        fillReport(this->grantor, report);
        const std::size_t target = this->grantor.target.port - 4000U;
        const int copies = this->chance(15) ? 0 : (this->chance(15) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            this->reports.push_back({this->now + this->delay(), target, report, {}});
        }
    }

    void handle(std::size_t index, const WorkerReport &report)
    {
        SimulatedDaemon &daemon = this->daemons[index];
        const TimePoint time = daemon.clock.at(this->now);
        const ReportAnswer answer = handleReport(daemon.registry, report, time);
        updateWorkerEntries(daemon.entries, *findWorker(daemon.registry, report.worker), time);
        const int copies = this->chance(15) ? 0 : (this->chance(15) ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            this->answers.push_back({this->now + this->delay(), index, {}, answer});
        }
    }

    void deliver()
    {
        for (std::size_t i = 0; i < this->reports.size(); ++i) {
            if (this->reports[i].dueAt <= this->now) {
                this->daemons[this->reports[i].daemon].inbox.push_back(this->reports[i].report);
            }
        }
        std::erase_if(this->reports, [&](const Message &message) {
            return message.dueAt <= this->now;
        });
        for (std::size_t i = 0; i < this->answers.size(); ++i) {
            if (this->answers[i].dueAt <= this->now) {
                leaseGrantorAnswer(this->grantor, this->answers[i].answer, this->workerClock.at(this->now));
            }
        }
        std::erase_if(this->answers, [&](const Message &message) {
            return message.dueAt <= this->now;
        });
    }

    void sendRequests(std::size_t index)
    {
        SimulatedDaemon &daemon = this->daemons[index];
        const auto found = daemon.entries.workers.find({"stone-7", Service});
        if (found == daemon.entries.workers.end() || !this->chance(60)) {
            return;
        }
        SlotRefusal refusal = SlotRefusal::None;
        const std::uint64_t ownerEpoch = found->second->ownerEpoch.load();
        auto slot = std::make_shared<SlotGuard>(SlotGuard::acquireWorker(found->second, daemon.clock.at(this->now), refusal));
        if (*slot) {
            this->requests.push_back({this->now + this->delay(), ownerEpoch, index, daemon.process, slot, 0});
        }
    }

    void moveRequests()
    {
        for (SimulatedRequest &request : this->requests) {
            if (request.dueAt > this->now) {
                continue;
            }
            ++request.stage;
            const bool refused = request.stage == 1 && !acceptsOwnerEpoch(this->grantor, request.ownerEpoch, this->workerClock.at(this->now));
            request.stage += refused ? 1 : 0;
            this->handled += request.stage == 1 ? 1 : 0;
            request.dueAt = this->now + (request.stage == 1 ? static_cast<std::int64_t>(this->random.below(6000)) : this->delay());
        }
        std::erase_if(this->requests, [](const SimulatedRequest &request) {
            return request.stage >= 3;
        });
    }

    void injectFaults()
    {
        const std::size_t index = this->random.below(this->daemons.size());
        if (this->random.below(200) == 0) {
            this->daemons[index].pausedUntil = this->now + static_cast<std::int64_t>(this->random.below(12000));
        }
        if (this->random.below(400) == 0) {
            // From here on, only the worker knows of the slots used by the ended process.
            this->startDaemon(index);
        }
        if (this->random.below(1500) == 0) {
            ++this->workerProcess;
            this->startWorker(withDrift(Duration{5000}));
            std::erase_if(this->requests, [](const SimulatedRequest &request) {
                return request.stage == 1;
            });
        }
    }

    void step()
    {
        this->now += 50;
        this->injectFaults();
        this->deliver();
        const LeaseGrantorAction action = leaseGrantorTick(this->grantor, this->workerClock.at(this->now));
        if (action.report) {
            this->sendReport();
        }
        for (std::size_t i = 0; i < this->daemons.size(); ++i) {
            SimulatedDaemon &daemon = this->daemons[i];
            if (this->now < daemon.pausedUntil) {
                continue;
            }
            // The tick may or may not run before the requests, since a resumed process may run anything first.
            if (this->chance(50)) {
                registryTick(daemon.registry, daemon.clock.at(this->now));
            }
            for (; !daemon.inbox.empty(); daemon.inbox.pop_front()) {
                this->handle(i, daemon.inbox.front());
            }
            this->sendRequests(i);
        }
        this->moveRequests();
    }

    int countOwners() const
    {
        return static_cast<int>(std::count_if(this->daemons.begin(), this->daemons.end(), [&](const SimulatedDaemon &daemon) {
            return ownsWorker(daemon.registry, "stone-7", daemon.clock.at(this->now));
        }));
    }
};

WorkerReport makeReport(std::uint64_t ownerEpoch, std::uint64_t sequence, std::uint64_t acknowledged)
{
    WorkerReport report;
    report.worker = "stone-7";
    report.incarnation = 1;
    report.availabilityZone = "bole";
    report.services = {{Service, Slots, 0}};
    report.sequence = sequence;
    report.ownerEpoch = ownerEpoch;
    report.acknowledged = acknowledged;
    report.ownerIncarnation = acknowledged == 0 ? 0 : 7;
    return report;
}

WorkerRegistry makeRegistry(std::size_t self)
{
    RegistrySettings settings;
    settings.self = endpoint(self);
    settings.incarnation = 7;
    return makeWorkerRegistry(settings);
}

WorkerState stateOf(const WorkerRegistry &registry)
{
    return findWorker(registry, "stone-7")->lifeCycle.state();
}

} // namespace

TEST_CASE("One worker never has two owners, and never more requests than slots")
{
    // Guards against a lease that outlasts the worker's grant, and against slots that are reused while requests of an earlier owner are in flight.
    int owned = 0;
    int handled = 0;
    const bool held = rc::check("lost, delayed and duplicated messages, pauses, restarts and clock drift", [&](std::uint64_t seed) {
        Cluster installation(seed);
        for (int i = 0; i < 6000; ++i) {
            installation.step();
            const int owners = installation.countOwners();
            RC_ASSERT(owners <= 1);
            RC_ASSERT(installation.inFlight() <= Slots);
            owned += owners;
        }
        handled += installation.handled;
    });
    CHECK(held);
    // The property would be vacuous if the worker were never owned.
    CHECK(owned > 100'000);
    CHECK(handled > 10'000);
}

TEST_CASE("A daemon owns a worker only after the worker has acknowledged an answer")
{
    WorkerRegistry registry = makeRegistry(0);
    const ReportAnswer first = handleReport(registry, makeReport(1, 1, 0), TimePoint{1000});
    CHECK(first.code == ResultCode::Ok);
    CHECK_FALSE(ownsWorker(registry, "stone-7", TimePoint{1000}));
    CHECK(stateOf(registry) == WorkerState::Announced);

    handleReport(registry, makeReport(1, 2, first.number), TimePoint{3000});
    CHECK(ownsWorker(registry, "stone-7", TimePoint{5999}));
    CHECK(stateOf(registry) == WorkerState::Healthy);

    SUBCASE("the lease starts with the answer, not with the report that acknowledges it")
    {
        CHECK_FALSE(ownsWorker(registry, "stone-7", TimePoint{6000}));
        registryTick(registry, TimePoint{6000});
        CHECK(stateOf(registry) == WorkerState::Gone);
    }
    SUBCASE("a report of an earlier epoch is refused")
    {
        handleReport(registry, makeReport(3, 3, 0), TimePoint{3500});
        CHECK(handleReport(registry, makeReport(1, 4, first.number), TimePoint{3600}).code == ResultCode::StaleOwner);
        CHECK_FALSE(ownsWorker(registry, "stone-7", TimePoint{3600}));
    }
    SUBCASE("a report that arrives out of order does not restore slots that the worker has removed")
    {
        WorkerReport fewer = makeReport(1, 4, first.number);
        fewer.services[0].slots = 1;
        handleReport(registry, fewer, TimePoint{3500});
        handleReport(registry, makeReport(1, 3, first.number), TimePoint{3600});
        CHECK(findWorker(registry, "stone-7")->lastReport.services[0].slots == 1);
    }
    SUBCASE("a silent worker becomes suspect and gets no requests")
    {
        const ReportAnswer second = handleReport(registry, makeReport(1, 3, 0), TimePoint{3100});
        handleReport(registry, makeReport(1, 4, second.number), TimePoint{3200});
        registryTick(registry, TimePoint{6200});
        CHECK(stateOf(registry) == WorkerState::Suspect);
        CHECK_FALSE(takesRequests(*findWorker(registry, "stone-7"), TimePoint{6200}));
        CHECK(ownsWorker(registry, "stone-7", TimePoint{6200}));
    }
    SUBCASE("a worker that is leaving by its own report or by intent gets no requests")
    {
        WorkerReport leaving = makeReport(1, 3, first.number);
        leaving.leaving = true;
        handleReport(registry, leaving, TimePoint{3500});
        CHECK(stateOf(registry) == WorkerState::Leaving);
        handleReport(registry, makeReport(1, 4, first.number), TimePoint{3600});
        CHECK(stateOf(registry) == WorkerState::Healthy);
        setLeavingWorkers(registry, {"stone-7"});
        CHECK_FALSE(takesRequests(*findWorker(registry, "stone-7"), TimePoint{3600}));
    }
    SUBCASE("a daemon that shuts down redirects the worker to another owner and releases it permanently")
    {
        setLiveDaemons(registry, {endpoint(0), endpoint(1)});
        startHandOver(registry);
        const ReportAnswer answer = handleReport(registry, makeReport(1, 3, first.number), TimePoint{3500});
        CHECK(answer.code == ResultCode::NotOwner);
        CHECK(answer.ownerPort == endpoint(1).port);
        CHECK_FALSE(ownsWorker(registry, "stone-7", TimePoint{3500}));
        // The first answer may arrive late. A lease granted in the meantime would overlap with that of the next owner.
        CHECK(handleReport(registry, makeReport(1, 4, first.number), TimePoint{3600}).code == ResultCode::NotOwner);
        CHECK_FALSE(ownsWorker(registry, "stone-7", TimePoint{3600}));
    }
}

TEST_CASE("A fast worker and a slow daemon agree on the end of the lease")
{
    // Guards against a worker that changes its owner while the lease has not ended yet on the slower clock of the daemon.
    const SkewedClock slow{0, -50};
    const SkewedClock fast{0, 50};
    WorkerRegistry registry = makeRegistry(0);
    LeaseGrantorSettings settings;
    settings.incarnation = 1;
    settings.daemons = {endpoint(0), endpoint(1)};
    settings.startupReportDelay = Duration{0};
    OwnerLeaseGrantor grantor = makeLeaseGrantor(settings, fast.at(0));
    WorkerReport report = makeReport(0, 0, 0);
    std::int64_t lastOwned = 0;
    std::int64_t changedAt = 0;
    const std::uint64_t firstEpoch = grantor.ownerEpoch;
    for (std::int64_t real = 0; real < 20'000; ++real) {
        const bool due = leaseGrantorTick(grantor, fast.at(real)).report;
        changedAt = changedAt == 0 && grantor.ownerEpoch != firstEpoch ? real : changedAt;
        // The daemon becomes unreachable after ten seconds, just after an acknowledgement.
        if (due && real < 10'000) {
            fillReport(grantor, report);
            leaseGrantorAnswer(grantor, handleReport(registry, report, slow.at(real)), fast.at(real));
            fillReport(grantor, report);
            handleReport(registry, report, slow.at(real));
        }
        lastOwned = ownsWorker(registry, "stone-7", slow.at(real)) ? real : lastOwned;
    }
    CHECK(lastOwned > 10'000);
    CHECK(changedAt > lastOwned);
    CHECK(changedAt < 16'000);
}

TEST_CASE("Workers are handed over to their preferred owner, but not while a batch task runs on them")
{
    // Guards against one daemon that keeps all workers after the others have returned, and against unnecessary handovers.
    const std::vector<DaemonEndpoint> daemons{endpoint(0), endpoint(1), endpoint(2)};
    const std::size_t other = preferredOwner(daemons, "stone-7", "bole")->port == 4000 ? 1 : 0;
    WorkerRegistry registry = makeRegistry(other);
    setLiveDaemons(registry, daemons);
    const ReportAnswer first = handleReport(registry, makeReport(1, 1, 0), TimePoint{0});
    CHECK(handleReport(registry, makeReport(1, 2, first.number), TimePoint{29'999}).code == ResultCode::Ok);
    setBatchTasks(registry, "stone-7", 1);
    CHECK(handleReport(registry, makeReport(1, 3, first.number), TimePoint{30'000}).code == ResultCode::Ok);
    setBatchTasks(registry, "stone-7", 0);
    CHECK(handleReport(registry, makeReport(1, 4, first.number), TimePoint{30'001}).code == ResultCode::NotOwner);

    SUBCASE("a released owner epoch is never owned again")
    {
        // The answer that released it may arrive late, when a new lease would already have started.
        setBatchTasks(registry, "stone-7", 1);
        CHECK(handleReport(registry, makeReport(1, 5, first.number), TimePoint{30'100}).code == ResultCode::NotOwner);
    }
    SUBCASE("a worker that returns immediately is kept for twice as long")
    {
        handleReport(registry, makeReport(3, 5, 0), TimePoint{36'000});
        CHECK(handleReport(registry, makeReport(3, 6, 0), TimePoint{95'999}).code == ResultCode::Ok);
        CHECK(handleReport(registry, makeReport(3, 7, 0), TimePoint{96'000}).code == ResultCode::NotOwner);
    }
}

TEST_CASE("A worker on which several different jobs fail is quarantined and then put on probation")
{
    WorkerRegistry registry = makeRegistry(0);
    const ReportAnswer first = handleReport(registry, makeReport(1, 1, 0), TimePoint{0});
    ReportAnswer answer = handleReport(registry, makeReport(1, 2, first.number), TimePoint{10});
    const WorkerRecord &record = *findWorker(registry, "stone-7");
    for (int i = 0; i < 5; ++i) {
        recordWorkerOutcome(registry, "stone-7", "survey-1", false, TimePoint{20});
    }
    // A job that fails repeatedly may be at fault itself.
    CHECK(allowedBatchTasks(record, TimePoint{20}) == UINT32_MAX);
    recordWorkerOutcome(registry, "stone-7", "survey-2", false, TimePoint{30});
    recordWorkerOutcome(registry, "stone-7", "survey-3", false, TimePoint{40});
    CHECK(stateOf(registry) == WorkerState::Quarantined);
    CHECK(allowedBatchTasks(record, TimePoint{40}) == 0);
    CHECK(takesRequests(record, TimePoint{40}));

    answer = handleReport(registry, makeReport(1, 3, answer.number), TimePoint{4000});
    registryTick(registry, TimePoint{60'039});
    CHECK(record.health.quarantined);
    registryTick(registry, TimePoint{60'040});
    answer = handleReport(registry, makeReport(1, 4, 0), TimePoint{60'050});
    handleReport(registry, makeReport(1, 5, answer.number), TimePoint{60'060});
    CHECK(allowedBatchTasks(record, TimePoint{60'060}) == 1);

    SUBCASE("one failure on probation doubles the quarantine")
    {
        recordWorkerOutcome(registry, "stone-7", "survey-4", false, TimePoint{60'100});
        CHECK(record.health.quarantinedUntil == TimePoint{180'100});
    }
    SUBCASE("one success ends the probation")
    {
        recordWorkerOutcome(registry, "stone-7", "survey-4", true, TimePoint{60'100});
        CHECK(allowedBatchTasks(record, TimePoint{60'100}) == UINT32_MAX);
    }
    SUBCASE("a fault of all workers quarantines at most a third of them")
    {
        for (int worker = 0; worker < 8; ++worker) {
            WorkerReport report = makeReport(1, 1, 0);
            report.worker = "stone-1" + std::to_string(worker);
            handleReport(registry, report, TimePoint{60'200});
            for (int job = 0; job < 4; ++job) {
                recordWorkerOutcome(registry, report.worker, "survey-" + std::to_string(job), false, TimePoint{60'300});
            }
        }
        CHECK(registry.quarantined == 3);
    }
}
