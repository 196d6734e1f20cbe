/** @file outcome_counters.cpp Outcome counters that request threads increment. */

#include "report/outcome_counters.h"

#include "core/random.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>

namespace Filbertlanding {

namespace {

    constexpr std::size_t Shards = 4; ///< With 2,550 series of 510 teams and 5 services this costs at most 6 MB.
    constexpr std::size_t MaxCodes = 96; ///< Rows of the table of result codes, with room to grow.
    constexpr std::size_t Slots = 2 * MaxSeries; ///< Slots of the hash table; at most three quarters are used.
    constexpr std::size_t MaxOtherSeries = MaxSeries / 2; ///< Series for the team "(other)" of single services.
    constexpr std::string_view OtherName = "(other)";

    /** Row number of each result code. */
    std::size_t codeIndex(ResultCode code)
    {
        static const auto Indexes = [] {
            std::array<std::uint8_t, 8192> table{};
            const auto &rows = resultCodeRows();
            table.fill(static_cast<std::uint8_t>(rows.size() - 1));
            for (std::size_t i = 0; i < rows.size(); ++i) {
                table[static_cast<std::size_t>(rows[i].code)] = static_cast<std::uint8_t>(i);
            }
            return table;
        }();
        const auto number = static_cast<std::size_t>(code);
        return number < Indexes.size() ? Indexes[number] : resultCodeRows().size() - 1;
    }

    /** Shard of the calling thread; threads get shards in turn. */
    std::size_t ownShard()
    {
        static std::atomic<std::size_t> nextShard{0};
        thread_local const std::size_t Shard = nextShard.fetch_add(1, std::memory_order_relaxed) % Shards;
        return Shard;
    }

    struct alignas(64) CountCell {
        std::atomic<std::uint64_t> received{0};
        std::array<std::atomic<std::uint64_t>, MaxCodes> outcomes{};
    };

    struct alignas(64) LatencyCell {
        std::array<std::atomic<std::uint64_t>, LatencyBuckets> counts{};
    };

    /** Cells that are made when a thread of their shard first needs them. */
    template<class Cell>
    struct LazyCells {
        std::array<std::atomic<Cell *>, Shards> cells{};

        LazyCells() = default;
        LazyCells(const LazyCells &) = delete;
        LazyCells &operator=(const LazyCells &) = delete;

        ~LazyCells()
        {
            for (auto &cell : this->cells) {
                delete cell.load();
            }
        }

        Cell &own()
        {
            auto &slot = this->cells[ownShard()];
            auto *cell = slot.load(std::memory_order_acquire);
            if (cell != nullptr) {
                return *cell;
            }
            auto made = std::make_unique<Cell>();
            if (slot.compare_exchange_strong(cell, made.get(), std::memory_order_acq_rel)) {
                return *made.release();
            }
            return *cell;
        }
    };

    /** Examples and latency of one service; shared by its series. */
    struct ServicePart {
        LazyCells<LatencyCell> latency;
        std::array<std::atomic<std::uint8_t>, MaxCodes> exampleCounts{};
        std::mutex lock;
        std::map<ResultCode, std::vector<RequestId>> examples;
    };

} // namespace

struct OutcomeSeries {
    ServiceName service;
    TeamName team;
    ServicePart *part = nullptr;
    LazyCells<CountCell> cells;
};

struct OutcomeCounters::Impl {
    ZoneName zone;
    std::array<std::atomic<OutcomeSeries *>, Slots> slots{};
    std::atomic<std::size_t> used{0};
    std::mutex partLock;
    std::map<ServiceName, ServicePart, std::less<>> parts;

    ServicePart &partOf(const ServiceName &service)
    {
        const std::lock_guard guard(this->partLock);
        return this->parts[service];
    }

    /** Finds or adds a series. Series are never removed, so a slot that is taken stays taken. Returns nullptr above the limit. */
    OutcomeSeries *find(std::string_view service, std::string_view team, std::size_t limit)
    {
        std::size_t index = (stableHash(service) ^ mixBits(stableHash(team))) % Slots;
        std::unique_ptr<OutcomeSeries> made;
        while (true) {
            auto *series = this->slots[index].load(std::memory_order_acquire);
            if (series == nullptr) {
                if (made == nullptr && this->used.fetch_add(1, std::memory_order_relaxed) >= limit) {
                    this->used.fetch_sub(1, std::memory_order_relaxed);
                    return nullptr;
                }
                if (made == nullptr) {
                    made = std::make_unique<OutcomeSeries>();
                    made->service = service;
                    made->team = team;
                    made->part = &this->partOf(made->service);
                }
                if (this->slots[index].compare_exchange_strong(series, made.get(), std::memory_order_acq_rel)) {
                    return made.release();
                }
            }
            if (series->service == service && series->team == team) {
                if (made != nullptr) {
                    this->used.fetch_sub(1, std::memory_order_relaxed);
                }
                return series;
            }
            index = (index + 1) % Slots;
        }
    }
};

namespace {

