#pragma once

#include "lovage/placement.h"

namespace lovage::placement {

// Advertised capacity of other VMs, reduced by what was lent since.
class Peers
{
public:
    struct Offer
    {
        const std::string *vm = nullptr;
        double relative = 0; // expected run time relative to the average server
    };

    void set(const PeerCapacity &capacity, Time now, Duration lendOverhead);
    void remove(const std::string &vm) { peers_.erase(vm); }
    // Fastest band with free slots; among several peers one at random, so that VMs do not all pick
    // the same. Offers older than lifetime are ignored.
    // ownScale: PeerCapacity::runTimeScale of this VM.
    std::optional<Offer> best(const TaskRequirements &need, Time now, Duration lifetime,
                              double ownScale, Random &random) const;
    void lend(const std::string &vm, const TaskRequirements &need, Time now, Duration lendOverhead);
    void ended(const std::string &vm, const TaskRequirements &need, AttemptOutcome end);

private:
    struct Peer
    {
        PeerCapacity capacity;
        Time at {};
        Time lastLend {};
        std::array<uint32_t, 2> recentLends {}; // by kind, possibly not yet in its advertisement
    };

    std::map<std::string, Peer, std::less<>> peers_;
};

} // namespace lovage::placement
