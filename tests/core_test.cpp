/** @file core_test.cpp Tests of the core types. */

#include "core/clock_func.h"
#include "core/clock_type.h"
#include "core/name_table.h"
#include "core/random.h"
#include "core/registry.h"
#include "core/result_code.h"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace Filbertlanding;

namespace {

enum class Colour { Red, Green };

constexpr auto ColourNames = makeNameTable<Colour>({{Colour::Red, "red"}, {Colour::Green, "green"}});

const Registration<int(int)> Doubler("double", [](int value) {
    return 2 * value;
});

} // namespace

TEST_CASE("Result codes")
{
    SUBCASE("the page for users lists every code with its number, status and sentence")
    {
        // Guards against a code that callers receive but cannot look up.
        std::ifstream page(FILBERTLANDING_SOURCE_DIR "/docs/errors.md");
        std::stringstream text;
        text << page.rdbuf();
        for (const auto &row : resultCodeRows()) {
            std::ostringstream line;
            line << "| " << static_cast<int>(row.code) << " | " << row.name << " | " << row.httpStatus << " | " << row.sentence << " |\n";
            CHECK_MESSAGE(text.str().find(line.str()) != std::string::npos, line.str());
        }

        SUBCASE("and no code more")
        {
            std::size_t rows = 0;
            std::string line;
            while (std::getline(text, line)) {
                rows += line.size() > 2 && line.starts_with("| ") && std::isdigit(static_cast<unsigned char>(line[2])) ? 1 : 0;
            }
            CHECK(rows == resultCodeRows().size());
        }
    }

    SUBCASE("no number and no name stands for two codes")
    {
        std::set<ResultCode> numbers;
        std::set<std::string_view> names;
        for (const auto &row : resultCodeRows()) {
            CHECK(numbers.insert(row.code).second);
            CHECK(names.insert(row.name).second);
            CHECK(resultCodeFromName(row.name) == row.code);
        }
    }

    SUBCASE("a refusal always says that the request was not run, and nothing else says so")
    {
        // Guards against a final report that counts a request as refused although it may have run.
        for (const auto &row : resultCodeRows()) {
            CHECK(isRefusal(row.code) == (row.sentence.find("not run") != std::string_view::npos));
        }
    }

    SUBCASE("they work as std::error_code")
    {
        const std::error_code code = ResultCode::QueueFull;
        CHECK(code.value() == 2003);
        CHECK(code.message() == "the queue of the service is full; the request was not run");
    }
}

TEST_CASE("Small core types")
{
    CHECK(ColourNames.nameOf(Colour::Green) == "green");
    CHECK(ColourNames.valueOf("red") == Colour::Red);
    CHECK_FALSE(ColourNames.valueOf("blue"));
    CHECK((*Registry<int(int)>::find("double"))(21) == 42);
    CHECK(Registry<int(int)>::find("triple") == nullptr);
    CHECK(withDrift(Duration{5000}) == Duration{5150});
    CHECK(formatWallTime(WallTime{1796362221123}) == "2026-12-04T05:30:21.123Z");
    // The values are fixed, since daemons of different versions must agree on them.
    CHECK(stableHash("bole-1") == stableHash("bole-1"));
    CHECK(stableHash("bole-1") != stableHash("bole-2"));
    CHECK(Random{7}.below(0) == 0);
}
