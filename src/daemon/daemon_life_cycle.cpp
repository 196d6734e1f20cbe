/** @file daemon_life_cycle.cpp Life cycle of the daemon. */

#include "daemon/daemon_life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Filbertlanding {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

namespace {

    struct Configured {
    };
    struct StopRequested {
    };
    struct GraceEnded {
    };
    struct Finished {
    };

    struct LifeCycleDefinition : public msm::front::state_machine_def<LifeCycleDefinition> {
        struct Starting : public msm::front::state<> {
        };
        struct Serving : public msm::front::state<> {
        };
        struct Draining : public msm::front::state<> {
        };
        struct Finishing : public msm::front::state<> {
        };
        struct Stopped : public msm::front::state<> {
        };

        using initial_state = Starting; // NOLINT(readability-identifier-naming): name given by Boost.MSM

        template<class Source, class Event, class Target>
        using Row = msm::front::Row<Source, Event, Target>;

        // NOLINTNEXTLINE(readability-identifier-naming): name given by Boost.MSM
        struct transition_table : mpl::vector<Row<Starting, Configured, Serving>,
                                              Row<Starting, StopRequested, Finishing>,
                                              Row<Serving, StopRequested, Draining>,
                                              Row<Draining, GraceEnded, Finishing>,
                                              Row<Finishing, Finished, Stopped>> {
        };

        template<class Machine, class Event>
        void no_transition(const Event &, Machine &, int)
        {
        }
    };

    using LifeCycleMachine = msm::back::state_machine<LifeCycleDefinition>;

} // namespace

struct DaemonLifeCycle::Machine {
    LifeCycleMachine machine;
};

DaemonLifeCycle::DaemonLifeCycle()
    : machine(std::make_unique<Machine>())
{
    this->machine->machine.start();
}

DaemonLifeCycle::~DaemonLifeCycle() = default;

bool DaemonLifeCycle::handle(DaemonEvent event)
{
    const DaemonState before = this->state();
    switch (event) {
    case DaemonEvent::Configured:
        this->machine->machine.process_event(Configured());
        break;
    case DaemonEvent::StopRequested:
        this->machine->machine.process_event(StopRequested());
        break;
    case DaemonEvent::GraceEnded:
        this->machine->machine.process_event(GraceEnded());
        break;
    case DaemonEvent::Finished:
        this->machine->machine.process_event(Finished());
        break;
    }
    return this->state() != before;
}

DaemonState DaemonLifeCycle::state() const
{
    // The state ids of the machine follow the order of the transition table, which is the order of the enum.
    return static_cast<DaemonState>(this->machine->machine.current_state()[0]);
}

} // namespace Filbertlanding
