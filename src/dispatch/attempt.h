// State of one attempt at one task.
#pragma once

#include <cstdint>
#include <optional>

namespace lovage::dispatch {

enum class AttemptState : uint8_t {
    Queued,
    Sent,    // a start message left, its reply is open
    Running, // accepted by the server
    Asking,  // nothing is known; an inquiry or stop decides
    Done
};

enum class AttemptEvent : uint8_t {
    Send,
    Accept,
    Lose,    // lost reply, lapsed lease, restarted server or a stop that has to be confirmed
    Resolve, // the server said how the attempt ended
    GiveUp   // the attempt ended without an answer of the server
};

// The state after an event; nullopt if the event does not apply, as for late and repeated replies.
std::optional<AttemptState> nextState(AttemptState state, AttemptEvent event);

} // namespace lovage::dispatch
