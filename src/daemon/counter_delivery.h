/** @file counter_delivery.h Brings the outcome counters to the other daemons and, when a service closes, into the log. */

#pragma once

#include "daemon/daemon_base.h"
#include "report/outcome_type.h"

namespace Filbertlanding {

/** Sends the own counters to the voters; control thread. */
void sendCounters(Daemon &daemon);

/** Takes counters of a peer; any thread. */
void receiveCounters(Daemon &daemon, const DaemonName &peer, const std::string &payload);

/** Answers with the counters that this daemon holds of all daemons; any thread. */
void answerReportQuery(Daemon &daemon, const PeerReply &reply);

/** Delivers final counters of closed services once nothing of them is in flight; control thread. */
void deliverFinalCounters(Daemon &daemon, TimePoint now);

/** Delivers the counters of all services, for a planned stop; `done` is called on the control thread. */
void deliverAllCounters(Daemon &daemon, std::function<void(bool delivered)> done);

/** Puts the start of this daemon into the log, so that the report knows whose counters to expect; control thread. */
void announceLife(Daemon &daemon, TimePoint now);

/** Returns the latest counters of a service by daemon incarnation, with the own ones. */
std::map<DaemonIncarnation, OutcomeCounts> liveCounts(const Daemon &daemon, const ServiceName &service);

/** Collects the counters that the voters hold, then calls `done` on the control thread. */
void collectCounters(Daemon &daemon, std::function<void()> done);

} // namespace Filbertlanding
