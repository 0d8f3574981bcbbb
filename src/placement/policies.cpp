#include "state.h"

#include <algorithm>
#include <cmath>

namespace lovage {

using placement::BackendState;
using placement::LocalChoice;

namespace {

// The server order of a class is kept for at least this many observations.
constexpr uint64_t minObservationsPerSort = 32;
// A server without a result for this long is tried with one task. Only one server is tried per
// exploration interval.
constexpr Duration staleEstimateAge = std::chrono::seconds(3);
constexpr Duration explorationInterval = std::chrono::milliseconds(500);
// Slots a server must have free before a job starts a new batch on it, at waste weight 1.
constexpr uint32_t freeSlotsAtFullWeight = 2;
// Waiting tasks a job must have before its tasks wait for several free slots or in the local queue
// of an executor.
constexpr uint32_t minWaitingForBatch = 16;
// Extra expected run time, as a ratio, that is accepted to add a task to the message being filled:
// at waste weight 0, and what is added to it at waste weight 1.
constexpr double batchSlack = 0.05;
constexpr double weightedBatchSlack = 0.4;
// Gain that justifies a lend message, as a multiple of the mean run time of the class: at waste
// weight 0, and what is added to it at waste weight 1.
constexpr double lendGain = 0.6;
constexpr double weightedLendGain = 0.9;
// Weight of the variability of a server in the choice for the last tasks of a job.
constexpr double variabilityWeight = 0.5;

} // namespace

const std::vector<uint32_t> &Placement::State::orderFor(uint32_t workClass)
{
    ClassOrder &order = orders_[workClass];
    const uint64_t interval = std::max<uint64_t>(minObservationsPerSort, backends.size() / 4);
    const bool isCurrent =
            order.version == version_ && estimates.observations() - order.observations < interval;
    if (isCurrent)
        return order.servers;
    if (order.version != version_) {
        order.servers.clear();
        for (uint32_t i = 0; i < backends.size(); ++i) {
            if (backends[i].isUsable())
                order.servers.push_back(i);
        }
    }
    std::vector<std::pair<double, uint32_t>> keys;
    keys.reserve(order.servers.size());
    for (const uint32_t server : order.servers)
        keys.emplace_back(estimates.relativeRunTime(server, workClass)
                                  * estimates.lowerBoundFactor(server),
                          server);
    std::sort(keys.begin(), keys.end());
    std::transform(keys.begin(), keys.end(), order.servers.begin(),
                   [](const auto &key) { return key.second; });
    order.version = version_;
    order.observations = estimates.observations();
    return order.servers;
}

bool Placement::State::isLong(uint32_t workClass) const
{
    return estimates.classMean(workClass) > static_cast<double>(options.longTaskThreshold.count());
}

// Limits the slots of long classes together, so that a part of the share remains for short ones. If
// tasks of several seconds occupied all slots, a short task would wait many times its own run time.
bool Placement::State::fitsLongTaskLimit(uint32_t workClass, const TaskRequirements &need) const
{
    if (!isLong(workClass))
        return true;
    const auto kind = static_cast<size_t>(need.kind);
    uint64_t used = unitsOfTask(need);
    for (uint32_t other = 0; other < classUnits_.size(); ++other)
        used += isLong(other) ? classUnits_[other][kind] : 0;
    const auto limit = static_cast<double>(totalUnits_[kind]) * (1 - options.shortTaskReserve);
    // One long task is always allowed; a small share could otherwise run none.
    return static_cast<double>(used) <= limit || used <= unitsOfTask(need);
}

uint64_t Placement::State::unitsOfTask(const TaskRequirements &need)
{
    return need.kind == BackendKind::Executor ? 1 : need.demand.milliCores;
}

Choice Placement::State::choose(const TaskRequirements &need, Time now)
{
    if (std::optional<std::string> reason = impossibleReason(need))
        return Impossible {std::move(*reason)};
    const uint32_t workClass = classOf(need);
    LocalChoice local;
    if (fitsLongTaskLimit(workClass, need))
        local = std::visit([&](auto &policy) { return pick(policy, workClass, need, now); },
                           options.policy);
    const double mean = estimates.classMean(workClass);
    if (!local.backend || local.finish > mean) {
        const auto offer = peers.best(need, now, options.peerCapacityLifetime,
                                      estimates.runTimeScale(), random);
        const double gain = (lendGain + weightedLendGain * need.wasteWeight) * mean;
        if (offer
            && offer->relativeRunTime * mean + static_cast<double>(options.lendOverhead.count())
                            + gain
                    < local.finish)
            return ToPeer {*offer->vm};
    }
    if (local.backend)
        return ToBackend {*local.backend};
    return Wait {};
}

LocalChoice Placement::State::firstFreeFrom(size_t start, uint32_t workClass,
                                            const TaskRequirements &need, Time now)
{
    const std::vector<uint32_t> &order = orderFor(workClass);
    for (size_t i = 0; i < order.size(); ++i) {
        const size_t at = (start + i) % order.size();
        if (freeFor(order[at], need, now) == 0)
            continue;
        cursor_ = at + 1;
        return {order[at], estimates.expected(order[at], workClass)};
    }
    return {};
}

LocalChoice Placement::State::pick(RandomPolicy &policy, uint32_t workClass,
                                   const TaskRequirements &need, Time now)
{
    const size_t count = orderFor(workClass).size();
    return count == 0 ? LocalChoice {} : firstFreeFrom(random.below(count), workClass, need, now);
}

LocalChoice Placement::State::pick(RoundRobinPolicy &policy, uint32_t workClass,
                                   const TaskRequirements &need, Time now)
{
    return firstFreeFrom(cursor_, workClass, need, now);
}

LocalChoice Placement::State::pick(LeastOutstandingPolicy &policy, uint32_t workClass,
                                   const TaskRequirements &need, Time now)
{
    if (now - reportedAt_ >= policy.reportInterval) {
        for (size_t i = 0; i < backends.size(); ++i)
            reportedOutstanding_[i] = backends[i].outstanding;
        reportedAt_ = now;
    }
    LocalChoice best;
    uint64_t ties = 0;
    for (const uint32_t server : orderFor(workClass)) {
        if (freeFor(server, need, now) == 0)
            continue;
        const uint32_t outstanding = reportedOutstanding_[server];
        const uint32_t least = best.backend ? reportedOutstanding_[*best.backend] : UINT32_MAX;
        if (outstanding > least)
            continue;
        ties = outstanding < least ? 1 : ties + 1;
        if (random.below(ties) == 0)
            best = {server, estimates.expected(server, workClass)};
    }
    return best;
}

bool Placement::State::canQueue(uint32_t backend, const TaskRequirements &need, Time now) const
{
    const BackendState &server = backends[backend];
    return options.localQueue > 0 && need.kind == BackendKind::Executor && server.isUsable()
            && server.finished == 0 && now >= server.pausedUntil
            && server.outstanding < server.info.slots + options.localQueue
            && health.outstandingLimit(backend, now) == placement::Health::unlimited
            && !health.isEjected(backend);
}

// Returns the server of the message that is being filled, if the task can be added to it and is not
// expected to run much longer there than on the best server.
std::optional<uint32_t> Placement::State::continueBatch(uint32_t workClass,
                                                        const TaskRequirements &need, double best,
                                                        Time now) const
{
    if (!batch_.backend || batch_.at != now || batch_.workClass != workClass || need.lastOfJob)
        return std::nullopt;
    const uint32_t server = *batch_.backend;
    const bool usesLocalQueue =
            need.jobWaiting >= minWaitingForBatch && canQueue(server, need, now);
    if (freeFor(server, need, now) == 0 && !usesLocalQueue)
        return std::nullopt;
    const double slack = 1 + batchSlack + weightedBatchSlack * need.wasteWeight;
    return estimates.expected(server, workClass) <= best * slack ? batch_.backend : std::nullopt;
}

// Returns the idle server with the oldest estimate, if that is stale. The speed of an unused server
// is not measured, so without such trials a server that has recovered would never be used again.
std::optional<uint32_t> Placement::State::explore(uint32_t workClass, const TaskRequirements &need,
                                                  Time now)
{
    if (need.lastOfJob || now < nextExploration_)
        return std::nullopt;
    nextExploration_ = now + explorationInterval;
    std::optional<uint32_t> oldest;
    for (const uint32_t server : orderFor(workClass)) {
        if (now - estimates.lastObserved(server) < staleEstimateAge
            || backends[server].outstanding > 0 || freeFor(server, need, now) == 0)
            continue;
        if (!oldest || estimates.lastObserved(server) < estimates.lastObserved(*oldest))
            oldest = server;
    }
    return oldest;
}

// Returns the free server with the smallest expected run time plus a penalty for its variability.
// The last tasks of a job decide when it ends, so a steady server is preferred for them.
uint32_t Placement::State::mostPredictableFor(uint32_t workClass, uint32_t best,
                                              const TaskRequirements &need, Time now)
{
    const auto cost = [&](uint32_t server) {
        return estimates.expected(server, workClass)
                * (1 + variabilityWeight * estimates.variability(server));
    };
    for (const uint32_t server : orderFor(workClass)) {
        if (cost(server) < cost(best) && freeFor(server, need, now) > 0)
            best = server;
    }
    return best;
}

// Number of slots that a server must have free to get a new batch. Waiting for several free slots
// makes batches larger. With a long queue it would only reduce throughput, so one free slot is
// enough then.
uint32_t Placement::State::minFreeSlotsFor(const TaskRequirements &need) const
{
    const bool isQueueLong = need.waiting > totalUnits_[static_cast<size_t>(need.kind)];
    if (need.kind == BackendKind::Worker || need.jobWaiting < minWaitingForBatch || isQueueLong)
        return 1;
    return 1
            + static_cast<uint32_t>(std::lround((freeSlotsAtFullWeight - 1)
                                                * std::clamp(need.wasteWeight, 0.0, 1.0)));
}

LocalChoice Placement::State::pick(EarliestFinishPolicy &policy, uint32_t workClass,
                                   const TaskRequirements &need, Time now)
{
    if (const auto trial = explore(workClass, need, now))
        return {trial, estimates.expected(*trial, workClass)};
    const uint32_t minFreeSlots = minFreeSlotsFor(need);
    double rate = 0; // releases per microsecond on the faster servers, which are busy
    // Sum of the expected run times on these faster servers, weighted by their release rates.
    double weighted = 0;
    for (const uint32_t server : orderFor(workClass)) {
        const double run = estimates.expected(server, workClass);
        const uint32_t free = freeFor(server, need, now);
        const uint32_t required = std::min(minFreeSlots, backends[server].info.slots / 2);
        const bool isFilling = batch_.at == now && batch_.backend == server;
        if (free == 0 || (free < required && !isFilling)) {
            rate += backends[server].releaseRate;
            weighted += backends[server].releaseRate * run;
            continue;
        }
        if (rate > 0) {
            const double finish = (need.waiting + weighted) / rate;
            if (finish * policy.waitPenalty < run * estimates.lowerBoundFactor(server))
                return {std::nullopt, finish};
        }
        if (const auto batched = continueBatch(workClass, need, run, now))
            return {batched, estimates.expected(*batched, workClass)};
        return {need.lastOfJob ? mostPredictableFor(workClass, server, need, now) : server, run};
    }
    if (rate == 0)
        return {};
    return {std::nullopt, (need.waiting + weighted) / rate};
}

} // namespace lovage
