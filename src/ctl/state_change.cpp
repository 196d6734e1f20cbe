/** @file state_change.cpp Shortcuts that set one state of the configuration by one intent file. */

#include "ctl/state_change.h"

#include "ctl/json_access.h"

namespace Filbertlanding {

std::string findOverride(const std::vector<IntentFile> &files, const StateChange &change)
{
    MergedText after = mergedTextAt(filesAfter(files, change.change), change.path);
    if (after.value.empty()) {
        after.value = change.fallback;
    }
    if (after.value == change.wanted) {
        return {};
    }
    std::string pointer;
    for (const std::string &key : change.path) {
        pointer += "/" + key;
    }
    return "the file " + after.file + " sets " + pointer + " to " + after.value + " and would override this; change or remove that file first";
}

std::string stateFileText(const std::vector<std::string> &path, const std::string &state)
{
    boost::json::value value(state);
    for (auto key = path.rbegin(); key != path.rend(); ++key) {
        boost::json::object outer;
        outer[*key] = std::move(value);
        value = std::move(outer);
    }
    return boost::json::serialize(value) + "\n";
}

std::string missingVersions(const CtlReply &status, std::uint64_t version)
{
    const boost::json::value root = parseBody(status.body);
    std::string missing;
    for (const boost::json::value &daemon : listOf(root, "daemons")) {
        // A silent daemon cannot be asked; it has lost its freshness lease after 3 s and starts nothing new.
        if (!flagOf(daemon, "alive") || numberOf(daemon, "version") >= version) {
            continue;
        }
        missing += (missing.empty() ? "" : ", ") + textOf(daemon, "daemon") + " has version " + textOf(daemon, "version");
    }
    return missing;
}

} // namespace Filbertlanding
