/** @file main.cpp The program filbertlandingd. */

#include "daemon/daemon_func.h"
#include "daemon/stop_func.h"
#include "runtime/log_func.h"
#include "runtime/process_signals.h"
#include "settings/settings_func.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <future>
#include <iostream>
#include <iterator>
#include <thread>

using namespace Filbertlanding;

namespace {

constexpr int BadUsage = 1; ///< Exit code of malformed settings, the first digit of their result codes.

/** Options of the command line. */
struct Options {
    std::string settingsFile;
    bool check = false;
    bool printEffective = false;
    bool firstStart = false;
};

int exitCode(ResultCode code)
{
    return static_cast<int>(code) / 1000;
}

/** Reads the settings and prints every mistake. Returns whether there was none. */
bool readSettings(const Options &options, Settings &settings)
{
    std::string text = R"({"dataFolder": "filbertlanding-data"})";
    if (!options.settingsFile.empty()) {
        std::ifstream file(options.settingsFile, std::ios::binary);
        if (!file) {
            std::cerr << options.settingsFile << ": cannot be read\n";
            return false;
        }
        text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    const std::vector<SettingsError> errors = parseSettings(text, settings);
    for (const SettingsError &error : errors) {
        std::cerr << options.settingsFile << ":" << error.pointer << ": " << static_cast<int>(error.code) << " " << resultCodeRow(error.code).name << ": "
                  << error.message << "\n";
    }
    return errors.empty();
}

/** Closes the log and returns the exit code. Ends the process here if the log cannot be closed, as when nobody reads a full pipe. */
int endWith(ResultCode code)
{
    if (!stopLogging()) {
        std::_Exit(exitCode(code));
    }
    return exitCode(code);
}

/** Runs the daemon until it has stopped. SIGTERM and SIGINT start a planned stop; SIGHUP is logged and ignored, since the settings are read only at the start.
 */
int run(const Settings &settings, const Options &options)
{
    // Signals are taken by one thread that waits for them; blocked here, they are blocked in all threads started later.
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : ControlSignals) {
        sigaddset(&signals, signal);
    }
    sigaddset(&signals, SIGUSR1);
    blockControlSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    startLogging({settings.logLevel, settings.logFile, false, settings.logQueueLines});
    Daemon daemon(settings);
    std::promise<ResultCode> ended;
    std::atomic<bool> endedOnce{false};
    const auto stopped = [&ended, &endedOnce](ResultCode code) {
        if (!endedOnce.exchange(true)) {
            ended.set_value(code);
        }
    };
    const StartResult started = startDaemon(daemon, {options.firstStart}, stopped);
    if (started.code != ResultCode::Ok) {
        std::cerr << static_cast<int>(started.code) << " " << resultCodeRow(started.code).name << ": " << started.message << "\n";
        endDaemon(daemon);
        return endWith(started.code);
    }
    logLine(LogArea::Daemon, LogLevel::Info, "started", {{"daemon", settings.daemon}, {"httpPort", settings.httpPort}, {"incarnation", daemon.incarnation}});
    std::thread signalThread([&daemon, &signals] {
        int signal = 0;
        while (sigwait(&signals, &signal) == 0 && signal != SIGUSR1) {
            if (signal == SIGHUP) {
                logLine(LogArea::Daemon, LogLevel::Warn, "signal_ignored", {{"signal", "SIGHUP"}});
                continue;
            }
            daemon.control.post([&daemon] {
                startPlannedStop(daemon);
            });
        }
    });
    const ResultCode code = ended.get_future().get();
    // SIGUSR1 ends the waiting thread.
    pthread_kill(signalThread.native_handle(), SIGUSR1);
    signalThread.join();
    endDaemon(daemon);
    logLine(LogArea::Daemon, LogLevel::Info, "ended", {{"code", resultCodeRow(code).name}});
    return endWith(code);
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    CLI::App app{"Daemon of the filbertlanding scheduler"};
    app.add_option("--settings", options.settingsFile, "JSON file with the settings; without it the daemon runs alone on loopback");
    app.add_flag("--check", options.check, "check the settings and exit");
    app.add_flag("--print-effective", options.printEffective, "print the settings in effect and exit");
    app.add_flag("--first-start", options.firstStart, "the installation starts for the first time; never use it for a host whose disk was lost");
    CLI11_PARSE(app, argc, argv);
    Settings settings;
    if (!readSettings(options, settings)) {
        return BadUsage;
    }
    if (options.printEffective) {
        std::cout << settingsAsJson(settings) << "\n";
    }
    if (options.check || options.printEffective) {
        return 0;
    }
    return run(settings, options);
}
