/** @file ledger_file.h What a fake saw, as JSON lines, for checks after a run. */

#pragma once

#include <boost/json/fwd.hpp>

#include <fstream>
#include <string>

namespace Filbertlanding {

/** A file with one JSON object on each line; used on one thread. */
class LedgerFile
{
public:
    /** Opens the file for appending. An empty path keeps no ledger. Returns false if it cannot be opened. */
    bool open(const std::string &path);

    /** Appends a line with the event's name and the calendar and steady time in milliseconds added, and hands it to the kernel. */
    void write(const char *event, boost::json::object line);

private:
    std::ofstream file;
};

} // namespace Filbertlanding
