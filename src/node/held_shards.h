// The shards of backend servers that a node holds through its membership in a group of the store.
#pragma once

#include "lovage/node.h"

#include <functional>

namespace lovage::node {

HolderOptions holderOptions(const NodeSettings &settings);

// Joins and leaves the group, and passes the grants on to the pool. Single-threaded, like the node.
class HeldShards
{
public:
    // `flush` is called after the grants have changed.
    HeldShards(const HolderOptions &options, const Clock &clock, GroupPort &group, Pool &pool,
               Metrics &metrics, std::function<void()> flush);

    // Sets whether larger holders are sufficient without this VM. Returns whether the VM has begun
    // or ceased to give its shards up.
    bool setSurplus(bool isSurplus, Time now);
    // Sends the request that is due, if any.
    void sendDueRequest(bool wantsShards, Time now);
    bool isMember() const { return membership_.isMember(); }
    // Returns whether the store has confirmed that this VM holds shards, and none is given up.
    bool isConfirmed(Time now) const { return membership_.isConfirmed(now); }

private:
    void leave();
    void setGivingUp(bool isGivingUp);
    void onJoined(const Result<GroupMembership> &reply);
    void setStoreReachable(bool isReachable, const std::string &reason);

    const Clock &clock_;
    GroupPort &group_;
    Pool &pool_;
    std::function<void()> flush_;
    ShardMembership membership_;
    bool isStoreReachable_ = true;
    bool isGivingUp_ = false;
    Gauge &heldGauge_;
    Counter &givenUp_;
};

} // namespace lovage::node
