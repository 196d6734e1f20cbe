/** @file fleet_state_workers.cpp Applies the commands on incarnations of workers. */

#include "fleet/fleet_state_detail.h"

namespace Filbertlanding {

namespace {

    /** Updates the profile of an incarnation, unless the report is older than the last one. Draining is final, so it counts in any report. */
    FleetChange updateProfile(WorkerIncarnation &incarnation, const RegisterWorker &command)
    {
        const bool isOutdated = command.reportSequence < incarnation.reportSequence;
        const bool wasDraining = incarnation.profile.isDraining;
        const bool startsDraining = command.profile.isDraining && !wasDraining;
        if (isOutdated && !startsDraining) {
            return {};
        }
        if (!isOutdated) {
            incarnation.profile = command.profile;
            incarnation.reportSequence = command.reportSequence;
        }
        incarnation.profile.isDraining = wasDraining || startsDraining;
        FleetChange change;
        change.isApplied = true;
        change.incarnation = incarnation.number;
        return change;
    }

} // namespace

FleetChange apply(FleetState &state, const RegisterWorker &command)
{
    FleetChange change;
    const WorkerProfile &profile = command.profile;
    const auto latest = state.latestIncarnation.find(profile.worker);
    if (latest != state.latestIncarnation.end()) {
        WorkerIncarnation &known = state.incarnations.at(latest->second);
        if (profile.startedAtMs < known.profile.startedAtMs) {
            return change;
        }
        if (profile.startedAtMs == known.profile.startedAtMs) {
            return updateProfile(known, command);
        }
        if (known.hasEnded) {
            state.incarnations.erase(latest->second);
        }
    }
    const IncarnationNumber number = ++state.lastIncarnationNumber;
    WorkerIncarnation &added = state.incarnations[number];
    added.number = number;
    added.profile = profile;
    added.hasPredecessor = latest != state.latestIncarnation.end();
    added.reportSequence = command.reportSequence;
    state.latestIncarnation[profile.worker] = number;
    change.isApplied = true;
    change.isNewIncarnation = true;
    change.incarnation = number;
    return change;
}

FleetChange apply(FleetState &state, const EndIncarnation &command)
{
    FleetChange change;
    const auto found = state.incarnations.find(command.incarnation);
    if (found == state.incarnations.end() || found->second.hasEnded) {
        return change;
    }
    change.isApplied = true;
    change.incarnation = command.incarnation;
    change.endedIncarnations.push_back(command.incarnation);
    for (auto &[number, job] : state.jobs) {
        removeRunsOn(state, job, command.incarnation);
        releaseAfterRun(state, job);
    }
    found->second.hasEnded = true;
    if (state.latestIncarnation.at(found->second.profile.worker) != command.incarnation) {
        state.incarnations.erase(found);
    }
    return change;
}

} // namespace Filbertlanding
