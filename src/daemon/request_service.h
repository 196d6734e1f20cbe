/** @file request_service.h Serves latency-critical requests: admission, routing, retries. Runs on any thread. */

#pragma once

#include "daemon/daemon_base.h"

namespace Filbertlanding {

/** Takes a request of a caller. `request->done` is called exactly once. */
void serveRequest(Daemon &daemon, const std::shared_ptr<CallerRequest> &request);

/**
 * Checks a request against the configuration in force and asks for admission; runs it when both are passed.
 * A non-repeatable request comes here at its home only, after it was recorded: a refusal before that would tell the caller
 * of a resend "not run" although an earlier send may have run.
 */
void admitRequest(Daemon &daemon, const std::shared_ptr<CallerRequest> &request);

/** Makes a request of a caller from one that a peer forwarded. Its deadline counts from now; the identity of its send is left out. */
std::shared_ptr<CallerRequest> requestOfPeer(ForwardedRequest forwarded);

/** Takes a request that a peer forwarded; only own workers are used. */
void serveForwarded(Daemon &daemon, ForwardedRequest forwarded, std::function<void(ForwardedAnswer)> reply);

/** Routes a request that needs no admission any more, and sends it. `request->done` is called exactly once. */
void routeAndSend(Daemon &daemon, const std::shared_ptr<CallerRequest> &request);

/** Lets waiting requests run or refuses them, after a step of admission control. */
void carryOutAdmission(Daemon &daemon, const std::shared_ptr<ServiceRuntime> &runtime, const AdmissionResult &result);

/** Refuses requests whose deadline has passed in a queue, and ends ejections. Called by the control thread. */
void serviceTick(Daemon &daemon, TimePoint now);

/** Registers the calling thread as a reader of the view, for as long as the thread lives. */
void registerReaderThread();

} // namespace Filbertlanding
