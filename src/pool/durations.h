// Scales durations by floating-point factors.
#pragma once

#include "lovage/core.h"

namespace lovage::pool {

inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace lovage::pool
