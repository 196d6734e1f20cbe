/** @file handshake_table.cpp Accepted peer connections that have not completed the handshake. */

#include "network/handshake_table.h"

namespace Filbertlanding {

HandshakeTable::HandshakeTable(const PeerLinkSettings &linkSettings, NetworkCounters &networkCounters)
    : settings(linkSettings)
    , counters(networkCounters)
{
    if (this->settings.descriptors != nullptr) {
        this->releaser = this->settings.descriptors->addReleaser([this](ConnectionPhase phase) {
            return this->releaseOne(phase);
        });
    }
}

HandshakeTable::~HandshakeTable()
{
    this->stop();
}

bool HandshakeTable::makeRoom()
{
    const bool hasRoom =
        this->table.size() < this->settings.maxHandshakes || this->releaseOne(ConnectionPhase::Silent) || this->releaseOne(ConnectionPhase::Receiving);
    if (!hasRoom) {
        this->settings.onShortage(ShortageEvent::Refused);
    }
    return hasRoom;
}

void HandshakeTable::add(FrameStream &stream, const RemoteAddress &remote)
{
    this->table.add(stream, remote);
}

void HandshakeTable::remove(FrameStream &stream)
{
    this->table.remove(stream);
}

void HandshakeTable::onAcceptFailed()
{
    ++this->counters.peerAcceptsFailed;
    this->settings.onShortage(ShortageEvent::AcceptFailed);
}

ConnectionSummary HandshakeTable::summary() const
{
    return {.open = this->table.size(),
            .limit = this->settings.maxHandshakes,
            .silent = this->table.countOf(ConnectionPhase::Silent),
            .busy = 0,
            .busiest = this->table.busiestAddress()};
}

void HandshakeTable::stop()
{
    if (this->releaser) {
        this->settings.descriptors->removeReleaser(*this->releaser);
        this->releaser.reset();
    }
}

bool HandshakeTable::releaseOne(ConnectionPhase phase)
{
    TrackedConnection *found = this->table.leastValuable(phase);
    if (found == nullptr) {
        return false;
    }
    ++this->counters.peerHandshakesDisplaced;
    this->settings.onShortage(ShortageEvent::Displaced);
    static_cast<FrameStream *>(found)->close(ResultCode::ConnectionClosed);
    return true;
}

} // namespace Filbertlanding
