/** @file config_type.h The merged and checked configuration. */

#pragma once

#include "core/clock_type.h"
#include "core/name_table.h"
#include "core/names_type.h"

#include <map>
#include <optional>

namespace Filbertlanding {

/** Whether a service takes new requests and jobs. */
enum class ServiceState : std::uint8_t { Open, Closed };

/** Whether an availability zone takes new tasks. */
enum class ZoneState : std::uint8_t { InService, Drained };

/** What operators want of a worker. */
enum class WorkerIntent : std::uint8_t { InService, Leaving };

/** What placement favours when latency-critical requests and batch jobs conflict. */
enum class Weighing : std::uint8_t { Latency, Throughput };

constexpr auto ServiceStateNames = makeNameTable<ServiceState>({{ServiceState::Open, "open"}, {ServiceState::Closed, "closed"}});
constexpr auto ZoneStateNames = makeNameTable<ZoneState>({{ZoneState::InService, "in-service"}, {ZoneState::Drained, "drained"}});
constexpr auto WorkerIntentNames = makeNameTable<WorkerIntent>({{WorkerIntent::InService, "in-service"}, {WorkerIntent::Leaving, "leaving"}});
constexpr auto WeighingNames = makeNameTable<Weighing>({{Weighing::Latency, "latency"}, {Weighing::Throughput, "throughput"}});

/** Configuration of a service. */
struct ServiceConfig {
    ServiceState state = ServiceState::Open; ///< Key "state".
    Duration defaultTimeout{2000}; ///< Key "defaultTimeoutMs": timeout of a request that names none.
    std::int64_t queueLimit = 1000; ///< Key "queueLimit": requests that may wait on one daemon.
    std::int64_t retryBudgetPercent = 10; ///< Key "retryBudgetPercent": retries allowed, in percent of the requests.
    std::int64_t retryBudgetMinPerSecond = 10; ///< Key "retryBudgetMinPerSecond": retries a second that are always allowed.
    std::int64_t maxEvictionsPerMinute = 30; ///< Key "maxEvictionsPerMinute": batch evictions of the service in 60 s.

    bool operator==(const ServiceConfig &) const = default;
};

/** Configuration of a team. Without a value a quota does not limit. */
struct TeamConfig {
    std::int64_t weight = 1; ///< Key "weight": share relative to the other teams.
    std::optional<std::int64_t> quotaSlots; ///< Key "quotaSlots": latency-critical requests in flight on one daemon.
    std::optional<std::int64_t> quotaCpuMillis; ///< Key "quotaCpuMillis": processor share of running batch tasks, in thousandths of a core.
    std::optional<std::int64_t> quotaMemoryMb; ///< Key "quotaMemoryMb": memory of running batch tasks in MB.

    bool operator==(const TeamConfig &) const = default;
};

/** Configuration of an availability zone. */
struct ZoneConfig {
    ZoneState state = ZoneState::InService; ///< Key "state".
    Duration drainLimit{600000}; ///< Key "drainLimitMs": after this time of a drain the remaining jobs are forced out.

    bool operator==(const ZoneConfig &) const = default;
};

/** Configuration of a worker. */
struct WorkerConfig {
    WorkerIntent state = WorkerIntent::InService; ///< Key "state".

    bool operator==(const WorkerConfig &) const = default;
};

/** Choice of policies. */
struct PolicyConfig {
    Weighing weighing = Weighing::Latency; ///< Key "weighing".
    std::string routing = "least-wait"; ///< Key "routing": name of the routing plug-in.
    std::string placement = "interference"; ///< Key "placement": name of the placement plug-in.

    bool operator==(const PolicyConfig &) const = default;
};

/** The whole configuration. Zones and workers that are not named are in service. */
struct Configuration {
    std::map<ServiceName, ServiceConfig> services; ///< Section "services".
    std::map<TeamName, TeamConfig> teams; ///< Section "teams".
    std::map<ZoneName, ZoneConfig> availabilityZones; ///< Section "availabilityZones".
    std::map<WorkerName, WorkerConfig> workers; ///< Section "workers".
    PolicyConfig policy; ///< Section "policy".

    bool operator==(const Configuration &) const = default;

    /** Returns whether operators have drained a zone. */
    bool isDrained(const ZoneName &zone) const
    {
        const auto found = this->availabilityZones.find(zone);
        return found != this->availabilityZones.end() && found->second.state == ZoneState::Drained;
    }
};

} // namespace Filbertlanding
