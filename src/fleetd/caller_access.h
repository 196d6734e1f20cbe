/** @file caller_access.h Decides which calls are allowed, for which account, and which jobs a caller may see and cancel. */

#pragma once

#include "account/account_admission.h"
#include "account/api_key.h"
#include "core/result_code.h"
#include "fleet/fleet_state_base.h"

#include <string>
#include <string_view>

namespace Filbertlanding {

/** What a call may do. */
struct CallerAccess {
    ResultCode code = ResultCode::Ok; ///< Ok or KeyUnknown.
    AccountName account; ///< Account of the key; empty for none.
    KeyDigest keyDigest; ///< Digest of the key; empty without an account.
    bool seesAllJobs = false; ///< No accounts are configured, so that all jobs are visible.
};

/** Decides on a call to a queue of the manifest. `keys` must be the index of the accounts of this manifest. */
CallerAccess authorizeCall(const FleetManifest &manifest, const KeyIndex &keys, const QueueConfig &queue, std::string_view apiKey);

/** Returns whether a call to a queue may see and cancel a job. */
bool maySeeJob(const CallerAccess &access, const QueueConfig &queue, const JobOrigin &origin);

/** Returns a job as the admission of its account sees it. Run times are those that the caller declares. */
AccountJob makeAccountJob(const JobSpec &spec, const QueueConfig &queue);

/** Returns the message to a caller whose job is refused for a reason of its account. */
std::string accountRefusalMessage(AccountRefusalReason reason);

} // namespace Filbertlanding
