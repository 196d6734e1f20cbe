/** @file process_signals.h The signals that control a daemon: SIGHUP, SIGINT and SIGTERM. A program that links this file starts with them blocked. */

#pragma once

#include <csignal>

namespace Filbertlanding {

/** The signals that control a daemon. */
inline constexpr int ControlSignals[] = {SIGHUP, SIGINT, SIGTERM};

/** Blocks the control signals in the calling thread and in the threads that it starts later. Those that come meanwhile stay pending. */
void blockControlSignals();

/** Lets the control signals through to the calling thread, also if the program was started with them blocked. To be called once handlers are registered. */
void unblockControlSignals();

/** Returns whether SIGINT or SIGTERM has come while blocked. */
bool isStopPending();

/** Blocks the control signals for its lifetime, so that threads started meanwhile do not take them and their system calls are not interrupted. */
class ControlSignalBlock
{
public:
    ControlSignalBlock();
    ControlSignalBlock(const ControlSignalBlock &) = delete;
    ControlSignalBlock &operator=(const ControlSignalBlock &) = delete;
    ~ControlSignalBlock();

private:
    sigset_t before; ///< Mask of the thread before.
};

} // namespace Filbertlanding
