/** @file fake_worker.cpp One fake worker. */

#include "fakes/fake_worker.h"

#include "core/clock_func.h"
#include "fakes/worker_json.h"

#include <boost/json.hpp>

#include <charconv>
#include <cmath>
#include <numbers>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr Duration TickInterval{50}; ///< How often leases, tasks and reports are looked at.
    constexpr Duration SampleInterval{1000}; ///< How often the usage is measured.
    constexpr double SlowFactor = 10.0; ///< Service time in mode slow.
    constexpr std::int64_t RequestCpuMillis = 500; ///< What a request at work uses.

    HttpResponse jsonResponse(const json::object &body)
    {
        return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
    }

    /** Computes the quote: quantity times unit price plus 15% tax, in cents. The caller's id comes back, so that a mixed-up answer shows. */
    HttpResponse quoteFor(const WorkerName &worker, const std::string &body)
    {
        try {
            const json::value input = json::parse(body);
            const auto quantity = input.at("quantity").to_number<std::int64_t>();
            const auto unitPrice = input.at("unitPriceCents").to_number<std::int64_t>();
            return jsonResponse({{"id", input.at("id").as_string()}, {"totalCents", quantity * unitPrice * 115 / 100}, {"worker", worker}});
        } catch (const std::exception &) {
            return errorResponse(ResultCode::BadJson, "the body needs id, quantity and unitPriceCents");
        }
    }

    double quantile99(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return values[(values.size() - 1) * 99 / 100];
    }

    LeaseGrantorSettings holderSettings(const FakeWorkerSettings &settings)
    {
        LeaseGrantorSettings result;
        result.incarnation = settings.incarnation;
        for (const HttpAddress &daemon : settings.daemons) {
            result.daemons.push_back({.name = {}, .availabilityZone = settings.zone, .address = daemon.address, .port = daemon.port});
        }
        if (settings.firstStart) {
            result.startupReportDelay = Duration{0};
        }
        return result;
    }

} // namespace

FakeWorker::FakeWorker(FakeWorkerSettings workerSettings, EventLoop &eventLoop, HttpClient &httpClient, LedgerFile &ledgerFile, NetworkCounters &counters)
    : settings(std::move(workerSettings))
    , loop(eventLoop)
    , client(httpClient)
    , ledger(ledgerFile)
    , tasks(this->settings.tasks,
            [this](const char *event, const TaskReport &task, const std::string &reason) {
                this->ledger.write(event,
                                   {{"worker", this->settings.name},
                                    {"incarnation", this->settings.incarnation},
                                    {"zone", this->settings.zone},
                                    {"job", task.job},
                                    {"epoch", task.epoch},
                                    {"progress", task.progress},
                                    {"reason", reason}});
            })
    , random{this->settings.seed}
    , server(
          {.address = this->settings.address, .port = this->settings.port, .threads = 1},
          [this](HttpRequest &&request, const HttpRespond &respond) {
              this->loop.post([this, moved = std::make_shared<HttpRequest>(std::move(request)), respond] {
                  this->handle(std::move(*moved), respond);
              });
          },
          counters)
{
}

std::error_code FakeWorker::start()
{
    if (const std::error_code error = this->server.start()) {
        return error;
    }
    this->settings.port = this->server.port();
    this->grantor = makeLeaseGrantor(holderSettings(this->settings), steadyNow());
    this->current.at = steadyNow();
    this->loop.post([this] {
        this->tick();
    });
    return {};
}

void FakeWorker::setMode(FakeMode wanted)
{
    this->mode = wanted;
    if (wanted != FakeMode::Silent) {
        // What arrived in silence is answered late, so that callers meet late answers too.
        for (auto &[number, entry] : this->running) {
            if (std::exchange(entry.held, false)) {
                this->finishLater(number, entry.service);
            }
        }
    }
    this->ledger.write("mode", {{"worker", this->settings.name}, {"mode", FakeModeNames.nameOf(wanted)}});
}

bool FakeWorker::isIdle() const
{
    return this->running.empty() && this->tasks.liveCount() == 0;
}

void FakeWorker::stop()
{
    this->stopped = true;
    this->tasks.stopAll("exit");
    this->running.clear();
    this->server.stop();
}

void FakeWorker::tick()
{
    if (this->stopped) {
        return;
    }
    const TimePoint now = steadyNow();
    this->tasks.advance(this->load(), now);
    if (now - this->current.at >= SampleInterval) {
        this->sample(now);
    }
    const LeaseGrantorAction action = leaseGrantorTick(this->grantor, now);
    if (action.ownerChanged) {
        this->highestAnswer = 0;
        this->tasks.reportAllAgain();
    }
    if (action.report) {
        this->report(now);
    }
    this->loop.after(TickInterval, [this] {
        this->tick();
    });
}

