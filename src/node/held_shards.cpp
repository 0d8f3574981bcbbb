#include "held_shards.h"

namespace lovage::node {

HolderOptions holderOptions(const NodeSettings &settings)
{
    HolderOptions options;
    options.groupLease = settings.groupLease;
    options.joinInterval = settings.groupLease / 4;
    return options;
}

HeldShards::HeldShards(const HolderOptions &options, const Clock &clock, GroupPort &group,
                       Pool &pool, Metrics &metrics, std::function<void()> flush)
    : clock_(clock), group_(group), pool_(pool), flush_(std::move(flush)),
      membership_(options, clock.now()),
      heldGauge_(
              metrics.gauge("lovage_held_shards", "shards of backend servers that the VM holds")),
      givenUp_(metrics.counter("lovage_shards_given_up_total",
                               "times that the VM gave its shards up to larger VMs"))
{ }

bool HeldShards::setSurplus(bool isSurplus, Time now)
{
    membership_.setSurplus(isSurplus, now);
    const bool isGivingUp = membership_.isGivingUp(now);
    if (isGivingUp == isGivingUp_)
        return false;
    setGivingUp(isGivingUp);
    logEvent(LogLevel::Info, isGivingUp ? "shards-given-up" : "shards-kept",
             {{"shards", membership_.grants().size()},
              {"delay_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(membership_.surplusDelay())
                       .count()}});
    return true;
}

void HeldShards::setGivingUp(bool isGivingUp)
{
    isGivingUp_ = isGivingUp;
    pool_.setClosed(isGivingUp);
}

void HeldShards::sendDueRequest(bool wantsShards, Time now)
{
    const bool isLeaving = membership_.isLeaveDue(pool_.isIdle(), now);
    const auto request =
            membership_.nextRequest(wantsShards && !isLeaving, pool_.isReleaseReady(), now);
    if (!request)
        return;
    if (const auto *join = std::get_if<JoinGroup>(&*request))
        group_.join(*join, [this](const Result<GroupMembership> &reply) { onJoined(reply); });
    else
        leave();
}

void HeldShards::leave()
{
    group_.leave([this](const Result<void> &reply) {
        const Time now = clock_.now();
        if (!reply.has_value()) {
            membership_.onJoinFailed(now);
            return;
        }
        logEvent(LogLevel::Info, "group-left",
                 {{"shards", membership_.grants().size()}, {"idle", pool_.isIdle()}});
        membership_.onLeft(now);
        pool_.setGrants({}, now);
        heldGauge_.set(0);
        if (isGivingUp_) {
            givenUp_.add();
            setGivingUp(false);
        }
        flush_();
    });
}

void HeldShards::onJoined(const Result<GroupMembership> &reply)
{
    const Time now = clock_.now();
    if (!reply.has_value()) {
        setStoreReachable(false, reply.error().reason);
        membership_.onJoinFailed(now);
        return;
    }
    setStoreReachable(true, {});
    if (!membership_.onJoined(reply.value(), now))
        return;
    logEvent(LogLevel::Info, "grants-changed",
             {{"generation", reply.value().generation},
              {"shards", reply.value().shards.size()},
              {"kept_until_idle", membership_.grants().size() - reply.value().shards.size()}});
    heldGauge_.set(static_cast<int64_t>(membership_.grants().size()));
    pool_.setGrants(membership_.grants(), now);
    flush_();
}

void HeldShards::setStoreReachable(bool isReachable, const std::string &reason)
{
    if (isReachable == isStoreReachable_)
        return;
    isStoreReachable_ = isReachable;
    logEvent(LogLevel::Warning, isReachable ? "group-regained" : "group-lost",
             {{"reason", reason}});
}

} // namespace lovage::node
