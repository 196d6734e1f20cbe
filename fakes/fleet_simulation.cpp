/** @file fleet_simulation.cpp Discrete-event simulation of a fleet around the scheduler. */

#include "fakes/fleet_simulation.h"

#include "account/api_key.h"

#include <utility>

namespace Filbertlanding {

namespace {

    constexpr Duration Step{5}; ///< Resolution of the simulated time.
    constexpr Duration TickInterval{20}; ///< Tick interval of the scheduler in the daemon.
    constexpr Duration ReportInterval{1'000};
    constexpr Duration LeaderLease{600}; ///< Lease of a reachable leader, renewed with each tick.
    const ServiceName Service = "quote-desk";

    /** Makes workers that have restarted available to all tasks. */
    void cancelReservations(FleetScheduler &scheduler)
    {
        for (auto &[number, session] : scheduler.sessions) {
            session.reservedUntil = {};
        }
    }

} // namespace

JobSpec oneStepJob(std::uint32_t tasks, Resources request, Duration length)
{
    JobSpec spec;
    StepSpec step;
    step.taskCount = tasks;
    step.request = request;
    step.estimate = length;
    spec.steps.push_back(step);
    return spec;
}

FleetSimulation::FleetSimulation(const FleetSimulationSettings &simulationSettings)
    : random{simulationSettings.seed}
    , settings(simulationSettings)
{
    FleetManifest manifest;
    manifest.version = 1;
    manifest.services.push_back({Service, this->settings.workersEnforceCapacity, false});
    QueueConfig queue;
    queue.name = "surveys";
    queue.host = "host.example";
    queue.pathPrefix = "/surveys/";
    queue.service = Service;
    queue.maxAttempts = 3;
    queue.stretchPerMille = 1500;
    queue.latencyAllowance = {500};
    manifest.queues.push_back(queue);
    this->apply(PutManifest{manifest});
    for (int i = 0; i < this->settings.workers; ++i) {
        this->addWorker("w" + std::to_string(i), i);
    }
    this->changeLeader({0});
    for (const auto &[name, worker] : this->workers) {
        this->report(name, std::nullopt);
    }
}

Duration FleetSimulation::randomUpTo(Duration longest)
{
    return longest.ms == 0 ? Duration{} : Duration{static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(longest.ms) + 1))};
}

WallTime FleetSimulation::wall() const
{
    return {1'700'000'000'000 + this->now.ms};
}

void FleetSimulation::at(TimePoint when, std::function<void()> action)
{
    this->events.emplace(when.ms, Event{std::move(action)});
}

void FleetSimulation::addWorker(const WorkerName &name, int index)
{
    WorkerProfile profile;
    profile.worker = name;
    profile.startedAtMs = this->wall().ms;
    profile.address = "10.0.0." + std::to_string(index + 1) + ":80";
    profile.availabilityZone = "z" + std::to_string(index % 3);
    profile.service = Service;
    profile.capacity = this->settings.capacity;
    profile.rack = "r" + std::to_string(index / this->settings.workersPerRack);
    profile.labels = {"a", profile.rack};
    const double rate = 0.98 + 0.02 * this->random.unit();
    auto worker = std::make_unique<ModelWorker>(profile, rate, this->settings.interference);
    worker->started = [this, name](const TaskName &task, std::uint32_t run) {
        this->onStarted(name, task, run);
    };
    worker->ended = [this, name](const TaskName &task, std::uint32_t run, RunOutcome end) {
        this->onEnded(name, task, run, end);
    };
    worker->onEndDiscarded = [this, name](const ListedEnd &end) {
        this->onEndDiscarded(name, end);
    };
    worker->enforcesCapacity = this->settings.workersEnforceCapacity;
    this->workers[name] = std::move(worker);
    this->formerCapacities.erase(name);
    this->reusedAddresses.erase(name);
}

ModelTask FleetSimulation::modelTask(const TaskName &task) const
{
    ModelTask model;
    const auto spec = this->specs.find(task.job);
    if (spec == this->specs.end()) {
        return model;
    }
    const StepSpec &step = spec->second.steps.at(task.step);
    model.length = {static_cast<std::int64_t>(static_cast<double>(step.estimate.ms) * this->runTimeFactors.at(task.job))};
    model.isLongRunning = step.isLongRunning;
    model.isCheckpointed = step.isCheckpointed;
    model.usesSpareCapacity = step.usesSpareCapacity;
    model.request = step.request;
    model.image = step.image;
    model.latencyTarget = step.latencyTarget;
    model.fails = spec->second.payload == "fails";
    return model;
}

