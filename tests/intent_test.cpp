/** @file intent_test.cpp Tests of the merge, the check and the comparison of intent files. */

#include "catalog/config_check.h"
#include "catalog/intent_diff.h"
#include "catalog/intent_merge.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Filbertlanding;
namespace json = boost::json;

namespace {

json::value makeRandomValue(int depth);

/** Draws an object; few keys, so that files overlap often. */
json::value makeRandomObject(int depth)
{
    json::object object;
    const auto members = *rc::gen::inRange(0, 4);
    for (int i = 0; i < members; ++i) {
        object[*rc::gen::element("a", "b", "c/d", "e~f")] = makeRandomValue(depth - 1);
    }
    return object;
}

json::value makeRandomValue(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 7 : 4)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::inRange(-3, 3);
    case 2:
        return *rc::gen::element("x", "y", "");
    case 3:
        return json::array{1, nullptr, json::object{{"a", nullptr}}};
    default:
        return makeRandomObject(depth);
    }
}

/** The pseudocode of RFC 7396, section 2. */
json::value naiveMerge(json::value target, const json::value &patch)
{
    if (!patch.is_object()) {
        return patch;
    }
    if (!target.is_object()) {
        target = json::object();
    }
    for (const auto &[key, value] : patch.get_object()) {
        if (value.is_null()) {
            target.get_object().erase(key);
        } else {
            const auto *old = target.get_object().if_contains(key);
            target.get_object()[key] = naiveMerge(old == nullptr ? json::value() : *old, value);
        }
    }
    return target;
}

/** Name of the last file that holds a value other than an object or null at a path. */
std::string naiveOrigin(const std::vector<IntentFile> &files, const std::vector<std::string> &path)
{
    std::string origin;
    for (const auto &file : files) {
        const auto whole = json::parse(file.text);
        const json::value *value = &whole;
        for (const auto &key : path) {
            value = value != nullptr && value->is_object() ? value->get_object().if_contains(key) : nullptr;
        }
        if (value != nullptr && !value->is_object() && !value->is_null()) {
            origin = file.name;
        }
    }
    return origin;
}

void checkOrigins(const std::vector<IntentFile> &files, const MergedIntent &merged, const MergedValue &value, const std::vector<std::string> &path)
{
    if (!value.isObject) {
        RC_ASSERT(merged.fileNames[value.file] == naiveOrigin(files, path));
        return;
    }
    for (const auto &[key, member] : value.members) {
        auto longer = path;
        longer.push_back(key);
        checkOrigins(files, merged, member, longer);
    }
}

Configuration configurationOf(const std::vector<IntentFile> &files)
{
    const auto check = checkIntent(files);
    REQUIRE(check.errors.empty());
    return check.configuration;
}

} // namespace

TEST_CASE("Merging intent files")
{
    SUBCASE("the merge equals a plain fold and knows the file of every value")
    {
        // Guards against a late drain that is lost in the merge, and against errors that name the wrong file.
        CHECK(rc::check([] {
            std::vector<IntentFile> files;
            json::value expected = json::object();
            const auto count = *rc::gen::inRange(1, 6);
            for (int i = 0; i < count; ++i) {
                const auto patch = makeRandomObject(3);
                files.push_back({std::to_string(i) + ".json", json::serialize(patch)});
                expected = naiveMerge(expected, patch);
            }
            auto reversed = files;
            std::reverse(reversed.begin(), reversed.end());
            const auto merged = mergeIntent(reversed);
            RC_ASSERT(merged.errors.empty());
            RC_ASSERT(json::parse(mergedAsJson(merged.root)) == expected);
            checkOrigins(files, merged, merged.root, {});
        }));
    }

    SUBCASE("malformed and oversized files are named, and all of them are")
    {
        std::string deep;
        for (std::size_t i = 0; i <= MaxIntentDepth; ++i) {
            deep += "{\"a\":";
        }
        const std::string large(MaxIntentFileBytes + 1, ' ');
        const auto merged = mergeIntent({{"a", "{\n\"x\": }"}, {"b", "[]"}, {"c", deep}, {"d", large}, {"e", "{} {}"}, {"f", "{"}, {"g", "{}"}, {"g", "{}"}});
        std::vector<std::pair<std::string, ResultCode>> seen;
        for (const auto &error : merged.errors) {
            seen.emplace_back(error.file, error.code);
        }
        CHECK(seen
              == std::vector<std::pair<std::string, ResultCode>>{{"a", ResultCode::BadJson},
                                                                 {"b", ResultCode::BadFieldType},
                                                                 {"c", ResultCode::TooLarge},
                                                                 {"d", ResultCode::TooLarge},
                                                                 {"e", ResultCode::BadJson},
                                                                 {"f", ResultCode::BadJson},
                                                                 {"g", ResultCode::BadRequest}});
        CHECK(merged.errors[0].message.starts_with("line 2: "));
    }

    SUBCASE("the number and the total size of the files are bounded")
    {
        std::vector<IntentFile> many(MaxIntentFiles + 1, {"a", "{}"});
        CHECK(mergeIntent(many).errors.front().code == ResultCode::TooLarge);
        std::vector<IntentFile> large(13, {"a", std::string(MaxIntentFileBytes, ' ')});
        CHECK(mergeIntent(large).errors.front().code == ResultCode::TooLarge);
    }
}

