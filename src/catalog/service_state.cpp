/** @file service_state.cpp Open times of services, daemon incarnations, final counters and accepted gaps. */

#include "catalog/service_state.h"

#include "catalog/command_result.h"
#include "catalog/intent_merge.h"

namespace Filbertlanding {

namespace {

    void openService(ServiceTable &table, ServiceRecord &record, std::uint64_t version)
    {
        record.open = true;
        record.closedVersion = 0;
        record.firstVersion = record.firstVersion == 0 ? version : record.firstVersion;
        // Counts that were final at an earlier close are not final any more for those that go on serving.
        for (const auto &[name, daemon] : table.daemons) {
            if (daemon.running) {
                auto &served = record.served[{name, daemon.incarnation}];
                served.delivered = false;
                served.gapAccepted = false;
            }
        }
    }

    IncarnationCounters *findIncarnationCounters(ServiceTable &table, const ServiceName &service, const DaemonIncarnation &incarnation)
    {
        const auto found = table.services.find(service);
        if (found == table.services.end()) {
            return nullptr;
        }
        const auto served = found->second.served.find(incarnation);
        return served == found->second.served.end() ? nullptr : &served->second;
    }

    bool isAnyServiceFull(const ServiceTable &table)
    {
        for (const auto &[name, service] : table.services) {
            if (service.open && service.served.size() >= MaxIncarnationsPerService) {
                return true;
            }
        }
        return false;
    }

    CommandResult startDaemon(ServiceTable &table, const DaemonLifeCycleEvent &command)
    {
        const auto found = table.daemons.find(command.daemon);
        if (found != table.daemons.end() && command.incarnation <= found->second.incarnation) {
            return command.incarnation == found->second.incarnation ? CommandResult{} : refuse(ResultCode::StaleEpoch);
        }
        if (!isValidName(command.daemon) || command.incarnation == 0) {
            return refuse(ResultCode::BadRequest, "the name or the incarnation of the daemon is malformed");
        }
        if (found == table.daemons.end() && table.daemons.size() >= MaxDaemons) {
            return refuse(ResultCode::TableFull, "there are too many daemon names");
        }
        if (isAnyServiceFull(table)) {
            return refuse(ResultCode::TableFull, "an open service remembers too many daemon incarnations");
        }
        table.daemons[command.daemon] = {command.incarnation, true};
        for (auto &[name, service] : table.services) {
            if (service.open) {
                service.served[{command.daemon, command.incarnation}] = {};
            }
        }
        return {};
    }

    CommandResult stopDaemon(ServiceTable &table, const DaemonLifeCycleEvent &command)
    {
        const auto found = table.daemons.find(command.daemon);
        if (found == table.daemons.end() || found->second.incarnation != command.incarnation) {
            return refuse(ResultCode::StaleEpoch);
        }
        found->second.running = false;
        return {};
    }

} // namespace

void updateOpenServices(ServiceTable &table, const Configuration &configuration, std::uint64_t version)
{
    for (const auto &[name, service] : configuration.services) {
        if (service.state != ServiceState::Open) {
            continue;
        }
        auto &record = table.services[name];
        if (!record.open) {
            openService(table, record, version);
        }
    }
    for (auto &[name, record] : table.services) {
        const auto found = configuration.services.find(name);
        const bool isOpen = found != configuration.services.end() && found->second.state == ServiceState::Open;
        if (record.open && !isOpen) {
            record.open = false;
            record.closedVersion = version;
        }
    }
}

CommandResult applyDaemonLifeCycleEvent(ServiceTable &table, const DaemonLifeCycleEvent &command)
{
    return command.started ? startDaemon(table, command) : stopDaemon(table, command);
}

CommandResult applyFinalCounters(ServiceTable &table, const FinalCounters &command)
{
    auto *served = findIncarnationCounters(table, command.service, {command.daemon, command.incarnation});
    if (served == nullptr) {
        return refuse(ResultCode::NotFound, "the service does not expect counters of this daemon and incarnation");
    }
    if (command.revision == 0) {
        return refuse(ResultCode::OutOfRange, "revisions begin with 1");
    }
    if (command.counters.size() > MaxCounterBytes) {
        return refuse(ResultCode::TooLarge);
    }
    // A late duplicate of an older delivery must not replace newer counts, since counters only grow.
    if (command.revision < served->revision) {
        return refuse(ResultCode::StaleEpoch, "newer counters of this incarnation are known");
    }
    if (command.revision == served->revision) {
        return {};
    }
    served->delivered = true;
    served->revision = command.revision;
    served->counters = command.counters;
    return {};
}

CommandResult applyAcceptGap(ServiceTable &table, const AcceptGap &command)
{
    if (command.operatorName.empty() || command.operatorName.size() > MaxNameBytes) {
        return refuse(ResultCode::MissingField, "the operator's name has 1 to 100 bytes");
    }
    const DaemonIncarnation incarnation{command.daemon, command.incarnation};
    auto *served = findIncarnationCounters(table, command.service, incarnation);
    if (served == nullptr || served->delivered) {
        return refuse(ResultCode::GapNotFound);
    }
    const bool isServing = table.services.at(command.service).open && isRunning(table, incarnation);
    if (isServing) {
        return refuse(ResultCode::GapNotFound, "the incarnation still serves the service");
    }
    if (served->gapAccepted) {
        return {};
    }
    served->gapAccepted = true;
    served->gapOperator = command.operatorName;
    served->gapWallTime = command.wallTime;
    return {};
}

bool isRunning(const ServiceTable &table, const DaemonIncarnation &incarnation)
{
    const auto found = table.daemons.find(incarnation.daemon);
    return found != table.daemons.end() && found->second.running && found->second.incarnation == incarnation.incarnation;
}

} // namespace Filbertlanding
