/** @file worker_order_type.h Orders for workers and what they answer. */

#pragma once

#include "fleet/fleet_type.h"

#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** What a worker is told. */
enum class OrderKind : std::uint8_t {
    Poll, ///< Renew the lease if one is given, and list what runs and what has ended.
    Start,
    Stop,
    Throttle, ///< Let a task work at a share of its speed.
};

/** A task as workers name it. */
struct TaskName {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskName &) const = default;
};

/** One order. */
struct WorkerOrder {
    std::uint64_t number = 0; ///< Number of the order; its answer comes with it.
    OrderKind kind = OrderKind::Poll;
    IncarnationNumber incarnation = 0; ///< Life that it is meant for.
    WorkerName worker;
    std::string address; ///< IP number and port.
    std::uint64_t term = 0; ///< Term of the leader that gives it.
    std::uint64_t fence = 0; ///< Fencing token; workers ignore orders with a lower one than they have seen.
    TaskName task;
    std::uint32_t run = 0;
    std::string payload; ///< Start: what the caller submitted.
    std::string checkpoint; ///< Start: progress to go on from; empty to begin anew.
    std::string ticket; ///< Start: ticket of the advice service; empty where none is needed.
    std::optional<std::int64_t> leaseEndMs; ///< End of the worker's lease on the worker's clock; nothing leaves it as it is.
    std::uint64_t committedThrough = 0; ///< Look: ends up to this number are in the log and may be forgotten.
    Duration wait; ///< Look: the answer may wait so long for an end.
    std::int64_t percent = 100; ///< Pace: share of the speed.
    Duration timeout; ///< Time for the answer.
    bool usesFreshConnection = false; ///< Send it on a new connection, because the one before may have gone silent.
};

/** What became of an order. */
enum class OrderOutcome : std::uint8_t {
    Done,
    Fenced, ///< The worker has seen a higher fence: another leader's, or that of a later order of this one.
    Superseded, ///< Start: a run with this or a higher number was stopped or has ended there.
    LeaseExpired, ///< Start: the lease it names has ended.
    InsufficientCapacity, ///< Start: it does not fit.
    InvalidTicket, ///< Start: the ticket does not hold.
    Unhealthy, ///< The worker does nothing.
    OtherIncarnation, ///< Another life of a worker is at this address.
    Refused, ///< The worker does not understand the order.
    Unreachable, ///< No connection; the worker has not seen the order.
    NoResponse, ///< The worker may carry it out, also later.
};

/** A run that a worker lists as going on. */
struct ListedRun {
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< Share of the speed at which it works; for lasting tasks 100 once it is at work.
    std::int64_t measurement = 0; ///< Tail of the response times in ms for a task with a latency target, otherwise processor use in thousandths.
};

/** An end that a worker lists until it is noted. */
struct ListedEnd {
    std::uint64_t number = 0; ///< Ends of one life are numbered from 1.
    TaskName task;
    std::uint32_t run = 0;
    RunOutcome outcome = RunOutcome::Lost;
    std::string checkpoint;
};

/** Answer to an order. */
struct OrderResponse {
    OrderOutcome outcome = OrderOutcome::NoResponse;
    std::optional<std::int64_t> clockMs; ///< The worker's clock when it answered.
    std::optional<std::int64_t> startedAtMs; ///< Start of the life that answered; only lists name it.
    bool hasLists = false; ///< Whether the lists are there; an answer to a look.
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

} // namespace Filbertlanding
