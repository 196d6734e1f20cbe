/** @file caller_access_test.cpp Tests of the access of callers to queues and jobs, of jobs as admission sees them, and of the metrics of accounts. */

#include "fleetd/account_report.h"
#include "fleetd/caller_access.h"

#include <doctest/doctest.h>

using namespace Filbertlanding;

namespace {

QueueConfig makeQueue(const std::string &host, bool isPublic)
{
    QueueConfig queue;
    queue.name = host;
    queue.host = host;
    queue.pathPrefix = "/q/";
    queue.isPublic = isPublic;
    return queue;
}

StepSpec makeStep(std::uint32_t tasks, const Resources &request, std::int64_t estimateMs, std::vector<std::uint32_t> dependsOn = {})
{
    StepSpec step;
    step.taskCount = tasks;
    step.request = request;
    step.estimate = {estimateMs};
    step.dependsOn = std::move(dependsOn);
    return step;
}

const QueueConfig Closed = makeQueue("closed.example", false);
const QueueConfig Public = makeQueue("public.example", true);

} // namespace

TEST_CASE("Access of a call")
{
    FleetManifest manifest;
    manifest.hasAccounts = true;
    manifest.accounts = {{{"acme", 1, {}}, {digestOfKey("key-a")}}, {{"zenith", 1, {}}, {digestOfKey("key-z")}}};
    const KeyIndex keys(manifest.accounts);

    SUBCASE("a known key gives its account on every queue")
    {
        for (const QueueConfig &queue : {Closed, Public}) {
            const CallerAccess access = authorizeCall(manifest, keys, queue, "key-z");
            CHECK(access.code == ResultCode::Ok);
            CHECK(access.account == "zenith");
            CHECK(access.keyDigest == digestOfKey("key-z"));
            CHECK(!access.seesAllJobs);
        }
    }

    SUBCASE("a missing or unknown key is refused, but ignored on a public queue")
    {
        for (const std::string_view key : {"", "key", "key-a ", "acme"}) {
            CHECK(authorizeCall(manifest, keys, Closed, key).code == ResultCode::KeyUnknown);
            const CallerAccess access = authorizeCall(manifest, keys, Public, key);
            CHECK(access.code == ResultCode::Ok);
            CHECK(access.account.empty());
            // A digest without an account in a submission would tell its unknown key to the log.
            CHECK(access.keyDigest.empty());
        }
    }

    SUBCASE("an empty list of accounts refuses all calls on queues that are not public")
    {
        manifest.accounts.clear();
        CHECK(authorizeCall(manifest, KeyIndex(), Closed, "key-a").code == ResultCode::KeyUnknown);
        CHECK(authorizeCall(manifest, KeyIndex(), Public, "key-a").code == ResultCode::Ok);
    }

    SUBCASE("without accounts in the manifest all calls are allowed and all jobs visible")
    {
        const CallerAccess access = authorizeCall(FleetManifest(), KeyIndex(), Closed, "key-a");
        CHECK(access.code == ResultCode::Ok);
        CHECK(access.account.empty());
        CHECK(maySeeJob(access, Closed, {"acme", "other.example", "/q/"}));
    }
}

TEST_CASE("Visibility of jobs")
{
    CallerAccess acme;
    acme.account = "acme";
    const CallerAccess nobody;

    SUBCASE("jobs of the own account and of none are visible, others are not")
    {
        CHECK(maySeeJob(acme, Closed, {"acme", "other.example", "/q/"}));
        CHECK(maySeeJob(acme, Closed, {"", "other.example", "/q/"}));
        CHECK(!maySeeJob(acme, Closed, {"zenith", Closed.host, Closed.pathPrefix}));
        CHECK(!maySeeJob(acme, Closed, {"zenith", Public.host, Public.pathPrefix}));
    }

    SUBCASE("a call to a public queue sees the jobs that were submitted there, and no others")
    {
        CHECK(maySeeJob(nobody, Public, {"zenith", Public.host, Public.pathPrefix}));
        CHECK(maySeeJob(acme, Public, {"zenith", Public.host, Public.pathPrefix}));
        // Otherwise a public queue would open the jobs of all queues.
        CHECK(!maySeeJob(nobody, Public, {"zenith", Closed.host, Closed.pathPrefix}));
        CHECK(!maySeeJob(nobody, Public, {"zenith", Public.host, "/q/inner/"}));
    }
}

