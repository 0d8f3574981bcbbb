// The daemon of an entry VM. Connects the decision libraries to sockets and the system clock.
#pragma once

#include "lovage/core.h"
#include "lovage/protocol.h"
#include "lovage/settings.h"

#include <memory>

namespace lovage {

enum class DaemonState { Starting, Serving, Draining, Stopped };

std::string_view toString(DaemonState state);

struct DaemonOptions
{
    // Injects faults into outgoing messages to other VMs in tests; null for no faults.
    std::shared_ptr<FaultInjector> peerFaults;
    // Seed of the random number generators; 0 selects a random seed from the operating system.
    uint64_t seed = 0;
};

// A running instance of lovaged. Thread safe.
class Daemon
{
public:
    // Opens the sockets and starts the threads. Errors (NotRun): InvalidSettings.
    static Result<std::unique_ptr<Daemon>> start(Settings settings, DaemonOptions options = {});
    // Stops the threads without draining; pending callers get no reply.
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    uint16_t httpPort() const;
    uint16_t peerPort() const;
    uint64_t incarnation() const;
    DaemonState state() const;

    // The first call starts the drain. The second ends it at once; unfinished submissions get the
    // verdict known at that time.
    void requestStop();
    // Waits for the state Stopped. Returns false on timeout.
    bool waitStopped(Duration timeout);

private:
    class Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lovage
