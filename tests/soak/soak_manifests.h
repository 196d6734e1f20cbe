/** @file soak_manifests.h The manifests of all simulated operators. Each version is used once, and routes are only added. */

#pragma once

#include "core/clock_type.h"
#include "core/random.h"

#include <cstdint>
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

    /** Returns a version that is higher than all others by the given step. */
    std::uint64_t next(std::uint64_t step);

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

private:
    struct Route {
        std::string pathPrefix;
        std::uint64_t addedBy = 0; ///< First version that has the route.
        std::optional<TimePoint> confirmedAt;
    };

    std::uint64_t lastVersion = 0;
    std::vector<Route> routes{{"/jobs/", 0, {}}};
    std::set<std::uint64_t> invalidVersions;
};

} // namespace Filbertlanding
