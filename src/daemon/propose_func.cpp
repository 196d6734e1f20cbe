/** @file propose_func.cpp Brings commands into the replicated log. */

#include "daemon/propose_func.h"

#include "core/clock_func.h"
#include "daemon/peer_codec.h"

namespace Filbertlanding {

namespace {

    constexpr Duration RetryPause{200}; ///< Pause between attempts; an election takes 1 to 2 s.

    CommandResult failedResult(ResultCode code)
    {
        CommandResult result;
        result.code = code;
        result.message = std::string(resultCodeRow(code).sentence);
        return result;
    }

    bool wasNotAccepted(ResultCode code)
    {
        return code == ResultCode::NotLeader || code == ResultCode::NoQuorum;
    }

    /** Proposes as leader; the proposal waits until its entry is applied. */
    void proposeHere(Daemon &daemon, std::string encoded, ProposeDone done)
    {
        daemon.replication.propose(std::move(encoded), [&daemon, done = std::move(done)](const ProposedEntry &entry) mutable {
            daemon.control.post([&daemon, entry, done = std::move(done)]() mutable {
                if (entry.code != ResultCode::Ok) {
                    done(failedResult(ResultCode::NotLeader), 0);
                    return;
                }
                daemon.controlState.proposals[entry.index] = {entry.term, steadyNow(), std::move(done)};
            });
        });
    }

    CommandResult resultOf(const ProposeAnswer &answer)
    {
        CommandResult result;
        result.code = answer.code;
        result.message = answer.message;
        result.version = answer.version;
        result.winner = answer.winner;
        result.winnerOperator = answer.winnerOperator;
        result.winnerFiles = answer.winnerFiles;
        result.job = answer.job;
        result.errorCount = answer.errorCount;
        for (const PeerIntentError &error : answer.errors) {
            result.errors.push_back({error.code, error.file, error.pointer, error.message});
        }
        return result;
    }

    ProposeAnswer answerOf(const CommandResult &result, std::uint64_t index)
    {
        ProposeAnswer answer;
        answer.code = result.code;
        answer.message = result.message;
        answer.version = result.version;
        answer.index = index;
        answer.winner = result.winner;
        answer.winnerOperator = result.winnerOperator;
        answer.winnerFiles = result.winnerFiles;
        answer.job = result.job;
        answer.errorCount = result.errorCount;
        for (const IntentError &error : result.errors) {
            answer.errors.push_back({error.code, error.file, error.pointer, error.message});
        }
        return answer;
    }

    void finishPeerProposal(const PeerAnswer &peerAnswer, const ProposeDone &done)
    {
        if (peerAnswer.code != ResultCode::Ok) {
            done(failedResult(peerAnswer.bytesSent ? ResultCode::ChangeOutcomeUnknown : ResultCode::NoQuorum), 0);
            return;
        }
        const auto answer = decodePeerMessage<ProposeAnswer>(peerAnswer.payload);
        if (!answer) {
            done(failedResult(ResultCode::ChangeOutcomeUnknown), 0);
            return;
        }
        done(resultOf(*answer), answer->index);
    }

    void proposeAtPeer(Daemon &daemon, const DaemonName &leader, std::string encoded, const ProposeDone &done)
    {
        const ProposeRequest request{std::move(encoded)};
        daemon.peers->sendRequest(
            leader, static_cast<std::uint8_t>(PeerKind::Propose), encodePeerMessage(request), ProposeTimeout, [&daemon, done](PeerAnswer answer) {
                daemon.control.post([answer = std::move(answer), done] {
                    finishPeerProposal(answer, done);
                });
            });
    }

    /** State of proposeUntil between attempts. */
    struct RepeatedProposal {
        LogCommand command;
        TimePoint deadline;
        bool unknown = false; ///< An attempt may have been accepted.
        ProposeDone done;
    };

    void attemptProposal(Daemon &daemon, const std::shared_ptr<RepeatedProposal> &proposal)
    {
        proposeCommand(daemon, proposal->command, [&daemon, proposal](CommandResult result, std::uint64_t index) {
            proposal->unknown = proposal->unknown || result.code == ResultCode::ChangeOutcomeUnknown;
            const bool again = wasNotAccepted(result.code) || result.code == ResultCode::ChangeOutcomeUnknown;
            if (!again) {
                proposal->done(std::move(result), index);
                return;
            }
            if (steadyNow() + RetryPause >= proposal->deadline) {
                proposal->done(proposal->unknown ? failedResult(ResultCode::ChangeOutcomeUnknown) : std::move(result), index);
                return;
            }
            daemon.control.after(RetryPause, [&daemon, proposal] {
                attemptProposal(daemon, proposal);
            });
        });
    }

} // namespace

void proposeCommand(Daemon &daemon, const LogCommand &command, ProposeDone done)
{
    std::string encoded = encodeCommand(command);
    if (encoded.size() > MaxCommandBytes) {
        done(failedResult(ResultCode::TooLarge), 0);
        return;
    }
    const ReplicationStatus &status = daemon.controlState.replication;
    if (status.role == RaftRole::Leader) {
        proposeHere(daemon, std::move(encoded), std::move(done));
        return;
    }
    if (status.leader.empty() || status.leader == daemon.settings.daemon || daemon.peers == nullptr) {
        done(failedResult(ResultCode::NoQuorum), 0);
        return;
    }
    proposeAtPeer(daemon, status.leader, std::move(encoded), done);
}

void proposeUntil(Daemon &daemon, const LogCommand &command, TimePoint deadline, ProposeDone done)
{
    const auto proposal = std::make_shared<RepeatedProposal>();
    proposal->command = command;
    proposal->deadline = deadline;
    proposal->done = std::move(done);
    attemptProposal(daemon, proposal);
}

void proposeForPeer(Daemon &daemon, std::string encoded, std::function<void(ProposeAnswer)> reply)
{
    if (daemon.controlState.replication.role != RaftRole::Leader) {
        ProposeAnswer answer;
        answer.code = ResultCode::NotLeader;
        answer.leaderHint = daemon.controlState.replication.leader;
        reply(std::move(answer));
        return;
    }
    proposeHere(daemon, std::move(encoded), [reply = std::move(reply)](const CommandResult &result, std::uint64_t index) {
        reply(answerOf(result, index));
    });
}

void finishProposal(Daemon &daemon, std::uint64_t index, std::uint64_t term, const CommandResult &result)
{
    auto &proposals = daemon.controlState.proposals;
    const auto found = proposals.find(index);
    if (found == proposals.end()) {
        return;
    }
    const PendingProposal proposal = std::move(found->second);
    proposals.erase(found);
    if (proposal.term != term) {
        // Another leader's entry stands at this index, so the proposed one was dropped.
        proposal.done(failedResult(ResultCode::NotLeader), 0);
        return;
    }
    proposal.done(result, index);
}

void proposalTick(Daemon &daemon, TimePoint now)
{
    auto &proposals = daemon.controlState.proposals;
    std::vector<ProposeDone> overdue;
    for (auto it = proposals.begin(); it != proposals.end();) {
        if (now - it->second.proposedAt < ProposeTimeout) {
            ++it;
            continue;
        }
        overdue.push_back(std::move(it->second.done));
        it = proposals.erase(it);
    }
    for (const ProposeDone &done : overdue) {
        done(failedResult(ResultCode::ChangeOutcomeUnknown), 0);
    }
}

} // namespace Filbertlanding
