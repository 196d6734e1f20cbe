/** @file run_loop.cpp Runs an event loop in which an error of one handler does not end the process. */

#include "runtime/run_loop.h"

#include <boost/asio/io_context.hpp>

#include <exception>

namespace Filbertlanding {

namespace {

    /** Reports an exception of a handler. The report may throw, too, since a log line needs memory; it is left out then. */
    void reportFailure(const std::function<void(std::string_view)> &handlerFailed, std::string_view error)
    {
        try {
            handlerFailed(error);
        } catch (const std::exception &) {
            return;
        }
    }

} // namespace

void runLoop(boost::asio::io_context &loop, const std::function<void(std::string_view)> &handlerFailed)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception &error) {
            reportFailure(handlerFailed, error.what());
        }
    }
}

} // namespace Filbertlanding
