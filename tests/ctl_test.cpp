/** @file ctl_test.cpp Tests of filbertctl against HTTP servers on loopback that keep their state in the real catalog. */

#include "catalog/catalog_func.h"
#include "ctl/ctl_func.h"
#include "ctl/ctl_output.h"
#include "ctl/json_access.h"
#include "network/http_server.h"
#include "settings/settings_func.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <sstream>
#include <utility>

using namespace Filbertlanding;

namespace {

namespace json = boost::json;
namespace fs = std::filesystem;

const std::string Key = "0123456789abcdef0123456789abcdef";

/** The replicated state that the daemons of a test share. */
struct Installation {
    CommandResult change(ChangeFiles change)
    {
        return applyCommand(this->catalog, change, ++this->index);
    }

    /** A change by another operator on the current version. */
    void rivalPut(const std::string &name, const std::string &text)
    {
        ChangeFiles rival;
        rival.files = {{name, text}};
        rival.baseVersion = this->catalog.intent.version;
        rival.operation = "rival-" + std::to_string(this->index);
        rival.operatorName = "selamawit";
        REQUIRE(this->change(rival).code == ResultCode::Ok);
    }

    std::mutex mutex;
    Catalog catalog;
    std::uint64_t index = 0;
    std::vector<HttpRequest> changes; ///< Every change that arrived at any daemon.
    std::vector<std::string> statusBodies; ///< Answers to status, one after the other; the last one stays.
    std::size_t statusReads = 0;
};

ChangeFiles readChange(const HttpRequest &request)
{
    ChangeFiles change;
    change.baseVersion = std::stoull(std::string(headerValue(request.headers, "If-Version")));
    change.operation = headerValue(request.headers, "Operation-Id");
    change.operatorName = headerValue(request.headers, "Operator");
    if (request.method == "POST") {
        change.kind = ChangeKind::Sync;
        const json::value root = json::parse(request.body);
        for (const auto &file : root.at("files").as_object()) {
            change.files.push_back({std::string(file.key()), std::string(file.value().as_string())});
        }
        return change;
    }
    change.kind = request.method == "PUT" ? ChangeKind::Put : ChangeKind::Remove;
    change.files = {{request.target.substr(request.target.rfind('/') + 1), request.method == "PUT" ? request.body : std::string()}};
    return change;
}

/** The wire form of docs/http-api.md for the outcome of a change. */
HttpResponse changeResponse(const CommandResult &result)
{
    const ResultCodeRow &row = resultCodeRow(result.code);
    json::object body{{"code", static_cast<int>(result.code)}, {"name", row.name}, {"message", row.sentence}, {"version", result.version}};
    json::array errors;
    for (const IntentError &error : result.errors) {
        errors.push_back({{"code", static_cast<int>(error.code)},
                          {"name", resultCodeRow(error.code).name},
                          {"file", error.file},
                          {"pointer", error.pointer},
                          {"message", error.message}});
    }
    body["errors"] = errors;
    body["winner"] = {{"operation", result.winner}, {"operator", result.winnerOperator}, {"files", json::value_from(result.winnerFiles)}};
    return {row.httpStatus, {}, json::serialize(body)};
}

/** A daemon that serves the operator calls. */
struct TestDaemon {
    explicit TestDaemon(Installation &shared)
        : installation(shared)
        , server(
              {},
              [this](HttpRequest &&request, const HttpRespond &respond) {
                  const std::lock_guard lock(this->installation.mutex);
                  this->handle(request, respond);
              },
              counters)
    {
        REQUIRE_FALSE(this->server.start());
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->server.port());
    }

    void handle(const HttpRequest &request, const HttpRespond &respond)
    {
        if (this->fixedCode) {
            respond(errorResponse(*this->fixedCode));
        } else if (headerValue(request.headers, "Authorization") != "Bearer " + Key) {
            respond(errorResponse(ResultCode::Unauthorized));
        } else if (request.method == "GET") {
            respond(this->read(request.target));
        } else {
            this->change(request, respond);
        }
    }

    HttpResponse read(const std::string &target)
    {
        const IntentStore &store = this->installation.catalog.intent;
        if (target == "/v1/status") {
            const std::size_t at = std::min(this->installation.statusReads++, this->installation.statusBodies.size() - 1);
            return {200, {}, this->installation.statusBodies.at(at)};
        }
        if (target == "/v1/intent/history") {
            json::array changes;
            for (const ChangeRecord &record : store.history) {
                changes.push_back({{"version", record.version}, {"operation", record.operation}, {"operator", record.operatorName}});
            }
            return {200, {}, json::serialize(json::object{{"changes", changes}})};
        }
        json::object files;
        for (const auto &[name, text] : store.files) {
            files[name] = text;
        }
        return {200, {}, json::serialize(json::object{{"version", store.version}, {"files", files}})};
    }

