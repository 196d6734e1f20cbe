/** @file account_test.cpp Tests of the decisions on client accounts: keys, checks, limits, shares, submission rate and admission. */

#include "account/account_admission.h"
#include "account/account_check.h"
#include "account/account_limit.h"
#include "account/api_key.h"
#include "account/fair_share.h"
#include "account/submission_rate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <limits>

using namespace Filbertlanding;

namespace {

constexpr std::int64_t Billion = 1'000'000'000;
constexpr TimePoint Start{50'000};

AccountTerms terms(const AccountName &name, std::int64_t weight, Resources limit = {})
{
    return {name, weight, limit};
}

ClientAccount account(const AccountName &name, const std::vector<std::string> &keys, std::int64_t weight = 1, Resources limit = {})
{
    ClientAccount made{terms(name, weight, limit), {}};
    for (const std::string &key : keys) {
        made.keys.push_back(digestOfKey(key));
    }
    return made;
}

/** Returns how many submissions are accepted in a row. */
std::size_t countAccepted(SubmissionBuckets &buckets, const AccountTerms &of, TimePoint now, std::size_t tries)
{
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < tries; ++i) {
        accepted += takeSubmissionToken(buckets, of, now) ? 0 : 1;
    }
    return accepted;
}

rc::Gen<Resources> genResources(std::int64_t most)
{
    const auto amount = rc::gen::inRange<std::int64_t>(0, most + 1);
    return rc::gen::construct<Resources>(amount, amount, amount);
}

} // namespace

TEST_CASE("API keys are known by their SHA-256 digests")
{
    SUBCASE("the digest is that of FIPS 180-4")
    {
        // Guards against a digest that another build computes otherwise, with which no stored key would be found again.
        const KeyDigest digest = digestOfKey("abc");
        CHECK(digest.size() == 32);
        CHECK(shortDigest(digest) == "ba7816bf");
        CHECK(shortDigest(digestOfKey("")) == "e3b0c442");
        CHECK(digestOfKey(std::string_view("a\0b", 3)) != digestOfKey("a"));
    }
    SUBCASE("a damaged digest has a short form too")
    {
        // Guards against a read past the end when a log line names a key of a damaged command.
        CHECK(shortDigest("").empty());
        CHECK(shortDigest("\xff") == "ff");
    }
    SUBCASE("the index finds the account of each key and no other")
    {
        // Guards against a key that is taken for that of another account, or a revoked one that is still found.
        const KeyIndex index({account("a", {"k1", "k2", "k1"}), account("none", {}), account("b", {"k3"})});
        REQUIRE(index.findAccount(digestOfKey("k1")) != nullptr);
        CHECK(*index.findAccount(digestOfKey("k1")) == "a");
        CHECK(*index.findAccount(digestOfKey("k2")) == "a");
        CHECK(*index.findAccount(digestOfKey("k3")) == "b");
        CHECK(index.findAccount(digestOfKey("k4")) == nullptr);
        CHECK(index.findAccount("") == nullptr);
        CHECK(index.findAccount("k1") == nullptr);
        CHECK(KeyIndex().findAccount(digestOfKey("k1")) == nullptr);
    }
}

TEST_CASE("Changes of keys are found, each once")
{
    const auto describe = [](const std::vector<KeyChange> &changes) {
        std::vector<std::string> texts;
        texts.reserve(changes.size());
        for (const KeyChange &change : changes) {
            texts.push_back((change.isAdded ? "+" : "-") + change.account + shortDigest(change.digest));
        }
        std::sort(texts.begin(), texts.end());
        return texts;
    };
    const std::string k1 = shortDigest(digestOfKey("k1"));
    const std::string k2 = shortDigest(digestOfKey("k2"));
    using Texts = std::vector<std::string>;

    SUBCASE("a key that moves to another account is removed and added")
    {
        CHECK(describe(compareKeys({account("a", {"k1"})}, {account("a", {}), account("b", {"k1"})})) == Texts{"+b" + k1, "-a" + k1});
    }
    SUBCASE("an account that is added or removed brings or takes its keys")
    {
        CHECK(describe(compareKeys({}, {account("a", {"k1", "k2"})})) == (k1 < k2 ? Texts{"+a" + k1, "+a" + k2} : Texts{"+a" + k2, "+a" + k1}));
        CHECK(describe(compareKeys({account("a", {"k1"})}, {})) == Texts{"-a" + k1});
    }
    SUBCASE("a key that is listed twice is one key")
    {
        // Guards against two log lines for one decision.
        CHECK(describe(compareKeys({}, {account("a", {"k1", "k1"})})) == Texts{"+a" + k1});
        CHECK(describe(compareKeys({account("a", {"k1", "k1"})}, {account("a", {"k1"})})).empty());
    }
    SUBCASE("another weight, limit or order is no change")
    {
        CHECK(compareKeys({account("a", {"k1", "k2"}, 1), account("b", {"k3"})}, {account("b", {"k3"}), account("a", {"k2", "k1"}, 9)}).empty());
    }
}

