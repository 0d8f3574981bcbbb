#include "peers.h"

#include <algorithm>
#include <limits>

namespace lovage::placement {

namespace {

// Run time that stands for each band of PeerCapacity: the middle of the band.
constexpr std::array<double, PeerCapacity::bands> bandRelative = {0.4, 0.6, 0.85, 1.2, 1.7, 3.0};

bool fitsWorker(const Demand &demand, const Demand &free)
{
    return demand.milliCores <= free.milliCores && demand.memoryMb <= free.memoryMb
            && demand.accelerators <= free.accelerators;
}

void takeFastest(std::array<uint32_t, PeerCapacity::bands> &slots, uint32_t count)
{
    for (uint32_t &free : slots) {
        const uint32_t taken = std::min(free, count);
        free -= taken;
        count -= taken;
    }
}

} // namespace

void Peers::set(const PeerCapacity &capacity, Time now, Duration lendOverhead)
{
    Peer &peer = peers_[capacity.vm];
    peer.capacity = capacity;
    peer.at = now;
    // Lends that were on their way when the peer counted are not in its advertisement.
    if (now - peer.lastLend > lendOverhead)
        peer.recentLends = {};
    for (size_t kind = 0; kind < peer.recentLends.size(); ++kind)
        takeFastest(peer.capacity.freeSlots[kind], peer.recentLends[kind]);
}

std::optional<Peers::Offer> Peers::best(const TaskRequirements &need, Time now, Duration lifetime,
                                        double ownScale, Random &random) const
{
    std::optional<Offer> offer;
    double bestRelative = std::numeric_limits<double>::max();
    uint64_t equal = 0;
    for (const auto &[vm, peer] : peers_) {
        if (now - peer.at > lifetime)
            continue;
        if (need.kind == BackendKind::Worker
            && !fitsWorker(need.demand, peer.capacity.maxFreeOnWorker))
            continue;
        const auto &slots = peer.capacity.freeSlots[static_cast<size_t>(need.kind)];
        const auto band =
                std::find_if(slots.begin(), slots.end(), [](uint32_t free) { return free > 0; });
        if (band == slots.end())
            continue;
        // Relative run times refer to the average server of each VM, and these differ.
        const bool isScaleKnown = ownScale > 0 && peer.capacity.runTimeScale > 0;
        const double scale = isScaleKnown ? peer.capacity.runTimeScale / ownScale : 1;
        const double relative = bandRelative[static_cast<size_t>(band - slots.begin())] * scale;
        if (relative > bestRelative)
            continue;
        equal = relative < bestRelative ? 1 : equal + 1;
        bestRelative = relative;
        if (random.below(equal) == 0)
            offer = Offer {&vm, relative};
    }
    return offer;
}

void Peers::lend(const std::string &vm, const TaskRequirements &need, Time now,
                 Duration lendOverhead)
{
    const auto found = peers_.find(vm);
    if (found == peers_.end())
        return;
    Peer &peer = found->second;
    const auto kind = static_cast<size_t>(need.kind);
    takeFastest(peer.capacity.freeSlots[kind], 1);
    if (now - peer.lastLend > lendOverhead)
        peer.recentLends = {};
    ++peer.recentLends[kind];
    peer.lastLend = now;
}

void Peers::ended(const std::string &vm, const TaskRequirements &need, AttemptOutcome end)
{
    const auto found = peers_.find(vm);
    if (found == peers_.end())
        return;
    if (end == AttemptOutcome::Refused)
        found->second.capacity.freeSlots[static_cast<size_t>(need.kind)] = {};
    if (end == AttemptOutcome::Lost)
        found->second.capacity.freeSlots = {};
}

} // namespace lovage::placement