void FleetSimulation::submit(const JobId &id, const JobSpec &spec, double runTimeFactor, const AccountName &account)
{
    this->specs[id] = spec;
    this->runTimeFactors[id] = runTimeFactor;
    this->outcomes[id].submittedAt = this->now;
    Duration chain;
    for (const StepSpec &step : spec.steps) {
        chain = chain + step.estimate;
    }
    const QueueConfig &queue = this->state.manifest.queues.front();
    this->outcomes[id].objective = Duration{chain.ms * queue.stretchPerMille / 1000} + queue.latencyAllowance;
    SubmitFleetJob submission{id, queue.host, queue.pathPrefix, this->wall(), spec};
    if (!account.empty()) {
        this->accountOfJob[id] = account;
        submission.account = account;
        submission.keyDigest = digestOfKey(account);
    }
    this->propose(std::move(submission), this->lastTerm);
}

void FleetSimulation::setAccounts(const std::vector<AccountTerms> &accounts)
{
    FleetManifest manifest = this->state.manifest;
    ++manifest.version;
    manifest.hasAccounts = true;
    this->formerLimits.clear();
    this->formerLimitsUntil = this->now;
    for (const ClientAccount &account : manifest.accounts) {
        this->formerLimits[account.terms.name] = account.terms.limit;
    }
    manifest.accounts.clear();
    for (const AccountTerms &terms : accounts) {
        manifest.accounts.push_back({terms, {digestOfKey(terms.name)}});
    }
    this->propose(PutManifest{manifest}, this->lastTerm);
}

void FleetSimulation::cancel(const JobId &id)
{
    this->propose(CancelFleetJob{id, this->wall()}, this->lastTerm);
}

void FleetSimulation::setMaxResponseDelay(Duration delay)
{
    this->settings.maxResponseDelay = delay;
}

void FleetSimulation::drainZone(const ZoneName &zone, bool isDrained)
{
    this->propose(SetZoneDrained{zone, isDrained}, this->lastTerm);
}

void FleetSimulation::propose(FleetCommand command, std::uint64_t term)
{
    this->at(this->now + this->settings.commitDelay, [this, term, moved = std::move(command)] {
        // Proposals of a deposed leader are dropped.
        const auto leader = this->leaders.find(term);
        if (term == this->lastTerm && (leader == this->leaders.end() || leader->second->isReachable)) {
            this->apply(moved);
        }
    });
}

void FleetSimulation::apply(const FleetCommand &command)
{
    this->state.appliedAt = this->now;
    const FleetChange change = applyFleetCommand(this->state, command);
    const auto leader = this->leaders.find(this->lastTerm);
    if (leader != this->leaders.end()) {
        handleApplied(leader->second->scheduler, this->state, command, change, this->now, this->wall());
    }
    if (const auto *end = std::get_if<EndRun>(&command); end != nullptr && change.isApplied && end->outcome == RunOutcome::Done) {
        const FleetJob &job = this->state.jobs.at(end->task.job);
        if (!job.spec.steps[end->task.step].isLongRunning) {
            this->committedDoneTasks.insert({job.id, end->task.occurrence, end->task.step, end->task.index});
        }
    }
    if (change.isFirstStart) {
        this->checkFirstStart(change);
    }
    if (std::holds_alternative<CancelFleetJob>(command) && change.isApplied) {
        this->cancelledAt[std::get<CancelFleetJob>(command).id] = this->now;
    }
    if (const auto *start = std::get_if<StartRun>(&command); start != nullptr && change.isApplied) {
        this->startDeliveries[{start->task, start->run}] = {this->lastTerm, false};
    }
    if (const auto *crash = std::get_if<RecordCrash>(&command); crash != nullptr && change.isApplied) {
        this->recordedCrashes.push_back(*crash);
        this->checkRecordedCrash(*crash);
    }
    for (const JobNumber number : change.endedJobs) {
        const FleetJob &job = this->state.jobs.at(number);
        ModelOutcome &outcome = this->outcomes[job.id];
        outcome.endedAt = this->now;
        outcome.state = job.state;
        outcome.failure = job.failure;
        this->checkFailedJob(job);
    }
}

void FleetSimulation::execute(SchedulerActions actions, std::uint64_t term)
{
    for (FleetCommand &command : actions.propose) {
        if (!this->settings.ignoresCrashes || !std::holds_alternative<RecordCrash>(command)) {
            this->propose(std::move(command), term);
        }
    }
    for (const WorkerOrder &order : actions.orders) {
        this->deliver(order);
    }
    for (const RunNotice &notice : actions.notices) {
        ++this->runNotices[notice.kind];
    }
    if (actions.isDeposed) {
        this->leaders.erase(term);
    }
}

