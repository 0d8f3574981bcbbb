#include "state.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace lovage {

using placement::Account;

namespace {

// Reports of foreign use are forgotten after this time, because nothing may report their end.
constexpr Duration foreignLifetime = std::chrono::seconds(1);
// A reply that crossed a start on its way does not count the start.
constexpr Duration startInFlight = std::chrono::milliseconds(5);

constexpr size_t number(BackendKind kind)
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

uint32_t timesIn(uint32_t part, uint32_t whole)
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
    for (Account &account : accounts)
        account.known = false;
    for (BackendInfo &info : all) {
        const auto [found, added] = indexes.try_emplace(info.name, accounts.size());
        if (added)
            accounts.emplace_back();
        Account &account = accounts[found->second];
        account.own = ownShare.contains(info.name);
        account.known = true;
        account.info = std::move(info);
    }
    for (Account &account : accounts) {
        // A server that disappears and comes back was replaced.
        if (!account.known)
            account.saidLeaving = false;
    }
    estimates.resize(accounts.size());
    health.resize(accounts.size());
    reportedOutstanding_.resize(accounts.size());
    refreshTotals();
}

void Placement::State::setLeaving(uint32_t backend)
{
    accounts.at(backend).saidLeaving = true;
    refreshTotals();
}

void Placement::State::refreshTotals()
{
    ++version_;
    totalUnits_ = {};
    capacities_ = {};
    kindKnown_ = {};
    for (uint32_t i = 0; i < accounts.size(); ++i) {
        const Account &account = accounts[i];
        const size_t kind = number(account.info.kind);
        health.setCounted(i, account.info.kind, account.isUsable());
        if (!account.known)
            continue;
        kindKnown_[kind] = true;
        auto &capacities = capacities_[kind];
        if (std::find(capacities.begin(), capacities.end(), account.info.capacity)
            == capacities.end())
            capacities.push_back(account.info.capacity);
        if (account.isUsable())
            totalUnits_[kind] += account.info.kind == BackendKind::Executor
                    ? account.info.slots
                    : account.info.capacity.milliCores;
    }
    health.enforceCap();
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

uint32_t Placement::State::workOf(const TaskRequirements &need)
{
    const std::pair key(classOf(need), owners_.intern(need.owner));
    const auto [found, added] = works_.try_emplace(key, works_.size());
    if (added)
        health.ensureWork(found->second);
    return found->second;
}

std::optional<std::string> Placement::State::whyImpossible(const TaskRequirements &need) const
{
    // Without any known server the list may just be late; the deadline decides then.
    if (!kindKnown_[number(need.kind)] || need.kind == BackendKind::Executor)
        return std::nullopt;
    Demand largest {0, 0, 0};
    for (const Demand &capacity : capacities_[number(need.kind)]) {
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

uint32_t Placement::State::freeUnits(const Account &account, const TaskRequirements &need,
                                     Time now) const
{
    if (need.kind == BackendKind::Executor) {
        const uint32_t foreign = now < account.foreignUntil ? account.foreign : 0;
        const uint32_t busy = account.outstanding - account.finished + foreign;
        return account.info.slots > busy ? account.info.slots - busy : 0;
    }
    if (!fits(account.used, account.info.capacity))
        return 0;
    const Demand free = minus(account.info.capacity, account.used);
    return std::min({timesIn(need.demand.milliCores, free.milliCores),
                     timesIn(need.demand.memoryMb, free.memoryMb),
                     timesIn(need.demand.accelerators, free.accelerators)});
}

uint32_t Placement::State::freeFor(uint32_t backend, const TaskRequirements &need, Time now) const
{
    const Account &account = accounts[backend];
    if (account.info.kind != need.kind || !account.isUsable() || now < account.pausedUntil)
        return 0;
    const uint32_t free = freeUnits(account, need, now);
    if (free == 0)
        return 0;
    if (health.isEjected(backend))
        return !need.lastOfJob && health.isProbeDue(backend, now) ? 1 : 0;
    const uint32_t allowance = health.allowance(backend, now);
    return allowance > account.outstanding ? std::min(free, allowance - account.outstanding) : 0;
}

void Placement::State::reserve(uint32_t backend, const TaskRequirements &need, Time now)
{
    Account &account = accounts.at(backend);
    const uint32_t workClass = classOf(need);
    LOVAGE_ASSERT_INVARIANT(Promise::NoWorkOnLeaving, account.isUsable(),
                            "start on a leaving or foreign backend server");
    assert(need.kind == account.info.kind);
    ++account.outstanding;
    if (need.kind == BackendKind::Worker) {
        account.used = plus(account.used, need.demand);
        assert(fits(account.used, account.info.capacity));
    } else {
        assert(account.outstanding - account.finished <= account.info.slots + options.localQueue);
    }
    account.lastStart = now;
    account.releaseRate += 1 / estimates.expected(backend, workClass);
    classUnits_[workClass][number(need.kind)] += unitsOfTask(need);
    health.started(backend);
    batch_ = {backend, workClass, now};
}

void Placement::State::release(uint32_t backend, const TaskRequirements &need, AttemptOutcome end,
                               Duration ran, Time now)
{
    Account &account = accounts.at(backend);
    const uint32_t workClass = classOf(need);
    assert(account.outstanding > 0);
    --account.outstanding;
    account.finished = std::min(account.finished - (account.finished > 0), account.outstanding);
    if (need.kind == BackendKind::Worker) {
        assert(fits(need.demand, account.used));
        account.used = minus(account.used, need.demand);
    }
    account.releaseRate -= 1 / estimates.expected(backend, workClass);
    if (account.outstanding == 0 || account.releaseRate < 0)
        account.releaseRate = 0;
    classUnits_[workClass][number(need.kind)] -= unitsOfTask(need);
    health.ended(backend, workOf(need), end, now - ran, now);
    if (end == AttemptOutcome::Refused) {
        account.pausedUntil = now + options.refusalPause;
        return;
    }
    if (end != AttemptOutcome::Succeeded || ran <= Duration::zero())
        return;
    estimates.observe(backend, workClass, ran, now);
    ++releases_[number(need.kind)];
    if (need.kind == BackendKind::Worker)
        meanMilliCores_ += (need.demand.milliCores - meanMilliCores_) / 256;
}

void Placement::State::reportFree(uint32_t backend, uint32_t freeSlots, Time now)
{
    Account &account = accounts.at(backend);
    if (account.info.kind != BackendKind::Executor)
        return;
    if (freeSlots > 0)
        account.pausedUntil = {};
    const uint32_t busyThere = account.info.slots - std::min(freeSlots, account.info.slots);
    account.foreign = 0;
    if (busyThere > account.outstanding) {
        account.foreign = busyThere - account.outstanding;
        account.foreignUntil = now + foreignLifetime;
        account.finished = 0;
    } else if (options.localQueue == 0 && now - account.lastStart > startInFlight) {
        account.finished = account.outstanding - busyThere;
    }
}

PeerCapacity Placement::State::ownCapacity(const QueueLengths &waiting, Time now) const
{
    PeerCapacity capacity;
    capacity.runTimeScale = estimates.runTimeScale();
    for (uint32_t i = 0; i < accounts.size(); ++i) {
        const Account &account = accounts[i];
        if (!account.isUsable() || health.allowance(i, now) <= account.outstanding
            || health.isEjected(i))
            continue;
        TaskRequirements unit;
        unit.kind = account.info.kind;
        const uint32_t free = freeFor(i, unit, now);
        const double relative = estimates.relative(i);
        size_t band = 0;
        while (relative > PeerCapacity::bandLimits[band])
            ++band;
        capacity.freeSlots[number(account.info.kind)][band] += free;
        if (account.info.kind == BackendKind::Worker && free > 0) {
            const Demand left = minus(account.info.capacity, account.used);
            Demand &largest = capacity.maxFreeOnWorker;
            largest.milliCores = std::max(largest.milliCores, left.milliCores);
            largest.memoryMb = std::max(largest.memoryMb, left.memoryMb);
            largest.accelerators = std::max(largest.accelerators, left.accelerators);
        }
    }
    // Queued tasks wait for the fastest servers, so these are not offered to others.
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
    for (uint32_t i = 0; i < accounts.size(); ++i) {
        const Account &account = accounts[i];
        if (!account.isUsable() || health.isEjected(i) || releases_[number(account.info.kind)] == 0)
            continue;
        const double places = account.info.kind == BackendKind::Executor
                ? account.info.slots
                : account.info.capacity.milliCores / std::max(1.0, meanMilliCores_);
        perMicrosecond += places / (estimates.recentMean() * estimates.relative(i));
    }
    return perMicrosecond * 1e6;
}

} // namespace lovage
