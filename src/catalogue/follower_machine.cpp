#include "follower_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace lovage {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct StartedFromLog
{ };
struct StartedFromPeer
{ };
struct LogMatches
{ };
struct LogFails
{ };
struct LogDiffers
{ };

// Boost.MSM numbers the states in the order of their first use as a source in the transition table.
// This must be the order of FollowerState.
struct FollowerDefinition : msm::front::state_machine_def<FollowerDefinition>
{
    using no_exception_thrown = int;
    using no_message_queue = int;

    struct Empty : msm::front::state<>
    { };
    struct FollowingLog : msm::front::state<>
    { };
    struct FollowingPeers : msm::front::state<>
    { };
    struct LogBehind : msm::front::state<>
    { };

    using initial_state = Empty;

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        Row<Empty,          StartedFromLog,  FollowingLog,   none, none>,
        Row<Empty,          StartedFromPeer, FollowingPeers, none, none>,
        Row<FollowingLog,   LogFails,        FollowingPeers, none, none>,
        Row<FollowingLog,   LogDiffers,      LogBehind,      none, none>,
        Row<FollowingPeers, LogMatches,      FollowingLog,   none, none>,
        Row<FollowingPeers, LogDiffers,      LogBehind,      none, none>,
        Row<LogBehind,      LogMatches,      FollowingLog,   none, none>
    > { };
    // clang-format on

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    { }
};

} // namespace

struct FollowerMachine::Backend : msm::back::state_machine<FollowerDefinition>
{ };

FollowerMachine::FollowerMachine() : backend_(std::make_unique<Backend>())
{
    backend_->start();
}

FollowerMachine::~FollowerMachine() = default;

bool FollowerMachine::process(FollowerSignal signal)
{
    const FollowerState before = state();
    switch (signal) {
    case FollowerSignal::StartedFromLog:
        backend_->process_event(StartedFromLog {});
        break;
    case FollowerSignal::StartedFromPeer:
        backend_->process_event(StartedFromPeer {});
        break;
    case FollowerSignal::LogMatches:
        backend_->process_event(LogMatches {});
        break;
    case FollowerSignal::LogFails:
        backend_->process_event(LogFails {});
        break;
    case FollowerSignal::LogDiffers:
        backend_->process_event(LogDiffers {});
        break;
    }
    return state() != before;
}

FollowerState FollowerMachine::state() const
{
    return static_cast<FollowerState>(backend_->current_state()[0]);
}

} // namespace lovage
