/** @file outcome_type.cpp Merge and encoding of outcome counts. */

#include "report/outcome_type.h"

#include "core/bounded_archive.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Filbertlanding {

namespace {

    constexpr std::size_t BucketsPerOctave = 8;
    constexpr unsigned SubBits = 3; ///< Bits below the leading one that choose the bucket within an octave.
    constexpr char CountsVersion = 1; ///< First byte of encoded counts.
    constexpr std::size_t MaxZones = 32; ///< Zones with latencies in one encoding; far above the 6 zones of the largest installation.
    constexpr std::size_t NameCopyFactor =
        25; ///< Copied bytes of names for each encoded byte; a row of 12 bytes names a team (at most 200 bytes) and a zone (100).
    constexpr std::size_t MaxNames = 65'535; ///< Names in one encoding, whose indexes have 16 bits.

    template<class Key>
    void mergeMaps(std::map<Key, std::uint64_t> &into, const std::map<Key, std::uint64_t> &from)
    {
        for (const auto &[key, count] : from) {
            auto &target = into[key];
            target = std::max(target, count);
        }
    }

    template<class Key>
    void addMaps(std::map<Key, std::uint64_t> &into, const std::map<Key, std::uint64_t> &from)
    {
        for (const auto &[key, count] : from) {
            into[key] += count;
        }
    }

    template<class Key, class Value>
    void copyChanged(const std::map<Key, Value> &before, const std::map<Key, Value> &now, std::map<Key, Value> &changed)
    {
        for (const auto &[key, value] : now) {
            const auto found = before.find(key);
            if (found == before.end() || !(found->second == value)) {
                changed.emplace(key, value);
            }
        }
    }

    void mergeExamples(OutcomeCounts &into, const OutcomeCounts &from)
    {
        for (const auto &[code, ids] : from.examples) {
            auto &target = into.examples[code];
            target.insert(target.end(), ids.begin(), ids.end());
            std::sort(target.begin(), target.end());
            target.erase(std::unique(target.begin(), target.end()), target.end());
            target.resize(std::min(target.size(), MaxExamples));
        }
    }

    /** Writes each name once; rows hold its index. */
    struct NameWriter {
        std::map<std::string, std::uint16_t> indexes;
        std::vector<std::string> names;

        std::uint16_t indexOf(const std::string &name)
        {
            const auto [found, isNew] = this->indexes.try_emplace(name, static_cast<std::uint16_t>(this->names.size()));
            if (isNew) {
                this->names.push_back(name);
            }
            return found->second;
        }
    };

    /** Finds names by index; each use copies the name, so a long name in many short rows would take much memory. */
    struct NameReader {
        const std::vector<std::string> &names;
        std::size_t bytesLeft; ///< Bytes that copies may still take.

        const std::string &at(std::uint16_t index)
        {
            if (index >= this->names.size() || this->names[index].size() > this->bytesLeft) {
                throw cereal::Exception("a name index is too large, or the names take too much memory");
            }
            this->bytesLeft -= this->names[index].size();
            return this->names[index];
        }
    };

    void writeHistogram(BoundedOutputArchive &archive, const LatencyHistogram &histogram)
    {
        const auto isUsed = [](std::uint64_t count) {
            return count != 0;
        };
        archive(static_cast<std::uint16_t>(std::count_if(histogram.counts.begin(), histogram.counts.end(), isUsed)));
        for (std::size_t i = 0; i < LatencyBuckets; ++i) {
            if (histogram.counts[i] != 0) {
                archive(static_cast<std::uint16_t>(i), histogram.counts[i]);
            }
        }
    }

    void readHistogram(BoundedInputArchive &archive, LatencyHistogram &histogram)
    {
        std::uint16_t size = 0;
        archive(size);
        for (std::uint16_t i = 0; i < size; ++i) {
            std::uint16_t bucket = 0;
            archive(bucket);
            if (bucket >= LatencyBuckets) {
                throw cereal::Exception("a latency bucket is too large");
            }
            archive(histogram.counts[bucket]);
        }
    }

    void writeRows(BoundedOutputArchive &archive, const OutcomeCounts &counts, NameWriter &names)
    {
        archive(static_cast<std::uint32_t>(counts.received.size()));
        for (const auto &[key, count] : counts.received) {
            archive(names.indexOf(key.team), names.indexOf(key.zone), count);
        }
        archive(static_cast<std::uint32_t>(counts.outcomes.size()));
        for (const auto &[key, count] : counts.outcomes) {
            archive(names.indexOf(key.team), names.indexOf(key.zone), key.code, count);
        }
        archive(static_cast<std::uint32_t>(counts.latency.size()));
        for (const auto &[zone, histogram] : counts.latency) {
            archive(names.indexOf(zone));
            writeHistogram(archive, histogram);
        }
        archive(static_cast<std::uint32_t>(counts.examples.size()));
        for (const auto &[code, ids] : counts.examples) {
            archive(code, ids);
        }
    }

