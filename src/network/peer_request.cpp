/** @file peer_request.cpp Requests to peers that wait for their answers. */

#include "network/peer_request.h"

#include <vector>

namespace Filbertlanding {

void PeerRequestTable::add(std::uint64_t correlation, const void *link, TimePoint deadline, PeerAnswerCallback callback)
{
    this->pending[correlation] = {link, deadline, std::move(callback), false};
    this->deadlines.emplace(deadline, correlation);
}

bool PeerRequestTable::markSent(std::uint64_t correlation)
{
    const auto found = this->pending.find(correlation);
    if (found == this->pending.end()) {
        return false;
    }
    found->second.bytesSent = true;
    return true;
}

void PeerRequestTable::end(std::uint64_t correlation, ResultCode code, std::string payload)
{
    const auto found = this->pending.find(correlation);
    if (found == this->pending.end()) {
        return;
    }
    const Pending ended = std::move(found->second);
    this->pending.erase(found);
    this->deadlines.erase({ended.deadline, correlation});
    ended.callback({code, ended.bytesSent, std::move(payload)});
}

void PeerRequestTable::answer(std::uint64_t correlation, const void *link, std::string payload)
{
    const auto found = this->pending.find(correlation);
    if (found != this->pending.end() && found->second.link == link) {
        this->end(correlation, ResultCode::Ok, std::move(payload));
    }
}

void PeerRequestTable::endAllOf(const void *link)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[correlation, request] : this->pending) {
        if (request.link == link) {
            lost.push_back(correlation);
        }
    }
    for (const std::uint64_t correlation : lost) {
        this->end(correlation, ResultCode::ConnectionClosed);
    }
}

std::size_t PeerRequestTable::expire(TimePoint now)
{
    std::size_t count = 0;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        this->end(this->deadlines.begin()->second, ResultCode::Timeout);
        ++count;
    }
    return count;
}

std::optional<TimePoint> PeerRequestTable::nextDeadline() const
{
    if (this->deadlines.empty()) {
        return std::nullopt;
    }
    return this->deadlines.begin()->first;
}

} // namespace Filbertlanding
