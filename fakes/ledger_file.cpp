/** @file ledger_file.cpp What a fake saw, as JSON lines. */

#include "fakes/ledger_file.h"

#include "core/clock_func.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Filbertlanding {

bool LedgerFile::open(const std::string &path)
{
    if (path.empty()) {
        return true;
    }
    this->file.open(path, std::ios::app);
    return this->file.is_open();
}

void LedgerFile::write(const char *event, boost::json::object line)
{
    if (!this->file.is_open()) {
        return;
    }
    line["event"] = event;
    line["wallMs"] = wallNow().ms;
    // The steady clock is the same for all processes of one host, so lines of several ledgers can be ordered by it.
    line["steadyMs"] = steadyNow().ms;
    this->file << boost::json::serialize(line) << '\n' << std::flush;
}

} // namespace Filbertlanding
