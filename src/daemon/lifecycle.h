// States of the process from start to exit.
#pragma once

#include "lovage/daemon.h"

#include <memory>

namespace lovage::daemon {

// What the daemon does on a change of state.
class LifeCycleActions
{
public:
    virtual void enterServing() = 0;
    // Fails health checks, announces the departure and starts the drain of the Dispatcher.
    virtual void enterDraining() = 0;
    // Ends the drain with the verdicts known now.
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

    // The catalogue and the backend servers are known.
    void ready();
    // A stop signal, or the VM list marks this VM as leaving.
    void stopRequested();
    void drainFinished(bool wasOrderly);

    DaemonState state() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine_;
};

} // namespace lovage::daemon
