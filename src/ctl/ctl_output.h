/** @file ctl_output.h What the tool writes: tables, results and errors. */

#pragma once

#include "catalog/intent_type.h"
#include "ctl/daemon_call.h"

namespace Filbertlanding {

/** Colour of a cell on a terminal. */
enum class CellColour : std::uint8_t { None, Green, Yellow, Red };

/** One cell of a table. */
struct TableCell {
    TableCell(std::string content, CellColour shade = CellColour::None);
    TableCell(const char *content);
    TableCell(std::uint64_t number);

    std::string text; ///< Content.
    CellColour colour = CellColour::None; ///< Colour, used on a terminal only.
    bool isNumber = false; ///< Numbers are flush right.
};

using TableRow = std::vector<TableCell>;

/** Writes aligned columns under their titles. Control characters are replaced, so that names from outside cannot steer a terminal. */
void writeTable(const CtlStreams &streams, const std::vector<std::string> &titles, const std::vector<TableRow> &rows);

/** Returns a cell for a state, coloured when it needs attention. */
TableCell stateCell(const std::string &state);

/** Returns a text without control characters; line feeds and tabs stay when wanted. */
std::string printable(std::string_view text, bool keepLines = false);

/** Writes an error found by the tool itself, as text or JSON, and returns its code. */
ResultCode writeError(const CtlContext &context, ResultCode code, const std::string &message);

/** Writes faults of intent files with file and JSON pointer; returns IntentInvalid. */
ResultCode writeIntentErrors(const CtlContext &context, const std::vector<IntentError> &errors);

/** Writes the error of a reply, with the other change of a conflict and every fault of a configuration; returns its code. */
ResultCode writeReplyError(const CtlContext &context, const CtlReply &reply);

/** Writes the outcome of a change: the sentence on success, or the error. With --json the body of the answer. Returns the code. */
ResultCode writeOutcome(const CtlContext &context, const CtlReply &reply, const std::string &sentence);

/** Returns whether a code means success. */
bool isSuccess(ResultCode code);

} // namespace Filbertlanding
