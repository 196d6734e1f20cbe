/** @file attempt.cpp State machine of an attempt to run a task. */

#include "job/attempt_base.h"

// The default limit of 10 rows is too small for the transition table.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 50
#define FUSION_MAX_VECTOR_SIZE 50

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Filbertlanding {

namespace {

    namespace Msm = boost::msm;
    using Msm::front::Row;

    struct CommandSent {
    };
    struct ReportedRunning {
    };
    struct ThrottleRequested {
    };
    struct UnthrottleRequested {
    };
    struct CheckpointRequested {
    };
    struct Stopped {
    };
    struct Succeeded {
    };
    struct ReportedFailed {
    };
    struct LeaseExpired {
    };

    /** State machine definition. MSM numbers the states by first appearance as a source, then as a target. */
    struct AttemptDefinition : Msm::front::state_machine_def<AttemptDefinition> {
        struct Assigned : Msm::front::state<> {
        };
        struct Starting : Msm::front::state<> {
        };
        struct Running : Msm::front::state<> {
        };
        struct Throttled : Msm::front::state<> {
        };
        struct Checkpointing : Msm::front::state<> {
        };
        struct Evicted : Msm::front::state<> {
        };
        struct Finished : Msm::front::state<> {
        };
        struct Failed : Msm::front::state<> {
        };
        struct Lost : Msm::front::state<> {
        };

        using initial_state = Assigned; // NOLINT(readability-identifier-naming): name required by MSM

        // Reports are delayed, so a result or an error can arrive in every non-terminal state after Assigned.
        struct transition_table // NOLINT(readability-identifier-naming): name required by MSM
            : boost::mpl::vector<Row<Assigned, CommandSent, Starting>,
                                 Row<Starting, ReportedRunning, Running>,
                                 Row<Starting, CheckpointRequested, Checkpointing>,
                                 Row<Starting, Stopped, Evicted>,
                                 Row<Starting, Succeeded, Finished>,
                                 Row<Starting, ReportedFailed, Failed>,
                                 Row<Starting, LeaseExpired, Lost>,
                                 Row<Running, ThrottleRequested, Throttled>,
                                 Row<Running, CheckpointRequested, Checkpointing>,
                                 Row<Running, Stopped, Evicted>,
                                 Row<Running, Succeeded, Finished>,
                                 Row<Running, ReportedFailed, Failed>,
                                 Row<Running, LeaseExpired, Lost>,
                                 Row<Throttled, UnthrottleRequested, Running>,
                                 Row<Throttled, CheckpointRequested, Checkpointing>,
                                 Row<Throttled, Stopped, Evicted>,
                                 Row<Throttled, Succeeded, Finished>,
                                 Row<Throttled, ReportedFailed, Failed>,
                                 Row<Throttled, LeaseExpired, Lost>,
                                 Row<Checkpointing, Stopped, Evicted>,
                                 Row<Checkpointing, Succeeded, Finished>,
                                 Row<Checkpointing, ReportedFailed, Failed>,
                                 Row<Checkpointing, LeaseExpired, Lost>> {
        };

        template<class Event, class Machine>
        void no_transition(const Event &, Machine &, int)
        {
            // Duplicate and late reports are expected.
        }
    };

    using AttemptMachine = Msm::back::state_machine<AttemptDefinition>;

    /** Archive that restores an MSM machine. Only the id of the active state is set; other members are ignored. */
    struct StateIdArchive {
        int id; ///< State id to restore.

        StateIdArchive &operator&(int (&states)[1])
        {
            states[0] = this->id;
            return *this;
        }

        template<class Other>
        StateIdArchive &operator&(Other &)
        {
            return *this;
        }
    };

} // namespace

AttemptState nextAttemptState(AttemptState state, AttemptEvent event)
{
    AttemptMachine machine;
    StateIdArchive archive{static_cast<int>(state)};
    machine.serialize(archive, 0);
    switch (event) {
    case AttemptEvent::CommandSent:
        machine.process_event(CommandSent{});
        break;
    case AttemptEvent::ReportedRunning:
        machine.process_event(ReportedRunning{});
        break;
    case AttemptEvent::ThrottleRequested:
        machine.process_event(ThrottleRequested{});
        break;
    case AttemptEvent::UnthrottleRequested:
        machine.process_event(UnthrottleRequested{});
        break;
    case AttemptEvent::CheckpointRequested:
        machine.process_event(CheckpointRequested{});
        break;
    case AttemptEvent::Stopped:
        machine.process_event(Stopped{});
        break;
    case AttemptEvent::Succeeded:
        machine.process_event(Succeeded{});
        break;
    case AttemptEvent::ReportedFailed:
        machine.process_event(ReportedFailed{});
        break;
    case AttemptEvent::LeaseExpired:
        machine.process_event(LeaseExpired{});
        break;
    }
    return static_cast<AttemptState>(machine.current_state()[0]);
}

} // namespace Filbertlanding
