/** @file state_change.h Shortcuts that set one state of the configuration by one intent file. */

#pragma once

#include "ctl/intent_client.h"

namespace Filbertlanding {

/** A change of one file that is meant to give one value a new state. */
struct StateChange {
    IntentChange change; ///< The file that is written or removed.
    std::vector<std::string> path; ///< Keys of the value, for example availabilityZones, piassa, state.
    std::string wanted; ///< State that the merged configuration has to have after the change.
    std::string fallback; ///< State of a value that no file sets.
};

/** Returns a sentence when the merged files would not have the wanted state after the change, because another file sets it. */
std::string findOverride(const std::vector<IntentFile> &files, const StateChange &change);

/** Returns the text of an intent file that sets one value. */
std::string stateFileText(const std::vector<std::string> &path, const std::string &state);

/** Returns what is missing until every daemon that can be heard has a version; empty when nothing is. */
std::string missingVersions(const CtlReply &status, std::uint64_t version);

} // namespace Filbertlanding
