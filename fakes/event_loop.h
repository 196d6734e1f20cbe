/** @file event_loop.h A single-threaded event loop for the fakes. */

#pragma once

#include "core/clock_type.h"

#include <functional>
#include <memory>

namespace Filbertlanding {

/** Runs functions on the thread that calls run(). */
class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    /** Runs until stop(). */
    void run();

    /** Ends run(); from any thread. */
    void stop();

    /** Runs a function soon; from any thread. */
    void post(std::function<void()> function);

    /** Runs a function after a time; on the loop's thread or before run(). */
    void after(Duration delay, std::function<void()> function);

    /** Sets what happens on the first SIGINT or SIGTERM. */
    void onSignal(std::function<void()> function);

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace Filbertlanding
