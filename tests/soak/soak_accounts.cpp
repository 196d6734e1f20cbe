/** @file soak_accounts.cpp The client accounts of all manifests. */

#include "soak/soak_accounts.h"

#include "core/clock_func.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iterator>
#include <sstream>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    constexpr std::size_t Accounts = 4;
    constexpr std::size_t MaxUsableKeys = 3;
    constexpr std::chrono::milliseconds MinChangeInterval{400};
    constexpr std::uint64_t ChangeIntervalRangeMs = 1'200;
    constexpr std::uint64_t DoubtfulKeyEvery = 5; ///< Among the calls of a caller, except cancellations.
    constexpr std::uint64_t PublicQueueEvery = 6; ///< Among the jobs.
    constexpr std::uint64_t NoLimitEvery = 5;

    bool isInForce(const SoakKey &key, std::uint64_t version)
    {
        return key.addedBy <= version && (!key.removedBy || version < *key.removedBy);
    }

    json::object writeAccount(const SoakAccount &account, std::uint64_t version)
    {
        json::array keys;
        for (const SoakKey &key : account.keys) {
            if (isInForce(key, version)) {
                keys.emplace_back(key.text);
            }
        }
        const SoakTerms &terms = std::prev(account.terms.upper_bound(version))->second;
        json::object cap{{"cpu", terms.limit.cpuMillis}, {"memMb", terms.limit.memoryMb}, {"gpu", 0}};
        return {{"name", account.name}, {"apiKeys", std::move(keys)}, {"weight", terms.weight}, {"cap", std::move(cap)}, {"priority", 0}};
    }

} // namespace

SoakAccounts::SoakAccounts(boost::asio::io_context &loop, std::uint64_t seed, SoakManifests &soakManifests, const SoakChecks &soakChecks)
    : manifests(soakManifests)
    , checks(soakChecks)
    , random{seed ^ 0xacc0ULL}
    , timer(loop)
{
}

void SoakAccounts::start()
{
    for (std::size_t i = 0; i < Accounts; ++i) {
        SoakAccount account;
        account.name = "account-" + std::to_string(i);
        for (std::size_t key = 0; key <= i % MaxUsableKeys; ++key) {
            account.keys.push_back({this->makeKey(), 0, {}});
        }
        account.terms[0] = this->drawTerms();
        this->all.push_back(std::move(account));
    }
    this->manifests.addPublicQueue();
    this->manifests.extend = [this](json::object &manifest, std::uint64_t version) {
        this->writeInto(manifest, version);
    };
    this->arm();
}

void SoakAccounts::stop()
{
    this->timer.cancel();
    for (SoakAccount &account : this->all) {
        account.terms[this->manifests.newestVersion() + 1] = {};
    }
}

void SoakAccounts::arm()
{
    this->timer.expires_after(MinChangeInterval + std::chrono::milliseconds(this->random.below(ChangeIntervalRangeMs)));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->change();
            this->arm();
        }
    });
}

void SoakAccounts::change()
{
    SoakAccount &account = this->all[this->random.below(this->all.size())];
    const std::uint64_t version = this->manifests.newestVersion() + 1;
    const auto usable = std::count_if(account.keys.begin(), account.keys.end(), [](const SoakKey &key) {
        return !key.removedBy;
    });
    ++this->changes;
    if (this->random.below(2) == 0) {
        account.terms[version] = this->drawTerms();
    } else if (static_cast<std::size_t>(usable) < MaxUsableKeys && this->random.below(2) == 0) {
        account.keys.push_back({this->makeKey(), version, {}});
    } else {
        this->removeKey(account);
    }
}

void SoakAccounts::removeKey(SoakAccount &account)
{
    std::vector<SoakKey *> settled;
    for (SoakKey &key : account.keys) {
        if (this->isSettled(key)) {
            settled.push_back(&key);
        }
    }
    // An account without a key could not learn how its jobs end.
    if (settled.size() > 1) {
        settled[this->random.below(settled.size())]->removedBy = this->manifests.newestVersion() + 1;
    } else {
        account.keys.push_back({this->makeKey(), this->manifests.newestVersion() + 1, {}});
    }
}

