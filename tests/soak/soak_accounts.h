/** @file soak_accounts.h The client accounts of all manifests: their keys, weights and limits by version. */

#pragma once

#include "core/random.h"
#include "soak/soak_checks.h"
#include "soak/soak_manifests.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** A key. Each is added once and removed at most once. */
struct SoakKey {
    std::string text;
    std::uint64_t addedBy = 0; ///< First version that has the key.
    std::optional<std::uint64_t> removedBy; ///< First later version without it.
};

/** Weight and limit of an account. */
struct SoakTerms {
    std::int64_t weight = 0;
    Resources limit; ///< 0 for no limit of a resource.
};

/** An account. No manifest is without it. */
struct SoakAccount {
    std::string name;
    std::vector<SoakKey> keys;
    std::map<std::uint64_t, SoakTerms> terms; ///< By the first version that has them.
};

/** A call of a caller. */
struct SoakCall {
    std::string queue;
    std::string apiKey; ///< Empty if the call carries no key.
    TimePoint sentAt;
};

/** Adds accounts to the manifests and changes them every second. It draws its own random numbers, so that the faults of a seed stay the same. */
class SoakAccounts
{
public:
    static constexpr Duration KeyLimit{2'500}; ///< A new key works everywhere after this time from the acknowledgement.

    SoakAccounts(boost::asio::io_context &loop, std::uint64_t seed, SoakManifests &soakManifests, const SoakChecks &soakChecks);

    /** Adds the accounts and the public queue to all manifests, and begins to change the accounts. */
    void start();

    /** Changes the accounts no more. The next manifest has no limits, since small ones would delay the last jobs beyond the end of the run. */
    void stop();

    /** Gives a job to an account, or to none on the public queue. */
    void assign(SoakJob &job);

    /** Returns the call of a caller of a job. One in five carries a key that may not be valid, except cancellations. */
    SoakCall drawCall(const SoakJob &job, const std::string &method);

    /** Returns a key of an account that works everywhere. */
    std::string drawSettledKey(const std::string &account);

    /** Returns an account other than the one with this name. */
    const SoakAccount &drawOther(const std::string &name);

    /** Returns a key that no manifest ever holds. */
    std::string makeKey();

    /** Returns a key that a manifest holds, or may hold later. */
    const SoakKey *findKey(const std::string &text) const;

    /** Returns the first acknowledgement of a version or a higher one. */
    std::optional<TimePoint> acknowledgedFrom(std::uint64_t version) const;

    /** Returns all terms of an account in the manifests from a version on. */
    std::vector<SoakTerms> termsSince(const std::string &account, std::uint64_t oldestVersion) const;

    /** Returns the highest version that a manifest has. */
    std::uint64_t newestVersion() const;

    std::vector<SoakAccount> all;
    std::uint64_t changes = 0;

private:
    void arm();
    void change();
    void removeKey(SoakAccount &account);
    SoakTerms drawTerms();
    bool isSettled(const SoakKey &key) const;
    void writeInto(boost::json::object &manifest, std::uint64_t version) const;

    SoakManifests &manifests;
    const SoakChecks &checks;
    Random random;
    boost::asio::steady_timer timer;
};

} // namespace Filbertlanding