TEST_CASE("Invalid accounts are refused with a message that names no key")
{
    const std::string secret = "do-not-print-this";
    const auto errorOf = [&secret](const std::vector<ClientAccount> &accounts) {
        std::string error = findAccountError(accounts).value_or("");
        CHECK(error.find(secret) == std::string::npos);
        CHECK(error.find(digestOfKey(secret)) == std::string::npos);
        CHECK(error.find(shortDigest(digestOfKey(secret))) == std::string::npos);
        return error;
    };

    SUBCASE("valid ones")
    {
        // Guards against a refusal of what the contract allows: one key twice in an account, no keys, zero weights and limits, very large ones.
        CHECK(errorOf({}).empty());
        CHECK(errorOf({account("a", {secret, secret}, 0), account("b", {})}).empty());
        const std::int64_t most = std::numeric_limits<std::int64_t>::max();
        CHECK(errorOf({account("a", {secret}, most, {most, most, most})}).empty());
    }
    SUBCASE("two accounts of one name")
    {
        CHECK(errorOf({account("a", {secret}), account("b", {}), account("a", {secret})}) == "the account a is listed twice");
    }
    SUBCASE("no name")
    {
        CHECK(errorOf({account("a", {}), account("", {secret})}) == "an account has no name");
    }
    SUBCASE("a shared key")
    {
        // Guards against a call that would be counted for either account.
        CHECK(errorOf({account("a", {"k1", secret}), account("b", {"k2"}), account("c", {"k3", secret})}) == "the accounts a and c share a key");
    }
    SUBCASE("negative numbers")
    {
        const std::string error = "the account a has a negative weight or limit";
        CHECK(errorOf({account("a", {secret}, -1)}) == error);
        CHECK(errorOf({account("a", {secret}, 1, {-1, 0, 0})}) == error);
        CHECK(errorOf({account("a", {secret}, 1, {0, -1, 0})}) == error);
        CHECK(errorOf({account("a", {secret}, 1, {0, 0, -1})}) == error);
    }
}

