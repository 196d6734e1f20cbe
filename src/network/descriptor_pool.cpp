/** @file descriptor_pool.cpp File descriptors of the process. */

#include "network/descriptor_pool.h"

#include <sys/resource.h>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MinKeptForFiles = 32;
    constexpr std::size_t MaxKeptForFiles = 256;
    constexpr std::size_t MaxListenerConnections = 3'500;
    constexpr std::size_t MaxHandshakes = 512;
    constexpr std::size_t MinShare = 16;

    /** Returns a part of a limit, at least the smallest share and at most the given number. */
    std::size_t shareOf(std::size_t limit, std::size_t divisor, std::size_t most)
    {
        return std::clamp(limit / divisor, MinShare, most);
    }

} // namespace

DescriptorShares descriptorShares(std::size_t processLimit)
{
    const std::size_t kept = std::clamp(processLimit / 16, MinKeptForFiles, MaxKeptForFiles);
    DescriptorShares shares;
    shares.connections = std::max(processLimit, kept + MinShare) - kept;
    shares.auxiliary = shareOf(processLimit, 16, MaxListenerConnections);
    shares.handshakes = shareOf(processLimit, 8, MaxHandshakes);
    const std::size_t others = shares.handshakes + 2 * shares.auxiliary;
    shares.main = std::clamp(shares.connections - std::min(shares.connections, others), MinShare, MaxListenerConnections);
    return shares;
}

std::size_t processDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return MaxListenerConnections;
    }
    return static_cast<std::size_t>(limit.rlim_cur);
}

DescriptorPool::DescriptorPool(std::size_t limitOfProcess)
    : processLimit(limitOfProcess)
    , divided(descriptorShares(limitOfProcess))
{
}

DescriptorPool::ReleaserId DescriptorPool::addReleaser(Releaser releaser)
{
    return this->releasers.insert(this->releasers.end(), std::move(releaser));
}

void DescriptorPool::removeReleaser(ReleaserId id)
{
    this->releasers.erase(id);
}

bool DescriptorPool::makeRoom()
{
    return this->connections < this->divided.connections || this->releaseOne();
}

void DescriptorPool::take()
{
    ++this->connections;
}

void DescriptorPool::giveBack()
{
    --this->connections;
}

bool DescriptorPool::releaseOne()
{
    for (const ConnectionPhase phase : {ConnectionPhase::Closing, ConnectionPhase::Silent, ConnectionPhase::Idle, ConnectionPhase::Receiving}) {
        for (const Releaser &releaser : this->releasers) {
            if (releaser(phase)) {
                return true;
            }
        }
    }
    return false;
}

void DescriptorPool::setLimit(std::size_t limitOfProcess)
{
    this->processLimit = limitOfProcess;
    this->divided = descriptorShares(limitOfProcess);
}

std::size_t DescriptorPool::limit() const
{
    return this->processLimit;
}

std::size_t DescriptorPool::open() const
{
    return this->connections;
}

const DescriptorShares &DescriptorPool::shares() const
{
    return this->divided;
}

bool releaseDescriptor(DescriptorPool *pool)
{
    return pool != nullptr && pool->releaseOne();
}

bool makeDescriptorRoom(DescriptorPool *pool)
{
    return pool == nullptr || pool->makeRoom();
}

DescriptorUse::DescriptorUse(DescriptorPool *descriptorPool)
    : pool(descriptorPool)
{
    if (this->pool != nullptr) {
        this->pool->take();
    }
}

DescriptorUse::~DescriptorUse()
{
    this->end();
}

void DescriptorUse::end()
{
    if (DescriptorPool *taken = std::exchange(this->pool, nullptr)) {
        taken->giveBack();
    }
}

} // namespace Filbertlanding
