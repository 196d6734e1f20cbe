/** @file soak_account_checks.cpp Checks the guarantees of client accounts from outside the daemons. */

#include "soak/soak_account_checks.h"

#include "core/clock_func.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace Filbertlanding {

namespace {

    constexpr Duration RemovalLimit{5'000}; ///< A removed key does not work later than this after the acknowledgement.
    constexpr Duration StartLimit{3'000}; ///< Time in which an order that the fault injection has not delayed starts a task.
    constexpr Duration DelayedStartLimit{15'000}; ///< The same for one that it has delayed.
    constexpr Duration UncertainTime{22'000}; ///< Longest lease and longest order delay: a run of a lost worker counts for this long.
    constexpr unsigned Succeeded = 200;
    constexpr unsigned KeyRefused = 401;
    constexpr unsigned OtherAccount = 409;
    constexpr unsigned JobNotSeen = 410;
    constexpr unsigned LimitExceeded = 422;
    constexpr unsigned TooMuch = 429;

    /** Returns whether a status says that the key was accepted. */
    bool showsAcceptedKey(unsigned status)
    {
        return status == Succeeded || status == OtherAccount || status == JobNotSeen || status == LimitExceeded;
    }

    /** Returns whether an amount exceeds a limit by more than the tolerance, a tenth and one task. */
    bool isBeyond(std::int64_t amount, std::int64_t limit, std::int64_t task)
    {
        return (amount - task) * 10 > limit * 11;
    }

    /** Returns the highest limit; 0 if there is none in one of the terms. */
    std::int64_t highestLimit(const std::vector<SoakTerms> &terms, std::int64_t Resources::*resource)
    {
        std::int64_t highest = 0;
        for (const SoakTerms &item : terms) {
            if (item.limit.*resource == 0) {
                return 0;
            }
            highest = std::max(highest, item.limit.*resource);
        }
        return highest;
    }

    /** Returns the lowest limit; 0 if there is none in any of the terms. */
    std::int64_t lowestLimit(const std::vector<SoakTerms> &terms, std::int64_t Resources::*resource)
    {
        std::int64_t lowest = 0;
        for (const SoakTerms &item : terms) {
            const std::int64_t limit = item.limit.*resource;
            lowest = lowest == 0 || (limit != 0 && limit < lowest) ? limit : lowest;
        }
        return lowest;
    }

    std::string describe(const SoakCall &call, unsigned status)
    {
        return "HTTP status " + std::to_string(status) + " on queue " + call.queue + ", sent " + std::to_string((steadyNow() - call.sentAt).ms) + " ms ago";
    }

} // namespace

SoakAccountChecks::SoakAccountChecks(SoakAccounts &soakAccounts, const SoakWorkers &soakWorkers, SoakChecks &soakChecks)
    : accounts(soakAccounts)
    , workers(soakWorkers)
    , checks(soakChecks)
{
}

void SoakAccountChecks::onAnswered(const SoakCall &call, unsigned status)
{
    ++this->calls;
    this->refusedCalls += status == KeyRefused ? 1 : 0;
    this->refusedForLimit += status == LimitExceeded ? 1 : 0;
    this->refusedForLoad += status == TooMuch ? 1 : 0;
    if (call.queue == SoakManifests::PublicQueue) {
        if (status == KeyRefused) {
            this->checks.addViolation("a call on the public queue was refused: " + describe(call, status));
        }
        return;
    }
    const SoakKey *key = this->accounts.findKey(call.apiKey);
    if (showsAcceptedKey(status)) {
        this->checkAllowed(call, key, status);
    } else if (status == KeyRefused && key != nullptr) {
        this->checkWorks(call, *key);
    }
}

void SoakAccountChecks::checkAllowed(const SoakCall &call, const SoakKey *key, unsigned status)
{
    if (key == nullptr || key->addedBy > this->accounts.newestVersion()) {
        this->checks.addViolation("a call with a key that no manifest has ever held, or without one, was accepted: " + describe(call, status));
        return;
    }
    const std::optional<TimePoint> removed = key->removedBy ? this->accounts.acknowledgedFrom(*key->removedBy) : std::nullopt;
    if (!removed) {
        return;
    }
    if (call.sentAt - *removed > RemovalLimit) {
        this->checks.addViolation("a call with a removed key was accepted, sent " + std::to_string((call.sentAt - *removed).ms)
                                  + " ms after the acknowledgement of the removal: " + describe(call, status));
    }
    this->acceptedRemoved += call.sentAt > *removed ? 1 : 0;
}

void SoakAccountChecks::checkWorks(const SoakCall &call, const SoakKey &key)
{
    const std::optional<TimePoint> added = this->accounts.acknowledgedFrom(key.addedBy);
    if (added && !key.removedBy && call.sentAt - *added > SoakAccounts::KeyLimit) {
        this->checks.addViolation("a call with a valid key was refused, sent " + std::to_string((call.sentAt - *added).ms)
                                  + " ms after the acknowledgement of the key: " + describe(call, KeyRefused));
    }
}

void SoakAccountChecks::onSubmissionAnswered(const SoakJob &job, const SoakCall &call, unsigned status)
{
    if (status == OtherAccount) {
        this->checks.addViolation("a submission was refused as the job of another account: " + describe(call, status));
    }
    if (status != LimitExceeded) {
        return;
    }
    const std::vector<SoakTerms> terms = this->accounts.termsSince(job.account, this->checks.newestAcknowledgedBefore(call.sentAt));
    const std::int64_t cpuLimit = lowestLimit(terms, &Resources::cpuMillis);
    const std::int64_t memoryLimit = lowestLimit(terms, &Resources::memoryMb);
    const bool isLarger = std::any_of(job.spec.steps.begin(), job.spec.steps.end(), [cpuLimit, memoryLimit](const StepSpec &step) {
        return (cpuLimit != 0 && step.request.cpuMillis > cpuLimit) || (memoryLimit != 0 && step.request.memoryMb > memoryLimit);
    });
    if (!isLarger) {
        this->checks.addViolation("a job without a task above the limit of its account was refused: " + describe(call, status));
    }
}

void SoakAccountChecks::onForeignAnswered(const JobId &id, const SoakCall &call, unsigned status)
{
    this->onAnswered(call, status);
    this->foreignRefused += status == OtherAccount || status == JobNotSeen ? 1 : 0;
    if (status == Succeeded) {
        this->checks.addViolation("a job was reached with the key of another account or without one: " + id + ", " + describe(call, status));
    }
}

SoakAccountChecks::Usage SoakAccountChecks::usageOf(const std::string &account) const
{
    Usage usage;
    for (const auto &[task, request] : this->workers.runningRequests()) {
        const auto job = this->checks.jobs.find(task.job);
        if (job == this->checks.jobs.end() || job->second.account != account) {
            continue;
        }
        usage.total = usage.total + request;
        usage.largest.cpuMillis = std::max(usage.largest.cpuMillis, request.cpuMillis);
        usage.largest.memoryMb = std::max(usage.largest.memoryMb, request.memoryMb);
    }
    return usage;
}

void SoakAccountChecks::onStarted(const TaskName &task, bool isDelayed)
{
    const auto job = this->checks.jobs.find(task.job);
    if (job == this->checks.jobs.end() || job->second.account.empty()) {
        return;
    }
    const std::string &account = job->second.account;
    const Duration window = isDelayed ? DelayedStartLimit : StartLimit;
    const std::uint64_t oldest = this->checks.newestAcknowledgedBefore(steadyNow() - window);
    const std::vector<SoakTerms> terms = this->accounts.termsSince(account, oldest);
    const Usage usage = this->usageOf(account);
    for (const auto resource : {&Resources::cpuMillis, &Resources::memoryMb}) {
        const std::int64_t limit = highestLimit(terms, resource);
        this->checkedStarts += limit != 0 ? 1 : 0;
        if (limit != 0 && isBeyond(usage.total.*resource, limit, usage.largest.*resource)) {
            this->checks.addViolation("a task was started beyond the limit of its account: " + formatTaskName(task) + " of " + account + ", "
                                      + std::to_string(usage.total.*resource) + " of " + std::to_string(limit)
                                      + (resource == &Resources::cpuMillis ? " thousandths of a core" : " MB") + ", versions from " + std::to_string(oldest)
                                      + (isDelayed ? ", delayed" : ""));
        }
    }
}

bool SoakAccountChecks::mayBeHeld(const SoakJob &job, Duration calmTime) const
{
    if (job.account.empty()) {
        return false;
    }
    const std::vector<SoakTerms> terms = this->accounts.termsSince(job.account, this->checks.newestAcknowledgedBefore(steadyNow() - StartLimit));
    const Usage usage = this->usageOf(job.account);
    for (const auto resource : {&Resources::cpuMillis, &Resources::memoryMb}) {
        const std::int64_t limit = lowestLimit(terms, resource);
        if (limit != 0 && (calmTime < UncertainTime || usage.total.*resource * 2 >= limit)) {
            return true;
        }
    }
    return false;
}

void SoakAccountChecks::searchLogs(const std::filesystem::path &folder)
{
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() != ".log") {
            continue;
        }
        std::ifstream file(entry.path(), std::ios::binary);
        const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        for (const SoakAccount &account : this->accounts.all) {
            for (const SoakKey &key : account.keys) {
                if (text.find(key.text) != std::string::npos) {
                    this->checks.addViolation("a key of " + account.name + " is in " + entry.path().filename().string());
                }
            }
        }
    }
}

} // namespace Filbertlanding
