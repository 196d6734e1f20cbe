/** @file service_state.h Open times of services, daemon incarnations, final counters and accepted gaps. */

#pragma once

#include "catalog/catalog_base.h"

namespace Filbertlanding {

/** Follows an accepted configuration change: services that opened expect counters of every running incarnation. */
void updateOpenServices(ServiceTable &table, const Configuration &configuration, std::uint64_t version);

CommandResult applyDaemonLifeCycleEvent(ServiceTable &table, const DaemonLifeCycleEvent &command);
CommandResult applyFinalCounters(ServiceTable &table, const FinalCounters &command);
CommandResult applyAcceptGap(ServiceTable &table, const AcceptGap &command);

/** Returns whether an incarnation has started and neither stopped nor been replaced by a later one. */
bool isRunning(const ServiceTable &table, const DaemonIncarnation &incarnation);

} // namespace Filbertlanding
