/** @file control_loop.cpp The control thread. */

#include "daemon/control_loop.h"

#include "network/delayed_call.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>

namespace Filbertlanding {

namespace asio = boost::asio;

struct ControlLoop::Core {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(this->context)};
    std::thread thread;
};

ControlLoop::ControlLoop()
    : core(std::make_unique<Core>())
{
}

ControlLoop::~ControlLoop()
{
    this->stop();
}

void ControlLoop::start()
{
    this->core->thread = std::thread([state = this->core.get()] {
        state->context.run();
    });
}

void ControlLoop::stop()
{
    if (!this->core->thread.joinable()) {
        return;
    }
    this->core->context.stop();
    this->core->thread.join();
}

void ControlLoop::post(std::function<void()> function)
{
    asio::post(this->core->context, std::move(function));
}

void ControlLoop::after(Duration delay, std::function<void()> function)
{
    callAfter(this->core->context, delay, std::move(function));
}

void ControlLoop::every(Duration pause, std::function<void()> function)
{
    this->after(pause, [this, pause, function = std::move(function)] {
        function();
        this->every(pause, function);
    });
}

} // namespace Filbertlanding
