/** @file platform_edge_test.cpp Tests of the platform's protocol adapter: parsing, serialization and robustness against malformed bodies. */

#include "platform/platform_adapter.h"

#include "account/api_key.h"
#include "core/random.h"
#include "test_seed.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <regex>
#include <sstream>

using namespace Filbertlanding;

namespace {

const std::string Manifest =
    R"({"version":7,"routes":[{"name":"r1","host":"A.example","pathPrefix":"/q/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":250,)"
    R"("priority":0,"service":"s1","maxAttempts":2,"stretch":1.5}],"services":[{"name":"s1","admissionCheck":true}],"limits":{}})";

const std::vector<std::string> AccountKeys{"key-of-acme-41b7", "second-key-of-acme", "key-of-zenith-9c02"};

const std::string Accounts = R"([{"name":"acme","apiKeys":["key-of-acme-41b7","second-key-of-acme"],"weight":3,"cap":{"cpu":4000,"memMb":512,"gpu":1},)"
                             R"("priority":2},{"name":"zenith","apiKeys":["key-of-zenith-9c02"]},{"name":"idle","weight":1,"cap":{"cpu":500}}])";

const std::string Report = R"({"service":"s1","address":"10.0.0.9:8080","zone":"z1","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,)"
                           R"("capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],"clockMs":482113,"seq":4,"born":1700000000000})";

const std::string Submission = R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,"estimatedMs":900,"dataRack":"r1-3"},)"
                               R"({"count":2,"cpu":2000,"memMb":1024,"estimatedMs":7000,"dependsOn":[0],"checkpointed":true}]})";

HttpRequest request(const std::string &method, const std::string &target, const std::string &body = {})
{
    return {method, target, {{"Host", "A.Example:80"}}, body, {}};
}

ControlRequest parseControl(const std::string &method, const std::string &target, const std::string &body = {})
{
    return parsePlatformControlRequest(request(method, target, body));
}

bool isMalformed(const ControlRequest &parsed)
{
    return std::holds_alternative<MalformedRequest>(parsed);
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

/** Returns the manifest with a list of accounts. */
std::string manifestWith(const std::string &accounts)
{
    return replaced(Manifest, "\"limits\":{}", "\"limits\":{},\"tenants\":" + accounts);
}

std::string keyIn(const std::string &authorization)
{
    HttpRequest call = request("GET", "/q/1");
    call.headers.push_back({"authorization", authorization});
    return parsePlatformJobRequest(call).apiKey;
}

/** Returns whether a text contains a key of the list of accounts. */
bool showsKey(const std::string &text)
{
    return std::any_of(AccountKeys.begin(), AccountKeys.end(), [&text](const std::string &key) {
        return text.find(key) != std::string::npos;
    });
}

HttpExchange answered(unsigned status, const std::string &body)
{
    return {ResultCode::Ok, true, {status, {}, body}};
}

/** Returns a body with a few bytes changed, removed or duplicated. */
std::string mutated(std::string body, Random &random)
{
    for (std::uint64_t i = 0; i <= random.below(4) && !body.empty(); ++i) {
        const std::size_t place = random.below(body.size());
        switch (random.below(4)) {
        case 0:
            body[place] = static_cast<char>(random.below(256));
            break;
        case 1:
            body.erase(place, 1 + random.below(8));
            break;
        case 2:
            body.insert(place, body.substr(place, random.below(40)));
            break;
        default:
            body.resize(place);
            break;
        }
    }
    return body;
}

} // namespace