TEST_CASE("Tasks start within the limit of their account")
{
    SUBCASE("up to the limit, in each resource")
    {
        const Resources limit{4'000, 8'000, 2};
        CHECK(mayStartTask(limit, {2'000, 4'000, 1}, {2'000, 4'000, 1}));
        CHECK_FALSE(mayStartTask(limit, {2'000, 4'000, 1}, {2'001, 4'000, 1}));
        CHECK_FALSE(mayStartTask(limit, {2'000, 4'000, 1}, {2'000, 4'001, 1}));
        CHECK_FALSE(mayStartTask(limit, {2'000, 4'000, 1}, {2'000, 4'000, 2}));
    }
    SUBCASE("0 is no limit")
    {
        CHECK(mayStartTask({}, {Billion, Billion, Billion}, {Billion, Billion, Billion}));
        CHECK(mayStartTask({0, 8'000, 0}, {Billion, 4'000, Billion}, {Billion, 4'000, Billion}));
        CHECK(mayStartGang({}, {Billion, Billion, Billion}, {Billion, Billion, Billion}, 20'000));
    }
    SUBCASE("a task that needs more than half starts below half of the limit")
    {
        // Guards against a large task that waits for ever behind the small ones of its own account.
        CHECK(mayStartTask({4'000, 0, 0}, {1'999, 0, 0}, {4'000, 0, 0}));
        CHECK_FALSE(mayStartTask({4'000, 0, 0}, {2'000, 0, 0}, {4'000, 0, 0}));
        CHECK_FALSE(mayStartTask({4'000, 4'000, 0}, {1'999, 2'000, 0}, {4'000, 0, 0}));
        CHECK(mayStartTask({1, 0, 0}, {0, 0, 0}, {1, 0, 0}));
    }
    SUBCASE("a gang only as a whole and only within the limit")
    {
        CHECK(mayStartGang({4'000, 0, 0}, {0, 0, 0}, {1'000, 0, 0}, 4));
        CHECK_FALSE(mayStartGang({4'000, 0, 0}, {1, 0, 0}, {1'000, 0, 0}, 4));
        CHECK_FALSE(mayStartGang({4'000, 0, 0}, {0, 0, 0}, {1'000, 0, 0}, 5));
    }
    SUBCASE("the largest requests of all tasks do not overflow")
    {
        // Guards against a sum that turns negative and passes every limit.
        const Resources most{Billion, Billion, Billion};
        CHECK_FALSE(mayStartGang(most, {}, most, 20'000));
        CHECK(mayStartGang({20'000 * Billion, 20'000 * Billion, 20'000 * Billion}, {}, most, 20'000));
        const std::int64_t largest = std::numeric_limits<std::int64_t>::max();
        CHECK(mayStartTask({largest, largest, largest}, {Billion, Billion, Billion}, most));
        CHECK_FALSE(mayStartTask({1, 1, 1}, {Billion, Billion, Billion}, most));
    }
}

TEST_CASE("Usage stays within the tolerance of the limit")
{
    // Guards against starts below half of the limit that add up to more than the contract tolerates.
    CHECK(rc::check("for any starts and ends", [] {
        const Resources limit = *genResources(Billion);
        const auto requests = *rc::gen::container<std::vector<Resources>>(genResources(Billion));
        AccountUsage usage;
        std::vector<Resources> running;
        for (const Resources &request : requests) {
            if (!isWithinLimit(request, limit)) {
                continue; // Admission refuses it.
            }
            if (mayStartTask(limit, usageOf(usage, "a"), request)) {
                addUsage(usage, "a", request);
                running.push_back(request);
            } else if (!running.empty()) {
                subtractUsage(usage, "a", running.back());
                running.pop_back();
            }
            const auto most = [&requests](auto part) {
                std::int64_t largest = 0;
                for (const Resources &any : requests) {
                    largest = std::max(largest, any.*part);
                }
                return largest;
            };
            const Resources used = usageOf(usage, "a");
            for (const auto part : {&Resources::cpuMillis, &Resources::memoryMb, &Resources::accelerators}) {
                const bool isTolerated = limit.*part == 0 || used.*part <= limit.*part * 11 / 10 + most(part);
                RC_ASSERT(isTolerated);
            }
        }
        for (const Resources &request : running) {
            subtractUsage(usage, "a", request);
        }
        RC_ASSERT(usage.empty());
    }));
}

TEST_CASE("Usage is the sum of what runs")
{
    AccountUsage usage;
    SUBCASE("without an account nothing is counted")
    {
        addUsage(usage, "", {1, 2, 3});
        CHECK(usage.empty());
        subtractUsage(usage, "", {1, 2, 3});
        subtractUsage(usage, "unknown", {1, 2, 3});
        CHECK(usage.empty());
    }
    SUBCASE("the order of starts and ends leaves no trace")
    {
        // Guards against an entry without usage on one replica only: a task without a request left one, until another task ended.
        addUsage(usage, "a", {});
        CHECK(usage.empty());
        addUsage(usage, "a", {1, 2, 3});
        addUsage(usage, "a", {});
        subtractUsage(usage, "a", {1, 2, 3});
        CHECK(usage.empty());
    }
}

TEST_CASE("Shares compare accounts by weight and dominant resource")
{
    const Resources capacity{100'000, 100'000, 10};

    SUBCASE("the dominant resource is the one of which most is taken")
    {
        CHECK(dominantShare({50'000, 10'000, 1}, capacity) == doctest::Approx(0.5));
        CHECK(dominantShare({10'000, 10'000, 6}, capacity) == doctest::Approx(0.6));
        CHECK(dominantShare({Billion * 20'000, 0, 0}, {Billion * 40'000, 0, 0}) == doctest::Approx(0.5));
    }
    SUBCASE("no capacity is no share")
    {
        // Guards against a division by zero while no worker is known.
        CHECK(dominantShare({50'000, 10'000, 1}, {}) == 0.0);
        CHECK(classifyShares({{"a", 1, {50'000, 0, 0}}, {"b", 0, {}}}, {}).at("a") == ShareClass::Within);
        CHECK(classifyShares({}, capacity).empty());
    }
    SUBCASE("a heavier account may use more")
    {
        const auto classes = classifyShares({{"heavy", 3, {60'000, 0, 0}}, {"light", 1, {30'000, 0, 0}}}, capacity);
        CHECK(classes.at("heavy") == ShareClass::Within);
        CHECK(classes.at("light") == ShareClass::Above);
    }
    SUBCASE("a weight of 0 counts as 1")
    {
        CHECK(classifyShares({{"a", 0, {30'000, 0, 0}}, {"b", 1, {30'000, 0, 0}}}, capacity)
              == std::map<AccountName, ShareClass>{{"a", ShareClass::Within}, {"b", ShareClass::Within}});
    }
    SUBCASE("an account that waits without using anything is within its share, and one with nearly all is far above")
    {
        // Guards against a few large accounts that keep a new one from the workers.
        const auto classes = classifyShares({{"large", 1, {90'000, 0, 0}}, {"other", 1, {5'000, 0, 0}}, {"new", 1, {}}}, capacity);
        CHECK(classes.at("large") == ShareClass::FarAbove);
        CHECK(classes.at("other") == ShareClass::Within);
        CHECK(classes.at("new") == ShareClass::Within);
    }
    SUBCASE("different dominant resources are comparable")
    {
        const auto classes = classifyShares({{"cpu", 1, {40'000, 1'000, 0}}, {"gpu", 1, {1'000, 1'000, 4}}}, capacity);
        CHECK(classes.at("cpu") == ShareClass::Within);
        CHECK(classes.at("gpu") == ShareClass::Within);
    }
    SUBCASE("equal accounts and a single one are within their shares whatever they use")
    {
        // Guards against rounding that puts them above, behind work without an account.
        for (std::int64_t used = 1; used < 100'000; used += 97) {
            for (const std::int64_t weight : {0, 1, 3, 7, 49, 1'000'000'000}) {
                const auto accounts = static_cast<std::size_t>(1 + used % 9);
                std::vector<AccountDemand> demands;
                demands.reserve(accounts);
                for (std::size_t i = 0; i < accounts; ++i) {
                    demands.push_back({"a" + std::to_string(i), weight, {used, 0, 0}});
                }
                for (const auto &[name, shareClass] : classifyShares(demands, capacity)) {
                    REQUIRE_MESSAGE(shareClass == ShareClass::Within, used << " of weight " << weight << " by " << demands.size());
                }
            }
        }
    }
}

TEST_CASE("An account submits as often as its weight says")
{
    SubmissionBuckets buckets;

    SUBCASE("5 s worth at once, then at its rate")
    {
        CHECK(countAccepted(buckets, terms("a", 3), Start, 100) == 15);
        CHECK(countAccepted(buckets, terms("a", 3), Start + Duration{1'000}, 100) == 3);
        CHECK(countAccepted(buckets, terms("a", 3), Start + Duration{3'600'000}, 100) == 15);
        CHECK(countAccepted(buckets, terms("b", 1), Start, 100) == 5);
    }
    SUBCASE("a weight of 0 has no bound")
    {
        CHECK(countAccepted(buckets, terms("a", 0), Start, 10'000) == 10'000);
        CHECK(buckets.empty());
    }
    SUBCASE("the largest weight does not overflow")
    {
        const AccountTerms huge = terms("a", std::numeric_limits<std::int64_t>::max());
        CHECK(countAccepted(buckets, huge, Start, 1'000) == 1'000);
        CHECK(countAccepted(buckets, huge, TimePoint{std::numeric_limits<std::int64_t>::max()}, 1'000) == 1'000);
    }
    SUBCASE("another weight counts at once")
    {
        // Guards against a lowered weight that leaves the burst of the higher one.
        CHECK_FALSE(takeSubmissionToken(buckets, terms("a", 1'000), Start));
        CHECK(countAccepted(buckets, terms("a", 2), Start, 100) == 10);
    }
    SUBCASE("a time that goes back neither takes nor gives submissions")
    {
        CHECK(countAccepted(buckets, terms("a", 1), Start, 3) == 3);
        CHECK(countAccepted(buckets, terms("a", 1), Start - Duration{60'000}, 1) == 1);
        CHECK(countAccepted(buckets, terms("a", 1), Start, 100) == 1);
    }
    SUBCASE("the stated wait is the shortest one")
    {
        CHECK(countAccepted(buckets, terms("a", 3), Start, 15) == 15);
        const auto wait = takeSubmissionToken(buckets, terms("a", 3), Start);
        REQUIRE(wait);
        CHECK(wait->ms == 334);
    }
}

TEST_CASE("A submission at the stated time is accepted")
{
    // Guards against a Retry-After at which rounding refuses the caller once more.
    CHECK(rc::check("after any submissions at any times", [] {
        const AccountTerms of = terms("a", *rc::gen::oneOf(rc::gen::inRange<std::int64_t>(1, 50), rc::gen::inRange<std::int64_t>(1, 2 * Billion)));
        const auto steps = *rc::gen::container<std::vector<std::int64_t>>(300, rc::gen::inRange<std::int64_t>(-5, 40));
        SubmissionBuckets buckets;
        TimePoint now = Start;
        for (const std::int64_t step : steps) {
            now = now + Duration{step};
            if (const auto wait = takeSubmissionToken(buckets, of, now)) {
                RC_ASSERT(wait->ms > 0);
                SubmissionBuckets later = buckets;
                RC_ASSERT(!takeSubmissionToken(later, of, now + *wait));
            }
        }
    }));
}

TEST_CASE("A job that its own account cannot serve in time is refused")
{
    SubmissionBuckets buckets;
    const AccountTerms of = terms("a", 1, {2'000, 8'000, 1});
    AccountJob job{{1'000, 1'000, 0}, 1.0, {3'000}};

    SUBCASE("a task that exceeds the limit, before all other reasons")
    {
        job.largestStart = {2'001, 0, 0};
        const auto refusal = findAccountRefusal(buckets, of, 1'000.0, job, Start);
        REQUIRE(refusal);
        CHECK(refusal->reason == AccountRefusalReason::Limit);
        CHECK(refusal->retryAfter.ms == 0);
        CHECK(buckets.empty());
    }
    SUBCASE("too much waiting work, before the rate")
    {
        CHECK(countAccepted(buckets, of, Start, 5) == 5);
        const auto refusal = findAccountRefusal(buckets, of, 8.0, job, Start);
        REQUIRE(refusal);
        CHECK(refusal->reason == AccountRefusalReason::Backlog);
        CHECK(refusal->retryAfter.ms == 1'000);
    }
    SUBCASE("no refusal by limit or backlog takes a token")
    {
        // Guards against refused jobs that use up the rate of the account.
        AccountJob tooLarge = job;
        tooLarge.largestStart.accelerators = 2;
        for (int i = 0; i < 100; ++i) {
            CHECK(findAccountRefusal(buckets, of, 8.0, job, Start)->reason == AccountRefusalReason::Backlog);
            CHECK(findAccountRefusal(buckets, of, 0.0, tooLarge, Start)->reason == AccountRefusalReason::Limit);
        }
        CHECK(countAccepted(buckets, of, Start, 100) == 5);
    }
    SUBCASE("the rate last, with the time of the next token")
    {
        CHECK(countAccepted(buckets, of, Start, 5) == 5);
        const auto refusal = findAccountRefusal(buckets, of, 6.0, job, Start);
        REQUIRE(refusal);
        CHECK(refusal->reason == AccountRefusalReason::Rate);
        CHECK(refusal->retryAfter.ms == 1'000);
        CHECK_FALSE(findAccountRefusal(buckets, of, 6.0, job, Start + refusal->retryAfter));
    }
    SUBCASE("not because of the backlog without a CPU limit, or if it is long-running")
    {
        CHECK_FALSE(findAccountRefusal(buckets, terms("b", 0, {0, 8'000, 0}), 1e9, job, Start));
        job.cpuSeconds = 0;
        CHECK_FALSE(findAccountRefusal(buckets, of, 1e9, job, Start));
    }
    SUBCASE("a backlog that no number of milliseconds expresses is a refusal")
    {
        // Guards against an undefined conversion that turns the longest wait into none.
        const auto refusal = findAccountRefusal(buckets, terms("a", 1, {1, 0, 0}), 1e18, {{}, 1.0, {3'000}}, Start);
        REQUIRE(refusal);
        CHECK(refusal->reason == AccountRefusalReason::Backlog);
        CHECK(refusal->retryAfter.ms > 0);
    }
}