void FleetSimulation::deliver(const WorkerOrder &order)
{
    const bool isLate = order.kind != OrderKind::Poll && this->random.below(100) < static_cast<std::uint64_t>(this->settings.lateOrderPercent);
    const bool isLost = isLate || this->random.below(100) < static_cast<std::uint64_t>(this->settings.lostResponsePercent);
    const Duration orderDelay = isLate ? Duration{2'000 + static_cast<std::int64_t>(this->random.below(10'000))} : Duration{0};
    const auto answered = std::make_shared<bool>(false);
    const auto sent = std::make_shared<const WorkerOrder>(order);
    const auto finish = [this, sent, answered](const OrderResponse &response) {
        const auto leader = this->leaders.find(sent->term);
        if (!std::exchange(*answered, true) && leader != this->leaders.end()) {
            this->noteStartResponse(*sent, response.outcome);
            this->execute(handleResponse(leader->second->scheduler, this->stateOf(*leader->second), sent->number, response, this->now, this->wall()),
                          sent->term);
        }
    };
    const auto isUnsent = std::make_shared<bool>(false);
    this->at(this->now + order.timeout, [finish, isUnsent] {
        OrderResponse none;
        none.outcome = *isUnsent ? OrderOutcome::Unreachable : OrderOutcome::NoResponse;
        finish(none);
    });
    this->at(this->now + this->settings.linkDelay, [this, order, isLost, orderDelay, finish, isUnsent] {
        if (this->partitionedWorkers.contains(order.worker)) {
            // A new connection cannot be opened; what is written to an open one may have been sent.
            *isUnsent = order.usesFreshConnection;
            if (order.usesFreshConnection && this->refusedWorkers.contains(order.worker)) {
                OrderResponse refused;
                refused.outcome = OrderOutcome::NotListening;
                finish(refused);
            }
            return;
        }
        const auto present = this->workers.find(order.worker);
        const std::int64_t startedAtMs = present == this->workers.end() ? 0 : present->second->profile.startedAtMs;
        this->at(this->now + orderDelay, [this, order, isLost, startedAtMs, finish] {
            this->arrive(order, isLost, startedAtMs, finish);
        });
    });
}

void FleetSimulation::arrive(const WorkerOrder &order, bool isLost, std::int64_t startedAtMs, const std::function<void(const OrderResponse &)> &finish)
{
    const auto worker = this->workers.find(order.worker);
    if (worker != this->workers.end() && worker->second->profile.startedAtMs != startedAtMs) {
        // The process that received the order has exited.
        return;
    }
    if (worker == this->workers.end()) {
        OrderResponse refused;
        refused.outcome = this->reusedAddresses.contains(order.worker) ? OrderOutcome::OtherIncarnation : OrderOutcome::NotListening;
        finish(refused);
        return;
    }
    const auto respond = [this, finish, isLost, name = order.worker](const OrderResponse &response) {
        if (!isLost && !this->partitionedWorkers.contains(name)) {
            const auto longest = static_cast<std::uint64_t>(this->settings.maxResponseDelay.ms);
            const Duration processingDelay{static_cast<std::int64_t>(this->random.below(longest + 1))};
            this->at(this->now + this->settings.linkDelay + processingDelay, [finish, response] {
                finish(response);
            });
        }
    };
    OrderResponse response = worker->second->execute(order, this->modelTask(order.task));
    const bool waits = order.kind == OrderKind::Poll && response.outcome == OrderOutcome::Done && response.ended.empty() && order.wait.ms > 0;
    if (!waits) {
        respond(response);
        return;
    }
    this->waitForEnd(std::make_shared<const WaitingPoll>(WaitingPoll{order.worker, startedAtMs, this->now + order.wait, respond}));
}

void FleetSimulation::waitForEnd(const std::shared_ptr<const WaitingPoll> &poll)
{
    this->at(this->now + Step, [this, poll] {
        const auto worker = this->workers.find(poll->worker);
        if (worker == this->workers.end() || worker->second->profile.startedAtMs != poll->startedAtMs) {
            // The process that received the poll has exited.
            if (this->settings.resetsConnections) {
                OrderResponse none;
                none.outcome = OrderOutcome::NoResponse;
                poll->respond(none);
            }
            return;
        }
        if (!worker->second->hasEnds() && this->now < poll->until) {
            this->waitForEnd(poll);
            return;
        }
        // The response to a waiting poll lists the present state. Lease, fence and discarded ends took effect when the poll arrived.
        poll->respond(worker->second->list());
    });
}

