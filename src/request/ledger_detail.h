/** @file ledger_detail.h Steps that the home's and the replica's part of the ledger share. */

#pragma once

#include "request/ledger_base.h"

#include <string>

namespace Filbertlanding::LedgerDetail {

/** Returns whether the ledger takes no new request id. */
bool isFull(const Ledger &ledger);

/** Finds or makes the record of a key; its retention starts now. */
LedgerRecord &ensureRecord(Ledger &ledger, const LedgerKey &key, TimePoint now);

/** Adds the action that writes a record. @return Number of the write. */
std::uint64_t persist(Ledger &ledger, LedgerActions &actions, const LedgerKey &key, const LedgerRecord &record);

/** Returns the bytes of a record that count towards maxAnswerBytes. */
std::uint64_t storedBytes(const LedgerRecord &record);

/** Replaces the stored answer of a record. */
void setAnswer(Ledger &ledger, LedgerRecord &record, ResultCode code, std::string answer);

} // namespace Filbertlanding::LedgerDetail
