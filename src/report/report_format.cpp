/** @file report_format.cpp The final report as text and as JSON. */

#include "core/clock_func.h"
#include "report/final_report.h"

#include <boost/json.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    namespace json = boost::json;

    /** A number of a report row with its title in the text and its key in JSON. */
    struct RowColumn {
        std::string_view title;
        std::string_view key;
        std::uint64_t ReportRow::*number;
        bool isPercentile = false;
    };

    constexpr RowColumn RowColumns[] = {
        {"received", "received", &ReportRow::received},
        {"answered", "answered", &ReportRow::answered},
        {"finished", "finished", &ReportRow::finished},
        {"failed", "failed", &ReportRow::failed},
        {"refused", "refused", &ReportRow::refused},
        {"cancelled", "cancelled", &ReportRow::cancelled},
        {"unknown", "unknown", &ReportRow::unknown},
        {"unfinished", "unfinished", &ReportRow::unfinished},
        {"evicted", "evicted", &ReportRow::evicted},
        {"resumed", "resumed", &ReportRow::resumed},
        {"p50 us", "p50Us", &ReportRow::p50Us, true},
        {"p99 us", "p99Us", &ReportRow::p99Us, true},
        {"p99.9 us", "p999Us", &ReportRow::p999Us, true},
    };

    /** Returns whether a row has no value in this column: latencies are kept by zone only, and an answer takes longer than 1 us. */
    bool isUnmeasured(const RowColumn &column, const ReportRow &row)
    {
        return column.isPercentile && row.*column.number == 0;
    }

    using TextRow = std::vector<std::string>;

    /** Lays out rows in columns: the first column flush left, numbers flush right. */
    std::string alignRows(const std::vector<TextRow> &rows, bool areNumbers)
    {
        std::vector<std::size_t> widths;
        for (const auto &row : rows) {
            widths.resize(std::max(widths.size(), row.size()));
            for (std::size_t i = 0; i < row.size(); ++i) {
                widths[i] = std::max(widths[i], row[i].size());
            }
        }
        std::string text;
        for (const auto &row : rows) {
            std::string line;
            for (std::size_t i = 0; i < row.size(); ++i) {
                const std::string padding(widths[i] - row[i].size(), ' ');
                line += "  ";
                line += areNumbers && i > 0 ? padding + row[i] : row[i] + padding;
            }
            line.erase(line.find_last_not_of(' ') + 1);
            text += line + "\n";
        }
        return text;
    }

    TextRow numberRow(const std::string &name, const ReportRow &row)
    {
        TextRow cells{name};
        for (const auto &column : RowColumns) {
            cells.push_back(isUnmeasured(column, row) ? "-" : std::to_string(row.*column.number));
        }
        return cells;
    }

    TextRow titleRow(const std::string &name)
    {
        TextRow cells{name};
        for (const auto &column : RowColumns) {
            cells.emplace_back(column.title);
        }
        return cells;
    }

    std::string join(const std::vector<std::string> &parts)
    {
        std::string text;
        for (const auto &part : parts) {
            text += (text.empty() ? "" : ", ") + part;
        }
        return text;
    }

    std::string nameOf(const DaemonIncarnation &incarnation)
    {
        return incarnation.daemon + " incarnation " + std::to_string(incarnation.incarnation);
    }

    std::string numbersAsText(const FinalReport &report)
    {
        std::vector<TextRow> rows{titleRow("service"), numberRow(report.service, report.total), titleRow("team")};
        for (const auto &[team, row] : report.teams) {
            rows.push_back(numberRow(team.empty() ? "(none)" : team, row));
        }
        rows.push_back(titleRow("zone"));
        for (const auto &[zone, row] : report.zones) {
            if (!zone.empty() || row != ReportRow()) {
                rows.push_back(numberRow(zone.empty() ? "(none)" : zone, row));
            }
        }
        return alignRows(rows, true);
    }

    std::string refusalsAsText(const FinalReport &report)
    {
        std::vector<TextRow> rows;
        for (const auto &row : report.refusals) {
            const auto &code = resultCodeRow(row.code);
            rows.push_back({std::to_string(row.count), std::string(code.name), std::string(code.sentence), "for example " + join(row.examples)});
            if (row.examples.empty()) {
                rows.back().pop_back();
            }
        }
        return rows.empty() ? std::string() : "\nrefused\n" + alignRows(rows, false);
    }

    std::string failedJobsAsText(const FinalReport &report)
    {
        std::vector<TextRow> rows;
        for (const auto &job : report.failedJobs) {
            rows.push_back({job.id, std::string(resultCodeRow(job.code).name), job.reason});
        }
        if (report.total.failed > report.failedJobs.size()) {
            rows.push_back({"and " + std::to_string(report.total.failed - report.failedJobs.size()) + " more"});
        }
        return rows.empty() ? std::string() : "\nfailed jobs\n" + alignRows(rows, false);
    }

    std::string describeChange(const ChangeRecord &change)
    {
        std::vector<std::string> parts;
        const auto add = [&parts](const std::string &verb, const std::vector<std::string> &names) {
            if (!names.empty()) {
                parts.push_back(verb + " " + join(names));
            }
        };
        add("drained", change.drained);
        add("returned", change.returned);
        add("opened", change.opened);
        add("closed", change.closed);
        return join(parts);
    }

    std::string changesAsText(const FinalReport &report)
    {
        std::vector<TextRow> rows;
        for (const auto &change : report.changes) {
            const auto what = std::string(ChangeKindNames.nameOf(change.kind)) + " " + join(change.files);
            rows.push_back({"version " + std::to_string(change.version), formatWallTime(change.wallTime), change.operatorName, what, describeChange(change)});
        }
        return rows.empty() ? std::string() : "\nchanges while the service was open\n" + alignRows(rows, false);
    }

    std::string gapsAsText(const FinalReport &report)
    {
        std::string text;
        for (const auto &incarnation : report.missing) {
            text += "  counts missing: " + nameOf(incarnation) + "\n";
        }
        for (const auto &incarnation : report.damaged) {
            text += "  counts damaged: " + nameOf(incarnation) + "\n";
        }
        for (const auto &gap : report.gaps) {
            text += "  gap accepted: " + nameOf(gap.incarnation) + ", by " + gap.operatorName + " at " + formatWallTime(gap.wallTime) + "\n";
        }
        return text.empty() ? text : "\ncounts\n" + text;
    }

    std::string balanceAsText(const FinalReport &report)
    {
        if (report.difference == 0) {
            return "\nbalance: received equals the sum of all outcomes\n";
        }
        return "\nbalance: received minus the sum of all outcomes is " + std::to_string(report.difference) + "\n";
    }

    json::object rowAsJson(const ReportRow &row)
    {
        json::object object;
        for (const auto &column : RowColumns) {
            if (!isUnmeasured(column, row)) {
                object.emplace(column.key, row.*column.number);
            }
        }
        return object;
    }

    json::object rowsAsJson(const std::map<std::string, ReportRow> &rows)
    {
        json::object object;
        for (const auto &[name, row] : rows) {
            object.emplace(name, rowAsJson(row));
        }
        return object;
    }

    json::array namesAsJson(const std::vector<std::string> &names)
    {
        json::array array;
        for (const auto &name : names) {
            array.emplace_back(name);
        }
        return array;
    }

    json::array refusalsAsJson(const FinalReport &report)
    {
        json::array array;
        for (const auto &row : report.refusals) {
            const auto &code = resultCodeRow(row.code);
            array.push_back(json::object{{"code", static_cast<std::uint64_t>(row.code)},
                                         {"name", code.name},
                                         {"message", code.sentence},
                                         {"count", row.count},
                                         {"examples", namesAsJson(row.examples)}});
        }
        return array;
    }

    json::array failedJobsAsJson(const FinalReport &report)
    {
        json::array array;
        for (const auto &job : report.failedJobs) {
            array.push_back(
                json::object{{"job", job.id}, {"code", static_cast<std::uint64_t>(job.code)}, {"name", resultCodeRow(job.code).name}, {"reason", job.reason}});
        }
        return array;
    }

    json::array changesAsJson(const FinalReport &report)
    {
        json::array array;
        for (const auto &change : report.changes) {
            array.push_back(json::object{{"version", change.version},
                                         {"time", formatWallTime(change.wallTime)},
                                         {"operator", change.operatorName},
                                         {"operationId", change.operation},
                                         {"kind", ChangeKindNames.nameOf(change.kind)},
                                         {"files", namesAsJson(change.files)},
                                         {"drained", namesAsJson(change.drained)},
                                         {"returned", namesAsJson(change.returned)},
                                         {"opened", namesAsJson(change.opened)},
                                         {"closed", namesAsJson(change.closed)}});
        }
        return array;
    }

    json::array incarnationsAsJson(const std::vector<DaemonIncarnation> &incarnations)
    {
        json::array array;
        for (const auto &incarnation : incarnations) {
            array.push_back(json::object{{"daemon", incarnation.daemon}, {"incarnation", incarnation.incarnation}});
        }
        return array;
    }

    json::array gapsAsJson(const FinalReport &report)
    {
        json::array array;
        for (const auto &gap : report.gaps) {
            array.push_back(json::object{{"daemon", gap.incarnation.daemon},
                                         {"incarnation", gap.incarnation.incarnation},
                                         {"operator", gap.operatorName},
                                         {"time", formatWallTime(gap.wallTime)}});
        }
        return array;
    }

} // namespace

std::string reportAsText(const FinalReport &report)
{
    std::string text = (report.final ? "final report of service " : "preliminary report of service ") + report.service;
    text += report.closed ? " (closed)\n\n" : " (open)\n\n";
    text += numbersAsText(report);
    text += refusalsAsText(report);
    text += failedJobsAsText(report);
    text += changesAsText(report);
    text += gapsAsText(report);
    text += balanceAsText(report);
    return text;
}

std::string reportAsJson(const FinalReport &report)
{
    return json::serialize(json::object{{"service", report.service},
                                        {"closed", report.closed},
                                        {"final", report.final},
                                        {"difference", report.difference},
                                        {"total", rowAsJson(report.total)},
                                        {"teams", rowsAsJson(report.teams)},
                                        {"zones", rowsAsJson(report.zones)},
                                        {"refusals", refusalsAsJson(report)},
                                        {"failedJobs", failedJobsAsJson(report)},
                                        {"changes", changesAsJson(report)},
                                        {"missing", incarnationsAsJson(report.missing)},
                                        {"damaged", incarnationsAsJson(report.damaged)},
                                        {"gaps", gapsAsJson(report)}});
}

} // namespace Filbertlanding
