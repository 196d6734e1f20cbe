/** @file event_loop.cpp A single-threaded event loop on Asio. */

#include "fakes/event_loop.h"

#include "network/delayed_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace Filbertlanding {

namespace net = boost::asio;

struct EventLoop::Core {
    net::io_context io{1};
    net::executor_work_guard<net::io_context::executor_type> work{io.get_executor()};
    net::signal_set signals{io};
};

EventLoop::EventLoop()
    : core(std::make_unique<Core>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    this->core->io.run();
}

void EventLoop::stop()
{
    this->core->io.stop();
}

void EventLoop::post(std::function<void()> function)
{
    net::post(this->core->io, std::move(function));
}

void EventLoop::after(Duration delay, std::function<void()> function)
{
    callAfter(this->core->io, delay, std::move(function));
}

void EventLoop::onSignal(std::function<void()> function)
{
    this->core->signals.add(SIGINT);
    this->core->signals.add(SIGTERM);
    this->core->signals.async_wait([function = std::move(function)](const boost::system::error_code &error, int) {
        if (!error) {
            function();
        }
    });
}

} // namespace Filbertlanding
