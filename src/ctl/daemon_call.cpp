/** @file daemon_call.cpp Calls to the daemons, with fail-over to the next one and resends after a lost answer. */

#include "ctl/daemon_call.h"

#include "core/clock_func.h"
#include "ctl/json_access.h"
#include "network/http_client.h"

#include <algorithm>
#include <future>
#include <optional>

namespace Filbertlanding {

namespace {

    constexpr int MaxRounds = 3; ///< Times that all daemons are tried; an election takes 1 to 2 s, a daemon itself waits 8 s for it.
    constexpr std::int64_t MaxResultCode = 9999; ///< A newer daemon may have codes that this program does not know, but none above.
    constexpr Duration RoundPause{500}; ///< Pause before all daemons are tried again.

    /** What is known after the tries so far. */
    struct CallProgress {
        std::optional<CtlReply> reply; ///< Answer of a daemon that could not decide the call.
        std::string failures; ///< Daemons without an answer.
        bool mayHaveRun = false; ///< A try was sent and not answered.
    };

    std::string nameOf(const HttpAddress &address)
    {
        const bool isV6 = address.address.find(':') != std::string::npos;
        return (isV6 ? "[" + address.address + "]" : address.address) + ":" + std::to_string(address.port);
    }

    HttpExchange sendOnce(CtlContext &context, const HttpAddress &target, const HttpRequest &request, Duration timeout)
    {
        std::promise<HttpExchange> promise;
        auto outcome = promise.get_future();
        context.client->send(target, request, {timeout, false}, [&promise](HttpExchange exchange) {
            promise.set_value(std::move(exchange));
        });
        return outcome.get();
    }

    /** Reads code and message of an answer. An answer that is no JSON object has the code of its status. */
    CtlReply readReply(HttpResponse response)
    {
        CtlReply reply;
        const bool isSuccess = response.status >= 200 && response.status < 300;
        reply.code = isSuccess ? ResultCode::Ok : ResultCode::Internal;
        reply.message = isSuccess ? std::string() : "the answer has status " + std::to_string(response.status) + " and no result code";
        reply.body = std::move(response.body);
        const boost::json::value root = parseBody(reply.body);
        const boost::json::value &code = memberOf(root, "code");
        if (!code.is_int64() || code.as_int64() < 0 || code.as_int64() > MaxResultCode) {
            return reply;
        }
        reply.code = static_cast<ResultCode>(code.as_int64());
        reply.message = textOf(root, "message");
        if (reply.message.empty()) {
            reply.message = resultCodeRow(reply.code).sentence;
        }
        return reply;
    }

    /** Returns whether another daemon may give a better answer to the same call. */
    bool isUndecided(ResultCode code, CtlResend resend)
    {
        if (resend == CtlResend::Never) {
            return false;
        }
        return code == ResultCode::NotLeader || code == ResultCode::NoQuorum || code == ResultCode::ChangeOutcomeUnknown || code == ResultCode::Draining
            || code == ResultCode::KeptLocally;
    }

    /** Keeps the answer that says most: a restriction in force, then an unknown outcome, then any other. */
    void keepReply(CallProgress &progress, CtlReply reply)
    {
        const auto rank = [](ResultCode code) {
            return code == ResultCode::KeptLocally ? 2 : (code == ResultCode::ChangeOutcomeUnknown ? 1 : 0);
        };
        if (!progress.reply || rank(reply.code) >= rank(progress.reply->code)) {
            progress.reply = std::move(reply);
        }
    }

    void announce(CtlContext &context, std::size_t index)
    {
        context.current = index;
        if (context.daemons.size() < 2 || context.announced == index) {
            return;
        }
        context.announced = index;
        context.streams.err << "filbertctl: answer from " << nameOf(context.daemons[index]) << "\n";
    }

