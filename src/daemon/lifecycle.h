// State machine of the process from start to exit.
#pragma once

#include "lovage/daemon.h"

#include <memory>

namespace lovage::daemon {

// Callbacks for state changes, implemented by the daemon.
class LifeCycleActions
{
public:
    virtual void enterServing() = 0;
    // Makes health checks fail, announces the departure to peers and starts to drain the
    // Dispatcher.
    virtual void enterDraining() = 0;
    // Ends the drain at once; unfinished submissions get the verdict known at this time.
    virtual void endDrainNow() = 0;
    virtual void enterStopped(bool wasOrderly) = 0;

protected:
    ~LifeCycleActions() = default;
};

// Starting -> Serving -> Draining -> Stopped. Single-threaded. Events that do not apply to the
// state are ignored. The actions must outlive it and must not call back into it.
class LifeCycle
{
public:
    explicit LifeCycle(LifeCycleActions &actions);
    ~LifeCycle();
    LifeCycle(const LifeCycle &) = delete;
    LifeCycle &operator=(const LifeCycle &) = delete;

    // Call when the catalogue is known and the VM list has been read or has timed out.
    void ready();
    // Call on a stop signal, or when the VM list marks this VM as leaving.
    void stopRequested();
    void drainFinished(bool wasOrderly);

    DaemonState state() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine_;
};

} // namespace lovage::daemon