TEST_CASE("Requests of callers")
{
    SUBCASE("a submission is parsed with its steps")
    {
        const JobApiRequest parsed = parsePlatformJobRequest(request("POST", "/q/5c0e7a21d94b36f8?x=1", Submission));
        CHECK(parsed.code == ResultCode::Ok);
        CHECK(parsed.verb == CallerVerb::Submit);
        CHECK(parsed.host == "a.example");
        CHECK(parsed.path == "/q/5c0e7a21d94b36f8");
        REQUIRE(parsed.spec.steps.size() == 2);
        CHECK(parsed.spec.steps[0].taskCount == 4);
        CHECK(parsed.spec.steps[0].dataRack == "r1-3");
        CHECK(parsed.spec.steps[1].dependsOn == std::vector<std::uint32_t>{0});
        CHECK(parsed.spec.steps[1].isCheckpointed);
    }

    SUBCASE("a malformed submission is rejected with a message")
    {
        for (const std::string &body : {std::string(),
                                        std::string("[]"),
                                        replaced(Submission, "\"count\":4", "\"count\":0"),
                                        replaced(Submission, "\"count\":4", "\"count\":\"4\""),
                                        replaced(Submission, "\"dependsOn\":[0]", "\"dependsOn\":[1]"),
                                        std::string(R"({"spec":"x","steps":[]})")}) {
            const JobApiRequest parsed = parsePlatformJobRequest(request("POST", "/q/1", body));
            CHECK(parsed.code == ResultCode::BadRequest);
            CHECK(!parsed.message.empty());
        }
        CHECK(parsePlatformJobRequest(request("PATCH", "/q/1")).code == ResultCode::MethodNotAllowed);
    }
}

