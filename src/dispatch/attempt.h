// State of one attempt at one task.
#pragma once

#include <cstdint>
#include <optional>

namespace lovage::dispatch {

enum class AttemptState : uint8_t {
    Queued,
    Sent,      // the start message was sent and its reply is outstanding
    Running,   // accepted by the server
    Inquiring, // the state at the server is unknown until it replies to an inquiry or stop
    Done
};

enum class AttemptEvent : uint8_t {
    Send,
    Accept,
    Inquire, // a reply was lost, a lease expired, the server restarted or a stop needs confirmation
    Resolve, // the server reported how the attempt ended
    Abandon  // the attempt is given up without a report of the server
};

// Returns the state after an event, or nullopt if the event does not apply in this state. Late and
// repeated replies cause such events.
std::optional<AttemptState> nextState(AttemptState state, AttemptEvent event);

} // namespace lovage::dispatch
