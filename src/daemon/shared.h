// State that the decision thread publishes to the I/O threads.
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

// Owned by the daemon and outlives every thread that uses it.
struct Shared
{
    Shared(Settings daemonSettings, uint64_t daemonIncarnation, uint64_t seed);

    const Settings settings;
    const uint64_t incarnation;
    const std::string holder; // name under which servers know the leases of this process
    Metrics metrics;
    DaemonCounters counters;
    Tracer tracer;
    InputQueue queue;

    RcuPointer<Catalogue> catalogue;  // null until one is in force
    RcuPointer<std::string> redirect; // HTTP address of a peer, for refusals while draining
    std::atomic<DaemonState> state = DaemonState::Starting;
    std::atomic<size_t> openRequests = 0; // callers without a reply

    // Sets the state and wakes those who wait for it.
    void setState(DaemonState next);
    // False after the timeout.
    bool waitForState(DaemonState wanted, Duration timeout);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
};

} // namespace lovage::daemon