TEST_CASE("Requests of operators")
{
    SUBCASE("a manifest is parsed and its document is kept unchanged")
    {
        const ControlRequest parsed = parseControl("PUT", "/config", Manifest);
        const auto *put = std::get_if<PutManifestRequest>(&parsed);
        REQUIRE(put != nullptr);
        CHECK(put->manifest.version == 7);
        CHECK(put->manifest.document == Manifest);
        CHECK(put->manifest.queues.at(0).host == "a.example");
        CHECK(put->manifest.queues.at(0).stretchPerMille == 1500);
        CHECK(put->manifest.services.at(0).workersEnforceCapacity);
    }

    SUBCASE("an invalid manifest is rejected")
    {
        CHECK(isMalformed(parseControl("PUT", "/config", Manifest.substr(0, 200))));
        CHECK(isMalformed(parseControl("PUT", "/config", replaced(Manifest, "\"service\":\"s1\"", "\"service\":\"s2\""))));
        CHECK(isMalformed(parseControl("PUT", "/config", replaced(Manifest, "\"timeoutMs\":3000", "\"timeoutMs\":0"))));
        CHECK(isMalformed(parseControl("PUT", "/config", replaced(Manifest, "\"version\":7,", ""))));
        const std::size_t begin = Manifest.find("{\"name\":\"r1\"");
        const std::string route = Manifest.substr(begin, Manifest.find("}],\"services\"") + 1 - begin);
        CHECK(isMalformed(parseControl("PUT", "/config", replaced(Manifest, route, route + "," + route))));
    }

    SUBCASE("a fraction too large for an integer is refused in place of an undefined conversion")
    {
        CHECK(isMalformed(parseControl("PUT", "/config", replaced(Manifest, "\"stretch\":1.5", "\"stretch\":1e300"))));
        CHECK(isMalformed(parseControl("PUT", "/config", replaced(Manifest, "\"stretch\":1.5", "\"stretch\":-1.5"))));
        CHECK(isMalformed(parseControl("POST", "/wave-start", R"({"wave":1,"machines":["m-1"],"durationS":1e300})")));
    }

    SUBCASE("an ambiguous or incomplete manifest is not put in force")
    {
        const std::string service = R"({"name":"s1","admissionCheck":true})";
        for (const auto &change : std::vector<std::pair<std::string, std::string>>{{service, service + R"(,{"name":"s1","admissionCheck":false})"},
                                                                                   {"\"version\":7", R"("version":7,"version":8)"},
                                                                                   {"\"timeoutMs\":3000", R"("timeoutMs":0,"timeoutMs":3000)"},
                                                                                   {"\"timeoutMs\":3000", R"("timeoutMs":3000,"timeout\u004ds":1000)"},
                                                                                   {"\"limits\":{}", R"("limits":{},"unknown":[{"a":1,"a":1}])"},
                                                                                   {",\"limits\":{}", ""},
                                                                                   {"\"limits\":{}", "\"limits\":[]"},
                                                                                   {"\"limits\":{}", R"("limits":{"maxBodyBytes":"many"})"},
                                                                                   {"\"admissionCheck\":true", R"("admissionCheck":true,"maxConns":"many")"},
                                                                                   {"\"kind\":\"unsafe\"", "\"kind\":7"}}) {
            CHECK_MESSAGE(isMalformed(parseControl("PUT", "/config", replaced(Manifest, change.first, change.second))), change.second);
        }
    }

    SUBCASE("a refused manifest keeps its text, so that a resend of one that an earlier version took is recognized")
    {
        const std::string incomplete = replaced(Manifest, ",\"limits\":{}", "");
        CHECK(std::get<MalformedRequest>(parseControl("PUT", "/config", incomplete)).manifest == incomplete);
        CHECK(std::get<MalformedRequest>(parseControl("PUT", "/instances/i-1", "{}")).manifest.empty());
    }

    SUBCASE("a valid manifest with unusual content is not refused")
    {
        const std::string route = R"({"name":"r1","host":"b.example","pathPrefix":"/q/","service":"s1","timeoutMs":1})";
        for (const auto &change :
             std::vector<std::pair<std::string, std::string>>{{"\"name\":\"r1\"", R"("name":"a \"b\": {\\")"},
                                                              {"{\"name\":\"r1\"", route + R"(,{"name":"r1")"},
                                                              {"\"pathPrefix\":\"/q/\"", R"("pathPrefix":"/q/","timeoutms":0)"},
                                                              {"\"limits\":{}", R"("limits":{"maxBodyBytes":262144.0},"added":{"version":1})"},
                                                              {"\"version\":7", "\"version\":9000000000000000"},
                                                              {"\"limits\":{}", "\"limits\":{\"maxBodyBytes\":4294967296}"},
                                                              {"{\"version\"", "\n {\t\"version\""}}) {
            CHECK_MESSAGE(!isMalformed(parseControl("PUT", "/config", replaced(Manifest, change.first, change.second))), change.second);
        }
    }

    SUBCASE("zone drains and maintenance waves are parsed")
    {
        const ControlRequest drain = parseControl("POST", "/evacuate/z1");
        CHECK(std::get<DrainZoneRequest>(drain).isDrained);
        CHECK(!std::get<DrainZoneRequest>(parseControl("DELETE", "/evacuate/z1")).isDrained);
        const ControlRequest wave = parseControl("POST", "/wave-start", R"({"wave":1,"machines":["m-1","m-2"],"durationS":20,"cap":1})");
        CHECK(std::get<StartWaveRequest>(wave).wave.machines.size() == 2);
        CHECK(std::get<StartWaveRequest>(wave).wave.duration.ms == 20'000);
        CHECK(std::get<GetWaveRequest>(parseControl("GET", "/wave-get/1")).wave == 1);
        CHECK(isMalformed(parseControl("GET", "/wave-get/x")));
        CHECK(isMalformed(parseControl("GET", "/unknown")));
    }
}

TEST_CASE("API keys of calls")
{
    // A call whose key is read wrongly is refused, or runs for another account.
    CHECK(keyIn("Bearer key-of-acme-41b7") == "key-of-acme-41b7");
    CHECK(keyIn("bEARER  key ") == "key");
    for (const std::string header : {"", "Bearer", "Bearer ", "Bearerkey", "Basic key", "key", " Bearer key"}) {
        CHECK_MESSAGE(keyIn(header).empty(), header);
    }
    CHECK(parsePlatformJobRequest(request("GET", "/q/1")).apiKey.empty());
}

TEST_CASE("Accounts of a manifest")
{
    SUBCASE("a manifest without the field has no accounts, one with an empty list has them configured")
    {
        // Otherwise an earlier manifest would refuse all calls, or the last account's removal would admit all.
        CHECK(!std::get<PutManifestRequest>(parseControl("PUT", "/config", Manifest)).manifest.hasAccounts);
        CHECK(std::get<PutManifestRequest>(parseControl("PUT", "/config", manifestWith("[]"))).manifest.hasAccounts);
    }

    SUBCASE("accounts and public queues are parsed, and the document stays as it was sent")
    {
        const std::string body = replaced(manifestWith(Accounts), "\"priority\":0", "\"priority\":0,\"public\":true");
        const FleetManifest manifest = std::get<PutManifestRequest>(parseControl("PUT", "/config", body)).manifest;
        CHECK(manifest.document == body);
        CHECK(manifest.queues.at(0).isPublic);
        REQUIRE(manifest.accounts.size() == 3);
        CHECK(manifest.accounts[0].terms == AccountTerms{"acme", 3, {4'000, 512, 1}});
        CHECK(manifest.accounts[0].keys == std::vector<KeyDigest>{digestOfKey(AccountKeys[0]), digestOfKey(AccountKeys[1])});
        CHECK(manifest.accounts[1].terms == AccountTerms{"zenith", 0, {}});
        CHECK(manifest.accounts[2].keys.empty());
    }

    SUBCASE("one account may list a key twice")
    {
        CHECK(!isMalformed(parseControl("PUT", "/config", manifestWith(replaced(Accounts, "second-key-of-acme", "key-of-acme-41b7")))));
    }

    SUBCASE("an error is refused with a message that shows no key")
    {
        // The message is logged and returned to the operator.
        for (const auto &change : std::vector<std::pair<std::string, std::string>>{{"key-of-zenith-9c02", "key-of-acme-41b7"},
                                                                                   {"second-key-of-acme", ""},
                                                                                   {"\"zenith\"", "\"acme\""},
                                                                                   {"\"zenith\"", "\"\""},
                                                                                   {"\"name\":\"zenith\",", ""},
                                                                                   {"\"zenith\"", "7"},
                                                                                   {"\"weight\":3", "\"weight\":-3"},
                                                                                   {"\"weight\":3", "\"weight\":1.5"},
                                                                                   {"\"weight\":3", "\"weight\":\"many\""},
                                                                                   {"\"cpu\":4000", "\"cpu\":-1"},
                                                                                   {"\"memMb\":512", "\"memMb\":-1"},
                                                                                   {"\"gpu\":1", "\"gpu\":-1"},
                                                                                   {"{\"cpu\":500}", "[500]"},
                                                                                   {"\"priority\":2", "\"priority\":\"high\""},
                                                                                   {"[\"key-of-zenith-9c02\"]", "\"key-of-zenith-9c02\""},
                                                                                   {"\"key-of-zenith-9c02\"", "[\"key-of-zenith-9c02\"]"},
                                                                                   {"{\"name\":\"zenith\"", "7,{\"name\":\"zenith\""}}) {
            const ControlRequest parsed = parseControl("PUT", "/config", manifestWith(replaced(Accounts, change.first, change.second)));
            REQUIRE_MESSAGE(isMalformed(parsed), change.second);
            CHECK(std::get<MalformedRequest>(parsed).code == ResultCode::BadRequest);
            CHECK(!std::get<MalformedRequest>(parsed).message.empty());
            CHECK_MESSAGE(!showsKey(std::get<MalformedRequest>(parsed).message), std::get<MalformedRequest>(parsed).message);
        }
        CHECK(isMalformed(parseControl("PUT", "/config", manifestWith("{}"))));
        CHECK(isMalformed(parseControl("PUT", "/config", manifestWith("null"))));
        CHECK(isMalformed(parseControl("PUT", "/config", replaced(Manifest, "\"priority\":0", "\"priority\":0,\"public\":1"))));
    }

    SUBCASE("a name that contains a key is not quoted as it is")
    {
        std::string accounts = replaced(Accounts, "\"zenith\"", "\"key-of-acme-41b7 and more\"");
        accounts = replaced(accounts, "\"idle\"", "\"key-of-acme-41b7 and more\"");
        const ControlRequest parsed = parseControl("PUT", "/config", manifestWith(accounts));
        CHECK(std::get<MalformedRequest>(parsed).message == "the account *** and more is listed twice");
    }
}

TEST_CASE("Reports of workers")
{
    SUBCASE("a valid report is parsed")
    {
        const ControlRequest parsed = parseControl("PUT", "/instances/i-1", Report);
        const auto *report = std::get_if<WorkerReportRequest>(&parsed);
        REQUIRE(report != nullptr);
        CHECK(report->report.profile.worker == "i-1");
        CHECK(report->report.profile.startedAtMs == 1'700'000'000'000);
        CHECK(report->report.profile.rack == "r1-3");
        CHECK(report->report.sequence == 4);
        CHECK(!report->report.profile.isDraining);
    }

    SUBCASE("a malformed report is rejected")
    {
        for (const auto &change : std::vector<std::pair<std::string, std::string>>{{"\"state\":\"ready\"", "\"state\":\"paused\""},
                                                                                   {"\"cpu\":16000", "\"cpu\":\"many\""},
                                                                                   {"\"labels\":[\"a\",\"r1-3\"]", "\"labels\":7"},
                                                                                   {"\"born\":1700000000000", "\"born\":1.5"},
                                                                                   {",\"seq\":4", ""}}) {
            CHECK_MESSAGE(isMalformed(parseControl("PUT", "/instances/i-1", replaced(Report, change.first, change.second))), change.first);
        }
    }
}

TEST_CASE("Orders to workers and their responses")
{
    WorkerOrder order;
    order.kind = OrderKind::Start;
    order.worker = "i-1";
    order.fence = 7;
    order.task = {"5c0e7a21d94b36f8", 0, 1, 17};
    order.run = 2;
    order.payload = "text";
    order.checkpoint = "0b";
    order.leaseEndMs = 486'000;

    SUBCASE("a start order is serialized in the platform's format")
    {
        const HttpRequest sent = serializePlatformOrder(order);
        CHECK(sent.target == "/run-start");
        CHECK(headerValue(sent.headers, "X-Expected-Instance") == "i-1");
        CHECK(sent.body.find(R"("task":"5c0e7a21d94b36f8.0.1.17")") != std::string::npos);
        CHECK(sent.body.find(R"("lastCheckpoint":"0b")") != std::string::npos);
    }

    SUBCASE("HTTP statuses and refusal reasons are mapped to order outcomes")
    {
        CHECK(parsePlatformOrderResponse(order, answered(200, R"({"clockMs":5})")).outcome == OrderOutcome::Done);
        CHECK(parsePlatformOrderResponse(order, answered(409, R"({"clockMs":5,"reason":"room"})")).outcome == OrderOutcome::InsufficientCapacity);
        CHECK(parsePlatformOrderResponse(order, answered(409, R"({"clockMs":5,"reason":"fence"})")).outcome == OrderOutcome::Fenced);
        CHECK(parsePlatformOrderResponse(order, answered(421, "")).outcome == OrderOutcome::OtherIncarnation);
        CHECK(parsePlatformOrderResponse(order, answered(503, "")).outcome == OrderOutcome::Unhealthy);
        CHECK(parsePlatformOrderResponse(order, {ResultCode::ConnectFailed, false, {}}).outcome == OrderOutcome::Unreachable);
        CHECK(parsePlatformOrderResponse(order, {ResultCode::ConnectFailed, false, {}, true}).outcome == OrderOutcome::NotListening);
        CHECK(parsePlatformOrderResponse(order, {ResultCode::OutcomeUnknown, true, {}}).outcome == OrderOutcome::NoResponse);
    }

    SUBCASE("a poll response contains the running and the ended runs")
    {
        order.kind = OrderKind::Poll;
        const OrderResponse answer = parsePlatformOrderResponse(
            order, answered(200, R"({"clockMs":9,"born":3,"running":[["ab.0.1.17",2,"0b",41,12]],"endedRuns":[[58,"ab.0.1.9",1,"done",""]]})"));
        REQUIRE(answer.hasLists);
        CHECK(answer.running.at(0).task == TaskName{"ab", 0, 1, 17});
        CHECK(answer.running.at(0).measurement == 12);
        CHECK(answer.ended.at(0).outcome == RunOutcome::Done);
        CHECK(answer.startedAtMs == 3);
    }

    SUBCASE("a response with malformed lists counts as no response")
    {
        order.kind = OrderKind::Poll;
        CHECK(parsePlatformOrderResponse(order, answered(200, R"({"clockMs":9,"running":[["ab.0.1"]],"endedRuns":[]})")).outcome == OrderOutcome::NoResponse);
    }
}

TEST_CASE("Responses")
{
    ApiResponse answer;
    answer.state = FleetJobState::Running;
    CHECK(serializePlatformResponse(answer).body == R"({"state":"running"})");
    answer = {};
    answer.code = ResultCode::JobUnknown;
    CHECK(serializePlatformResponse(answer).status == 410);
    answer = {};
    answer.code = ResultCode::NoQuorum;
    answer.retryAfter = {1'200};
    CHECK(serializePlatformResponse(answer).status == 503);
    CHECK(headerValue(serializePlatformResponse(answer).headers, "Retry-After") == "2");
    answer = {};
    answer.code = ResultCode::NotLeader;
    answer.redirect = "10.0.0.1:80";
    answer.path = "/config";
    CHECK(serializePlatformResponse(answer).status == 307);
    CHECK(headerValue(serializePlatformResponse(answer).headers, "Location") == "http://10.0.0.1:80/config");
}

TEST_CASE("Malformed bodies do not crash the adapter")
{
    // A malformed body must neither crash the daemon nor be parsed into values that it does not contain.
    const bool isPassed = rc::check("bodies with changed, removed and duplicated bytes", [] {
        Random random{*rc::gen::inRange<std::uint64_t>(1, 1'000'000'000)};
        static_cast<void>(parseControl("PUT", "/config", mutated(Manifest, random)));
        static_cast<void>(parseControl("PUT", "/instances/i-1", mutated(Report, random)));
        const ControlRequest accounts = parseControl("PUT", "/config", manifestWith(mutated(Accounts, random)));
        if (const auto *malformed = std::get_if<MalformedRequest>(&accounts)) {
            RC_ASSERT(!showsKey(malformed->message));
        }
        const JobApiRequest parsed = parsePlatformJobRequest(request("POST", "/q/1", mutated(Submission, random)));
        for (std::size_t i = 0; parsed.code == ResultCode::Ok && i < parsed.spec.steps.size(); ++i) {
            RC_ASSERT(parsed.spec.steps[i].taskCount > 0U);
            for (const std::uint32_t earlier : parsed.spec.steps[i].dependsOn) {
                RC_ASSERT(earlier < i);
            }
        }
        WorkerOrder poll;
        const std::string lists = R"({"clockMs":9,"born":3,"running":[["ab.0.1.17",2,"0b",41]],"endedRuns":[[58,"ab.0.1.9",1,"done",""]]})";
        static_cast<void>(parsePlatformOrderResponse(poll, answered(200, mutated(lists, random))));
    });
    CHECK(isPassed);
}

TEST_CASE("The operations guide documents every log event of the fleet daemon")
{
    std::ifstream page(FILBERTLANDING_SOURCE_DIR "/docs/OPERATIONS.md");
    std::stringstream text;
    text << page.rdbuf();
    const std::regex event(R"re(LogLevel::\w+,\s*"([a-z_]+)")re");
    for (const std::string file : {"src/fleetd/fleet_core.cpp",
                                   "src/fleetd/account_report.cpp",
                                   "src/fleetd/fleet_requests.cpp",
                                   "src/fleetd/fleet_daemon.cpp",
                                   "src/fleetd/caller_relay.cpp",
                                   "src/fleetd/leader_finder.cpp",
                                   "platform/main.cpp"}) {
        std::ifstream source(std::string(FILBERTLANDING_SOURCE_DIR) + "/" + file);
        std::stringstream code;
        code << source.rdbuf();
        const std::string all = code.str();
        REQUIRE(!all.empty());
        for (std::sregex_iterator match(all.begin(), all.end(), event), end; match != end; ++match) {
            CHECK_MESSAGE(text.str().find("`" + (*match)[1].str() + "`") != std::string::npos, (*match)[1].str());
        }
    }
}
