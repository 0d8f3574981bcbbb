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
               std::function<void()> flush);

    // Sends the request that is due, if any.
    void sendDueRequest(bool wantsShards, Time now);
    bool isMember() const { return membership_.isMember(); }

private:
    void leave();
    void onJoined(const Result<GroupMembership> &reply);
    void setStoreReachable(bool isReachable, const std::string &reason);

    const Clock &clock_;
    GroupPort &group_;
    Pool &pool_;
    std::function<void()> flush_;
    ShardMembership membership_;
    bool isStoreReachable_ = true;
};

} // namespace lovage::node