    void change(const HttpRequest &request, const HttpRespond &respond)
    {
        this->installation.changes.push_back(request);
        if (this->beforeChange) {
            std::exchange(this->beforeChange, nullptr)();
        }
        const HttpResponse response = changeResponse(this->installation.change(readChange(request)));
        if (this->losesAnswers) {
            // The caller never gets this answer; it has to give up by its own timeout.
            this->lost.push_back(respond);
            return;
        }
        respond(response);
    }

    Installation &installation;
    NetworkCounters counters;
    bool losesAnswers = false; ///< Changes take effect and are not answered.
    std::optional<ResultCode> fixedCode; ///< Every call gets this error.
    std::function<void()> beforeChange; ///< Called once before the next change.
    std::vector<HttpRespond> lost;
    HttpServer server;
};

/** A folder that goes away with the test. */
struct TestFolder {
    TestFolder()
    {
        std::string name = (fs::temp_directory_path() / "ctl_test.XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        this->path = name;
    }

    ~TestFolder()
    {
        std::error_code ignored;
        fs::remove_all(this->path, ignored);
    }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(this->path / name) << text;
        return (this->path / name).string();
    }

    fs::path path;
};

/** What one run of the tool wrote and returned. */
struct CtlRun {
    int code = 0;
    std::string out;
    std::string err;

    bool says(const std::string &text) const
    {
        return (this->out + this->err).find(text) != std::string::npos;
    }
};

CtlRun run(const std::vector<std::string> &daemons, std::vector<std::string> arguments, const std::string &key = Key)
{
    const TestFolder folder;
    const std::string keyFile = folder.write("operator.key", key + "\n");
    arguments.insert(arguments.end(), {"--key-file", keyFile, "--operator", "meseret", "--timeout", "1"});
    for (const std::string &daemon : daemons) {
        arguments.insert(arguments.end(), {"--daemon", daemon});
    }
    std::ostringstream out;
    std::ostringstream err;
    CtlRun result;
    result.code = runCtl(arguments, {out, err, false, [](Duration) {}});
    result.out = out.str();
    result.err = err.str();
    return result;
}

/** An address on which nobody listens any more. */
std::string deadAddress()
{
    Installation none;
    const TestDaemon daemon(none);
    return daemon.address();
}

std::string statusBody(const std::string &state, std::uint64_t version, std::uint64_t running)
{
    const json::object zone{{"availabilityZone", "piassa"}, {"state", state}, {"runningAssignments", running}};
    const json::object self{{"daemon", "bole-1"}, {"availabilityZone", "bole"}, {"alive", true}, {"version", 99}, {"silentMs", 0}};
    const json::object peer{{"daemon", "piassa-1"}, {"availabilityZone", "piassa"}, {"alive", true}, {"version", version}, {"silentMs", 120}};
    return json::serialize(json::object{{"daemon", "bole-1"},
                                        {"leader", "bole-1"},
                                        {"voters", json::array{json::object{{"daemon", "bole-1"}}, json::object{{"daemon", "piassa-1"}}}},
                                        {"daemons", json::array{self, peer}},
                                        {"availabilityZones", json::array{zone}}});
}

} // namespace

TEST_CASE("a daemon that is down does not keep an operator from working")
{
    Installation installation;
    installation.statusBodies = {statusBody("drained", 4, 2)};
    const TestDaemon living(installation);
    const std::string dead = deadAddress();
    const CtlRun status = run({dead, living.address()}, {"status"});
    CHECK(status.code == 0);
    CHECK(status.err.find("no answer from " + dead) != std::string::npos);
    CHECK(status.err.find("answer from " + living.address()) != std::string::npos);
    SUBCASE("the table has each daemon's version under its title")
    {
        const std::size_t title = status.out.find("DAEMON");
        REQUIRE(title != std::string::npos);
        const std::size_t line = status.out.rfind('\n', status.out.find("piassa-1  "));
        const std::size_t column = status.out.find("VERSION", title) - title;
        CHECK(status.out.substr(line + 1 + column, 7) == "      4");
        CHECK(status.out.find('\x1b') == std::string::npos);
    }
    SUBCASE("a program gets one JSON document on the output, whatever happened on the way")
    {
        const CtlRun asJson = run({dead, living.address()}, {"--json", "status"});
        CHECK(asJson.code == 0);
        CHECK(textOf(parseBody(asJson.out), "leader") == "bole-1");
        const CtlRun failed = run({dead}, {"--json", "status"});
        CHECK(failed.code == 5);
        CHECK(numberOf(parseBody(failed.out), "code") == 5005);
    }
}

