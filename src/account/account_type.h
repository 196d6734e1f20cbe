/** @file account_type.h Client accounts: their API keys, limits and weights. */

#pragma once

#include "core/names_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Filbertlanding {

using KeyDigest = std::string; ///< SHA-256 digest of an API key, 32 bytes; see digestOfKey().

/** What an account may use. A copy is kept in each of its open jobs. */
struct AccountTerms {
    AccountName name; ///< Empty for jobs without an account, which have no limits.
    std::int64_t weight = 0; ///< Share when the workers are full, and jobs that may be submitted each second; 0 for no bound on the rate.
    Resources limit; ///< Most that its tasks may request together while they run; 0 for no limit of a resource.

    bool operator==(const AccountTerms &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->weight, this->limit);
    }
};

/** A client account of the manifest. */
struct ClientAccount {
    AccountTerms terms;
    std::vector<KeyDigest> keys; ///< Digests of its API keys; none if all are revoked.

    bool operator==(const ClientAccount &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->terms, this->keys);
    }
};

/** Requests of all runs of each account that may exist. Accounts without any are left out. */
using AccountUsage = std::map<AccountName, Resources>;

} // namespace Filbertlanding
