#include "lovage/routing.h"

#include <algorithm>

namespace lovage {

uint32_t requiredHolders(uint32_t servers, const HolderOptions &options)
{
    const uint32_t wanted = (servers + options.serversPerHolder - 1) / options.serversPerHolder;
    return std::max<uint32_t>(1, wanted);
}

bool ShardMembership::isReleasing() const
{
    return std::any_of(grants_.begin(), grants_.end(),
                       [](const auto &grant) { return grant.second.isReleasing; });
}

std::optional<GroupRequest> ShardMembership::nextRequest(bool wantsShards, bool isReleaseReady,
                                                         Time now)
{
    if (isPending_ || now < nextAt_ || now < started_ + options_.settleTime)
        return std::nullopt;
    if (!wantsShards && !isMember_)
        return std::nullopt;
    isPending_ = true;
    nextAt_ = now + options_.joinInterval;
    if (!wantsShards)
        return LeaveGroup {};
    isMember_ = true;
    const bool isReleaseDue = isReleaseReady || now > releaseSince_ + options_.releaseTimeout;
    isReleaseSent_ = isReleasing() && isReleaseDue;
    if (!isReleasing() || isReleaseDue)
        acknowledged_ = latest_;
    return JoinGroup {acknowledged_, options_.groupLease};
}

bool ShardMembership::onJoined(const GroupMembership &membership, Time now)
{
    isPending_ = false;
    latest_ = membership.generation;
    ShardGrants grants;
    for (const uint32_t shard : membership.shards)
        grants[shard] = {membership.generation, false};
    for (const auto &[shard, grant] : grants_) {
        if (!grants.contains(shard) && !isReleaseSent_)
            grants[shard] = {grant.token, true};
    }
    const bool wasReleasing = isReleasing();
    const bool isChanged = grants != grants_;
    grants_ = std::move(grants);
    if (isReleasing() && !wasReleasing)
        releaseSince_ = now;
    if (isReleaseSent_ || isChanged)
        nextAt_ = now;
    isReleaseSent_ = false;
    return isChanged;
}

void ShardMembership::onJoinFailed(Time now)
{
    isPending_ = false;
    isReleaseSent_ = false;
    nextAt_ = now + options_.joinInterval;
}

void ShardMembership::onLeft()
{
    isPending_ = false;
    isMember_ = false;
    acknowledged_ = 0;
    latest_ = 0;
    grants_.clear();
}

} // namespace lovage
