// The daemon of an entry VM: connects sockets and the clock with the decision libraries.
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
    // Faults of outgoing messages to other VMs, for tests; null for none.
    std::shared_ptr<FaultInjector> peerFaults;
    // Seed of all random choices; 0 takes one from the operating system.
    uint64_t seed = 0;
};

// One running lovaged. Thread safe.
class Daemon
{
public:
    // Opens the sockets and starts the threads. Errors (NotRun): InvalidSettings.
    static Result<std::unique_ptr<Daemon>> start(Settings settings, DaemonOptions options = {});
    // Ends the threads at once; callers that still wait get no reply.
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    uint16_t httpPort() const;
    uint16_t peerPort() const;
    uint64_t incarnation() const;
    DaemonState state() const;

    // The first call starts the drain, the second one ends it with the verdicts known then.
    void requestStop();
    // Waits for the state Stopped. False after the timeout.
    bool waitStopped(Duration timeout);

private:
    class Implementation;
    explicit Daemon(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lovage
