/** @file soak_workers.cpp Simulated workers of the soak. */

#include "soak/soak_workers.h"

#include "core/clock_func.h"
#include "core/name_table.h"
#include "soak/soak_client.h"
#include "soak/soak_manifests.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    namespace asio = boost::asio;
    namespace json = boost::json;

    constexpr std::chrono::milliseconds StepInterval{5};
    constexpr std::chrono::milliseconds ReportInterval{1'000};
    constexpr Duration ReportTimeout{1'000};
    constexpr std::chrono::seconds UnansweredRequestLifetime{30}; ///< Time for which an unanswered request is kept; longer than any client timeout.
    constexpr std::chrono::milliseconds PortReleaseTime{50}; ///< Time until the event loop has closed the listener of an earlier process.
    constexpr std::chrono::milliseconds MinRestartTime{1'000}; ///< Of a process that a task has crashed.
    constexpr std::uint64_t RestartTimeRangeMs = 1'000;
    constexpr std::uint16_t FirstPort = 9'000; ///< First relay port; the workers themselves listen PortDistance higher.
    constexpr std::uint16_t PortDistance = 2'000;

    constexpr auto RunOutcomeNames = makeNameTable<RunOutcome>({{RunOutcome::Done, "done"},
                                                                {RunOutcome::Failed, "failed"},
                                                                {RunOutcome::Stopped, "stopped"},
                                                                {RunOutcome::LeaseExpired, "lapsed"},
                                                                {RunOutcome::GangBroken, "broken"},
                                                                {RunOutcome::GangIncomplete, "alone"},
                                                                {RunOutcome::Lost, "lost"}});

    TaskName readTask(std::string_view text)
    {
        TaskName task;
        std::array<std::uint32_t *, 3> numbers{&task.index, &task.step, &task.occurrence};
        for (std::uint32_t *number : numbers) {
            const std::size_t dot = text.rfind('.');
            *number = static_cast<std::uint32_t>(std::stoul(std::string(text.substr(dot + 1))));
            text.remove_suffix(text.size() - dot);
        }
        task.job = std::string(text);
        return task;
    }

    std::int64_t numberOr(const json::object &body, std::string_view name, std::int64_t fallback)
    {
        const json::value *value = body.if_contains(name);
        return value == nullptr ? fallback : value->to_number<std::int64_t>();
    }

    WorkerOrder readOrder(const HttpRequest &request)
    {
        const json::object body = json::parse(request.body).as_object();
        WorkerOrder order;
        order.worker = std::string(headerValue(request.headers, "X-Expected-Instance"));
        order.fence = static_cast<std::uint64_t>(numberOr(body, "fence", 0));
        if (body.contains("deadlineMs")) {
            order.leaseEndMs = numberOr(body, "deadlineMs", 0);
        }
        order.kind = request.target == "/hold" ? OrderKind::Poll
            : request.target == "/run-start"   ? OrderKind::Start
            : request.target == "/run-stop"    ? OrderKind::Stop
                                               : OrderKind::Throttle;
        if (order.kind == OrderKind::Poll) {
            order.committedThrough = static_cast<std::uint64_t>(numberOr(body, "ackedThrough", 0));
            order.wait = {numberOr(body, "waitMs", 0)};
            return order;
        }
        order.task = readTask(body.at("task").as_string());
        order.run = static_cast<std::uint32_t>(numberOr(body, "run", 0));
        order.percent = numberOr(body, "percent", 100);
        if (const json::value *payload = body.if_contains("spec")) {
            order.payload = std::string(payload->as_string());
        }
        if (const json::value *saved = body.if_contains("lastCheckpoint")) {
            order.checkpoint = std::string(saved->as_string());
        }
        return order;
    }

    std::string_view reasonOf(OrderOutcome outcome)
    {
        switch (outcome) {
        case OrderOutcome::Fenced:
            return "fence";
        case OrderOutcome::Superseded:
            return "old";
        case OrderOutcome::LeaseExpired:
            return "late";
        default:
            return "room";
        }
    }

    HttpResponse writeAnswer(const OrderResponse &answer)
    {
        HttpResponse response;
        response.headers.push_back({"Content-Type", "application/json"});
        json::object body{{"clockMs", answer.clockMs.value_or(0)}};
        if (answer.outcome == OrderOutcome::OtherIncarnation) {
            response.status = 421;
        } else if (answer.outcome != OrderOutcome::Done) {
            response.status = 409;
            body["reason"] = reasonOf(answer.outcome);
        }
        if (answer.hasLists) {
            body["born"] = answer.startedAtMs.value_or(0);
            json::array running;
            for (const ListedRun &run : answer.running) {
                running.push_back(json::array{formatTaskName(run.task), run.run, run.checkpoint, run.percent, run.measurement});
            }
            json::array ends;
            for (const ListedEnd &end : answer.ended) {
                ends.push_back(json::array{end.number, formatTaskName(end.task), end.run, RunOutcomeNames.nameOf(end.outcome), end.checkpoint});
            }
            body["running"] = std::move(running);
            body["endedRuns"] = std::move(ends);
        }
        response.body = json::serialize(body);
        return response;
    }

} // namespace

SoakWorkers::SoakWorkers(asio::io_context &loop, const SoakSettings &soakSettings, std::string workerAddress, SoakRelay &soakRelay, SoakChecks &soakChecks)
    : io(loop)
    , settings(soakSettings)
    , address(std::move(workerAddress))
    , relay(soakRelay)
    , checks(soakChecks)
    , random{soakSettings.seed ^ 0x5eedULL}
    , crashRandom{soakSettings.seed ^ 0xdeadULL}
    , stepTimer(loop)
    , reportTimer(loop)
    , client(soakClientSettings(loop), counters)
{
    this->interference[{"lasting-0", "filling-0"}] = 2.5;
    this->interference[{"lasting-1", "filling-1"}] = 1.5;
}

void SoakWorkers::start(const std::vector<std::string> &controlAddresses)
{
    this->controls = &controlAddresses;
    this->slots.resize(static_cast<std::size_t>(this->settings.workers));
    for (std::size_t i = 0; i < this->slots.size(); ++i) {
        const auto port = static_cast<std::uint16_t>(FirstPort + i);
        this->slots[i].port = port;
        this->relay.listen(this->address, port, static_cast<std::uint16_t>(port + PortDistance));
        this->startIncarnation(i);
    }
    this->lastStepAt = steadyNow();
    this->armStep();
    this->armReports();
}

void SoakWorkers::setReportedCapacity(std::size_t worker, std::int64_t percent)
{
    this->slots[worker].reportedCapacity = {percent, std::nullopt};
}

std::size_t SoakWorkers::count() const
{
    return this->slots.size();
}

std::vector<SoakRoom> SoakWorkers::rooms() const
{
    constexpr std::int64_t Percent = 100;
    std::vector<SoakRoom> rooms;
    for (const WorkerSlot &slot : this->slots) {
        if (slot.worker == nullptr) {
            continue;
        }
        Resources capacity = slot.worker->profile.capacity;
        capacity.cpuMillis = capacity.cpuMillis * slot.reportedCapacity.percent / Percent;
        capacity.memoryMb = capacity.memoryMb * slot.reportedCapacity.percent / Percent;
        rooms.push_back({slot.worker->profile.service, capacity, capacity - reservedOn(*slot.worker)});
    }
    return rooms;
}

std::vector<std::pair<TaskName, Resources>> SoakWorkers::runningRequests() const
{
    std::vector<std::pair<TaskName, Resources>> requests;
    for (const WorkerSlot &slot : this->slots) {
        if (slot.worker == nullptr) {
            continue;
        }
        for (const auto &[task, run] : slot.worker->running) {
            requests.emplace_back(task, run.task.request);
        }
    }
    return requests;
}

WorkerProfile SoakWorkers::profileOf(std::size_t index) const
{
    WorkerProfile profile;
    const unsigned crashed = this->slots[index].crashedProcesses;
    profile.worker = "w" + std::to_string(index) + (crashed == 0 ? "" : "-" + std::to_string(crashed));
    profile.startedAtMs = wallNow().ms;
    profile.address = this->address + ":" + std::to_string(this->slots[index].port);
    profile.availabilityZone = "z" + std::to_string(index % 3);
    profile.service = this->settings.hasMovingQueue && index % 2 == 1 ? SoakManifests::OtherService : SoakManifests::MainService;
    profile.capacity = {32'000, 125'000, 0};
    profile.rack = "r" + std::to_string(index / 4);
    return profile;
}

void SoakWorkers::startIncarnation(std::size_t index)
{
    WorkerSlot &slot = this->slots[index];
    const WorkerProfile profile = this->profileOf(index);
    slot.worker = std::make_unique<ModelWorker>(profile, 0.98 + 0.02 * this->random.unit(), this->interference);
    slot.worker->started = [this, index, name = profile.worker](const TaskName &task, std::uint32_t run) {
        WorkerSlot &started = this->slots[index];
        this->checks.onStarted(name, task, run, started.payload, started.isDelayedOrder);
        if (!started.isDelayedOrder) {
            this->checks.checkCapacity(*started.worker, started.reportedCapacity, task);
            this->onStarted(started.worker->profile.service, task);
        }
        if (this->onAnyStarted) {
            this->onAnyStarted(task, started.isDelayedOrder);
        }
        started.mayCrash = started.mayCrash || this->checks.crashDelayOf(task).has_value();
    };
    slot.worker->ended = [this, name = profile.worker](const TaskName &task, std::uint32_t run, RunOutcome end) {
        this->checks.onEnded(name, task, run, end);
    };
    slot.worker->onEndDiscarded = [this](const ListedEnd &end) {
        this->checks.onEndDiscarded(end);
    };
    slot.sequence = 0;
    slot.mayCrash = false;
    slot.reportedCapacity.acknowledgedAt.reset();
    HttpServerSettings server;
    server.loop = &this->io;
    server.address = this->address;
    server.port = static_cast<std::uint16_t>(slot.port + PortDistance);
    slot.server = std::make_unique<HttpServer>(
        server,
        [this, index](HttpRequest &&request, const HttpRespond &respond) {
            this->handle(index, std::move(request), respond);
        },
        this->counters);
    const std::error_code error = slot.server->start();
    if (error == std::errc::address_in_use) {
        // A busy event loop has not closed the listener of the earlier process yet.
        this->crash(index, true);
        return;
    }
    if (error) {
        throw std::runtime_error("worker cannot listen on its port: " + error.message());
    }
    this->report(index);
}

void SoakWorkers::crash(std::size_t worker, bool restart)
{
    WorkerSlot &slot = this->slots[worker];
    if (slot.worker != nullptr) {
        this->lastExitAt = steadyNow();
        this->checks.onWorkerExited(slot.worker->profile.worker);
        slot.worker.reset();
        slot.server->stop();
        this->retiredServers.push_back(std::move(slot.server));
        this->relay.resetConnections(this->address, static_cast<std::uint16_t>(slot.port + PortDistance));
    }
    if (restart) {
        this->restartAfter(worker, PortReleaseTime);
    }
}

void SoakWorkers::losePower(std::size_t worker)
{
    this->silenceConnections(worker);
    this->crash(worker, true);
}

void SoakWorkers::restartAfter(std::size_t index, std::chrono::milliseconds delay)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->io, delay);
    timer->async_wait([this, index, timer](const boost::system::error_code &) {
        if (this->slots[index].worker == nullptr) {
            this->startIncarnation(index);
        }
    });
}

