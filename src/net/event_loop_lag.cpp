#include "lovage/net.h"

namespace lovage {

namespace {

// A loop that always has work never shows an empty turn. After this number of turns the kernel has
// reported every descriptor of a process with 4,096 of them, 128 a turn, and there was time for
// requests that are read in several parts.
constexpr size_t maxTurns = 64;

} // namespace

void EventLoopLag::onTick(Time now)
{
    turns_ = 0;
    roundStart_ = now;
    lastTurn_ = now;
    secondLastTurn_ = now;
}

bool EventLoopLag::onTurn(size_t handlers, Time now)
{
    ++turns_;
    // The first turn runs the handlers that were ready together with the tick. What the kernel
    // reports at its end runs in the second turn.
    const bool isCaughtUp = turns_ > 1 && handlers == 0;
    if (isCaughtUp || turns_ >= maxTurns) {
        handledThrough_ = isCaughtUp ? secondLastTurn_ : roundStart_;
        return false;
    }
    secondLastTurn_ = lastTurn_;
    lastTurn_ = now;
    return true;
}

} // namespace lovage