    void keepExample(ServicePart &part, ResultCode code, const RequestId &request)
    {
        auto &count = part.exampleCounts[codeIndex(code)];
        // Once enough ids are kept, refusals under overload take no lock.
        if (count.load(std::memory_order_relaxed) >= MaxExamples) {
            return;
        }
        const std::lock_guard guard(part.lock);
        auto &ids = part.examples[code];
        if (ids.size() < MaxExamples && std::find(ids.begin(), ids.end(), request) == ids.end()) {
            ids.push_back(request);
            count.store(static_cast<std::uint8_t>(ids.size()), std::memory_order_relaxed);
        }
    }

    void readSeries(const OutcomeSeries &series, const ZoneName &zone, OutcomeCounts &counts)
    {
        const auto &rows = resultCodeRows();
        // The acquire pairs with the release of countOutcome: whoever sees an outcome sees its receipt too.
        for (const auto &slot : series.cells.cells) {
            const auto *cell = slot.load(std::memory_order_acquire);
            for (std::size_t i = 0; cell != nullptr && i < rows.size(); ++i) {
                const auto count = cell->outcomes[i].load(std::memory_order_acquire);
                if (count != 0) {
                    counts.outcomes[{series.team, zone, rows[i].code}] += count;
                }
            }
        }
        for (const auto &slot : series.cells.cells) {
            const auto *cell = slot.load(std::memory_order_acquire);
            const auto count = cell == nullptr ? 0 : cell->received.load(std::memory_order_acquire);
            if (count != 0) {
                counts.received[{series.team, zone}] += count;
            }
        }
    }

    void readPart(ServicePart &part, const ZoneName &zone, OutcomeCounts &counts)
    {
        for (const auto &slot : part.latency.cells) {
            const auto *cell = slot.load(std::memory_order_acquire);
            for (std::size_t i = 0; cell != nullptr && i < LatencyBuckets; ++i) {
                const auto count = cell->counts[i].load(std::memory_order_relaxed);
                if (count != 0) {
                    counts.latency[zone].counts[i] += count;
                }
            }
        }
        const std::lock_guard guard(part.lock);
        counts.examples = part.examples;
        for (auto &[code, ids] : counts.examples) {
            std::sort(ids.begin(), ids.end());
        }
    }

} // namespace

OutcomeCounters::OutcomeCounters(ZoneName zone)
    : impl(std::make_unique<Impl>())
{
    this->impl->zone = std::move(zone);
}

OutcomeCounters::~OutcomeCounters()
{
    for (auto &slot : this->impl->slots) {
        delete slot.load();
    }
}

OutcomeSeries &OutcomeCounters::series(const ServiceName &service, const TeamName &team)
{
    if (auto *found = this->impl->find(service, team, MaxSeries)) {
        return *found;
    }
    if (auto *found = this->impl->find(service, OtherName, MaxSeries + MaxOtherSeries)) {
        return *found;
    }
    return *this->impl->find(OtherName, OtherName, Slots);
}

void OutcomeCounters::countReceived(OutcomeSeries &series)
{
    series.cells.own().received.fetch_add(1, std::memory_order_relaxed);
}

void OutcomeCounters::countOutcome(OutcomeSeries &series, ResultCode code, std::uint64_t latencyUs, const RequestId &request)
{
    series.cells.own().outcomes[codeIndex(code)].fetch_add(1, std::memory_order_release);
    if (code == ResultCode::Ok) {
        series.part->latency.own().counts[latencyBucket(latencyUs)].fetch_add(1, std::memory_order_relaxed);
    } else if (!request.empty()) {
        keepExample(*series.part, code, request);
    }
}

std::map<ServiceName, OutcomeCounts> OutcomeCounters::snapshot() const
{
    std::map<ServiceName, OutcomeCounts> result;
    for (const auto &slot : this->impl->slots) {
        const auto *series = slot.load(std::memory_order_acquire);
        if (series != nullptr) {
            readSeries(*series, this->impl->zone, result[series->service]);
        }
    }
    const std::lock_guard guard(this->impl->partLock);
    for (auto &[service, part] : this->impl->parts) {
        readPart(part, this->impl->zone, result[service]);
    }
    return result;
}

} // namespace Filbertlanding
