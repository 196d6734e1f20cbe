/** @file intent_client.h Reads and changes the intent files of an installation. */

#pragma once

#include "catalog/command_type.h"
#include "catalog/intent_type.h"
#include "ctl/daemon_call.h"

namespace Filbertlanding {

/** The intent files as a daemon has them. */
struct IntentState {
    CtlReply reply; ///< Answer of the daemon; the rest is valid only with Ok.
    std::uint64_t version = 0; ///< Version of the configuration.
    std::vector<IntentFile> files; ///< All files, sorted by name.
};

/** Files read from the disk. */
struct LocalFiles {
    ResultCode code = ResultCode::Ok; ///< Ok, NotFound, TooLarge or OutOfRange.
    std::string message; ///< One sentence for people when the code is an error.
    std::vector<IntentFile> files; ///< Sorted by name.
};

/** A change of the intent files. */
struct IntentChange {
    ChangeKind kind = ChangeKind::Put; ///< Put and remove have one file, sync has the whole set.
    std::vector<IntentFile> files; ///< Files; without a text for a removal.
};

/** Asks a daemon for its intent files. */
IntentState readIntent(CtlContext &context);

/** Reads one file as it is, up to the size that an intent file may have. */
LocalFiles readLocalFile(const std::string &path);

/**
 * Reads all files of a folder that end in .json. Hidden files are left out; any other entry is an error, and so is a folder
 * without a file, since a sync of it would remove the whole configuration.
 */
LocalFiles readLocalFolder(const std::string &folder);

/** Returns the faults that make a file no JSON object, or the set too large; the daemon checks the rest. */
std::vector<IntentError> findMalformed(const std::vector<IntentFile> &files);

/** Returns the files as they are after a change. */
std::vector<IntentFile> filesAfter(const std::vector<IntentFile> &files, const IntentChange &change);

/** A text value of the merged files. */
struct MergedText {
    std::string value; ///< The text; empty when it is not set.
    std::string file; ///< File that set it last.
};

/** Returns the text at a path of keys in the merged files. */
MergedText mergedTextAt(const std::vector<IntentFile> &files, const std::vector<std::string> &path);

/**
 * Sends a change. It is based on --if-version, or on the version that a given operation had when it was accepted, or on the version read.
 * An unknown outcome is followed by a line on the error stream that says how to send the same change again.
 */
CtlReply sendChange(CtlContext &context, const IntentChange &change, std::uint64_t versionRead);

/** Returns the member version of an answer to a change, or 0. */
std::uint64_t versionOf(const CtlReply &reply);

} // namespace Filbertlanding
