/** @file soak_odd_reports.cpp Odd entries among the status reports of the workers. */

#include "soak/soak_odd_reports.h"

#include "core/clock_func.h"
#include "soak/soak_client.h"

#include <boost/json.hpp>

#include <array>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::uint64_t IntervalRangeMs = 1'500;
    constexpr std::uint64_t LongBurst = 40; ///< Reports of a long burst, as of a writer that repeats its entry.
    constexpr int MaxRedirects = 2;

    constexpr std::array<const char *, 10> OddAddresses{"127.0.0.1:99999",
                                                        "127.0.0.1:65536",
                                                        "127.0.0.1:0",
                                                        "127.0.0.1:-1",
                                                        "127.0.0.1:4294967297",
                                                        "127.0.0.1:http",
                                                        "127.0.0.1",
                                                        "999.1.1.1:80",
                                                        "0.0.0.0:80",
                                                        "255.255.255.255:80"};

    std::string nested(int levels)
    {
        return std::string(static_cast<std::size_t>(levels), '[') + std::string(static_cast<std::size_t>(levels), ']');
    }

} // namespace

SoakOddReports::SoakOddReports(boost::asio::io_context &loop, const SoakSettings &soakSettings, const SoakWorkers &soakWorkers, SoakChecks &soakChecks)
    : workers(soakWorkers)
    , checks(soakChecks)
    , client(soakClientSettings(loop), counters)
    , random{soakSettings.seed ^ 0x0ddULL}
    , timer(loop)
{
}

void SoakOddReports::start(const std::vector<std::string> &controlAddresses)
{
    this->controls = &controlAddresses;
    this->arm();
}

void SoakOddReports::stop()
{
    this->hasStopped = true;
    this->timer.cancel();
}

void SoakOddReports::arm()
{
    this->timer.expires_after(std::chrono::milliseconds(this->random.below(IntervalRangeMs)));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->hasStopped) {
            this->sendBurst();
            this->arm();
        }
    });
}

void SoakOddReports::sendBurst()
{
    const bool hasSoundName = this->random.below(2) == 0;
    const auto worker = static_cast<std::size_t>(this->random.below(this->workers.count()));
    const std::uint64_t count = this->random.below(8) == 0 ? LongBurst : 1;
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::string name = hasSoundName ? "w" + std::to_string(worker) : "odd" + std::to_string(this->random.below(LongBurst));
        const std::string &to = this->controls->at(this->random.below(this->controls->size()));
        ++this->sent;
        this->send("/instances/" + name, this->drawBody(hasSoundName, worker), to, MaxRedirects);
    }
}

std::string SoakOddReports::drawBody(bool hasSoundName, std::size_t worker)
{
    json::object body = this->workers.reportBody(worker);
    body["seq"] = 1'000 + this->random.below(1'000);
    // A later start than that of any process, as if the worker had started again.
    body["born"] = wallNow().ms + 1'000 + static_cast<std::int64_t>(this->random.below(1'000));
    switch (this->random.below(hasSoundName ? 8 : 7)) {
    case 0:
    case 1:
        body["address"] = OddAddresses[this->random.below(OddAddresses.size())];
        break;
    case 2:
        body["service"] = "spooler";
        break;
    case 3:
        body["zone"] = "z9";
        break;
    case 4:
        body["state"] = "paused";
        break;
    case 5:
        body["born"] = 9'000'000'000'000'000;
        break;
    case 6:
        body["labels"] = json::parse(nested(20));
        return json::serialize(body) + nested(40);
    default:
        body.erase("capacity");
        break;
    }
    return json::serialize(body);
}

void SoakOddReports::send(const std::string &target, const std::string &body, const std::string &to, int redirectsLeft)
{
    HttpRequest request{"PUT", target, {{"Content-Type", "application/json"}}, body, {}};
    this->client.send(soakAddressOf(to), std::move(request), {.timeout = {1'000}}, [this, target, body, redirectsLeft](const HttpExchange &exchange) {
        if (exchange.code != ResultCode::Ok) {
            return;
        }
        const unsigned status = exchange.response.status;
        const std::string location(headerValue(exchange.response.headers, "Location"));
        const std::size_t host = location.find("//");
        if (status == 307 && host != std::string::npos && redirectsLeft > 0) {
            this->send(target, body, location.substr(host + 2, location.find('/', host + 2) - host - 2), redirectsLeft - 1);
            return;
        }
        this->refused += status >= 400 && status < 500 ? 1 : 0;
        if (status < 300) {
            this->checks.addViolation("an odd report was acknowledged: " + target + " " + body);
        }
    });
}

} // namespace Filbertlanding
