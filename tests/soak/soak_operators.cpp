/** @file soak_operators.cpp Operators and readers of the manifest. */

#include "soak/soak_operators.h"

#include "core/clock_func.h"
#include "soak/soak_client.h"

#include <boost/json.hpp>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::size_t Operators = 2;
    constexpr std::chrono::milliseconds MinChangeInterval{50};
    constexpr std::uint64_t ChangeIntervalRangeMs = 450;
    constexpr std::chrono::milliseconds ReadInterval{100};
    constexpr std::uint64_t InvalidEvery = 7;
    constexpr std::uint64_t AddedRouteEvery = 5;
    constexpr Duration Timeout{1'000};

} // namespace

SoakOperators::SoakOperators(boost::asio::io_context &loop, const SoakSettings &soakSettings, SoakManifests &soakManifests, SoakChecks &soakChecks)
    : io(loop)
    , manifests(soakManifests)
    , checks(soakChecks)
    , client(soakClientSettings(loop), counters)
    , random{soakSettings.seed ^ 0x09e7ULL}
{
}

void SoakOperators::start(const std::vector<std::string> &controlAddresses)
{
    this->controls = &controlAddresses;
    for (std::size_t i = 0; i < Operators + this->controls->size(); ++i) {
        this->timers.push_back(std::make_unique<boost::asio::steady_timer>(this->io));
        if (i < Operators) {
            this->armChange(i);
        } else {
            this->armReading(i);
        }
    }
}

void SoakOperators::stop()
{
    this->hasStopped = true;
    for (const auto &timer : this->timers) {
        timer->cancel();
    }
}

void SoakOperators::armChange(std::size_t timer)
{
    this->timers[timer]->expires_after(MinChangeInterval + std::chrono::milliseconds(this->random.below(ChangeIntervalRangeMs)));
    this->timers[timer]->async_wait([this, timer](const boost::system::error_code &error) {
        if (!error && !this->hasStopped) {
            this->change();
            this->armChange(timer);
        }
    });
}

void SoakOperators::armReading(std::size_t timer)
{
    this->timers[timer]->expires_after(ReadInterval);
    this->timers[timer]->async_wait([this, timer](const boost::system::error_code &error) {
        if (!error && !this->hasStopped) {
            this->readFrom(this->controls->at(timer - Operators));
            this->armReading(timer);
        }
    });
}

void SoakOperators::change()
{
    if (this->random.below(AddedRouteEvery) == 0) {
        this->manifests.addRoute();
    }
    const std::uint64_t version = this->manifests.next(1 + this->random.below(3));
    const std::string &control = this->controls->at(this->random.below(this->controls->size()));
    ++this->sent;
    if (this->random.below(InvalidEvery) == 0) {
        this->putInvalid(version, control);
    } else {
        this->putValid(version, control);
    }
}

void SoakOperators::putValid(std::uint64_t version, const std::string &control)
{
    HttpRequest request{"PUT", "/config", {{"Content-Type", "application/json"}}, this->manifests.document(version), {}};
    const TimePoint sentAt = steadyNow();
    sendToLeader(this->client, control, std::move(request), Timeout, [this, version, sentAt](const HttpExchange &exchange) {
        this->checks.onCallEnded(SoakSender::Other, sentAt, Timeout, exchange);
        const unsigned status = exchange.code == ResultCode::Ok ? exchange.response.status : 0;
        if (status == 200) {
            ++this->acknowledged;
            this->checks.onManifestAcknowledged(version, steadyNow());
            this->manifests.onAcknowledged(version, steadyNow());
        } else if (isRejection(status)) {
            this->checks.addViolation("a valid manifest was rejected with HTTP status " + std::to_string(status));
        }
    });
}

void SoakOperators::putInvalid(std::uint64_t version, const std::string &control)
{
    const auto kinds = static_cast<std::uint64_t>(lastEnumerator(ManifestFault{})) + 1;
    const auto fault = static_cast<ManifestFault>(this->random.below(kinds));
    HttpRequest request{"PUT", "/config", {{"Content-Type", "application/json"}}, this->manifests.invalidDocument(version, fault), {}};
    sendToLeader(this->client, control, std::move(request), Timeout, [this, version](const HttpExchange &exchange) {
        const unsigned status = exchange.code == ResultCode::Ok ? exchange.response.status : 0;
        this->refused += isRejection(status) ? 1 : 0;
        if (status >= 200 && status < 300) {
            this->checks.addViolation("an invalid manifest was acknowledged: version " + std::to_string(version));
        }
    });
}

void SoakOperators::readFrom(const std::string &control)
{
    const TimePoint sentAt = steadyNow();
    sendToLeader(this->client, control, {"GET", "/config", {}, {}, {}}, Timeout, [this, sentAt](const HttpExchange &exchange) {
        this->checks.onCallEnded(SoakSender::Other, sentAt, Timeout, exchange);
        if (exchange.code != ResultCode::Ok || exchange.response.status != 200) {
            return;
        }
        ++this->read;
        const auto version = json::parse(exchange.response.body).at("version").to_number<std::uint64_t>();
        this->checks.onManifestRead(version, sentAt);
        if (this->manifests.isInvalid(version)) {
            this->checks.addViolation("an invalid manifest is in force: version " + std::to_string(version));
        }
    });
}

} // namespace Filbertlanding
