// What may happen to a call of a backend server, as far as the protocol allows it.
#pragma once

#include "lovage/core.h"

#include <array>

namespace lovage::soak {

enum class CallFate {
    Answered,
    AnsweredLate, // executed at once; the answer may be overtaken by those to later calls
    AnswerLost,   // executed at once; never answered
    ExecutedLate, // executed up to seconds later, also by a later incarnation; never answered
    Rejected,     // not executed; only for orders to start
};

class CallFaults
{
public:
    void add(CallFate fate) { ++counts_[static_cast<size_t>(fate)]; }
    void remove(CallFate fate) { --counts_[static_cast<size_t>(fate)]; }

    CallFate choose(Random &random) const
    {
        for (const CallFate fate : {CallFate::Rejected, CallFate::ExecutedLate,
                                    CallFate::AnswerLost, CallFate::AnsweredLate}) {
            if (counts_[static_cast<size_t>(fate)] > 0 && random.unit() < affectedShare)
                return fate;
        }
        return CallFate::Answered;
    }
    static Duration answerDelay(Random &random)
    {
        return std::chrono::milliseconds(random.below(150));
    }
    // Half of the delays are short, so that the call meets those that replace it.
    static Duration executionDelay(Random &random)
    {
        const bool isShort = random.unit() < 0.5;
        return std::chrono::milliseconds(isShort ? 20 + random.below(480)
                                                 : 500 + random.below(7500));
    }

private:
    static constexpr double affectedShare = 0.3; // of the calls while the fault is in force

    std::array<uint32_t, 5> counts_ {}; // faults in force, by fate
};

} // namespace lovage::soak
