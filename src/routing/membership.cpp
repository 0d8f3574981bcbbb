#include "lovage/routing.h"

#include <algorithm>

namespace lovage {

uint32_t requiredHolders(uint32_t servers, std::span<const uint32_t> cpuMilliCores,
                         const HolderOptions &options)
{
    constexpr uint64_t milliCoresPerCore = 1000;
    uint32_t best = 1;
    uint64_t bestCapacity = 0; // of `best` holders, each with the share of the smallest one
    for (uint32_t count = 1; count <= cpuMilliCores.size(); ++count) {
        const uint64_t capacity =
                uint64_t {count} * cpuMilliCores[count - 1] * options.serversPerCore;
        if (capacity >= servers * milliCoresPerCore)
            return count;
        if (capacity > bestCapacity) {
            best = count;
            bestCapacity = capacity;
        }
    }
    return best;
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
    if (!wantsShards) {
        isLeaveSent_ = true;
        return LeaveGroup {};
    }
    if (!isMember_)
        updateSurplusDelay(now);
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
    confirmedAt_ = now;
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
    isLeaveSent_ = false;
    isReleaseSent_ = false;
    nextRequestAt_ = now + options_.joinInterval;
}

void ShardMembership::onLeft(Time now)
{
    if (isGivingUp(now))
        gaveUpAt_ = now;
    isRequestPending_ = false;
    isLeaveSent_ = false;
    isMember_ = false;
    acknowledgedGeneration_ = 0;
    latestGeneration_ = 0;
    surplusSince_.reset();
    grants_.clear();
}

// Ignored while a request to leave is pending: the store may have dealt the shards anew.
void ShardMembership::setSurplus(bool isSurplus, Time now)
{
    if (isLeaveSent_)
        return;
    if (!isSurplus)
        surplusSince_.reset();
    else if (!surplusSince_)
        surplusSince_ = now;
}

// Called when this VM joins. A VM that is needed again soon after it has given up its shards waits
// longer the next time.
void ShardMembership::updateSurplusDelay(Time now)
{
    const bool isNeededAgain = gaveUpAt_ && now < *gaveUpAt_ + options_.maxSurplusDelay;
    surplusDelay_ = isNeededAgain ? std::min(2 * surplusDelay_, options_.maxSurplusDelay)
                                  : options_.surplusDelay;
}

bool ShardMembership::isGivingUp(Time now) const
{
    return isMember_ && surplusSince_ && now >= *surplusSince_ + surplusDelay_;
}

bool ShardMembership::isLeaveDue(bool isPoolIdle, Time now) const
{
    return isGivingUp(now)
            && (isPoolIdle || now >= *surplusSince_ + surplusDelay_ + options_.releaseTimeout);
}

bool ShardMembership::isConfirmed(Time now) const
{
    const auto isHeld = [](const auto &grant) { return !grant.second.isReleasing; };
    return isMember_ && !isGivingUp(now) && now < confirmedAt_ + options_.groupLease
            && std::any_of(grants_.begin(), grants_.end(), isHeld);
}

} // namespace lovage