bool SoakWorkers::crashIfDue(std::size_t index)
{
    WorkerSlot &slot = this->slots[index];
    if (slot.worker == nullptr || !slot.mayCrash) {
        return false;
    }
    const auto &running = slot.worker->running;
    const auto cause = std::find_if(running.begin(), running.end(), [this](const auto &item) {
        const std::optional<Duration> delay = this->checks.crashDelayOf(item.first);
        return delay && item.second.done >= static_cast<double>(delay->ms);
    });
    if (cause == running.end()) {
        return false;
    }
    this->checks.onWorkerCrashedBy(cause->first);
    this->crash(index, false);
    ++slot.crashedProcesses;
    this->restartAfter(index, MinRestartTime + std::chrono::milliseconds(this->crashRandom.below(RestartTimeRangeMs)));
    return true;
}

void SoakWorkers::setIsolated(std::size_t worker, bool isIsolated)
{
    this->slots[worker].isIsolated = isIsolated;
}

void SoakWorkers::setDelayedOrderPercent(int percent)
{
    this->delayedOrderPercent = percent;
}

void SoakWorkers::setDroppedResponsePercent(int percent)
{
    this->droppedResponsePercent = percent;
}

void SoakWorkers::resetConnections(std::size_t worker)
{
    this->relay.resetConnections(this->address, static_cast<std::uint16_t>(this->slots[worker].port + PortDistance));
}

