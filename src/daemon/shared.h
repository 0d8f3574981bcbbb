// State shared by the decision thread and the I/O threads.
#pragma once

#include "counters.h"
#include "inputs.h"

#include "lovage/catalogue.h"
#include "lovage/daemon.h"
#include "lovage/rcu.h"
#include "lovage/settings.h"
#include "lovage/telemetry.h"

#include <condition_variable>
#include <mutex>

namespace lovage::daemon {

// State of one daemon process. Outlives every thread that uses it.
struct SharedState
{
    SharedState(Settings daemonSettings, uint64_t daemonIncarnation, uint64_t seed);

    const Settings settings;
    const uint64_t incarnation;
    const std::string holder; // name of this process as a lease holder
    Metrics metrics;
    DaemonCounters counters;
    Tracer tracer;
    InputQueue queue;

    RcuPointer<Catalogue> catalogue;  // null until one has been published
    RcuPointer<std::string> redirect; // HTTP address of a peer, for refusals while draining
    std::atomic<DaemonState> state = DaemonState::Starting;
    std::atomic<size_t> openRequests = 0; // requests not yet answered

    // Sets the state and wakes threads blocked in waitForState().
    void setState(DaemonState next);
    // Returns false on timeout.
    bool waitForState(DaemonState wanted, Duration timeout);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
};

} // namespace lovage::daemon
