/** @file api_key.cpp Digests of API keys, and the account that a key belongs to. */

#include "account/api_key.h"

#include <openssl/evp.h>

#include <new>
#include <set>
#include <utility>

namespace Filbertlanding {

namespace {

    using AccountKey = std::pair<AccountName, KeyDigest>;

    /** Returns each key of each account once, in order. */
    std::set<AccountKey> keysOf(const std::vector<ClientAccount> &accounts)
    {
        std::set<AccountKey> keys;
        for (const ClientAccount &account : accounts) {
            for (const KeyDigest &digest : account.keys) {
                keys.emplace(account.terms.name, digest);
            }
        }
        return keys;
    }

    /** Appends the keys that the other configuration lacks. */
    void appendMissing(const std::set<AccountKey> &keys, const std::set<AccountKey> &others, bool isAdded, std::vector<KeyChange> &changes)
    {
        for (const AccountKey &key : keys) {
            if (!others.contains(key)) {
                changes.push_back({key.first, key.second, isAdded});
            }
        }
    }

} // namespace

KeyDigest digestOfKey(std::string_view apiKey)
{
    KeyDigest digest(EVP_MAX_MD_SIZE, '\0');
    unsigned size = 0;
    if (EVP_Digest(apiKey.data(), apiKey.size(), reinterpret_cast<unsigned char *>(digest.data()), &size, EVP_sha256(), nullptr) != 1) {
        // SHA-256 itself cannot fail; only the memory of its context can be missing.
        throw std::bad_alloc();
    }
    digest.resize(size);
    return digest;
}

std::string shortDigest(const KeyDigest &digest)
{
    constexpr std::size_t ShownBytes = 4;
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const char c : digest.substr(0, ShownBytes)) {
        const auto byte = static_cast<unsigned char>(c);
        text += Digits[byte >> 4];
        text += Digits[byte & 0x0f];
    }
    return text;
}

KeyIndex::KeyIndex(const std::vector<ClientAccount> &accounts)
{
    for (const ClientAccount &account : accounts) {
        for (const KeyDigest &digest : account.keys) {
            this->accountOfKey.emplace(digest, account.terms.name);
        }
    }
}

const AccountName *KeyIndex::findAccount(const KeyDigest &digest) const
{
    const auto found = this->accountOfKey.find(digest);
    return found == this->accountOfKey.end() ? nullptr : &found->second;
}

std::vector<KeyChange> compareKeys(const std::vector<ClientAccount> &before, const std::vector<ClientAccount> &after)
{
    std::vector<KeyChange> changes;
    const std::set<AccountKey> oldKeys = keysOf(before);
    const std::set<AccountKey> newKeys = keysOf(after);
    appendMissing(oldKeys, newKeys, false, changes);
    appendMissing(newKeys, oldKeys, true, changes);
    return changes;
}

} // namespace Filbertlanding