void FleetSimulation::report(const WorkerName &worker, std::optional<Duration> drainRemaining)
{
    const auto found = this->workers.find(worker);
    const auto leader = this->leaders.find(this->lastTerm);
    if (found == this->workers.end() || leader == this->leaders.end() || this->partitionedWorkers.contains(worker)) {
        return;
    }
    FleetWorkerReport report;
    report.profile = found->second->profile;
    report.sequence = ++this->sequences[worker];
    report.drainRemaining = drainRemaining;
    const auto delay = this->reportDelays.extract(worker);
    if (delay.empty()) {
        this->deliverReport(report);
        return;
    }
    this->at(this->now + delay.mapped(), [this, report] {
        this->deliverReport(report);
    });
}

void FleetSimulation::deliverReport(const FleetWorkerReport &report)
{
    const auto leader = this->leaders.find(this->lastTerm);
    if (leader == this->leaders.end()) {
        return;
    }
    const ReportOutcome outcome = handleWorkerReport(leader->second->scheduler, this->state, report, this->now);
    if (outcome.command) {
        this->propose(*outcome.command, this->lastTerm);
    }
}

void FleetSimulation::changeLeader(Duration gap)
{
    this->leaders.clear();
    const std::uint64_t term = ++this->lastTerm;
    this->at(this->now + gap, [this, term] {
        if (term == this->lastTerm) {
            auto leader = std::make_unique<Leader>();
            leader->scheduler = startScheduler(this->settings.scheduler, this->state, term, 0, this->now, this->wall());
            this->leaders[term] = std::move(leader);
        }
    });
    if (gap.ms == 0) {
        this->run(Step);
    }
}

void FleetSimulation::restartScheduler()
{
    FleetScheduler &scheduler = this->leaders.at(this->lastTerm)->scheduler;
    scheduler = startScheduler(this->settings.scheduler, this->state, scheduler.term, scheduler.lastOrder, this->now, this->wall());
}

void FleetSimulation::isolateLeader(Duration lease, Duration gap)
{
    const auto old = this->leaders.find(this->lastTerm);
    if (old == this->leaders.end()) {
        return;
    }
    auto isolated = std::move(old->second);
    const std::uint64_t term = this->lastTerm;
    isolated->isReachable = false;
    isolated->isolatedState = this->state;
    isolated->leaseEnd = this->now + lease;
    this->changeLeader(gap);
    this->leaders[term] = std::move(isolated);
}

const FleetScheduler &FleetSimulation::leaderScheduler() const
{
    return this->leaders.at(this->lastTerm)->scheduler;
}

const FleetState &FleetSimulation::stateOf(const Leader &leader) const
{
    return leader.isolatedState ? *leader.isolatedState : this->state;
}

void FleetSimulation::tickLeaders()
{
    std::vector<std::uint64_t> terms;
    for (const auto &[term, leader] : this->leaders) {
        terms.push_back(term);
    }
    for (const std::uint64_t term : terms) {
        Leader &leader = *this->leaders.at(term);
        if (this->settings.ignoresCrashes) {
            cancelReservations(leader.scheduler);
        }
        if (leader.isReachable) {
            leader.leaseEnd = this->now + LeaderLease;
        }
        this->execute(schedulerTick(leader.scheduler, this->stateOf(leader), this->now, this->wall(), leader.leaseEnd), term);
    }
}

void FleetSimulation::measureTailLatency(Duration step)
{
    for (const auto &[name, worker] : this->workers) {
        for (const auto &[task, run] : worker->running) {
            if (run.task.isLongRunning) {
                this->longRunningMs += static_cast<std::uint64_t>(step.ms);
                this->overTargetMs[run.task.image] += worker->isOverTarget(run) ? static_cast<std::uint64_t>(step.ms) : 0;
            }
        }
    }
}

void FleetSimulation::run(Duration length)
{
    const TimePoint end = this->now + length;
    while (this->now < end) {
        this->now = this->now + Step;
        while (!this->events.empty() && this->events.begin()->first <= this->now.ms) {
            const Event event = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            event.action();
        }
        for (const auto &[name, worker] : this->workers) {
            worker->advance(Step);
        }
        if (this->now.ms % TickInterval.ms == 0) {
            this->tickLeaders();
        }
        if (this->now.ms % ReportInterval.ms == 0) {
            for (const auto &[name, worker] : this->workers) {
                this->report(name, std::nullopt);
            }
        }
        this->measureTailLatency(Step);
    }
}

} // namespace Filbertlanding