void SoakWorkers::silenceConnections(std::size_t worker)
{
    this->relay.blackhole(this->address, static_cast<std::uint16_t>(this->slots[worker].port + PortDistance));
}

void SoakWorkers::setHanging(std::size_t worker, bool isHanging)
{
    if (this->slots[worker].worker != nullptr) {
        this->slots[worker].worker->isHanging = isHanging;
    }
}

void SoakWorkers::leaveUnanswered(const HttpRespond &respond)
{
    // The server would send a response itself if the callback were destroyed without a call.
    const auto timer = std::make_shared<asio::steady_timer>(this->io, UnansweredRequestLifetime);
    timer->async_wait([respond, timer](const boost::system::error_code &) {});
}

void SoakWorkers::handle(std::size_t index, HttpRequest &&request, const HttpRespond &respond)
{
    WorkerSlot &slot = this->slots[index];
    if (slot.worker == nullptr || slot.isIsolated) {
        this->leaveUnanswered(respond);
        return;
    }
    const WorkerOrder order = readOrder(request);
    const auto chance = static_cast<int>(this->random.below(100));
    if (order.kind == OrderKind::Poll || chance >= this->delayedOrderPercent + this->droppedResponsePercent) {
        this->execute(index, order, respond);
        return;
    }
    this->leaveUnanswered(respond);
    const bool isDelayed = chance < this->delayedOrderPercent;
    const std::chrono::milliseconds delay(isDelayed ? 2'000 + this->random.below(10'000) : 0);
    const auto timer = std::make_shared<asio::steady_timer>(this->io, delay);
    timer->async_wait([this, index, order, timer, isDelayed, startedAtMs = slot.worker->profile.startedAtMs](const boost::system::error_code &) {
        WorkerSlot &later = this->slots[index];
        if (later.worker != nullptr && later.worker->profile.startedAtMs == startedAtMs) {
            later.isDelayedOrder = isDelayed;
            this->execute(index, order, {});
            later.isDelayedOrder = false;
        }
    });
}

