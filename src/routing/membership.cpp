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
    if (isRequestPending_ || now < nextRequestAt_ || now < started_ + options_.settleTime)
        return std::nullopt;
    if (!wantsShards && !isMember_)
        return std::nullopt;
    isRequestPending_ = true;
    nextRequestAt_ = now + options_.joinInterval;
    if (!wantsShards)
        return LeaveGroup {};
    isMember_ = true;
    const bool isReleaseDue = isReleaseReady || now > releaseStartedAt_ + options_.releaseTimeout;
    isReleaseSent_ = isReleasing() && isReleaseDue;
    if (!isReleasing() || isReleaseDue)
        acknowledgedGeneration_ = latestGeneration_;
    return JoinGroup {acknowledgedGeneration_, options_.groupLease};
}

bool ShardMembership::onJoined(const GroupMembership &membership, Time now)
{
    isRequestPending_ = false;
    latestGeneration_ = membership.generation;
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
        releaseStartedAt_ = now;
    if (isReleaseSent_ || isChanged)
        nextRequestAt_ = now;
    isReleaseSent_ = false;
    return isChanged;
}

void ShardMembership::onJoinFailed(Time now)
{
    isRequestPending_ = false;
    isReleaseSent_ = false;
    nextRequestAt_ = now + options_.joinInterval;
}

void ShardMembership::onLeft()
{
    isRequestPending_ = false;
    isMember_ = false;
    acknowledgedGeneration_ = 0;
    latestGeneration_ = 0;
    grants_.clear();
}

} // namespace lovage
