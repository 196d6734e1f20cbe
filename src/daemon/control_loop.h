/** @file control_loop.h The control thread: runs functions in order and after delays. */

#pragma once

#include "core/clock_type.h"

#include <functional>
#include <memory>

namespace Filbertlanding {

/** One thread that runs functions one at a time. Functions may be posted from any thread. */
class ControlLoop
{
public:
    ControlLoop();
    ~ControlLoop();
    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the thread after the function that is running; what was posted later is dropped. */
    void stop();

    /** Runs a function on the thread, after all that were posted before. */
    void post(std::function<void()> function);

    /** Runs a function on the thread after a delay. */
    void after(Duration delay, std::function<void()> function);

    /** Runs a function on the thread again and again, with a pause between the end of one run and the start of the next. */
    void every(Duration pause, std::function<void()> function);

private:
    struct Core;
    std::unique_ptr<Core> core;
};

} // namespace Filbertlanding
