/** @file load_run.cpp Open-loop load on daemons. */

#include "fakes/load_run.h"

#include "core/clock_func.h"

#include <boost/json.hpp>

#include <cmath>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr Duration AnswerMargin{1000}; ///< Time beyond the deadline that an answer may take on its way.

    bool isLostAnswer(const HttpExchange &exchange)
    {
        return exchange.code != ResultCode::Ok;
    }

    std::string codeOf(const HttpExchange &exchange)
    {
        if (isLostAnswer(exchange)) {
            return "transport:" + std::string(resultCodeRow(exchange.code).name);
        }
        const std::string_view named = headerValue(exchange.response.headers, "Result-Code");
        return named.empty() ? "status:" + std::to_string(exchange.response.status) : std::string(named);
    }

    /** Returns whether the answer holds the quote of this very request. */
    bool isRightQuote(const std::string &body, const std::string &id, std::int64_t expectedCents)
    {
        try {
            const json::value answer = json::parse(body);
            return answer.at("id").as_string() == id && answer.at("totalCents").to_number<std::int64_t>() == expectedCents;
        } catch (const std::exception &) {
            return false;
        }
    }

} // namespace

LoadRun::LoadRun(LoadSettings loadSettings, EventLoop &eventLoop, HttpClient &httpClient, LedgerFile &ledgerFile)
    : settings(std::move(loadSettings))
    , loop(eventLoop)
    , client(httpClient)
    , ledger(ledgerFile)
    , random{this->settings.seed}
{
}

void LoadRun::start()
{
    this->runName = this->settings.caller + "-" + std::to_string(wallNow().ms);
    this->endAt = steadyNow() + this->settings.maxTime;
    this->nextAtMs = static_cast<double>(steadyNow().ms);
    this->loop.post([this] {
        this->nextArrival();
    });
}

void LoadRun::endEarly()
{
    this->arrivalsOver = true;
    this->endIfDone();
}

const LoadSummary &LoadRun::result() const
{
    return this->summary;
}

/** Sends everything whose time has come, then waits for the next. The planned times do not depend on answers. */
void LoadRun::nextArrival()
{
    const TimePoint now = steadyNow();
    while (!this->arrivalsOver && this->nextAtMs <= static_cast<double>(now.ms)) {
        if (this->begun >= this->settings.maxRequests || now >= this->endAt) {
            this->arrivalsOver = true;
            break;
        }
        Item item = this->makeItem();
        ++this->outstanding;
        this->send(item);
        this->nextAtMs += -std::log(1.0 - this->random.unit()) * 1000.0 / this->settings.ratePerSecond;
    }
    if (this->arrivalsOver) {
        this->endIfDone();
        return;
    }
    const auto wait = static_cast<std::int64_t>(std::ceil(this->nextAtMs)) - now.ms;
    this->loop.after(Duration{std::max<std::int64_t>(1, wait)}, [this] {
        this->nextArrival();
    });
}

LoadRun::Item LoadRun::makeItem()
{
    Item item;
    item.number = ++this->begun;
    item.id = this->runName + "-" + std::to_string(item.number);
    item.plannedAt = {static_cast<std::int64_t>(this->nextAtMs)};
    item.isJob = this->random.unit() < this->settings.jobShare;
    if (item.isJob) {
        ++this->summary.jobs;
        this->fillJob(item);
        return item;
    }
    ++this->summary.requests;
    item.repeatable = this->random.unit() >= this->settings.nonRepeatableShare;
    this->fillRequest(item);
    return item;
}

void LoadRun::fillRequest(Item &item)
{
    constexpr std::int64_t MostUnits = 500;
    constexpr std::int64_t MostCents = 20'000;
    const auto quantity = static_cast<std::int64_t>(this->random.below(MostUnits)) + 1;
    const auto unitPrice = static_cast<std::int64_t>(this->random.below(MostCents)) + 1;
    item.expectedCents = quantity * unitPrice * 115 / 100;
    const ServiceName &service = this->settings.services[this->random.below(this->settings.services.size())];
    item.request.method = "POST";
    item.request.target = "/v1/services/" + service + "/requests";
    item.request.headers = {{"Content-Type", "application/json"},
                            {"Caller", this->settings.caller},
                            {"Team", this->settings.teams[item.number % this->settings.teams.size()]},
                            {"Request-Id", item.id},
                            {"Timeout-Ms", std::to_string(this->settings.timeout.ms)},
                            {"Repeatable", item.repeatable ? "yes" : "no"}};
    item.request.body = json::serialize(json::object{{"id", item.id}, {"quantity", quantity}, {"unitPriceCents", unitPrice}});
}

