/** @file worker_order_type.h Orders that the leader sends to workers, and their responses. */

#pragma once

#include "fleet/fleet_type.h"

#include <optional>
#include <string>
#include <vector>

namespace Filbertlanding {

/** Kind of an order. */
enum class OrderKind : std::uint8_t {
    Poll, ///< Renew the lease if one is granted, and list running and ended runs.
    Start,
    Stop,
    Throttle, ///< Limit the speed of a task.
};

/** Name by which workers identify a task. */
struct TaskName {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskName &) const = default;
};

/** An order to a worker. */
struct WorkerOrder {
    std::uint64_t number = 0; ///< Number of the order, which identifies its response.
    OrderKind kind = OrderKind::Poll;
    IncarnationNumber incarnation = 0; ///< Incarnation to which the order is addressed.
    WorkerName worker;
    std::string address; ///< IP address and port.
    std::uint64_t term = 0; ///< Raft term of the leader that sends the order.
    std::uint64_t fence = 0; ///< Fencing token; workers reject orders with a lower one than the highest that they have seen.
    TaskName task;
    std::uint32_t run = 0;
    std::string payload; ///< Start: payload submitted by the caller.
    std::string checkpoint; ///< Start: checkpoint to resume from; empty to start from the beginning.
    std::string ticket; ///< Start: ticket of the queue's hint service; empty if none is required.
    std::optional<std::int64_t> leaseEndMs; ///< New end of the worker's lease on the worker's clock; nothing keeps the present lease.
    std::uint64_t committedThrough = 0; ///< Poll: ends up to this number are committed and may be discarded.
    Duration wait; ///< Poll: maximum time for which the worker may delay the response until a run ends.
    std::int64_t percent = 100; ///< Throttle: speed limit in percent of the full speed.
    Duration timeout; ///< Response timeout.
    bool usesFreshConnection = false; ///< Open a new connection for the order, because the previous one may be dead.
};

/** Outcome of an order. */
enum class OrderOutcome : std::uint8_t {
    Done,
    Fenced, ///< The worker has seen a higher fence, from another leader or from a later order of this one.
    Superseded, ///< Start: a run of the task with this or a higher number has been stopped or has ended on the worker.
    LeaseExpired, ///< Start: the lease end of the order has passed.
    InsufficientCapacity, ///< Start: the task does not fit on the worker.
    InvalidTicket, ///< Start: the ticket is invalid.
    Unhealthy, ///< The worker is unable to execute orders.
    OtherIncarnation, ///< Another incarnation has the address.
    Refused, ///< The worker rejects the order for another reason.
    Unreachable, ///< No connection in time; the worker has not received the order.
    NoResponse, ///< No response; the worker may execute the order, also later.
    NotListening, ///< The connection is refused: the process has ended, or something on the way refuses it. The worker has not received the order.
};

/** A running task in a worker's list. */
struct ListedRun {
    TaskName task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< Progress in percent; for long-running tasks 100 once the task is ready.
    std::int64_t measurement = 0; ///< Tail latency in ms for a task with a latency target, otherwise CPU use in thousandths of a core.
};

/** An ended run in a worker's list. The worker lists it until it is told to discard it. */
struct ListedEnd {
    std::uint64_t number = 0; ///< Number of the end; ends of an incarnation are numbered from 1.
    TaskName task;
    std::uint32_t run = 0;
    RunOutcome outcome = RunOutcome::Lost;
    std::string checkpoint;
};

/** Response to an order. */
struct OrderResponse {
    OrderOutcome outcome = OrderOutcome::NoResponse;
    std::optional<std::int64_t> clockMs; ///< Worker's clock at the time of the response.
    std::optional<std::int64_t> startedAtMs; ///< Process start of the responding incarnation; only present with lists.
    bool hasLists = false; ///< Whether the response contains the lists, as responses to polls do.
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

} // namespace Filbertlanding
