/** @file run_loop_test.cpp An event loop in which handlers fail. */

#include "runtime/run_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <new>
#include <stdexcept>
#include <string>
#include <vector>

using namespace Filbertlanding;

TEST_CASE("An unexpected error in one handler does not end the loop")
{
    // Guards against a daemon that one malformed message or unexpected error takes down whole.
    boost::asio::io_context loop;
    std::vector<std::string> errors;
    bool hasRunAfter = false;
    boost::asio::post(loop, [] {
        throw std::out_of_range("no such worker");
    });
    boost::asio::post(loop, [&hasRunAfter] {
        hasRunAfter = true;
    });
    runLoop(loop, [&errors](std::string_view error) {
        errors.emplace_back(error);
    });
    CHECK(hasRunAfter);
    CHECK(errors == std::vector<std::string>{"no such worker"});
}

TEST_CASE("An error that cannot even be logged does not end the loop")
{
    // Guards against a daemon that ends because the line about a lack of memory needs memory.
    boost::asio::io_context loop;
    bool hasRunAfter = false;
    boost::asio::post(loop, [] {
        throw std::bad_alloc();
    });
    boost::asio::post(loop, [&hasRunAfter] {
        hasRunAfter = true;
    });
    CHECK_NOTHROW(runLoop(loop, [](std::string_view) {
        throw std::bad_alloc();
    }));
    CHECK(hasRunAfter);
}