SoakTerms SoakAccounts::drawTerms()
{
    SoakTerms terms;
    terms.weight = static_cast<std::int64_t>(this->random.below(5));
    const bool isSmall = this->random.below(2) == 0;
    terms.limit.cpuMillis =
        isSmall ? 5'000 + static_cast<std::int64_t>(this->random.below(15'000)) : 30'000 + static_cast<std::int64_t>(this->random.below(90'000));
    terms.limit.memoryMb = 6'000 + static_cast<std::int64_t>(this->random.below(60'000));
    if (this->random.below(NoLimitEvery) == 0) {
        terms.limit.cpuMillis = 0;
    }
    if (this->random.below(2) == 0) {
        terms.limit.memoryMb = 0;
    }
    return terms;
}

bool SoakAccounts::isSettled(const SoakKey &key) const
{
    const std::optional<TimePoint> acknowledged = this->acknowledgedFrom(key.addedBy);
    return !key.removedBy && acknowledged && steadyNow() - *acknowledged > KeyLimit;
}

void SoakAccounts::assign(SoakJob &job)
{
    if (this->random.below(PublicQueueEvery) == 0) {
        job.queue = SoakManifests::PublicQueue;
    } else {
        job.account = this->all[this->random.below(this->all.size())].name;
    }
}

SoakCall SoakAccounts::drawCall(const SoakJob &job, const std::string &method)
{
    SoakCall call{job.queue, {}, steadyNow()};
    if (job.account.empty()) {
        call.apiKey = this->random.below(2) == 0 ? this->makeKey() : std::string();
        return call;
    }
    call.apiKey = this->drawSettledKey(job.account);
    if (method != "DELETE" && this->random.below(DoubtfulKeyEvery) == 0) {
        const auto account = std::find_if(this->all.begin(), this->all.end(), [&job](const SoakAccount &candidate) {
            return candidate.name == job.account;
        });
        call.apiKey = account->keys[this->random.below(account->keys.size())].text;
    }
    return call;
}

std::string SoakAccounts::drawSettledKey(const std::string &name)
{
    std::vector<std::string> settled;
    std::string newest;
    for (const SoakAccount &account : this->all) {
        for (const SoakKey &key : account.keys) {
            if (account.name == name && !key.removedBy) {
                newest = key.text;
                if (this->isSettled(key)) {
                    settled.push_back(key.text);
                }
            }
        }
    }
    return settled.empty() ? newest : settled[this->random.below(settled.size())];
}

const SoakAccount &SoakAccounts::drawOther(const std::string &name)
{
    for (;;) {
        const SoakAccount &account = this->all[this->random.below(this->all.size())];
        if (account.name != name) {
            return account;
        }
    }
}

std::string SoakAccounts::makeKey()
{
    std::ostringstream key;
    key << "sk-" << std::hex << std::setfill('0') << std::setw(16) << this->random.next() << std::setw(16) << this->random.next();
    return key.str();
}

const SoakKey *SoakAccounts::findKey(const std::string &text) const
{
    for (const SoakAccount &account : this->all) {
        for (const SoakKey &key : account.keys) {
            if (key.text == text) {
                return &key;
            }
        }
    }
    return nullptr;
}

std::optional<TimePoint> SoakAccounts::acknowledgedFrom(std::uint64_t version) const
{
    std::optional<TimePoint> first;
    const auto &acknowledged = this->checks.acknowledgedManifests;
    for (auto it = acknowledged.lower_bound(version); it != acknowledged.end(); ++it) {
        first = first ? std::min(*first, it->second) : it->second;
    }
    return first;
}

std::vector<SoakTerms> SoakAccounts::termsSince(const std::string &name, std::uint64_t oldestVersion) const
{
    std::vector<SoakTerms> terms;
    for (const SoakAccount &account : this->all) {
        if (account.name != name) {
            continue;
        }
        for (auto it = std::prev(account.terms.upper_bound(oldestVersion)); it != account.terms.end(); ++it) {
            // A change that no manifest has yet is not in force.
            if (it->first <= this->manifests.newestVersion()) {
                terms.push_back(it->second);
            }
        }
    }
    return terms;
}

std::uint64_t SoakAccounts::newestVersion() const
{
    return this->manifests.newestVersion();
}

void SoakAccounts::writeInto(json::object &manifest, std::uint64_t version) const
{
    json::array accounts;
    for (const SoakAccount &account : this->all) {
        accounts.push_back(writeAccount(account, version));
    }
    manifest["tenants"] = std::move(accounts);
}

} // namespace Filbertlanding