TEST_CASE("Checking the configuration")
{
    SUBCASE("every fault is reported with its code, file and pointer")
    {
        const auto check = checkIntent({{"10.json", R"({"services": {"quote-desk": {"state": "ajar", "queueLimit": "many", "color": 1}}, "teams": []})"},
                                        {"20.json", R"({"services": {"quote-desk": {"defaultTimeoutMs": 0, "retryBudgetPercent": 18446744073709551615}},
                                             "availabilityZones": {"bo le": {}, "bole": {"drainLimitMs": 1.5}}, "voters": {}, "policy": {"routing": "best"}})"}});
        std::vector<std::tuple<ResultCode, std::string, std::string>> seen;
        for (const auto &error : check.errors) {
            seen.emplace_back(error.code, error.file, error.pointer);
            CHECK_FALSE(error.message.empty());
        }
        CHECK(seen
              == std::vector<std::tuple<ResultCode, std::string, std::string>>{{ResultCode::OutOfRange, "20.json", "/availabilityZones/bo le"},
                                                                               {ResultCode::BadFieldType, "20.json", "/availabilityZones/bole/drainLimitMs"},
                                                                               {ResultCode::UnknownField, "10.json", "/services/quote-desk/color"},
                                                                               {ResultCode::OutOfRange, "20.json", "/services/quote-desk/defaultTimeoutMs"},
                                                                               {ResultCode::BadFieldType, "10.json", "/services/quote-desk/queueLimit"},
                                                                               {ResultCode::OutOfRange, "20.json", "/services/quote-desk/retryBudgetPercent"},
                                                                               {ResultCode::OutOfRange, "10.json", "/services/quote-desk/state"},
                                                                               {ResultCode::BadFieldType, "10.json", "/teams"},
                                                                               {ResultCode::UnknownField, "20.json", "/voters"}});
    }

    SUBCASE("a proposer that knows its plug-ins refuses an unknown policy")
    {
        const PolicyNames policies{{"least-wait"}, {"first-fit"}};
        const auto check = checkIntent({{"a", R"({"policy": {"routing": "best", "placement": "first-fit"}})"}}, &policies);
        REQUIRE(check.errors.size() == 1);
        CHECK(check.errors[0].code == ResultCode::UnknownPolicy);
        CHECK(check.errors[0].pointer == "/policy/routing");
    }

    SUBCASE("every key reaches its member")
    {
        const auto configuration = configurationOf({{"a", R"({
            "services": {"s": {"state": "closed", "defaultTimeoutMs": 1, "queueLimit": 2, "retryBudgetPercent": 3, "retryBudgetMinPerSecond": 4, "maxEvictionsPerMinute": 5}},
            "teams": {"t": {"weight": 6, "quotaSlots": 7, "quotaCpuMillis": 8, "quotaMemoryMb": 9}},
            "availabilityZones": {"z": {"state": "drained", "drainLimitMs": 10}},
            "workers": {"w": {"state": "leaving"}},
            "policy": {"weighing": "throughput", "routing": "random", "placement": "first-fit"}})"}});
        CHECK(configuration.services.at("s") == ServiceConfig{ServiceState::Closed, {1}, 2, 3, 4, 5});
        CHECK(configuration.teams.at("t") == TeamConfig{6, 7, 8, 9});
        CHECK(configuration.availabilityZones.at("z") == ZoneConfig{ZoneState::Drained, {10}});
        CHECK(configuration.workers.at("w") == WorkerConfig{WorkerIntent::Leaving});
        CHECK(configuration.policy == PolicyConfig{Weighing::Throughput, "random", "first-fit"});
    }
}

TEST_CASE("Comparing two sets of files")
{
    const std::vector<IntentFile> before{{"10", R"({"services": {"s": {}}, "availabilityZones": {"bole": {"drainLimitMs": 5}}})"}, {"20", "{}"}};
    const auto with = [&before](const std::string &text) {
        auto after = before;
        after.push_back({"99", text});
        return after;
    };

    SUBCASE("the difference lists files and values")
    {
        const auto diff = diffIntent(before, {{"10", R"({"services": {}, "availabilityZones": {"bole": {"drainLimitMs": 6}}})"}, {"30", "{}"}});
        CHECK(diff.added == std::vector<std::string>{"30"});
        CHECK(diff.removed == std::vector<std::string>{"20"});
        CHECK(diff.changed == std::vector<std::string>{"10"});
        CHECK(diff.values == std::vector<ValueChange>{{"/availabilityZones/bole/drainLimitMs", "5", "6"}, {"/services/s", "{}", ""}});
    }

    SUBCASE("only drains, leaving workers and closed services are restrictive")
    {
        // Guards against a permissive change that takes effect on an isolated daemon although it was never accepted.
        const auto isRestrictive = [&](const std::string &text) {
            return isPurelyRestrictive(configurationOf(before), configurationOf(with(text)));
        };
        CHECK(isRestrictive(R"({"availabilityZones": {"bole": {"state": "drained"}}})"));
        CHECK(isRestrictive(
            R"({"availabilityZones": {"new": {"state": "drained"}}, "workers": {"w": {"state": "leaving"}}, "services": {"s": {"state": "closed"}}})"));
        CHECK_FALSE(isRestrictive("{}"));
        CHECK_FALSE(isRestrictive(R"({"availabilityZones": {"bole": {"state": "drained", "drainLimitMs": 6}}})"));
        CHECK_FALSE(isRestrictive(R"({"availabilityZones": {"bole": {"state": "drained"}}, "teams": {"t": {}}})"));
        CHECK_FALSE(isRestrictive(R"({"services": {"s": {"queueLimit": 1}}})"));
        CHECK_FALSE(isRestrictive(R"({"services": {"s": null}})"));
        const auto drained = configurationOf(with(R"({"availabilityZones": {"bole": {"state": "drained"}}})"));
        CHECK_FALSE(isPurelyRestrictive(drained, configurationOf(before)));
    }
}
