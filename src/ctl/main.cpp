/** @file main.cpp The program filbertctl. */

#include "ctl/ctl_func.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <unistd.h>

using namespace Filbertlanding;

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const bool colours = isatty(STDOUT_FILENO) != 0 && std::getenv("NO_COLOR") == nullptr;
    const auto pause = [](Duration length) {
        std::this_thread::sleep_for(std::chrono::milliseconds(length.ms));
    };
    const CtlStreams streams{std::cout, std::cerr, colours, pause};
    return runCtl(std::vector<std::string>(argv + 1, argv + argc), streams);
}