    void readRows(BoundedInputArchive &archive, NameReader &names, OutcomeCounts &counts)
    {
        std::uint16_t team = 0;
        std::uint16_t zone = 0;
        auto code = ResultCode::Ok;
        for (auto rows = archive.readSize(); rows > 0; --rows) {
            archive(team, zone);
            archive(counts.received[{names.at(team), names.at(zone)}]);
        }
        for (auto rows = archive.readSize(); rows > 0; --rows) {
            archive(team, zone, code);
            archive(counts.outcomes[{names.at(team), names.at(zone), code}]);
        }
        for (auto rows = archive.readSize(); rows > 0; --rows) {
            archive(zone);
            readHistogram(archive, counts.latency[names.at(zone)]);
            // A histogram without requests takes 4 bytes in a message and 1.7 KB in memory.
            if (counts.latency.size() > MaxZones) {
                throw cereal::Exception("there are too many zones");
            }
        }
        for (auto rows = archive.readSize(); rows > 0; --rows) {
            archive(code);
            archive(counts.examples[code]);
        }
    }

} // namespace

std::size_t latencyBucket(std::uint64_t us)
{
    if (us < BucketsPerOctave) {
        return us;
    }
    const auto octave = static_cast<unsigned>(std::bit_width(us)) - 1;
    const auto sub = (us >> (octave - SubBits)) & (BucketsPerOctave - 1);
    return std::min<std::size_t>((octave - SubBits + 1) * BucketsPerOctave + sub, LatencyBuckets - 1);
}

std::uint64_t latencyBucketBound(std::size_t bucket)
{
    if (bucket < BucketsPerOctave) {
        return bucket;
    }
    const auto shift = bucket / BucketsPerOctave - 1;
    const std::uint64_t lower = (BucketsPerOctave + bucket % BucketsPerOctave) << shift;
    return lower + (std::uint64_t{1} << shift) - 1;
}

std::uint64_t latencyPercentile(const LatencyHistogram &histogram, double percentile)
{
    std::uint64_t total = 0;
    for (const auto count : histogram.counts) {
        total += count;
    }
    if (total == 0) {
        return 0;
    }
    const auto wanted = static_cast<std::uint64_t>(std::ceil(static_cast<double>(total) * std::clamp(percentile, 0.0, 100.0) / 100.0));
    const auto rank = std::clamp<std::uint64_t>(wanted, 1, total);
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < LatencyBuckets; ++i) {
        sum += histogram.counts[i];
        if (sum >= rank) {
            return latencyBucketBound(i);
        }
    }
    return latencyBucketBound(LatencyBuckets - 1);
}

void mergeCounts(OutcomeCounts &into, const OutcomeCounts &from)
{
    mergeMaps(into.received, from.received);
    mergeMaps(into.outcomes, from.outcomes);
    for (const auto &[zone, histogram] : from.latency) {
        auto &target = into.latency[zone];
        for (std::size_t i = 0; i < LatencyBuckets; ++i) {
            target.counts[i] = std::max(target.counts[i], histogram.counts[i]);
        }
    }
    mergeExamples(into, from);
}

OutcomeCounts changedSince(const OutcomeCounts &before, const OutcomeCounts &now)
{
    OutcomeCounts changed;
    copyChanged(before.received, now.received, changed.received);
    copyChanged(before.outcomes, now.outcomes, changed.outcomes);
    copyChanged(before.latency, now.latency, changed.latency);
    copyChanged(before.examples, now.examples, changed.examples);
    return changed;
}

void addCounts(OutcomeCounts &into, const OutcomeCounts &from)
{
    addMaps(into.received, from.received);
    addMaps(into.outcomes, from.outcomes);
    for (const auto &[zone, histogram] : from.latency) {
        auto &target = into.latency[zone];
        for (std::size_t i = 0; i < LatencyBuckets; ++i) {
            target.counts[i] += histogram.counts[i];
        }
    }
    mergeExamples(into, from);
}

std::string encodeCounts(const OutcomeCounts &counts)
{
    NameWriter names;
    std::string rows;
    BoundedOutputArchive rowArchive(rows);
    writeRows(rowArchive, counts, names);
    std::string bytes(1, CountsVersion);
    BoundedOutputArchive archive(bytes);
    archive(names.names);
    return bytes + rows;
}

std::optional<OutcomeCounts> decodeCounts(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != CountsVersion) {
        return std::nullopt;
    }
    try {
        OutcomeCounts counts;
        std::vector<std::string> names;
        BoundedInputArchive archive(bytes.substr(1));
        archive(names);
        if (names.size() > MaxNames) {
            return std::nullopt;
        }
        NameReader reader{names, bytes.size() * NameCopyFactor};
        readRows(archive, reader, counts);
        return archive.isAtEnd() ? std::optional(std::move(counts)) : std::nullopt;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Filbertlanding
