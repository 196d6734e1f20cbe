/** @file connection_table.h Accepted connections in the order in which they are closed when there are too many. */

#pragma once

#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace Filbertlanding {

/** What an accepted connection does, in the order in which connections are closed when there are too many. */
enum class ConnectionPhase : std::uint8_t {
    Closing, ///< Its last response is written, or none is due; waits for the other side to close.
    Silent, ///< Has never sent a byte.
    Idle, ///< Waits for the next request.
    Receiving, ///< A request has arrived in part.
    Busy, ///< A request is handled or its response written; never closed.
};

constexpr std::size_t ConnectionPhaseCount = 5;

/** Remote IP address as bytes; IPv4 addresses as IPv4-mapped IPv6 addresses. */
using RemoteAddress = std::array<unsigned char, 16>;

/** Returns the remote address of a socket; all bytes are zero if it has none any more. */
RemoteAddress remoteAddressOf(int nativeSocket);

/** Base of a connection in a ConnectionTable. */
class TrackedConnection
{
public:
    TrackedConnection() = default;
    TrackedConnection(const TrackedConnection &) = delete;
    TrackedConnection &operator=(const TrackedConnection &) = delete;
    virtual ~TrackedConnection() = default;

    /** Returns whether bytes have arrived that were not read yet. */
    virtual bool hasUnreadInput() const = 0;

private:
    friend class ConnectionTable;
    struct AddressEntry;
    using Hook = boost::intrusive::list_member_hook<>;

    Hook phaseHook; ///< Among all connections of the phase.
    Hook addressHook; ///< Among the connections of the phase and the remote address.
    AddressEntry *address = nullptr; ///< Null while it is in no table.
    ConnectionPhase current = ConnectionPhase::Silent;
};

/** Remote address with the most connections. */
struct BusiestAddress {
    std::string address; ///< IP address as text; empty if there is no connection.
    std::size_t connections = 0; ///< Its connections.
};

/**
 * Connections by phase, and by remote address within a phase, each in the order in which they came into it. A change of the phase is O(1); adding and
 * removing is O(log n) in the number of remote addresses. Not thread-safe.
 */
class ConnectionTable
{
public:
    ConnectionTable();
    ConnectionTable(const ConnectionTable &) = delete;
    ConnectionTable &operator=(const ConnectionTable &) = delete;
    /** All connections have to be removed before. */
    ~ConnectionTable();

    /** Adds a connection as a silent one. */
    void add(TrackedConnection &connection, const RemoteAddress &remote);

    /** Removes a connection; does nothing if it is in no table. */
    void remove(TrackedConnection &connection);

    /** Puts a connection last in a phase; does nothing if it is in no table. */
    void setPhase(TrackedConnection &connection, ConnectionPhase phase);

    /** Returns the phase of a connection. */
    static ConnectionPhase phaseOf(const TrackedConnection &connection);

    /** Returns the number of connections. */
    std::size_t size() const;

    /** Returns the number of connections of a phase. */
    std::size_t countOf(ConnectionPhase phase) const;

    /** Returns the connection that has been longest in a phase, or null if there is none. */
    TrackedConnection *oldest(ConnectionPhase phase);

    /**
     * Returns the silent, idle or receiving connection of a phase that is the first to be closed for a new one, or null if there is none. A connection
     * whose bytes have arrived without having been read is left out, and counts as one that receives since now.
     */
    TrackedConnection *leastValuable(ConnectionPhase phase);

    /** Returns the connection that is the first to be closed for a new one, or null if all are busy or closing. */
    TrackedConnection *leastValuable();

    /** Returns the remote address with the most connections. */
    BusiestAddress busiestAddress() const;

private:
    using AddressEntry = TrackedConnection::AddressEntry;
    using PhaseList =
        boost::intrusive::list<TrackedConnection, boost::intrusive::member_hook<TrackedConnection, TrackedConnection::Hook, &TrackedConnection::phaseHook>>;

    struct RemoteAddressHash {
        std::size_t operator()(const RemoteAddress &address) const;
    };

    void link(TrackedConnection &connection, ConnectionPhase phase);
    static_assert(ConnectionPhaseCount == static_cast<std::size_t>(ConnectionPhase::Busy) + 1);
    void unlink(TrackedConnection &connection, AddressEntry &entry);
    void setCount(AddressEntry &entry, std::size_t count);
    TrackedConnection *candidate(ConnectionPhase phase);

    std::array<PhaseList, ConnectionPhaseCount> phases;
    std::unordered_map<RemoteAddress, std::unique_ptr<AddressEntry>, RemoteAddressHash> addresses;
    std::set<std::pair<std::size_t, AddressEntry *>> byCount; ///< Addresses in the order of their numbers of connections.
    std::size_t total = 0;
};

} // namespace Filbertlanding
