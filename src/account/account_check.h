/** @file account_check.h Checks the accounts of a manifest. */

#pragma once

#include "account/account_type.h"

#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/**
 * Returns why accounts are invalid, or nothing: an empty or duplicate name, a key that two accounts share, a negative weight or limit.
 * The text contains no key. Empty keys must be refused by the parser, since a digest does not show them.
 */
std::optional<std::string> findAccountError(const std::vector<ClientAccount> &accounts);

/** Returns the account with a name, or nullptr. */
const ClientAccount *findAccount(const std::vector<ClientAccount> &accounts, const AccountName &name);

/** Returns whether an account has a key. */
bool hasKey(const ClientAccount &account, const KeyDigest &digest);

} // namespace Filbertlanding
