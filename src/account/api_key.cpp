/** @file api_key.cpp Digests of API keys, and the account that a key belongs to. */

#include "account/api_key.h"

#include "account/account_check.h"

#include <openssl/evp.h>

#include <new>

namespace Filbertlanding {

namespace {

    /** Appends the keys of accounts that other accounts of the same name lack. */
    void appendMissing(const std::vector<ClientAccount> &accounts, const std::vector<ClientAccount> &others, bool isAdded, std::vector<KeyChange> &changes)
    {
        for (const ClientAccount &account : accounts) {
            const ClientAccount *other = findAccount(others, account.terms.name);
            for (const KeyDigest &digest : account.keys) {
                if (other == nullptr || !hasKey(*other, digest)) {
                    changes.push_back({account.terms.name, digest, isAdded});
                }
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
    appendMissing(before, after, false, changes);
    appendMissing(after, before, true, changes);
    return changes;
}

} // namespace Filbertlanding
