/** @file raft_role.cpp Life cycle of a replica's role as a Boost.MSM state machine. */

#include "replication/raft_role.h"

#include "core/name_table.h"
#include "replication/raft_func.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace Filbertlanding {

namespace {

    namespace Front = boost::msm::front;

    template<RaftRoleEvent Value>
    struct RoleEvent {
    };

    using ElectionTimeout = RoleEvent<RaftRoleEvent::ElectionTimeout>;
    using PreVoteWon = RoleEvent<RaftRoleEvent::PreVoteWon>;
    using LeadershipOffered = RoleEvent<RaftRoleEvent::LeadershipOffered>;
    using ElectionWon = RoleEvent<RaftRoleEvent::ElectionWon>;
    using SteppedDown = RoleEvent<RaftRoleEvent::SteppedDown>;
    using Removed = RoleEvent<RaftRoleEvent::Removed>;
    using Promoted = RoleEvent<RaftRoleEvent::Promoted>;

    /** A state that notes the role it stands for when it is entered. */
    template<RaftRole Value>
    struct RoleState : Front::state<> {
        template<class Event, class Machine>
        void on_entry(const Event &, Machine &machine)
        {
            machine.current = Value;
        }
    };

    struct RoleMachineDef : Front::state_machine_def<RoleMachineDef> {
        using Follower = RoleState<RaftRole::Follower>;
        using PreCandidate = RoleState<RaftRole::PreCandidate>;
        using Candidate = RoleState<RaftRole::Candidate>;
        using Leader = RoleState<RaftRole::Leader>;
        using Learner = RoleState<RaftRole::Learner>;
        using initial_state = Follower; // NOLINT(readability-identifier-naming): the name is given by Boost.MSM

        RaftRole current = RaftRole::Follower;

        // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming): the name is given by Boost.MSM
        Front::Row<Follower,     ElectionTimeout, PreCandidate>,
        Front::Row<PreCandidate, ElectionTimeout, PreCandidate>,
        Front::Row<Candidate,    ElectionTimeout, PreCandidate>,
        Front::Row<PreCandidate, PreVoteWon,      Candidate>,
        Front::Row<Follower,     LeadershipOffered, Candidate>,
        Front::Row<Candidate,    ElectionWon,     Leader>,
        Front::Row<Follower,     SteppedDown,     Follower>,
        Front::Row<PreCandidate, SteppedDown,     Follower>,
        Front::Row<Candidate,    SteppedDown,     Follower>,
        Front::Row<Leader,       SteppedDown,     Follower>,
        Front::Row<Follower,     Removed,         Learner>,
        Front::Row<PreCandidate, Removed,         Learner>,
        Front::Row<Candidate,    Removed,         Learner>,
        Front::Row<Leader,       Removed,         Learner>,
        Front::Row<Learner,      Promoted,        Follower>
    > {};
        // clang-format on

        template<class Machine, class Event>
        void no_transition(const Event &, Machine &, int)
        {
        }
    };

    using RoleMachine = boost::msm::back::state_machine<RoleMachineDef>;

    void processRoleEvent(RoleMachine &machine, RaftRoleEvent event)
    {
        switch (event) {
        case RaftRoleEvent::ElectionTimeout:
            machine.process_event(ElectionTimeout());
            break;
        case RaftRoleEvent::PreVoteWon:
            machine.process_event(PreVoteWon());
            break;
        case RaftRoleEvent::LeadershipOffered:
            machine.process_event(LeadershipOffered());
            break;
        case RaftRoleEvent::ElectionWon:
            machine.process_event(ElectionWon());
            break;
        case RaftRoleEvent::SteppedDown:
            machine.process_event(SteppedDown());
            break;
        case RaftRoleEvent::Removed:
            machine.process_event(Removed());
            break;
        case RaftRoleEvent::Promoted:
            machine.process_event(Promoted());
            break;
        }
    }

    /** Returns a machine in a role. The replica keeps only the role, so that RaftState stays a plain struct. */
    RoleMachine machineInRole(RaftRole role)
    {
        RoleMachine machine;
        machine.start();
        if (role == RaftRole::Learner) {
            processRoleEvent(machine, RaftRoleEvent::Removed);
        }
        if (role == RaftRole::PreCandidate || role == RaftRole::Candidate || role == RaftRole::Leader) {
            processRoleEvent(machine, RaftRoleEvent::ElectionTimeout);
        }
        if (role == RaftRole::Candidate || role == RaftRole::Leader) {
            processRoleEvent(machine, RaftRoleEvent::PreVoteWon);
        }
        if (role == RaftRole::Leader) {
            processRoleEvent(machine, RaftRoleEvent::ElectionWon);
        }
        return machine;
    }

    constexpr auto RoleNames = makeNameTable<RaftRole>({
        {RaftRole::Follower, "follower"},
        {RaftRole::PreCandidate, "pre-candidate"},
        {RaftRole::Candidate, "candidate"},
        {RaftRole::Leader, "leader"},
        {RaftRole::Learner, "learner"},
    });

} // namespace

RaftRole nextRole(RaftRole role, RaftRoleEvent event)
{
    RoleMachine machine = machineInRole(role);
    processRoleEvent(machine, event);
    return machine.current;
}

std::string_view roleName(RaftRole role)
{
    return RoleNames.nameOf(role);
}

} // namespace Filbertlanding