TEST_CASE("a change whose answer is lost is made once")
{
    Installation installation;
    TestDaemon first(installation);
    TestDaemon second(installation);
    const TestFolder folder;
    const std::string file = folder.write("20-teams.json", R"({"teams": {"tenders": {"weight": 2}}})");
    first.losesAnswers = true;
    SUBCASE("the next daemon gets the same operation and gives the first answer")
    {
        const CtlRun put = run({first.address(), second.address()}, {"intent", "put", file});
        CHECK(put.code == 0);
        CHECK(put.says("version 1"));
        REQUIRE(installation.changes.size() == 2);
        for (const char *header : {"Operation-Id", "If-Version", "Operator"}) {
            CHECK(headerValue(installation.changes[0].headers, header) == headerValue(installation.changes[1].headers, header));
        }
        CHECK(installation.catalog.intent.version == 1);
    }
    SUBCASE("no daemon answers: the tool does not guess, and a repetition by hand gets the first answer")
    {
        const CtlRun put = run({first.address()}, {"intent", "put", file, "--operation-id", "ops-7"});
        CHECK(put.code == 3);
        CHECK(put.says("3005 ChangeOutcomeUnknown"));
        CHECK(put.says("--operation-id ops-7"));
        // The version has moved on meanwhile, but a resend must be equal to the first try.
        installation.rivalPut("30-zones.json", "{}");
        const CtlRun again = run({second.address()}, {"intent", "put", file, "--operation-id", "ops-7"});
        CHECK(again.code == 0);
        CHECK(again.says("version 1"));
        CHECK(installation.catalog.intent.version == 2);
    }
}

TEST_CASE("a stop is never sent to a second daemon")
{
    Installation installation;
    TestDaemon one(installation);
    TestDaemon other(installation);
    CHECK(run({one.address(), other.address()}, {"daemon", "stop"}).code == 1);
    CHECK(installation.changes.empty());
}

TEST_CASE("of two changes on one version the loser sees the other one")
{
    Installation installation;
    TestDaemon daemon(installation);
    const TestFolder folder;
    const std::string file = folder.write("20-teams.json", R"({"teams": {"tenders": {"weight": 2}}})");
    daemon.beforeChange = [&installation] {
        installation.rivalPut("90-drain-piassa.json", R"({"availabilityZones": {"piassa": {"state": "drained"}}})");
    };
    const CtlRun put = run({daemon.address()}, {"intent", "put", file});
    CHECK(put.code == 3);
    CHECK(put.err.find("3000 VersionConflict") != std::string::npos);
    CHECK(put.err.find("rival-0 by selamawit, files 90-drain-piassa.json") != std::string::npos);
    CHECK_FALSE(installation.catalog.intent.files.contains("20-teams.json"));
}

TEST_CASE("the exit code is the first digit of every result code")
{
    Installation installation;
    TestDaemon daemon(installation);
    for (const ResultCodeRow &row : resultCodeRows()) {
        daemon.fixedCode = row.code;
        const CtlRun result = run({daemon.address()}, {"jobs", "show", "j-1"});
        CAPTURE(row.name);
        CHECK(result.code == static_cast<int>(row.code) / 1000);
        CHECK(result.says(std::string(row.name)) == !isSuccess(row.code));
    }
    daemon.fixedCode.reset();
    CHECK(run({daemon.address()}, {"intent", "list"}, "a wrong key of enough bytes").code == 1);
    CHECK(run({daemon.address()}, {"intent", "list"}, "short").code == 1);
    CHECK(run({daemon.address()}, {"no-such-command"}).code == 1);
    CHECK(run({"localhost:8100"}, {"status"}).code == 1);
}

