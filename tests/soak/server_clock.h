// The steady clock of one incarnation of a backend server.
#pragma once

#include "lovage/core.h"

namespace lovage::soak {

// Begins at 0 and may be slow, as the protocol allows.
class ServerClock
{
public:
    static constexpr double maxSlowness = 0.02;

    explicit ServerClock(double slowness) : rate_(1 - slowness) { }

    int64_t millis() const
    {
        const auto elapsed = static_cast<double>((currentTime() - startedAt_).count());
        return static_cast<int64_t>(elapsed * rate_ / 1000);
    }

private:
    Time startedAt_ = currentTime();
    double rate_;
};

} // namespace lovage::soak
