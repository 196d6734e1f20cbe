/** @file operation_table.cpp Idempotency: operation ids with their first answers. */

#include "catalog/operation_table.h"

namespace Filbertlanding {

namespace {

    std::uint64_t memoryUsage(const OperationId &operation, const CommandResult &result)
    {
        std::uint64_t bytes = sizeof(OperationRecord) + 2 * operation.size() + result.message.size() + result.winner.size();
        for (const auto &error : result.errors) {
            bytes += sizeof(IntentError) + error.file.size() + error.pointer.size() + error.message.size();
        }
        for (const auto &file : result.winnerFiles) {
            bytes += sizeof(std::string) + file.size();
        }
        return bytes;
    }

    bool mustDropOldest(const OperationTable &table, std::uint64_t index)
    {
        if (table.order.empty()) {
            return false;
        }
        const bool isTooOld = table.order.begin()->first + MaxOperationAge < index;
        return isTooOld || table.records.size() > MaxOperations || table.bytes > MaxOperationBytes;
    }

} // namespace

std::optional<CommandResult> findResult(const OperationTable &table, const OperationId &operation, std::uint64_t fingerprint)
{
    const auto found = table.records.find(operation);
    if (found == table.records.end()) {
        return std::nullopt;
    }
    if (found->second.fingerprint == fingerprint) {
        return found->second.result;
    }
    CommandResult result;
    result.code = ResultCode::OperationIdReused;
    result.message = std::string(resultCodeRow(result.code).sentence);
    return result;
}

void recordResult(OperationTable &table, const OperationId &operation, std::uint64_t fingerprint, std::uint64_t index, const CommandResult &result)
{
    const auto bytes = memoryUsage(operation, result);
    table.records[operation] = {index, fingerprint, bytes, result};
    table.order[index] = operation;
    table.bytes += bytes;
    while (mustDropOldest(table, index)) {
        const auto oldest = table.order.begin();
        const auto record = table.records.find(oldest->second);
        table.bytes -= record->second.bytes;
        table.records.erase(record);
        table.order.erase(oldest);
    }
}

} // namespace Filbertlanding
