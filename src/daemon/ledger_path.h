/** @file ledger_path.h The way of a non-repeatable request: to its home, through the ledger, and to a worker. Runs on any thread. */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

/** Sends a request to its home; `done` takes the outcome and is called exactly once. */
void sendThroughLedger(Daemon &daemon, const std::shared_ptr<CallerRequest> &request, std::function<void(RequestOutcome)> done);

/** As home: takes a request that a peer sent. The answer is Draining, with nothing recorded, after refuseSendsOfPeers(). */
void submitForPeer(Daemon &daemon, ForwardedRequest forwarded, const std::function<void(ForwardedAnswer)> &reply);

/** At a planned stop: takes no further request from peers as home. */
void refuseSendsOfPeers(Daemon &daemon);

/** Returns the number of requests that this home has taken and not answered. */
std::size_t openLedgerSends(Daemon &daemon);

/** Makes the hooks by which the ledger sends and answers. */
LedgerHooks ledgerHooks(Daemon &daemon);

/** Answers a peer's ledger messages. Returns false for another kind. */
bool handleLedgerMessage(Daemon &daemon, PeerKind kind, const std::string &payload, const PeerReply &reply);

} // namespace Filbertlanding
