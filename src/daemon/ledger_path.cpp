/** @file ledger_path.cpp The way of a non-repeatable request. */

#include "daemon/ledger_path.h"

#include "core/clock_func.h"
#include "daemon/peer_codec.h"
#include "daemon/request_service.h"
#include "request/ledger_func.h"
#include "runtime/log_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr Duration ReplicaQueryTimeout{1000}; ///< Time that the replica has to say what it knows.

    /** Where a request is recorded. */
    struct RecordPlace {
        DaemonName home; ///< Runs the request.
        LedgerDisk replica; ///< Holds the second record.
    };

    /** Home and replica of a key. With a single voter its synced record is the only one there can be. */
    std::optional<RecordPlace> placeOf(Daemon &daemon, const LedgerKey &key)
    {
        registerReaderThread();
        const std::vector<LedgerDisk> voters = daemon.view.read()->voters;
        if (voters.size() == 1) {
            return RecordPlace{voters.front().daemon, voters.front()};
        }
        std::vector<DaemonName> names;
        names.reserve(voters.size());
        for (const LedgerDisk &voter : voters) {
            names.push_back(voter.daemon);
        }
        const auto place = chooseLedgerVoters(names, key);
        if (!place) {
            return std::nullopt;
        }
        const auto replica = std::find_if(voters.begin(), voters.end(), [&place](const LedgerDisk &voter) {
            return voter.daemon == place->replica;
        });
        return RecordPlace{place->home, *replica};
    }

    ForwardedAnswer toForwarded(const RequestOutcome &outcome)
    {
        return {outcome.code, outcome.status, outcome.contentType, outcome.body, outcome.worker, outcome.retryAfter};
    }

    RequestOutcome fromForwarded(ForwardedAnswer answer)
    {
        return {answer.code, answer.status, std::move(answer.contentType), std::move(answer.body), std::move(answer.worker), answer.retryAfter};
    }

    /** Outcome of a send that the ledger has answered; the stored answer is a whole ForwardedAnswer. */
    RequestOutcome outcomeOfLedger(ResultCode code, const std::string &answer)
    {
        if (code == ResultCode::Ok) {
            const auto stored = decodePeerMessage<ForwardedAnswer>(answer);
            if (stored) {
                return fromForwarded(*stored);
            }
            code = ResultCode::OutcomeUnknown;
        }
        RequestOutcome outcome;
        outcome.code = code;
        return outcome;
    }

    std::uint64_t bodyHashOf(const CallerRequest &request)
    {
        return stableHash(request.service + '\n' + request.body);
    }

    /** Returns false, with nothing recorded, for a send of a peer when this daemon takes none any more. */
    bool submitHere(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, bool fromPeer, std::function<void(RequestOutcome)> done)
    {
        OpenSubmissions &open = daemon.openSubmissions;
        SubmissionToken token = 0;
        {
            const std::lock_guard lock(open.mutex);
            if (fromPeer && open.refusesPeers) {
                return false;
            }
            token = ++open.last;
            open.submissions[token] = {request, std::move(done)};
        }
        daemon.ledger.submit({ledgerKey(request->caller, request->id), bodyHashOf(*request), token, request->submission});
        return true;
    }

    ForwardedRequest toForwarded(const CallerRequest &request)
    {
        ForwardedRequest message;
        message.service = request.service;
        message.team = request.team;
        message.caller = request.caller;
        message.request = request.id;
        message.repeatable = false;
        message.submission = request.submission;
        message.remaining = request.deadline - steadyNow();
        message.contentType = request.contentType;
        message.body = request.body;
        return message;
    }

    /** The home did not answer: the replica's record decides what the caller is told. */
    void askReplicaInstead(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, const RecordPlace &place, std::function<void(RequestOutcome)> done)
    {
        const LedgerKey key = ledgerKey(request->caller, request->id);
        const std::uint64_t bodyHash = bodyHashOf(*request);
        const auto answered = [done = std::move(done), bodyHash, request](const std::optional<ReplicaAnswer> &answer) {
            const AnswerSubmission result = answerWithoutHome(0, bodyHash, answer);
            logLine(
                LogArea::Route,
                LogLevel::Warn,
                "ledger-home-unreachable",
                {{"request", request->id}, {"caller", request->caller}, {"code", resultCodeRow(result.code).name}, {"replicaAnswered", answer.has_value()}});
            done(outcomeOfLedger(result.code, result.answer));
        };
        if (place.replica.daemon == daemon.settings.daemon) {
            daemon.ledger.query({key, request->submission}, [answered](ReplicaAnswer answer) {
                answered(answer);
            });
            return;
        }
        const auto kind = static_cast<std::uint8_t>(PeerKind::LedgerQuery);
        const ReplicaQuery query{key, request->submission};
        daemon.peers->sendRequest(place.replica.daemon, kind, encodePeerMessage(query), ReplicaQueryTimeout, [answered](const PeerAnswer &answer) {
            answered(answer.code == ResultCode::Ok ? decodePeerMessage<ReplicaAnswer>(answer.payload) : std::nullopt);
        });
    }

    /** Runs a recorded request on a worker. Only this lets a byte of it go out. */
    void runRecorded(Daemon &daemon, SubmissionToken token, std::function<void(ResultCode code, std::string answer)> finished)
    {
        std::shared_ptr<CallerRequest> original;
        {
            OpenSubmissions &open = daemon.openSubmissions;
            const std::lock_guard lock(open.mutex);
            const auto found = open.submissions.find(token);
            if (found != open.submissions.end()) {
                original = found->second.request;
            }
        }
        if (original == nullptr) {
            finished(ResultCode::DeadlineExpired, {});
            return;
        }
        const auto run = std::make_shared<CallerRequest>(*original);
        run->recorded = true;
        run->done = [finished = std::move(finished)](const RequestOutcome &outcome) {
            const bool ran = outcome.code == ResultCode::Ok || outcome.code == ResultCode::WorkerFailed;
            finished(ran ? ResultCode::Ok : outcome.code, ran ? encodePeerMessage(toForwarded(outcome)) : std::string());
        };
        admitRequest(daemon, run);
    }

    void answerSubmission(Daemon &daemon, SubmissionToken token, ResultCode code, const std::string &answer)
    {
        OpenSubmissions::Submission submission;
        {
            OpenSubmissions &open = daemon.openSubmissions;
            const std::lock_guard lock(open.mutex);
            const auto found = open.submissions.find(token);
            if (found == open.submissions.end()) {
                return;
            }
            submission = std::move(found->second);
            open.submissions.erase(found);
        }
        submission.done(outcomeOfLedger(code, answer));
    }

    void askReplica(Daemon &daemon, const ReplicaRecordRequest &replicaRequest, std::function<void(std::optional<ReplicaAnswer>)> answered)
    {
        const auto place = placeOf(daemon, replicaRequest.key);
        if (!place) {
            answered(std::nullopt);
            return;
        }
        // A request that came here under an older list of voters has no second record, so it must not run.
        if (place->home != daemon.settings.daemon) {
            answered(std::nullopt);
            return;
        }
        if (place->replica.daemon == place->home) {
            ReplicaAnswer answer;
            answer.key = replicaRequest.key;
            answer.attempt = replicaRequest.attempt;
            answer.result = ReplicaResult::Recorded;
            answered(answer);
            return;
        }
        const auto kind = static_cast<std::uint8_t>(PeerKind::LedgerRecord);
        daemon.peers->sendRequest(place->replica.daemon,
                                  kind,
                                  encodePeerMessage(replicaRequest),
                                  LedgerSettings().replicaTimeout,
                                  [answered = std::move(answered)](const PeerAnswer &answer) {
                                      answered(answer.code == ResultCode::Ok ? decodePeerMessage<ReplicaAnswer>(answer.payload) : std::nullopt);
                                  });
    }

    void tellReplica(Daemon &daemon, const ReplicaOutcome &outcome)
    {
        const auto place = placeOf(daemon, outcome.key);
        if (!place || place->replica.daemon == daemon.settings.daemon) {
            return;
        }
        daemon.peers->sendOneWay(place->replica.daemon, static_cast<std::uint8_t>(PeerKind::LedgerOutcome), encodePeerMessage(outcome));
    }

} // namespace

