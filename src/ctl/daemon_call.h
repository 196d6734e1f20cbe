/** @file daemon_call.h Calls to the daemons, with fail-over to the next one and resends after a lost answer. */

#pragma once

#include "ctl/ctl_type.h"

namespace Filbertlanding {

/** Whether a call may be sent again when it is not known whether it took effect. */
enum class CtlResend : std::uint8_t {
    Read, ///< Changes nothing.
    Idempotent, ///< A change that carries an operation id, or that has the same effect when it is made twice.
    Never, ///< Must reach one daemon at most once.
};

/** Outcome of a call. */
struct CtlReply {
    ResultCode code = ResultCode::Internal; ///< Code of the answer; ConnectionClosed, Timeout or ChangeOutcomeUnknown without one.
    std::string message; ///< One sentence for people when the code is an error.
    std::string body; ///< Body of the answer; empty without one.
};

/** Makes a request with the operator key. */
HttpRequest makeCall(const CtlContext &context, std::string method, std::string target, std::string body = {});

/**
 * Sends a call to the daemon that answered last, and to the next ones when it does not answer or cannot take part in the agreement.
 * The request stays the same in all tries, so a change keeps its operation id. One try takes a third of the timeout at most.
 * Which daemon answered is written to the error stream when several are given.
 */
CtlReply callDaemons(CtlContext &context, const HttpRequest &request, CtlResend resend);

/** Asks for something without changing anything. */
CtlReply readFromDaemons(CtlContext &context, std::string target);

/** Returns a text as one segment of a path or one value of a query, with reserved bytes as %XX. */
std::string encodeSegment(std::string_view text);

} // namespace Filbertlanding
