/** @file worker_life_cycle.cpp Life cycle of a worker as a Boost.MSM state machine. */

#include "membership/worker_life_cycle.h"

// The table has more rows than the default length of an MPL vector.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Filbertlanding {

namespace {

    namespace Msm = boost::msm;
    using Msm::front::Row;

    template<WorkerEvent Value>
    struct On {
    };

    template<WorkerState Value>
    struct In : Msm::front::state<> {
        template<class Event, class Fsm>
        void on_entry(const Event &, Fsm &fsm)
        {
            fsm.current = Value;
        }
    };

    using Announced = In<WorkerState::Announced>;
    using Healthy = In<WorkerState::Healthy>;
    using Suspect = In<WorkerState::Suspect>;
    using Quarantined = In<WorkerState::Quarantined>;
    using Leaving = In<WorkerState::Leaving>;
    using Gone = In<WorkerState::Gone>;
    using Reported = On<WorkerEvent::Reported>;
    using ReportOverdue = On<WorkerEvent::ReportOverdue>;
    using LeaseEnded = On<WorkerEvent::LeaseEnded>;
    using HandedOver = On<WorkerEvent::HandedOver>;
    using LeaveAnnounced = On<WorkerEvent::LeaveAnnounced>;
    using LeaveWithdrawn = On<WorkerEvent::LeaveWithdrawn>;
    using QuarantineStarted = On<WorkerEvent::QuarantineStarted>;
    using QuarantineEnded = On<WorkerEvent::QuarantineEnded>;

    struct LifeCycleDefinition : Msm::front::state_machine_def<LifeCycleDefinition> {
        using initial_state = Announced; // NOLINT(readability-identifier-naming): name given by Boost.MSM

        WorkerState current = WorkerState::Announced; ///< Set on entry of each state.

        // NOLINTNEXTLINE(readability-identifier-naming): name given by Boost.MSM
        struct transition_table : boost::mpl::vector<
                                      //  source, event, target
                                      Row<Announced, Reported, Healthy>,
                                      Row<Announced, LeaseEnded, Gone>,
                                      Row<Announced, HandedOver, Gone>,
                                      Row<Announced, LeaveAnnounced, Leaving>,
                                      Row<Healthy, ReportOverdue, Suspect>,
                                      Row<Healthy, LeaseEnded, Gone>,
                                      Row<Healthy, HandedOver, Gone>,
                                      Row<Healthy, LeaveAnnounced, Leaving>,
                                      Row<Healthy, QuarantineStarted, Quarantined>,
                                      Row<Suspect, Reported, Healthy>,
                                      Row<Suspect, LeaseEnded, Gone>,
                                      Row<Suspect, HandedOver, Gone>,
                                      Row<Suspect, LeaveAnnounced, Leaving>,
                                      Row<Suspect, QuarantineStarted, Quarantined>,
                                      Row<Quarantined, ReportOverdue, Suspect>,
                                      Row<Quarantined, LeaseEnded, Gone>,
                                      Row<Quarantined, HandedOver, Gone>,
                                      Row<Quarantined, LeaveAnnounced, Leaving>,
                                      Row<Quarantined, QuarantineEnded, Healthy>,
                                      Row<Leaving, LeaseEnded, Gone>,
                                      Row<Leaving, HandedOver, Gone>,
                                      Row<Leaving, LeaveWithdrawn, Healthy>,
                                      Row<Gone, Reported, Healthy>> {
        };

        template<class Fsm, class Event>
        void no_transition(const Event &, Fsm &, int)
        {
        }
    };

} // namespace

struct WorkerLifeCycle::Machine {
    Msm::back::state_machine<LifeCycleDefinition> backend;
};

WorkerLifeCycle::WorkerLifeCycle()
    : machine(std::make_unique<Machine>())
{
    this->machine->backend.start();
}

WorkerLifeCycle::~WorkerLifeCycle() = default;
WorkerLifeCycle::WorkerLifeCycle(WorkerLifeCycle &&) noexcept = default;
WorkerLifeCycle &WorkerLifeCycle::operator=(WorkerLifeCycle &&) noexcept = default;

WorkerState WorkerLifeCycle::process(WorkerEvent event)
{
    auto &backend = this->machine->backend;
    switch (event) {
    case WorkerEvent::Reported:
        backend.process_event(Reported{});
        break;
    case WorkerEvent::ReportOverdue:
        backend.process_event(ReportOverdue{});
        break;
    case WorkerEvent::LeaseEnded:
        backend.process_event(LeaseEnded{});
        break;
    case WorkerEvent::HandedOver:
        backend.process_event(HandedOver{});
        break;
    case WorkerEvent::LeaveAnnounced:
        backend.process_event(LeaveAnnounced{});
        break;
    case WorkerEvent::LeaveWithdrawn:
        backend.process_event(LeaveWithdrawn{});
        break;
    case WorkerEvent::QuarantineStarted:
        backend.process_event(QuarantineStarted{});
        break;
    case WorkerEvent::QuarantineEnded:
        backend.process_event(QuarantineEnded{});
        break;
    }
    return backend.current;
}

WorkerState WorkerLifeCycle::state() const
{
    return this->machine->backend.current;
}

} // namespace Filbertlanding