void sendThroughLedger(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, std::function<void(RequestOutcome)> done)
{
    const auto place = placeOf(daemon, ledgerKey(request->caller, request->id));
    if (!place) {
        RequestOutcome outcome;
        outcome.code = ResultCode::HomeUnreachable;
        done(std::move(outcome));
        return;
    }
    request->submission = {daemon.settings.daemon + "-" + std::to_string(daemon.incarnation) + "-" + std::to_string(++daemon.lastRequest), place->replica};
    if (place->home == daemon.settings.daemon) {
        submitHere(daemon, request, false, std::move(done));
        return;
    }
    const ForwardedRequest message = toForwarded(*request);
    const auto kind = static_cast<std::uint8_t>(PeerKind::LedgerSubmission);
    daemon.peers->sendRequest(
        place->home, kind, encodePeerMessage(message), message.remaining, [&daemon, request, place = *place, done = std::move(done)](const PeerAnswer &answer) {
            const auto decoded = answer.code == ResultCode::Ok ? decodePeerMessage<ForwardedAnswer>(answer.payload) : std::nullopt;
            // A home that stops records nothing new; whether an earlier send ran is known to the replica.
            if (decoded && decoded->code != ResultCode::Draining) {
                done(fromForwarded(*decoded));
                return;
            }
            askReplicaInstead(daemon, request, place, done);
        });
}

