#pragma once

#include "lovage/placement.h"

namespace lovage::placement {

// Advertised capacity of the peer VMs, reduced by the tasks that were lent to them since.
class Peers
{
public:
    struct Offer
    {
        const std::string *vm = nullptr;
        double relativeRunTime = 0; // run time relative to that on the average server of this VM
    };

    void set(const PeerCapacity &capacity, Time now, Duration lendOverhead);
    void remove(const std::string &vm) { peers_.erase(vm); }
    // Returns the peer with free slots in the fastest band. Among equal peers one is picked at
    // random, so that VMs do not all pick the same. Capacity older than lifetime is ignored.
    // ownScale is PeerCapacity::runTimeScale of this VM.
    std::optional<Offer> best(const TaskRequirements &need, Time now, Duration lifetime,
                              double ownScale, Random &random) const;
    void lend(const std::string &vm, const TaskRequirements &need, Time now, Duration lendOverhead);
    void ended(const std::string &vm, const TaskRequirements &need, AttemptOutcome outcome);

private:
    struct Peer
    {
        PeerCapacity capacity;
        Time receivedAt {};
        Time lastLend {};
        // Number of tasks that this VM has recently lent to the peer, by kind of backend server
        // (BackendKind). The free slots in the peer's next advertisement may still include the
        // slots of these tasks.
        std::array<uint32_t, 2> recentLends {};
    };

    std::map<std::string, Peer, std::less<>> peers_;
};

} // namespace lovage::placement
