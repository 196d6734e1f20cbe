/** @file fleet_orders.cpp Runs of the scheduler, and execution of its actions as log entries and worker orders. */

#include "core/clock_func.h"
#include "fleetd/fleet_core.h"
#include "runtime/log_func.h"

#include <boost/asio/post.hpp>

namespace Filbertlanding {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds TickInterval{20}; ///< Maximum delay of orders that are triggered by time alone.
    constexpr std::chrono::milliseconds AnswerBatchInterval{
        4}; ///< Worker responses within this interval are processed in one scheduler run, since each run visits all workers.

} // namespace

void FleetCore::executeActions(SchedulerActions actions)
{
    if (actions.isDeposed) {
        logLine(LogArea::Worker, LogLevel::Warn, "fenced", {{"term", this->status.term}});
        this->endLeadership("a worker has seen a higher fencing token");
        return;
    }
    for (const RunNotice &notice : actions.notices) {
        this->noteRun(notice);
    }
    for (FleetCommand &command : actions.propose) {
        this->propose(std::move(command));
    }
    for (WorkerOrder &order : actions.orders) {
        this->sendOrder(std::move(order));
    }
}

void FleetCore::sendOrder(WorkerOrder order)
{
    const auto target = splitAddress(order.address);
    if (!target) {
        logLine(LogArea::Worker, LogLevel::Warn, "bad_worker_address", {{"worker", order.worker}, {"address", order.address}});
        // An older version may have registered the worker. The order fails like any other that reaches nobody.
        asio::post(this->io, [this, sent = std::move(order)] {
            OrderResponse response;
            response.outcome = OrderOutcome::Unreachable;
            this->handleOrderResponse(sent, response);
        });
        return;
    }
    ++this->counters.ordersSent;
    HttpRequest request = this->adapter.serializeOrder(order);
    const HttpSendOptions options{order.timeout, order.usesFreshConnection};
    const HttpAddress address{target->first, target->second};
    this->client.send(address, std::move(request), options, [this, sent = std::move(order)](const HttpExchange &exchange) {
        const LoopTimer timer(this->times, LoopPart::OrderResponses);
        this->handleOrderResponse(sent, this->adapter.parseOrderResponse(sent, exchange));
    });
}

void FleetCore::handleOrderResponse(const WorkerOrder &order, const OrderResponse &response)
{
    if (!this->scheduler || this->scheduler->term != order.term || this->handover.stage != HandoverStage::None) {
        return;
    }
    if (response.outcome != OrderOutcome::Done) {
        this->counters.ordersUnanswered += response.outcome == OrderOutcome::NoResponse ? 1 : 0;
        logLine(LogArea::Worker,
                LogLevel::Info,
                "order_not_done",
                {{"worker", order.worker},
                 {"kind", static_cast<int>(order.kind)},
                 {"outcome", static_cast<int>(response.outcome)},
                 {"job", order.task.job},
                 {"step", order.task.step},
                 {"index", order.task.index},
                 {"run", order.run},
                 {"term", order.term},
                 {"fence", order.fence}});
    }
    this->executeActions(handleResponse(*this->scheduler, this->state, order.number, response, steadyNow(), wallNow()));
    this->advanceTick();
}

void FleetCore::runScheduler()
{
    if (!this->scheduler) {
        return;
    }
    if (!this->isStopping && this->handover.stage == HandoverStage::None) {
        const LoopTimer timer(this->times, LoopPart::SchedulerTick);
        this->scheduler->isLogFull = this->isLogFull();
        this->executeActions(schedulerTick(*this->scheduler, this->state, steadyNow(), wallNow(), this->replication.leaseEnd()));
        if (this->scheduler) {
            this->logHeldTasks();
            this->logFleetLoad();
        }
    }
    this->flush();
}

void FleetCore::armTick()
{
    this->isTickAdvanced = false;
    this->tickTimer.expires_after(TickInterval);
    this->waitForTick();
}

void FleetCore::waitForTick()
{
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error || !this->scheduler) {
            return;
        }
        this->runScheduler();
        if (this->scheduler) {
            this->armTick();
        }
    });
}

void FleetCore::advanceTick()
{
    if (!this->scheduler || this->isTickAdvanced) {
        return;
    }
    this->isTickAdvanced = true;
    this->tickTimer.expires_after(AnswerBatchInterval);
    this->waitForTick();
}

} // namespace Filbertlanding
