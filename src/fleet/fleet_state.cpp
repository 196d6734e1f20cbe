/** @file fleet_state.cpp Applies commands to the replicated state of the fleet: those on the manifest, zones, maintenance and the learned model here. */

#include "fleet/fleet_state_detail.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace Filbertlanding {

namespace {

    /** Returns the terms of all accounts. A search through the list for each of many open jobs would delay the calls that wait. */
    std::map<std::string_view, const AccountTerms *> termsByName(const FleetManifest &manifest)
    {
        std::map<std::string_view, const AccountTerms *> terms;
        for (const ClientAccount &account : manifest.accounts) {
            terms.emplace(account.terms.name, &account.terms);
        }
        return terms;
    }

    FleetChange apply(FleetState &state, const PutManifest &command)
    {
        FleetChange change;
        if (command.manifest.version <= state.manifest.version) {
            return change;
        }
        change.isApplied = true;
        state.manifest = command.manifest;
        const auto terms = termsByName(state.manifest);
        for (auto &[number, job] : state.jobs) {
            if (hasEnded(job.state)) {
                continue;
            }
            const QueueConfig *queue = findQueueByRoute(state.manifest, job.host, job.pathPrefix);
            if (queue != nullptr) {
                job.queue = *queue;
            }
            // The jobs of an account that was removed keep its last terms.
            const auto account = terms.find(job.account.name);
            if (account != terms.end()) {
                job.account = *account->second;
            }
        }
        return change;
    }

    FleetChange apply(FleetState &state, const SetZoneDrained &command)
    {
        if (command.isDrained) {
            state.drainedZones.insert(command.availabilityZone);
        } else {
            state.drainedZones.erase(command.availabilityZone);
        }
        return {.isApplied = true};
    }

    FleetChange apply(FleetState &state, const StartMaintenanceWave &command)
    {
        if (state.waves.contains(command.wave)) {
            return {};
        }
        MaintenanceWave &wave = state.waves[command.wave];
        wave.duration = command.duration;
        wave.maxConcurrent = std::max<std::uint32_t>(1, command.maxConcurrent);
        for (const std::string &machine : command.machines) {
            wave.machines[machine] = MaintenanceStage::Waiting;
        }
        return {.isApplied = true};
    }

    FleetChange apply(FleetState &state, const SetMaintenanceStage &command)
    {
        const auto wave = state.waves.find(command.wave);
        if (wave == state.waves.end() || !wave->second.machines.contains(command.machine)) {
            return {};
        }
        MaintenanceStage &stage = wave->second.machines.at(command.machine);
        const auto next = static_cast<MaintenanceStage>(std::min<std::uint8_t>(command.stage, static_cast<std::uint8_t>(MaintenanceStage::Finished)));
        stage = std::max(stage, next);
        return {.isApplied = true};
    }

    FleetChange apply(FleetState &state, const SaveLearnedModel &command)
    {
        FleetChange change;
        state.learnedModel = command.model;
        change.isApplied = true;
        return change;
    }

} // namespace

FleetChange applyFleetCommand(FleetState &state, const FleetCommand &command)
{
    FleetChange change = std::visit(
        [&state](const auto &body) {
            return apply(state, body);
        },
        command);
    for (const JobNumber number : change.endedJobs) {
        FleetJob &job = state.jobs.at(number);
        job.endedOnClock = state.retentionClock;
        state.endingJobs.insert(number);
        releaseTasks(job);
        updateJobMemory(state, job);
    }
    return change;
}

} // namespace Filbertlanding
