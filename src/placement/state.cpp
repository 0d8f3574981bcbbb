#include "state.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace lovage {

using placement::BackendState;

namespace {

// Reported use of slots by others expires after this time, because its end may never be reported.
constexpr Duration usedByOthersLifetime = std::chrono::seconds(1);
// A reply received within this time after a start may have been sent before the server received the
// start, so it may not count the started task.
constexpr Duration startLatency = std::chrono::milliseconds(5);

constexpr size_t indexOfKind(BackendKind kind)
{
    return static_cast<size_t>(kind);
}

bool fits(const Demand &demand, const Demand &capacity)
{
    return demand.milliCores <= capacity.milliCores && demand.memoryMb <= capacity.memoryMb
            && demand.accelerators <= capacity.accelerators;
}

Demand minus(const Demand &left, const Demand &right)
{
    return {left.milliCores - right.milliCores, left.memoryMb - right.memoryMb,
            left.accelerators - right.accelerators};
}

Demand plus(const Demand &left, const Demand &right)
{
    return {left.milliCores + right.milliCores, left.memoryMb + right.memoryMb,
            left.accelerators + right.accelerators};
}

uint32_t timesContained(uint32_t part, uint32_t whole)
{
    return part == 0 ? UINT32_MAX : whole / part;
}

placement::HealthOptions healthOptions(const PlacementOptions &options)
{
    return {options.failuresToEject, options.maxEjectedShare, options.initialProbeDelay,
            options.maxProbeDelay};
}

} // namespace

Placement::State::State(PlacementOptions givenOptions, uint64_t seed)
    : options(givenOptions), health(healthOptions(options)), random(seed)
{ }

void Placement::State::setBackends(std::vector<BackendInfo> all,
                                   const std::set<std::string> &ownShare, Time now)
{
    for (BackendState &server : backends)
        server.known = false;
    for (BackendInfo &info : all) {
        const auto [found, added] = indexes.try_emplace(info.name, backends.size());
        if (added)
            backends.emplace_back();
        BackendState &server = backends[found->second];
        server.inOwnShare = ownShare.contains(info.name);
        server.known = true;
        server.info = std::move(info);
    }
    for (BackendState &server : backends) {
        // A server that is listed again after it was missing counts as a new one, which is not
        // leaving.
        if (!server.known)
            server.announcedLeaving = false;
    }
    estimates.resize(backends.size());
    health.resize(backends.size());
    reportedOutstanding_.resize(backends.size());
    refreshTotals();
}

void Placement::State::setLeaving(uint32_t backend)
{
    backends.at(backend).announcedLeaving = true;
    refreshTotals();
}

void Placement::State::refreshTotals()
{
    ++version_;
    totalUnits_ = {};
    capacities_ = {};
    kindKnown_ = {};
    for (uint32_t i = 0; i < backends.size(); ++i) {
        const BackendState &server = backends[i];
        const size_t kind = indexOfKind(server.info.kind);
        health.setInUse(i, server.info.kind, server.isUsable());
        if (!server.known)
            continue;
        kindKnown_[kind] = true;
        auto &capacities = capacities_[kind];
        if (std::find(capacities.begin(), capacities.end(), server.info.capacity)
            == capacities.end())
            capacities.push_back(server.info.capacity);
        if (server.isUsable())
            totalUnits_[kind] += server.info.kind == BackendKind::Executor
                    ? server.info.slots
                    : server.info.capacity.milliCores;
    }
    health.enforceEjectionLimit();
}

uint32_t Placement::State::classOf(const TaskRequirements &need)
{
    const uint32_t workClass = classes.intern(need.workClass);
    if (workClass >= estimates.classCount()) {
        estimates.ensureClass(workClass, need.declaredRunTime);
        orders_.resize(workClass + 1);
        classUnits_.resize(workClass + 1);
    }
    return workClass;
}

uint32_t Placement::State::workloadOf(const TaskRequirements &need)
{
    const std::pair key(classOf(need), owners_.intern(need.owner));
    const auto [found, added] = workloads_.try_emplace(key, workloads_.size());
    if (added)
        health.ensureWorkload(found->second);
    return found->second;
}

