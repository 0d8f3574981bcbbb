#include "attempt.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cassert>

namespace lovage::dispatch {

namespace {

namespace msm = boost::msm;

struct SendEvent
{ };
struct AcceptEvent
{ };
struct InquireEvent
{ };
struct ResolveEvent
{ };
struct AbandonEvent
{ };

struct AttemptDefinition : msm::front::state_machine_def<AttemptDefinition>
{
    // Events are processed one at a time, so the machine needs no event queues. Without them it
    // allocates no memory.
    using no_message_queue = int;
    using no_exception_thrown = int;

    struct Queued : msm::front::state<>
    { };
    struct Sent : msm::front::state<>
    { };
    struct Running : msm::front::state<>
    { };
    struct Inquiring : msm::front::state<>
    { };
    struct Done : msm::front::state<>
    { };
    using initial_state = Queued;

    template<class From, class On, class To>
    using Row = msm::front::Row<From, On, To>;

    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by the library.
    struct transition_table : boost::mpl::vector<
        Row<Queued,    SendEvent,    Sent>,
        Row<Queued,    AbandonEvent, Done>,
        Row<Sent,      AcceptEvent,  Running>,
        Row<Sent,      InquireEvent, Inquiring>,
        Row<Sent,      ResolveEvent, Done>,
        Row<Sent,      AbandonEvent, Done>,
        Row<Running,   InquireEvent, Inquiring>,
        Row<Running,   ResolveEvent, Done>,
        Row<Running,   AbandonEvent, Done>,
        Row<Inquiring, AcceptEvent,  Running>,
        Row<Inquiring, ResolveEvent, Done>,
        Row<Inquiring, AbandonEvent, Done>
    > {};
    // clang-format on

    template<class Machine, class AnyEvent>
    void no_transition(const AnyEvent &, Machine &, int)
    {
        wasHandled = false;
    }

    bool wasHandled = true;
};

using AttemptMachine = msm::back::state_machine<AttemptDefinition>;

constexpr size_t stateCount = 5;
constexpr size_t eventCount = 5;
constexpr int8_t notApplicable = -1;

// The state machine numbers its states by their first appearance in the transition table. That
// order is the same as in AttemptState.
AttemptState stateOf(const AttemptMachine &machine)
{
    return static_cast<AttemptState>(machine.current_state()[0]);
}

void process(AttemptMachine &machine, AttemptEvent event)
{
    switch (event) {
    case AttemptEvent::Send:
        machine.process_event(SendEvent {});
        break;
    case AttemptEvent::Accept:
        machine.process_event(AcceptEvent {});
        break;
    case AttemptEvent::Inquire:
        machine.process_event(InquireEvent {});
        break;
    case AttemptEvent::Resolve:
        machine.process_event(ResolveEvent {});
        break;
    case AttemptEvent::Abandon:
        machine.process_event(AbandonEvent {});
        break;
    }
}

AttemptMachine machineIn(AttemptState state)
{
    AttemptMachine machine;
    machine.start();
    if (state == AttemptState::Queued)
        return machine;
    process(machine, AttemptEvent::Send);
    if (state == AttemptState::Running)
        process(machine, AttemptEvent::Accept);
    if (state == AttemptState::Inquiring)
        process(machine, AttemptEvent::Inquire);
    if (state == AttemptState::Done)
        process(machine, AttemptEvent::Resolve);
    assert(stateOf(machine) == state);
    return machine;
}

using TransitionTable = std::array<std::array<int8_t, eventCount>, stateCount>;

TransitionTable buildTable()
{
    TransitionTable table {};
    for (size_t state = 0; state < stateCount; ++state) {
        for (size_t event = 0; event < eventCount; ++event) {
            AttemptMachine machine = machineIn(static_cast<AttemptState>(state));
            process(machine, static_cast<AttemptEvent>(event));
            table[state][event] =
                    machine.wasHandled ? static_cast<int8_t>(stateOf(machine)) : notApplicable;
        }
    }
    return table;
}

} // namespace

// The state machine is used only to fill a lookup table with the transition for every state and
// event. A task then stores its state in one byte instead of a machine object.
std::optional<AttemptState> nextState(AttemptState state, AttemptEvent event)
{
    static const TransitionTable table = buildTable();
    const int8_t next = table[static_cast<size_t>(state)][static_cast<size_t>(event)];
    if (next == notApplicable)
        return std::nullopt;
    return static_cast<AttemptState>(next);
}

} // namespace lovage::dispatch