TEST_CASE("a sync changes all files or none")
{
    Installation installation;
    const TestDaemon daemon(installation);
    installation.rivalPut("10-old.json", R"({"teams": {"estimates": {"weight": 5}}})");
    const TestFolder folder;
    folder.write("10-services.json", R"({"services": {"quote-desk": {}}})");
    const std::vector<std::string> sync{"intent", "sync", folder.path.string()};
    const auto isUntouched = [&installation] {
        return installation.catalog.intent.version == 1 && installation.catalog.intent.files.contains("10-old.json");
    };
    SUBCASE("a file that is no JSON is named, and nothing is sent")
    {
        folder.write("20-teams.json", R"({"teams": {"tenders": )");
        folder.write("30-zones.json", "[1]");
        const CtlRun result = run({daemon.address()}, sync);
        CHECK(result.code == 3);
        CHECK(result.says("20-teams.json"));
        CHECK(result.says("30-zones.json"));
        CHECK(installation.changes.empty());
        CHECK(isUntouched());
    }
    SUBCASE("every value that the daemon finds wrong is shown with its file and pointer")
    {
        folder.write("20-teams.json", R"({"teams": {"tenders": {"weight": "two"}}})");
        folder.write("30-zones.json", R"({"availabilityZones": {"bole": {"state": "shut"}}})");
        const CtlRun result = run({daemon.address()}, sync);
        CHECK(result.code == 3);
        CHECK(result.err.find("20-teams.json /teams/tenders/weight: 1003 BadFieldType") != std::string::npos);
        CHECK(result.err.find("30-zones.json /availabilityZones/bole/state: ") != std::string::npos);
        CHECK(isUntouched());
    }
    SUBCASE("a folder without files, a bad name, a folder in the folder and a missing folder are refused")
    {
        const TestFolder empty;
        CHECK(run({daemon.address()}, {"intent", "sync", empty.path.string()}).says("1008 NotFound"));
        CHECK(run({daemon.address()}, {"intent", "sync", "/no/such/folder"}).code == 1);
        folder.write("bad name.json", "{}");
        const CtlRun badName = run({daemon.address()}, sync);
        CHECK(badName.code == 1);
        CHECK(badName.says("1005 OutOfRange"));
        fs::remove(folder.path / "bad name.json");
        fs::create_directory(folder.path / "40-more.json");
        CHECK(run({daemon.address()}, sync).code == 1);
        CHECK(installation.changes.empty());
    }
    SUBCASE("the difference is shown, and a diff alone changes nothing")
    {
        const CtlRun diff = run({daemon.address()}, {"intent", "diff", folder.path.string()});
        CHECK(diff.code == 0);
        CHECK(isUntouched());
        const CtlRun result = run({daemon.address()}, sync);
        CHECK(result.code == 0);
        for (const CtlRun &each : {diff, result}) {
            CHECK(each.out.find("removed  10-old.json") != std::string::npos);
            CHECK(each.out.find("/teams") != std::string::npos);
        }
        CHECK(installation.catalog.intent.files.size() == 1);
        const CtlRun again = run({daemon.address()}, {"--json", "intent", "sync", folder.path.string()});
        CHECK(numberOf(memberOf(parseBody(again.out), "result"), "version") == 2);
        CHECK(installation.changes.size() == 1);
    }
    SUBCASE("the example files are accepted")
    {
        const CtlRun result = run({daemon.address()}, {"intent", "sync", std::string(FILBERTLANDING_SOURCE_DIR) + "/examples/intent"});
        CHECK(result.code == 0);
        CHECK(installation.catalog.intent.configuration.services.contains("quote-desk"));
    }
}

