/** @file route_entries.cpp Builds routing tables from the worker registry and the load summaries of peers. */

#include "request/route_entries.h"

#include "membership/worker_registry_func.h"

#include <algorithm>

namespace Filbertlanding {

namespace {

    /** Returns the number of slots that this daemon may use: the announced slots minus the requests in flight under earlier owners. */
    std::uint32_t usableSlots(const ServiceSlots &service)
    {
        return service.slots - std::min(service.slots, service.earlierInFlight);
    }

    bool offersService(const WorkerRecord &record, const ServiceName &service)
    {
        const auto &services = record.lastReport.services;
        return std::any_of(services.begin(), services.end(), [&](const ServiceSlots &entry) {
            return entry.service == service;
        });
    }

    std::shared_ptr<WorkerEntry> makeWorkerEntry(const WorkerRecord &record, const ServiceName &service)
    {
        auto entry = std::make_shared<WorkerEntry>();
        entry->worker = record.lastReport.worker;
        entry->service = service;
        entry->address = record.lastReport.address;
        entry->port = record.lastReport.port;
        return entry;
    }

    /** Finds or creates an entry. A worker whose address changed gets a new entry. @return Whether the entry is new. */
    bool ensureEntry(std::shared_ptr<WorkerEntry> &entry, const WorkerRecord &record, const ServiceName &service)
    {
        const WorkerReport &report = record.lastReport;
        if (entry != nullptr && entry->address == report.address && entry->port == report.port) {
            return false;
        }
        if (entry != nullptr) {
            entry->leaseEndMs.store(0);
        }
        entry = makeWorkerEntry(record, service);
        return true;
    }

} // namespace

bool updateWorkerEntries(RouteEntries &entries, const WorkerRecord &record, TimePoint now)
{
    bool changed = false;
    const bool usable = takesRequests(record, now);
    const WorkerName &worker = record.lastReport.worker;
    for (const ServiceSlots &service : record.lastReport.services) {
        std::shared_ptr<WorkerEntry> &entry = entries.workers[{worker, service.service}];
        changed = ensureEntry(entry, record, service.service) || changed;
        entry->slots.setCapacity(usableSlots(service));
        entry->ownerEpoch.store(record.lastReport.ownerEpoch, std::memory_order_release);
        entry->leaving.store(record.lifeCycle.state() == WorkerState::Leaving);
        entry->leaseEndMs.store(usable ? record.leaseEnd.ms : 0, std::memory_order_seq_cst);
    }
    for (auto it = entries.workers.lower_bound({worker, {}}); it != entries.workers.end() && it->first.first == worker; ++it) {
        if (!offersService(record, it->first.second)) {
            it->second->slots.setCapacity(0);
        }
    }
    return changed;
}

bool removeWorkerEntries(RouteEntries &entries, const WorkerName &worker)
{
    bool removed = false;
    for (auto it = entries.workers.lower_bound({worker, {}}); it != entries.workers.end() && it->first.first == worker;) {
        WorkerEntry &entry = *it->second;
        entry.leaseEndMs.store(0, std::memory_order_seq_cst);
        // Keep an entry with requests in flight. If the worker returns, their slots must still count as used.
        if (entry.slots.inUse() > 0) {
            ++it;
            continue;
        }
        it = entries.workers.erase(it);
        removed = true;
    }
    return removed;
}

void updatePeerEntries(RouteEntries &entries, const PeerSummary &summary)
{
    for (const PeerServiceLoad &load : summary.services) {
        std::shared_ptr<PeerEntry> &entry = entries.peers[{summary.daemon, load.service}];
        if (entry == nullptr) {
            entry = std::make_shared<PeerEntry>();
        }
        const std::uint32_t free = load.slots - std::min(load.slots, load.inUse);
        entry->slots.setCapacity(entry->slots.inUse() + (free + 1) / 2);
    }
}

std::unique_ptr<const RoutingTable> buildRoutingTable(RouteEntries &entries, const ZoneName &zone, bool drained, const std::vector<PeerSummary> &peers)
{
    auto table = std::make_unique<RoutingTable>();
    table->version = ++entries.version;
    table->availabilityZone = zone;
    table->drained = drained;
    for (const auto &[key, entry] : entries.workers) {
        table->services[key.second].workers.push_back(entry);
    }
    for (const PeerSummary &peer : peers) {
        for (const PeerServiceLoad &load : peer.services) {
            std::shared_ptr<PeerEntry> &entry = entries.peers[{peer.daemon, load.service}];
            if (entry == nullptr) {
                entry = std::make_shared<PeerEntry>();
            }
            table->services[load.service].peers.push_back({.daemon = peer.daemon,
                                                           .availabilityZone = peer.availabilityZone,
                                                           .slots = load.slots,
                                                           .inUse = load.inUse,
                                                           .quantileMs = load.quantileMs,
                                                           .receivedAt = peer.receivedAt,
                                                           .drained = peer.drained,
                                                           .stopping = peer.stopping,
                                                           .entry = entry});
        }
    }
    return table;
}

std::vector<PeerServiceLoad> summarizeLoad(const RouteEntries &entries, TimePoint now)
{
    std::map<ServiceName, PeerServiceLoad> loads;
    std::map<ServiceName, std::uint32_t> workerCounts;
    for (const auto &[key, entry] : entries.workers) {
        const bool ejected = now.ms < entry->ejectedUntilMs.load(std::memory_order_relaxed);
        if (ejected || entry->leaving || now.ms >= entry->leaseEndMs.load(std::memory_order_relaxed)) {
            continue;
        }
        PeerServiceLoad &load = loads[key.second];
        load.slots += entry->slots.capacity();
        load.inUse += entry->slots.inUse();
        // Mean of the workers' quantiles. Peers use it to choose between daemons.
        const std::uint32_t count = ++workerCounts[key.second];
        load.quantileMs += (entry->latency.quantileMs() - load.quantileMs) / count;
    }
    std::vector<PeerServiceLoad> result;
    for (auto &[service, load] : loads) {
        load.service = service;
        result.push_back(load);
    }
    return result;
}

} // namespace Filbertlanding