void FakeWorker::sample(TimePoint now)
{
    this->current.at = now;
    this->current.used = this->tasks.used() + Resources{static_cast<std::int64_t>(this->running.size()) * RequestCpuMillis, 0, 0};
    this->samples.push_back(std::exchange(this->current, Sample{now, {}, {}}));
    while (this->samples.size() > 1 && this->samples[1].at + this->settings.usageLag <= now) {
        this->samples.pop_front();
    }
}

/** Returns the newest measurement that is at least as old as the lag. */
Usage FakeWorker::usageFor(TimePoint now) const
{
    Usage usage;
    const Sample *newest = nullptr;
    for (const Sample &candidate : this->samples) {
        newest = candidate.at + this->settings.usageLag <= now ? &candidate : newest;
    }
    if (newest == nullptr) {
        return usage;
    }
    usage.used = newest->used;
    usage.age = now - newest->at;
    for (const auto &[service, values] : newest->latencies) {
        usage.latencies.push_back({service, quantile99(values), static_cast<std::uint32_t>(values.size())});
    }
    return usage;
}

void FakeWorker::report(TimePoint now)
{
    WorkerReport message;
    message.worker = this->settings.name;
    message.availabilityZone = this->settings.zone;
    message.rack = this->settings.rack;
    message.address = this->settings.address;
    message.port = this->settings.port;
    message.services = this->settings.services;
    for (ServiceSlots &service : message.services) {
        service.earlierInFlight = this->inFlightOf(service.service, true);
    }
    message.capacity = this->settings.capacity;
    message.leaving = this->mode == FakeMode::Leaving;
    message.inFlight = static_cast<std::uint32_t>(this->running.size());
    message.usage = this->usageFor(now);
    fillReport(this->grantor, message);
    message.tasks = this->tasks.takeReports(message.sequence);
    HttpRequest request{"POST", "/v1/workers/report", {{"Content-Type", "application/json"}}, encodeReport(message), {}};
    const HttpAddress target{this->grantor.target.address, this->grantor.target.port};
    this->client.send(target, std::move(request), {.timeout = this->grantor.ownerLease}, [this, sequence = message.sequence, now](HttpExchange exchange) {
        this->loop.post([this, sequence, now, moved = std::make_shared<HttpExchange>(std::move(exchange))] {
            this->onReportAnswered(sequence, now, *moved);
        });
    });
}

void FakeWorker::onReportAnswered(std::uint64_t sequence, TimePoint sentAt, const HttpExchange &exchange)
{
    const auto answer = exchange.code == ResultCode::Ok ? decodeAnswer(exchange.response.body) : std::nullopt;
    if (!answer || this->stopped) {
        return;
    }
    const std::uint64_t epochBefore = this->grantor.ownerEpoch;
    const TimePoint now = steadyNow();
    const bool fromOwner = leaseGrantorAnswer(this->grantor, *answer, now);
    if (this->grantor.ownerEpoch != epochBefore) {
        this->highestAnswer = 0;
        this->tasks.reportAllAgain();
        return;
    }
    // An answer that was overtaken by a later one may order what has been revoked since.
    if (!fromOwner || answer->number <= this->highestAnswer) {
        return;
    }
    this->highestAnswer = answer->number;
    this->tasks.reportAnswered(sequence);
    // The lease counts from before the report was sent, so it ends here before it ends at the daemon.
    this->tasks.renewLease(sentAt + answer->taskLease);
    for (const TaskCommand &command : answer->commands) {
        this->tasks.command(command, this->mode == FakeMode::Fail, now);
    }
}

void FakeWorker::handle(HttpRequest &&request, const HttpRespond &respond)
{
    constexpr std::string_view Prefix = "/requests/";
    if (this->stopped) {
        respond(errorResponse(ResultCode::Draining));
        return;
    }
    if (request.method == "GET" && request.target == "/healthz") {
        respond(jsonResponse({{"mode", FakeModeNames.nameOf(this->mode)}}));
        return;
    }
    if (request.method != "POST") {
        respond(errorResponse(ResultCode::MethodNotAllowed));
        return;
    }
    if (request.target == "/mode") {
        this->handleMode(request, respond);
        return;
    }
    if (request.target == "/poll") {
        this->grantor.nextReportAt = steadyNow();
        respond(jsonResponse({}));
        return;
    }
    if (!request.target.starts_with(Prefix)) {
        respond(errorResponse(ResultCode::NotFound));
        return;
    }
    const ServiceName service = request.target.substr(Prefix.size());
    this->handleService(service, std::move(request), respond);
}

void FakeWorker::handleMode(const HttpRequest &request, const HttpRespond &respond)
{
    boost::system::error_code error;
    const json::value body = json::parse(request.body, error);
    const json::value *name = !error && body.is_object() ? body.as_object().if_contains("mode") : nullptr;
    const auto wanted = name != nullptr && name->is_string() ? FakeModeNames.valueOf(std::string_view(name->as_string())) : std::nullopt;
    if (!wanted) {
        respond(errorResponse(ResultCode::BadRequest, "the body needs mode: normal, slow, silent, fail or leaving"));
        return;
    }
    this->setMode(*wanted);
    respond(jsonResponse({{"mode", FakeModeNames.nameOf(*wanted)}}));
}

