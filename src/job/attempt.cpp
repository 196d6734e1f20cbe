/** @file attempt.cpp State machine of an attempt to run a task. */

#include "job/attempt_base.h"

// The default of 10 rows is too small for this table.
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
    struct ThrottleOrdered {
    };
    struct UnthrottleOrdered {
    };
    struct CheckpointOrdered {
    };
    struct Stopped {
    };
    struct Succeeded {
    };
    struct Broke {
    };
    struct LeaseEnded {
    };

    /** The machine. MSM numbers the states in the order in which they first appear as a source, then as a target. */
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

        // A result or an error can arrive in every live state, since reports are late.
        struct transition_table // NOLINT(readability-identifier-naming): name required by MSM
            : boost::mpl::vector<Row<Assigned, CommandSent, Starting>,
                                 Row<Starting, ReportedRunning, Running>,
                                 Row<Starting, CheckpointOrdered, Checkpointing>,
                                 Row<Starting, Stopped, Evicted>,
                                 Row<Starting, Succeeded, Finished>,
                                 Row<Starting, Broke, Failed>,
                                 Row<Starting, LeaseEnded, Lost>,
                                 Row<Running, ThrottleOrdered, Throttled>,
                                 Row<Running, CheckpointOrdered, Checkpointing>,
                                 Row<Running, Stopped, Evicted>,
                                 Row<Running, Succeeded, Finished>,
                                 Row<Running, Broke, Failed>,
                                 Row<Running, LeaseEnded, Lost>,
                                 Row<Throttled, UnthrottleOrdered, Running>,
                                 Row<Throttled, CheckpointOrdered, Checkpointing>,
                                 Row<Throttled, Stopped, Evicted>,
                                 Row<Throttled, Succeeded, Finished>,
                                 Row<Throttled, Broke, Failed>,
                                 Row<Throttled, LeaseEnded, Lost>,
                                 Row<Checkpointing, Stopped, Evicted>,
                                 Row<Checkpointing, Succeeded, Finished>,
                                 Row<Checkpointing, Broke, Failed>,
                                 Row<Checkpointing, LeaseEnded, Lost>> {
        };

        template<class Event, class Machine>
        void no_transition(const Event &, Machine &, int)
        {
            // Doubled and late reports are normal.
        }
    };

    using AttemptMachine = Msm::back::state_machine<AttemptDefinition>;

    /** Archive through which MSM restores a machine; of its members only the id of the active state matters here. */
    struct StateIdArchive {
        int id; ///< The state id to restore.

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
    case AttemptEvent::ThrottleOrdered:
        machine.process_event(ThrottleOrdered{});
        break;
    case AttemptEvent::UnthrottleOrdered:
        machine.process_event(UnthrottleOrdered{});
        break;
    case AttemptEvent::CheckpointOrdered:
        machine.process_event(CheckpointOrdered{});
        break;
    case AttemptEvent::Stopped:
        machine.process_event(Stopped{});
        break;
    case AttemptEvent::Succeeded:
        machine.process_event(Succeeded{});
        break;
    case AttemptEvent::Broke:
        machine.process_event(Broke{});
        break;
    case AttemptEvent::LeaseEnded:
        machine.process_event(LeaseEnded{});
        break;
    }
    return static_cast<AttemptState>(machine.current_state()[0]);
}

} // namespace Filbertlanding
