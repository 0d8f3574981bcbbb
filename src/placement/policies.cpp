#include "state.h"

#include <algorithm>
#include <cmath>

namespace lovage {

using placement::Account;
using placement::LocalChoice;

namespace {

// Orders are sorted again after this many observations, at least.
constexpr uint64_t observationsPerOrder = 32;
// A server without a result for this long is tried with one task, at most one per interval.
constexpr Duration staleEstimate = std::chrono::seconds(3);
constexpr Duration explorationInterval = std::chrono::milliseconds(500);
// Slots a server must have free before a job starts a new batch on it, at waste weight 1.
constexpr uint32_t fullWeightBatch = 2;
constexpr uint32_t fewestForBatch = 16;
// Extra expected run time, as a ratio, accepted to add a task to a message that is being filled.
constexpr double batchSlack = 0.05;
constexpr double weightedBatchSlack = 0.4;
// Gain in class durations that justifies a lend message, at waste weight 0 and 1.
constexpr double lendGain = 0.6;
constexpr double weightedLendGain = 0.9;
// Weight of the variability of a server for the last tasks of a job.
constexpr double surenessWeight = 0.5;

} // namespace

const std::vector<uint32_t> &Placement::State::orderFor(uint32_t workClass)
{
    ClassOrder &order = orders_[workClass];
    const uint64_t interval = std::max<uint64_t>(observationsPerOrder, accounts.size() / 4);
    const bool fresh =
            order.version == version_ && estimates.observations() - order.observations < interval;
    if (fresh)
        return order.servers;
    if (order.version != version_) {
        order.servers.clear();
        for (uint32_t i = 0; i < accounts.size(); ++i) {
            if (accounts[i].isUsable())
                order.servers.push_back(i);
        }
    }
    std::vector<std::pair<double, uint32_t>> keys;
    keys.reserve(order.servers.size());
    for (const uint32_t server : order.servers)
        keys.emplace_back(estimates.relative(server, workClass) * estimates.optimism(server),
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

// Long classes together leave a part of the share to short ones: when all slots run tasks of
// several seconds, a short task would wait many times its own duration.
bool Placement::State::isRoomKept(uint32_t workClass, const TaskRequirements &need) const
{
    if (!isLong(workClass))
        return true;
    const auto kind = static_cast<size_t>(need.kind);
    uint64_t used = unitsOfTask(need);
    for (uint32_t other = 0; other < classUnits_.size(); ++other)
        used += isLong(other) ? classUnits_[other][kind] : 0;
    const auto limit = static_cast<double>(totalUnits_[kind]) * (1 - options.shortTaskReserve);
    // A share too small to keep room still runs one long task.
    return static_cast<double>(used) <= limit || used <= unitsOfTask(need);
}

uint64_t Placement::State::unitsOfTask(const TaskRequirements &need)
{
    return need.kind == BackendKind::Executor ? 1 : need.demand.milliCores;
}

Choice Placement::State::choose(const TaskRequirements &need, Time now)
{
    if (std::optional<std::string> reason = whyImpossible(need))
        return Impossible {std::move(*reason)};
    const uint32_t workClass = classOf(need);
    LocalChoice local;
    if (isRoomKept(workClass, need))
        local = std::visit([&](auto &policy) { return pick(policy, workClass, need, now); },
                           options.policy);
    const double mean = estimates.classMean(workClass);
    if (!local.backend || local.finish > mean) {
        const auto offer = peers.best(need, now, options.peerCapacityLifetime,
                                      estimates.runTimeScale(), random);
        const double gain = (lendGain + weightedLendGain * need.wasteWeight) * mean;
        if (offer
            && offer->relative * mean + static_cast<double>(options.lendOverhead.count()) + gain
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
        for (size_t i = 0; i < accounts.size(); ++i)
            reportedOutstanding_[i] = accounts[i].outstanding;
        reportedAt_ = now;
    }
    LocalChoice best;
    uint64_t equal = 0;
    for (const uint32_t server : orderFor(workClass)) {
        if (freeFor(server, need, now) == 0)
            continue;
        const uint32_t outstanding = reportedOutstanding_[server];
        const uint32_t least = best.backend ? reportedOutstanding_[*best.backend] : UINT32_MAX;
        if (outstanding > least)
            continue;
        equal = outstanding < least ? 1 : equal + 1;
        if (random.below(equal) == 0)
            best = {server, estimates.expected(server, workClass)};
    }
    return best;
}

bool Placement::State::canQueue(uint32_t backend, const TaskRequirements &need, Time now) const
{
    const Account &account = accounts[backend];
    return options.localQueue > 0 && need.kind == BackendKind::Executor && account.isUsable()
            && account.finished == 0 && now >= account.pausedUntil
            && account.outstanding < account.info.slots + options.localQueue
            && health.allowance(backend, now) == placement::Health::unlimited
            && !health.isEjected(backend);
}

// Adds the task to the message that is being filled, if that costs little time.
std::optional<uint32_t> Placement::State::continueBatch(uint32_t workClass,
                                                        const TaskRequirements &need, double best,
                                                        Time now) const
{
    if (!batch_.backend || batch_.at != now || batch_.workClass != workClass || need.lastOfJob)
        return std::nullopt;
    const uint32_t server = *batch_.backend;
    const bool queues = need.jobWaiting >= fewestForBatch && canQueue(server, need, now);
    if (freeFor(server, need, now) == 0 && !queues)
        return std::nullopt;
    const double slack = 1 + batchSlack + weightedBatchSlack * need.wasteWeight;
    return estimates.expected(server, workClass) <= best * slack ? batch_.backend : std::nullopt;
}

// Learned speeds of unused servers grow old; a server that has recovered would never be found.
std::optional<uint32_t> Placement::State::explore(uint32_t workClass, const TaskRequirements &need,
                                                  Time now)
{
    if (need.lastOfJob || now < nextExploration_)
        return std::nullopt;
    nextExploration_ = now + explorationInterval;
    std::optional<uint32_t> stalest;
    for (const uint32_t server : orderFor(workClass)) {
        if (now - estimates.lastObserved(server) < staleEstimate || accounts[server].outstanding > 0
            || freeFor(server, need, now) == 0)
            continue;
        if (!stalest || estimates.lastObserved(server) < estimates.lastObserved(*stalest))
            stalest = server;
    }
    return stalest;
}

// The last tasks of a job decide when it ends: among free servers the fast and steady one.
uint32_t Placement::State::surestFor(uint32_t workClass, uint32_t best,
                                     const TaskRequirements &need, Time now)
{
    const auto cost = [&](uint32_t server) {
        return estimates.expected(server, workClass)
                * (1 + surenessWeight * estimates.variability(server));
    };
    for (const uint32_t server : orderFor(workClass)) {
        if (cost(server) < cost(best) && freeFor(server, need, now) > 0)
            best = server;
    }
    return best;
}

// Waiting for several free slots makes batches larger. Behind a long queue it would only cost
// throughput.
uint32_t Placement::State::fewestFreeFor(const TaskRequirements &need) const
{
    const bool crowded = need.waiting > totalUnits_[static_cast<size_t>(need.kind)];
    if (need.kind == BackendKind::Worker || need.jobWaiting < fewestForBatch || crowded)
        return 1;
    return 1
            + static_cast<uint32_t>(
                    std::lround((fullWeightBatch - 1) * std::clamp(need.wasteWeight, 0.0, 1.0)));
}

LocalChoice Placement::State::pick(EarliestFinishPolicy &policy, uint32_t workClass,
                                   const TaskRequirements &need, Time now)
{
    if (const auto stale = explore(workClass, need, now))
        return {stale, estimates.expected(*stale, workClass)};
    const uint32_t fewestFree = fewestFreeFor(need);
    double rate = 0;     // releases per microsecond of the faster, busy servers
    double weighted = 0; // sum of their expected run times, weighted by their rates
    for (const uint32_t server : orderFor(workClass)) {
        const double run = estimates.expected(server, workClass);
        const uint32_t free = freeFor(server, need, now);
        const uint32_t wanted = std::min(fewestFree, accounts[server].info.slots / 2);
        const bool filling = batch_.at == now && batch_.backend == server;
        if (free == 0 || (free < wanted && !filling)) {
            rate += accounts[server].releaseRate;
            weighted += accounts[server].releaseRate * run;
            continue;
        }
        if (rate > 0) {
            const double finish = (need.waiting + weighted) / rate;
            if (finish * policy.waitPenalty < run * estimates.optimism(server))
                return {std::nullopt, finish};
        }
        if (const auto filled = continueBatch(workClass, need, run, now))
            return {filled, estimates.expected(*filled, workClass)};
        return {need.lastOfJob ? surestFor(workClass, server, need, now) : server, run};
    }
    if (rate == 0)
        return {};
    return {std::nullopt, (need.waiting + weighted) / rate};
}

} // namespace lovage