std::optional<std::string> Placement::State::impossibleReason(const TaskRequirements &need) const
{
    // While no server of the kind is known, the list may not have arrived yet. The task then waits
    // until its deadline.
    if (!kindKnown_[indexOfKind(need.kind)] || need.kind == BackendKind::Executor)
        return std::nullopt;
    Demand largest {0, 0, 0};
    for (const Demand &capacity : capacities_[indexOfKind(need.kind)]) {
        if (fits(need.demand, capacity))
            return std::nullopt;
        largest.milliCores = std::max(largest.milliCores, capacity.milliCores);
        largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb);
        largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
    }
    const Demand &demand = need.demand;
    if (demand.milliCores > largest.milliCores)
        return fmt::format("needs {} milliCores; the largest worker has {}", demand.milliCores,
                           largest.milliCores);
    if (demand.memoryMb > largest.memoryMb)
        return fmt::format("needs {} MB of memory; the largest worker has {}", demand.memoryMb,
                           largest.memoryMb);
    if (demand.accelerators > largest.accelerators)
        return fmt::format("needs {} accelerators; the largest worker has {}", demand.accelerators,
                           largest.accelerators);
    return fmt::format("no single worker has {} milliCores, {} MB of memory and {} accelerators",
                       demand.milliCores, demand.memoryMb, demand.accelerators);
}

uint32_t Placement::State::freeUnits(const BackendState &server, const TaskRequirements &need,
                                     Time now) const
{
    if (need.kind == BackendKind::Executor) {
        const uint32_t usedByOthers = now < server.usedByOthersUntil ? server.usedByOthers : 0;
        const uint32_t busy = server.outstanding - server.finished + usedByOthers;
        return server.info.slots > busy ? server.info.slots - busy : 0;
    }
    if (!fits(server.used, server.info.capacity))
        return 0;
    const Demand free = minus(server.info.capacity, server.used);
    return std::min({timesContained(need.demand.milliCores, free.milliCores),
                     timesContained(need.demand.memoryMb, free.memoryMb),
                     timesContained(need.demand.accelerators, free.accelerators)});
}

uint32_t Placement::State::freeFor(uint32_t backend, const TaskRequirements &need, Time now) const
{
    const BackendState &server = backends[backend];
    if (server.info.kind != need.kind || !server.isUsable() || now < server.pausedUntil)
        return 0;
    const uint32_t free = freeUnits(server, need, now);
    if (free == 0)
        return 0;
    if (health.isEjected(backend))
        return !need.lastOfJob && health.isProbeDue(backend, now) ? 1 : 0;
    const uint32_t limit = health.outstandingLimit(backend, now);
    return limit > server.outstanding ? std::min(free, limit - server.outstanding) : 0;
}

void Placement::State::reserve(uint32_t backend, const TaskRequirements &need, Time now)
{
    BackendState &server = backends.at(backend);
    const uint32_t workClass = classOf(need);
    LOVAGE_ASSERT_INVARIANT(
            Promise::NoWorkOnLeaving, server.isUsable(),
            "start on a backend server that is leaving or not in the share of this VM");
    assert(need.kind == server.info.kind);
    ++server.outstanding;
    if (need.kind == BackendKind::Worker) {
        server.used = plus(server.used, need.demand);
        assert(fits(server.used, server.info.capacity));
    } else {
        assert(server.outstanding - server.finished <= server.info.slots + options.localQueue);
    }
    server.lastStart = now;
    server.releaseRate += 1 / estimates.expected(backend, workClass);
    classUnits_[workClass][indexOfKind(need.kind)] += unitsOfTask(need);
    health.started(backend);
    batch_ = {backend, workClass, now};
}

