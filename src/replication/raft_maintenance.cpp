/**
 * @file raft_maintenance.cpp Steps by which the leader keeps enough voters that answer and are not about to go.
 *
 * Voters change one at a time. One change that swaps two would let majorities of the old and the new membership miss each other when a vote
 * that a lost identity gave before its loss arrives late. A voter that answers stays until the one in its place votes, so that any voter may
 * be lost in between; one that doesn't answer goes first, since it would only raise the majority.
 */

#include "core/name_table.h"
#include "replication/raft_internal.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr auto ReasonNames = makeNameTable<MembershipReason>({
        {MembershipReason::Joined, "joined"},
        {MembershipReason::DiskLost, "disk_lost"},
        {MembershipReason::Silent, "silent"},
        {MembershipReason::Replaced, "replaced"},
        {MembershipReason::Promoted, "promoted"},
    });

    /** A membership and why it comes. */
    struct Step {
        Membership membership;
        MembershipStep change;
    };

    using NextStep = std::optional<Step>;

    bool isSelf(const RaftState &state, const VoterId &id)
    {
        return id == state.settings.self;
    }

    bool isReplaced(const RaftState &state, const VoterId &id)
    {
        return state.replaced.contains(id);
    }

    bool hasEvenVoters(const RaftState &state)
    {
        return currentMembership(state).voters.size() % 2 == 0;
    }

    bool hasSpareVoter(const RaftState &state)
    {
        return currentMembership(state).voters.size() > state.settings.minVoters;
    }

    Duration silenceOf(const RaftState &state, const VoterId &id, TimePoint now)
    {
        const auto found = state.progress.find(id);
        return found == state.progress.end() ? Duration{0} : now - found->second.lastAnswer;
    }

    /** Returns whether a voter has been silent for so long that a ready replica should vote in its place. */
    bool isMissing(const RaftState &state, const VoterId &id, TimePoint now)
    {
        const auto found = state.progress.find(id);
        if (found == state.progress.end()) {
            return false;
        }
        // A voter that has not answered this leader at all was silent before the election, too.
        const bool hasAnswered = found->second.ackedRound > 0;
        return silenceOf(state, id, now) >= (hasAnswered ? state.settings.electionTimeoutMax : state.settings.electionTimeoutMin);
    }

    bool isReady(const RaftState &state, const VoterId &joiner, TimePoint now)
    {
        const auto found = state.progress.find(joiner);
        return isCaughtUp(state, joiner) && isAnswering(state, joiner, now) && found->second.ackedRound > 0;
    }

    /** Returns the joining replicas that could vote now; those that newer ones stand in for come last. */
    std::vector<VoterId> readyJoiners(const RaftState &state, TimePoint now)
    {
        const Membership &membership = currentMembership(state);
        std::vector<VoterId> ready;
        for (const auto &joiner : membership.joining) {
            if (isReady(state, joiner, now) && findDaemon(membership.voters, joiner.daemon) == nullptr) {
                ready.push_back(joiner);
            }
        }
        std::stable_partition(ready.begin(), ready.end(), [&state](const VoterId &joiner) {
            return !isReplaced(state, joiner);
        });
        return ready;
    }

    Step withVoter(const RaftState &state, const VoterId &joiner)
    {
        Membership next = currentMembership(state);
        eraseDaemon(next.joining, joiner.daemon);
        next.voters.push_back(joiner);
        return {std::move(next), {joiner, MembershipReason::Promoted}};
    }

    Step withoutVoter(const RaftState &state, const VoterId &voter, MembershipReason reason)
    {
        Membership next = currentMembership(state);
        std::erase(next.voters, VoterId(voter));
        if (reason == MembershipReason::Replaced) {
            // It answers, so it stays ready to take the place of another one.
            next.joining.push_back(voter);
        }
        return {std::move(next), {voter, reason}};
    }

    /** Removes the lost identity of a daemon that is back with a new disk. */
    NextStep withoutLostDisk(const RaftState &state, TimePoint now)
    {
        const Membership &membership = currentMembership(state);
        for (const auto &joiner : membership.joining) {
            const VoterId *lost = findDaemon(membership.voters, joiner.daemon);
            const bool isLost = lost != nullptr && !isSelf(state, *lost) && !isAnswering(state, *lost, now);
            if (isLost && isReady(state, joiner, now) && membership.voters.size() > 1) {
                return withoutVoter(state, *lost, MembershipReason::DiskLost);
            }
        }
        return std::nullopt;
    }

    /** Fills a place that is free: there are fewer voters than wanted, or who may join is for the operators to say. */
    NextStep withMissingVoter(const RaftState &state, const std::vector<VoterId> &ready)
    {
        const bool hasPlace = !state.settings.admitsNewVoters || currentMembership(state).voters.size() < state.settings.minVoters;
        return hasPlace && !ready.empty() ? NextStep(withVoter(state, ready.front())) : std::nullopt;
    }

    /** Ends the time with one voter more than wanted. */
    NextStep withoutSurplusVoter(const RaftState &state, TimePoint now)
    {
        if (!hasSpareVoter(state)) {
            return std::nullopt;
        }
        const auto &voters = currentMembership(state).voters;
        const auto canGo = [&state](const VoterId &voter) {
            return !isSelf(state, voter) && isReplaced(state, voter);
        };
        const auto leaving = std::count_if(voters.begin(), voters.end(), canGo);
        for (const auto &voter : voters) {
            const bool isWanted = !hasEvenVoters(state) && (leaving < 2 || voters.size() < state.settings.minVoters + 2);
            if (canGo(voter) && !isWanted) {
                return withoutVoter(state, voter, isAnswering(state, voter, now) ? MembershipReason::Replaced : MembershipReason::Silent);
            }
        }
        for (const auto &voter : voters) {
            if (hasEvenVoters(state) && isMissing(state, voter, now)) {
                return withoutVoter(state, voter, MembershipReason::Silent);
            }
        }
        return std::nullopt;
    }

    /** Begins to put a ready replica in the place of a voter that is silent or about to go. */
    NextStep withExchange(const RaftState &state, const std::vector<VoterId> &ready, TimePoint now)
    {
        if (ready.empty()) {
            return std::nullopt;
        }
        const auto &voters = currentMembership(state).voters;
        for (const auto &voter : voters) {
            if (!isSelf(state, voter) && isMissing(state, voter, now)) {
                return withoutVoter(state, voter, MembershipReason::Silent);
            }
        }
        for (const auto &voter : voters) {
            if (!isReplaced(state, voter) || isReplaced(state, ready.front())) {
                continue;
            }
            const bool isThere = isSelf(state, voter) || (isAnswering(state, voter, now) && state.progress.at(voter).ackedRound > 0);
            return isThere ? withVoter(state, ready.front()) : withoutVoter(state, voter, MembershipReason::Silent);
        }
        return std::nullopt;
    }

    /**
     * Adds a voter if that leaves an odd number, or another one can follow that does: with an even number, a cut into halves leaves no majority.
     * The one that is left over stays joining, caught up, and takes the place of the next silent voter.
     */
    NextStep withFurtherVoter(const RaftState &state, const std::vector<VoterId> &ready)
    {
        const auto lasting = std::count_if(ready.begin(), ready.end(), [&state](const VoterId &joiner) {
            return !isReplaced(state, joiner);
        });
        const bool mayAdd = hasEvenVoters(state) ? lasting > 0 : lasting > 1;
        return mayAdd ? NextStep(withVoter(state, ready.front())) : std::nullopt;
    }

    /** Drops a voter beyond the wanted number, or a joining replica, that has been silent for long. It asks again when it is back. */
    NextStep withoutSilentReplica(const RaftState &state, TimePoint now)
    {
        const Membership &membership = currentMembership(state);
        for (const auto &voter : membership.voters) {
            if (hasSpareVoter(state) && membership.voters.size() > 2 && silenceOf(state, voter, now) >= state.settings.voterSilence) {
                return withoutVoter(state, voter, MembershipReason::Silent);
            }
        }
        for (const auto &joiner : membership.joining) {
            if (silenceOf(state, joiner, now) >= state.settings.voterSilence) {
                Membership next = membership;
                std::erase(next.joining, VoterId(joiner));
                return Step{std::move(next), {joiner, MembershipReason::Silent}};
            }
        }
        return std::nullopt;
    }

    NextStep withWaitingJoiner(RaftState &state)
    {
        while (!state.joinWaiting.empty()) {
            const auto first = state.joinWaiting.begin();
            const VoterId joiner{first->first, first->second.incarnation};
            const auto next = withJoiner(state, joiner, first->second.hasDisk);
            state.joinWaiting.erase(first);
            if (next) {
                return Step{*next, {joiner, MembershipReason::Joined}};
            }
        }
        return std::nullopt;
    }

    NextStep nextStep(const RaftState &state, TimePoint now)
    {
        if (auto step = withoutLostDisk(state, now)) {
            return step;
        }
        const std::vector<VoterId> ready = readyJoiners(state, now);
        if (auto step = withMissingVoter(state, ready)) {
            return step;
        }
        if (!state.settings.admitsNewVoters) {
            return std::nullopt;
        }
        if (auto step = withoutSurplusVoter(state, now)) {
            return step;
        }
        if (isReplacedLeader(state)) {
            // The next leader removes this one.
            return std::nullopt;
        }
        if (auto step = withExchange(state, ready, now)) {
            return step;
        }
        if (auto step = withFurtherVoter(state, ready)) {
            return step;
        }
        return withoutSilentReplica(state, now);
    }

} // namespace

std::string_view membershipReasonName(MembershipReason reason)
{
    return ReasonNames.nameOf(reason);
}

bool isReplacedLeader(const RaftState &state)
{
    return state.role == RaftRole::Leader && hasEvenVoters(state) && hasSpareVoter(state) && isReplaced(state, state.settings.self);
}

void maintainMembership(RaftState &state, RaftActions &actions, TimePoint now)
{
    if (!mayChange(state)) {
        return;
    }
    auto step = withWaitingJoiner(state);
    if (!step) {
        step = nextStep(state, now);
    }
    if (step) {
        actions.membershipStep = step->change;
        appendMembership(state, actions, step->membership, now);
    }
}

} // namespace Filbertlanding
