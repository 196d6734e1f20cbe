/** @file connection_table.cpp Accepted connections by phase and remote address. */

#include "network/connection_table.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxAddressesTried = 8; ///< Bounds the search for the address that has the most connections among those with one in a phase.
    constexpr std::size_t MaxReceivingSkipped = 16; ///< Bounds the search for a receiving connection of which no bytes wait.

    std::size_t indexOf(ConnectionPhase phase)
    {
        return static_cast<std::size_t>(phase);
    }

    std::string textOf(const RemoteAddress &address)
    {
        std::array<char, INET6_ADDRSTRLEN> text{};
        in6_addr whole{};
        std::memcpy(&whole, address.data(), address.size());
        const bool isIpv4 = IN6_IS_ADDR_V4MAPPED(&whole);
        const void *bytes = isIpv4 ? address.data() + (address.size() - sizeof(in_addr)) : address.data();
        return inet_ntop(isIpv4 ? AF_INET : AF_INET6, bytes, text.data(), text.size()) == nullptr ? std::string() : std::string(text.data());
    }

} // namespace

/** The connections of one remote address. */
struct TrackedConnection::AddressEntry {
    using List = boost::intrusive::list<TrackedConnection, boost::intrusive::member_hook<TrackedConnection, Hook, &TrackedConnection::addressHook>>;

    RemoteAddress address{};
    std::array<List, ConnectionPhaseCount> phases;
    std::size_t count = 0; ///< Connections in all phases.
};

RemoteAddress remoteAddressOf(int nativeSocket)
{
    constexpr std::array<unsigned char, 12> Ipv4Prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
    RemoteAddress remote{};
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    if (getpeername(nativeSocket, reinterpret_cast<sockaddr *>(&storage), &size) != 0) {
        return remote;
    }
    if (storage.ss_family == AF_INET6) {
        std::memcpy(remote.data(), &reinterpret_cast<const sockaddr_in6 &>(storage).sin6_addr, remote.size());
        return remote;
    }
    std::memcpy(remote.data(), Ipv4Prefix.data(), Ipv4Prefix.size());
    std::memcpy(remote.data() + Ipv4Prefix.size(), &reinterpret_cast<const sockaddr_in &>(storage).sin_addr, sizeof(in_addr));
    return remote;
}

ConnectionTable::ConnectionTable() = default;

ConnectionTable::~ConnectionTable() = default;

std::size_t ConnectionTable::RemoteAddressHash::operator()(const RemoteAddress &address) const
{
    return std::hash<std::string_view>()({reinterpret_cast<const char *>(address.data()), address.size()});
}

void ConnectionTable::add(TrackedConnection &connection, const RemoteAddress &remote)
{
    std::unique_ptr<AddressEntry> &entry = this->addresses[remote];
    if (entry == nullptr) {
        entry = std::make_unique<AddressEntry>();
        entry->address = remote;
    }
    connection.address = entry.get();
    this->setCount(*entry, entry->count + 1);
    this->link(connection, ConnectionPhase::Silent);
    ++this->total;
}

void ConnectionTable::remove(TrackedConnection &connection)
{
    AddressEntry *entry = std::exchange(connection.address, nullptr);
    if (entry == nullptr) {
        return;
    }
    this->unlink(connection, *entry);
    --this->total;
    this->setCount(*entry, entry->count - 1);
    if (entry->count == 0) {
        this->addresses.erase(RemoteAddress(entry->address));
    }
}

void ConnectionTable::setPhase(TrackedConnection &connection, ConnectionPhase phase)
{
    if (connection.address == nullptr) {
        return;
    }
    this->unlink(connection, *connection.address);
    this->link(connection, phase);
}

ConnectionPhase ConnectionTable::phaseOf(const TrackedConnection &connection)
{
    return connection.current;
}

std::size_t ConnectionTable::size() const
{
    return this->total;
}

std::size_t ConnectionTable::countOf(ConnectionPhase phase) const
{
    return this->phases[indexOf(phase)].size();
}

TrackedConnection *ConnectionTable::oldest(ConnectionPhase phase)
{
    PhaseList &list = this->phases[indexOf(phase)];
    return list.empty() ? nullptr : &list.front();
}

TrackedConnection *ConnectionTable::leastValuable(ConnectionPhase phase)
{
    std::size_t skips = std::min(this->countOf(ConnectionPhase::Receiving), MaxReceivingSkipped);
    TrackedConnection *found = this->candidate(phase);
    while (found != nullptr && found->hasUnreadInput()) {
        if (phase == ConnectionPhase::Receiving && skips-- == 0) {
            return nullptr;
        }
        this->setPhase(*found, ConnectionPhase::Receiving);
        found = this->candidate(phase);
    }
    return found;
}

TrackedConnection *ConnectionTable::leastValuable()
{
    for (const ConnectionPhase phase : {ConnectionPhase::Silent, ConnectionPhase::Idle, ConnectionPhase::Receiving}) {
        if (TrackedConnection *found = this->leastValuable(phase)) {
            return found;
        }
    }
    return nullptr;
}

/** Returns the oldest connection of the address with the most connections. Receiving connections are ordered by age only. */
TrackedConnection *ConnectionTable::candidate(ConnectionPhase phase)
{
    TrackedConnection *first = this->oldest(phase);
    if (first == nullptr || phase == ConnectionPhase::Receiving) {
        return first;
    }
    std::size_t tried = 0;
    for (auto next = this->byCount.rbegin(); next != this->byCount.rend() && tried < MaxAddressesTried; ++next, ++tried) {
        auto &list = next->second->phases[indexOf(phase)];
        if (next->first == first->address->count) {
            break;
        }
        if (!list.empty()) {
            return &list.front();
        }
    }
    return first;
}

BusiestAddress ConnectionTable::busiestAddress() const
{
    if (this->byCount.empty()) {
        return {};
    }
    const auto &[count, entry] = *this->byCount.rbegin();
    return {textOf(entry->address), count};
}

void ConnectionTable::link(TrackedConnection &connection, ConnectionPhase phase)
{
    connection.current = phase;
    this->phases[indexOf(phase)].push_back(connection);
    connection.address->phases[indexOf(phase)].push_back(connection);
}

void ConnectionTable::unlink(TrackedConnection &connection, AddressEntry &entry)
{
    auto &inPhase = this->phases[indexOf(connection.current)];
    inPhase.erase(inPhase.iterator_to(connection));
    auto &inAddress = entry.phases[indexOf(connection.current)];
    inAddress.erase(inAddress.iterator_to(connection));
}

void ConnectionTable::setCount(AddressEntry &entry, std::size_t count)
{
    auto node = this->byCount.extract({entry.count, &entry});
    entry.count = count;
    if (count == 0) {
        return;
    }
    if (node.empty()) {
        this->byCount.insert({count, &entry});
        return;
    }
    node.value().first = count;
    this->byCount.insert(std::move(node));
}

} // namespace Filbertlanding
