/** @file soak_manifests.h The manifests of all simulated operators. Each version is used once, and routes are only added. */

#pragma once

#include "core/clock_type.h"
#include "core/random.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/** Why a manifest is invalid. */
enum class ManifestFault : std::uint8_t {
    UnknownService,
    SamePath, ///< Two routes have the same host and path prefix.
    NoTimeout, ///< The timeout of a route is 0.
    CutShort,
};

constexpr ManifestFault lastEnumerator(ManifestFault)
{
    return ManifestFault::CutShort;
}

/** Draws versions, writes manifests, and knows which routes must be served. */
class SoakManifests
{
public:
    static constexpr std::string_view QueueHost = "quotes.example";
    static constexpr std::string_view MainQueue = "/jobs/";
    static constexpr std::string_view MovingQueue = "/moving/"; ///< Its route changes its service.
    static constexpr std::string_view PublicQueue = "/open/"; ///< Needs no key; only if the manifests have accounts.
    static constexpr std::string_view MainService = "quote-desk";
    static constexpr std::string_view OtherService = "survey-desk";

    /** Adds the queue whose route changes its service, and that service, to all versions. */
    void addMovingQueue();

    /** Adds the public queue to all versions. */
    void addPublicQueue();

    /** Changes the service of that route from the next version on. */
    void moveRoute();

    /** Returns the services to which the manifests from a version on send a queue. */
    std::set<std::string> servicesOf(std::string_view queue, std::uint64_t oldestVersion) const;

    /** Returns a version that is higher than all others by the given step. */
    std::uint64_t next(std::uint64_t step);

    /** Returns the highest version so far. */
    std::uint64_t newestVersion() const;

    /** Adds a route to the next version and all later ones, unless there are many. */
    void addRoute();

    /** Returns the manifest of a version. */
    std::string document(std::uint64_t version) const;

    /** Returns an invalid manifest, and remembers its version as one that must never be in force. */
    std::string invalidDocument(std::uint64_t version, ManifestFault fault);

    bool isInvalid(std::uint64_t version) const;

    /** A manifest was acknowledged: its routes and those of older versions are confirmed. */
    void onAcknowledged(std::uint64_t version, TimePoint at);

    /** Returns the path prefix of a random route that was confirmed before the given time. */
    std::optional<std::string> drawConfirmedRoute(Random &random, TimePoint before) const;

    std::function<void(boost::json::object &, std::uint64_t)> extend; ///< Adds further fields to the manifest of a version, if set.

private:
    struct Route {
        std::string pathPrefix;
        std::uint64_t addedBy = 0; ///< First version that has the route.
        std::optional<TimePoint> confirmedAt;
    };

    std::string_view serviceOf(std::string_view queue, std::uint64_t version) const;

    std::uint64_t lastVersion = 0;
    std::vector<std::uint64_t> moves; ///< First version after each change of the moving route.
    bool hasMovingQueue = false;
    std::vector<Route> routes{{std::string(MainQueue), 0, {}}};
    std::set<std::uint64_t> invalidVersions;
};

} // namespace Filbertlanding
