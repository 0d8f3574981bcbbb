// Scales durations by floating-point factors, and compares them.
#pragma once

#include "lovage/core.h"

#include <algorithm>
#include <cmath>

namespace lovage::pool {

inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

// Returns the logarithm of the ratio of a time to its prediction, which must be positive.
inline double logRatioOf(Duration time, Duration predicted)
{
    return std::log(static_cast<double>(std::max<int64_t>(time.count(), 1))
                    / static_cast<double>(predicted.count()));
}

} // namespace lovage::pool
