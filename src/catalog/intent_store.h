/** @file intent_store.h Changes of intent files. */

#pragma once

#include "catalog/catalog_base.h"

namespace Filbertlanding {

/** Returns the files of the store, sorted by name. */
std::vector<IntentFile> storedFiles(const IntentStore &store);

/**
 * Returns the set of files that a change would make, without checks of the version.
 * @param missing Gets the name of a file that a remove names but that does not exist.
 */
std::vector<IntentFile> changedFiles(const IntentStore &store, const ChangeFiles &command, std::string &missing);

/** Applies a change: all of it, or nothing. */
CommandResult applyChange(IntentStore &store, const ChangeFiles &command, std::uint64_t index);

} // namespace Filbertlanding
