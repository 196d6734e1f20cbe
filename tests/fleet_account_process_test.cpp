/** @file fleet_account_process_test.cpp Client accounts and their keys under failures, as real processes. */

#include "core/clock_func.h"
#include "fleet_installation.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <optional>
#include <thread>

using namespace Filbertlanding;

namespace {

namespace json = boost::json;

constexpr Duration CallTimeout{3'000};
constexpr Duration RemovalLimit{5'000}; ///< A removed key does not work later than this after the acknowledgement.
constexpr Duration KeyLimit{2'500}; ///< A new key works on every entry within this time.
constexpr Duration WatchTime{3'000}; ///< Time for which calls that must not succeed are repeated.
constexpr Duration CallInterval{20};
constexpr FleetShape ThreeCores{.cores = 3, .entries = 2};

const std::string Host = "accounts.example";
const std::string PrivateQueue = "/jobs/";
const std::string PublicQueue = "/open/";
const std::string FirstKey = "first-7d3f0a51c2e94b86";
const std::string SecondKey = "second-1b8e6c2f9a7043d5";
const std::string OtherKey = "other-e4a95d108c3b27f6";
const std::string UnknownKey = "unknown-5f2c81d7e06b394a";
const std::string JobBody = R"({"spec":"job","steps":[{"count":1,"cpu":1000}]})";

void sleepFor(Duration time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(time.ms, 0)));
}

json::object route(const std::string &pathPrefix, bool isPublic)
{
    return {{"name", pathPrefix.substr(1, pathPrefix.size() - 2)},
            {"host", Host},
            {"pathPrefix", pathPrefix},
            {"kind", "unsafe"},
            {"timeoutMs", 3000},
            {"targetLatencyMs", 250},
            {"priority", 0},
            {"service", "desk"},
            {"maxAttempts", 3},
            {"stretch", 2.0},
            {"public", isPublic}};
}

json::object account(const std::string &name, const std::vector<std::string> &keys)
{
    return {{"name", name},
            {"apiKeys", json::array(keys.begin(), keys.end())},
            {"weight", 0},
            {"cap", {{"cpu", 8'000}, {"memMb", 16'000}, {"gpu", 0}}},
            {"priority", 0}};
}

/** Returns a manifest with a queue that needs a key and a public one. */
json::object manifest(std::uint64_t version, json::array accounts)
{
    return {{"version", version},
            {"routes", {route(PrivateQueue, false), route(PublicQueue, true)}},
            {"services", json::array{json::object{{"name", "desk"}, {"admissionCheck", true}, {"standby", false}}}},
            {"limits", json::object()},
            {"tenants", std::move(accounts)}};
}

/** Accounts `quotes`, with the given keys, and `surveys`. */
json::array accountsWith(const std::vector<std::string> &quotesKeys)
{
    return {account("quotes", quotesKeys), account("surveys", {OtherKey})};
}

/** An installation with accounts, and its answers. */
class AccountFleet
{
public:
    explicit AccountFleet(FleetShape shape)
        : installation(shape)
    {
        REQUIRE(this->installation.startAll());
    }

    /** Sends a manifest to the cores until one answers other than with a redirect or an error of its own. */
    HttpExchange put(const json::object &document)
    {
        HttpExchange last;
        eventually([&] {
            for (FleetProcess &core : this->installation.cores) {
                HttpRequest request{"PUT", "/config", {{"Content-Type", "application/json"}}, json::serialize(document), {}};
                last = this->installation.exchange(core, FleetInstallation::ControlPort, std::move(request), {.timeout = {1'000}, .freshConnection = true});
                if (last.code == ResultCode::Ok && (last.response.status == 200 || last.response.status == 400)) {
                    return true;
                }
            }
            return false;
        });
        this->answers += last.response.body;
        return last;
    }

    /** Uploads a manifest with these accounts. Returns the time of the acknowledgement. */
    TimePoint putAccounts(const json::array &accounts)
    {
        REQUIRE(this->put(manifest(++this->version, accounts)).response.status == 200);
        return steadyNow();
    }

    /** Sends a call of a caller; an empty key is not sent. Returns the HTTP status, or 0 without an answer. */
    unsigned call(const FleetProcess &entry, const std::string &method, const std::string &target, const std::string &key)
    {
        HttpRequest request{method, target, {{"Host", Host}, {"Content-Type", "application/json"}}, method == "POST" ? JobBody : std::string(), {}};
        if (!key.empty()) {
            request.headers.push_back({"Authorization", "Bearer " + key});
        }
        const HttpExchange exchange =
            this->installation.exchange(entry, FleetInstallation::CallerPort, std::move(request), {.timeout = CallTimeout, .freshConnection = true});
        this->answers += exchange.response.body;
        this->lastBody = exchange.response.body;
        return exchange.code == ResultCode::Ok ? exchange.response.status : 0;
    }

    /** Waits until a call with a valid key is served by each entry. */
    void awaitService(const std::string &key)
    {
        for (const FleetProcess &entry : this->installation.entries) {
            REQUIRE(eventually([&] {
                return this->call(entry, "GET", PrivateQueue, key) == 200;
            }));
        }
    }

    /** Starts a daemon again with other settings. */
    void restartWith(FleetProcess &daemon, const std::string &settings)
    {
        daemon.process.reset();
        writeText(this->installation.settingsPath(daemon), settings);
        this->installation.start(daemon);
    }

    FleetInstallation installation;
    std::uint64_t version = 0;
    std::string answers; ///< Bodies of all answers, except read manifests.
    std::string lastBody;
};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

// Guards against an entry that accepts calls by the configuration that it knew before it was cut off, or tells callers that their key is wrong.
TEST_CASE("An entry that is cut off from all schedulers refuses calls and does not run them")
{
    AccountFleet fleet(ThreeCores);
    FleetInstallation &installation = fleet.installation;
    FleetProcess &cutOff = installation.entries[1];
    fleet.putAccounts(accountsWith({FirstKey, SecondKey}));
    fleet.awaitService(FirstKey);
    const std::string settings = installation.settingsText(cutOff);
    SUBCASE("while others reach them")
    {
        // The schedulers refuse each connection of the entry.
        fleet.restartWith(cutOff, replaced(settings, "key of the test", "key of another installation"));
    }
    SUBCASE("because none of them is there")
    {
        for (FleetProcess &core : installation.cores) {
            core.process.reset();
        }
    }
    REQUIRE(eventually([&] {
        return fleet.call(cutOff, "GET", PrivateQueue, FirstKey) == 503;
    }));
    for (const std::string &key : {FirstKey, SecondKey, UnknownKey, std::string()}) {
        const std::string job = PrivateQueue + key.substr(0, key.find('-')) + "job";
        CHECK(fleet.call(cutOff, "POST", job, key) == 503);
        CHECK(fleet.call(cutOff, "GET", job, key) == 503);
        CHECK(fleet.call(cutOff, "DELETE", job, key) == 503);
    }
    CHECK(fleet.call(cutOff, "POST", PublicQueue + "cut-off-open", {}) == 503);

    for (FleetProcess &core : installation.cores) {
        if (core.process == nullptr) {
            installation.start(core);
        }
    }
    fleet.putAccounts(accountsWith({FirstKey}));
    fleet.restartWith(cutOff, settings);
    fleet.awaitService(FirstKey);
    for (const std::string &key : {FirstKey, SecondKey, UnknownKey, std::string()}) {
        const std::string job = PrivateQueue + key.substr(0, key.find('-')) + "job";
        CHECK(fleet.call(cutOff, "GET", job, FirstKey) == 410);
    }
    CHECK(fleet.call(cutOff, "GET", PublicQueue + "cut-off-open", {}) == 410);
    CHECK(fleet.call(cutOff, "GET", PrivateQueue, SecondKey) == 401);
}

// Guards against a leader that goes on with the keys of the time at which it was suspended, and an entry that goes on to follow it.
TEST_CASE("A key that is removed while the leader is suspended does not work when it resumes")
{
    AccountFleet fleet(ThreeCores);
    FleetInstallation &installation = fleet.installation;
    fleet.putAccounts(accountsWith({FirstKey, SecondKey}));
    fleet.awaitService(SecondKey);
    FleetProcess *leader = installation.awaitLeader();
    REQUIRE(leader != nullptr);
    // An entry that sleeps too knows only this leader.
    FleetProcess &sleeping = installation.entries[1];
    sleeping.process->signal(SIGSTOP);
    leader->process->signal(SIGSTOP);
    const TimePoint acknowledgedAt = fleet.putAccounts(accountsWith({FirstKey}));
    sleepFor(RemovalLimit - (steadyNow() - acknowledgedAt) + CallInterval);
    const TimePoint resumedAt = steadyNow();
    leader->process->signal(SIGCONT);
    sleeping.process->signal(SIGCONT);
    int calls = 0;
    while (steadyNow() - resumedAt < WatchTime) {
        const std::string job = PrivateQueue + "late-" + std::to_string(++calls);
        for (const FleetProcess &entry : installation.entries) {
            CAPTURE(entry.name);
            CAPTURE((steadyNow() - resumedAt).ms);
            for (const char *method : {"POST", "GET", "DELETE"}) {
                const unsigned status = fleet.call(entry, method, job, SecondKey);
                const bool isRefused = status == 401 || status == 503 || status == 504;
                CHECK_MESSAGE(isRefused, method, " has HTTP status ", status);
            }
        }
        sleepFor(CallInterval);
    }
    CHECK(calls > 5);
    fleet.awaitService(FirstKey);
    for (int call = 1; call <= calls; ++call) {
        CHECK(fleet.call(installation.entry, "GET", PrivateQueue + "late-" + std::to_string(call), FirstKey) == 410);
    }
    CHECK(fleet.call(sleeping, "GET", PrivateQueue, SecondKey) == 401);
}

// Guards against entries that refuse a new key by an older configuration, also just after a change of the leader.
TEST_CASE("A key that was just added works on every entry")
{
    AccountFleet fleet(ThreeCores);
    FleetInstallation &installation = fleet.installation;
    fleet.putAccounts(accountsWith({FirstKey}));
    fleet.awaitService(FirstKey);
    std::vector<std::string> keys{FirstKey};
    constexpr int Rounds = 4;
    for (int round = 0; round < Rounds; ++round) {
        CAPTURE(round);
        keys.push_back(SecondKey + std::to_string(round));
        for (const FleetProcess &entry : installation.entries) {
            CHECK(fleet.call(entry, "GET", PrivateQueue, keys.back()) == 401);
        }
        if (round + 1 == Rounds) {
            FleetProcess *leader = installation.awaitLeader();
            REQUIRE(leader != nullptr);
            installation.restart(*leader);
        }
        const TimePoint acknowledgedAt = fleet.putAccounts(accountsWith(keys));
        for (const FleetProcess &entry : installation.entries) {
            CAPTURE(entry.name);
            while (steadyNow() - acknowledgedAt < KeyLimit && fleet.call(entry, "GET", PrivateQueue, keys.back()) != 200) {
                sleepFor(CallInterval);
            }
            CHECK((steadyNow() - acknowledgedAt).ms < KeyLimit.ms);
            CHECK(fleet.call(entry, "POST", PrivateQueue + "added-" + entry.name + std::to_string(round), keys.back()) == 200);
        }
    }
}

// Guards against accounts that reach the jobs of others by their ids.
TEST_CASE("An account neither sees nor changes the job of another one")
{
    AccountFleet fleet({.cores = 1, .entries = 1});
    const FleetProcess &entry = fleet.installation.entry;
    fleet.putAccounts(accountsWith({FirstKey, SecondKey}));
    fleet.awaitService(FirstKey);
    const std::string job = PrivateQueue + "quotes-job";
    SUBCASE("on a queue that needs a key")
    {
        REQUIRE(fleet.call(entry, "POST", job, FirstKey) == 200);
        CHECK(fleet.call(entry, "GET", job, OtherKey) == 410);
        CHECK(fleet.call(entry, "DELETE", job, OtherKey) == 410);
        CHECK(fleet.call(entry, "POST", job, OtherKey) == 409);
        for (const std::string &key : {UnknownKey, std::string()}) {
            for (const char *method : {"GET", "DELETE", "POST"}) {
                CHECK(fleet.call(entry, method, job, key) == 401);
            }
            CHECK(fleet.call(entry, "GET", PrivateQueue, key) == 401);
            CHECK(fleet.call(entry, "GET", "/nowhere/", key) == 404);
        }
        CHECK(fleet.call(entry, "GET", PublicQueue + "quotes-job", {}) == 410);
        CHECK(fleet.call(entry, "DELETE", PublicQueue + "quotes-job", OtherKey) == 410);
    }
    SUBCASE("by a cancellation that comes first")
    {
        CHECK(fleet.call(entry, "DELETE", job, OtherKey) == 410);
        REQUIRE(fleet.call(entry, "POST", job, FirstKey) == 200);
    }
    // All keys of an account reach its jobs.
    REQUIRE(fleet.call(entry, "GET", job, SecondKey) == 200);
    CHECK(json::parse(fleet.lastBody).at("state").as_string() == "queued");
}

// Guards against a public queue that needs a key after all, or that assigns no job to an account.
TEST_CASE("Everybody sees the jobs of a public queue there, and only their account elsewhere")
{
    AccountFleet fleet({.cores = 1, .entries = 1});
    const FleetProcess &entry = fleet.installation.entry;
    fleet.putAccounts(accountsWith({FirstKey}));
    fleet.awaitService(FirstKey);
    REQUIRE(fleet.call(entry, "POST", PublicQueue + "keyed", FirstKey) == 200);
    REQUIRE(fleet.call(entry, "POST", PublicQueue + "unknown", UnknownKey) == 200);
    REQUIRE(fleet.call(entry, "POST", PublicQueue + "none", {}) == 200);
    for (const char *job : {"keyed", "unknown", "none"}) {
        CAPTURE(job);
        for (const std::string &key : {FirstKey, OtherKey, UnknownKey, std::string()}) {
            CHECK(fleet.call(entry, "GET", PublicQueue + job, key) == 200);
        }
        CHECK(fleet.call(entry, "GET", PrivateQueue + job, FirstKey) == 200);
    }
    CHECK(fleet.call(entry, "GET", PrivateQueue + "keyed", OtherKey) == 410);
    CHECK(fleet.call(entry, "GET", PrivateQueue + "unknown", OtherKey) == 200);
}

// Guards against keys in logs, metrics, error messages, command lines and process names.
TEST_CASE("No key is in the output of any process")
{
    AccountFleet fleet(ThreeCores);
    FleetInstallation &installation = fleet.installation;
    fleet.putAccounts(accountsWith({FirstKey, SecondKey}));
    fleet.awaitService(FirstKey);
    const std::string held = json::serialize(manifest(fleet.version, accountsWith({FirstKey, SecondKey})));
    const auto isHeld = [&] {
        const FleetProcess *leader = installation.awaitLeader();
        REQUIRE(leader != nullptr);
        const HttpExchange read =
            installation.exchange(*leader, FleetInstallation::ControlPort, {"GET", "/config", {}, {}, {}}, {.timeout = CallTimeout, .freshConnection = true});
        return read.response.body == held;
    };
    REQUIRE(isHeld());
    json::object negativeWeight = account("surveys", {OtherKey});
    negativeWeight["weight"] = -1;
    json::object textWeight = account("surveys", {OtherKey});
    textWeight["weight"] = OtherKey;
    const std::vector<json::array> refusedAccounts{
        {account("quotes", {FirstKey}), account("surveys", {OtherKey, FirstKey})},
        {account("quotes", {FirstKey}), account("quotes", {OtherKey})},
        {account("", {FirstKey, OtherKey})},
        {account("quotes", {FirstKey, ""})},
        {account("quotes", {FirstKey}), negativeWeight},
        {account("quotes", {FirstKey}), textWeight},
    };
    for (const json::array &accounts : refusedAccounts) {
        const HttpExchange refusal = fleet.put(manifest(fleet.version + 1, accounts));
        CHECK(refusal.response.status == 400);
        CHECK(!refusal.response.body.empty());
        CHECK(isHeld());
    }
    for (const FleetProcess &entry : installation.entries) {
        for (const std::string &key : {FirstKey, SecondKey, OtherKey, UnknownKey}) {
            for (const char *method : {"POST", "POST", "GET", "DELETE", "PATCH"}) {
                fleet.call(entry, method, PrivateQueue + "quiet", key);
                fleet.call(entry, method, PublicQueue + "quiet-open", key);
            }
        }
    }
    fleet.putAccounts(accountsWith({SecondKey}));
    installation.restart(*installation.awaitLeader());
    fleet.awaitService(SecondKey);

    std::string output = fleet.answers;
    for (const FleetProcess *daemon : installation.daemons()) {
        const HttpExchange metrics =
            installation.exchange(*daemon, FleetInstallation::MetricsPort, {"GET", "/metrics", {}, {}, {}}, {.timeout = CallTimeout, .freshConnection = true});
        CHECK(!metrics.response.body.empty());
        const std::filesystem::path process = "/proc/" + std::to_string(daemon->process->id());
        output += metrics.response.body + readFile(process / "cmdline") + readFile(process / "comm");
    }
    for (FleetProcess *daemon : installation.daemons()) {
        daemon->process->signal(SIGTERM);
        CHECK(daemon->process->waitForEnd(Duration{10'000}) == 0);
        CHECK(!installation.log(*daemon).empty());
        output += installation.log(*daemon);
    }
    for (const std::string &key : {FirstKey, SecondKey, OtherKey, UnknownKey}) {
        CHECK(output.find(key) == std::string::npos);
    }
}
