/** @file ledger_detail.h Functions shared by the home and the replica parts of the ledger. */

#pragma once

#include "request/ledger_base.h"

#include <string>

namespace Filbertlanding::LedgerDetail {

/** Returns whether the ledger accepts no new request ids. */
bool isFull(const Ledger &ledger);

/** Finds or creates the record of a key and restarts its retention period. */
LedgerRecord &ensureRecord(Ledger &ledger, const LedgerKey &key, TimePoint now);

/** Adds an action that writes a record. @return Number of the write. */
std::uint64_t persist(Ledger &ledger, LedgerActions &actions, const LedgerKey &key, const LedgerRecord &record);

/** Returns the bytes of a record that count towards maxAnswerBytes. */
std::uint64_t storedBytes(const LedgerRecord &record);

/** Replaces the stored answer of a record and updates answerBytes. */
void setAnswer(Ledger &ledger, LedgerRecord &record, ResultCode code, std::string answer);

} // namespace Filbertlanding::LedgerDetail