void SoakWorkers::execute(std::size_t index, const WorkerOrder &order, const HttpRespond &respond)
{
    WorkerSlot &slot = this->slots[index];
    slot.payload = order.payload;
    const OrderResponse answer = slot.worker->execute(order, this->checks.modelTaskOf(order.task));
    if (this->crashIfDue(index)) {
        if (respond) {
            this->leaveUnanswered(respond);
        }
        return;
    }
    if (order.kind == OrderKind::Poll && answer.outcome == OrderOutcome::Done && answer.ended.empty() && order.wait.ms > 0) {
        WorkerOrder later = order;
        later.leaseEndMs.reset();
        later.committedThrough = 0;
        this->pendingPolls.push_back({index, slot.worker->profile.startedAtMs, std::move(later), steadyNow() + order.wait, respond});
        return;
    }
    if (respond) {
        respond(writeAnswer(answer));
    }
}

void SoakWorkers::armStep()
{
    this->stepTimer.expires_after(StepInterval);
    this->stepTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->advanceWorkers();
            this->armStep();
        }
    });
}

void SoakWorkers::advanceWorkers()
{
    const TimePoint now = steadyNow();
    for (std::size_t i = 0; i < this->slots.size(); ++i) {
        if (this->slots[i].worker != nullptr) {
            this->slots[i].worker->advance(now - this->lastStepAt);
            this->crashIfDue(i);
        }
    }
    this->lastStepAt = now;
    for (auto pendingPoll = this->pendingPolls.begin(); pendingPoll != this->pendingPolls.end();) {
        WorkerSlot &slot = this->slots[pendingPoll->slot];
        if (slot.worker == nullptr || slot.worker->profile.startedAtMs != pendingPoll->startedAtMs || slot.isIsolated) {
            this->leaveUnanswered(pendingPoll->respond);
            pendingPoll = this->pendingPolls.erase(pendingPoll);
            continue;
        }
        const OrderResponse answer = slot.worker->execute(pendingPoll->order, {});
        if (answer.outcome == OrderOutcome::Done && answer.ended.empty() && now < pendingPoll->until) {
            ++pendingPoll;
            continue;
        }
        pendingPoll->respond(writeAnswer(answer));
        pendingPoll = this->pendingPolls.erase(pendingPoll);
    }
}

