/** @file run_loop.cpp Runs an event loop in which an error of one handler does not end the process. */

#include "runtime/run_loop.h"

#include <boost/asio/io_context.hpp>

#include <exception>

namespace Filbertlanding {

void runLoop(boost::asio::io_context &loop, const std::function<void(std::string_view)> &handlerFailed)
{
    for (;;) {
        try {
            loop.run();
            return;
        } catch (const std::exception &error) {
            handlerFailed(error.what());
        }
    }
}

} // namespace Filbertlanding
