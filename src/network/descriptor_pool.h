/** @file descriptor_pool.h File descriptors of the process, which its listeners, links and clients share. */

#pragma once

#include "network/connection_table.h"

#include <cstddef>
#include <functional>
#include <list>

namespace Filbertlanding {

/** How the descriptors of a process are shared. */
struct DescriptorShares {
    std::size_t connections = 0; ///< All connections together; the other descriptors are kept for files, listeners and timers.
    std::size_t main = 0; ///< Connections of the listener for callers, or for workers and operators.
    std::size_t auxiliary = 0; ///< Connections of a listener for readiness checks or metrics.
    std::size_t handshakes = 0; ///< Connections of peers that have not completed the handshake.
};

/** Returns the shares for a limit of the process. */
DescriptorShares descriptorShares(std::size_t processLimit);

/** Returns the limit of this process on open descriptors. */
std::size_t processDescriptorLimit();

/**
 * Counts the connections of a process, and closes the least valuable one when there are too many of them. All calls are made on one event loop. Must live
 * longer than what uses it.
 */
class DescriptorPool
{
public:
    /** Closes one connection of a phase at once. Returns whether there was one. */
    using Releaser = std::function<bool(ConnectionPhase phase)>;
    using ReleaserId = std::list<Releaser>::iterator;

    explicit DescriptorPool(std::size_t limitOfProcess);
    DescriptorPool(const DescriptorPool &) = delete;
    DescriptorPool &operator=(const DescriptorPool &) = delete;

    /** Adds an owner of connections. Of connections in the same phase those of the owner that was added first are closed first. */
    ReleaserId addReleaser(Releaser releaser);

    /** Removes an owner of connections. */
    void removeReleaser(ReleaserId id);

    /** Closes the least valuable connection if there is no room for another one. Returns whether there is room now. */
    bool makeRoom();

    /** Counts a connection that was opened. */
    void take();

    /** Counts a connection that was closed. */
    void giveBack();

    /** Closes the least valuable connection at once. Returns false if all are busy. */
    bool releaseOne();

    /** Takes over a limit of the process that has changed. Connections beyond it are closed as others need their place. */
    void setLimit(std::size_t limitOfProcess);

    /** Returns the limit of the process. */
    std::size_t limit() const;

    /** Returns the number of open connections. */
    std::size_t open() const;

    /** Returns the shares of the process. */
    const DescriptorShares &shares() const;

private:
    std::size_t processLimit;
    DescriptorShares divided;
    std::size_t connections = 0;
    std::list<Releaser> releasers;
};

/** Calls DescriptorPool::releaseOne() of a pool; returns false if the pool is null. */
bool releaseDescriptor(DescriptorPool *pool);

/** Calls DescriptorPool::makeRoom() of a pool; returns true if the pool is null. */
bool makeDescriptorRoom(DescriptorPool *pool);

/** One connection that is counted in a pool. */
class DescriptorUse
{
public:
    /** Counts a connection that was opened; the pool may be null. */
    explicit DescriptorUse(DescriptorPool *descriptorPool);
    DescriptorUse(const DescriptorUse &) = delete;
    DescriptorUse &operator=(const DescriptorUse &) = delete;
    /** Calls end(). */
    ~DescriptorUse();

    /** Counts the connection as closed; further calls do nothing. */
    void end();

private:
    DescriptorPool *pool;
};

} // namespace Filbertlanding
