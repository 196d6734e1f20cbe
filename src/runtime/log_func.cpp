/** @file log_func.cpp Structured log of the daemon. */

#include "runtime/log_func.h"

#include "core/clock_func.h"
#include "core/name_table.h"

#include <boost/json.hpp>
#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <system_error>
#include <thread>

namespace Filbertlanding {

namespace {

    constexpr auto AreaNames = makeNameTable<LogArea>({{LogArea::Daemon, "daemon"},
                                                       {LogArea::Route, "route"},
                                                       {LogArea::Place, "place"},
                                                       {LogArea::Replication, "replication"},
                                                       {LogArea::Intent, "intent"},
                                                       {LogArea::Worker, "worker"},
                                                       {LogArea::Job, "job"},
                                                       {LogArea::Peer, "peer"},
                                                       {LogArea::Report, "report"}});

    constexpr auto LevelNames = makeNameTable<LogLevel>(
        {{LogLevel::Trace, "trace"}, {LogLevel::Debug, "debug"}, {LogLevel::Info, "info"}, {LogLevel::Warn, "warn"}, {LogLevel::Error, "error"}});

    log4cxx::LevelPtr toLibraryLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Trace:
            return log4cxx::Level::getTrace();
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    /** Loggers are looked up once, since the lookup by name takes a lock. */
    const log4cxx::LoggerPtr &loggerOf(LogArea area)
    {
        static const auto loggers = [] {
            std::array<log4cxx::LoggerPtr, AreaNames.rows.size()> result;
            for (const auto &row : AreaNames.rows) {
                result[static_cast<std::size_t>(row.value)] = log4cxx::Logger::getLogger(std::string(row.name));
            }
            return result;
        }();
        return loggers[static_cast<std::size_t>(area)];
    }

    log4cxx::AppenderPtr makeWriter(const LogSettings &settings)
    {
        const auto layout = std::make_shared<log4cxx::PatternLayout>(R"({"time":"%d{yyyy-MM-ddTHH:mm:ss.SSSZ}","level":"%p","area":"%c",%m}%n)");
        if (settings.file.empty()) {
            const auto stream = settings.toStandardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr();
            return std::make_shared<log4cxx::ConsoleAppender>(layout, stream);
        }
        return std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    }

    void appendNumber(std::string &line, double number)
    {
        char text[32];
        const auto end = std::to_chars(text, text + sizeof text, number, std::chars_format::general, 6);
        line.append(text, end.ptr);
    }

    void appendField(std::string &line, const LogField &field)
    {
        line += ",\"";
        line += field.name;
        line += "\":";
        if (const auto *text = std::get_if<std::string_view>(&field.value)) {
            line += boost::json::serialize(boost::json::string_view(text->data(), text->size()));
        } else if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
            line += std::to_string(*number);
        } else if (const auto *real = std::get_if<double>(&field.value)) {
            appendNumber(line, *real);
        } else {
            line += std::get<bool>(field.value) ? "true" : "false";
        }
    }

    /** Bound on the lines of each event, so that a burst of one kind leaves room for the others and the volume stays bounded. */
    class LineBudget
    {
    public:
        void setLimit(std::int64_t linesPerEvent)
        {
            const std::lock_guard lock(this->mutex);
            this->limit = linesPerEvent;
            this->events.clear();
        }

        /** Returns whether a line may be written, and how many lines of the event were left out in the second before. */
        std::pair<bool, std::int64_t> take(std::string_view event)
        {
            const std::lock_guard lock(this->mutex);
            if (this->limit == 0) {
                return {true, 0};
            }
            Count &count = this->events[std::string(event)];
            const std::int64_t second = steadyNow().ms / 1000;
            std::int64_t leftOut = 0;
            if (count.second != second) {
                leftOut = std::max<std::int64_t>(0, count.lines - this->limit);
                count = {second, 0};
            }
            ++count.lines;
            return {count.lines <= this->limit, leftOut};
        }

    private:
        struct Count {
            std::int64_t second = 0;
            std::int64_t lines = 0;
        };

        std::mutex mutex;
        std::int64_t limit = 0;
        std::map<std::string, Count> events;
    };

    LineBudget &lineBudget()
    {
        static LineBudget budget;
        return budget;
    }

} // namespace

void startLogging(const LogSettings &settings)
{
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(static_cast<int>(settings.queueLines));
    queue->setBlocking(false);
    queue->addAppender(makeWriter(settings));
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(queue);
    lineBudget().setLimit(settings.linesPerEvent);
    setLogLevel(settings.level);
}

bool stopLogging(Duration limit)
{
    // The library prints a complaint for each line that comes without an appender.
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getOff());
    std::promise<void> ended;
    const std::future<void> end = ended.get_future();
    std::thread closer;
    try {
        closer = std::thread([promise = std::move(ended)]() mutable {
            log4cxx::LogManager::shutdown();
            promise.set_value();
        });
    } catch (const std::system_error &) {
        return false; // The process may have no more threads.
    }
    if (end.wait_for(std::chrono::milliseconds(limit.ms)) != std::future_status::ready) {
        closer.detach();
        return false;
    }
    closer.join();
    return true;
}

bool setLogLevel(std::string_view name)
{
    const auto level = LevelNames.valueOf(name);
    if (!level) {
        return false;
    }
    log4cxx::Logger::getRootLogger()->setLevel(toLibraryLevel(*level));
    return true;
}

bool isLogged(LogArea area, LogLevel level)
{
    return loggerOf(area)->isEnabledFor(toLibraryLevel(level));
}

namespace {

    void writeLine(LogArea area, LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    {
        if (!isLogged(area, level)) {
            return;
        }
        const auto [mayWrite, leftOut] = lineBudget().take(event);
        if (leftOut > 0) {
            writeLine(LogArea::Daemon, LogLevel::Warn, "lines_left_out", {{"of", event}, {"lines", leftOut}});
        }
        if (!mayWrite) {
            return;
        }
        std::string line = "\"event\":\"";
        line += event;
        line += '"';
        for (const LogField &field : fields) {
            appendField(line, field);
        }
        loggerOf(area)->forcedLog(toLibraryLevel(level), line, log4cxx::spi::LocationInfo::getLocationUnavailable());
    }

} // namespace

void logLine(LogArea area, LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    try {
        writeLine(area, level, event, fields);
    } catch (const std::exception &) {
        return; // The line is lost for want of memory or threads; what it tells of goes on.
    }
}

} // namespace Filbertlanding