/** Returns Ok if the request may run. */
ResultCode FakeWorker::refusalFor(const ServiceName &service, const HttpRequest &request, std::uint64_t &ownerEpoch) const
{
    const auto offered = std::find_if(this->settings.services.begin(), this->settings.services.end(), [&service](const ServiceSlots &entry) {
        return entry.service == service;
    });
    if (offered == this->settings.services.end()) {
        return ResultCode::ServiceUnknown;
    }
    const std::string_view text = headerValue(request.headers, "Owner-Epoch");
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ownerEpoch);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return ResultCode::MissingField;
    }
    if (!acceptsOwnerEpoch(this->grantor, ownerEpoch, steadyNow())) {
        return ResultCode::StaleOwner;
    }
    return this->inFlightOf(service, false) < offered->slots ? ResultCode::Ok : ResultCode::QueueFull;
}

void FakeWorker::handleService(const ServiceName &service, HttpRequest &&request, const HttpRespond &respond)
{
    Running entry{service, 0, steadyNow(), std::move(request), respond, false};
    const ResultCode refusal = this->refusalFor(service, entry.request, entry.ownerEpoch);
    const std::uint64_t number = this->nextNumber++;
    if (refusal != ResultCode::Ok) {
        const HttpResponse response = errorResponse(refusal);
        // A request beyond the slots breaks a guarantee of the scheduler, so it has an event of its own.
        this->note(refusal == ResultCode::QueueFull ? "requestBeyondSlots" : "requestRefused", entry, number, response.status);
        respond(response);
        return;
    }
    this->note("requestStarted", entry, number, 0);
    entry.held = this->mode == FakeMode::Silent;
    const bool held = entry.held;
    this->running.emplace(number, std::move(entry));
    if (!held) {
        this->finishLater(number, service);
    }
}

void FakeWorker::finishLater(std::uint64_t number, const ServiceName &service)
{
    this->loop.after(this->serviceTime(service), [this, number] {
        this->finishRequest(number);
    });
}

void FakeWorker::finishRequest(std::uint64_t number)
{
    const auto found = this->running.find(number);
    if (found == this->running.end()) {
        return;
    }
    const Running ended = std::move(found->second);
    this->running.erase(found);
    const HttpResponse response = this->mode == FakeMode::Fail ? errorResponse(ResultCode::WorkerFailed) : quoteFor(this->settings.name, ended.request.body);
    this->current.latencies[ended.service].push_back(static_cast<double>((steadyNow() - ended.arrivedAt).ms));
    this->note("requestAnswered", ended, number, response.status);
    ended.respond(response);
}

/** Draws a service time: log-normal, longer beside batch tasks. */
Duration FakeWorker::serviceTime(const ServiceName &service)
{
    // Box and Muller's transformation of two uniform numbers into a normal one.
    const double radius = std::sqrt(-2.0 * std::log(1.0 - this->random.unit()));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * this->random.unit());
    const double slowdown = 1.0 + this->tasks.slowdownOf(service, this->settings.interference, this->settings.capacity);
    const double factor = this->mode == FakeMode::Slow ? SlowFactor : 1.0;
    return {std::llround(this->settings.serviceMs * std::exp(this->settings.serviceSigma * normal) * slowdown * factor)};
}

std::uint32_t FakeWorker::inFlightOf(const ServiceName &service, bool earlierOnly) const
{
    return static_cast<std::uint32_t>(std::count_if(this->running.begin(), this->running.end(), [&](const auto &entry) {
        return entry.second.service == service && (!earlierOnly || entry.second.ownerEpoch < this->grantor.ownerEpoch);
    }));
}

double FakeWorker::load() const
{
    std::uint32_t slots = 0;
    for (const ServiceSlots &service : this->settings.services) {
        slots += service.slots;
    }
    return slots == 0 ? 0.0 : std::min(1.0, static_cast<double>(this->running.size()) / slots);
}

void FakeWorker::note(const char *event, const Running &entry, std::uint64_t number, unsigned status)
{
    this->ledger.write(event,
                       {{"worker", this->settings.name},
                        {"incarnation", this->settings.incarnation},
                        {"zone", this->settings.zone},
                        {"service", entry.service},
                        {"number", number},
                        {"caller", headerValue(entry.request.headers, "Caller")},
                        {"requestId", headerValue(entry.request.headers, "Request-Id")},
                        {"repeatable", headerValue(entry.request.headers, "Repeatable")},
                        {"ownerEpoch", entry.ownerEpoch},
                        {"inFlight", this->running.size()},
                        {"status", status}});
}

} // namespace Filbertlanding