void Placement::State::release(uint32_t backend, const TaskRequirements &need,
                               AttemptOutcome outcome, Duration runTime, Time now)
{
    BackendState &server = backends.at(backend);
    const uint32_t workClass = classOf(need);
    assert(server.outstanding > 0);
    --server.outstanding;
    server.finished = std::min(server.finished - (server.finished > 0), server.outstanding);
    if (need.kind == BackendKind::Worker) {
        assert(fits(need.demand, server.used));
        server.used = minus(server.used, need.demand);
    }
    server.releaseRate -= 1 / estimates.expected(backend, workClass);
    if (server.outstanding == 0 || server.releaseRate < 0)
        server.releaseRate = 0;
    classUnits_[workClass][indexOfKind(need.kind)] -= unitsOfTask(need);
    health.ended(backend, workloadOf(need), outcome, now - runTime, now);
    if (outcome == AttemptOutcome::Refused) {
        server.pausedUntil = now + options.refusalPause;
        return;
    }
    if (outcome != AttemptOutcome::Succeeded || runTime <= Duration::zero())
        return;
    estimates.observe(backend, workClass, runTime, now);
    ++releases_[indexOfKind(need.kind)];
    if (need.kind == BackendKind::Worker)
        meanMilliCores_ += (need.demand.milliCores - meanMilliCores_) / 256;
}

void Placement::State::reportFree(uint32_t backend, uint32_t freeSlots, Time now)
{
    BackendState &server = backends.at(backend);
    if (server.info.kind != BackendKind::Executor)
        return;
    if (freeSlots > 0)
        server.pausedUntil = {};
    const uint32_t busyOnServer = server.info.slots - std::min(freeSlots, server.info.slots);
    server.usedByOthers = 0;
    if (busyOnServer > server.outstanding) {
        server.usedByOthers = busyOnServer - server.outstanding;
        server.usedByOthersUntil = now + usedByOthersLifetime;
        server.finished = 0;
    } else if (options.localQueue == 0 && now - server.lastStart > startLatency) {
        server.finished = server.outstanding - busyOnServer;
    }
}

PeerCapacity Placement::State::ownCapacity(const QueueLengths &waiting, Time now) const
{
    PeerCapacity capacity;
    capacity.runTimeScale = estimates.runTimeScale();
    for (uint32_t i = 0; i < backends.size(); ++i) {
        const BackendState &server = backends[i];
        if (!server.isUsable() || health.outstandingLimit(i, now) <= server.outstanding
            || health.isEjected(i))
            continue;
        TaskRequirements unit;
        unit.kind = server.info.kind;
        const uint32_t free = freeFor(i, unit, now);
        const double relativeRunTime = estimates.relativeRunTime(i);
        size_t band = 0;
        while (relativeRunTime > PeerCapacity::bandLimits[band])
            ++band;
        capacity.freeSlots[indexOfKind(server.info.kind)][band] += free;
        if (server.info.kind == BackendKind::Worker && free > 0) {
            const Demand left = minus(server.info.capacity, server.used);
            Demand &largest = capacity.maxFreeOnWorker;
            largest.milliCores = std::max(largest.milliCores, left.milliCores);
            largest.memoryMb = std::max(largest.memoryMb, left.memoryMb);
            largest.accelerators = std::max(largest.accelerators, left.accelerators);
        }
    }
    // The queued tasks of this VM will use the fastest free slots, so those are not advertised.
    for (size_t kind = 0; kind < waiting.size(); ++kind) {
        auto &slots = capacity.freeSlots[kind];
        uint32_t needed = waiting[kind];
        for (uint32_t &free : slots) {
            const uint32_t kept = std::min(free, needed);
            free -= kept;
            needed -= kept;
        }
    }
    return capacity;
}

double Placement::State::startsPerSecond() const
{
    if (estimates.recentMean() == 0)
        return 0;
    double perMicrosecond = 0;
    for (uint32_t i = 0; i < backends.size(); ++i) {
        const BackendState &server = backends[i];
        if (!server.isUsable() || health.isEjected(i)
            || releases_[indexOfKind(server.info.kind)] == 0)
            continue;
        const double parallelTasks = server.info.kind == BackendKind::Executor
                ? server.info.slots
                : server.info.capacity.milliCores / std::max(1.0, meanMilliCores_);
        perMicrosecond += parallelTasks / (estimates.recentMean() * estimates.relativeRunTime(i));
    }
    return perMicrosecond * 1e6;
}

} // namespace lovage
