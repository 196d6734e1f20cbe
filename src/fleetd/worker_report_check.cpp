/** @file worker_report_check.cpp Checks the status reports of workers. */

#include "fleetd/worker_report_check.h"

#include "settings/fleet_settings.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace Filbertlanding {

namespace {

    constexpr std::size_t MaxTextBytes = 256; ///< Maximum length of a name, label or address; all of them are part of each snapshot.
    constexpr std::size_t MaxLabels = 64;
    constexpr Duration MaxClockLead{60'000}; ///< Maximum difference of the clocks of two hosts. A start time further ahead would block later incarnations.

    using Error = std::optional<WorkerReportError>;

    bool isTooLong(const std::string &text)
    {
        return text.size() > MaxTextBytes;
    }

    Error checkTexts(const WorkerProfile &profile)
    {
        if (profile.worker.empty() || profile.labels.size() > MaxLabels) {
            return WorkerReportError{ResultCode::BadRequest, "a worker needs a name and at most " + std::to_string(MaxLabels) + " labels"};
        }
        const bool hasLongName = isTooLong(profile.worker) || isTooLong(profile.address) || isTooLong(profile.availabilityZone) || isTooLong(profile.service)
            || isTooLong(profile.machine);
        if (hasLongName || std::any_of(profile.labels.begin(), profile.labels.end(), isTooLong)) {
            return WorkerReportError{ResultCode::BadRequest, "a text is longer than " + std::to_string(MaxTextBytes) + " bytes"};
        }
        return std::nullopt;
    }

    /** Checks that orders can be sent to the address. */
    Error checkAddress(const std::string &text)
    {
        const auto parts = splitAddress(text);
        if (!parts) {
            return WorkerReportError{ResultCode::BadAddress, "the address is not an IP address and a port from 1 to 65535"};
        }
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(parts->first, error);
        const bool isBroadcast = address.is_v4() && address.to_v4() == boost::asio::ip::address_v4::broadcast();
        if (error || address.is_unspecified() || address.is_multicast() || isBroadcast) {
            return WorkerReportError{ResultCode::BadAddress, "the address is not one of a single host"};
        }
        return std::nullopt;
    }

    /** Returns the latest incarnation of a worker, or nullptr. */
    const WorkerIncarnation *findLatest(const FleetState &state, const WorkerName &worker)
    {
        const auto latest = state.latestIncarnation.find(worker);
        const auto found = latest == state.latestIncarnation.end() ? state.incarnations.end() : state.incarnations.find(latest->second);
        return found == state.incarnations.end() ? nullptr : &found->second;
    }

    /** Checks the service of a process that is not registered. */
    Error checkService(const WorkerProfile &profile, const FleetState &state)
    {
        const std::vector<FleetService> &services = state.manifest.services;
        const bool isNamed = std::any_of(services.begin(), services.end(), [&profile](const FleetService &service) {
            return service.name == profile.service;
        });
        if (isNamed) {
            return std::nullopt;
        }
        if (state.manifest.version > 0) {
            return WorkerReportError{ResultCode::ServiceUnknown, "the manifest has no such service"};
        }
        // Workers may start before the first manifest is uploaded, and no task is placed on one whose service is not named later.
        const WorkerIncarnation *predecessor = findLatest(state, profile.worker);
        const bool hasChanged = predecessor != nullptr && predecessor->profile.service != profile.service;
        return hasChanged ? Error(WorkerReportError{ResultCode::ServiceUnknown, "the worker had another service, and no manifest names this one yet"})
                          : std::nullopt;
    }

    /** Checks a report of a registered process, which cannot have moved. Its service may have left the manifest meanwhile. */
    Error checkUnchanged(const WorkerProfile &reported, const WorkerProfile &known)
    {
        const bool isSame = reported.address == known.address && reported.availabilityZone == known.availabilityZone && reported.service == known.service;
        return isSame ? std::nullopt : Error(WorkerReportError{ResultCode::BadRequest, "address, zone and service of a running worker do not change"});
    }

} // namespace

std::optional<WorkerReportError>
findReportError(const FleetWorkerReport &report, const FleetState &state, const std::vector<ZoneName> &availabilityZones, WallTime now)
{
    const WorkerProfile &profile = report.profile;
    if (auto error = checkTexts(profile)) {
        return error;
    }
    const WorkerIncarnation *known = findLatest(state, profile.worker);
    if (known != nullptr && known->profile.startedAtMs == profile.startedAtMs) {
        return checkUnchanged(profile, known->profile);
    }
    if (auto error = checkAddress(profile.address)) {
        return error;
    }
    if (!availabilityZones.empty() && std::find(availabilityZones.begin(), availabilityZones.end(), profile.availabilityZone) == availabilityZones.end()) {
        return WorkerReportError{ResultCode::BadRequest, "no host is in this availability zone"};
    }
    if (profile.startedAtMs > now.ms + MaxClockLead.ms) {
        return WorkerReportError{ResultCode::BadRequest, "the start time is in the future"};
    }
    return checkService(profile, state);
}

} // namespace Filbertlanding
