#include "peers.h"

#include <algorithm>
#include <limits>

namespace lovage::placement {

namespace {

// Relative run time assumed for each band of PeerCapacity: the middle of the band.
constexpr std::array<double, PeerCapacity::bands> bandRelativeRunTime = {0.4, 0.6, 0.85,
                                                                         1.2, 1.7, 3.0};

bool fitsWorker(const Demand &demand, const Demand &free)
{
    return demand.milliCores <= free.milliCores && demand.memoryMb <= free.memoryMb
            && demand.accelerators <= free.accelerators;
}

void removeFastest(std::array<uint32_t, PeerCapacity::bands> &slots, uint32_t count)
{
    for (uint32_t &free : slots) {
        const uint32_t removed = std::min(free, count);
        free -= removed;
        count -= removed;
    }
}

} // namespace

void Peers::set(const PeerCapacity &capacity, Time now, Duration lendOverhead)
{
    Peer &peer = peers_[capacity.vm];
    peer.capacity = capacity;
    peer.receivedAt = now;
    // The advertised slots still include those of lend messages that had not reached the peer when
    // it sent the advertisement.
    if (now - peer.lastLend > lendOverhead)
        peer.recentLends = {};
    for (size_t kind = 0; kind < peer.recentLends.size(); ++kind)
        removeFastest(peer.capacity.freeSlots[kind], peer.recentLends[kind]);
}

std::optional<Peers::Offer> Peers::best(const TaskRequirements &need, Time now, Duration lifetime,
                                        double ownScale, Random &random) const
{
    std::optional<Offer> offer;
    double bestRelativeRunTime = std::numeric_limits<double>::max();
    uint64_t ties = 0;
    for (const auto &[vm, peer] : peers_) {
        if (now - peer.receivedAt > lifetime)
            continue;
        if (need.kind == BackendKind::Worker
            && !fitsWorker(need.demand, peer.capacity.maxFreeOnWorker))
            continue;
        const auto &slots = peer.capacity.freeSlots[static_cast<size_t>(need.kind)];
        const auto band =
                std::find_if(slots.begin(), slots.end(), [](uint32_t free) { return free > 0; });
        if (band == slots.end())
            continue;
        // Relative run times refer to the average server of each VM. Those average servers differ,
        // so the run time of the peer is scaled to the average server of this VM.
        const bool isScaleKnown = ownScale > 0 && peer.capacity.runTimeScale > 0;
        const double scale = isScaleKnown ? peer.capacity.runTimeScale / ownScale : 1;
        const double relativeRunTime =
                bandRelativeRunTime[static_cast<size_t>(band - slots.begin())] * scale;
        if (relativeRunTime > bestRelativeRunTime)
            continue;
        ties = relativeRunTime < bestRelativeRunTime ? 1 : ties + 1;
        bestRelativeRunTime = relativeRunTime;
        if (random.below(ties) == 0)
            offer = Offer {&vm, relativeRunTime};
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
    removeFastest(peer.capacity.freeSlots[kind], 1);
    if (now - peer.lastLend > lendOverhead)
        peer.recentLends = {};
    ++peer.recentLends[kind];
    peer.lastLend = now;
}

void Peers::ended(const std::string &vm, const TaskRequirements &need, AttemptOutcome outcome)
{
    const auto found = peers_.find(vm);
    if (found == peers_.end())
        return;
    if (outcome == AttemptOutcome::Refused)
        found->second.capacity.freeSlots[static_cast<size_t>(need.kind)] = {};
    if (outcome == AttemptOutcome::Lost)
        found->second.capacity.freeSlots = {};
}

} // namespace lovage::placement
