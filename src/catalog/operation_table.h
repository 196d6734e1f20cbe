/** @file operation_table.h Idempotency: operation ids with their first answers. */

#pragma once

#include "catalog/catalog_base.h"

#include <optional>

namespace Filbertlanding {

constexpr std::size_t MaxOperations = 16'384; ///< Operation ids that are kept; more than a day's 11,000 jobs and 1,300 changes.
constexpr std::uint64_t MaxOperationAge = 1'000'000; ///< Log entries after which an id is forgotten; about a day with batches each second from 9 daemons.
constexpr std::uint64_t MaxOperationBytes = std::size_t{8} * 1024 * 1024; ///< Memory of the answers, which matter only when they list many errors.
constexpr std::size_t MaxOperationIdBytes = 200; ///< Bytes of an operation id.

/**
 * Looks for the first answer to an operation.
 * @param table Table.
 * @param operation Operation id.
 * @param fingerprint Hash of the command.
 * @return The first answer for a resend; OperationIdReused for another command with the same id; nothing for a new id.
 */
std::optional<CommandResult> findResult(const OperationTable &table, const OperationId &operation, std::uint64_t fingerprint);

/** Records the first answer and drops the oldest records above the bounds. */
void recordResult(OperationTable &table, const OperationId &operation, std::uint64_t fingerprint, std::uint64_t index, const CommandResult &result);

} // namespace Filbertlanding