void LoadRun::fillJob(Item &item)
{
    const Resources &size = this->settings.jobSize;
    const json::object body{{"operationId", item.id},
                            {"service", this->settings.services[this->random.below(this->settings.services.size())]},
                            {"team", this->settings.teams[item.number % this->settings.teams.size()]},
                            {"jobClass", this->settings.jobClasses[this->random.below(this->settings.jobClasses.size())]},
                            {"size", json::object{{"cpuMillis", size.cpuMillis}, {"memoryMb", size.memoryMb}, {"accelerators", size.accelerators}}},
                            {"priority", 0},
                            {"urgent", this->random.unit() < this->settings.urgentShare},
                            {"taskCount", this->settings.tasksPerJob}};
    item.request.method = "POST";
    item.request.target = "/v1/jobs";
    item.request.headers = {{"Content-Type", "application/json"}, {"Caller", this->settings.caller}};
    item.request.body = json::serialize(body);
}

void LoadRun::send(const Item &item)
{
    Item next = item;
    ++next.sends;
    const HttpAddress &daemon = this->settings.daemons[this->random.below(this->settings.daemons.size())];
    this->ledger.write(
        item.isJob ? "jobSent" : "requestSent",
        {{"id", item.id}, {"daemon", daemon.address + ":" + std::to_string(daemon.port)}, {"repeatable", item.repeatable}, {"send", next.sends}});
    this->client.send(daemon, next.request, {.timeout = this->settings.timeout + AnswerMargin}, [this, next](HttpExchange exchange) {
        this->loop.post([this, next, moved = std::make_shared<HttpExchange>(std::move(exchange))] {
            this->onDone(next, *moved);
        });
    });
}

void LoadRun::onDone(const Item &item, const HttpExchange &exchange)
{
    // The same id makes a resend safe: the scheduler gives the first answer again, or refuses.
    if (isLostAnswer(exchange) && item.sends <= this->settings.maxResends) {
        ++this->summary.resends;
        this->send(item);
        return;
    }
    this->conclude(item, exchange);
    --this->outstanding;
    this->endIfDone();
}

void LoadRun::conclude(const Item &item, const HttpExchange &exchange)
{
    const std::string code = codeOf(exchange);
    const double latencyMs = static_cast<double>((steadyNow() - item.plannedAt).ms);
    const bool answered = !item.isJob && !isLostAnswer(exchange) && exchange.response.status == 200;
    const bool right = !answered || isRightQuote(exchange.response.body, item.id, item.expectedCents);
    ++this->summary.outcomes[(item.isJob ? "job " : "request ") + code];
    this->summary.wrong += right ? 0 : 1;
    if (answered) {
        this->summary.latenciesMs.push_back(latencyMs);
    }
    this->ledger.write(item.isJob ? "jobConcluded" : "requestConcluded",
                       {{"id", item.id},
                        {"code", code},
                        {"outcome", headerValue(exchange.response.headers, "Outcome")},
                        {"status", exchange.response.status},
                        {"bytesSent", exchange.bytesSent},
                        {"repeatable", item.repeatable},
                        {"sends", item.sends},
                        {"right", right},
                        {"latencyMs", latencyMs},
                        {"body", item.isJob ? std::string_view(exchange.response.body) : std::string_view()}});
}

void LoadRun::endIfDone()
{
    if (this->arrivalsOver && this->outstanding == 0) {
        this->loop.stop();
    }
}

double sortedQuantile(const std::vector<double> &sorted, double quantile)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

} // namespace Filbertlanding
