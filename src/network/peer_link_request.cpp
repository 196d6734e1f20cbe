/** @file peer_link_request.cpp Requests to peers: sending them, and ending them when their time is over. */

#include "core/clock_func.h"
#include "network/chrono_func.h"
#include "network/peer_link_internal.h"

namespace Filbertlanding {

PeerRequests::PeerRequests(PeerLinkShared &linkShared)
    : shared(linkShared)
    , timer(linkShared.io)
{
}

std::uint64_t PeerRequests::nextCorrelation()
{
    return this->correlation++;
}

PeerRequestTable &PeerRequests::table()
{
    return this->waiting;
}

void PeerRequests::begin(const FrameStreamPointer &stream, ResultCode code, Frame frame, TimePoint deadline, PeerAnswerCallback callback)
{
    const std::uint64_t number = frame.correlation;
    this->waiting.add(number, stream.get(), deadline, std::move(callback));
    if (stream != nullptr) {
        code = stream->push(std::move(frame));
    }
    if (code != ResultCode::Ok) {
        this->waiting.end(number, code);
        return;
    }
    if (this->waiting.nextDeadline() == deadline) {
        this->armTimer();
    }
}

void PeerRequests::armTimer()
{
    const auto next = this->waiting.nextDeadline();
    if (!next) {
        return;
    }
    const Duration wait = std::max(Duration{1}, *next - steadyNow());
    this->timer.expires_after(chronoOf(wait));
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            this->shared.counters.peerRequestTimeouts += this->waiting.expire(steadyNow());
            this->armTimer();
        }
    });
}

void PeerRequests::stop()
{
    this->timer.cancel();
}

} // namespace Filbertlanding