    /** Tries one daemon. Returns an answer that decides the call. */
    std::optional<CtlReply>
    tryDaemon(CtlContext &context, std::size_t index, const HttpRequest &request, CtlResend resend, Duration timeout, CallProgress &progress)
    {
        const std::string name = nameOf(context.daemons[index]);
        HttpExchange exchange = sendOnce(context, context.daemons[index], request, timeout);
        if (exchange.code != ResultCode::Ok) {
            progress.mayHaveRun = progress.mayHaveRun || exchange.bytesSent;
            const std::string reason(resultCodeRow(exchange.code).name);
            progress.failures += (progress.failures.empty() ? "" : ", ") + name + " " + reason;
            context.streams.err << "filbertctl: no answer from " << name << ": " << reason << "\n";
            return std::nullopt;
        }
        CtlReply reply = readReply(std::move(exchange.response));
        if (isUndecided(reply.code, resend)) {
            context.streams.err << "filbertctl: " << name << " answered " << resultCodeRow(reply.code).name << "\n";
            progress.mayHaveRun = progress.mayHaveRun || reply.code == ResultCode::ChangeOutcomeUnknown;
            keepReply(progress, std::move(reply));
            return std::nullopt;
        }
        announce(context, index);
        return reply;
    }

    /** The outcome when no daemon has decided the call. */
    CtlReply undecidedReply(const CallProgress &progress, CtlResend resend)
    {
        const bool isKept = progress.reply && progress.reply->code == ResultCode::KeptLocally;
        // An answer "not accepted" from one daemon says nothing about an earlier try that went to another one.
        if (progress.mayHaveRun && resend != CtlResend::Read && !isKept) {
            return {ResultCode::ChangeOutcomeUnknown, "the outcome of the change is unknown; no answer: " + progress.failures, {}};
        }
        if (progress.reply) {
            return *progress.reply;
        }
        if (progress.mayHaveRun) {
            return {ResultCode::Timeout, "no answer came in time: " + progress.failures, {}};
        }
        return {ResultCode::ConnectionClosed, "no daemon could be reached: " + progress.failures, {}};
    }

} // namespace

HttpRequest makeCall(const CtlContext &context, std::string method, std::string target, std::string body)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    if (!context.key.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + context.key});
    }
    if (!request.body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    return request;
}

CtlReply callDaemons(CtlContext &context, const HttpRequest &request, CtlResend resend)
{
    const TimePoint deadline = steadyNow() + context.options.timeout;
    const std::size_t first = context.current;
    CallProgress progress;
    for (int round = 0; round < MaxRounds; ++round) {
        if (round > 0) {
            context.streams.pause(RoundPause);
        }
        for (std::size_t i = 0; i < context.daemons.size(); ++i) {
            const Duration left = deadline - steadyNow();
            if (left <= Duration{0}) {
                return undecidedReply(progress, resend);
            }
            const Duration timeout = std::min(left, context.options.timeout / MaxRounds);
            const std::size_t index = (first + i) % context.daemons.size();
            if (auto reply = tryDaemon(context, index, request, resend, timeout, progress)) {
                return *reply;
            }
            if (resend == CtlResend::Never && progress.mayHaveRun) {
                return undecidedReply(progress, resend);
            }
        }
        // Nothing was sent and nothing was answered: all daemons are down, and waiting for them is up to the operator.
        if (!progress.mayHaveRun && !progress.reply) {
            break;
        }
    }
    return undecidedReply(progress, resend);
}

CtlReply readFromDaemons(CtlContext &context, std::string target)
{
    return callDaemons(context, makeCall(context, "GET", std::move(target)), CtlResend::Read);
}

std::string encodeSegment(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string result;
    for (const char byte : text) {
        const auto value = static_cast<unsigned char>(byte);
        const bool isPlain = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9') || byte == '-' || byte == '_'
            || byte == '.' || byte == '~';
        if (isPlain) {
            result += byte;
            continue;
        }
        result += '%';
        result += Digits[value >> 4U];
        result += Digits[value & 15U];
    }
    return result;
}

} // namespace Filbertlanding
