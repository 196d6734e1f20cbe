/** @file raft_check.cpp Checks of what comes from other replicas and from the disk, so that the transitions can rely on it. */

#include "core/bounded_archive.h"
#include "replication/raft_internal.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns whether an entry that holds a membership holds a valid one. */
    bool hasValidPayload(const LogEntry &entry)
    {
        return entry.kind != EntryKind::Membership || decodeMembership(entry.payload).has_value();
    }

    /** Returns whether entries follow each other after the one with the given index and term. */
    bool isSequence(const std::vector<LogEntry> &entries, std::uint64_t prevIndex, std::uint64_t prevTerm)
    {
        for (const auto &entry : entries) {
            if (entry.index != prevIndex + 1 || entry.term < prevTerm || !hasValidPayload(entry)) {
                return false;
            }
            prevIndex = entry.index;
            prevTerm = entry.term;
        }
        return true;
    }

    struct BodyCheck {
        std::uint64_t term;

        bool operator()(const AppendRequest &body) const
        {
            // A leader has no entry of a later term than its own.
            return isSequence(body.entries, body.prevIndex, body.prevTerm) && (body.entries.empty() || body.entries.back().term <= this->term);
        }

        bool operator()(const FetchAnswer &body) const
        {
            return body.from > 0 && isSequence(body.entries, body.from - 1, body.prevTerm);
        }

        bool operator()(const SnapshotChunk &body) const
        {
            return isWellFormed(body.membership) && body.offset <= body.total && body.data.size() <= body.total - body.offset;
        }

        bool operator()(const auto &) const
        {
            return true;
        }
    };

} // namespace

std::string encodeMembership(const Membership &membership)
{
    return encodeBounded(membership);
}

std::optional<Membership> decodeMembership(std::string_view payload)
{
    Membership membership;
    const bool isValid = decodeBounded(payload, membership) && isWellFormed(membership);
    return isValid ? std::optional(std::move(membership)) : std::nullopt;
}

bool isWellFormed(const Membership &membership)
{
    std::set<DaemonName> names;
    for (const auto &id : membership.voters) {
        if (id.incarnation == 0 || !names.insert(id.daemon).second) {
            return false;
        }
    }
    return !names.empty();
}

bool isWellFormed(const RaftMessage &message)
{
    return std::visit(BodyCheck{message.term}, message.body);
}

ResultCode checkPersisted(const PersistedState &persisted)
{
    const bool isSnapshotValid = !persisted.snapshot || isWellFormed(persisted.snapshot->membership);
    const bool isLogValid = std::all_of(persisted.log.begin(), persisted.log.end(), hasValidPayload);
    return isSnapshotValid && isLogValid ? ResultCode::Ok : ResultCode::DataDamaged;
}

} // namespace Filbertlanding