TEST_CASE("A job as the admission of its account sees it")
{
    QueueConfig queue = Closed;
    queue.stretchPerMille = 1'500;
    queue.latencyAllowance = {250};
    JobSpec spec;
    spec.steps = {makeStep(4, {500, 256, 0}, 1'000), makeStep(2, {2'000, 64, 1}, 3'000, {0}), makeStep(1, {100, 16, 0}, 2'000)};

    SUBCASE("work, useful time and largest start of independent tasks")
    {
        const AccountJob job = makeAccountJob(spec, queue);
        CHECK(job.largestStart == Resources{2'000, 256, 1});
        CHECK(job.cpuSeconds == doctest::Approx(4 * 0.5 * 1 + 2 * 2.0 * 3 + 0.1 * 2));
        // The longest chain takes 4 s.
        CHECK(job.usefulTime.ms == 3 * (4'000 * 3 / 2 + 250));
    }

    SUBCASE("a gang starts as a whole")
    {
        spec.steps[0].isGang = true;
        CHECK(makeAccountJob(spec, queue).largestStart == Resources{2'000, 1'024, 1});
    }

    SUBCASE("long-running and repeated jobs have no work that could wait")
    {
        JobSpec repeated = spec;
        repeated.repeatCount = 2;
        CHECK(makeAccountJob(repeated, queue).cpuSeconds == 0);
        spec.steps[1].isLongRunning = true;
        CHECK(makeAccountJob(spec, queue).cpuSeconds == 0);
    }

    SUBCASE("extreme estimates do not overflow")
    {
        // An overflow would make the useful time negative, so that every job of the account is refused.
        spec.steps = {makeStep(20'000, {1'000'000'000, 0, 0}, 1'000'000'000)};
        queue.stretchPerMille = 1'000'000'000;
        CHECK(makeAccountJob(spec, queue).usefulTime.ms > 0);
    }
}

TEST_CASE("Metrics of accounts")
{
    AccountRefusals refusals;
    FleetState state;
    for (int i = 100; i < 200; ++i) {
        state.manifest.accounts.push_back({{"account-" + std::to_string(i), 1, {1'000, 0, 0}}, {}});
        countRefusal(refusals, "account-" + std::to_string(i), AccountRefusalReason::Rate);
    }

    SUBCASE("only the first accounts are named, the others summed up")
    {
        // A series for each account would make the page grow with the manifest.
        std::string text;
        appendAccountMetrics(text, collectAccountFigures(state, nullptr, refusals));
        CHECK(text.find(R"(filbertlanding_account_cpu_limit_millicores{account="account-163"} 1000)") != std::string::npos);
        CHECK(text.find("account-164") == std::string::npos);
        CHECK(text.find(R"(filbertlanding_account_jobs_refused_total{account="other",reason="rate"} 36)") != std::string::npos);
        CHECK(text.find(R"(filbertlanding_account_cpu_limit_millicores{account="other"} 36000)") != std::string::npos);
    }

    SUBCASE("refusals of removed accounts are kept as a sum only")
    {
        // Counts by name would otherwise grow with each manifest that renames accounts.
        state.manifest.accounts.resize(1);
        keepRefusalsOf(refusals, state.manifest.accounts);
        CHECK(refusals.byAccount.size() == 1);
        CHECK(refusals.ofRemoved[static_cast<std::size_t>(AccountRefusalReason::Rate)] == 99);
    }

    SUBCASE("names are escaped and do not collide with the sum")
    {
        state.manifest.accounts = {{{"a\"b\\c\nd", 1, {}}, {}}, {{"other", 1, {500, 0, 0}}, {}}};
        std::string text;
        appendAccountMetrics(text, collectAccountFigures(state, nullptr, {}));
        CHECK(text.find(R"(filbertlanding_account_jobs_waiting{account="a\"b\\c\nd"} 0)") != std::string::npos);
        CHECK(text.find(R"(filbertlanding_account_cpu_limit_millicores{account="other"} 500)") != std::string::npos);
    }
}
