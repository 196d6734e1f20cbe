/** @file raft_log.cpp The log in memory: entries, truncation, compaction, and what is handed out for persisting and applying. */

#include "replication/raft_internal.h"

namespace Filbertlanding {

std::uint64_t lastLogIndex(const RaftState &state)
{
    return state.baseIndex + state.log.size();
}

std::uint64_t lastLogTerm(const RaftState &state)
{
    return state.log.empty() ? state.baseTerm : state.log.back().term;
}

std::optional<std::uint64_t> entryTerm(const RaftState &state, std::uint64_t index)
{
    if (index == state.baseIndex) {
        return state.baseTerm;
    }
    if (index < state.baseIndex || index > lastLogIndex(state)) {
        return std::nullopt;
    }
    return state.log[index - state.baseIndex - 1].term;
}

void appendEntry(RaftState &state, RaftActions &actions, LogEntry entry, TimePoint now)
{
    if (state.settings.hasDisk) {
        actions.append.push_back(entry);
    }
    // The payload is valid: raftReceive and raftStart refuse a malformed one, and a leader encodes its own.
    auto membership = entry.kind == EntryKind::Membership ? decodeMembership(entry.payload) : std::nullopt;
    const bool isMembership = membership.has_value();
    if (isMembership) {
        state.memberships.push_back({entry.index, std::move(*membership)});
    }
    state.log.push_back(std::move(entry));
    if (isMembership) {
        membershipChanged(state, now);
    }
}

void truncateLog(RaftState &state, RaftActions &actions, std::uint64_t from, TimePoint now)
{
    if (from <= state.commitIndex || from > lastLogIndex(state)) {
        return;
    }
    state.log.resize(from - state.baseIndex - 1);
    if (state.settings.hasDisk) {
        actions.truncateFrom = from;
    }
    const std::size_t before = state.memberships.size();
    while (state.memberships.size() > 1 && state.memberships.back().index >= from) {
        state.memberships.pop_back();
    }
    if (state.memberships.size() != before) {
        membershipChanged(state, now);
    }
}

void dropEntries(RaftState &state, std::uint64_t index, std::uint64_t term)
{
    while (!state.log.empty() && state.baseIndex < index) {
        state.log.pop_front();
        ++state.baseIndex;
    }
    state.baseIndex = index;
    state.baseTerm = term;
}

std::vector<LogEntry> entriesBetween(const RaftState &state, std::uint64_t from, std::uint64_t last)
{
    std::vector<LogEntry> entries;
    std::uint64_t bytes = 0;
    for (std::uint64_t index = from; index <= last; ++index) {
        const LogEntry &entry = state.log[index - state.baseIndex - 1];
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > state.settings.maxBatchBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

void commitUpTo(RaftState &state, std::uint64_t index)
{
    state.commitIndex = std::max(state.commitIndex, std::min(index, lastLogIndex(state)));
}

void finishActions(RaftState &state, RaftActions &actions)
{
    if (state.installPending) {
        actions.installSnapshot = state.snapshot;
        state.installPending = false;
    }
    while (state.appliedIndex < state.commitIndex) {
        ++state.appliedIndex;
        actions.apply.push_back(state.log[state.appliedIndex - state.baseIndex - 1]);
        state.bytesSinceSnapshot += actions.apply.back().payload.size();
    }
    const HardState current{state.term, state.votedFor, state.commitIndex};
    if (!state.settings.hasDisk || current == state.persisted) {
        return;
    }
    actions.persistHardState = current;
    state.persisted = current;
}

void sendTo(const RaftState &state, RaftActions &actions, const VoterId &to, std::uint64_t term, RaftBody body)
{
    actions.send.push_back({to.daemon, {state.settings.self, to, term, std::move(body)}});
}

} // namespace Filbertlanding
