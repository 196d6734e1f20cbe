/** @file log_func.h Structured log of the daemon: one JSON object a line, written by a thread of its own. */

#pragma once

#include "core/clock_type.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace Filbertlanding {

/** Part of the daemon that a line comes from. */
enum class LogArea { Daemon, Route, Place, Replication, Intent, Worker, Job, Peer, Report };

/** Severity of a line. */
enum class LogLevel { Trace, Debug, Info, Warn, Error };

/** Where the log goes. */
struct LogSettings {
    std::string level = "info"; ///< Lowest level that is written.
    std::string file; ///< File; when empty, a stream of the process.
    bool toStandardOutput = false; ///< Without a file: standard output instead of standard error.
    std::int64_t linesPerEvent = 0; ///< Lines of one event a second; further ones are counted and reported. 0 for no bound.
    std::int64_t queueLines = 8192; ///< Lines that wait for the writer before further ones are dropped and counted.
};

/** One named value of a line. Text is only read during the call. */
struct LogField {
    std::string_view name; ///< Key in the JSON object.
    std::variant<std::string_view, std::int64_t, double, bool> value; ///< Value.

    LogField(std::string_view key, std::string_view text)
        : name(key)
        , value(text)
    {
    }
    LogField(std::string_view key, const std::string &text)
        : name(key)
        , value(std::string_view(text))
    {
    }
    LogField(std::string_view key, const char *text)
        : name(key)
        , value(std::string_view(text))
    {
    }
    LogField(std::string_view key, double number)
        : name(key)
        , value(number)
    {
    }
    LogField(std::string_view key, bool flag)
        : name(key)
        , value(flag)
    {
    }
    template<class Integer>
    requires std::is_integral_v<Integer> LogField(std::string_view key, Integer number)
        : name(key)
        , value(static_cast<std::int64_t>(number))
    {
    }
};

/**
 * Starts the log. Lines wait in a bounded queue for a writer thread; when the queue is full, lines are dropped
 * and the writer notes how many.
 */
void startLogging(const LogSettings &settings);

constexpr Duration LogStopTime{400}; ///< Longest wait for the lines that are still to be written when the log is stopped.

/**
 * Writes what waits and closes the file. Lines that come later are left out.
 * @return False if the lines could not be written in time, as when nobody reads a full pipe. The writer still waits then, and would keep the process
 * from its end, which has to be std::_Exit().
 */
[[nodiscard]] bool stopLogging(Duration limit = LogStopTime);

/**
 * Changes the lowest level that is written.
 * @return False when the name is not one of trace, debug, info, warn, error.
 */
bool setLogLevel(std::string_view name);

/** Returns whether lines of this area and level are written; cheap, for use before fields are built. */
bool isLogged(LogArea area, LogLevel level);

/** Writes one line with an event name and named values. A line for which memory or a thread is missing is left out. */
void logLine(LogArea area, LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace Filbertlanding
