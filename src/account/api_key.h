/** @file api_key.h Digests of API keys, and the account that a key belongs to. */

#pragma once

#include "account/account_type.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertlanding {

/** Returns the SHA-256 digest of an API key. */
KeyDigest digestOfKey(std::string_view apiKey);

/** Returns the first 8 hexadecimal digits of a digest, by which logs name a key. */
std::string shortDigest(const KeyDigest &digest);

/** Accounts by the digests of their keys. Only digests are compared, so the time of a search tells nothing about a key. */
class KeyIndex
{
public:
    KeyIndex() = default;

    /** Indexes the keys of accounts, which must not share one. */
    explicit KeyIndex(const std::vector<ClientAccount> &accounts);

    /** Returns the name of the account with a key, or nullptr. The pointer is valid for as long as the index. */
    const AccountName *findAccount(const KeyDigest &digest) const;

private:
    std::map<KeyDigest, AccountName> accountOfKey;
};

/** A key that a new configuration has added to an account, or removed from it. */
struct KeyChange {
    AccountName account;
    KeyDigest digest;
    bool isAdded = false;
};

/** Returns the keys that differ between two configurations, each once. A key that moves to another account is removed and added. */
std::vector<KeyChange> compareKeys(const std::vector<ClientAccount> &before, const std::vector<ClientAccount> &after);

} // namespace Filbertlanding
