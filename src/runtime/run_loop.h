/** @file run_loop.h Runs an event loop in which an error of one handler does not end the process. */

#pragma once

#include <functional>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace Filbertlanding {

/** Runs the loop until it is stopped or has no work. An exception that leaves a handler ends that handler only, and is told with its text. */
void runLoop(boost::asio::io_context &loop, const std::function<void(std::string_view)> &handlerFailed);

} // namespace Filbertlanding
