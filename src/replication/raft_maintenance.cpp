/**
 * @file raft_maintenance.cpp Steps by which the leader keeps enough voters that answer and are not being replaced.
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
        {MembershipReason::SharedZone, "shared_zone"},
        {MembershipReason::Promoted, "promoted"},
        {MembershipReason::ZoneReported, "zone_reported"},
    });

    /** The next membership, and what changes in it. */
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

    /** Returns the joining replicas that could vote now; those that are being replaced come last. */
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

    /** Returns how many voters are known to be in a zone; 0 for an unknown zone. */
    std::ptrdiff_t countVotersIn(const RaftState &state, const ZoneName &zone)
    {
        const auto &voters = currentMembership(state).voters;
        return std::count_if(voters.begin(), voters.end(), [&state, &zone](const VoterId &voter) {
            return !zone.empty() && zoneOf(state, voter) == zone;
        });
    }

    /** Returns a voter, other than this one, whose zone has another voter; nothing if each zone has one. */
    std::optional<VoterId> voterOfSharedZone(const RaftState &state)
    {
        for (const auto &voter : currentMembership(state).voters) {
            if (!isSelf(state, voter) && countVotersIn(state, zoneOf(state, voter)) > 1) {
                return voter;
            }
        }
        return std::nullopt;
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
        if (reason == MembershipReason::Replaced || reason == MembershipReason::SharedZone) {
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

    /** Returns whether the other voters keep a majority that answers even if one more of them is lost; a voter that doesn't answer can always be spared. */
    bool canSpare(const RaftState &state, const VoterId &spared, TimePoint now)
    {
        const auto &voters = currentMembership(state).voters;
        const auto answering = std::count_if(voters.begin(), voters.end(), [&state, &spared, now](const VoterId &voter) {
            const bool hasAnswered = isSelf(state, voter) || (isAnswering(state, voter, now) && state.progress.at(voter).ackedRound > 0);
            return voter != spared && hasAnswered;
        });
        const std::size_t left = voters.size() - 1;
        return !isAnswering(state, spared, now) || static_cast<std::size_t>(answering) > left / 2 + 1;
    }

    /** Removes a silent voter that makes the number of voters even. */
    NextStep withoutMissingSurplus(const RaftState &state, TimePoint now)
    {
        for (const auto &voter : currentMembership(state).voters) {
            if (hasSpareVoter(state) && hasEvenVoters(state) && isMissing(state, voter, now)) {
                return withoutVoter(state, voter, MembershipReason::Silent);
            }
        }
        return std::nullopt;
    }

    /** Removes voters that are being replaced, as long as an odd number of at least minVoters remains in the end. */
    NextStep withoutReplacedSurplus(const RaftState &state, TimePoint now)
    {
        const auto &voters = currentMembership(state).voters;
        const auto isRemovable = [&state](const VoterId &voter) {
            return !isSelf(state, voter) && isReplaced(state, voter);
        };
        const bool canLosePair = std::count_if(voters.begin(), voters.end(), isRemovable) >= 2 && voters.size() >= state.settings.minVoters + 2;
        if (!hasSpareVoter(state) || !(hasEvenVoters(state) || canLosePair)) {
            return std::nullopt;
        }
        for (const auto &voter : voters) {
            if (isRemovable(voter) && canSpare(state, voter, now)) {
                return withoutVoter(state, voter, isAnswering(state, voter, now) ? MembershipReason::Replaced : MembershipReason::Silent);
            }
        }
        return std::nullopt;
    }

    /** Begins to put a ready replica in the place of a voter that is silent or being replaced. */
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
            const bool hasAnswered = isSelf(state, voter) || (isAnswering(state, voter, now) && state.progress.at(voter).ackedRound > 0);
            return hasAnswered ? withVoter(state, ready.front()) : withoutVoter(state, voter, MembershipReason::Silent);
        }
        return std::nullopt;
    }

    /** Returns whether all replicas that answer have reported in this term; before, which ones are being replaced is not known. */
    bool hasAllReports(const RaftState &state, TimePoint now)
    {
        return std::all_of(state.progress.begin(), state.progress.end(), [&state, now](const auto &item) {
            const bool isCandidate = !holdsId(currentMembership(state).learners, item.first);
            return !isCandidate || !isAnswering(state, item.first, now) || item.second.report.has_value();
        });
    }

    /**
     * Adds a voter if that leaves an odd number, or another one can follow that does: with an even number, a cut into halves leaves no majority.
     * The one that is left over stays joining, caught up, and takes the place of the next silent voter.
     */
    NextStep withFurtherVoter(const RaftState &state, const std::vector<VoterId> &ready, TimePoint now)
    {
        const auto staying = std::count_if(ready.begin(), ready.end(), [&state](const VoterId &joiner) {
            return !isReplaced(state, joiner);
        });
        const bool mayAdd = hasEvenVoters(state) ? staying > 0 : staying > 1;
        return mayAdd && hasAllReports(state, now) ? NextStep(withVoter(state, ready.front())) : std::nullopt;
    }

    /** Returns a ready replica whose zone has no voter, if another zone has two voters, whose loss would cost the majority. */
    std::optional<VoterId> joinerOfFreeZone(const RaftState &state, const std::vector<VoterId> &ready)
    {
        for (const auto &joiner : ready) {
            const ZoneName zone = zoneOf(state, joiner);
            if (!zone.empty() && countVotersIn(state, zone) == 0 && !isReplaced(state, joiner)) {
                return voterOfSharedZone(state) ? std::optional(joiner) : std::nullopt;
            }
        }
        return std::nullopt;
    }

    /** Spreads the voters over the zones: first the one of a free zone votes, then one of a shared zone waits. */
    NextStep withSpreadVoters(const RaftState &state, const std::vector<VoterId> &ready, TimePoint now)
    {
        if (!hasAllReports(state, now)) {
            return std::nullopt;
        }
        if (!hasEvenVoters(state)) {
            const auto joiner = joinerOfFreeZone(state, ready);
            return joiner ? NextStep(withVoter(state, *joiner)) : std::nullopt;
        }
        const auto voter = voterOfSharedZone(state);
        const bool isSpare = voter && hasSpareVoter(state) && isAnswering(state, *voter, now) && canSpare(state, *voter, now);
        return isSpare ? NextStep(withoutVoter(state, *voter, MembershipReason::SharedZone)) : std::nullopt;
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

    /** Stores the availability zones that members have reported, by which an address that is used again in another zone is told from a lost disk. */
    NextStep withReportedZones(const RaftState &state, TimePoint now)
    {
        const Membership &membership = currentMembership(state);
        const bool isKnown = !hasAllReports(state, now) || nextAdmissions(state, membership) == membership.admissions;
        return isKnown ? std::nullopt : NextStep(Step{membership, {state.settings.self, MembershipReason::ZoneReported}});
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
        if (auto step = withReportedZones(state, now)) {
            return step;
        }
        if (auto step = withoutMissingSurplus(state, now)) {
            return step;
        }
        if (auto step = withoutReplacedSurplus(state, now)) {
            return step;
        }
        if (isReplacedLeader(state)) {
            // The next leader removes this one.
            return std::nullopt;
        }
        if (auto step = withExchange(state, ready, now)) {
            return step;
        }
        if (auto step = withFurtherVoter(state, ready, now)) {
            return step;
        }
        if (auto step = withSpreadVoters(state, ready, now)) {
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
    state.replaced = findReplaced(state, now);
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
