#include "lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace lovage::daemon {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Ready
{ };
struct StopRequested
{ };
struct DrainEnded
{
    bool wasOrderly = true;
};

struct EnterServing
{
    template<class Event, class Machine, class Source, class Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.actions->enterServing();
    }
};
struct EnterDraining
{
    template<class Event, class Machine, class Source, class Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.actions->enterDraining();
    }
};
struct EndDrainNow
{
    template<class Event, class Machine, class Source, class Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.actions->endDrainNow();
    }
};
struct EnterStopped
{
    template<class Machine, class Source, class Target>
    void operator()(const DrainEnded &event, Machine &machine, Source &, Target &) const
    {
        machine.actions->enterStopped(event.wasOrderly);
    }
};

struct MachineFront : msm::front::state_machine_def<MachineFront>
{
    using no_exception_thrown = int;
    using no_message_queue = int;

    struct Starting : msm::front::state<>
    { };
    struct Serving : msm::front::state<>
    { };
    struct Draining : msm::front::state<>
    { };
    struct Stopped : msm::front::state<>
    { };
    using initial_state = Starting;

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT(readability-identifier-naming)
        //   Start     Event          Next      Action
        Row<Starting, Ready,         Serving,  EnterServing,  none>,
        Row<Starting, StopRequested, Draining, EnterDraining, none>,
        Row<Serving,  StopRequested, Draining, EnterDraining, none>,
        Row<Draining, StopRequested, none,     EndDrainNow,   none>,
        Row<Draining, DrainEnded,    Stopped,  EnterStopped,  none>
    > {};
    // clang-format on

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    { }

    LifeCycleActions *actions = nullptr;
};

} // namespace

struct LifeCycle::Machine
{
    msm::back::state_machine<MachineFront> states;
};

LifeCycle::LifeCycle(LifeCycleActions &actions) : machine_(std::make_unique<Machine>())
{
    machine_->states.actions = &actions;
    machine_->states.start();
}

LifeCycle::~LifeCycle() = default;

void LifeCycle::ready()
{
    machine_->states.process_event(Ready {});
}

void LifeCycle::stopRequested()
{
    machine_->states.process_event(StopRequested {});
}

void LifeCycle::drainFinished(bool wasOrderly)
{
    machine_->states.process_event(DrainEnded {wasOrderly});
}

DaemonState LifeCycle::state() const
{
    // Boost.MSM numbers the states in the order of their first use in the transition table.
    switch (machine_->states.current_state()[0]) {
    case 0:
        return DaemonState::Starting;
    case 1:
        return DaemonState::Serving;
    case 2:
        return DaemonState::Draining;
    default:
        return DaemonState::Stopped;
    }
}

} // namespace lovage::daemon