TEST_CASE("a zone leaves and returns by one file")
{
    Installation installation;
    const TestDaemon daemon(installation);
    installation.statusBodies = {statusBody("in-service", 0, 3), statusBody("in-service", 0, 3), statusBody("drained", 0, 3), statusBody("drained", 1, 3)};
    SUBCASE("the wait ends only when the zone runs nothing and every daemon has the version")
    {
        installation.statusBodies.push_back(statusBody("drained", 0, 0));
        installation.statusBodies.push_back(statusBody("drained", 1, 0));
        const CtlRun drain = run({daemon.address()}, {"drain", "piassa", "--wait"});
        CHECK(drain.code == 0);
        CHECK(installation.catalog.intent.configuration.isDrained("piassa"));
        CHECK(installation.catalog.intent.files.contains("90-drain-piassa.json"));
        CHECK(installation.statusReads == 6);
        CHECK(drain.says("piassa-1 has version 0"));
        CHECK(drain.says("3 assignments still run in piassa"));
        CHECK(run({daemon.address()}, {"return", "piassa"}).code == 0);
        CHECK_FALSE(installation.catalog.intent.configuration.isDrained("piassa"));
        CHECK(run({daemon.address()}, {"return", "piassa"}).says("in service already"));
        CHECK(installation.changes.size() == 2);
    }
    SUBCASE("a wait that takes too long ends with an error")
    {
        const CtlRun drain = run({daemon.address()}, {"drain", "piassa", "--wait", "--wait-limit", "5"});
        CHECK(drain.code == 5);
        CHECK(drain.says("5006 Timeout"));
    }
    SUBCASE("a misspelt zone is refused, since a drain of it would do nothing")
    {
        const CtlRun drain = run({daemon.address()}, {"drain", "piasa"});
        CHECK(drain.code == 1);
        CHECK(drain.says("there are piassa"));
        CHECK(installation.changes.empty());
    }
    SUBCASE("a later file that would override the drain, or keep it, is named")
    {
        installation.rivalPut("95-hold.json", R"({"availabilityZones": {"piassa": {"state": "in-service"}}})");
        CHECK(run({daemon.address()}, {"drain", "piassa"}).says("95-hold.json"));
        installation.rivalPut("95-hold.json", R"({"availabilityZones": {"piassa": {"state": "drained"}}})");
        const CtlRun back = run({daemon.address()}, {"return", "piassa"});
        CHECK(back.code == 1);
        CHECK(back.says("1010 ConflictingSettings"));
        CHECK(installation.changes.empty());
    }
}

TEST_CASE("names from outside cannot steer a terminal, and columns stay aligned")
{
    CHECK(rc::check("each line has its second column at the same place and no control character, and the whole name", [] {
        const auto names = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127)));
        std::ostringstream out;
        std::ostringstream err;
        std::vector<TableRow> rows;
        rows.reserve(names.size());
        for (const std::string &name : names) {
            rows.push_back({name, "x"});
        }
        writeTable({out, err, false, nullptr}, {"NAME", "MARK"}, rows);
        std::istringstream lines(out.str());
        std::string line;
        std::getline(lines, line);
        const std::size_t column = line.find("MARK");
        std::size_t count = 0;
        while (std::getline(lines, line)) {
            RC_ASSERT(line.starts_with(printable(names.at(count))));
            ++count;
            std::size_t width = 0;
            for (const char byte : line) {
                RC_ASSERT(static_cast<unsigned char>(byte) >= 0x20);
                width += (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U ? 1 : 0;
            }
            RC_ASSERT(width == column + 1);
        }
        RC_ASSERT(count == names.size());
    }));
    std::ostringstream out;
    writeTable({out, out, true, nullptr}, {"STATE", "N"}, {{stateCell("drained"), "1"}});
    CHECK(out.str() == "STATE    N\n\x1b[33mdrained\x1b[0m  1\n");
}

TEST_CASE("every subcommand has an example, and the settings of the example installation are valid")
{
    const std::vector<std::vector<std::string>> commands{{"intent"},           {"intent", "list"},
                                                         {"intent", "show"},   {"intent", "put"},
                                                         {"intent", "remove"}, {"intent", "sync"},
                                                         {"intent", "diff"},   {"intent", "history"},
                                                         {"status"},           {"drain"},
                                                         {"return"},           {"jobs"},
                                                         {"jobs", "list"},     {"jobs", "show"},
                                                         {"jobs", "submit"},   {"jobs", "cancel"},
                                                         {"workers"},          {"workers", "list"},
                                                         {"workers", "show"},  {"service", "close"},
                                                         {"report"},           {"report", "accept-gap"},
                                                         {"daemon", "stop"},   {"completion", "bash"}};
    for (std::vector<std::string> command : commands) {
        CAPTURE(command.back());
        command.emplace_back("--help");
        std::ostringstream out;
        std::ostringstream err;
        CHECK(runCtl(command, {out, err, false, nullptr}) == 0);
        CHECK(out.str().find("Example:\n  ") != std::string::npos);
    }
    std::size_t voters = 0;
    for (const auto &entry : fs::directory_iterator(std::string(FILBERTLANDING_SOURCE_DIR) + "/examples/three-zones")) {
        std::ifstream file(entry.path());
        std::stringstream text;
        text << file.rdbuf();
        Settings settings;
        CAPTURE(entry.path().string());
        CHECK(parseSettings(text.str(), settings).empty());
        CHECK(settings.peers.size() == 5);
        voters += isVoter(settings) ? 1 : 0;
    }
    CHECK(voters == 3);
}
