/** @file ctl_output.cpp What the tool writes: tables, results and errors. */

#include "ctl/ctl_output.h"

#include "catalog/intent_json.h"
#include "ctl/json_access.h"

#include <algorithm>
#include <map>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    std::string_view colourStart(CellColour colour)
    {
        switch (colour) {
        case CellColour::Green:
            return "\x1b[32m";
        case CellColour::Yellow:
            return "\x1b[33m";
        case CellColour::Red:
            return "\x1b[31m";
        case CellColour::None:
            break;
        }
        return {};
    }

    /** Characters of a UTF-8 text: its bytes that do not continue a character. */
    std::size_t widthOf(const std::string &text)
    {
        return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char byte) {
            return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U;
        }));
    }

    void writeRow(const CtlStreams &streams, const TableRow &row, const std::vector<std::size_t> &widths)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            const TableCell &cell = row[i];
            const std::string padding(widths[i] - widthOf(cell.text), ' ');
            const bool isLast = i + 1 == row.size();
            const std::string_view start = streams.colours ? colourStart(cell.colour) : std::string_view();
            line += i > 0 ? "  " : "";
            line += cell.isNumber ? padding : "";
            line += start;
            line += cell.text;
            line += start.empty() ? "" : "\x1b[0m";
            line += cell.isNumber || isLast ? "" : padding;
        }
        streams.out << line << "\n";
    }

    std::string numbered(ResultCode code)
    {
        return std::to_string(static_cast<int>(code)) + " " + std::string(resultCodeRow(code).name);
    }

    void writeWinner(std::ostream &err, const json::value &body)
    {
        const json::value &winner = memberOf(body, "winner");
        if (textOf(winner, "operation").empty()) {
            return;
        }
        err << "  the other change: operation " << printable(textOf(winner, "operation")) << " by " << printable(textOf(winner, "operator")) << ", files "
            << printable(namesOf(winner, "files")) << "\n"
            << "  nothing was changed; look at it with `filbertctl intent history` and repeat the command to apply yours after it\n";
    }

    void writeFaults(std::ostream &err, const json::value &body)
    {
        const json::array &errors = listOf(body, "errors");
        for (const json::value &fault : errors) {
            err << "  " << printable(textOf(fault, "file")) << " " << printable(textOf(fault, "pointer")) << ": " << numberOf(fault, "code") << " "
                << printable(textOf(fault, "name")) << ": " << printable(textOf(fault, "message")) << "\n";
        }
        const std::uint64_t count = numberOf(body, "errorCount");
        if (count > errors.size()) {
            err << "  and " << count - errors.size() << " more\n";
        }
    }

    json::object errorBody(ResultCode code, const std::string &message)
    {
        return {{"code", static_cast<int>(code)}, {"name", resultCodeRow(code).name}, {"message", message}};
    }

} // namespace

TableCell::TableCell(std::string content, CellColour shade)
    : text(std::move(content))
    , colour(shade)
{
}

TableCell::TableCell(const char *content)
    : text(content)
{
}

TableCell::TableCell(std::uint64_t number)
    : text(std::to_string(number))
    , isNumber(true)
{
}

void writeTable(const CtlStreams &streams, const std::vector<std::string> &titles, const std::vector<TableRow> &rows)
{
    std::vector<TableRow> all;
    TableRow head;
    for (std::size_t i = 0; i < titles.size(); ++i) {
        head.emplace_back(titles[i]);
        head.back().isNumber = !rows.empty() && i < rows.front().size() && rows.front()[i].isNumber;
    }
    all.push_back(head);
    all.insert(all.end(), rows.begin(), rows.end());
    std::vector<std::size_t> widths(titles.size());
    for (TableRow &row : all) {
        row.resize(titles.size(), TableCell(""));
        for (std::size_t i = 0; i < row.size(); ++i) {
            row[i].text = printable(row[i].text);
            widths[i] = std::max(widths[i], widthOf(row[i].text));
        }
    }
    for (const TableRow &row : all) {
        writeRow(streams, row, widths);
    }
}

TableCell stateCell(const std::string &state)
{
    static const std::map<std::string, CellColour, std::less<>> colours{{"in-service", CellColour::Green},
                                                                        {"open", CellColour::Green},
                                                                        {"healthy", CellColour::Green},
                                                                        {"alive", CellColour::Green},
                                                                        {"drained", CellColour::Yellow},
                                                                        {"leaving", CellColour::Yellow},
                                                                        {"stopping", CellColour::Yellow},
                                                                        {"closed", CellColour::Yellow},
                                                                        {"suspect", CellColour::Yellow},
                                                                        {"silent", CellColour::Red},
                                                                        {"failed", CellColour::Red},
                                                                        {"quarantined", CellColour::Red}};
    const auto found = colours.find(state);
    return {state, found == colours.end() ? CellColour::None : found->second};
}

std::string printable(std::string_view text, bool keepLines)
{
    std::string result;
    for (const char byte : text) {
        const auto value = static_cast<unsigned char>(byte);
        const bool isControl = value < 0x20 || value == 0x7F;
        const bool isKept = keepLines && (byte == '\n' || byte == '\t');
        result += isControl && !isKept ? '?' : byte;
    }
    return result;
}

ResultCode writeError(const CtlContext &context, ResultCode code, const std::string &message)
{
    if (context.options.json) {
        context.streams.out << json::serialize(errorBody(code, message)) << "\n";
        return code;
    }
    context.streams.err << "filbertctl: " << numbered(code) << ": " << printable(message) << "\n";
    return code;
}

ResultCode writeIntentErrors(const CtlContext &context, const std::vector<IntentError> &errors)
{
    json::object body = errorBody(ResultCode::IntentInvalid, std::string(resultCodeRow(ResultCode::IntentInvalid).sentence));
    body["errors"] = errorsAsJson(errors);
    return writeReplyError(context, {ResultCode::IntentInvalid, std::string(resultCodeRow(ResultCode::IntentInvalid).sentence), json::serialize(body)});
}

ResultCode writeReplyError(const CtlContext &context, const CtlReply &reply)
{
    const json::value root = parseBody(reply.body);
    const bool isObject = root.is_object();
    if (context.options.json) {
        context.streams.out << json::serialize(isObject ? root : json::value(errorBody(reply.code, reply.message))) << "\n";
        return reply.code;
    }
    context.streams.err << "filbertctl: " << numbered(reply.code) << ": " << printable(reply.message) << "\n";
    writeWinner(context.streams.err, root);
    writeFaults(context.streams.err, root);
    return reply.code;
}

ResultCode writeOutcome(const CtlContext &context, const CtlReply &reply, const std::string &sentence)
{
    if (!isSuccess(reply.code)) {
        return writeReplyError(context, reply);
    }
    if (context.options.json) {
        context.streams.out << reply.body << "\n";
    } else {
        context.streams.out << printable(sentence) << "\n";
    }
    return reply.code;
}

bool isSuccess(ResultCode code)
{
    return code == ResultCode::Ok || code == ResultCode::Pending;
}

} // namespace Filbertlanding
