/** @file account_check.cpp Checks the accounts of a manifest. */

#include "account/account_check.h"

#include <algorithm>
#include <set>

namespace Filbertlanding {

namespace {

    bool isNegative(const Resources &amount)
    {
        return amount.cpuMillis < 0 || amount.memoryMb < 0 || amount.accelerators < 0;
    }

} // namespace

std::optional<std::string> findAccountError(const std::vector<ClientAccount> &accounts)
{
    std::set<AccountName> names;
    std::map<KeyDigest, AccountName> accountOfKey;
    for (const ClientAccount &account : accounts) {
        const AccountTerms &terms = account.terms;
        if (terms.name.empty()) {
            return "an account has no name";
        }
        if (!names.insert(terms.name).second) {
            return "the account " + terms.name + " is listed twice";
        }
        if (terms.weight < 0 || isNegative(terms.limit)) {
            return "the account " + terms.name + " has a negative weight or limit";
        }
        for (const KeyDigest &digest : account.keys) {
            const auto [known, isNew] = accountOfKey.emplace(digest, terms.name);
            if (!isNew && known->second != terms.name) {
                return "the accounts " + known->second + " and " + terms.name + " share a key";
            }
        }
    }
    return std::nullopt;
}

const ClientAccount *findAccount(const std::vector<ClientAccount> &accounts, const AccountName &name)
{
    const auto found = std::find_if(accounts.begin(), accounts.end(), [&name](const ClientAccount &account) {
        return account.terms.name == name;
    });
    return found == accounts.end() ? nullptr : &*found;
}

bool hasKey(const ClientAccount &account, const KeyDigest &digest)
{
    return std::find(account.keys.begin(), account.keys.end(), digest) != account.keys.end();
}

} // namespace Filbertlanding