void SoakWorkers::armReports()
{
    this->reportTimer.expires_after(ReportInterval);
    this->reportTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        for (std::size_t i = 0; i < this->slots.size(); ++i) {
            this->report(i);
        }
        this->armReports();
    });
}

void SoakWorkers::report(std::size_t index)
{
    const WorkerSlot &slot = this->slots[index];
    if (slot.worker == nullptr || slot.isIsolated) {
        return;
    }
    const std::string to = slot.reportTo.empty() ? this->controls->at(this->random.below(this->controls->size())) : slot.reportTo;
    this->sendReport(index, to, 3);
}

json::object SoakWorkers::reportBody(std::size_t index) const
{
    const WorkerSlot &slot = this->slots[index];
    const std::int64_t clockMs = slot.worker == nullptr ? 0 : slot.worker->clockMs();
    const WorkerProfile profile = slot.worker == nullptr ? this->profileOf(index) : slot.worker->profile;
    const std::int64_t percent = slot.reportedCapacity.percent;
    return {{"service", profile.service},
            {"address", profile.address},
            {"zone", profile.availabilityZone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", profile.capacity.cpuMillis * percent / 100}, {"memMb", profile.capacity.memoryMb * percent / 100}, {"gpu", 0}}},
            {"labels", {"a", profile.rack}},
            {"clockMs", clockMs},
            {"seq", slot.sequence},
            {"born", profile.startedAtMs}};
}

void SoakWorkers::sendReport(std::size_t index, const std::string &to, std::size_t attemptsLeft)
{
    WorkerSlot &slot = this->slots[index];
    if (slot.worker == nullptr || slot.isIsolated || attemptsLeft == 0) {
        return;
    }
    const WorkerProfile &profile = slot.worker->profile;
    json::object body = this->reportBody(index);
    body["seq"] = ++slot.sequence;
    HttpRequest request{"PUT", "/instances/" + profile.worker, {{"Content-Type", "application/json"}}, json::serialize(body), {}};
    this->client.send(soakAddressOf(to),
                      std::move(request),
                      {.timeout = ReportTimeout},
                      [this, index, sentAt = steadyNow(), attemptsLeft, startedAtMs = profile.startedAtMs, percent = slot.reportedCapacity.percent](
                          const HttpExchange &exchange) {
                          this->checks.onCallEnded(SoakSender::Other, sentAt, ReportTimeout, exchange);
                          WorkerSlot &later = this->slots[index];
                          if (later.worker == nullptr || later.worker->profile.startedAtMs != startedAtMs) {
                              return;
                          }
                          if (exchange.code == ResultCode::Ok && exchange.response.status == 200) {
                              const json::object answer = json::parse(exchange.response.body).as_object();
                              const json::value *next = answer.if_contains("heartbeatAddr");
                              if (later.reportedCapacity.percent == percent && !later.reportedCapacity.acknowledgedAt) {
                                  later.reportedCapacity.acknowledgedAt = steadyNow();
                              }
                              later.reportTo = next == nullptr ? later.reportTo : std::string(next->as_string());
                              return;
                          }
                          later.reportTo.clear();
                          this->sendReport(index, this->controls->at(this->random.below(this->controls->size())), attemptsLeft - 1);
                      });
}

} // namespace Filbertlanding
