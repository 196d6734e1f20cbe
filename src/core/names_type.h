/** @file names_type.h Names of the things that the system deals with. */

#pragma once

#include <cstdint>
#include <string>

namespace Filbertlanding {

using DaemonName = std::string; ///< Name of a daemon, unique in an installation; from its settings.
using WorkerName = std::string; ///< Name of a worker, unique in an installation; announced by the worker.
using ZoneName = std::string; ///< Name of an availability zone.
using ServiceName = std::string; ///< Name of a service, for example quote-desk.
using AccountName = std::string; ///< Name of a client account with API keys and limits; from the manifest.
using TeamName = std::string; ///< Name of a team with a quota.
using CallerName = std::string; ///< Name that a caller gives of itself.
using RequestId = std::string; ///< Identifier of a request, unique for its caller.
using JobId = std::string; ///< Identifier of a batch job, unique in an installation.
using OperationId = std::string; ///< Identifier that makes a change idempotent.

/** Resources of a worker or of a task. */
struct Resources {
    std::int64_t cpuMillis = 0; ///< Thousandths of a processor core.
    std::int64_t memoryMb = 0; ///< Memory in MB.
    std::int64_t accelerators = 0; ///< Number of accelerators.

    bool operator==(const Resources &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(this->cpuMillis, this->memoryMb, this->accelerators);
    }
};

/** Returns the sum of two amounts. */
constexpr Resources operator+(const Resources &left, const Resources &right)
{
    return {left.cpuMillis + right.cpuMillis, left.memoryMb + right.memoryMb, left.accelerators + right.accelerators};
}

/** Returns the difference of two amounts; parts may be negative. */
constexpr Resources operator-(const Resources &left, const Resources &right)
{
    return {left.cpuMillis - right.cpuMillis, left.memoryMb - right.memoryMb, left.accelerators - right.accelerators};
}

/** Returns an amount for a number of tasks. */
constexpr Resources operator*(const Resources &amount, std::uint32_t tasks)
{
    return {amount.cpuMillis * tasks, amount.memoryMb * tasks, amount.accelerators * tasks};
}

/** Returns whether an amount fits into what is available, in every resource. */
constexpr bool fitsInto(const Resources &amount, const Resources &available)
{
    return amount.cpuMillis <= available.cpuMillis && amount.memoryMb <= available.memoryMb && amount.accelerators <= available.accelerators;
}

} // namespace Filbertlanding
