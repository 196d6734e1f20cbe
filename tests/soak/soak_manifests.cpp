/** @file soak_manifests.cpp The manifests of all simulated operators. */

#include "soak/soak_manifests.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::size_t MaxRoutes = 40;

    json::object writeRoute(const std::string &pathPrefix, std::uint64_t version, std::string_view service)
    {
        const std::string name = pathPrefix.substr(1, pathPrefix.size() - 2);
        json::object route{{"name", name},
                           {"host", SoakManifests::QueueHost},
                           {"pathPrefix", pathPrefix},
                           {"kind", "unsafe"},
                           {"timeoutMs", 3000 + version},
                           {"targetLatencyMs", 250},
                           {"priority", 0},
                           {"service", service},
                           {"maxAttempts", 3},
                           {"stretch", 2.0}};
        if (pathPrefix == SoakManifests::PublicQueue) {
            route["public"] = true;
        }
        return route;
    }

    json::object writeService(std::string_view name)
    {
        return {{"name", name}, {"admissionCheck", true}, {"standby", false}};
    }

} // namespace

void SoakManifests::addMovingQueue()
{
    this->hasMovingQueue = true;
    this->routes.push_back({std::string(MovingQueue), 0, {}});
}

void SoakManifests::addPublicQueue()
{
    this->routes.push_back({std::string(PublicQueue), 0, {}});
}

void SoakManifests::moveRoute()
{
    this->moves.push_back(this->lastVersion + 1);
}

std::string_view SoakManifests::serviceOf(std::string_view queue, std::uint64_t version) const
{
    const auto moved = std::count_if(this->moves.begin(), this->moves.end(), [version](std::uint64_t first) {
        return first <= version;
    });
    return queue == MovingQueue && moved % 2 == 1 ? OtherService : MainService;
}

std::set<std::string> SoakManifests::servicesOf(std::string_view queue, std::uint64_t oldestVersion) const
{
    std::set<std::string> services{std::string(this->serviceOf(queue, oldestVersion))};
    for (const std::uint64_t first : this->moves) {
        if (first > oldestVersion && first <= this->lastVersion) {
            services.emplace(this->serviceOf(queue, first));
        }
    }
    return services;
}

std::uint64_t SoakManifests::next(std::uint64_t step)
{
    this->lastVersion += step;
    return this->lastVersion;
}

std::uint64_t SoakManifests::newestVersion() const
{
    return this->lastVersion;
}

void SoakManifests::addRoute()
{
    if (this->routes.size() < MaxRoutes) {
        this->routes.push_back({"/added-" + std::to_string(this->routes.size()) + "/", this->lastVersion + 1, {}});
    }
}

std::string SoakManifests::document(std::uint64_t version) const
{
    json::array written;
    for (const Route &route : this->routes) {
        if (route.addedBy <= version) {
            written.push_back(writeRoute(route.pathPrefix, version, this->serviceOf(route.pathPrefix, version)));
        }
    }
    json::array services{writeService(MainService)};
    if (this->hasMovingQueue) {
        services.push_back(writeService(OtherService));
    }
    json::object manifest{{"version", version}, {"routes", std::move(written)}, {"services", std::move(services)}, {"limits", json::object()}};
    if (this->extend) {
        this->extend(manifest, version);
    }
    return json::serialize(manifest);
}

std::string SoakManifests::invalidDocument(std::uint64_t version, ManifestFault fault)
{
    this->invalidVersions.insert(version);
    const std::string valid = this->document(version);
    if (fault == ManifestFault::CutShort) {
        return valid.substr(0, valid.size() / 2);
    }
    json::value manifest = json::parse(valid);
    json::array &written = manifest.as_object().at("routes").as_array();
    json::object &last = written.back().as_object();
    if (fault == ManifestFault::UnknownService) {
        last["service"] = "no-such-service";
    } else if (fault == ManifestFault::NoTimeout) {
        last["timeoutMs"] = 0;
    } else {
        const json::object copy = last;
        written.push_back(copy);
    }
    return json::serialize(manifest);
}

bool SoakManifests::isInvalid(std::uint64_t version) const
{
    return this->invalidVersions.contains(version);
}

void SoakManifests::onAcknowledged(std::uint64_t version, TimePoint at)
{
    for (Route &route : this->routes) {
        if (route.addedBy <= version && !route.confirmedAt) {
            route.confirmedAt = at;
        }
    }
}

std::optional<std::string> SoakManifests::drawConfirmedRoute(Random &random, TimePoint before) const
{
    std::vector<std::string> confirmed;
    for (const Route &route : this->routes) {
        if (route.confirmedAt && *route.confirmedAt < before) {
            confirmed.push_back(route.pathPrefix);
        }
    }
    return confirmed.empty() ? std::nullopt : std::optional(confirmed[random.below(confirmed.size())]);
}

} // namespace Filbertlanding