void submitForPeer(Daemon &daemon, ForwardedRequest forwarded, const std::function<void(ForwardedAnswer)> &reply)
{
    SubmissionIdentity submission = std::move(forwarded.submission);
    const auto request = requestOfPeer(std::move(forwarded));
    request->repeatable = false;
    request->submission = std::move(submission);
    registerReaderThread();
    {
        const auto view = daemon.view.read();
        const auto runtime = view->services.find(request->service);
        request->runtime = runtime == view->services.end() ? nullptr : runtime->second;
    }
    if (request->runtime == nullptr) {
        ForwardedAnswer answer;
        // An earlier send may have run before the service was removed here.
        answer.code = ResultCode::OutcomeUnknown;
        reply(std::move(answer));
        return;
    }
    const bool taken = submitHere(daemon, request, true, [reply](const RequestOutcome &outcome) {
        reply(toForwarded(outcome));
    });
    if (!taken) {
        ForwardedAnswer answer;
        answer.code = ResultCode::Draining;
        reply(std::move(answer));
    }
}

void refuseSendsOfPeers(Daemon &daemon)
{
    OpenSubmissions &open = daemon.openSubmissions;
    const std::lock_guard lock(open.mutex);
    open.refusesPeers = true;
}

std::size_t openLedgerSends(Daemon &daemon)
{
    OpenSubmissions &open = daemon.openSubmissions;
    const std::lock_guard lock(open.mutex);
    return open.submissions.size();
}

LedgerHooks ledgerHooks(Daemon &daemon)
{
    LedgerHooks hooks;
    hooks.run = [&daemon](const LedgerKey &, SubmissionToken submission, std::function<void(ResultCode, std::string)> finished) {
        runRecorded(daemon, submission, std::move(finished));
    };
    hooks.replicaRequest = [&daemon](const ReplicaRecordRequest &replicaRequest, std::function<void(std::optional<ReplicaAnswer>)> answered) {
        askReplica(daemon, replicaRequest, std::move(answered));
    };
    hooks.tell = [&daemon](const ReplicaOutcome &outcome) {
        tellReplica(daemon, outcome);
    };
    hooks.answer = [&daemon](SubmissionToken submission, ResultCode code, const std::string &answer) {
        answerSubmission(daemon, submission, code, answer);
    };
    hooks.failed = [&daemon](ResultCode code) {
        daemon.stopped(code);
    };
    return hooks;
}

bool handleLedgerMessage(Daemon &daemon, PeerKind kind, const std::string &payload, const PeerReply &reply)
{
    const auto answer = [reply](const ReplicaAnswer &value) {
        reply(encodePeerMessage(value));
    };
    switch (kind) {
    case PeerKind::LedgerRecord:
        if (auto replicaRequest = decodePeerMessage<ReplicaRecordRequest>(payload)) {
            daemon.ledger.record(std::move(*replicaRequest), answer);
        }
        return true;
    case PeerKind::LedgerQuery:
        if (auto query = decodePeerMessage<ReplicaQuery>(payload)) {
            daemon.ledger.query(std::move(*query), answer);
        }
        return true;
    case PeerKind::LedgerOutcome:
        if (auto outcome = decodePeerMessage<ReplicaOutcome>(payload)) {
            daemon.ledger.outcome(std::move(*outcome));
        }
        return true;
    default:
        return false;
    }
}

} // namespace Filbertlanding
