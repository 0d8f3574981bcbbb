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
                       Pool &pool, std::function<void()> flush)
    : clock_(clock), group_(group), pool_(pool), flush_(std::move(flush)),
      membership_(options, clock.now())
{ }

void HeldShards::sendDueRequest(bool wantsShards, Time now)
{
    const auto request = membership_.nextRequest(wantsShards, pool_.isReleaseReady(), now);
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
        if (!reply.has_value()) {
            membership_.onJoinFailed(clock_.now());
            return;
        }
        membership_.onLeft();
        pool_.setGrants({}, clock_.now());
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
