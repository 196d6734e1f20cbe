/** @file process_signals.cpp Blocks and unblocks the signals that control a daemon. */

#include "runtime/process_signals.h"

#include <pthread.h>

namespace Filbertlanding {

namespace {

    sigset_t controlSignalSet()
    {
        sigset_t set;
        sigemptyset(&set);
        for (const int signal : ControlSignals) {
            sigaddset(&set, signal);
        }
        return set;
    }

    /**
     * Runs before main() and before the other initialisers of the program: until a handler is registered, the default action of these signals
     * ends the process without an orderly stop. 101 is the first priority that is not reserved for the compiler.
     */
    [[gnu::constructor(101)]] void blockBeforeMain()
    {
        blockControlSignals();
    }

} // namespace

void blockControlSignals()
{
    const sigset_t set = controlSignalSet();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void unblockControlSignals()
{
    const sigset_t set = controlSignalSet();
    pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

bool isStopPending()
{
    sigset_t pending;
    sigemptyset(&pending);
    return sigpending(&pending) == 0 && (sigismember(&pending, SIGINT) == 1 || sigismember(&pending, SIGTERM) == 1);
}

ControlSignalBlock::ControlSignalBlock()
{
    const sigset_t set = controlSignalSet();
    pthread_sigmask(SIG_BLOCK, &set, &this->before);
}

ControlSignalBlock::~ControlSignalBlock()
{
    pthread_sigmask(SIG_SETMASK, &this->before, nullptr);
}

} // namespace Filbertlanding
